#pragma once

#include "core/clock.hpp"
#include "manager/ownership.hpp"

#include <array>
#include <chrono>
#include <cstddef>

namespace lacewingquay::manager
{

using std::chrono::milliseconds;

/// Settings of `send_window`.
struct send_window_settings
{
    /// Orders that may be under way until answers show what the host can carry.
    std::size_t initial = 100;
    std::size_t least = 32;
    std::size_t most = 2'000;
    /// Answers that take longer, in the median, show that calls queue at this host. Half of
    /// `least_timeout`, so that orders are answered before they are given up.
    milliseconds max_delay{200};
    /// Least time between two reductions: a reduction shows in the answers only after the orders
    /// that were under way have been answered.
    milliseconds reduction_interval{200};
    /// Quick answers after which one more order may be under way.
    std::size_t answers_to_grow = 1;
    /// Bounds of the time after which an order is given up.
    milliseconds least_timeout{400};
    milliseconds most_timeout{1'500};
    /// An order is given up after this multiple of the median delay.
    int timeout_factor = 3;
};

/// Returns the settings for a host: initially as many orders are under way as its link and its
/// processor share pass within `max_delay`.
[[nodiscard]] send_window_settings window_for(const host_resources& resources);

/// Bounds the orders under way to backend servers by the time that answers take. A host that sends
/// more than its link or its processor share can carry loses answers to its own timeouts, and
/// repeats and stops runs instead of starting others. A few servers that do not answer leave the
/// bound as it is. Not thread-safe.
class send_window
{
public:
    explicit send_window(send_window_settings values);

    /// How many orders may be sent now.
    [[nodiscard]] std::size_t available() const;
    [[nodiscard]] std::size_t limit() const { return limit_; }
    [[nodiscard]] std::size_t under_way() const { return under_way_; }

    /// Time after which an order is given up.
    [[nodiscard]] milliseconds timeout() const;

    /// Counts `count` orders as under way.
    void add(std::size_t count) { under_way_ += count; }

    /// An order is no longer under way and was not sent.
    void remove();

    /// An order was answered, or given up, `delay` after it was sent.
    void finish(milliseconds delay, steady_time now);

private:
    [[nodiscard]] milliseconds median_delay() const;

    static constexpr std::size_t sample_count = 15;

    send_window_settings settings_;
    std::size_t limit_;
    std::size_t under_way_ = 0;
    /// Delays of the latest orders.
    std::array<milliseconds, sample_count> delays_{};
    std::size_t next_sample_ = 0;
    std::size_t quick_answers_ = 0;
    steady_time reduced_{};
};

} // namespace lacewingquay::manager
