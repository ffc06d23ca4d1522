#include "core/log.hpp"
#include "manager/owner_session.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace lacewingquay::manager
{

namespace
{

constexpr auto nothrow_awaitable = boost::asio::as_tuple(boost::asio::use_awaitable);

/// Below the interval at which stop orders are repeated, so that no two of them are under way for
/// one run.
constexpr milliseconds max_stop_time{450};
/// How long a server holds a poll while no run ends.
constexpr milliseconds poll_wait{1'000};
/// Used instead while a long-running task on the server is starting up: until it is at work, no
/// other task of its step may be stopped.
constexpr milliseconds startup_poll_wait{250};
/// Time of a poll beyond the wait at the server and the timeout of an order.
constexpr milliseconds poll_slack{300};
/// Least pause between polls, so that one poll returns all runs that end together.
constexpr milliseconds poll_interval{50};
/// Pause after a failed call to a server or to the advice service.
constexpr milliseconds failed_call_pause{300};
/// The advice service takes time for a decision and for each server in the request.
constexpr milliseconds advice_timeout{3'000};
/// The start orders of a batch for one server are split into this many sequences, which are sent in
/// parallel.
constexpr std::size_t parallel_sequences = 2;

} // namespace

void owner_session::send_orders(const scheduler::batch& work)
{
    starts_.add(work.starts.size());
    std::map<std::string, std::vector<worker::start_order>> sequences;
    std::map<std::string, std::size_t> next_sequence;
    for (const worker::start_order& order : work.starts)
    {
        const std::size_t sequence = next_sequence[order.server]++ % parallel_sequences;
        sequences[order.server + "/" + std::to_string(sequence)].push_back(order);
    }
    for (auto& entry : sequences)
    {
        boost::asio::co_spawn(
            shared_.io,
            [self = shared_from_this(), orders = std::move(entry.second)]() mutable
            { return self->send_starts(std::move(orders)); },
            boost::asio::detached);
    }
    for (const std::pair<std::string, std::int64_t>& entry : work.acknowledgements)
    {
        wake_server(entry.first);
    }
}

void owner_session::wake_server(const std::string& id)
{
    const auto found = poll_timers_.find(id);
    if (found != poll_timers_.end())
    {
        found->second->cancel();
    }
}

boost::asio::awaitable<void> owner_session::send_starts(std::vector<worker::start_order> orders)
{
    const std::shared_ptr<owner_session> self = shared_from_this();
    for (const worker::start_order& order : orders)
    {
        if (ended_)
        {
            co_return;
        }
        worker::order_outcome outcome = worker::order_outcome::not_sent;
        bool in_doubt = false;
        bool is_due = true;
        const auto may_send = [&]
        {
            is_due = !ended_ && may_start_runs(evidence()) && scheduler_.is_start_due(order) &&
                     (in_doubt || scheduler_.has_room(order));
            return is_due;
        };
        worker::call_failure failure = worker::call_failure::none;
        std::optional<milliseconds> delay;
        for (int attempt = 0; attempt < 2; ++attempt)
        {
            if (!may_send())
            {
                break;
            }
            scheduler::server_state& server = *scheduler_.find_server(order.server);
            const milliseconds deadline = scheduler_.grant_lease(server, shared_.now());
            if (deadline.count() == 0)
            {
                break;
            }
            ++counters_.starts;
            const steady_time sent_at = shared_.now();
            const adapter::order_result result =
                co_await shared_.workers.start(order, deadline, term_, starts_.timeout(), may_send);
            delay = std::chrono::duration_cast<milliseconds>(shared_.now() - sent_at);
            outcome = result.outcome;
            apply_identification(order.server, result.identification, sent_at);
            scheduler_.observe_clock(order.server, order.server_born, result.clock, sent_at,
                                     shared_.now());
            if (failure == worker::call_failure::none)
            {
                failure = result.failure;
            }
            if (outcome == worker::order_outcome::unknown)
            {
                in_doubt = true;
                continue;
            }
            break;
        }
        if (ended_)
        {
            co_return;
        }
        // A connection that is refused at once does not show how long orders queue.
        finish_start(outcome == worker::order_outcome::not_sent ? std::nullopt : delay);
        if (outcome == worker::order_outcome::fenced)
        {
            end("a server has seen a higher fencing token");
            co_return;
        }
        if (in_doubt && outcome != worker::order_outcome::accepted &&
            outcome != worker::order_outcome::other_server)
        {
            outcome = worker::order_outcome::unknown;
        }
        const bool is_unsent = outcome == worker::order_outcome::not_sent;
        if (is_unsent)
        {
            // First, as a task that was not sent is not responsible for the end of its server.
            scheduler_.start_answered(order, is_due ? outcome : worker::order_outcome::withdrawn,
                                      shared_.now());
        }
        if (outcome == worker::order_outcome::unknown || (is_unsent && is_due))
        {
            scheduler_.call_unanswered(order.server, order.server_born, failure, shared_.now());
        }
        if (!is_unsent)
        {
            scheduler_.start_answered(order, outcome, shared_.now());
        }
        wake_server(order.server);
        if (outcome != worker::order_outcome::accepted)
        {
            wake_timer_.cancel();
        }
    }
}

void owner_session::apply_identification(const std::string& server,
                                         const std::optional<worker::report>& identification,
                                         steady_time requested_at)
{
    const scheduler::server_state* known = scheduler_.find_server(server);
    if (!ended_ && identification && known != nullptr && identification->born > known->info.born)
    {
        scheduler_.apply_report(server, *identification, requested_at, shared_.now());
    }
}

void owner_session::finish_start(std::optional<milliseconds> delay)
{
    if (delay)
    {
        starts_.finish(*delay, shared_.now());
    }
    else
    {
        starts_.remove();
    }
    if (starts_exhausted_ && starts_.available() * 2 >= starts_.limit())
    {
        starts_exhausted_ = false;
        wake_timer_.cancel();
    }
}

boost::asio::awaitable<void> owner_session::send_stop(worker::stop_order order)
{
    const std::shared_ptr<owner_session> self = shared_from_this();
    ++counters_.stops;
    const auto may_send = [&]
    {
        return !ended_ && scheduler_.is_stop_due(order);
    };
    const steady_time sent_at = shared_.now();
    const adapter::order_result result = co_await shared_.workers.stop(
        order, term_, std::min(starts_.timeout(), max_stop_time), may_send);
    if (ended_)
    {
        co_return;
    }
    scheduler_.observe_clock(order.server, order.server_born, result.clock, sent_at, shared_.now());
    if (result.outcome == worker::order_outcome::fenced)
    {
        end("a server has seen a higher fencing token");
        co_return;
    }
    counters_.unanswered_stops += result.outcome == worker::order_outcome::unknown ? 1 : 0;
    scheduler_.stop_answered(order, result.outcome, shared_.now());
    wake_server(order.server);
}

bool owner_session::may_renew_leases()
{
    const ownership_evidence known = evidence();
    const bool held = !may_extend_leases(known);
    if (held != leases_held_)
    {
        leases_held_ = held;
        log_event(log_level::warning, held ? "leases_held" : "leases_resumed",
                  {{"term", term_},
                   {"confirmed_age_ms", known.confirmed_age.count()},
                   {"unchallenged_age_ms", known.unchallenged_age.count()}});
    }
    return !held;
}

boost::asio::awaitable<void> owner_session::poll_server(std::string id)
{
    const std::shared_ptr<owner_session> self = shared_from_this();
    const std::shared_ptr<boost::asio::steady_timer> timer = poll_timers_[id];
    std::int64_t acknowledged = 0;
    std::int64_t born = 0;
    while (!ended_)
    {
        scheduler::server_state* server = scheduler_.find_server(id);
        if (server == nullptr)
        {
            break;
        }
        if (server->info.born != born)
        {
            born = server->info.born;
            acknowledged = 0;
        }
        const bool has_work = !server->tasks.empty() ||
                              (!server->incarnation_ended &&
                               (server->ends_stored > acknowledged || !server->fencing_confirmed ||
                                server->unanswered > 0 || server->unexpected_runs > 0));
        // A server known only from a stored run has no address until it registers.
        if (!has_work || server->info.endpoint.port == 0)
        {
            timer->expires_after(server->registered ? milliseconds(2'000) : milliseconds(500));
            co_await timer->async_wait(nothrow_awaitable);
            continue;
        }
        adapter::hold_call call;
        call.server = id;
        call.where = server->info.endpoint;
        call.server_born = server->info.born;
        call.fencing_token = term_;
        call.acknowledged_ends = server->ends_stored;
        const steady_time requested_at = shared_.now();
        call.deadline = server->tasks.empty() || !may_renew_leases()
                            ? milliseconds(0)
                            : scheduler_.grant_lease(*server, requested_at);
        const bool has_runs = !server->tasks.empty() || server->unexpected_runs > 0;
        call.wait = !has_runs || !server->fencing_confirmed               ? milliseconds(0)
                    : scheduler::scheduler::has_task_starting_up(*server) ? startup_poll_wait
                                                                          : poll_wait;
        ++counters_.polls;
        const adapter::hold_result result =
            co_await shared_.workers.hold(call, starts_.timeout() + poll_slack);
        if (ended_)
        {
            break;
        }
        using worker::order_outcome;
        if (result.outcome == order_outcome::accepted)
        {
            scheduler_.apply_report(id, *result.report, requested_at, shared_.now());
            acknowledged = result.is_identification ? acknowledged : call.acknowledged_ends;
            if (!result.report->ended.empty())
            {
                wake_timer_.cancel();
            }
            co_await sleep_for(shared_, poll_interval);
            continue;
        }
        if (result.outcome == order_outcome::fenced)
        {
            end("a server has seen a higher fencing token");
            break;
        }
        if (result.outcome == order_outcome::other_server)
        {
            scheduler_.end_incarnation(id, born, shared_.now());
        }
        else
        {
            scheduler_.call_unanswered(id, born, result.failure, shared_.now());
        }
        log_event(log_level::info, "look_failed",
                  {{"server", id},
                   {"outcome", worker::outcome_name(result.outcome)},
                   {"reason", result.reason}});
        co_await sleep_for(shared_, failed_call_pause);
    }
    poll_timers_.erase(id);
}

boost::asio::awaitable<void> owner_session::request_advice()
{
    const std::shared_ptr<owner_session> self = shared_from_this();
    // The service handles one call per host at a time.
    while (!ended_ && !advice_requests_.empty())
    {
        const scheduler::advice_request request = std::move(advice_requests_.front());
        advice_requests_.pop_front();
        const adapter::advice response =
            co_await adapter::ask_advice(shared_.connections, shared_.config.advice, request.task,
                                         request.servers, advice_timeout);
        log_event(log_level::info, "advice",
                  {{"job", request.task.job},
                   {"step", request.task.position.step},
                   {"asked", request.servers.size()},
                   {"permitted", response.tickets.size()},
                   {"answered", response.ok}});
        if (!response.ok)
        {
            co_await sleep_for(shared_, failed_call_pause);
        }
        scheduler_.advice_answered(request, response.ok, response.tickets, response.validity,
                                   shared_.now());
        wake_timer_.cancel();
    }
    advice_in_progress_ = false;
}

} // namespace lacewingquay::manager
