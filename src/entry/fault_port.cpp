#include "entry/fault_port.hpp"

namespace lacewingquay::entry
{

namespace asio = boost::asio;

asio::awaitable<platform::row_result> fault_port::read_row(std::string key,
                                                           std::uint64_t not_version)
{
    if (cut_)
    {
        co_return platform::row_result{};
    }
    co_return co_await target_.read_row(std::move(key), not_version);
}

asio::awaitable<platform::rows_result> fault_port::read_rows(std::string prefix)
{
    if (cut_)
    {
        co_return platform::rows_result{};
    }
    co_return co_await target_.read_rows(std::move(prefix));
}

asio::awaitable<platform::transact_result> fault_port::transact(platform::transaction changes)
{
    if (cut_)
    {
        platform::transact_result result;
        result.status = platform::transact_status::not_written;
        co_return result;
    }
    co_return co_await target_.transact(std::move(changes));
}

asio::awaitable<platform::object_result> fault_port::read_object(std::string key)
{
    if (cut_)
    {
        co_return platform::object_result{};
    }
    co_return co_await target_.read_object(std::move(key));
}

asio::awaitable<bool> fault_port::write_object(std::string key, std::string body)
{
    if (cut_)
    {
        co_return false;
    }
    co_return co_await target_.write_object(std::move(key), std::move(body));
}

asio::awaitable<platform::hosts_result> fault_port::list_hosts()
{
    if (cut_)
    {
        co_return platform::hosts_result{};
    }
    co_return co_await target_.list_hosts();
}

asio::awaitable<platform::reboot_status> fault_port::reboot(std::string host, std::string reboot_id)
{
    if (cut_)
    {
        co_return platform::reboot_status::unavailable;
    }
    co_return co_await target_.reboot(std::move(host), std::move(reboot_id));
}

} // namespace lacewingquay::entry
