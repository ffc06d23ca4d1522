#include "traffic/backend_pool.hpp"

#include "core/hash.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace lacewingquay::traffic
{

namespace asio = boost::asio;

namespace
{

constexpr const char* request_id_field = "Lacewingquay-Request-Id";

std::size_t bucket_of(const address& where, std::size_t buckets)
{
    return hash64(where.ip, where.port) % buckets;
}

} // namespace

struct backend_pool::connection
{
    explicit connection(const asio::any_io_executor& executor, const address& where)
        : http(asio::make_strand(executor), where)
    {
    }

    http::client_connection http;
    steady_time idle_since;
};

struct backend_pool::host_entry
{
    explicit host_entry(address server) : where(std::move(server)) {}

    address where;
    /// The thread that exchanges a pointer for null owns the connection.
    std::array<std::atomic<connection*>, max_idle> idle{};
    host_entry* next = nullptr;
};

backend_pool::backend_pool(asio::any_io_executor executor, backend_pool_settings settings)
    : executor_(std::move(executor)), idle_limit_(settings.idle_limit),
      idle_cap_(std::min(settings.idle_cap, max_idle))
{
}

backend_pool::~backend_pool()
{
    for (std::atomic<host_entry*>& bucket : buckets_)
    {
        std::unique_ptr<host_entry> entry(bucket.load());
        while (entry)
        {
            for (std::atomic<connection*>& stored : entry->idle)
            {
                const std::unique_ptr<connection> closed(stored.exchange(nullptr));
            }
            entry.reset(entry->next);
        }
    }
}

backend_pool::host_entry* backend_pool::find(const address& where) const
{
    host_entry* entry = buckets_[bucket_of(where, buckets_.size())].load(std::memory_order_acquire);
    while (entry != nullptr && entry->where != where)
    {
        entry = entry->next;
    }
    return entry;
}

backend_pool::host_entry& backend_pool::find_or_add(const address& where)
{
    host_entry* known = find(where);
    if (known != nullptr)
    {
        return *known;
    }
    std::unique_ptr<host_entry> added = std::make_unique<host_entry>(where);
    std::atomic<host_entry*>& head = buckets_[bucket_of(where, buckets_.size())];
    added->next = head.load(std::memory_order_acquire);
    // Two threads can add the same host concurrently; lookups then find the entry nearer the head.
    while (!head.compare_exchange_weak(added->next, added.get(), std::memory_order_acq_rel))
    {
    }
    return *added.release();
}

std::unique_ptr<backend_pool::connection> backend_pool::take_idle_or_connect(host_entry& entry)
{
    const steady_time oldest = std::chrono::steady_clock::now() - idle_limit_;
    for (std::atomic<connection*>& stored : entry.idle)
    {
        if (stored.load(std::memory_order_relaxed) == nullptr)
        {
            continue;
        }
        std::unique_ptr<connection> taken(stored.exchange(nullptr, std::memory_order_acq_rel));
        if (taken && taken->idle_since >= oldest)
        {
            return taken;
        }
    }
    return std::make_unique<connection>(executor_, entry.where);
}

void backend_pool::keep_idle(host_entry& entry, std::unique_ptr<connection> idle)
{
    const std::size_t cap = idle_cap_.load(std::memory_order_relaxed);
    for (std::size_t i = 0; i < cap; ++i)
    {
        connection* expected = nullptr;
        if (entry.idle[i].compare_exchange_strong(expected, idle.get(), std::memory_order_acq_rel))
        {
            (void)idle.release();
            return;
        }
    }
}

asio::awaitable<backend_pool::finished_exchange> backend_pool::run(std::unique_ptr<connection> used,
                                                                   http::request message,
                                                                   http::exchange_limits limits)
{
    http::exchange_result result = co_await used->http.exchange(std::move(message), limits);
    co_return finished_exchange(std::move(used), std::move(result));
}

asio::awaitable<http::exchange_result> backend_pool::exchange(address where, http::request message,
                                                              http::exchange_limits limits)
{
    host_entry& entry = find_or_add(where);
    std::unique_ptr<connection> used = take_idle_or_connect(entry);
    const std::string request_id(message[request_id_field]);
    // The connection's timer runs on its own strand, so the exchange has to run there as well.
    const asio::any_io_executor strand = used->http.executor();
    finished_exchange finished = co_await asio::co_spawn(
        strand, run(std::move(used), std::move(message), limits), asio::use_awaitable);
    http::exchange_result result = std::move(finished.second);
    used = std::move(finished.first);
    if (result.answer && (result.answer->count(request_id_field) != 1 ||
                          (*result.answer)[request_id_field] != request_id))
    {
        result.answer.reset();
        result.outcome = verdict::may_have_run;
        result.failure = http::exchange_failure::malformed;
        result.reason = "read: answer has no or another request id";
    }
    if (result.answer && used->http.is_open())
    {
        used->idle_since = std::chrono::steady_clock::now();
        keep_idle(entry, std::move(used));
    }
    co_return result;
}

void backend_pool::set_idle_cap(std::size_t cap)
{
    idle_cap_.store(std::min(cap, max_idle), std::memory_order_relaxed);
}

void backend_pool::close_idle()
{
    const steady_time oldest = std::chrono::steady_clock::now() - idle_limit_;
    for (std::atomic<host_entry*>& bucket : buckets_)
    {
        for (host_entry* entry = bucket.load(std::memory_order_acquire); entry != nullptr;
             entry = entry->next)
        {
            for (std::atomic<connection*>& stored : entry->idle)
            {
                std::unique_ptr<connection> idle(
                    stored.exchange(nullptr, std::memory_order_acq_rel));
                if (idle && idle->idle_since >= oldest)
                {
                    keep_idle(*entry, std::move(idle));
                }
            }
        }
    }
}

std::size_t backend_pool::idle_connections(const address& where) const
{
    const host_entry* entry = find(where);
    return entry == nullptr
               ? 0
               : static_cast<std::size_t>(std::count_if(entry->idle.begin(), entry->idle.end(),
                                                        [](const std::atomic<connection*>& stored)
                                                        { return stored.load() != nullptr; }));
}

} // namespace lacewingquay::traffic
