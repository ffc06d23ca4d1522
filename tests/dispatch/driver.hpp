#pragma once

#include "dispatch/node.hpp"
#include "routing/snapshot.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lacewingquay::dispatch
{

/// Faults and changes injected during a run.
enum class fault_kind : std::uint8_t
{
    kill_and_restart,
    pause,
    partition,
    backend_leaves,
    move_backend
};

struct fault
{
    fault_kind kind = fault_kind::pause;
    milliseconds at{0};
    milliseconds length{0};
    std::uint32_t target = 0;
};

std::ostream& operator<<(std::ostream& out, const fault& shown);

struct driver_options
{
    std::uint64_t seed = 1;
    milliseconds length{8'000};
    /// Number of entry hosts in each zone.
    std::vector<std::uint32_t> zones{3, 2};
    std::uint32_t hosts_per_zone = 2;
    std::uint32_t slots = 2;
    /// Requests per second at each entry host.
    double rate = 100.0;
    double mean_service_ms = 20.0;
    settings core_settings;
    std::vector<fault> faults;
};

/// Simulates several nodes on one clock, with random message delays, backend servers that count
/// their running requests, and membership by heartbeats. Collects violations instead of stopping.
class driver
{
public:
    explicit driver(driver_options options);
    ~driver();
    driver(const driver&) = delete;
    driver& operator=(const driver&) = delete;

    void run();

    /// Descriptions of the first violations; empty if all properties hold.
    std::vector<std::string> violations;
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    std::uint64_t moves = 0;

private:
    struct entry_host;
    struct backend;
    struct job;
    struct timed_event;

    void schedule(steady_time time, std::function<void()> action);
    /// Runs the action on the entry host, after its pause if it is paused; not if it was killed.
    void schedule_on(steady_time time, entry_host& host, std::function<void()> action);
    void add_violation(const std::string& text);

    void apply(const fault& next);
    void kill(entry_host& host, milliseconds downtime);
    void pause(entry_host& host, milliseconds length);
    void start(entry_host& host);
    void publish();
    void remove_backend(std::uint32_t target);
    void begin_move(std::uint32_t target);
    void finish_move(const std::string& name, const std::string& pool, std::uint64_t epoch);

    void tick(entry_host& host);
    void send_heartbeat(entry_host& host);
    void refresh(entry_host& host);
    void on_arrival(entry_host& host);
    void process_actions(entry_host& host, actions& produced);
    void send(entry_host& from, send_message&& sent);
    void begin_job(entry_host& host, const slot_granted& granted);
    void end_job(entry_host& host, std::uint64_t handle);
    bool is_partitioned(const std::string& left, const std::string& right) const;
    milliseconds random_ms(int low, int high);

    driver_options options_;
    std::mt19937_64 random_;
    name_table names_;
    steady_time now_{std::chrono::hours{1}};
    std::uint64_t sequence_ = 0;
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>> events_;
    std::vector<std::unique_ptr<entry_host>> hosts_;
    std::map<name_id, std::unique_ptr<backend>> backends_;
    std::shared_ptr<routing::snapshot> snapshot_;
    /// Time until which a zone is partitioned from all others.
    std::map<std::string, steady_time> partitioned_until_;
    std::map<std::pair<name_id, name_id>, steady_time> last_delivery_;
};

/// Production settings with shorter holds, so that grants expire within a run.
[[nodiscard]] settings short_settings();

} // namespace lacewingquay::dispatch
