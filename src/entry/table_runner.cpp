#include "entry/table_runner.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>
#include <variant>

namespace lacewingquay::entry
{

namespace asio = boost::asio;

table_runner::table_runner(asio::io_context& io, platform::port& platform,
                           const clock_source& clock)
    : io_(io), platform_(platform), clock_(clock)
{
}

void table_runner::run(const std::vector<membership::table_action>& actions, const table_core& core)
{
    for (const membership::table_action& action : actions)
    {
        std::visit([&](const auto& kind) { start(kind, core); }, action);
    }
}

void table_runner::start(const membership::table_write& action, const table_core& core)
{
    asio::co_spawn(
        io_,
        [](table_runner& self, membership::table_write write,
           const table_core& target) -> asio::awaitable<void>
        {
            membership::write_result answer;
            answer.action_id = write.action_id;
            answer.result = co_await self.platform_.transact(std::move(write.changes));
            self.run(target.on_write(self.clock_.steady_now(), answer), target);
        }(*this, action, core),
        asio::detached);
}

void table_runner::start(const membership::table_read& action, const table_core& core)
{
    asio::co_spawn(
        io_,
        [](table_runner& self, membership::table_read read,
           const table_core& target) -> asio::awaitable<void>
        {
            membership::read_result answer;
            answer.action_id = read.action_id;
            answer.result = co_await self.platform_.read_row(read.key, read.not_version);
            self.run(target.on_read(self.clock_.steady_now(), answer), target);
        }(*this, action, core),
        asio::detached);
}

void table_runner::start(const membership::table_list& action, const table_core& core)
{
    asio::co_spawn(
        io_,
        [](table_runner& self, membership::table_list list,
           const table_core& target) -> asio::awaitable<void>
        {
            membership::list_result answer;
            answer.action_id = list.action_id;
            answer.result = co_await self.platform_.read_rows(list.prefix);
            self.run(target.on_list(self.clock_.steady_now(), answer), target);
        }(*this, action, core),
        asio::detached);
}

} // namespace lacewingquay::entry
