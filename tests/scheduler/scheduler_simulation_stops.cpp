#include "scheduler_simulation.hpp"

#include <algorithm>

namespace lacewingquay::test
{

namespace
{

/// Between two reports of a server.
constexpr milliseconds max_notice_time{200};
constexpr milliseconds step_time{50};

} // namespace

void scheduler_simulation::send(const worker::stop_order& order)
{
    using worker::order_outcome;
    const run_key key{order.server, order.task, order.run};
    if (bug_ == injected_bug::stops_not_repeated && !stopped_.insert(key).second)
    {
        return;
    }
    order_outcome outcome = order_outcome::unknown;
    if (chance(rates_.lost_stop))
    {
        failed_stops_[key] = now_;
    }
    else if (chance(rates_.delayed_stop))
    {
        const milliseconds delay(std::uniform_int_distribution<int>(200, 4'000)(random_));
        delayed_stops_.push_back({now_ + delay, order, term_});
        failed_stops_[key] = now_;
    }
    else
    {
        outcome = stop(order, term_);
        if (outcome == order_outcome::unknown)
        {
            failed_stops_[key] = now_;
        }
        outcome = chance(rates_.lost_stop_answer) ? order_outcome::unknown : outcome;
    }
    owner_->stop_answered(order, outcome, now_);
}

void scheduler_simulation::send_stops()
{
    if (bug_ == injected_bug::stops_wait_for_transaction && transaction_)
    {
        return;
    }
    for (const worker::stop_order& order : owner_->take_stops(now_))
    {
        send(order);
    }
}

void scheduler_simulation::deliver_delayed_stops()
{
    std::vector<delayed_stop> due;
    std::erase_if(delayed_stops_,
                  [&](const delayed_stop& entry)
                  {
                      if (entry.at <= now_)
                      {
                          due.push_back(entry);
                      }
                      return entry.at <= now_;
                  });
    for (const delayed_stop& entry : due)
    {
        if (servers_[entry.order.server].info.born == entry.order.server_born)
        {
            stop(entry.order, entry.token);
        }
    }
}

void scheduler_simulation::change_capacity()
{
    if (!chance(rates_.capacity_changes))
    {
        return;
    }
    job::resources capacity = full_capacity_;
    capacity.cpu = capacity.cpu * std::uniform_int_distribution<int>(2, 4)(random_) / 4;
    set_capacity(capacity);
}

bool scheduler_simulation::owner_reaches(const fake_server& server) const
{
    const scheduler::server_state* known = owner_->find_server(server.info.id);
    return known != nullptr && known->info.endpoint.port != 0 && reachable(server);
}

void scheduler_simulation::check_cancelled_runs()
{
    const milliseconds retry = scheduler::settings{}.stop_retry_interval;
    std::map<run_key, steady_time> still_due;
    for (const auto& entry : servers_)
    {
        const fake_server& server = entry.second;
        if (!owner_reaches(server))
        {
            continue;
        }
        for (const auto& running : server.running)
        {
            if (!told_cancelled_.contains(running.first.job))
            {
                continue;
            }
            const run_key key{entry.first, running.first, running.second.run};
            const auto known = stop_due_.find(key);
            steady_time due =
                known == stop_due_.end() ? now_ + max_notice_time + step_time : known->second;
            const auto failed = failed_stops_.find(key);
            if (failed != failed_stops_.end())
            {
                due = std::max(due, failed->second + retry + step_time);
            }
            if (now_ > due)
            {
                record_violation("run " + std::to_string(running.second.run) + " of " +
                                 running.first.job +
                                 " lasts after its cancellation; the owner "
                                 "knows " +
                                 describe_run(running.first));
                due = steady_time::max();
            }
            still_due[key] = due;
        }
    }
    stop_due_ = std::move(still_due);
}

} // namespace lacewingquay::test
