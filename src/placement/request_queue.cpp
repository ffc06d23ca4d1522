#include "placement/request_queue.hpp"

#include <optional>
#include <utility>

namespace lacewingquay::placement
{

void request_queue::add(placement_request request)
{
    std::string host = request.host;
    internal_requests_.insert_or_assign(std::move(host), std::move(request));
}

void request_queue::on_rows(const std::vector<platform::row>& rows)
{
    rows_.clear();
    for (const platform::row& row : rows)
    {
        const std::optional<std::string_view> host = host_of_request_key(row.key);
        if (!host)
        {
            continue;
        }
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void>
            {
                BOOST_LEAF_AUTO(request, parse_request(row.value, *host));
                rows_[row.key] = {row.version, std::move(request)};
                return {};
            },
            [] {});
    }
}

std::vector<pending_request>
request_queue::waiting(const std::function<bool(std::string_view host)>& belongs_to_zone) const
{
    std::vector<pending_request> requests;
    std::map<std::string, placement_request, std::less<>> internal_requests = internal_requests_;
    for (const std::pair<const std::string, stored_request>& item : rows_)
    {
        const placement_request& request = item.second.row.request;
        if (belongs_to_zone(request.host) && item.second.row.refusal.empty())
        {
            requests.push_back({request, item.first});
            // The request in the row takes precedence; an internal one that is still needed is
            // added again.
            internal_requests.erase(request.host);
        }
    }
    for (const std::pair<const std::string, placement_request>& item : internal_requests)
    {
        requests.push_back({item.second, {}});
    }
    return requests;
}

void request_queue::add_changes(const zone_plan& planned, std::string_view write_id,
                                platform::transaction& changes) const
{
    for (const pending_request& pending : planned.accepted)
    {
        if (!pending.row_key.empty())
        {
            changes.checks.push_back({pending.row_key, rows_.at(pending.row_key).version});
            changes.writes.push_back({pending.row_key, std::nullopt});
        }
    }
    for (const refused_request& refused : planned.refused)
    {
        const std::string& key = refused.pending.row_key;
        if (!key.empty())
        {
            request_row answered = rows_.at(key).row;
            answered.refusal = refused.reason;
            changes.checks.push_back({key, rows_.at(key).version});
            changes.writes.push_back({key, request_value(answered, write_id)});
        }
    }
}

void request_queue::on_planned(const zone_plan& planned)
{
    if (!planned.changed)
    {
        drop_accepted(planned);
    }
    for (const refused_request& refused : planned.refused)
    {
        if (refused.pending.row_key.empty())
        {
            refusals_.push_back({refused.pending.request, refused.reason});
            internal_requests_.erase(refused.pending.request.host);
        }
    }
}

void request_queue::drop_accepted(const zone_plan& planned)
{
    for (const pending_request& pending : planned.accepted)
    {
        internal_requests_.erase(pending.request.host);
    }
}

void request_queue::clear()
{
    rows_.clear();
    internal_requests_.clear();
}

std::vector<mover_refusal> request_queue::take_refusals()
{
    return std::exchange(refusals_, {});
}

} // namespace lacewingquay::placement
