#include "platform/memory_port.hpp"

#include <limits>
#include <optional>
#include <utility>

namespace lacewingquay::platform
{

namespace asio = boost::asio;

memory_port::memory_port(std::shared_ptr<table_store> store, std::uint64_t seed,
                         pause pause_operation)
    : store_(std::move(store)), random_(seed), pause_(std::move(pause_operation))
{
}

bool memory_port::happens(double probability)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < probability;
}

asio::awaitable<void> memory_port::wait()
{
    if (pause_)
    {
        co_await pause_();
    }
}

asio::awaitable<row_result> memory_port::read_row(std::string key, std::uint64_t not_version)
{
    co_await wait();
    row_result result;
    if (faults.down || happens(faults.lose_reads))
    {
        co_return result;
    }
    result.value = store_->read(key);
    result.status = result.value.version == 0 ? read_status::absent : read_status::found;
    if (not_version > 0 && result.value.version == not_version)
    {
        result.status = read_status::unchanged;
    }
    co_await wait();
    co_return result;
}

asio::awaitable<rows_result> memory_port::read_rows(std::string prefix)
{
    co_await wait();
    rows_result result;
    if (faults.down || happens(faults.lose_reads))
    {
        co_return result;
    }
    result.status = read_status::found;
    result.rows = store_->list(prefix, {}, std::numeric_limits<std::size_t>::max());
    co_await wait();
    co_return result;
}

asio::awaitable<transact_result> memory_port::transact(transaction changes)
{
    co_await wait();
    transact_result result;
    if (faults.down)
    {
        result.status = transact_status::not_written;
        co_return result;
    }
    if (happens(faults.lose_writes))
    {
        co_return result;
    }
    result = store_->transact(changes);
    const bool lost = happens(faults.lose_answers);
    co_await wait();
    co_return lost ? transact_result{} : result;
}

asio::awaitable<object_result> memory_port::read_object(std::string key)
{
    co_await wait();
    object_result result;
    if (faults.down || happens(faults.lose_reads))
    {
        co_return result;
    }
    std::optional<std::string> body = store_->read_object(key);
    result.status = body ? read_status::found : read_status::absent;
    result.body = std::move(body).value_or(std::string());
    co_await wait();
    co_return result;
}

asio::awaitable<bool> memory_port::write_object(std::string key, std::string body)
{
    co_await wait();
    if (faults.down || happens(faults.lose_writes))
    {
        co_return false;
    }
    store_->write_object(std::move(key), std::move(body));
    const bool lost = happens(faults.lose_answers);
    co_await wait();
    co_return !lost;
}

asio::awaitable<hosts_result> memory_port::list_hosts()
{
    co_await wait();
    hosts_result result;
    if (faults.down || happens(faults.lose_reads))
    {
        co_return result;
    }
    result.status = read_status::found;
    result.hosts = hosts;
    co_return result;
}

asio::awaitable<reboot_status> memory_port::reboot(std::string host, std::string reboot_id)
{
    co_await wait();
    if (faults.down || happens(faults.lose_writes))
    {
        co_return reboot_status::unavailable;
    }
    const reboot_status result = on_reboot ? on_reboot(host, reboot_id) : reboot_status::done;
    const bool lost = happens(faults.lose_answers);
    co_await wait();
    co_return lost ? reboot_status::unavailable : result;
}

} // namespace lacewingquay::platform
