#include "membership/epoch_reports.hpp"

#include "membership/incarnation.hpp"

#include <algorithm>
#include <limits>

namespace lacewingquay::membership
{

namespace
{

constexpr std::uint64_t no_epoch = std::numeric_limits<std::uint64_t>::max();

} // namespace

void epoch_reports::on_heartbeat(steady_time now, const heartbeat& message)
{
    epoch_report& report = reports_[message.id];
    if (report.message.incarnation != message.incarnation)
    {
        if (!report.message.incarnation.empty() &&
            !is_newer_incarnation(message.incarnation, report.message.incarnation))
        {
            return;
        }
        report.first_heard = now;
    }
    report.message = message;
    report.last_heard = now;
}

const epoch_report* epoch_reports::find(const routing::member& member) const
{
    const std::map<std::string, epoch_report, std::less<>>::const_iterator found =
        reports_.find(member.id);
    if (found == reports_.end() || found->second.message.incarnation != member.incarnation)
    {
        return nullptr;
    }
    return &found->second;
}

std::uint64_t epoch_reports::lowest_members_epoch(std::span<const routing::member> members) const
{
    std::uint64_t lowest = no_epoch;
    for (const routing::member& member : members)
    {
        const epoch_report* report = find(member);
        lowest = std::min(lowest, report == nullptr ? 0 : report->message.members_epoch);
    }
    return lowest == no_epoch ? 0 : lowest;
}

std::uint64_t epoch_reports::lowest_placement_epoch(std::span<const routing::member> members,
                                                    std::string_view availability_zone) const
{
    std::uint64_t lowest = no_epoch;
    for (const routing::member& member : members)
    {
        if (member.availability_zone != availability_zone)
        {
            continue;
        }
        const epoch_report* report = find(member);
        lowest =
            std::min(lowest, report == nullptr ? 0 : lowest_in_use(*report, availability_zone));
    }
    return lowest == no_epoch ? 0 : lowest;
}

std::vector<const epoch_report*>
epoch_reports::unregistered(std::span<const routing::member> members,
                            std::string_view availability_zone, steady_time now,
                            milliseconds window) const
{
    std::vector<const epoch_report*> found;
    for (const std::pair<const std::string, epoch_report>& entry : reports_)
    {
        const epoch_report& report = entry.second;
        const bool registered =
            std::any_of(members.begin(), members.end(),
                        [&](const routing::member& member) { return member.id == entry.first; });
        if (!registered && !report.message.stopping &&
            report.message.availability_zone == availability_zone &&
            now - report.last_heard <= window)
        {
            found.push_back(&report);
        }
    }
    return found;
}

std::uint64_t lowest_in_use(const epoch_report& report, std::string_view availability_zone)
{
    const std::map<std::string, placement_use, std::less<>>::const_iterator found =
        report.message.placement.find(availability_zone);
    if (found == report.message.placement.end())
    {
        return 0;
    }
    return std::min(found->second.lowest_in_use, found->second.in_force);
}

} // namespace lacewingquay::membership
