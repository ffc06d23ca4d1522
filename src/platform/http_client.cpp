#include "platform/http_client.hpp"

#include "platform/codec.hpp"

#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <optional>
#include <utility>

namespace lacewingquay::platform
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace
{

constexpr std::size_t page_size = 500;
/// Bounds the listing of a platform that answers the same page for ever.
constexpr std::size_t max_pages = 2'000;

std::string encoded(std::string_view text)
{
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

/// The decoded value, or nothing if the text is not readable.
template <typename Decode>
auto readable(Decode decode) -> std::optional<std::decay_t<decltype(decode().value())>>
{
    using value_type = std::decay_t<decltype(decode().value())>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<value_type>>
        {
            BOOST_LEAF_AUTO(value, decode());
            return std::optional<value_type>(std::move(value));
        },
        [](const input_error&) { return std::optional<value_type>(); },
        [] { return std::optional<value_type>(); });
}

bool has_status(const http::exchange_result& result, http::status code)
{
    return result.answer && result.answer->result() == code;
}

/// True if the answer proves that the platform refused the request. Class 5xx does not: the
/// request may have passed a proxy that lost the platform's answer.
bool is_refused(const http::exchange_result& result)
{
    return result.outcome == verdict::not_run ||
           (result.answer && result.answer->result_int() / 100 == 4);
}

} // namespace

http_client::http_client(asio::any_io_executor executor, http_client_settings settings)
    : executor_(std::move(executor)), settings_(std::move(settings))
{
}

asio::awaitable<http::exchange_result> http_client::exchange(http::method verb, std::string target,
                                                             std::string body)
{
    http::request message = http::make_request(verb, target, std::move(body));
    message.set(boost::beast::http::field::host, settings_.platform.text());
    message.set("Lacewingquay-Node", settings_.node);
    if (!message.body().empty())
    {
        message.set(boost::beast::http::field::content_type, "application/json");
    }
    std::unique_ptr<http::client_connection> connection;
    if (idle_.empty())
    {
        connection = std::make_unique<http::client_connection>(executor_, settings_.platform);
    }
    else
    {
        connection = std::move(idle_.back());
        idle_.pop_back();
    }
    const std::size_t sent = wire_size(message);
    http::exchange_result result =
        co_await connection->exchange(std::move(message), settings_.timeout, settings_.body_limit);
    ++traffic_.requests;
    traffic_.bytes_sent += result.outcome == verdict::not_run ? 0 : sent;
    traffic_.bytes_received += result.answer ? wire_size(*result.answer) : 0;
    if (connection->is_open() && idle_.size() < settings_.max_idle_connections)
    {
        idle_.push_back(std::move(connection));
    }
    co_return result;
}

asio::awaitable<row_result> http_client::read_row(std::string key, std::uint64_t not_version)
{
    std::string target = "/v1/row?key=" + encoded(key);
    if (not_version > 0)
    {
        target += "&not_version=" + std::to_string(not_version);
    }
    const http::exchange_result exchanged =
        co_await exchange(http::method::get, std::move(target), std::string());
    row_result result;
    if (has_status(exchanged, http::status::not_found))
    {
        result.status = read_status::absent;
        result.value.key = std::move(key);
    }
    else if (has_status(exchanged, http::status::not_modified) && not_version > 0)
    {
        result.status = read_status::unchanged;
        result.value = row{std::move(key), not_version, {}};
    }
    else if (has_status(exchanged, http::status::ok))
    {
        std::optional<row> value = readable([&] { return decode_row(exchanged.answer->body()); });
        if (value && value->key == key)
        {
            result.status = read_status::found;
            result.value = std::move(*value);
        }
    }
    co_return result;
}

asio::awaitable<rows_result> http_client::read_rows(std::string prefix)
{
    rows_result result;
    std::string after;
    for (std::size_t pages = 0; pages < max_pages; ++pages)
    {
        std::string target = "/v1/rows?prefix=" + encoded(prefix) + "&after=" + encoded(after) +
                             "&limit=" + std::to_string(page_size);
        const http::exchange_result exchanged =
            co_await exchange(http::method::get, std::move(target), std::string());
        std::optional<row_page> page;
        if (has_status(exchanged, http::status::ok))
        {
            page = readable([&] { return decode_page(exchanged.answer->body()); });
        }
        if (!page || (page->more && page->rows.empty()))
        {
            co_return rows_result{};
        }
        for (row& value : page->rows)
        {
            if (value.key <= after || !value.key.starts_with(prefix))
            {
                co_return rows_result{};
            }
            after = value.key;
            result.rows.push_back(std::move(value));
        }
        if (!page->more)
        {
            result.status = read_status::found;
            co_return result;
        }
    }
    co_return rows_result{};
}

asio::awaitable<transact_result> http_client::transact(transaction changes)
{
    std::string body = encode_transaction(changes);
    const http::exchange_result exchanged =
        co_await exchange(http::method::post, std::string("/v1/transact"), std::move(body));
    transact_result result;
    if (has_status(exchanged, http::status::ok))
    {
        std::optional<std::vector<std::uint64_t>> versions =
            readable([&] { return decode_versions(exchanged.answer->body()); });
        if (versions && versions->size() == changes.writes.size())
        {
            result.status = transact_status::committed;
            result.versions = std::move(*versions);
        }
    }
    else if (has_status(exchanged, http::status::conflict))
    {
        std::optional<std::string> key =
            readable([&] { return decode_conflict(exchanged.answer->body()); });
        if (key)
        {
            result.status = transact_status::conflict;
            result.conflict_key = std::move(*key);
        }
    }
    else if (is_refused(exchanged))
    {
        result.status = transact_status::not_written;
    }
    co_return result;
}

asio::awaitable<object_result> http_client::read_object(std::string key)
{
    std::string target = "/v1/object?key=" + encoded(key);
    http::exchange_result exchanged =
        co_await exchange(http::method::get, std::move(target), std::string());
    object_result result;
    if (has_status(exchanged, http::status::ok))
    {
        result.status = read_status::found;
        result.body = std::move(exchanged.answer->body());
    }
    else if (has_status(exchanged, http::status::not_found))
    {
        result.status = read_status::absent;
    }
    co_return result;
}

asio::awaitable<bool> http_client::write_object(std::string key, std::string body)
{
    std::string target = "/v1/object?key=" + encoded(key);
    const http::exchange_result exchanged =
        co_await exchange(http::method::put, std::move(target), std::move(body));
    co_return has_status(exchanged, http::status::no_content);
}

asio::awaitable<hosts_result> http_client::list_hosts()
{
    const http::exchange_result exchanged =
        co_await exchange(http::method::get, std::string("/v1/hosts"), std::string());
    hosts_result result;
    if (has_status(exchanged, http::status::ok))
    {
        std::optional<std::vector<listed_host>> hosts =
            readable([&] { return decode_hosts(exchanged.answer->body()); });
        if (hosts)
        {
            result.status = read_status::found;
            result.hosts = std::move(*hosts);
        }
    }
    co_return result;
}

asio::awaitable<reboot_status> http_client::reboot(std::string host, std::string reboot_id)
{
    std::string body =
        boost::json::serialize(boost::json::object{{"host", host}, {"reboot_id", reboot_id}});
    const http::exchange_result exchanged =
        co_await exchange(http::method::post, std::string("/v1/reboot"), std::move(body));
    if (has_status(exchanged, http::status::ok))
    {
        co_return reboot_status::done;
    }
    if (has_status(exchanged, http::status::accepted))
    {
        co_return reboot_status::running;
    }
    co_return exchanged.answer&& exchanged.answer->result_int() / 100 == 4
        ? reboot_status::refused
        : reboot_status::unavailable;
}

} // namespace lacewingquay::platform
