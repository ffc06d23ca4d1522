#include "core/clock.hpp"
#include "http/connection_pool.hpp"
#include "platform/loopback.hpp"
#include "platform/store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>

using namespace lacewingquay;

namespace asio = boost::asio;

namespace
{

constexpr std::size_t parts = 8;
constexpr std::chrono::milliseconds part_time{200};
constexpr std::chrono::milliseconds read_timeout{800};

/// Answers one request in eight parts, one each 200 ms, and stops after `sent` of them.
void serve_slowly(asio::ip::tcp::acceptor& acceptor, std::size_t sent)
{
    const boost::json::object rows{{"rows", boost::json::array{}},
                                   {"row-version", 7},
                                   {"now-ms", 1'000},
                                   {"filler", std::string(4'000, 'x')}};
    const std::string body = boost::json::serialize(rows);
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    asio::ip::tcp::socket socket = acceptor.accept();
    boost::system::error_code error;
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
    const std::size_t part_size = answer.size() / parts + 1;
    for (std::size_t part = 0; part < sent && !error; ++part)
    {
        std::this_thread::sleep_for(part_time);
        asio::write(socket, asio::buffer(answer.substr(part * part_size, part_size)), error);
    }
    // Returns once the caller has closed the connection.
    asio::read_until(socket, asio::dynamic_buffer(request), "end", error);
}

/// Reads from a store that sends `sent` parts of its answer; `time` is how long that took.
adapter::read_result read_slowly(std::size_t sent, std::chrono::milliseconds& time)
{
    asio::io_context server_context;
    asio::ip::tcp::acceptor acceptor(server_context, {asio::ip::make_address("127.0.0.1"), 0});
    std::thread server([&] { serve_slowly(acceptor, sent); });
    adapter::read_result result;
    {
        asio::io_context context;
        const suspend_aware_clock_source clock;
        http::connection_pool connections(context.get_executor(), {});
        adapter::store store(connections, {"127.0.0.1", acceptor.local_endpoint().port()}, clock);
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        result =
            test::run(context, store.watch("jobs", 1, std::chrono::milliseconds(0), read_timeout));
        time = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - start);
    }
    server.join();
    return result;
}

} // namespace

TEST_CASE("an answer of the store that a narrow link delays is read to its end", "[adapter]")
{
    // Guards against a host that asks for the same changes again and again and never reads them.
    std::chrono::milliseconds time{0};
    const adapter::read_result result = read_slowly(parts, time);
    CHECK(result.ok);
    CHECK(result.version == 7);
    CHECK(time > read_timeout);
}

TEST_CASE("an answer of the store that stops halfway is given up", "[adapter]")
{
    std::chrono::milliseconds time{0};
    const adapter::read_result result = read_slowly(parts / 2, time);
    CHECK_FALSE(result.ok);
    CHECK(time < std::chrono::milliseconds(2'500));
}
