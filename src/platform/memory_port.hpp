#pragma once

#include "platform/port.hpp"
#include "platform/table_store.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lacewingquay::platform
{

/// Faults that `memory_port` injects, each with its probability for one operation.
struct memory_faults
{
    /// Every operation fails without effect: reads are `unavailable`, writes `not_written`.
    bool down = false;
    /// A write takes effect and its answer is `unknown`.
    double lose_answers = 0.0;
    /// A write has no effect and its answer is `unknown`.
    double lose_writes = 0.0;
    /// A read answers `unavailable`.
    double lose_reads = 0.0;
};

/// Port over a `table_store` in memory, for tests. Several ports may share a store, one for each
/// simulated process. Not thread-safe.
class memory_port final : public port
{
public:
    /// Awaited before an operation takes effect and before its answer is returned. Tests use it to
    /// choose the order of operations of concurrent callers.
    using pause = std::function<boost::asio::awaitable<void>()>;

    explicit memory_port(std::shared_ptr<table_store> store, std::uint64_t seed = 0,
                         pause pause_operation = {});

    boost::asio::awaitable<row_result> read_row(std::string key,
                                                std::uint64_t not_version) override;
    boost::asio::awaitable<rows_result> read_rows(std::string prefix) override;
    boost::asio::awaitable<transact_result> transact(transaction changes) override;
    boost::asio::awaitable<object_result> read_object(std::string key) override;
    boost::asio::awaitable<bool> write_object(std::string key, std::string body) override;
    boost::asio::awaitable<hosts_result> list_hosts() override;
    boost::asio::awaitable<reboot_status> reboot(std::string host, std::string reboot_id) override;

    /// Faults of the operations that start from now on.
    memory_faults faults;
    /// The host list that `list_hosts` returns.
    std::vector<listed_host> hosts;
    /// Carries out a reboot; without it every reboot is `done` at once. Tests record calls with it.
    std::function<reboot_status(const std::string& host, const std::string& reboot_id)> on_reboot;

    [[nodiscard]] table_store& store() { return *store_; }

private:
    [[nodiscard]] bool happens(double probability);
    boost::asio::awaitable<void> wait();

    std::shared_ptr<table_store> store_;
    std::mt19937_64 random_;
    pause pause_;
};

} // namespace lacewingquay::platform
