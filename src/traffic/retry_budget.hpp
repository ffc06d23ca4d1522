#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace lacewingquay::traffic
{

/// Token bucket that limits retries to a fraction of requests, so that retries cannot multiply the
/// load on failing backend servers. Starts full. Thread-safe, without locks.
class retry_budget
{
public:
    /// Thousandths of a retry that each request adds.
    static constexpr std::int64_t deposit_per_request = 100;
    /// Bucket size in thousandths of a retry; allows a burst of 10 retries.
    static constexpr std::int64_t capacity = 10'000;

    /// Has to be called once for each caller's request.
    void deposit()
    {
        std::int64_t balance = balance_.load(std::memory_order_relaxed);
        while (balance < capacity && !balance_.compare_exchange_weak(
                                         balance, std::min(capacity, balance + deposit_per_request),
                                         std::memory_order_relaxed))
        {
        }
    }

    /// Takes one retry; returns false if the budget is exhausted.
    bool try_withdraw()
    {
        std::int64_t balance = balance_.load(std::memory_order_relaxed);
        while (balance >= 1'000)
        {
            if (balance_.compare_exchange_weak(balance, balance - 1'000, std::memory_order_relaxed))
            {
                return true;
            }
        }
        return false;
    }

private:
    std::atomic<std::int64_t> balance_{capacity};
};

} // namespace lacewingquay::traffic
