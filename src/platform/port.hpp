#pragma once

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::platform
{

/// One row of the table service. Version 0 means that the row is absent.
struct row
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

/// A condition of a transaction: the row still has this version.
struct row_check
{
    std::string key;
    std::uint64_t version = 0;
};

/// A write of a transaction; no value removes the row.
struct row_write
{
    std::string key;
    std::optional<std::string> value;
};

/// All writes take effect if all checks hold, else none.
struct transaction
{
    std::vector<row_check> checks;
    std::vector<row_write> writes;
};

/// What became of a transaction.
enum class transact_status
{
    committed,
    /// A check failed; nothing was written.
    conflict,
    /// The platform refused it or could not be reached before anything was sent; nothing was
    /// written.
    not_written,
    /// The answer was lost or unreadable; the write may have taken effect and must be read back.
    unknown
};

struct transact_result
{
    transact_status status = transact_status::unknown;
    /// The key whose check failed, on `conflict`.
    std::string conflict_key;
    /// The new versions of the written rows, in order, on `committed`.
    std::vector<std::uint64_t> versions;
};

enum class read_status
{
    found,
    absent,
    /// The row still has the version given as `not_version`.
    unchanged,
    /// The platform is down, slow, or answered something unreadable.
    unavailable
};

struct row_result
{
    read_status status = read_status::unavailable;
    row value;
};

struct rows_result
{
    read_status status = read_status::unavailable;
    std::vector<row> rows;
};

struct object_result
{
    read_status status = read_status::unavailable;
    std::string body;
};

/// One entry of the platform's host list, which lags.
struct listed_host
{
    std::string name;
    bool leaving = false;
};

struct hosts_result
{
    read_status status = read_status::unavailable;
    std::vector<listed_host> hosts;
};

/// What the platform says of a reboot.
enum class reboot_status
{
    /// The host has been rebooted for this request.
    done,
    /// Accepted; ask again with the same id.
    running,
    /// The platform does not reboot this host.
    refused,
    /// No readable answer; the reboot may have begun. Asking again with the same id is harmless.
    unavailable
};

/// The platform's table service, object store, host list and reboots.
class port
{
public:
    virtual ~port() = default;

    /// Reads one row. With `not_version` above 0, answers `unchanged` while the row has that
    /// version.
    virtual boost::asio::awaitable<row_result> read_row(std::string key,
                                                        std::uint64_t not_version) = 0;

    /// Reads all rows whose key starts with `prefix`, sorted by key.
    virtual boost::asio::awaitable<rows_result> read_rows(std::string prefix) = 0;

    virtual boost::asio::awaitable<transact_result> transact(transaction changes) = 0;

    virtual boost::asio::awaitable<object_result> read_object(std::string key) = 0;

    /// Stores an object; true once it is durable. Storing the same body again is harmless.
    virtual boost::asio::awaitable<bool> write_object(std::string key, std::string body) = 0;

    virtual boost::asio::awaitable<hosts_result> list_hosts() = 0;

    /// Reboots a host. The platform runs each `reboot_id` once; a repetition only reports on it.
    virtual boost::asio::awaitable<reboot_status> reboot(std::string host,
                                                         std::string reboot_id) = 0;
};

} // namespace lacewingquay::platform
