#include "manager/send_window.hpp"

#include <algorithm>

namespace lacewingquay::manager
{

send_window_settings window_for(const host_resources& resources)
{
    // A start order with its payload and answer.
    constexpr double bits_per_order = 20'000.0;
    constexpr double orders_per_core_second = 3'000.0;
    send_window_settings values;
    const double per_second = std::min(resources.link_mbit * 1'000'000.0 / bits_per_order,
                                       resources.cores * orders_per_core_second);
    const double orders = per_second * std::chrono::duration<double>(values.max_delay).count();
    values.initial = static_cast<std::size_t>(
        std::clamp(orders, static_cast<double>(values.least), static_cast<double>(values.most)));
    return values;
}

send_window::send_window(send_window_settings values) : settings_(values), limit_(values.initial) {}

std::size_t send_window::available() const
{
    return limit_ - std::min(limit_, under_way_);
}

void send_window::remove()
{
    under_way_ -= std::min<std::size_t>(under_way_, 1);
}

void send_window::finish(milliseconds delay, steady_time now)
{
    const bool is_in_use = under_way_ * 2 >= limit_;
    remove();
    delays_[next_sample_] = delay;
    next_sample_ = (next_sample_ + 1) % sample_count;
    const milliseconds median = median_delay();
    if (median > settings_.max_delay)
    {
        if (now - reduced_ >= settings_.reduction_interval)
        {
            limit_ = std::max(limit_ / 2, settings_.least);
            reduced_ = now;
            quick_answers_ = 0;
        }
    }
    else if (is_in_use && median * 2 <= settings_.max_delay &&
             ++quick_answers_ >= settings_.answers_to_grow)
    {
        limit_ = std::min(limit_ + 1, settings_.most);
        quick_answers_ = 0;
    }
}

milliseconds send_window::timeout() const
{
    return std::clamp(median_delay() * settings_.timeout_factor, settings_.least_timeout,
                      settings_.most_timeout);
}

milliseconds send_window::median_delay() const
{
    std::array<milliseconds, sample_count> sorted = delays_;
    const auto middle = sorted.begin() + sample_count / 2;
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

} // namespace lacewingquay::manager
