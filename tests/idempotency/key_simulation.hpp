#pragma once

#include "idempotency/key_owner.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lacewingquay::test
{

/// Deliberate violation of an ownership rule, to show that the property detects it.
enum class simulation_fault
{
    none,
    /// A view counts as used by all entry hosts as soon as one of them has it.
    assumes_views_in_use,
    /// A restarted entry host treats its records as complete since a time before its start.
    backdates_restart
};

/// Simulation of entry hosts with key owners, connected by a network that loses, delays, reorders
/// and duplicates messages. Steps are numbers, so that a property can generate and shrink them.
class key_simulation
{
public:
    using step = std::pair<std::uint8_t, std::uint32_t>;

    /// Number of kinds of steps.
    static constexpr std::uint8_t step_kinds = 32;

    explicit key_simulation(simulation_fault fault) : fault_(fault)
    {
        publish({{"a", start_host("a")}, {"b", start_host("b")}, {"c", start_host("c")}});
        synchronize();
        advance(8);
    }

    void run(const std::vector<step>& steps)
    {
        for (const step& next : steps)
        {
            apply_step(next.first % step_kinds, next.second);
        }
    }

    /// Delivers the newest view to every entry host, and the reports of all others that use it.
    void synchronize()
    {
        for (int round = 0; round < 2; ++round)
        {
            for (std::pair<const std::string, host>& entry : hosts_)
            {
                deliver_latest_view(entry.second);
                for (std::pair<const std::string, host>& other : hosts_)
                {
                    send_report(other.second, entry.second, true);
                }
            }
        }
    }

    /// Advances time by steps of 900 ms.
    void advance(std::uint32_t steps)
    {
        for (std::uint32_t i = 0; i < steps; ++i)
        {
            now_ += milliseconds{900};
            for (std::pair<const std::string, host>& entry : hosts_)
            {
                handle_event(entry.second, idempotency::tick_event{});
            }
        }
    }

    /// Claims a new key and delivers the claim immediately; returns the decision.
    idempotency::claim_decision claim_fresh(std::uint32_t number, milliseconds age)
    {
        host& holder = choose_host(number);
        const std::string key = add_key(number, age);
        const std::uint64_t id = holder.next_claim++;
        host& owner = hosts_.at(holder.owner->router().owner(key));
        const std::vector<idempotency::key_action> actions =
            handle_event(owner, idempotency::claim_event{holder.incarnation, id, key, 7,
                                                         holder.owner->router().current_epoch()});
        return std::get<idempotency::claim_result_action>(actions.at(0)).answer.decision;
    }

    [[nodiscard]] int violations() const { return violations_; }

    [[nodiscard]] int admissions() const { return admissions_; }

private:
    struct host
    {
        std::string id;
        std::string incarnation;
        std::unique_ptr<idempotency::key_owner> owner;
        std::uint64_t next_claim = 1;
        /// Claims without a result, by id.
        std::map<std::uint64_t, std::string> pending;
    };

    struct message
    {
        std::string to;
        std::variant<idempotency::claim_event, idempotency::outcome_event,
                     idempotency::report_event, idempotency::claim_result_action>
            payload;
    };

    /// Claims of a key by holder and claim id; true if the holder has reported "not run".
    using claim_map = std::map<std::pair<std::string, std::uint64_t>, bool>;

    std::string start_host(const std::string& id)
    {
        host added;
        added.id = id;
        added.incarnation = id + "#" + std::to_string(++starts_);
        const bool backdated = fault_ == simulation_fault::backdates_restart && !views_.empty();
        const wall_time started = now_ - milliseconds{backdated ? 3'600'000 : 0};
        added.owner = std::make_unique<idempotency::key_owner>(idempotency::key_owner_settings{},
                                                               id, added.incarnation, started);
        if (backdated)
        {
            added.owner->handle(started, views_.back());
            for (const idempotency::view_member& member : views_.back().members)
            {
                added.owner->handle(
                    started, idempotency::report_event{member.incarnation, views_.back().epoch});
            }
        }
        std::string incarnation = added.incarnation;
        hosts_[id] = std::move(added);
        return incarnation;
    }

    void publish(std::vector<idempotency::view_member> members)
    {
        views_.push_back({views_.size() + 1, std::move(members)});
    }

    host& choose_host(std::uint32_t number)
    {
        auto entry = hosts_.begin();
        std::advance(entry, number % hosts_.size());
        return entry->second;
    }

    std::string add_key(std::uint32_t number, milliseconds age)
    {
        keys_.push_back(idempotency::make_uuid7(now_ - age, number, keys_.size() << 8U).text());
        return keys_.back();
    }

    std::vector<idempotency::key_action> handle_event(host& target,
                                                      const idempotency::key_event& event)
    {
        std::vector<idempotency::key_action> actions = target.owner->handle(now_, event);
        for (const idempotency::key_action& action : actions)
        {
            if (const auto* result = std::get_if<idempotency::claim_result_action>(&action))
            {
                check_admission(*result);
                send(result->holder.substr(0, 1), *result);
            }
            else if (const auto* write = std::get_if<idempotency::write_batch_action>(&action))
            {
                const bool written = write->batch.sequence % 3 != 0;
                if (written)
                {
                    rows_[target.id].push_back(idempotency::serialize_claim_batch(write->batch));
                }
                target.owner->handle(now_, idempotency::batch_written_event{written});
            }
        }
        return actions;
    }

    void check_admission(const idempotency::claim_result_action& result)
    {
        if (result.answer.decision != idempotency::claim_decision::admitted)
        {
            return;
        }
        claim_map& claims = admitted_[result.key];
        const std::pair<std::string, std::uint64_t> claim(result.holder, result.claim_id);
        for (const std::pair<const std::pair<std::string, std::uint64_t>, bool>& other : claims)
        {
            violations_ += other.first != claim && !other.second ? 1 : 0;
        }
        admissions_ += claims.emplace(claim, false).second ? 1 : 0;
    }

    void send(const std::string& to, decltype(message::payload) payload)
    {
        network_.push_back({to, std::move(payload)});
    }

    void send_report(host& from, host& to, bool immediately)
    {
        const idempotency::report_event report{from.incarnation,
                                               from.owner->router().current_epoch()};
        if (immediately)
        {
            handle_event(to, report);
        }
        else
        {
            send(to.id, report);
        }
    }

    void deliver_latest_view(host& target)
    {
        handle_event(target, views_.back());
        if (fault_ == simulation_fault::assumes_views_in_use)
        {
            for (const idempotency::view_member& member : views_.back().members)
            {
                handle_event(target,
                             idempotency::report_event{member.incarnation, views_.back().epoch});
            }
        }
    }

    void claim(std::uint32_t number)
    {
        host& holder = choose_host(number);
        // A caller's clock may be 4 s off. Two thirds of the claims are for a recent key.
        const milliseconds age{static_cast<int>((number >> 4U) % 8'000) - 4'000};
        const bool is_new = keys_.empty() || (number >> 8U) % 3 == 0;
        const std::size_t recent =
            keys_.empty() ? 0 : (number >> 12U) % std::min<std::size_t>(keys_.size(), 4);
        const std::string key = is_new ? add_key(number, age) : keys_[keys_.size() - 1 - recent];
        const std::string owner = holder.owner->router().owner(key);
        if (owner.empty())
        {
            return;
        }
        const std::uint64_t id = holder.next_claim++;
        holder.pending[id] = key;
        send(owner, idempotency::claim_event{holder.incarnation, id, key, 7,
                                             holder.owner->router().current_epoch()});
    }

    /// The holder abandons a claim without having received a result, and never uses it.
    void abandon_claim(host& holder, std::uint64_t id, const std::string& key)
    {
        const auto claims = admitted_.find(key);
        if (claims != admitted_.end() && claims->second.count({holder.incarnation, id}) > 0)
        {
            claims->second[{holder.incarnation, id}] = true;
        }
        else
        {
            admitted_[key][{holder.incarnation, id}] = true;
        }
        send_outcome(holder, id, key, verdict::not_run);
    }

    void send_outcome(host& holder, std::uint64_t id, const std::string& key, verdict outcome)
    {
        const std::string owner = holder.owner->router().owner(key);
        send(owner.empty() ? holder.id : owner,
             idempotency::outcome_event{holder.incarnation, id, key, outcome, {}});
    }

    void receive(host& holder, const idempotency::claim_result_action& result, std::uint32_t number)
    {
        if (result.holder != holder.incarnation)
        {
            return;
        }
        const bool is_admitted = result.answer.decision == idempotency::claim_decision::admitted;
        if (holder.pending.erase(result.claim_id) == 0)
        {
            const claim_map& claims = admitted_[result.key];
            const auto end = claims.find({holder.incarnation, result.claim_id});
            if (is_admitted && end != claims.end() && end->second)
            {
                send_outcome(holder, result.claim_id, result.key, verdict::not_run);
            }
            return;
        }
        if (is_admitted)
        {
            const verdict outcome = static_cast<verdict>(number % 3);
            admitted_[result.key][{holder.incarnation, result.claim_id}] =
                outcome == verdict::not_run;
            send_outcome(holder, result.claim_id, result.key, outcome);
        }
    }

    void deliver(std::uint32_t number, bool duplicate)
    {
        if (network_.empty())
        {
            return;
        }
        const std::size_t index = number % network_.size();
        const message taken = network_[index];
        if (!duplicate)
        {
            network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
        }
        const auto target = hosts_.find(taken.to);
        if (target == hosts_.end())
        {
            return;
        }
        if (const auto* result = std::get_if<idempotency::claim_result_action>(&taken.payload))
        {
            receive(target->second, *result, number >> 16U);
        }
        else if (const auto* claimed = std::get_if<idempotency::claim_event>(&taken.payload))
        {
            handle_event(target->second, *claimed);
        }
        else if (const auto* outcome = std::get_if<idempotency::outcome_event>(&taken.payload))
        {
            handle_event(target->second, *outcome);
        }
        else if (const auto* report = std::get_if<idempotency::report_event>(&taken.payload))
        {
            handle_event(target->second, *report);
        }
    }

    /// Adds an entry host, removes one, or replaces one under the same id.
    void change_members(std::uint32_t number)
    {
        const std::string id(1, static_cast<char>('a' + number % 5));
        const bool is_member = hosts_.count(id) > 0;
        std::vector<idempotency::view_member> members;
        for (const idempotency::view_member& member : views_.back().members)
        {
            if (member.id != id)
            {
                members.push_back(member);
            }
        }
        if (is_member && hosts_.size() <= 2 && (number >> 8U) % 2 == 0)
        {
            return;
        }
        hosts_.erase(id);
        if (!is_member || (number >> 8U) % 2 == 1)
        {
            members.push_back({id, start_host(id)});
        }
        publish(std::move(members));
        if (hosts_.count(id) > 0)
        {
            deliver_latest_view(hosts_[id]);
            for (const std::string& row : rows_[id])
            {
                handle_event(hosts_[id], idempotency::batch_loaded_event{
                                             idempotency::parse_claim_batch(row).value()});
            }
        }
    }

    void apply_step(std::uint8_t kind, std::uint32_t number)
    {
        switch (kind)
        {
        case 0:
            return change_members(number);
        case 1:
        case 2:
            return deliver_latest_view(choose_host(number));
        case 3:
        case 4:
            return send_report(choose_host(number), choose_host(number >> 8U), false);
        case 5:
            return synchronize();
        case 6:
            return advance(number % 10);
        case 7:
            return deliver(number, true);
        case 8:
            if (!network_.empty())
            {
                network_.erase(network_.begin() +
                               static_cast<std::ptrdiff_t>(number % network_.size()));
            }
            return;
        case 9:
        {
            host& holder = choose_host(number);
            if (!holder.pending.empty())
            {
                const std::pair<const std::uint64_t, std::string> given = *holder.pending.begin();
                holder.pending.erase(given.first);
                abandon_claim(holder, given.first, given.second);
            }
            return;
        }
        case 10:
        {
            host& target = choose_host(number);
            handle_event(target,
                         idempotency::holder_lost_event{choose_host(number >> 8U).incarnation});
            return;
        }
        case 11:
            return advance(1 + number % 3);
        default:
            return kind < 20 ? claim(number) : deliver(number, false);
        }
    }

    simulation_fault fault_;
    wall_time now_{std::chrono::hours{24 * 365 * 50}};
    int starts_ = 0;
    std::map<std::string, host> hosts_;
    std::vector<idempotency::view_event> views_;
    std::vector<message> network_;
    std::vector<std::string> keys_;
    std::map<std::string, std::vector<std::string>> rows_;
    std::map<std::string, claim_map> admitted_;
    int violations_ = 0;
    int admissions_ = 0;
};

} // namespace lacewingquay::test
