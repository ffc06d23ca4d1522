#pragma once

#include "maintenance/wave_model.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lacewingquay::maintenance
{

enum class wave_event_kind : std::uint8_t
{
    /// Sent periodically, every few seconds.
    tick,
    /// The host has no grant outstanding and is in placement state `maintenance`.
    host_drained,
    /// The host is live again after the reboot that this wave requested.
    host_back,
    /// Placement shows the host as `serving` after `return_host`.
    host_returned,
    /// The platform or the dispatchers report the host as lost.
    host_failed,
    pause,
    resume
};

struct wave_event
{
    wave_event_kind kind = wave_event_kind::tick;
    /// Set for events that concern a host.
    std::string host;
    /// For `pause`: the reason given by the operator.
    std::string reason;
};

enum class wave_action_kind : std::uint8_t
{
    drain_host,
    reboot_host,
    return_host
};

/// An action of the lease holder on a host. Actions are idempotent: draining and returning set a
/// placement state, and the platform runs a reboot only once per `reboot_id`.
struct wave_action
{
    wave_action_kind kind = wave_action_kind::drain_host;
    std::string host;
    /// `<wave id>/<host>` for `reboot_host`.
    std::string reboot_id;

    friend bool operator==(const wave_action&, const wave_action&) = default;
};

enum class wave_notice : std::uint8_t
{
    stopped,
    finished,
    /// The wave expects to miss its deadline.
    deadline_at_risk
};

struct wave_step
{
    /// True if the row must be written before `pending_actions` are executed.
    bool changed = false;
    /// To be logged and reported to operators.
    std::vector<wave_notice> notices;
};

/// A host that may be part of a wave.
struct wave_candidate
{
    std::string name;
    std::string pool;
    std::string availability_zone;
    std::string rack;
};

/// State machine of a maintenance wave. Deterministic: the next state depends only on the wave, the
/// event, the time and the pool statuses.
///
/// The wave's row holds the complete state. The lease holder handles an event, writes the row if it
/// changed, and only then executes `pending_actions`, which are derived from the row alone. A new
/// lease holder continues from the row, so that no host is skipped or rebooted twice.
///
/// A batch takes hosts of one zone and, within a pool, of one rack. It starts when no host of the
/// previous batch is out of service any more. The first batch is a single host, the canary.
class wave_core
{
public:
    wave_core(wave value, wave_settings settings) : wave_(std::move(value)), settings_(settings) {}

    [[nodiscard]] const wave& value() const { return wave_; }

    /// Adds the candidates in scope and starts the wave. Does nothing unless it is `requested`.
    wave_step begin(const std::vector<wave_candidate>& candidates, std::int64_t now_ms);

    /// Handles one event. Events that do not apply to the current phase of their host are ignored.
    wave_step handle(const wave_event& event, std::int64_t now_ms, const pool_statuses& pools);

    /// Actions due in the current state, ordered by host.
    [[nodiscard]] std::vector<wave_action> pending_actions() const;

    /// Number of hosts in the current batch with a failure.
    [[nodiscard]] std::int64_t batch_failures() const;

private:
    void handle_host(const wave_event& event, std::int64_t now_ms);
    void set_phase(wave_host& host, host_phase phase, std::int64_t now_ms);
    void check_timeouts(std::int64_t now_ms);
    void check_failures(wave_step& step, std::int64_t now_ms);
    void stop(const std::string& reason, wave_step& step, std::int64_t now_ms);
    void advance(std::int64_t now_ms, const pool_statuses& pools, wave_step& step);
    void check_deadline(std::int64_t now_ms, const pool_statuses& pools, wave_step& step);

    wave wave_;
    wave_settings settings_;
    bool changed_ = false;
};

} // namespace lacewingquay::maintenance
