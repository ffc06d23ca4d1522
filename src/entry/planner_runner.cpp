#include "entry/planner_runner.hpp"

#include "core/error.hpp"
#include "core/json.hpp"
#include "core/log.hpp"
#include "entry/platform_views.hpp"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace lacewingquay::entry
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace
{

constexpr std::string_view state_key = "planner/state";
constexpr std::int64_t seconds_per_minute = 60;

/// Reads `{"write_id", "state"}`; fails with `input_error`.
leaf::result<planner::planner> parse_state(std::string_view value,
                                           planner::planner_settings settings)
{
    BOOST_LEAF_AUTO(object, parse_json_object(value, state_key));
    json_reader reader(object, std::string(state_key));
    BOOST_LEAF_AUTO(write_id, reader.text("write_id"));
    static_cast<void>(write_id);
    BOOST_LEAF_AUTO(state, reader.object("state"));
    leaf::result<void> finished = reader.finish();
    if (!finished)
    {
        return finished.error();
    }
    return planner::planner::from_json(boost::json::serialize(*state), settings);
}

planner::host_view view_of(const config::host& host, const placement::host_placement& entry,
                           bool is_live)
{
    planner::host_view result;
    result.name = host.name;
    result.availability_zone = host.availability_zone;
    result.rack = host.rack;
    result.pool = entry.pool;
    result.next_pool = entry.next_pool;
    const bool is_moving =
        entry.state == placement::host_state::draining && !entry.next_pool.empty();
    result.available = is_live && (entry.state == placement::host_state::serving || is_moving);
    result.slots = host.slots;
    return result;
}

/// Takes a waiting request into account, so that no second one is decided for its host.
void apply_request(const platform::row& row, planner::host_view& host)
{
    const std::optional<placement::request_row> request = read_waiting_request(row);
    if (!request)
    {
        return;
    }
    if (request->request.kind == placement::request_kind::move)
    {
        host.next_pool = request->request.to_pool;
    }
    else if (request->request.kind != placement::request_kind::return_to_service)
    {
        host.available = false;
    }
}

} // namespace

std::string planning_zone(const config::configuration& configuration)
{
    std::string first;
    for (const auto& [name, host] : configuration.hosts)
    {
        if (first.empty() || host.availability_zone < first)
        {
            first = host.availability_zone;
        }
    }
    return first;
}

planner_runner::planner_runner(platform::port& platform, const clock_source& clock,
                               std::string incarnation, fence_function fence, bool enabled,
                               planner::planner_settings settings)
    : platform_(platform), clock_(clock), incarnation_(std::move(incarnation)),
      fence_(std::move(fence)), enabled_(enabled), settings_(settings)
{
}

asio::awaitable<bool> planner_runner::read_state()
{
    const std::uint64_t known = planner_ ? version_ : 0;
    const platform::row_result row = co_await platform_.read_row(std::string(state_key), known);
    if (row.status == platform::read_status::unavailable)
    {
        co_return false;
    }
    if (row.status == platform::read_status::unchanged)
    {
        co_return true;
    }
    version_ = row.value.version;
    planner_.emplace(settings_);
    if (row.status == platform::read_status::absent)
    {
        version_ = 0;
        co_return true;
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(planner_, parse_state(row.value.value, settings_));
            return {};
        },
        [](const input_error& error)
        {
            // Begins anew: without a readable state the planner decides nothing for 30 minutes.
            log_event(log_level::error, "planner_state_refused", {{"reason", error.message()}});
        },
        [] {});
    co_return true;
}

asio::awaitable<std::optional<planner::planner_input>>
planner_runner::read_input(const config::configuration& configuration, std::int64_t minute,
                           std::vector<platform::row>& requests)
{
    const std::optional<report::counts_by_service> counts = co_await read_minute(platform_, minute);
    const platform::rows_result waiting = co_await platform_.read_rows("move/");
    const std::optional<placed_hosts> placed = co_await read_placement(platform_);
    const platform::hosts_result listed = co_await platform_.list_hosts();
    // A minute without any counter row is one whose counters could not be written, not one without
    // load. An empty host list counts as no answer.
    if (!counts || counts->empty() || waiting.status == platform::read_status::unavailable ||
        !placed || listed.status != platform::read_status::found || listed.hosts.empty())
    {
        co_return std::nullopt;
    }
    requests = waiting.rows;
    std::set<std::string, std::less<>> live;
    for (const platform::listed_host& host : listed.hosts)
    {
        if (!host.leaving)
        {
            live.insert(host.name);
        }
    }
    planner::planner_input input;
    input.minute = minute;
    input.pools = configuration.pools;
    input.cost_weights = configuration.settings.cost_weights;
    for (const auto& [name, service] : configuration.services)
    {
        planner::service_demand demand;
        demand.name = name;
        demand.pool = service.pool;
        const auto found = counts->find(name);
        if (found != counts->end())
        {
            // Milliseconds per minute to thousandths of a slot.
            demand.busy_millislots =
                static_cast<std::int64_t>(found->second.busy_ms) / seconds_per_minute;
            demand.refused_requests = static_cast<std::int64_t>(found->second.not_run);
        }
        input.services.push_back(std::move(demand));
    }
    for (const auto& [name, entry] : *placed)
    {
        const auto host = configuration.hosts.find(name);
        if (host == configuration.hosts.end())
        {
            continue;
        }
        planner::host_view view = view_of(host->second, entry, live.contains(name));
        const std::string key = placement::request_key(name);
        const auto request = std::find_if(requests.begin(), requests.end(),
                                          [&](const platform::row& row) { return row.key == key; });
        if (request != requests.end())
        {
            apply_request(*request, view);
        }
        input.hosts.push_back(std::move(view));
    }
    co_return input;
}

platform::transaction planner_runner::changes_for(const std::vector<planner::planned_move>& moves,
                                                  const std::vector<platform::row>& requests,
                                                  const std::string& state)
{
    const std::string write_id = incarnation_ + "/planner/" + std::to_string(++writes_);
    platform::transaction changes;
    changes.checks.push_back({std::string(state_key), version_});
    changes.writes.push_back({std::string(state_key),
                              boost::json::serialize(boost::json::object{
                                  {"write_id", write_id}, {"state", boost::json::parse(state)}})});
    for (const planner::planned_move& move : moves)
    {
        log_event(log_level::info, "planner_move",
                  {{"host", move.host},
                   {"from", move.from},
                   {"to", move.to},
                   {"reason", move.reason},
                   {"requested", enabled_}});
        if (!enabled_)
        {
            continue;
        }
        placement::request_row row;
        row.request.host = move.host;
        row.request.kind = placement::request_kind::move;
        row.request.to_pool = move.to;
        row.author = "planner";
        const std::string key = placement::request_key(move.host);
        const auto present =
            std::find_if(requests.begin(), requests.end(),
                         [&](const platform::row& request) { return request.key == key; });
        if (present != requests.end() && is_waiting_request(*present))
        {
            continue;
        }
        changes.checks.push_back({key, present == requests.end() ? 0 : present->version});
        changes.writes.push_back({key, placement::request_value(row, write_id)});
    }
    return changes;
}

asio::awaitable<void>
planner_runner::step(std::shared_ptr<const config::configuration> configuration)
{
    const std::int64_t minute = last_counted_minute(clock_.wall_now());
    const bool has_spare = std::any_of(configuration->pools.begin(), configuration->pools.end(),
                                       [](const auto& pool) { return pool.second.spare; });
    if (minute <= decided_minute_ || !has_spare || !fence_())
    {
        co_return;
    }
    std::vector<platform::row> requests;
    const std::optional<planner::planner_input> input =
        co_await read_input(*configuration, minute, requests);
    if (!input)
    {
        co_return;
    }
    const bool has_state = co_await read_state();
    if (!has_state)
    {
        co_return;
    }
    const std::string before = planner_->to_json();
    const std::vector<planner::planned_move> moves = planner_->decide(*input);
    const std::string after = planner_->to_json();
    if (after == before)
    {
        // Another lease holder has decided this minute.
        decided_minute_ = minute;
        co_return;
    }
    const std::optional<platform::row_check> fence = fence_();
    if (!fence)
    {
        planner_.reset();
        co_return;
    }
    platform::transaction changes = changes_for(moves, requests, after);
    changes.checks.push_back(*fence);
    const platform::transact_result result = co_await platform_.transact(std::move(changes));
    if (result.status != platform::transact_status::committed)
    {
        // Whatever the row holds is read before the next decision.
        planner_.reset();
        co_return;
    }
    version_ = result.versions.front();
    decided_minute_ = minute;
}

} // namespace lacewingquay::entry
