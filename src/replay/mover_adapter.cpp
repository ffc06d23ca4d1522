#include "membership/epoch_reports.hpp"
#include "membership/zone_lease.hpp"
#include "placement/mover.hpp"
#include "replay/core_adapter.hpp"
#include "replay/table_json.hpp"

#include <limits>
#include <utility>

namespace lacewingquay::replay
{

namespace leaf = boost::leaf;
namespace json = boost::json;

namespace
{

constexpr std::int64_t highest = std::numeric_limits<std::int64_t>::max();

/// Events: `configuration`, `host_list`, `members`, `heartbeat`, `request`, `tick` with `fence`,
/// `write_result`, `read_result` and `list_result`. Decisions: table actions, then `refused`
/// requests and `fault` if there are any.
class mover_adapter final : public core_adapter
{
public:
    mover_adapter(const std::string& zone, const std::string& incarnation)
        : zone_(zone), core_(zone, incarnation)
    {
    }

    leaf::result<json::array> apply(steady_time at, std::string_view event,
                                    json_reader& fields) override
    {
        json::array decisions;
        leaf::result<bool> known = apply_answer(at, event, fields, decisions);
        if (!known)
        {
            return known.error();
        }
        if (!*known)
        {
            leaf::result<void> applied = apply_input(at, event, fields, decisions);
            if (!applied)
            {
                return applied.error();
            }
        }
        for (const placement::mover_refusal& refusal : core_.take_refusals())
        {
            decisions.push_back(
                json::object{{"refused", json::object{{"host", refusal.request.host},
                                                      {"reason", refusal.reason}}}});
        }
        if (!core_.fault().empty())
        {
            decisions.push_back(json::object{{"fault", core_.fault()}});
        }
        return decisions;
    }

private:
    leaf::result<bool> apply_answer(steady_time at, std::string_view event, json_reader& fields,
                                    json::array& decisions)
    {
        if (event == "write_result")
        {
            BOOST_LEAF_AUTO(answer, read_write_result(fields));
            append_actions(core_.on_write_result(at, answer), decisions);
            return true;
        }
        if (event == "read_result")
        {
            BOOST_LEAF_AUTO(answer, read_read_result(fields));
            core_.on_read_result(at, answer);
            return true;
        }
        if (event == "list_result")
        {
            BOOST_LEAF_AUTO(answer, read_list_result(fields));
            core_.on_list_result(answer);
            return true;
        }
        return false;
    }

    leaf::result<void> apply_input(steady_time at, std::string_view event, json_reader& fields,
                                   json::array& decisions)
    {
        if (event == "configuration")
        {
            return configure(fields);
        }
        if (event == "host_list")
        {
            return list_hosts(at, fields);
        }
        if (event == "members")
        {
            BOOST_LEAF_ASSIGN(members_, read_members(fields));
            BOOST_LEAF_AUTO(epoch, fields.integer("epoch", 0, highest));
            members_epoch_ = static_cast<std::uint64_t>(epoch);
            return {};
        }
        if (event == "heartbeat")
        {
            BOOST_LEAF_AUTO(message, read_heartbeat(fields));
            reports_.on_heartbeat(at, message);
            return {};
        }
        if (event == "request")
        {
            return request(fields);
        }
        if (event == "tick")
        {
            BOOST_LEAF_AUTO(fence, fields.integer_or("fence", 0, 0, highest));
            BOOST_LEAF_AUTO(wall, fields.integer_or("wall", 0, 0, highest));
            placement::mover_inputs inputs{std::nullopt, members_, members_epoch_,
                                           reports_,     0,        wall};
            if (fence > 0)
            {
                inputs.fence = platform::row_check{membership::lease_key(zone_),
                                                   static_cast<std::uint64_t>(fence)};
            }
            append_actions(core_.on_tick(at, inputs), decisions);
            return {};
        }
        return unknown_event(event, "configuration, host_list, members, heartbeat, request, tick, "
                                    "write_result, read_result or list_result");
    }

    leaf::result<void> configure(json_reader& fields)
    {
        config::configuration configuration;
        BOOST_LEAF_AUTO(version, fields.integer("head_version", 1, highest));
        BOOST_LEAF_AUTO(pools, fields.array("pools"));
        for (const json::value& pool : *pools)
        {
            if (!pool.is_string())
            {
                return leaf::new_error(
                    input_error{fields.path("pools"), json::serialize(pool), "a text"});
            }
            const std::string name(pool.get_string());
            configuration.pools[name].name = name;
        }
        BOOST_LEAF_AUTO(hosts, fields.object("hosts"));
        for (const json::key_value_pair& item : *hosts)
        {
            const std::string name(item.key());
            if (!item.value().is_string())
            {
                return leaf::new_error(input_error{fields.path("hosts") + "." + name,
                                                   json::serialize(item.value()), "a pool"});
            }
            config::host& host = configuration.hosts[name];
            host.name = name;
            host.availability_zone = zone_;
            host.initial_pool = std::string(item.value().get_string());
        }
        core_.on_configuration(std::move(configuration), static_cast<std::uint64_t>(version));
        return {};
    }

    leaf::result<void> list_hosts(steady_time at, json_reader& fields)
    {
        BOOST_LEAF_AUTO(hosts, fields.object("hosts"));
        platform::hosts_result list{platform::read_status::found, {}};
        for (const json::key_value_pair& item : *hosts)
        {
            if (!item.value().is_string() ||
                (item.value().get_string() != "live" && item.value().get_string() != "leaving"))
            {
                return leaf::new_error(
                    input_error{fields.path("hosts") + "." + std::string(item.key()),
                                json::serialize(item.value()), "live or leaving"});
            }
            list.hosts.push_back({std::string(item.key()), item.value().get_string() == "leaving"});
        }
        core_.on_host_list(at, list);
        return {};
    }

    leaf::result<void> request(json_reader& fields)
    {
        BOOST_LEAF_AUTO(host, fields.text("host"));
        BOOST_LEAF_AUTO(action, fields.text("action"));
        BOOST_LEAF_AUTO(to, fields.text_or("to", ""));
        json::object row{{"write_id", "trace"}, {"action", action}};
        if (!to.empty())
        {
            row["to"] = to;
        }
        BOOST_LEAF_AUTO(parsed, placement::parse_request(json::serialize(row), host));
        core_.request(parsed.request);
        return {};
    }

    std::string zone_;
    placement::mover core_;
    membership::epoch_reports reports_;
    std::vector<routing::member> members_;
    std::uint64_t members_epoch_ = 0;
};

} // namespace

leaf::result<std::unique_ptr<core_adapter>> make_mover_adapter(json_reader& header)
{
    BOOST_LEAF_AUTO(zone, header.text("zone"));
    BOOST_LEAF_AUTO(incarnation, header.text("incarnation"));
    return std::unique_ptr<core_adapter>(std::make_unique<mover_adapter>(zone, incarnation));
}

} // namespace lacewingquay::replay
