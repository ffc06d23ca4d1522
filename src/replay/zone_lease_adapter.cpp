#include "membership/zone_lease.hpp"
#include "replay/core_adapter.hpp"
#include "replay/table_json.hpp"

#include <utility>

namespace lacewingquay::replay
{

namespace leaf = boost::leaf;
namespace json = boost::json;

namespace
{

/// Events: `tick` with `rank`, `write_result`, `read_result` and `stop`. Decisions: table actions,
/// then `fence`, the lease version under which the core may act, or null.
class zone_lease_adapter final : public core_adapter
{
public:
    zone_lease_adapter(const std::string& zone, const std::string& incarnation)
        : core_(zone, incarnation)
    {
    }

    leaf::result<json::array> apply(steady_time at, std::string_view event,
                                    json_reader& fields) override
    {
        json::array decisions;
        if (event == "tick")
        {
            BOOST_LEAF_AUTO(rank, fields.integer_or("rank", 0, 0, 1'000));
            append_actions(core_.on_tick(at, static_cast<std::size_t>(rank)), decisions);
        }
        else if (event == "write_result")
        {
            BOOST_LEAF_AUTO(answer, read_write_result(fields));
            append_actions(core_.on_write_result(at, answer), decisions);
        }
        else if (event == "read_result")
        {
            BOOST_LEAF_AUTO(answer, read_read_result(fields));
            append_actions(core_.on_read_result(at, answer), decisions);
        }
        else if (event == "stop")
        {
            core_.stop();
        }
        else
        {
            return unknown_event(event, "tick, write_result, read_result or stop");
        }
        const std::optional<platform::row_check> fence = core_.fence(at);
        decisions.push_back(
            json::object{{"fence", fence ? json::value(fence->version) : json::value(nullptr)}});
        return decisions;
    }

private:
    membership::zone_lease core_;
};

} // namespace

leaf::result<std::unique_ptr<core_adapter>> make_zone_lease_adapter(json_reader& header)
{
    BOOST_LEAF_AUTO(zone, header.text("zone"));
    BOOST_LEAF_AUTO(incarnation, header.text("incarnation"));
    return std::unique_ptr<core_adapter>(std::make_unique<zone_lease_adapter>(zone, incarnation));
}

} // namespace lacewingquay::replay
