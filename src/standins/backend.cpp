#include "standins/backend.hpp"

#include "core/json.hpp"
#include "http/message.hpp"
#include "load/answer_body.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>

#include <array>
#include <atomic>
#include <mutex>
#include <random>
#include <sstream>
#include <tuple>
#include <utility>

namespace lacewingquay::standins
{

namespace asio = boost::asio;
namespace beast = boost::beast;

using boost::system::error_code;

namespace
{

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> awaiting{};

constexpr std::array<std::pair<std::string_view, backend_fault_kind>, 10> fault_names{{
    {"none", backend_fault_kind::none},
    {"slow", backend_fault_kind::slow},
    {"error", backend_fault_kind::error},
    {"freeze", backend_fault_kind::freeze},
    {"close_mid_answer", backend_fault_kind::close_mid_answer},
    {"late_answer", backend_fault_kind::late_answer},
    {"surplus", backend_fault_kind::surplus},
    {"refuse", backend_fault_kind::refuse},
    {"short_answer", backend_fault_kind::short_answer},
    {"wrong_id", backend_fault_kind::wrong_id},
}};

/// How often a frozen request looks whether the fault has changed.
constexpr std::chrono::milliseconds freeze_poll{20};

constexpr std::string_view request_id_field = "Lacewingquay-Request-Id";

/// What happens to one request.
struct plan
{
    backend_fault_kind fault = backend_fault_kind::none;
    std::chrono::microseconds duration{0};
    std::uint64_t fault_version = 0;
};

std::string serialize(const http::response& answer)
{
    std::ostringstream text;
    text << answer;
    return std::move(text).str();
}

} // namespace

boost::leaf::result<backend_fault_kind> parse_backend_fault(std::string_view name,
                                                            std::string_view where)
{
    std::string allowed = "one of";
    for (const std::pair<std::string_view, backend_fault_kind>& entry : fault_names)
    {
        if (entry.first == name)
        {
            return entry.second;
        }
        allowed.append(" ").append(entry.first);
    }
    return boost::leaf::new_error(input_error{std::string(where), std::string(name), allowed});
}

struct backend::state : std::enable_shared_from_this<backend::state>
{
    state(asio::any_io_executor io, backend_settings given)
        : executor(std::move(io)), settings(std::move(given)),
          journal(settings.journal, settings.slots, clock), acceptor(asio::make_strand(executor)),
          fault(settings.fault), random(settings.seed)
    {
    }

    plan make_plan();
    bool has_fault_version(std::uint64_t version);
    http::response answer_operator(const http::request& request);
    http::response make_answer(const std::string& request_id) const;
    asio::awaitable<void> run(const journal_request& request, const plan& planned);
    asio::awaitable<bool> answer(beast::tcp_stream& stream, const http::request& request);
    asio::awaitable<bool> send(beast::tcp_stream& stream, std::string bytes) const;
    static asio::awaitable<void> serve(std::shared_ptr<state> shared, beast::tcp_stream stream);
    static asio::awaitable<void> accept(std::shared_ptr<state> shared);

    asio::any_io_executor executor;
    backend_settings settings;
    system_clock_source clock;
    backend_journal journal;
    asio::ip::tcp::acceptor acceptor;
    address bound;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    backend_fault fault;
    std::uint64_t fault_version = 0;
    std::mt19937_64 random;
};

plan backend::state::make_plan()
{
    const std::lock_guard<std::mutex> lock(mutex);
    const bool hit = std::uniform_real_distribution<double>(0.0, 1.0)(random) < fault.fraction;
    plan result;
    result.fault = hit ? fault.kind : backend_fault_kind::none;
    result.fault_version = fault_version;
    double microseconds = std::chrono::duration<double, std::micro>(settings.service_time).count();
    if (settings.exponential)
    {
        microseconds *= std::exponential_distribution<double>(1.0)(random);
    }
    if (result.fault == backend_fault_kind::slow)
    {
        microseconds *= fault.factor;
    }
    result.duration = std::chrono::microseconds(static_cast<std::int64_t>(microseconds));
    if (result.fault == backend_fault_kind::late_answer)
    {
        result.duration = settings.late_time;
    }
    if (result.fault == backend_fault_kind::error)
    {
        result.duration = std::chrono::microseconds(0);
    }
    return result;
}

bool backend::state::has_fault_version(std::uint64_t version)
{
    const std::lock_guard<std::mutex> lock(mutex);
    return fault_version == version;
}

http::response backend::state::answer_operator(const http::request& request)
{
    const std::string_view target(request.target().data(), request.target().size());
    if (target == "/_standin/stats" && request.method() == http::method::get)
    {
        const backend_counts counts = journal.counts();
        const boost::json::object body{
            {"name", settings.name},
            {"slots", settings.slots},
            {"started", counts.started},
            {"finished", counts.finished},
            {"refused", counts.refused},
            {"in_progress", counts.in_progress},
            {"max_in_progress", counts.max_in_progress},
            {"slot_violations", counts.slot_violations},
            {"duplicates", counts.duplicates},
        };
        return http::make_response(http::status::ok, boost::json::serialize(body));
    }
    if (target != "/_standin/faults" || request.method() != http::method::post)
    {
        return http::make_response(http::status::not_found, R"({"error":"unknown path"})");
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<http::response>
        {
            BOOST_LEAF_AUTO(object, parse_json_object(request.body(), "body"));
            json_reader reader(object, "body");
            backend_fault wanted;
            BOOST_LEAF_AUTO(name, reader.text("fault"));
            BOOST_LEAF_ASSIGN(wanted.kind, parse_backend_fault(name, "body.fault"));
            BOOST_LEAF_ASSIGN(wanted.factor,
                              reader.number_or("factor", wanted.factor, 0.0, 10'000.0));
            BOOST_LEAF_ASSIGN(wanted.fraction, reader.number_or("fraction", 1.0, 0.0, 1.0));
            boost::leaf::result<void> finished = reader.finish();
            if (!finished)
            {
                return finished.error();
            }
            const std::lock_guard<std::mutex> lock(mutex);
            fault = wanted;
            ++fault_version;
            return http::make_response(http::status::ok, "{}");
        },
        [](const input_error& error)
        {
            const boost::json::object body{{"error", error.message()}};
            return http::make_response(http::status::bad_request, boost::json::serialize(body));
        },
        [] { return http::make_response(http::status::internal_server_error, "{}"); });
}

http::response backend::state::make_answer(const std::string& request_id) const
{
    http::response result =
        http::make_response(http::status::ok, load::make_answer_body(settings.name, request_id,
                                                                     settings.answer_blocks));
    result.set(request_id_field, request_id);
    result.set("Lacewingquay-Backend", settings.name);
    return result;
}

asio::awaitable<void> backend::state::run(const journal_request& request, const plan& planned)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    journal.start(request);
    if (planned.fault == backend_fault_kind::freeze)
    {
        const steady_time thaw = clock.steady_now() + settings.freeze_time;
        while (has_fault_version(planned.fault_version) && !stopping.load() &&
               clock.steady_now() < thaw)
        {
            timer.expires_after(freeze_poll);
            co_await timer.async_wait(awaiting);
        }
    }
    else if (planned.duration.count() > 0)
    {
        timer.expires_after(planned.duration);
        co_await timer.async_wait(awaiting);
    }
    journal.finish(request);
}

asio::awaitable<bool> backend::state::send(beast::tcp_stream& stream, std::string bytes) const
{
    stream.expires_after(std::chrono::seconds(30));
    const std::tuple<error_code, std::size_t> written =
        co_await asio::async_write(stream, asio::buffer(bytes), awaiting);
    co_return !std::get<0>(written);
}

asio::awaitable<bool> backend::state::answer(beast::tcp_stream& stream,
                                             const http::request& request)
{
    const std::string request_id(request[request_id_field]);
    const journal_request entry{request_id, std::string(request["Idempotency-Key"]),
                                std::string(request.method_string()),
                                std::string(request.target())};
    const plan planned = make_plan();
    if (planned.fault == backend_fault_kind::refuse)
    {
        journal.refuse(entry);
        http::response refusal =
            http::make_response(http::status::service_unavailable, R"({"error":"refused"})");
        refusal.set(request_id_field, request_id);
        refusal.set("Lacewingquay-Verdict", "not-run");
        co_return co_await send(stream, serialize(refusal));
    }
    co_await run(entry, planned);
    if (planned.fault == backend_fault_kind::freeze)
    {
        co_return false;
    }
    http::response result = make_answer(
        planned.fault == backend_fault_kind::wrong_id ? "not-" + request_id : request_id);
    if (planned.fault == backend_fault_kind::error)
    {
        result = http::make_response(http::status::internal_server_error, R"({"error":"fault"})");
        result.set(request_id_field, request_id);
    }
    std::string bytes = serialize(result);
    if (request.method() == http::method::head)
    {
        bytes.resize(bytes.size() - result.body().size());
    }
    if (planned.fault == backend_fault_kind::surplus)
    {
        bytes += serialize(make_answer("surplus"));
    }
    if (planned.fault == backend_fault_kind::short_answer)
    {
        bytes.resize(bytes.size() - 16);
    }
    if (planned.fault == backend_fault_kind::close_mid_answer)
    {
        bytes.resize(bytes.size() / 2);
        co_await send(stream, std::move(bytes));
        co_return false;
    }
    co_return co_await send(stream, std::move(bytes));
}

asio::awaitable<void> backend::state::serve(std::shared_ptr<state> shared, beast::tcp_stream stream)
{
    beast::flat_buffer buffer;
    bool keep = true;
    while (keep && !shared->stopping.load())
    {
        beast::http::request_parser<beast::http::string_body> parser;
        parser.body_limit(std::uint64_t{64} << 20U);
        stream.expires_never();
        const std::tuple<error_code, std::size_t> read =
            co_await beast::http::async_read(stream, buffer, parser, awaiting);
        if (std::get<0>(read))
        {
            break;
        }
        const http::request request = parser.release();
        if (request.target().starts_with("/_standin/"))
        {
            keep = co_await shared->send(stream, serialize(shared->answer_operator(request)));
        }
        else
        {
            keep = co_await shared->answer(stream, request);
        }
        keep = keep && request.keep_alive();
    }
    error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

asio::awaitable<void> backend::state::accept(std::shared_ptr<state> shared)
{
    while (shared->acceptor.is_open())
    {
        std::tuple<error_code, asio::ip::tcp::socket> accepted =
            co_await shared->acceptor.async_accept(asio::make_strand(shared->executor), awaiting);
        if (std::get<0>(accepted))
        {
            continue;
        }
        asio::ip::tcp::socket socket = std::move(std::get<1>(accepted));
        error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        asio::any_io_executor strand = socket.get_executor();
        asio::co_spawn(strand, serve(shared, beast::tcp_stream(std::move(socket))), asio::detached);
    }
}

backend::backend(std::shared_ptr<state> shared) : state_(std::move(shared)) {}

boost::leaf::result<std::shared_ptr<backend>>
backend::listen(asio::any_io_executor executor, const address& where, backend_settings settings)
{
    std::shared_ptr<state> shared =
        std::make_shared<state>(std::move(executor), std::move(settings));
    if (!shared->journal.is_good())
    {
        return boost::leaf::new_error(
            input_error{"journal", shared->settings.journal, "a file that can be written"});
    }
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(where.ip), where.port);
    error_code error;
    shared->acceptor.open(endpoint.protocol(), error);
    shared->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
    {
        shared->acceptor.bind(endpoint, error);
    }
    if (!error)
    {
        shared->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        return boost::leaf::new_error(input_error{"listen address", where.text(),
                                                  "an address that is free: " + error.message()});
    }
    shared->bound = address{where.ip, shared->acceptor.local_endpoint(error).port()};
    asio::co_spawn(shared->acceptor.get_executor(), state::accept(shared), asio::detached);
    return std::shared_ptr<backend>(new backend(shared));
}

address backend::where() const
{
    return state_->bound;
}

void backend::set_fault(backend_fault fault)
{
    const std::lock_guard<std::mutex> lock(state_->mutex);
    state_->fault = fault;
    ++state_->fault_version;
}

const backend_journal& backend::journal() const
{
    return state_->journal;
}

void backend::stop()
{
    state_->stopping.store(true);
    asio::post(state_->acceptor.get_executor(),
               [shared = state_]
               {
                   error_code ignored;
                   shared->acceptor.close(ignored);
               });
}

} // namespace lacewingquay::standins
