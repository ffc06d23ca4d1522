#include "http/connection_pool.hpp"
#include "platform/loopback.hpp"
#include "platform/worker_calls.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <thread>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

namespace asio = boost::asio;

/// Accepts one connection and closes it without an answer.
asio::awaitable<void> close_one(asio::ip::tcp::acceptor& acceptor)
{
    asio::ip::tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, 1'024> buffer{};
    co_await socket.async_read_some(asio::buffer(buffer), asio::use_awaitable);
}

adapter::hold_result hold(asio::io_context& io, http::connection_pool& connections,
                          const address& where)
{
    adapter::worker_calls calls(connections);
    adapter::hold_call call;
    call.server = "s";
    call.where = where;
    return run(io, calls.hold(call, std::chrono::milliseconds(300)));
}

} // namespace

TEST_CASE("a call tells a server process that has ended from one that does not answer", "[adapter]")
{
    asio::io_context io;
    http::connection_pool connections(io.get_executor(), {});
    CHECK(hold(io, connections, free_address()).failure == worker::call_failure::disconnected);
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    const address where{"127.0.0.1", acceptor.local_endpoint().port()};
    CHECK(hold(io, connections, where).failure == worker::call_failure::silence);
    asio::io_context other;
    asio::ip::tcp::acceptor closing(other, {asio::ip::address_v4::loopback(), 0});
    asio::co_spawn(other, close_one(closing), asio::detached);
    std::thread thread([&] { other.run(); });
    const address closed{"127.0.0.1", closing.local_endpoint().port()};
    CHECK(hold(io, connections, closed).failure == worker::call_failure::disconnected);
    thread.join();
}
