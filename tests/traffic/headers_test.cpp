#include "traffic/headers.hpp"

#include <catch2/catch.hpp>

using namespace lacewingquay;

// Guards against hop-by-hop fields and forged internal fields that reach a backend server.
TEST_CASE("only end-to-end fields reach the backend server", "[traffic]")
{
    http::request message = http::make_request(http::method::post, "http://x/shop/a?b=1", "body");
    message.set("Host", "entry");
    message.set("Connection", "close, X-Private");
    message.set("X-Private", "1");
    message.set("Keep-Alive", "timeout=5");
    message.set("TE", "trailers");
    message.set("Upgrade", "h2c");
    message.set("Proxy-Authorization", "secret");
    message.set("Lacewingquay-Verdict", "not-run");
    message.set("X-Public", "2");
    const traffic::caller_headers headers = traffic::parse_caller_headers(message).value();
    CHECK(headers.service == "shop");
    const http::request sent = traffic::make_backend_request(
        message, headers, "r1", config::priority::urgent, std::chrono::milliseconds{7});
    CHECK(sent.target() == "/shop/a?b=1");
    CHECK(sent.body() == "body");
    CHECK(sent["Host"] == "entry");
    CHECK(sent["X-Public"] == "2");
    CHECK(sent["Content-Length"] == "4");
    CHECK(sent["Lacewingquay-Request-Id"] == "r1");
    CHECK(sent["Lacewingquay-Priority"] == "urgent");
    CHECK(sent["Lacewingquay-Deadline-Ms"] == "7");
    for (const char* dropped : {"Connection", "X-Private", "Keep-Alive", "TE", "Upgrade",
                                "Proxy-Authorization", "Lacewingquay-Verdict"})
    {
        CAPTURE(dropped);
        CHECK(sent.count(dropped) == 0);
    }
}

// Guards against a backend server that overrides the verdict for the caller, and against a wrong
// length in answers to HEAD.
TEST_CASE("only end-to-end fields reach the caller", "[traffic]")
{
    http::response answer = http::make_response(http::status::ok, "abc");
    answer.set("Connection", "X-Private");
    answer.set("X-Private", "1");
    answer.set("Lacewingquay-Verdict", "not-run");
    answer.set("ETag", "e");
    const http::response passed = traffic::make_caller_answer(answer, false);
    CHECK(passed["ETag"] == "e");
    CHECK(passed["Content-Length"] == "3");
    CHECK(passed.body() == "abc");
    CHECK(passed.count("X-Private") == 0);
    CHECK(passed.count("Lacewingquay-Verdict") == 0);
    answer.body().clear();
    CHECK(traffic::make_caller_answer(answer, true)["Content-Length"] == "3");
}
