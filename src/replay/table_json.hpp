#pragma once

#include "core/json.hpp"
#include "membership/heartbeat.hpp"
#include "membership/table_action.hpp"
#include "routing/snapshot.hpp"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <string>
#include <vector>

namespace lacewingquay::replay
{

/// Table actions as decisions: `{"write": {"action", "checks": {key: version}, "writes": {key:
/// value}}}`, `{"read": {"action", "key", "not_version"}}` or `{"list": {"action", "prefix"}}`.
/// Values of rows are shown as JSON objects.
void append_actions(const std::vector<membership::table_action>& actions,
                    boost::json::array& decisions);

/// Event `write_result`: `action`, `status` (committed, conflict, not_written or unknown),
/// `versions` and `conflict_key`.
boost::leaf::result<membership::write_result> read_write_result(json_reader& fields);

/// Event `read_result`: `action`, `status` (found, absent, unchanged or unavailable) and `row` of
/// `{"key", "version", "value"}`, where the value is an object or the row's text.
boost::leaf::result<membership::read_result> read_read_result(json_reader& fields);

/// Event `list_result`: `action`, `status` and `rows` of `{"key", "version", "value"}`.
boost::leaf::result<membership::list_result> read_list_result(json_reader& fields);

/// Field `members`: an array of `{"incarnation", "zone"}`.
boost::leaf::result<std::vector<routing::member>> read_members(json_reader& fields);

/// Event `heartbeat`: `incarnation`, `zone`, `stopping`, `in_force` and `lowest_in_use` for the
/// zone's placement, and `busy` hosts.
boost::leaf::result<membership::heartbeat> read_heartbeat(json_reader& fields);

/// A list of names as JSON.
template <typename Names>
[[nodiscard]] boost::json::array to_json(const Names& names)
{
    return boost::json::array(names.begin(), names.end());
}

} // namespace lacewingquay::replay
