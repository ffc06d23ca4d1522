#pragma once

#include "platform/port.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::platform
{

/// Rows and objects in memory with the semantics of the platform's table service and object store.
/// Not thread-safe.
class table_store
{
public:
    /// The row, with version 0 if it is absent.
    [[nodiscard]] row read(std::string_view key) const;

    /// At most `limit` rows whose key starts with `prefix` and is greater than `after`, by key.
    [[nodiscard]] std::vector<row> list(std::string_view prefix, std::string_view after,
                                        std::size_t limit) const;

    /// Commits all writes or none; the status is `committed` or `conflict`.
    transact_result transact(const transaction& changes);

    [[nodiscard]] std::optional<std::string> read_object(std::string_view key) const;
    void write_object(std::string key, std::string body);

private:
    /// A removed row keeps its version counter, so that a check made before the removal cannot hold
    /// after the row is created again.
    struct stored_row
    {
        std::uint64_t version = 0;
        std::optional<std::string> value;
    };

    std::map<std::string, stored_row, std::less<>> rows_;
    std::map<std::string, std::string, std::less<>> objects_;
};

} // namespace lacewingquay::platform
