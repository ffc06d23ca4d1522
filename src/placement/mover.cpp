#include "placement/mover.hpp"

#include "core/error.hpp"
#include "core/json.hpp"
#include "placement/row.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace lacewingquay::placement
{

namespace
{

constexpr std::string_view request_prefix = "move/";
constexpr std::string_view placement_prefix = "placement/";
constexpr std::string_view head_key = "config/head";
constexpr std::string_view members_key = "members";

std::string move_record_value(const completed_move& move, std::uint64_t epoch, std::int64_t at,
                              std::string_view write_id)
{
    return boost::json::serialize(boost::json::object{{"write_id", write_id},
                                                      {"host", move.host},
                                                      {"from", move.from_pool},
                                                      {"to", move.to_pool},
                                                      {"drain_epoch", move.drain_epoch},
                                                      {"epoch", epoch},
                                                      {"at", at}});
}

} // namespace

std::string move_record_key(std::string_view availability_zone, std::uint64_t epoch,
                            std::size_t index)
{
    std::ostringstream key;
    key << "moves/" << availability_zone << "/" << std::setfill('0') << std::setw(12) << epoch
        << "-" << std::setw(3) << index;
    return key.str();
}

mover::mover(std::string availability_zone, std::string_view incarnation, mover_settings settings)
    : zone_(std::move(availability_zone)), key_(placement_key(zone_)), settings_(settings),
      write_(std::string(incarnation) + "/mover"), other_zones_(zone_)
{
}

void mover::on_configuration(config::configuration configuration, std::uint64_t head_version)
{
    configuration_ = std::move(configuration);
    head_version_ = head_version;
}

void mover::on_host_list(steady_time now, const platform::hosts_result& list)
{
    if (list.status != platform::read_status::found || list.hosts.empty())
    {
        return;
    }
    std::map<std::string, listed_host_state, std::less<>> next;
    for (const platform::listed_host& host : list.hosts)
    {
        const std::map<std::string, listed_host_state, std::less<>>::const_iterator known =
            listed_hosts_.find(host.name);
        const bool was_live = known != listed_hosts_.end() && !known->second.leaving;
        next[host.name] = {host.leaving, was_live ? known->second.live_since : now};
    }
    listed_hosts_ = std::move(next);
}

std::vector<membership::table_action> mover::on_tick(steady_time now, const mover_inputs& inputs)
{
    std::vector<membership::table_action> actions;
    if (write_.is_pending())
    {
        write_.on_tick(now, actions);
        return actions;
    }
    if (!inputs.fence)
    {
        invalidate();
        requests_.clear();
        return actions;
    }
    max_epoch_ = std::max(max_epoch_, inputs.known_epoch);
    if (placement_ && placement_->epoch < max_epoch_)
    {
        fault_ = key_ + ": got epoch " + std::to_string(placement_->epoch) +
                 ", expected at least " + std::to_string(max_epoch_);
        placement_.reset();
    }
    if (placement_ && head_version_ != 0 && now >= next_write_)
    {
        plan(now, inputs, actions);
    }
    if (actions.empty())
    {
        poll(now, actions);
    }
    return actions;
}

void mover::poll(steady_time now, std::vector<membership::table_action>& actions)
{
    if (now < next_poll_)
    {
        return;
    }
    next_poll_ = now + settings_.poll_interval;
    if (read_action_ == 0)
    {
        read_action_ = write_.new_action_id();
        actions.emplace_back(membership::table_read{read_action_, key_, placement_ ? version_ : 0});
    }
    if (request_list_action_ == 0)
    {
        request_list_action_ = write_.new_action_id();
        actions.emplace_back(
            membership::table_list{request_list_action_, std::string(request_prefix)});
    }
    if (zone_list_action_ == 0 && needs_other_rows())
    {
        zone_list_action_ = write_.new_action_id();
        actions.emplace_back(
            membership::table_list{zone_list_action_, std::string(placement_prefix)});
    }
}

bool mover::needs_other_rows() const
{
    return placement_ && std::any_of(configuration_.hosts.begin(), configuration_.hosts.end(),
                                     [&](const std::pair<const std::string, config::host>& item) {
                                         return item.second.availability_zone == zone_ &&
                                                !placement_->hosts.contains(item.first);
                                     });
}

bool mover::belongs_to_zone(std::string_view host) const
{
    const std::map<std::string, config::host, std::less<>>::const_iterator configured =
        configuration_.hosts.find(host);
    return placement_->hosts.contains(host) || (configured != configuration_.hosts.end() &&
                                                configured->second.availability_zone == zone_);
}

host_list_status mover::list_status_of(steady_time now, std::string_view host) const
{
    const std::map<std::string, listed_host_state, std::less<>>::const_iterator found =
        listed_hosts_.find(host);
    if (found == listed_hosts_.end())
    {
        return host_list_status::unlisted;
    }
    if (found->second.leaving)
    {
        return host_list_status::leaving;
    }
    return now - found->second.live_since >= settings_.return_after ? host_list_status::stable
                                                                    : host_list_status::live;
}

bool mover::is_drained(steady_time now, const mover_inputs& inputs, std::string_view host,
                       std::uint64_t epoch) const
{
    const auto is_clear = [&](const membership::epoch_report& report)
    {
        return membership::lowest_in_use(report, zone_) >= epoch &&
               !report.message.busy_draining_hosts.contains(host);
    };
    bool has_member = false;
    for (const routing::member& member : inputs.members)
    {
        if (member.availability_zone != zone_)
        {
            continue;
        }
        has_member = true;
        const membership::epoch_report* report = inputs.reports.find(member);
        if (report == nullptr || !is_clear(*report) ||
            now - report->last_heard > settings_.report_window ||
            now - report->first_heard < settings_.report_window)
        {
            return false;
        }
    }
    const std::vector<const membership::epoch_report*> others =
        inputs.reports.unregistered(inputs.members, zone_, now, settings_.report_window);
    return has_member &&
           std::all_of(others.begin(), others.end(),
                       [&](const membership::epoch_report* report) { return is_clear(*report); });
}

void mover::plan(steady_time now, const mover_inputs& inputs,
                 std::vector<membership::table_action>& actions)
{
    const plan_inputs planning{
        configuration_, [&](std::string_view host) { return list_status_of(now, host); },
        [&](std::string_view host, std::uint64_t epoch)
        { return is_drained(now, inputs, host, epoch); },
        [&](std::string_view host) { return other_zones_.may_add(host); },
        requests_.waiting([&](std::string_view host) { return belongs_to_zone(host); })};
    zone_plan planned = plan_zone(*placement_, placement_->epoch + 1, planning);
    requests_.on_planned(planned);
    // An accepted request row is removed in the same transaction that writes the placement row. If
    // the answer is lost, the write_id of the placement row tells whether both took effect.
    planned.changed =
        planned.changed ||
        std::any_of(planned.accepted.begin(), planned.accepted.end(),
                    [](const pending_request& pending) { return !pending.row_key.empty(); });
    std::string tracked_key = key_;
    if (!planned.changed)
    {
        const std::vector<refused_request>::const_iterator answered = std::find_if(
            planned.refused.begin(), planned.refused.end(),
            [](const refused_request& refused) { return !refused.pending.row_key.empty(); });
        if (answered == planned.refused.end())
        {
            return;
        }
        tracked_key = answered->pending.row_key;
    }
    std::string write_id = write_.new_write_id();
    platform::transaction changes = transaction_for(planned, inputs, write_id);
    in_flight_ = std::move(planned);
    // Answers to reads sent before this write may not contain it, so they are ignored.
    read_action_ = 0;
    request_list_action_ = 0;
    zone_list_action_ = 0;
    actions.emplace_back(
        write_.begin(now, std::move(changes), std::move(tracked_key), std::move(write_id)));
}

platform::transaction mover::transaction_for(const zone_plan& planned, const mover_inputs& inputs,
                                             const std::string& write_id) const
{
    platform::transaction changes;
    changes.checks.push_back(*inputs.fence);
    changes.checks.push_back({key_, version_});
    if (planned.ends_drains)
    {
        // An entry host that registers later, which changes row `members`, reads the placement row
        // only after its registration and so sees this write.
        changes.checks.push_back({std::string(members_key), inputs.members_epoch});
    }
    if (planned.uses_configuration)
    {
        changes.checks.push_back({std::string(head_key), head_version_});
    }
    if (planned.adds_hosts)
    {
        other_zones_.add_checks(changes);
    }
    if (planned.changed)
    {
        changes.writes.push_back({key_, placement_value(planned.next, write_id)});
    }
    for (std::size_t index = 0; index < planned.moves.size(); ++index)
    {
        changes.writes.push_back({move_record_key(zone_, planned.next.epoch, index),
                                  move_record_value(planned.moves[index], planned.next.epoch,
                                                    inputs.wall_ms, write_id)});
    }
    requests_.add_changes(planned, write_id, changes);
    return changes;
}

std::vector<membership::table_action> mover::on_write_result(steady_time now,
                                                             const membership::write_result& answer)
{
    std::vector<membership::table_action> actions;
    const std::optional<membership::write_outcome> outcome =
        write_.on_write_result(now, answer, actions);
    if (outcome)
    {
        finish_write(now, *outcome);
    }
    return actions;
}

void mover::finish_write(steady_time now, const membership::write_outcome& outcome)
{
    const zone_plan planned = *std::exchange(in_flight_, std::nullopt);
    if (outcome.status == membership::write_status::not_written)
    {
        next_write_ = now + settings_.retry_delay;
        return;
    }
    if (outcome.status != membership::write_status::committed)
    {
        // Reads all rows again before the next plan: a write that took effect although its answer
        // was lost is in them.
        invalidate();
        next_poll_ = now;
        return;
    }
    if (planned.changed)
    {
        placement_ = planned.next;
        version_ = outcome.version;
        max_epoch_ = std::max(max_epoch_, placement_->epoch);
    }
    requests_.drop_accepted(planned);
    requests_.invalidate_rows();
    other_zones_.invalidate();
    next_poll_ = now;
}

void mover::on_read_result(steady_time now, const membership::read_result& answer)
{
    if (read_action_ == 0 || answer.action_id != read_action_)
    {
        const std::optional<membership::write_outcome> outcome = write_.on_read_result(now, answer);
        if (outcome)
        {
            finish_write(now, *outcome);
        }
        return;
    }
    read_action_ = 0;
    if (answer.result.status == platform::read_status::found)
    {
        apply_row(answer.result.value);
    }
    else if (answer.result.status == platform::read_status::absent)
    {
        apply_absent_row();
    }
}

void mover::apply_absent_row()
{
    placement_.reset();
    if (max_epoch_ > 0)
    {
        // A new row would put moved hosts back into their initial pools without a drain.
        fault_ = key_ + ": got an absent row, expected epoch " + std::to_string(max_epoch_) +
                 " or above";
        return;
    }
    fault_.clear();
    version_ = 0;
    placement_.emplace();
    placement_->availability_zone = zone_;
}

void mover::apply_row(const platform::row& row)
{
    placement_.reset();
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(placement_, parse_placement(row.value, zone_));
            version_ = row.version;
            max_epoch_ = std::max(max_epoch_, placement_->epoch);
            fault_.clear();
            return {};
        },
        [&](const input_error& error) { fault_ = error.message(); },
        [&] { fault_ = key_ + ": unreadable"; });
}

void mover::on_list_result(const membership::list_result& answer)
{
    const bool found = answer.result.status == platform::read_status::found ||
                       answer.result.status == platform::read_status::absent;
    if (request_list_action_ != 0 && answer.action_id == request_list_action_)
    {
        request_list_action_ = 0;
        if (found)
        {
            requests_.on_rows(answer.result.rows);
        }
    }
    else if (zone_list_action_ != 0 && answer.action_id == zone_list_action_)
    {
        zone_list_action_ = 0;
        other_zones_.invalidate();
        if (found)
        {
            other_zones_.on_rows(answer.result.rows, configuration_);
        }
    }
}

void mover::invalidate()
{
    placement_.reset();
    requests_.invalidate_rows();
    other_zones_.invalidate();
    read_action_ = 0;
    request_list_action_ = 0;
    zone_list_action_ = 0;
}

} // namespace lacewingquay::placement
