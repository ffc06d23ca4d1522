#pragma once

#include "core/clock.hpp"
#include "membership/table_action.hpp"
#include "platform/port.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <vector>

namespace lacewingquay::entry
{

/// Takes the answers of one core's table actions and returns the actions that follow.
struct table_core
{
    using followups = std::vector<membership::table_action>;

    std::function<followups(steady_time, const membership::write_result&)> on_write;
    std::function<followups(steady_time, const membership::read_result&)> on_read;
    std::function<followups(steady_time, const membership::list_result&)> on_list;
};

/// Carries out the table actions of deterministic cores over the platform. Runs on one thread.
class table_runner
{
public:
    table_runner(boost::asio::io_context& io, platform::port& platform, const clock_source& clock);

    /// Starts the actions; each answer is given to `core`, which must outlive them.
    void run(const std::vector<membership::table_action>& actions, const table_core& core);

private:
    void start(const membership::table_write& action, const table_core& core);
    void start(const membership::table_read& action, const table_core& core);
    void start(const membership::table_list& action, const table_core& core);

    boost::asio::io_context& io_;
    platform::port& platform_;
    const clock_source& clock_;
};

} // namespace lacewingquay::entry
