#include "standins/platform.hpp"

#include "core/json.hpp"
#include "platform/check.hpp"
#include "platform/codec.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <stdexcept>
#include <utility>

namespace lacewingquay::standins
{

namespace asio = boost::asio;
namespace json = boost::json;
namespace leaf = boost::leaf;

namespace
{

constexpr std::size_t max_page = 1'000;
constexpr std::chrono::milliseconds hang_check_interval{20};
constexpr std::string_view node_header = "Lacewingquay-Node";

http::response failure(http::status code, std::string_view message)
{
    return http::make_response(code, json::serialize(json::object{{"error", message}}));
}

/// The value of a query parameter, decoded, or nothing if it is absent or unreadable.
std::optional<std::string> parameter(const http::request& received, std::string_view name)
{
    const boost::urls::result<boost::urls::url_view> target =
        boost::urls::parse_origin_form(received.target());
    if (!target)
    {
        return std::nullopt;
    }
    for (const boost::urls::param& entry : target->params())
    {
        if (entry.key == name)
        {
            return entry.value;
        }
    }
    return std::nullopt;
}

std::uint64_t number_parameter(const http::request& received, std::string_view name,
                               std::uint64_t fallback)
{
    const std::optional<std::string> text = parameter(received, name);
    std::uint64_t number = fallback;
    if (text)
    {
        std::from_chars(text->data(), text->data() + text->size(), number);
    }
    return number;
}

bool is_write(const http::request& received)
{
    return received.method() == http::method::post || received.method() == http::method::put;
}

leaf::result<platform_faults::outage> read_outage(const std::string& text)
{
    if (text == "no")
    {
        return platform_faults::outage::none;
    }
    if (text == "refuse")
    {
        return platform_faults::outage::refuse;
    }
    if (text == "hang")
    {
        return platform_faults::outage::hang;
    }
    return leaf::new_error(input_error{"faults.down", text, "no, refuse or hang"});
}

struct fault_request
{
    platform_faults faults;
    std::uint64_t seed = 0;
};

leaf::result<fault_request> read_faults(std::string_view body)
{
    constexpr std::int64_t max_slow_ms = 600'000;
    BOOST_LEAF_AUTO(object, parse_json_object(body, "faults"));
    json_reader reader(object, "faults");
    fault_request result;
    BOOST_LEAF_AUTO(down, reader.text_or("down", "no"));
    BOOST_LEAF_ASSIGN(result.faults.down, read_outage(down));
    BOOST_LEAF_AUTO(slow, reader.integer_or("slow_ms", 0, 0, max_slow_ms));
    result.faults.slow = std::chrono::milliseconds{slow};
    BOOST_LEAF_ASSIGN(result.faults.lose_answers, reader.number_or("lose_answers", 0.0, 0.0, 1.0));
    BOOST_LEAF_ASSIGN(result.faults.garbage, reader.number_or("garbage", 0.0, 0.0, 1.0));
    BOOST_LEAF_AUTO(seed, reader.integer_or("seed", 0, 0, std::int64_t{1} << 62U));
    result.seed = static_cast<std::uint64_t>(seed);
    if (reader.has("partition"))
    {
        BOOST_LEAF_AUTO(nodes, reader.array("partition"));
        for (const json::value& node : *nodes)
        {
            if (!node.is_string())
            {
                return leaf::new_error(input_error{"faults.partition", json::serialize(node),
                                                   "the id of an entry host"});
            }
            result.faults.partition.emplace(node.get_string());
        }
    }
    LACEWINGQUAY_CHECK(reader.finish());
    return result;
}

/// Runs a function that fails with `input_error` and turns the failure into a 400 answer.
template <typename Function>
http::response answer_or_refuse(Function function)
{
    return leaf::try_handle_all([&]() -> leaf::result<http::response> { return function(); },
                                [](const input_error& error)
                                { return failure(http::status::bad_request, error.message()); },
                                [] { return failure(http::status::bad_request, "refused"); });
}

} // namespace

platform_standin::platform_standin(std::chrono::milliseconds host_list_lag)
    : host_list_lag_(host_list_lag)
{
}

bool platform_standin::happens(double probability)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < probability;
}

asio::awaitable<http::response> platform_standin::answer(http::request received)
{
    const std::string target(received.target());
    if (target.starts_with("/_standin/"))
    {
        co_return administer(received, target);
    }
    const std::string node(received[node_header]);
    nodes_[node].requests += 1;
    nodes_[node].bytes_in += platform::wire_size(received);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    if (faults_.slow.count() > 0)
    {
        timer.expires_after(faults_.slow);
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (faults_.down == platform_faults::outage::hang)
    {
        while (faults_.down == platform_faults::outage::hang)
        {
            timer.expires_after(hang_check_interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        throw std::runtime_error("connection closed by the fault 'hang'");
    }
    http::response result;
    if (faults_.down == platform_faults::outage::refuse || faults_.partition.contains(node))
    {
        result = failure(http::status::service_unavailable, "the platform is unavailable");
    }
    else
    {
        result = serve(received);
        if (is_write(received) && happens(faults_.lose_answers))
        {
            throw std::runtime_error("connection closed by the fault 'lose_answers'");
        }
        if (happens(faults_.garbage))
        {
            result = http::make_response(http::status::ok, "<html>\x01 not JSON");
        }
    }
    nodes_[node].bytes_out += platform::wire_size(result);
    co_return result;
}

http::response platform_standin::administer(const http::request& received, std::string_view path)
{
    if (path == "/_standin/faults" && received.method() == http::method::post)
    {
        return set_faults(received.body());
    }
    if (path == "/_standin/hosts" && received.method() == http::method::post)
    {
        return set_hosts(received.body());
    }
    if (path == "/_standin/stats" && received.method() == http::method::get)
    {
        return stats();
    }
    return failure(http::status::not_found, "no such path");
}

http::response platform_standin::set_faults(std::string_view body)
{
    return answer_or_refuse(
        [&]() -> leaf::result<http::response>
        {
            BOOST_LEAF_AUTO(request, read_faults(body));
            faults_ = std::move(request.faults);
            random_.seed(request.seed);
            return http::make_response(http::status::ok, "{}");
        });
}

http::response platform_standin::set_hosts(std::string_view body)
{
    return answer_or_refuse(
        [&]() -> leaf::result<http::response>
        {
            BOOST_LEAF_AUTO(hosts, platform::decode_hosts(body));
            host_lists_.push_back(
                host_list_change{clock_.steady_now() + host_list_lag_, std::move(hosts)});
            return http::make_response(http::status::ok, "{}");
        });
}

http::response platform_standin::stats() const
{
    json::object nodes;
    for (const auto& [node, traffic] : nodes_)
    {
        nodes[node] = json::object{{"requests", traffic.requests},
                                   {"bytes_in", traffic.bytes_in},
                                   {"bytes_out", traffic.bytes_out}};
    }
    json::object reboots;
    for (const auto& [id, host] : reboots_)
    {
        reboots[id] = host;
    }
    json::object body{{"reads", reads_}, {"writes", writes_}, {"not_modified", not_modified_}};
    body["reboots"] = std::move(reboots);
    body["nodes"] = std::move(nodes);
    return http::make_response(http::status::ok, json::serialize(body));
}

http::response platform_standin::serve(const http::request& received)
{
    const std::string_view target(received.target().data(), received.target().size());
    const std::string_view path = target.substr(0, target.find('?'));
    const bool is_get = received.method() == http::method::get;
    ++(is_write(received) ? writes_ : reads_);
    if (path == "/v1/transact" && received.method() == http::method::post)
    {
        return transact(received.body());
    }
    if (path == "/v1/row" && is_get)
    {
        return read_row(received);
    }
    if (path == "/v1/rows" && is_get)
    {
        return list_rows(received);
    }
    if (path == "/v1/object" && (is_get || received.method() == http::method::put))
    {
        return object(received);
    }
    if (path == "/v1/hosts" && is_get)
    {
        return list_hosts();
    }
    if (path == "/v1/reboot" && received.method() == http::method::post)
    {
        return reboot(received.body());
    }
    return failure(http::status::not_found, "no such path");
}

http::response platform_standin::reboot(std::string_view body)
{
    return answer_or_refuse(
        [&]() -> leaf::result<http::response>
        {
            BOOST_LEAF_AUTO(object, parse_json_object(body, "reboot"));
            json_reader reader(object, "reboot");
            BOOST_LEAF_AUTO(host, reader.text("host"));
            BOOST_LEAF_AUTO(id, reader.text("reboot_id"));
            LACEWINGQUAY_CHECK(reader.finish());
            const auto inserted = reboots_.emplace(id, host);
            if (inserted.first->second != host)
            {
                return failure(http::status::conflict, "reboot_id was used for another host");
            }
            return http::make_response(http::status::ok, "{}");
        });
}

http::response platform_standin::transact(std::string_view body)
{
    return answer_or_refuse(
        [&]() -> leaf::result<http::response>
        {
            BOOST_LEAF_AUTO(changes, platform::decode_transaction(body));
            const platform::transact_result done = store_.transact(changes);
            if (done.status == platform::transact_status::conflict)
            {
                return http::make_response(http::status::conflict,
                                           platform::encode_conflict(done.conflict_key));
            }
            return http::make_response(http::status::ok, platform::encode_versions(done.versions));
        });
}

http::response platform_standin::read_row(const http::request& received)
{
    const std::optional<std::string> key = parameter(received, "key");
    if (!key)
    {
        return failure(http::status::bad_request, "the parameter 'key' is missing");
    }
    const platform::row found = store_.read(*key);
    if (found.version == 0)
    {
        return failure(http::status::not_found, "no such row");
    }
    if (found.version == number_parameter(received, "not_version", 0))
    {
        ++not_modified_;
        return http::make_response(http::status::not_modified, "");
    }
    return http::make_response(http::status::ok, platform::encode_row(found));
}

http::response platform_standin::list_rows(const http::request& received)
{
    const std::size_t limit =
        std::clamp<std::uint64_t>(number_parameter(received, "limit", max_page), 1, max_page);
    platform::row_page page;
    page.rows = store_.list(parameter(received, "prefix").value_or(std::string()),
                            parameter(received, "after").value_or(std::string()), limit + 1);
    page.more = page.rows.size() > limit;
    page.rows.resize(std::min(page.rows.size(), limit));
    return http::make_response(http::status::ok, platform::encode_page(page));
}

http::response platform_standin::object(const http::request& received)
{
    const std::optional<std::string> key = parameter(received, "key");
    if (!key)
    {
        return failure(http::status::bad_request, "the parameter 'key' is missing");
    }
    if (received.method() == http::method::put)
    {
        store_.write_object(*key, received.body());
        return http::make_response(http::status::no_content, "");
    }
    std::optional<std::string> body = store_.read_object(*key);
    if (!body)
    {
        return failure(http::status::not_found, "no such object");
    }
    return http::make_response(http::status::ok, std::move(*body));
}

http::response platform_standin::list_hosts()
{
    const steady_time now = clock_.steady_now();
    while (host_lists_.size() > 1 && host_lists_[1].visible_from <= now)
    {
        host_lists_.pop_front();
    }
    std::vector<platform::listed_host> visible;
    if (!host_lists_.empty() && host_lists_.front().visible_from <= now)
    {
        visible = host_lists_.front().hosts;
    }
    return http::make_response(http::status::ok, platform::encode_hosts(visible));
}

} // namespace lacewingquay::standins
