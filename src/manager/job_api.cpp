#include "manager/job_api.hpp"

#include "core/log.hpp"
#include "core/parse_or_log.hpp"
#include "job/progress.hpp"
#include "job/record_text.hpp"
#include "platform/decode.hpp"
#include "scheduler/admission.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace lacewingquay::manager
{

namespace
{

constexpr auto nothrow_awaitable = boost::asio::as_tuple(boost::asio::use_awaitable);

/// Number of hexadecimal digits in a job id, set by the platform.
constexpr std::size_t id_length = 16;
/// Used for requests without a Deadline-Ms header.
constexpr milliseconds default_request_timeout{3'000};
/// Part of the caller's deadline reserved for the response to arrive.
constexpr milliseconds answer_margin{250};
/// Retry-After during a store outage; outages last some seconds.
constexpr int outage_retry_seconds = 2;
/// Most rows in one transaction; each new job takes two conditions and a write.
constexpr std::size_t max_batch = 33;
static_assert(3 * max_batch <= adapter::max_transaction_entries);
/// What a transaction contains besides its rows, in bytes.
constexpr std::size_t transaction_overhead = 200;

http::response error_response(http::status code, std::string_view error, int retry_after_seconds)
{
    http::response response =
        http::make_response(code, boost::json::serialize(boost::json::object{{"error", error}}));
    if (retry_after_seconds > 0)
    {
        response.set(boost::beast::http::field::retry_after, std::to_string(retry_after_seconds));
    }
    return response;
}

/// Rounds up, as callers must not retry too early.
int round_up_to_seconds(milliseconds time)
{
    return static_cast<int>((time.count() + 999) / 1'000);
}

bool is_job_id(std::string_view text)
{
    return text.size() == id_length && std::all_of(text.begin(), text.end(),
                                                   [](char digit)
                                                   {
                                                       return (digit >= '0' && digit <= '9') ||
                                                              (digit >= 'a' && digit <= 'f') ||
                                                              (digit >= 'A' && digit <= 'F');
                                                   });
}

std::string_view host_of(const http::request& received)
{
    const std::string_view host = received[boost::beast::http::field::host];
    return host.substr(0, host.find(':'));
}

milliseconds request_timeout_of(const http::request& received)
{
    const std::string_view text = received["Deadline-Ms"];
    std::int64_t value = 0;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() && value > 0 ? milliseconds(value) : default_request_timeout;
}

/// The job that a row of the jobs table belongs to.
std::string_view job_of(std::string_view key)
{
    static_assert(job_prefix.size() == cancel_prefix.size());
    return key.substr(job_prefix.size());
}

/// Key of the row that holds the cancellation of a job.
std::string cancel_key(std::string_view id)
{
    return std::string(cancel_prefix) + std::string(id);
}

http::response state_response(job::state reported_state)
{
    return http::make_response(
        http::status::ok, R"({"state":")" + std::string(job::state_name(reported_state)) + "\"}");
}

} // namespace

job_api::job_api(context& shared)
    : shared_(shared), waiting_counts_(shared), admission_(scheduler::admission_settings{})
{
    for (std::size_t partition = 0; partition < adapter::store::parts_of(jobs_table); ++partition)
    {
        write_queues_.push_back(
            {{}, std::make_unique<boost::asio::steady_timer>(shared.io.get_executor())});
    }
}

void job_api::start()
{
    for (std::size_t partition = 0; partition < write_queues_.size(); ++partition)
    {
        boost::asio::co_spawn(
            shared_.io, [this, partition] { return store_pending(partition); },
            boost::asio::detached);
    }
}

boost::asio::awaitable<http::response> job_api::handle(http::request received)
{
    const std::shared_ptr<const configuration> current = shared_.current;
    if (!current)
    {
        co_return error_response(http::status::service_unavailable, "no configuration yet", 1);
    }
    const std::string_view target = received.target();
    const std::string path(target.substr(0, target.find('?')));
    const job::queue* found = current->find_queue(host_of(received), path);
    if (found == nullptr)
    {
        co_return error_response(http::status::not_found, "no queue has this host and path", 0);
    }
    const job::queue queue = *found;
    std::string id = path.substr(queue.prefix.size());
    const steady_time deadline = shared_.now() + request_timeout_of(received) - answer_margin;
    if (received.method() == http::method::get && id.empty())
    {
        co_return co_await show_waiting(queue, deadline);
    }
    if (!is_job_id(id))
    {
        co_return error_response(received.method() == http::method::post ? http::status::bad_request
                                                                         : http::status::gone,
                                 "a job's id has 16 hexadecimal digits", 0);
    }
    switch (received.method())
    {
    case http::method::post:
        co_return co_await submit(queue, std::move(id), std::move(received.body()), deadline);
    case http::method::get:
        co_return co_await show(std::move(id));
    case http::method::delete_:
        co_return co_await cancel(std::move(id), deadline);
    default:
        co_return error_response(http::status::method_not_allowed, "POST, GET or DELETE", 0);
    }
}

boost::asio::awaitable<http::response> job_api::submit(const job::queue& queue, std::string id,
                                                       std::string body, steady_time deadline)
{
    if (shared_.jobs.state_of(id))
    {
        co_return http::make_response(http::status::ok, "{}");
    }
    std::string malformed;
    const std::optional<job::definition> work = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<job::definition>>
        {
            BOOST_LEAF_AUTO(parsed, adapter::parse_job(body));
            return std::optional<job::definition>(std::move(parsed));
        },
        [&](const input_error& error)
        {
            malformed = error.message();
            return std::optional<job::definition>();
        },
        [&]
        {
            malformed = "the job cannot be read";
            return std::optional<job::definition>();
        });
    if (!work)
    {
        log_event(log_level::info, "job_malformed", {{"job", id}, {"reason", malformed}});
        co_return error_response(http::status::bad_request, malformed, 0);
    }
    const scheduler::queue_load load = shared_.load.load_of(queue);
    const scheduler::admission admission =
        admission_.decide(*work, queue, load, shared_.owner.hosts(), shared_.now());
    if (!admission.accepted)
    {
        // Another host may have stored an earlier attempt of the caller.
        const adapter::read_result stored =
            co_await shared_.store.read_row(jobs_table, std::string(job_prefix) + id, read_timeout);
        if (stored.ok && !stored.rows.empty())
        {
            shared_.jobs.update(id, job::state::queued, 0);
            co_return http::make_response(http::status::ok, "{}");
        }
        log_event(log_level::info, "job_refused",
                  {{"job", id},
                   {"queue", queue.name},
                   {"drain_ms", load.drain.count()},
                   {"retry_after_ms", admission.retry_after.count()},
                   {"reason", "the expected queueing delay is too long for the job"}});
        co_return error_response(http::status::service_unavailable, "the queue is too long",
                                 round_up_to_seconds(admission.retry_after));
    }
    std::string value = job::serialize_record({queue, shared_.store_time()}, body);
    if (value.size() > shared_.config.max_row_bytes)
    {
        co_return error_response(http::status::payload_too_large,
                                 "the job is too large to be stored", 0);
    }
    if (shared_.store_unavailable)
    {
        log_event(log_level::info, "job_refused",
                  {{"job", id}, {"queue", queue.name}, {"reason", "the store is unavailable"}});
        co_return error_response(http::status::service_unavailable, "the store is away",
                                 outage_retry_seconds);
    }
    const adapter::commit_outcome outcome =
        co_await store_row(std::string(job_prefix) + id, std::move(value), true, deadline);
    if (outcome == adapter::commit_outcome::done)
    {
        shared_.jobs.update(id, job::state::queued, 0);
        log_event(log_level::info, "job_accepted", {{"job", id}, {"queue", queue.name}});
        co_return http::make_response(http::status::ok, "{}");
    }
    if (outcome == adapter::commit_outcome::rejected)
    {
        log_event(log_level::error, "job_rejected", {{"job", id}, {"queue", queue.name}});
        co_return error_response(http::status::bad_request, "the store does not accept the job", 0);
    }
    if (outcome == adapter::commit_outcome::conflict)
    {
        log_event(log_level::info, "job_refused",
                  {{"job", id}, {"queue", queue.name}, {"reason", "it was cancelled before"}});
        co_return error_response(http::status::gone, "the job was cancelled before it was stored",
                                 0);
    }
    const bool is_uncertain = outcome == adapter::commit_outcome::unknown;
    log_event(
        log_level::warning, is_uncertain ? "job_uncertain" : "job_refused",
        {{"job", id}, {"queue", queue.name}, {"reason", "the store did not confirm the write"}});
    if (is_uncertain)
    {
        co_return error_response(http::status::gateway_timeout, "the job may have been stored", 1);
    }
    co_return error_response(http::status::service_unavailable, "the store did not take the job",
                             outage_retry_seconds);
}

boost::asio::awaitable<std::optional<http::response>> job_api::error_if_unknown(std::string id)
{
    const adapter::read_result row =
        co_await shared_.store.read_row(jobs_table, std::string(job_prefix) + id, read_timeout);
    if (!row.ok)
    {
        co_return error_response(http::status::service_unavailable, "the store is away",
                                 outage_retry_seconds);
    }
    if (row.rows.empty())
    {
        co_return error_response(http::status::gone, "no such job", 0);
    }
    co_return std::nullopt;
}

boost::asio::awaitable<http::response> job_api::show_waiting(job::queue queue, steady_time deadline)
{
    const std::optional<std::int64_t> count =
        co_await waiting_counts_.count(std::move(queue), deadline);
    if (!count)
    {
        co_return error_response(http::status::service_unavailable,
                                 "the number of waiting jobs is not known",
                                 shared_.store_unavailable ? outage_retry_seconds : 1);
    }
    co_return http::make_response(http::status::ok,
                                  R"({"waiting":)" + std::to_string(*count) + "}");
}

boost::asio::awaitable<http::response> job_api::show(std::string id)
{
    const std::optional<job::state> known = shared_.jobs.state_of(id);
    if ((known && job::is_final(*known)) || (known && shared_.store_unavailable))
    {
        co_return state_response(*known);
    }
    const adapter::read_result row =
        co_await shared_.store.read_row(progress_table, id, read_timeout);
    job::state reported_state = known.value_or(job::state::queued);
    if (row.ok && !row.rows.empty())
    {
        const adapter::row& stored = row.rows.front();
        reported_state = parse_or_log("progress_unreadable", id, stored.version,
                                      [&] { return job::parse_progress_state(stored.value); })
                             .value_or(reported_state);
        shared_.jobs.update(id, reported_state, stored.version);
    }
    else if (!row.ok && !known)
    {
        co_return error_response(http::status::service_unavailable, "the store is away",
                                 outage_retry_seconds);
    }
    else if (row.ok && !known)
    {
        std::optional<http::response> missing = co_await error_if_unknown(id);
        if (missing)
        {
            co_return std::move(*missing);
        }
        shared_.jobs.update(id, reported_state, 0);
    }
    co_return state_response(shared_.jobs.state_of(id).value_or(reported_state));
}

boost::asio::awaitable<http::response> job_api::cancel(std::string id, steady_time deadline)
{
    const std::optional<job::state> known = shared_.jobs.state_of(id);
    if (known && job::is_final(*known))
    {
        co_return http::make_response(http::status::ok, "{}");
    }
    // Stored even if there is no such job, as the job's own write may be performed later.
    const adapter::commit_outcome outcome = co_await store_row(
        cancel_key(id), job::serialize_cancellation(shared_.store_time()), false, deadline);
    log_event(log_level::info, "job_cancel",
              {{"job", id}, {"stored", outcome == adapter::commit_outcome::done}});
    if (outcome != adapter::commit_outcome::done)
    {
        co_return error_response(
            outcome == adapter::commit_outcome::unknown ? http::status::gateway_timeout
                                                        : http::status::service_unavailable,
            "the store did not confirm the cancellation", outage_retry_seconds);
    }
    if (!known)
    {
        const milliseconds time_left =
            std::chrono::duration_cast<milliseconds>(deadline - shared_.now());
        const adapter::read_result row =
            co_await shared_.store.read_row(jobs_table, std::string(job_prefix) + id,
                                            std::clamp(time_left, milliseconds(0), read_timeout));
        if (row.ok && row.rows.empty())
        {
            co_return error_response(http::status::gone, "no such job", 0);
        }
        if (!row.ok)
        {
            // Cancelled if it exists, which is not known, so its state is not cached.
            co_return http::make_response(http::status::ok, "{}");
        }
    }
    shared_.jobs.cancel(id);
    co_return http::make_response(http::status::ok, "{}");
}

boost::asio::awaitable<adapter::commit_outcome>
job_api::store_row(std::string key, std::string value, bool is_new, steady_time deadline)
{
    std::shared_ptr<pending_write> entry =
        std::make_shared<pending_write>(shared_, std::move(key), std::move(value), is_new);
    entry->deadline = deadline;
    write_queue& to = write_queues_[adapter::store::group_of(entry->key)];
    to.pending.push_back(entry);
    to.wake->cancel();
    while (!entry->done)
    {
        co_await entry->completed.async_wait(nothrow_awaitable);
    }
    co_return entry->outcome;
}

void job_api::complete(pending_write& entry, adapter::commit_outcome outcome)
{
    entry.outcome = outcome;
    entry.done = true;
    entry.completed.cancel();
}

void job_api::apply_commit_result(write_queue& from,
                                  std::vector<std::shared_ptr<pending_write>>& batch,
                                  const adapter::commit_result& result)
{
    using adapter::commit_outcome;
    const steady_time now = shared_.now();
    for (std::shared_ptr<pending_write>& entry : batch)
    {
        const auto exists = [&](std::string_view key)
        {
            return std::any_of(result.current.begin(), result.current.end(),
                               [&](const adapter::row& row)
                               { return row.key == key && row.version > 0; });
        };
        const bool may_exist = result.outcome == commit_outcome::conflict && entry->is_new;
        if (result.outcome == commit_outcome::done || (may_exist && exists(entry->key)))
        {
            complete(*entry, commit_outcome::done);
            continue;
        }
        if (may_exist && exists(cancel_key(job_of(entry->key))))
        {
            complete(*entry, commit_outcome::conflict);
            continue;
        }
        entry->in_doubt = entry->in_doubt || result.outcome == commit_outcome::unknown;
        const bool is_refused = result.outcome == commit_outcome::refused ||
                                (result.outcome == commit_outcome::rejected && batch.size() == 1);
        if (is_refused && !entry->in_doubt)
        {
            complete(*entry, result.outcome);
        }
        else if (now >= entry->deadline)
        {
            complete(*entry, commit_outcome::unknown);
        }
        else
        {
            from.pending.push_back(std::move(entry));
        }
    }
}

boost::asio::awaitable<void> job_api::store_pending(std::size_t partition)
{
    constexpr milliseconds retry_pause{100};
    write_queue& from = write_queues_[partition];
    while (true)
    {
        if (from.pending.empty())
        {
            from.wake->expires_at(std::chrono::steady_clock::time_point::max());
            co_await from.wake->async_wait(nothrow_awaitable);
            continue;
        }
        std::vector<std::shared_ptr<pending_write>> batch;
        adapter::transaction work;
        const std::size_t count =
            std::min(from.pending.size(), from.stored_alone > 0 ? 1 : max_batch);
        milliseconds timeout = commit_timeout;
        std::size_t bytes = transaction_overhead;
        for (std::size_t index = 0; index < count; ++index)
        {
            const std::shared_ptr<pending_write>& entry = from.pending[index];
            const adapter::row_write write{std::string(jobs_table), entry->key, entry->value};
            // Counts a second row of the same key: a new job has a condition on its cancellation,
            // and a cancellation has a row in each of its tables.
            const std::string second = entry->is_new ? std::string() : entry->value;
            bytes += adapter::encoded_size(write) +
                     adapter::encoded_size({std::string(cancellations_table), entry->key, second});
            if (bytes > adapter::max_transaction_bytes && !batch.empty())
            {
                break;
            }
            if (std::any_of(batch.begin(), batch.end(),
                            [&](const std::shared_ptr<pending_write>& other)
                            { return job_of(other->key) == job_of(entry->key); }))
            {
                // A transaction must not hold a row twice, and a cancellation needs a later version
                // than its job. This one joins the next transaction.
                continue;
            }
            batch.push_back(entry);
            if (entry->is_new)
            {
                work.conditions.push_back({std::string(jobs_table), entry->key, 0});
                work.conditions.push_back(
                    {std::string(jobs_table), cancel_key(job_of(entry->key)), 0});
            }
            work.writes.push_back(write);
            if (entry->key.starts_with(cancel_prefix))
            {
                work.writes.push_back({std::string(cancellations_table),
                                       std::string(job_of(entry->key)), entry->value});
            }
            timeout = std::min(timeout,
                               std::max(milliseconds(50), std::chrono::duration_cast<milliseconds>(
                                                              entry->deadline - shared_.now())));
        }
        std::erase_if(from.pending, [&](const std::shared_ptr<pending_write>& entry)
                      { return std::find(batch.begin(), batch.end(), entry) != batch.end(); });
        const adapter::commit_result result = co_await shared_.store.commit(work, timeout);
        shared_.update_store_time(result.store_time, result.requested_at);
        // Rows that the store rejects are told from the others by storing each alone.
        const bool is_rejected = result.outcome == adapter::commit_outcome::rejected;
        const std::size_t tried = batch.size();
        apply_commit_result(from, batch, result);
        from.stored_alone = is_rejected && tried > 1
                                ? from.pending.size()
                                : from.stored_alone - std::min<std::size_t>(from.stored_alone, 1);
        if (result.outcome == adapter::commit_outcome::unknown ||
            result.outcome == adapter::commit_outcome::refused)
        {
            co_await sleep_for(shared_, retry_pause);
        }
    }
}

} // namespace lacewingquay::manager
