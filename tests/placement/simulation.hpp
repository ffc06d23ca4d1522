#pragma once

#include "core/clock.hpp"
#include "membership/epoch_reports.hpp"
#include "membership/fake_table.hpp"
#include "membership/liveness.hpp"
#include "membership/registry.hpp"
#include "membership/zone_lease.hpp"
#include "placement/follower.hpp"
#include "placement/mover.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lacewingquay::placement
{

/// Action of one step of a simulated history, applied before the clock advances.
enum class step_kind : std::uint8_t
{
    nothing,
    pause,
    /// Pauses the process after it decides on its next placement write and before it sends it.
    pause_before_write,
    resume,
    cut_peers,
    heal_peers,
    cut_platform,
    heal_platform,
    platform_down,
    platform_up,
    /// The next writes take effect, but their responses are lost.
    lose_answers,
    /// The next writes are lost before they reach the platform.
    drop_writes,
    /// The next writes take effect some seconds after their outcome was reported as unknown.
    delay_writes,
    /// The process ends and a new incarnation with the same id starts.
    replace,
    kill,
    operator_move,
    operator_leave,
    operator_return,
    operator_drain,
    planner_move,
    list_leaving,
    list_live,
    grant,
    release,
    count
};

struct step
{
    step_kind kind = step_kind::nothing;
    /// Index of an entry host; `simulation::node_count` selects the lease holder.
    std::size_t node = 0;
    std::size_t argument = 0;
    /// Number of 100 ms ticks that follow the action.
    std::size_t ticks = 1;
};

/// Deliberately incorrect drivers of the state machines, which the properties must detect.
enum class driver_variant : std::uint8_t
{
    correct,
    /// Control writes lack the lease check.
    no_fence,
    /// A drain ends after 3 s instead of when the entry hosts' reports allow it.
    fixed_delay,
    /// A write with unknown outcome is sent again with the current row versions.
    blind_retry
};

/// Simulates the entry hosts of one zone on a shared table. Each runs the real state machines of
/// membership and placement, and a list of grants in place of its dispatcher.
class simulation
{
public:
    static constexpr std::size_t node_count = 3;
    static constexpr std::size_t host_count = 4;
    inline static const std::string zone = "z1";

    explicit simulation(driver_variant chosen);

    void run(const step& next);

    /// Ends all faults and advances the clock by 90 s; all requests must then be completed.
    void heal_and_finish();

    /// Description of the first violation of a property; empty if there was none.
    [[nodiscard]] const std::string& violation() const { return violation_; }
    /// All rows as text, to compare two runs.
    [[nodiscard]] std::string rows() const
    {
        std::string text;
        for (const platform::row& row : table_.list("").rows)
        {
            text += row.key + "@" + std::to_string(row.version) + "=" + row.value + "\n";
        }
        return text;
    }
    [[nodiscard]] std::size_t completed_moves() const { return completed_moves_; }

private:
    enum class core : std::uint8_t
    {
        registry,
        lease,
        mover,
        follower
    };

    struct outgoing
    {
        core owner;
        membership::table_action action;
    };

    struct incoming
    {
        core owner;
        std::variant<membership::write_result, membership::read_result, membership::list_result>
            result;
    };

    struct grant
    {
        std::string host;
        std::string pool;
        std::uint64_t epoch = 0;
    };

    struct node
    {
        node(const std::string& id, std::int64_t started_at, std::size_t index);

        routing::member self;
        membership::registry members;
        membership::zone_lease lease;
        mover moves;
        follower placements;
        membership::liveness peers;
        membership::epoch_reports reports;
        bool paused = false;
        bool pause_before_write = false;
        bool dead = false;
        bool peers_cut = false;
        bool platform_cut = false;
        std::optional<steady_time> registered_at;
        std::optional<std::pair<std::uint64_t, steady_time>> refresh;
        std::vector<grant> grants;
        std::deque<outgoing> outbox;
        std::deque<incoming> inbox;
        std::deque<membership::heartbeat> heartbeats;
    };

    struct delayed_write
    {
        steady_time due;
        platform::transaction changes;
        std::string writer;
    };

    void apply(const step& next);
    [[nodiscard]] std::size_t index_of(const step& next) const;
    void write_request(request_kind kind, std::size_t host, std::size_t pool);
    void tick();
    void tick_node(node& current);
    void deliver(node& current, const incoming& message);
    void send(node& current, core owner, std::vector<membership::table_action> actions);
    void execute(node& current, const outgoing& message);
    void write(node& current, core owner, const membership::table_write& action);
    platform::transact_result commit(const platform::transaction& changes,
                                     const std::string& writer);
    void check_placement(const platform::transaction& changes, const platform::row& before,
                         const std::string& writer);
    void check_members(const std::string& before, const std::string& writer);
    [[nodiscard]] bool may_dispatch(const node& other, const std::string& host,
                                    const std::string& pool) const;
    [[nodiscard]] membership::heartbeat heartbeat_of(const node& current) const;
    [[nodiscard]] membership::epoch_reports assumed_reports() const;
    void fail(const std::string& what);
    node& restart(std::size_t index);

    driver_variant variant_;
    steady_time now_{std::chrono::hours{1}};
    std::int64_t started_ = 0;
    membership::fake_table table_;
    config::configuration configuration_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<delayed_write> delayed_writes_;
    bool platform_down_ = false;
    step_kind write_fault_ = step_kind::nothing;
    std::size_t faulty_writes_ = 0;
    /// The fault affects the writes of leases and registrations as well.
    bool all_writes_faulty_ = false;
    std::vector<bool> listed_leaving_ = std::vector<bool>(host_count, false);
    /// Commit times and epochs of the placement row, for `driver_variant::fixed_delay`.
    std::vector<std::pair<steady_time, std::uint64_t>> epochs_;
    std::size_t completed_moves_ = 0;
    std::uint64_t operator_writes_ = 0;
    std::string violation_;
};

} // namespace lacewingquay::placement
