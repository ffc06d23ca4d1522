#pragma once

#include "fleet/model.hpp"
#include "manager/context.hpp"
#include "manager/fleet_controller.hpp"
#include "manager/owner_session.hpp"
#include "platform/store.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace lacewingquay::manager
{

/// This host's part in choosing the owner: follows the owner's rows, takes over, hands over, and
/// holds the session while this host is the owner.
class owner_election
{
public:
    explicit owner_election(context& shared) : shared_(shared) {}

    /// Publishes this host's record and follows the owner's rows.
    void start();

    /// Applies the current configuration to the session.
    void configure();

    /// Adds a maintenance wave requested by the operator, for this and later terms.
    void add_wave(fleet::wave definition);

    /// Gives up the ownership, as this host is stopping.
    void release();

    /// The session if this host is the owner, else null.
    [[nodiscard]] owner_session* session() const { return session_.get(); }

    /// As above, for callers that suspend.
    [[nodiscard]] std::shared_ptr<owner_session> shared_session() const { return session_; }

private:
    void apply_owner(const adapter::row& row);
    void apply_rows(const std::vector<adapter::row>& rows);
    boost::asio::awaitable<void> follow_rows();
    /// Stores this host's record for the other hosts; retries until it is stored.
    boost::asio::awaitable<void> publish_host_record();
    void consider_takeover();
    /// Moves the ownership from a weak host, which took over while stronger ones were away, to a
    /// stronger one.
    void consider_handover();
    boost::asio::awaitable<void> request_handover();
    boost::asio::awaitable<void> take_over();

    context& shared_;
    std::shared_ptr<owner_session> session_;
    std::shared_ptr<fleet_controller> fleet_;
    /// Maintenance waves requested by the operator, by number.
    std::map<std::int64_t, fleet::wave> waves_;
    /// A takeover transaction is in flight.
    bool taking_over_ = false;
    /// A handover request is being stored.
    bool requesting_handover_ = false;
};

} // namespace lacewingquay::manager
