#pragma once

#include "core/clock.hpp"
#include "idempotency/claim_client.hpp"
#include "idempotency/key_owner.hpp"
#include "peer/messages.pb.h"
#include "routing/snapshot.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewingquay::entry
{

/// Settings of `key_plane`.
struct key_plane_settings
{
    std::string id;
    std::string incarnation;
    /// Time to wait for the owner's decision. Then the request is refused as not run.
    std::chrono::milliseconds claim_timeout{500};
    /// Interval at which an outcome is repeated until the owner has acknowledged it.
    std::chrono::milliseconds repeat_interval{500};
    std::chrono::milliseconds tick_interval{50};
    idempotency::key_owner_settings core;
};

/// What the key plane needs from others. Called on the dispatch thread.
struct key_plane_outputs
{
    /// Sends on the dispatch link, by entry host id.
    std::function<void(const std::string& id, pb::Envelope& message)> send;
    /// Writes a row of claims to the platform; `done` may be called on any thread.
    std::function<void(std::string key, std::string value, std::function<void(bool)> done)> write;
};

/// Claims idempotency keys at their owners, and owns keys itself. Runs on the dispatch thread, so
/// that claims do not load the control thread.
class key_plane final : public idempotency::claim_client
{
public:
    key_plane(boost::asio::io_context& io, key_plane_settings settings, const clock_source& clock,
              key_plane_outputs outputs);

    /// Starts the timer. Dispatch thread, or before it runs.
    void start();
    void stop();

    /// Takes the registered members. `confirmed` is false while this entry host may be outdated,
    /// from a pause until its refresh. Dispatch thread.
    void update(const routing::snapshot& snapshot, const std::set<std::string>& live_incarnations,
                bool confirmed);

    /// Handles a message of the dispatch link; false if it is none of this plane's. Dispatch
    /// thread.
    bool receive(const pb::Envelope& envelope);

    /// A heartbeat says which view an entry host uses. Thread-safe.
    void on_member_report(std::string incarnation, std::uint64_t members_epoch);

    /// A batch of an earlier incarnation was read from the platform. Thread-safe.
    void on_batch_loaded(idempotency::claim_batch batch);

    boost::asio::awaitable<idempotency::claim_answer> claim(std::string key,
                                                            std::uint64_t fingerprint) override;
    void report(const std::string& key, verdict outcome,
                const idempotency::stored_answer& answer) override;

private:
    using completion = std::function<void(idempotency::claim_answer)>;

    struct pending_claim
    {
        std::string key;
        std::string owner;
        steady_time deadline;
        completion done;
    };

    /// An admitted claim, or one whose result came too late to be used.
    struct held_claim
    {
        std::string key;
        std::string owner;
        bool settled = false;
        verdict outcome = verdict::may_have_run;
        idempotency::stored_answer answer;
        steady_time next_send;
    };

    void start_claim(std::string key, std::uint64_t fingerprint, completion done);
    void settle(const std::string& key, verdict outcome, idempotency::stored_answer answer);
    void feed(const idempotency::key_event& event);
    void perform(const idempotency::key_action& action);
    void answer_claim(const idempotency::claim_result_action& action);
    void on_claim_result(std::uint64_t claim_id, idempotency::claim_answer answer);
    void send_outcome(std::uint64_t claim_id, held_claim& claim);
    void tick();

    boost::asio::io_context& io_;
    key_plane_settings settings_;
    const clock_source& clock_;
    key_plane_outputs outputs_;
    boost::asio::steady_timer timer_;
    idempotency::key_owner owner_;
    /// Ids of registered entry hosts by incarnation.
    std::unordered_map<std::string, std::string> id_of_incarnation_;
    std::set<std::string> live_;
    std::uint64_t next_claim_ = 0;
    std::map<std::uint64_t, pending_claim> pending_;
    std::map<std::uint64_t, held_claim> held_;
    std::unordered_map<std::string, std::uint64_t> admitted_;
};

} // namespace lacewingquay::entry
