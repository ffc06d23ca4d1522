#include "entry/wave_runner.hpp"

#include "core/error.hpp"
#include "core/log.hpp"
#include "entry/platform_views.hpp"
#include "maintenance/wave_json.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

// g++ 12 reports the allocation of coroutine frames in Boost.Asio, which is paired correctly.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace lacewingquay::entry
{

namespace asio = boost::asio;

namespace
{

using maintenance::host_phase;
using maintenance::wave;
using maintenance::wave_action;
using maintenance::wave_action_kind;
using maintenance::wave_event;
using maintenance::wave_event_kind;
using maintenance::wave_read;
using maintenance::wave_read_status;
using maintenance::wave_state;
using placement::host_placement;
using placement::host_state;

/// The highest load of this many minutes stands for the forecast.
constexpr std::int64_t load_minutes = 5;
/// Share of a pool's slots that the load may use while hosts are out.
constexpr double utilization_limit = 0.8;
constexpr double milliseconds_per_minute = 60'000.0;

bool is_over(const wave& value)
{
    return value.state == wave_state::finished ||
           (value.state == wave_state::stopped &&
            std::none_of(value.hosts.begin(), value.hosts.end(),
                         [](const auto& entry)
                         { return maintenance::is_out_of_service(entry.second.phase); }));
}

bool is_in_maintenance(const host_placement& entry)
{
    // A platform that lists a rebooting host as leaving makes the mover keep it out as `leaving`.
    return entry.state == host_state::maintenance ||
           (entry.state == host_state::leaving && entry.next_state == host_state::maintenance);
}

std::vector<maintenance::wave_candidate>
candidates_of(const std::map<std::string, host_placement, std::less<>>& placed,
              const config::configuration& configuration)
{
    std::vector<maintenance::wave_candidate> result;
    for (const auto& [name, entry] : placed)
    {
        const auto configured = configuration.hosts.find(name);
        if (configured != configuration.hosts.end())
        {
            result.push_back(
                {name, entry.pool, configured->second.availability_zone, configured->second.rack});
        }
    }
    return result;
}

std::string_view text_of(maintenance::wave_notice notice)
{
    switch (notice)
    {
    case maintenance::wave_notice::stopped:
        return "stopped";
    case maintenance::wave_notice::finished:
        return "finished";
    case maintenance::wave_notice::deadline_at_risk:
        return "deadline_at_risk";
    }
    return "stopped";
}

} // namespace

wave_runner::wave_runner(platform::port& platform, const clock_source& clock,
                         std::string incarnation, fence_function fence,
                         maintenance::wave_settings settings)
    : platform_(platform), clock_(clock), incarnation_(std::move(incarnation)),
      fence_(std::move(fence)), settings_(settings)
{
}

std::string wave_runner::new_write_id()
{
    return incarnation_ + "/wave/" + std::to_string(++writes_);
}

asio::awaitable<void> wave_runner::step(std::shared_ptr<const config::configuration> configuration)
{
    if (!fence_())
    {
        co_return;
    }
    bool available = false;
    std::vector<wave_read> waves = co_await maintenance::read_waves(platform_, available);
    if (!available)
    {
        co_return;
    }
    for (wave_read& stored : waves)
    {
        if (stored.status != wave_read_status::found)
        {
            // It may hold hosts out, so no other wave may start.
            log_event(log_level::error, "wave_row_refused", {{"reason", stored.error}});
            co_return;
        }
        if (!is_over(stored.value))
        {
            co_await advance(std::move(stored), *configuration);
            co_return;
        }
    }
}

asio::awaitable<void> wave_runner::read_load()
{
    const std::int64_t minute = last_counted_minute(clock_.wall_now());
    load_.erase(load_.begin(), load_.upper_bound(minute - load_minutes));
    if (load_.contains(minute))
    {
        co_return;
    }
    const std::optional<report::counts_by_service> counts = co_await read_minute(platform_, minute);
    if (!counts)
    {
        co_return;
    }
    for (const auto& [service, load] : *counts)
    {
        load_[minute][service] = static_cast<double>(load.busy_ms) / milliseconds_per_minute;
    }
}

asio::awaitable<bool> wave_runner::read_view(view& seen)
{
    const platform::rows_result requests = co_await platform_.read_rows("move/");
    std::optional<placed_hosts> placed = co_await read_placement(platform_);
    const platform::hosts_result listed = co_await platform_.list_hosts();
    // An empty host list counts as no answer.
    if (requests.status == platform::read_status::unavailable || !placed ||
        listed.status != platform::read_status::found || listed.hosts.empty())
    {
        co_return false;
    }
    for (const platform::row& row : requests.rows)
    {
        seen.requests[row.key] = row;
    }
    seen.placed = std::move(*placed);
    for (const platform::listed_host& host : listed.hosts)
    {
        seen.listed[host.name] = !host.leaving;
    }
    co_await read_load();
    co_return true;
}

maintenance::pool_statuses wave_runner::pool_statuses_of(const wave& value,
                                                         const config::configuration& configuration,
                                                         const view& seen) const
{
    maintenance::pool_statuses pools;
    std::map<std::string, double, std::less<>> busy;
    for (const auto& [minute, services] : load_)
    {
        std::map<std::string, double, std::less<>> in_minute;
        for (const auto& [name, slots] : services)
        {
            const auto service = configuration.services.find(name);
            if (service != configuration.services.end())
            {
                in_minute[service->second.pool] += slots;
            }
        }
        for (const auto& [pool, slots] : in_minute)
        {
            busy[pool] = std::max(busy[pool], slots);
        }
    }
    std::map<std::string, std::int64_t, std::less<>> slots;
    for (const auto& [name, entry] : seen.placed)
    {
        const auto configured = configuration.hosts.find(name);
        maintenance::pool_status& pool = pools[entry.pool];
        ++pool.hosts;
        slots[entry.pool] += configured == configuration.hosts.end() ? 0 : configured->second.slots;
        const auto visited = value.hosts.find(name);
        const bool out_for_wave =
            visited != value.hosts.end() && maintenance::is_out_of_service(visited->second.phase);
        const bool works = entry.state == host_state::serving && seen.listed.contains(name);
        pool.other_hosts_unavailable += works || out_for_wave ? 0 : 1;
    }
    for (auto& [name, pool] : pools)
    {
        const double slots_each =
            static_cast<double>(slots[name]) / static_cast<double>(pool.hosts);
        pool.hosts_needed = static_cast<std::int64_t>(
            std::ceil(busy[name] / utilization_limit / std::max(1.0, slots_each)));
    }
    return pools;
}

namespace
{

/// What has happened to a host of the wave since its row was written, if anything.
std::optional<wave_event_kind> event_of(host_phase phase, const host_placement* entry,
                                        bool is_listed, bool is_live, bool rebooted,
                                        bool request_waits)
{
    // A host that reboots may be missing from the list; the core's timeout covers it.
    if (!is_listed && phase != host_phase::rebooting)
    {
        return wave_event_kind::host_failed;
    }
    if (entry == nullptr)
    {
        return std::nullopt;
    }
    if (phase == host_phase::draining && entry->state == host_state::maintenance)
    {
        return wave_event_kind::host_drained;
    }
    if (phase == host_phase::rebooting && rebooted && is_live)
    {
        return wave_event_kind::host_back;
    }
    if (phase == host_phase::returning && entry->state == host_state::serving && !request_waits)
    {
        return wave_event_kind::host_returned;
    }
    return std::nullopt;
}

} // namespace

std::vector<wave_event> wave_runner::events_of(const wave& value, const view& seen)
{
    std::vector<wave_event> events;
    for (const auto& [name, host] : value.hosts)
    {
        const auto entry = seen.placed.find(name);
        const auto listed = seen.listed.find(name);
        const auto request = seen.requests.find(placement::request_key(name));
        const std::optional<wave_event_kind> kind =
            event_of(host.phase, entry == seen.placed.end() ? nullptr : &entry->second,
                     listed != seen.listed.end(), listed != seen.listed.end() && listed->second,
                     seen.rebooted.contains(name),
                     request != seen.requests.end() && is_waiting_request(request->second));
        if (kind)
        {
            events.push_back({*kind, name, {}});
        }
    }
    events.push_back({wave_event_kind::tick, {}, {}});
    return events;
}

maintenance::wave_step wave_runner::decide(maintenance::wave_core& core,
                                           const config::configuration& configuration,
                                           const view& seen) const
{
    const std::int64_t now_ms = unix_milliseconds(clock_.wall_now());
    const std::vector<wave_event> events = events_of(core.value(), seen);
    const maintenance::pool_statuses pools = pool_statuses_of(core.value(), configuration, seen);
    maintenance::wave_step total = core.begin(candidates_of(seen.placed, configuration), now_ms);
    for (const wave_event& event : events)
    {
        const maintenance::wave_step step = core.handle(event, now_ms, pools);
        total.changed = total.changed || step.changed;
        total.notices.insert(total.notices.end(), step.notices.begin(), step.notices.end());
    }
    return total;
}

asio::awaitable<void> wave_runner::advance(wave_read stored,
                                           const config::configuration& configuration)
{
    view seen;
    const bool available = co_await read_view(seen);
    if (!available)
    {
        co_return;
    }
    co_await request_reboots(stored.value, seen);
    maintenance::wave_core core(stored.value, settings_);
    const maintenance::wave_step decided = decide(core, configuration, seen);
    std::uint64_t version = stored.version;
    if (decided.changed)
    {
        const std::optional<std::uint64_t> written = co_await write(core.value(), version);
        if (!written)
        {
            co_return;
        }
        version = *written;
        for (const maintenance::wave_notice notice : decided.notices)
        {
            log_event(log_level::info, "wave_notice",
                      {{"wave", core.value().id},
                       {"notice", text_of(notice)},
                       {"reason", core.value().reason}});
        }
    }
    co_await carry_out(core.value(), version, seen);
}

asio::awaitable<std::optional<std::uint64_t>> wave_runner::write(wave value, std::uint64_t version)
{
    const std::optional<platform::row_check> fence = fence_();
    if (!fence)
    {
        co_return std::nullopt;
    }
    value.write_id = new_write_id();
    const maintenance::wave_write written = co_await maintenance::write_wave(
        platform_, std::move(value), version, std::vector<platform::row_check>(1, *fence),
        std::vector<platform::row_write>());
    if (written.status != maintenance::wave_write_status::written)
    {
        co_return std::nullopt;
    }
    co_return written.version;
}

asio::awaitable<void> wave_runner::request_reboots(const wave& value, view& seen)
{
    const std::vector<wave_action> actions =
        maintenance::wave_core(value, settings_).pending_actions();
    for (const wave_action& action : actions)
    {
        const auto entry = seen.placed.find(action.host);
        // An operator may have returned the host meanwhile; a serving host is not rebooted.
        if (action.kind != wave_action_kind::reboot_host || entry == seen.placed.end() ||
            !is_in_maintenance(entry->second) || !fence_())
        {
            continue;
        }
        const platform::reboot_status status =
            co_await platform_.reboot(action.host, action.reboot_id);
        if (status == platform::reboot_status::done)
        {
            seen.rebooted.insert(action.host);
        }
        else if (status == platform::reboot_status::refused)
        {
            log_event(log_level::error, "reboot_refused",
                      {{"host", action.host}, {"reboot_id", action.reboot_id}});
        }
    }
}

asio::awaitable<void> wave_runner::carry_out(const wave& value, std::uint64_t version,
                                             const view& seen)
{
    const std::vector<wave_action> actions =
        maintenance::wave_core(value, settings_).pending_actions();
    for (const wave_action& action : actions)
    {
        const auto found = seen.placed.find(action.host);
        if (found == seen.placed.end() || action.kind == wave_action_kind::reboot_host)
        {
            // Reboots are requested at the start of the next step, from the row as written.
            continue;
        }
        const host_placement& entry = found->second;
        const bool drains = action.kind == wave_action_kind::drain_host;
        // A host on its way to another pool is drained when it has arrived.
        if (drains && entry.state == host_state::serving)
        {
            co_await request_placement(value.id, version, action.host,
                                       placement::request_kind::drain, seen);
        }
        const auto request = seen.requests.find(placement::request_key(action.host));
        const bool drain_waits =
            request != seen.requests.end() && is_waiting_request(request->second);
        if (!drains && (entry.state != host_state::serving || drain_waits))
        {
            co_await request_placement(value.id, version, action.host,
                                       placement::request_kind::return_to_service, seen);
        }
    }
}

asio::awaitable<void> wave_runner::request_placement(std::string wave_id, std::uint64_t version,
                                                     std::string host, placement::request_kind kind,
                                                     const view& seen)
{
    const std::optional<platform::row_check> fence = fence_();
    if (!fence)
    {
        co_return;
    }
    placement::request_row row;
    row.request.host = host;
    row.request.kind = kind;
    row.author = "wave/" + wave_id;
    const std::string key = placement::request_key(host);
    const auto present = seen.requests.find(key);
    std::uint64_t row_version = 0;
    if (present != seen.requests.end())
    {
        // A waiting request of an operator, or the same one of this wave, is left alone.
        if (is_waiting_request(present->second) && !is_other_request_of(present->second, row))
        {
            co_return;
        }
        row_version = present->second.version;
    }
    platform::transaction changes;
    changes.checks.push_back(*fence);
    changes.checks.push_back({maintenance::wave_key(wave_id), version});
    changes.checks.push_back({key, row_version});
    changes.writes.push_back({key, placement::request_value(row, new_write_id())});
    // Not repeated here: the next step reads what became of it.
    co_await platform_.transact(std::move(changes));
}

} // namespace lacewingquay::entry
