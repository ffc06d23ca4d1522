#pragma once

#include "platform/port.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace lacewingquay::membership
{

/// A transaction for the daemon to run. The daemon reports exactly one `write_result` for each,
/// with status `unknown` if the platform does not answer in time.
struct table_write
{
    std::uint64_t action_id = 0;
    platform::transaction changes;
};

/// A row for the daemon to read. The daemon reports exactly one `read_result` for each.
struct table_read
{
    std::uint64_t action_id = 0;
    std::string key;
    /// If above 0, the result is `unchanged` when the row still has this version.
    std::uint64_t not_version = 0;
};

/// A key prefix whose rows the daemon reads. It reports exactly one `list_result` for each.
struct table_list
{
    std::uint64_t action_id = 0;
    std::string prefix;
};

using table_action = std::variant<table_write, table_read, table_list>;

struct write_result
{
    std::uint64_t action_id = 0;
    platform::transact_result result;
};

struct read_result
{
    std::uint64_t action_id = 0;
    platform::row_result result;
};

struct list_result
{
    std::uint64_t action_id = 0;
    platform::rows_result result;
};

} // namespace lacewingquay::membership
