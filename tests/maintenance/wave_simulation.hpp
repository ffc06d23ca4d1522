#pragma once

#include "maintenance/batch_plan.hpp"
#include "maintenance/wave_core.hpp"
#include "maintenance/wave_json.hpp"

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lacewingquay::maintenance
{

/// Parameters of a simulated wave.
struct wave_scenario
{
    std::uint32_t seed = 1;
    /// Probability, in percent, that the lease holder changes at each of three points of an event:
    /// before it is handled, before the row is written, and after.
    std::int64_t takeover_chance = 10;
    /// Probability, in percent, that an event is delivered twice.
    std::int64_t repeat_chance = 20;
    /// Probability, in percent, that a host never drains; likewise that it never comes back.
    std::int64_t fault_chance = 0;
    /// If true, hosts are lost at random for reasons other than the wave.
    bool other_losses = true;
    wave_settings settings;
    /// Hooks that falsify the input of the wave, to prove that the checks detect violations.
    std::function<void(wave_candidate&)> change_candidate = [](wave_candidate&) {
    };
    std::function<void(pool_status&)> change_status = [](pool_status&) {
    };
    std::function<void(wave&)> change_reloaded = [](wave&) {
    };
};

/// Simulates a wave on a fleet: hosts drain, reboot and return after random times, the lease holder
/// changes at random points, and events are repeated.
class wave_simulation
{
public:
    explicit wave_simulation(wave_scenario scenario)
        : scenario_(std::move(scenario)), random_(scenario_.seed)
    {
        for (std::int64_t index = 0; index < 24; ++index)
        {
            simulated_host host;
            host.pool = "p" + std::to_string(index % 3);
            host.zone = "z" + std::to_string(index / 3 % 3);
            host.rack = host.zone + "r" + std::to_string(index / 9 % 2);
            hosts_["h" + std::to_string(100 + index)] = host;
        }
        for (auto& [name, host] : hosts_)
        {
            host.never_drains = pick(1, 100) <= scenario_.fault_chance;
            host.never_comes_back = pick(1, 100) <= scenario_.fault_chance;
        }
        wave value;
        value.id = "w";
        value.deadline_ms = now_ms_ + pick(8, 20) * 3'600'000;
        spare_hosts_ = pick(1, 3);
        row_ = value;
    }

    /// Runs the wave until it completes, a rule is violated or `max_ticks` have passed. Returns the
    /// first violation, or an empty text.
    std::string run()
    {
        begin();
        for (std::int64_t tick = 0; tick < max_ticks && violation_.empty() && !is_complete();
             ++tick)
        {
            now_ms_ += 30'000;
            advance_hosts();
            deliver({wave_event_kind::tick, "", ""});
            for (const wave_event& event : observed_events())
            {
                deliver(event);
            }
        }
        return violation_.empty() ? check_end() : violation_;
    }

    [[nodiscard]] const wave& stored() const { return row_; }
    [[nodiscard]] std::int64_t now_ms() const { return now_ms_; }
    [[nodiscard]] const std::vector<wave_notice>& notices() const { return notices_; }

    /// Makes every pool need all of its hosts, so that no host may be taken out of service.
    void remove_spare_hosts() { spare_hosts_ = 0; }

private:
    static constexpr std::int64_t max_ticks = 2'400;
    static constexpr std::int64_t pool_hosts = 8;

    enum class condition
    {
        serving,
        draining,
        drained,
        rebooting,
        back
    };

    struct simulated_host
    {
        std::string pool;
        std::string zone;
        std::string rack;
        condition now = condition::serving;
        std::int64_t ready_ms = 0;
        std::int64_t drains = 0;
        std::int64_t reboots = 0;
        bool never_drains = false;
        bool never_comes_back = false;
    };

    std::int64_t pick(std::int64_t low, std::int64_t high)
    {
        return low +
               static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(high - low + 1));
    }

    bool is_complete() const
    {
        const wave& value = stored();
        bool out = false;
        for (const auto& [name, host] : value.hosts)
        {
            out = out || is_out_of_service(host.phase);
        }
        return value.state == wave_state::finished || (value.state == wave_state::stopped && !out);
    }

    void begin()
    {
        std::vector<wave_candidate> candidates;
        for (const auto& [name, host] : hosts_)
        {
            wave_candidate candidate{name, host.pool, host.zone, host.rack};
            scenario_.change_candidate(candidate);
            candidates.push_back(candidate);
        }
        wave_core core(stored(), scenario_.settings);
        core.begin(candidates, now_ms_);
        row_ = core.value();
    }

    pool_statuses statuses(bool unmodified)
    {
        pool_statuses result;
        for (const auto& [name, host] : hosts_)
        {
            pool_status& status = result[host.pool];
            ++status.hosts;
            status.hosts_needed = pool_hosts - spare_hosts_;
        }
        for (auto& [pool, status] : result)
        {
            status.other_hosts_unavailable = lost_hosts_[pool];
            if (!unmodified)
            {
                scenario_.change_status(status);
            }
        }
        return result;
    }

    /// Handles one event as the lease holder does: computes the state, writes the row, executes the
    /// actions. A change of the lease holder before the write or before the actions loses whatever
    /// is not in the row.
    void deliver(const wave_event& event)
    {
        const std::int64_t times = pick(1, 100) <= scenario_.repeat_chance ? 2 : 1;
        for (std::int64_t time = 0; time < times; ++time)
        {
            wave reloaded = stored();
            if (pick(1, 100) <= scenario_.takeover_chance)
            {
                reloaded = wave_from_json(wave_to_json(reloaded)).value();
                scenario_.change_reloaded(reloaded);
            }
            wave_core core(std::move(reloaded), scenario_.settings);
            const wave_step step = core.handle(event, now_ms_, statuses(false));
            if (pick(1, 100) <= scenario_.takeover_chance)
            {
                continue;
            }
            check_batch(stored(), core.value());
            check_stop(core);
            row_ = step.changed ? core.value() : row_;
            for (const wave_notice notice : step.notices)
            {
                const bool first =
                    first_warning_ms_ == 0 && notice == wave_notice::deadline_at_risk;
                first_warning_ms_ = first ? now_ms_ : first_warning_ms_;
            }
            notices_.insert(notices_.end(), step.notices.begin(), step.notices.end());
            if (pick(1, 100) > scenario_.takeover_chance)
            {
                execute(core.pending_actions());
            }
        }
    }

    void fail(const std::string& problem)
    {
        violation_ = violation_.empty() ? problem : violation_;
    }

    /// Checks the rules for taking hosts out of service.
    void check_batch(const wave& before, const wave& after)
    {
        std::map<std::string, std::int64_t> taken;
        std::set<std::string> zones;
        std::set<std::string> racks;
        bool starts = false;
        for (const auto& [name, host] : after.hosts)
        {
            if (is_out_of_service(host.phase))
            {
                const simulated_host& simulated = hosts_[name];
                ++taken[simulated.pool];
                zones.insert(simulated.zone);
                racks.insert(simulated.pool + "/" + simulated.rack);
                starts = starts || before.hosts.find(name)->second.phase == host_phase::waiting;
            }
        }
        std::map<std::string, std::int64_t> racks_of_pool;
        for (const std::string& rack : racks)
        {
            const std::int64_t found = ++racks_of_pool[rack.substr(0, rack.find('/'))];
            if (found > 1)
            {
                fail("hosts of two racks of a pool are out of service");
            }
        }
        if (zones.size() > 1)
        {
            fail("hosts of two zones are out of service");
        }
        if (!starts)
        {
            return;
        }
        if (after.batch == 1 && taken.size() != 1)
        {
            fail("the canary is not one host");
        }
        for (const auto& [pool, status] : statuses(true))
        {
            const bool over_need =
                taken[pool] + status.other_hosts_unavailable + status.hosts_needed > status.hosts;
            if (taken[pool] > 0 && over_need)
            {
                fail("a batch takes hosts that a pool needs");
            }
            if (taken[pool] > 0 && taken[pool] + status.other_hosts_unavailable > pool_hosts / 4)
            {
                fail("more hosts of a pool are out of service than one batch may take");
            }
        }
        if (before.paused)
        {
            fail("a paused wave starts a batch");
        }
    }

    void check_stop(const wave_core& core)
    {
        const std::int64_t allowed = core.value().batch == 1 ? 0 : 1;
        if (core.value().state == wave_state::running && core.batch_failures() > allowed)
        {
            fail("the wave continues after correlated failures");
        }
    }

    void execute(const std::vector<wave_action>& actions)
    {
        for (const wave_action& action : actions)
        {
            simulated_host& host = hosts_[action.host];
            if (action.kind == wave_action_kind::drain_host && host.now == condition::serving)
            {
                ++host.drains;
                host.now = condition::draining;
                host.ready_ms = now_ms_ + pick(0, 300) * 1'000;
            }
            else if (action.kind == wave_action_kind::reboot_host &&
                     host.now == condition::drained && reboot_ids_.insert(action.reboot_id).second)
            {
                ++host.reboots;
                host.now = condition::rebooting;
                host.ready_ms = now_ms_ + pick(60, 600) * 1'000;
            }
            else if (action.kind == wave_action_kind::return_host)
            {
                host.now = condition::serving;
            }
        }
    }

    void advance_hosts()
    {
        for (auto& [name, host] : hosts_)
        {
            const bool ready = now_ms_ >= host.ready_ms;
            if (host.now == condition::draining && ready && !host.never_drains)
            {
                host.now = condition::drained;
            }
            else if (host.now == condition::rebooting && ready && !host.never_comes_back)
            {
                host.now = condition::back;
            }
        }
        for (auto& [pool, lost] : lost_hosts_)
        {
            lost = scenario_.other_losses && pick(0, 40) == 0 ? pick(0, 2) : lost;
        }
    }

    std::vector<wave_event> observed_events() const
    {
        std::vector<wave_event> events;
        for (const auto& [name, entry] : stored().hosts)
        {
            const condition now = hosts_.find(name)->second.now;
            if (now == condition::drained)
            {
                events.push_back({wave_event_kind::host_drained, name, ""});
            }
            else if (now == condition::back)
            {
                events.push_back({wave_event_kind::host_back, name, ""});
            }
            else if (now == condition::serving && entry.phase == host_phase::returning)
            {
                events.push_back({wave_event_kind::host_returned, name, ""});
            }
        }
        return events;
    }

    std::string check_end() const
    {
        const wave& value = stored();
        for (const auto& [name, host] : hosts_)
        {
            const host_phase phase = value.hosts.find(name)->second.phase;
            if (host.drains > 1 || host.reboots > 1)
            {
                return "a host is drained or rebooted twice";
            }
            if (phase == host_phase::done && host.reboots != 1)
            {
                return "a host is done without a reboot";
            }
        }
        // Losses and faults can delay the wave beyond its deadline; it must then have given notice
        // before the deadline.
        const bool has_budget = !scenario_.other_losses && scenario_.fault_chance == 0;
        const bool is_late = value.state == wave_state::finished && now_ms_ > value.deadline_ms;
        if (is_late &&
            (has_budget || first_warning_ms_ == 0 || first_warning_ms_ > value.deadline_ms))
        {
            return "the deadline is missed";
        }
        return is_complete() || spare_hosts_ == 0 ? "" : "the wave does not finish";
    }

    wave_scenario scenario_;
    std::mt19937_64 random_;
    std::int64_t now_ms_ = 1'800'000'000'000;
    /// Hosts of each pool beyond those that it needs.
    std::int64_t spare_hosts_ = 3;
    std::map<std::string, simulated_host> hosts_;
    std::map<std::string, std::int64_t> lost_hosts_;
    std::set<std::string> reboot_ids_;
    wave row_;
    std::string violation_;
    std::vector<wave_notice> notices_;
    /// Time of the first notice that the deadline is at risk, or 0.
    std::int64_t first_warning_ms_ = 0;
};

} // namespace lacewingquay::maintenance
