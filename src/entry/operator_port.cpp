#include "entry/operator_port.hpp"

#include "core/json.hpp"

namespace lacewingquay::entry
{

namespace
{

http::response make_error(http::status code, const std::string& text)
{
    return http::make_response(code, boost::json::serialize(boost::json::object{{"error", text}}));
}

http::response answer_faults(const operator_functions& functions, const std::string& body)
{
    if (!functions.inject_faults)
    {
        return make_error(http::status::forbidden, "fault injection is off: --fault-injection");
    }
    const std::string failure = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string>
        {
            BOOST_LEAF_AUTO(faults, parse_json_object(body, "faults"));
            return functions.inject_faults(faults);
        },
        [](const input_error& error) { return error.message(); },
        [] { return std::string("unreadable request"); });
    return failure.empty() ? http::make_response(http::status::ok, "{}")
                           : make_error(http::status::bad_request, failure);
}

http::response answer(const operator_functions& functions, const http::request& received)
{
    const std::string_view target = received.target();
    if (target == "/faults" && received.method() == http::method::post)
    {
        return answer_faults(functions, received.body());
    }
    if (received.method() != http::method::get)
    {
        return make_error(http::status::method_not_allowed, "only GET is allowed here");
    }
    if (target == "/healthz")
    {
        return http::make_response(http::status::ok, R"({"status":"ok"})");
    }
    if (target == "/readyz")
    {
        const std::string reasons = functions.readiness();
        return reasons.empty()
                   ? http::make_response(http::status::ok, R"({"status":"ready"})")
                   : make_error(http::status::service_unavailable, "not ready: " + reasons);
    }
    if (target == "/metrics")
    {
        return http::make_response(http::status::ok, functions.metrics(),
                                   "text/plain; version=0.0.4");
    }
    if (target == "/status")
    {
        return http::make_response(http::status::ok, boost::json::serialize(functions.status()));
    }
    return make_error(http::status::not_found,
                      "unknown path; known: /healthz, /readyz, /metrics, /status");
}

} // namespace

http::handler make_operator_handler(operator_functions functions)
{
    return [functions = std::move(functions)](
               http::request received) -> boost::asio::awaitable<http::response>
    {
        co_return answer(functions, received);
    };
}

} // namespace lacewingquay::entry
