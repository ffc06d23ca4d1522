#include "traffic/caller_service.hpp"

#include "core/error.hpp"
#include "core/hash.hpp"
#include "core/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace lacewingquay::traffic
{

namespace asio = boost::asio;

using idempotency::claim_answer;
using idempotency::claim_decision;
using idempotency::stored_answer;
using std::chrono::milliseconds;

struct caller_service::request_state
{
    request_state(const http::request& received, steady_time now, routing::snapshot_pointer current)
        : message(received), started(now), snapshot(std::move(current))
    {
    }

    const http::request& message;
    const steady_time started;
    routing::snapshot_pointer snapshot;
    const config::service* service = nullptr;
    caller_headers headers;
    std::string request_id;
    config::priority urgency = config::priority::normal;
    steady_time deadline;
    bool idempotent = false;
    std::uint32_t attempts = 0;
    std::string backend_server;
    std::chrono::microseconds waited{-1};
    std::chrono::microseconds slot_time{0};
};

struct caller_service::reply
{
    verdict outcome = verdict::not_run;
    http::response message;
    /// Stable reason code if there is no answer of a backend server; otherwise empty.
    std::string reason;
};

namespace
{

/// Maps the result of an exchange to a slot outcome, which drives backend server health.
slot_outcome outcome_of(const http::exchange_result& result)
{
    switch (result.outcome)
    {
    case verdict::not_run:
        return result.failure == http::exchange_failure::start_by_passed ? slot_outcome::unused
                                                                         : slot_outcome::failed;
    case verdict::may_have_run:
        // A backend server that closes the connection has stopped working on the request.
        return result.failure == http::exchange_failure::closed ? slot_outcome::failed
                                                                : slot_outcome::abandoned;
    case verdict::completed:
        return result.answer && result.answer->result_int() < 500 ? slot_outcome::succeeded
                                                                  : slot_outcome::failed;
    }
    return slot_outcome::abandoned;
}

/// Reason code for logs and error bodies.
std::string_view reason_of(http::exchange_failure failure)
{
    switch (failure)
    {
    case http::exchange_failure::none:
        return "backend_refused";
    case http::exchange_failure::connect:
    case http::exchange_failure::refused:
        return "backend_unreachable";
    case http::exchange_failure::start_by_passed:
        return "start_by_passed";
    case http::exchange_failure::timeout:
        return "backend_timeout";
    case http::exchange_failure::closed:
        return "backend_closed";
    case http::exchange_failure::malformed:
        return "backend_answer_invalid";
    }
    return "unknown";
}

bool is_documented_refusal(const http::response& answer)
{
    return answer.result() == http::status::service_unavailable &&
           answer[field::verdict] == to_string(verdict::not_run);
}

std::uint64_t fingerprint_of(const http::request& message)
{
    const std::uint64_t method =
        hash64(std::string_view(message.method_string().data(), message.method_string().size()));
    const std::uint64_t target =
        hash64(std::string_view(message.target().data(), message.target().size()), method);
    return hash64(message.body(), target);
}

milliseconds rounded_up(steady_time::duration time)
{
    return std::max(std::chrono::ceil<milliseconds>(time), milliseconds{0});
}

http::response make_error(http::status code, std::string_view reason, const std::string& error)
{
    const boost::json::object body{{"reason", reason}, {"error", error}};
    return http::make_response(code, boost::json::serialize(body));
}

http::response make_retry_later(http::status code, std::string_view reason,
                                const std::string& error, milliseconds after)
{
    http::response result = make_error(code, reason, error);
    const std::int64_t seconds =
        std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(after).count());
    result.set(boost::beast::http::field::retry_after, std::to_string(seconds));
    return result;
}

/// 429 if demand exceeds the slots, 404 for an unknown service, otherwise 503.
http::response make_slot_refusal(const slot_refusal& refusal)
{
    if (refusal.reason == "unknown_service")
    {
        return make_error(http::status::not_found, refusal.reason, "unknown service");
    }
    const bool is_overloaded = refusal.reason == "overload" || refusal.reason == "deadline";
    return make_retry_later(is_overloaded ? http::status::too_many_requests
                                          : http::status::service_unavailable,
                            refusal.reason, "no slot at a backend server", refusal.retry_after);
}

http::response make_failure(verdict outcome, http::exchange_failure failure)
{
    const std::string_view reason = reason_of(failure);
    if (outcome == verdict::not_run)
    {
        return make_retry_later(http::status::service_unavailable, reason,
                                "the request was not run", milliseconds{1'000});
    }
    return make_error(failure == http::exchange_failure::timeout ? http::status::gateway_timeout
                                                                 : http::status::bad_gateway,
                      reason, "no whole answer from the backend server");
}

http::response make_replay(const stored_answer& stored)
{
    if (!stored.kept)
    {
        const boost::json::object body{
            {"reason", "answer_not_kept"},
            {"error", "an earlier request with this key has completed; its answer was not kept"},
            {"earlier_status", stored.status}};
        return http::make_response(http::status::conflict, boost::json::serialize(body));
    }
    http::response result;
    result.version(11);
    result.result(stored.status);
    if (!stored.content_type.empty())
    {
        result.set(boost::beast::http::field::content_type, stored.content_type);
    }
    result.set(field::replayed, "true");
    result.body() = stored.body;
    result.prepare_payload();
    return result;
}

} // namespace

/// A request at a backend server. It may outlast its caller's deadline: the slot is free only once
/// the backend server has answered, so the answer is awaited up to the slot's run limit. Abandoning
/// the exchange at the caller's deadline would keep the slot reserved for longer than needed.
struct caller_service::sent_request
{
    explicit sent_request(const asio::any_io_executor& executor) : wake(executor) {}

    /// Expires at the caller's deadline; cancelled when `result` is set.
    asio::steady_timer wake;
    std::optional<http::exchange_result> result;
};

/// Releases a slot exactly once, also on an exception.
class caller_service::slot_guard
{
public:
    slot_guard(caller_environment& environment, const slot& granted)
        : environment_(environment), granted_(granted), started_(environment.clock.steady_now())
    {
    }

    ~slot_guard()
    {
        environment_.slots.release(granted_, outcome_,
                                   rounded_up(environment_.clock.steady_now() - started_));
    }

    slot_guard(const slot_guard&) = delete;
    slot_guard& operator=(const slot_guard&) = delete;

    void set_outcome(slot_outcome outcome) { outcome_ = outcome; }

private:
    caller_environment& environment_;
    const slot granted_;
    steady_time started_;
    slot_outcome outcome_ = slot_outcome::abandoned;
};

/// Reports the outcome of an admitted key exactly once, also on an exception.
class caller_service::claim_guard
{
public:
    claim_guard(idempotency::claim_client& keys, std::string key)
        : keys_(keys), key_(std::move(key))
    {
    }

    ~claim_guard() { keys_.report(key_, outcome_, answer_); }

    claim_guard(const claim_guard&) = delete;
    claim_guard& operator=(const claim_guard&) = delete;

    void set_outcome(verdict outcome, stored_answer answer)
    {
        outcome_ = outcome;
        answer_ = std::move(answer);
    }

private:
    idempotency::claim_client& keys_;
    std::string key_;
    verdict outcome_ = verdict::may_have_run;
    stored_answer answer_;
};

caller_service::caller_service(caller_environment environment, std::string_view instance,
                               caller_settings settings)
    : environment_(environment), settings_(settings), id_prefix_(hex_digest(instance) + "-")
{
}

std::string caller_service::make_request_id()
{
    return id_prefix_ + std::to_string(next_id_.fetch_add(1, std::memory_order_relaxed));
}

retry_budget& caller_service::budget_of(std::string_view service)
{
    return budgets_[hash64(service) % budgets_.size()];
}

asio::awaitable<http::response> caller_service::handle(http::request message)
{
    request_state state(message, environment_.clock.steady_now(), environment_.snapshot.load());
    state.request_id = valid_request_id(message);
    if (state.request_id.empty())
    {
        state.request_id = make_request_id();
    }
    reply answer;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(state.headers, parse_caller_headers(message));
            return {};
        },
        [&](const input_error& error)
        {
            answer.reason = "bad_request";
            answer.message = make_error(http::status::bad_request, answer.reason, error.message());
        },
        [&]
        {
            answer.reason = "bad_request";
            answer.message = make_error(http::status::bad_request, answer.reason, "bad request");
        });
    if (answer.reason.empty())
    {
        answer = co_await serve(state);
    }
    co_return finish(state, std::move(answer));
}

asio::awaitable<caller_service::reply> caller_service::serve(request_state& state)
{
    const routing::snapshot* snapshot = state.snapshot.get();
    if (snapshot != nullptr)
    {
        const auto found = snapshot->services.find(state.headers.service);
        state.service = found == snapshot->services.end() ? nullptr : &found->second;
    }
    if (state.service == nullptr)
    {
        co_return reply{verdict::not_run,
                        make_error(http::status::not_found, "unknown_service", "unknown service"),
                        "unknown_service"};
    }
    const config::service& service = *state.service;
    const std::string_view method(state.message.method_string().data(),
                                  state.message.method_string().size());
    state.idempotent =
        std::find(service.idempotent_methods.begin(), service.idempotent_methods.end(), method) !=
        service.idempotent_methods.end();
    state.urgency = state.headers.urgency.value_or(service.default_priority);
    state.deadline = state.started + state.headers.deadline.value_or(service.request_timeout +
                                                                     settings_.default_wait);
    budget_of(service.name).deposit();
    if (state.headers.idempotency_key.empty())
    {
        co_return co_await send_with_retries(state);
    }
    co_return co_await serve_with_key(state);
}

asio::awaitable<caller_service::reply> caller_service::serve_with_key(request_state& state)
{
    const std::string& key = state.headers.idempotency_key;
    const claim_answer claim = co_await environment_.keys.claim(key, fingerprint_of(state.message));
    switch (claim.decision)
    {
    case claim_decision::refused:
        co_return reply{verdict::not_run,
                        make_retry_later(http::status::service_unavailable, "key_owner_unreachable",
                                         "the owner of the idempotency key cannot decide now",
                                         milliseconds{1'000}),
                        "key_owner_unreachable"};
    case claim_decision::in_progress:
        co_return reply{verdict::not_run,
                        make_retry_later(http::status::service_unavailable, "key_in_progress",
                                         "an earlier request with this key is running",
                                         milliseconds{1'000}),
                        "key_in_progress"};
    case claim_decision::completed:
        co_return reply{verdict::completed, make_replay(claim.answer), "key_completed"};
    case claim_decision::may_have_run:
        co_return reply{verdict::may_have_run,
                        make_error(http::status::bad_gateway, "key_may_have_run",
                                   "an earlier request with this key may have run; not repeated"),
                        "key_may_have_run"};
    case claim_decision::mismatch:
        co_return reply{verdict::not_run,
                        make_error(http::status::bad_request, "key_mismatch",
                                   "the idempotency key belongs to a different request"),
                        "key_mismatch"};
    case claim_decision::invalid:
        co_return reply{verdict::not_run,
                        make_error(http::status::bad_request, "key_invalid",
                                   "the idempotency key is not a UUIDv7 or lies in the future"),
                        "key_invalid"};
    case claim_decision::admitted:
        break;
    }
    claim_guard guard(environment_.keys, key);
    reply answer = co_await send_with_retries(state);
    stored_answer stored;
    if (answer.outcome == verdict::completed)
    {
        stored.status = answer.message.result_int();
        stored.content_type = std::string(answer.message[boost::beast::http::field::content_type]);
        stored.kept = answer.message.body().size() <= settings_.stored_answer_limit;
        stored.body = stored.kept ? answer.message.body() : std::string();
    }
    guard.set_outcome(answer.outcome, std::move(stored));
    co_return answer;
}

bool caller_service::may_retry(const request_state& state, const http::exchange_result& failed)
{
    const bool safe_to_repeat = failed.outcome == verdict::not_run ||
                                (failed.outcome == verdict::may_have_run && state.idempotent);
    return safe_to_repeat && state.attempts < settings_.max_attempts &&
           environment_.clock.steady_now() < state.deadline &&
           budget_of(state.service->name).try_withdraw();
}

asio::awaitable<caller_service::reply> caller_service::send_with_retries(request_state& state)
{
    // The verdict covers all attempts: once one may have run, later ones cannot undo that.
    verdict overall = verdict::not_run;
    std::vector<std::string> avoid;
    while (true)
    {
        slot_requirements requirements{state.headers.service, state.urgency, state.deadline,
                                       state.service->request_timeout, avoid};
        const steady_time requested_at = environment_.clock.steady_now();
        const slot_answer acquired = co_await environment_.slots.acquire(std::move(requirements));
        if (acquired.granted)
        {
            state.waited = std::max(state.waited, std::chrono::microseconds{0}) +
                           microseconds_since(requested_at);
        }
        if (!acquired.granted)
        {
            if (overall == verdict::may_have_run)
            {
                co_return reply{overall,
                                make_error(http::status::bad_gateway, acquired.refusal.reason,
                                           "an earlier attempt may have run"),
                                acquired.refusal.reason};
            }
            co_return reply{overall, make_slot_refusal(acquired.refusal), acquired.refusal.reason};
        }
        ++state.attempts;
        state.backend_server = acquired.granted->host;
        http::exchange_result result = co_await send_once(state, *acquired.granted);
        if (result.outcome == verdict::completed)
        {
            const bool is_head = state.message.method() == http::method::head;
            co_return reply{verdict::completed,
                            make_caller_answer(std::move(*result.answer), is_head), ""};
        }
        overall = std::max(overall, result.outcome);
        if (result.failure != http::exchange_failure::start_by_passed)
        {
            avoid.push_back(acquired.granted->host);
        }
        if (!may_retry(state, result))
        {
            co_return reply{overall, make_failure(overall, result.failure),
                            std::string(reason_of(result.failure))};
        }
    }
}

asio::awaitable<http::exchange_result> caller_service::send_once(request_state& state,
                                                                 const slot& granted)
{
    const steady_time sent = environment_.clock.steady_now();
    const milliseconds remaining =
        rounded_up(std::min(granted.run_until, state.deadline) - environment_.clock.steady_now());
    http::exchange_limits limits;
    limits.start_by = std::min(granted.start_by, state.deadline);
    limits.deadline = granted.run_until;
    limits.body_limit = settings_.answer_limit;
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const std::shared_ptr<sent_request> request = std::make_shared<sent_request>(executor);
    request->wake.expires_at(state.deadline);
    ++exchanges_;
    asio::co_spawn(executor,
                   run_exchange(granted,
                                make_backend_request(state.message, state.headers, state.request_id,
                                                     state.urgency, remaining),
                                limits, request),
                   asio::detached);
    if (!request->result)
    {
        co_await request->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    state.slot_time += microseconds_since(sent);
    if (request->result)
    {
        co_return std::move(*request->result);
    }
    http::exchange_result timed_out;
    timed_out.outcome = verdict::may_have_run;
    timed_out.failure = http::exchange_failure::timeout;
    timed_out.reason = "the caller's deadline has passed";
    co_return timed_out;
}

asio::awaitable<void> caller_service::run_exchange(slot granted, http::request message,
                                                   http::exchange_limits limits,
                                                   std::shared_ptr<sent_request> request)
{
    try
    {
        slot_guard guard(environment_, granted);
        http::exchange_result result =
            co_await environment_.backends.exchange(granted.where, std::move(message), limits);
        guard.set_outcome(outcome_of(result));
        if (result.answer && is_documented_refusal(*result.answer))
        {
            result.answer.reset();
            result.outcome = verdict::not_run;
        }
        request->result = std::move(result);
    }
    catch (const std::exception& error)
    {
        // The coroutine is detached; without a result the caller would wait until its deadline.
        http::exchange_result failed;
        failed.outcome = verdict::may_have_run;
        failed.failure = http::exchange_failure::malformed;
        failed.reason = error.what();
        request->result = std::move(failed);
    }
    request->wake.cancel();
    --exchanges_;
}

std::chrono::microseconds caller_service::microseconds_since(steady_time start) const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(environment_.clock.steady_now() -
                                                                 start);
}

http::response caller_service::finish(request_state& state, reply answer)
{
    answer.message.set(field::request_id, state.request_id);
    answer.message.set(field::verdict, to_string(answer.outcome));
    if (state.waited.count() >= 0)
    {
        answer.message.set(field::waited, std::to_string(state.waited.count()));
        answer.message.set(field::backend_server, state.backend_server);
    }
    request_record record;
    record.service = state.service == nullptr ? std::string_view() : state.service->name;
    record.request_id = state.request_id;
    record.backend_server = state.backend_server;
    record.reason = answer.reason;
    record.outcome = answer.outcome;
    record.status = answer.message.result_int();
    record.attempts = state.attempts;
    record.latency = microseconds_since(state.started);
    record.waited = state.waited;
    record.slot_time = state.slot_time;
    record.caller_error = answer.outcome == verdict::not_run &&
                          (record.status == 400 || record.status == 404 || record.status == 413);
    record.within_target = state.service != nullptr && answer.outcome == verdict::completed &&
                           record.status < 500 && record.latency <= state.service->latency_target;
    environment_.observer.observe(record);
    if (settings_.log_requests)
    {
        log_event(log_level::info, "request",
                  {{"service", record.service},
                   {"request_id", record.request_id},
                   {"method", std::string_view(state.message.method_string().data(),
                                               state.message.method_string().size())},
                   {"status", record.status},
                   {"verdict", to_string(record.outcome)},
                   {"reason", record.reason},
                   {"backend_server", record.backend_server},
                   {"attempts", record.attempts},
                   {"latency_us", record.latency.count()}});
    }
    return std::move(answer.message);
}

} // namespace lacewingquay::traffic
