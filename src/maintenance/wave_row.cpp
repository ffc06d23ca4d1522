#include "maintenance/wave_row.hpp"

#include "core/error.hpp"
#include "maintenance/wave_json.hpp"

#include <boost/leaf.hpp>

namespace lacewingquay::maintenance
{

namespace leaf = boost::leaf;
namespace asio = boost::asio;

namespace
{

wave_read parse_row(const platform::row& row)
{
    wave_read result;
    result.version = row.version;
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(result.value, wave_from_json(row.value));
            result.status = wave_read_status::found;
            return {};
        },
        [&](const input_error& error) { result.error = row.key + ": " + error.message(); },
        [&] { result.error = row.key + ": row cannot be parsed"; });
    return result;
}

} // namespace

asio::awaitable<wave_read> read_wave(platform::port& port, std::string id)
{
    const platform::row_result row = co_await port.read_row(wave_key(id), 0);
    wave_read result;
    if (row.status == platform::read_status::found)
    {
        result = parse_row(row.value);
    }
    else if (row.status == platform::read_status::absent)
    {
        result.status = wave_read_status::absent;
    }
    co_return result;
}

asio::awaitable<std::vector<wave_read>> read_waves(platform::port& port, bool& available)
{
    const platform::rows_result rows = co_await port.read_rows(wave_key(""));
    available = rows.status != platform::read_status::unavailable;
    std::vector<wave_read> waves;
    for (const platform::row& row : rows.rows)
    {
        waves.push_back(parse_row(row));
    }
    co_return waves;
}

asio::awaitable<wave_write> write_wave(platform::port& port, wave value, std::uint64_t version,
                                       std::vector<platform::row_check> further_checks,
                                       std::vector<platform::row_write> further_writes)
{
    const std::string key = wave_key(value.id);
    platform::transaction changes;
    changes.checks.push_back({key, version});
    changes.checks.insert(changes.checks.end(), further_checks.begin(), further_checks.end());
    changes.writes.push_back({key, wave_to_json(value)});
    changes.writes.insert(changes.writes.end(), further_writes.begin(), further_writes.end());
    const platform::transact_result result = co_await port.transact(std::move(changes));
    switch (result.status)
    {
    case platform::transact_status::committed:
        co_return wave_write{wave_write_status::written, version + 1};
    case platform::transact_status::conflict:
        co_return wave_write{wave_write_status::conflict, 0};
    case platform::transact_status::not_written:
        co_return wave_write{wave_write_status::not_written, 0};
    case platform::transact_status::unknown:
        break;
    }
    // The write may still be in flight, so an unchanged row does not prove that it failed.
    const wave_read stored = co_await read_wave(port, value.id);
    if (stored.status == wave_read_status::found && stored.value.write_id == value.write_id)
    {
        co_return wave_write{wave_write_status::written, stored.version};
    }
    if (stored.status == wave_read_status::found && stored.version == version + 1)
    {
        // Another write has the next version, so the version check of this one has failed or will
        // fail. A higher version is ambiguous: this write may have been applied and overwritten.
        co_return wave_write{wave_write_status::conflict, 0};
    }
    co_return wave_write{wave_write_status::unknown, 0};
}

} // namespace lacewingquay::maintenance
