#include "membership/liveness.hpp"
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

/// Events: `members`, `heartbeat`, `tick` and `refreshed`. Decisions: `send`, `live`, `suspect` and
/// `refresh` of a tick, then `may_dispatch` and the live members of the own zone.
class liveness_adapter final : public core_adapter
{
public:
    liveness_adapter(const std::string& id, const std::string& zone) : zone_(zone), core_(id, zone)
    {
    }

    leaf::result<json::array> apply(steady_time at, std::string_view event,
                                    json_reader& fields) override
    {
        json::array decisions;
        if (event == "members")
        {
            BOOST_LEAF_AUTO(members, read_members(fields));
            core_.on_members(members);
        }
        else if (event == "heartbeat")
        {
            BOOST_LEAF_AUTO(message, read_heartbeat(fields));
            core_.on_heartbeat(at, message);
        }
        else if (event == "refreshed")
        {
            BOOST_LEAF_AUTO(number,
                            fields.integer("refresh", 0, std::numeric_limits<std::int64_t>::max()));
            core_.on_refreshed(static_cast<std::uint64_t>(number));
        }
        else if (event == "tick")
        {
            append(core_.on_tick(at), decisions);
        }
        else
        {
            return unknown_event(event, "members, heartbeat, refreshed or tick");
        }
        decisions.push_back(json::object{{"may_dispatch", core_.may_dispatch()},
                                         {"live_in_zone", to_json(core_.live_in_zone(zone_))}});
        return decisions;
    }

private:
    static void append(const membership::liveness_actions& actions, json::array& decisions)
    {
        const auto add = [&](const char* name, const std::vector<std::string>& ids)
        {
            if (!ids.empty())
            {
                decisions.push_back(json::object{{name, to_json(ids)}});
            }
        };
        add("send", actions.send_heartbeat_to);
        add("live", actions.became_live);
        add("suspect", actions.became_suspect);
        if (actions.refresh)
        {
            decisions.push_back(json::object{{"refresh", *actions.refresh}});
        }
    }

    std::string zone_;
    membership::liveness core_;
};

} // namespace

leaf::result<std::unique_ptr<core_adapter>> make_liveness_adapter(json_reader& header)
{
    BOOST_LEAF_AUTO(id, header.text("id"));
    BOOST_LEAF_AUTO(zone, header.text("zone"));
    return std::unique_ptr<core_adapter>(std::make_unique<liveness_adapter>(id, zone));
}

} // namespace lacewingquay::replay
