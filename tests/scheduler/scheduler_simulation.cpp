#include "scheduler_simulation.hpp"

#include <algorithm>
#include <stdexcept>
#include <tuple>
#include <utility>

namespace lacewingquay::test
{

namespace
{

/// Few, so that most jobs have several rows.
constexpr std::int64_t tasks_per_row = 2;
constexpr milliseconds step_time{50};
constexpr milliseconds poll_interval{200};
constexpr milliseconds restart_time{1'500};
constexpr milliseconds takeover_time{2'500};
constexpr milliseconds handover_time{200};
constexpr milliseconds partition_time{4'000};
/// A registration outlives its server by three heartbeats.
constexpr milliseconds registration_time{4'500};
/// Longest lease that a server grants.
constexpr milliseconds max_lease{10'000};
/// Clocks of the servers that are up at first, and of an incarnation that starts.
constexpr milliseconds first_clock{600'000};
constexpr milliseconds restarted_clock{5'000};

} // namespace

job::record make_job(const std::string& id, int steps, int tasks, std::int64_t cpu,
                     milliseconds estimate)
{
    job::record record;
    record.id = id;
    record.queue.name = "host/queue/";
    record.queue.host = "host";
    record.queue.prefix = "/queue/";
    record.queue.pool = "pool";
    record.queue.max_attempts = 4;
    record.work.payload = "payload of " + id;
    for (int index = 0; index < steps; ++index)
    {
        job::step step;
        step.count = tasks;
        step.request.cpu = cpu;
        step.request.memory = 100;
        step.estimate = estimate;
        if (index > 0)
        {
            step.after.push_back(static_cast<std::size_t>(index - 1));
        }
        record.work.steps.push_back(std::move(step));
    }
    return record;
}

scheduler_simulation::scheduler_simulation(std::uint32_t seed, fault_rates rates, injected_bug bug)
    : random_(seed), rates_(rates), bug_(bug)
{
}

bool scheduler_simulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < probability;
}

void scheduler_simulation::record_violation(const std::string& text)
{
    violations_.push_back(text);
}

void scheduler_simulation::add_servers(int count, job::resources capacity)
{
    full_capacity_ = capacity;
    for (int index = 0; index < count; ++index)
    {
        fake_server server;
        server.info.id = "s" + std::to_string(servers_.size());
        server.info.machine = "m" + std::to_string(servers_.size());
        server.info.pool = "pool";
        server.info.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + servers_.size())};
        server.info.capacity = capacity;
        server.info.born = 1;
        server.clock_start = now_ - first_clock;
        server.registration = server.info;
        server.registered_until = now_ + registration_time;
        servers_[server.info.id] = std::move(server);
    }
}

void scheduler_simulation::submit(job::record record)
{
    const std::string id = record.id;
    jobs_[id] = std::move(record);
}

void scheduler_simulation::cancel(const std::string& id)
{
    cancelled_.insert(id);
}

job::state scheduler_simulation::reported_state(const std::string& id) const
{
    const auto found = progress_.find(id);
    if (found == progress_.end())
    {
        return job::state::queued;
    }
    return boost::leaf::try_handle_all([&]() -> boost::leaf::result<job::state>
                                       { return job::parse_progress_state(found->second); },
                                       [] { return job::state::queued; });
}

bool scheduler_simulation::reachable(const fake_server& server) const
{
    return server.up && server.partitioned_until <= now_;
}

worker::call_failure scheduler_simulation::failure_of(const std::string& server) const
{
    return servers_.at(server).up ? worker::call_failure::silence
                                  : worker::call_failure::disconnected;
}

void scheduler_simulation::take_over()
{
    ++term_;
    scheduler::settings settings;
    settings.tasks_per_row = tasks_per_row;
    settings.max_lease =
        bug_ == injected_bug::calls_reach_later_incarnation ? settings.lease : max_lease;
    if (bug_ == injected_bug::takeover_without_waiting)
    {
        settings.takeover_slack = -2 * settings.lease;
    }
    owner_ = std::make_unique<scheduler::scheduler>(settings);
    known_to_owner_.clear();
    told_cancelled_.clear();
    for (const auto& entry : servers_)
    {
        const fake_server& server = entry.second;
        if (is_registered(server))
        {
            owner_->update_server(entry.second.registration, now_);
        }
    }
    for (const auto& entry : jobs_)
    {
        std::optional<job::progress> stored = read_progress(entry.first);
        if (stored && bug_ == injected_bug::crashes_not_stored)
        {
            for (job::task_progress& task : stored->tasks)
            {
                task.crashes = {};
            }
        }
        owner_->add_job(entry.second, stored ? &*stored : nullptr, milliseconds(0), now_);
        known_to_owner_.insert(entry.first);
    }
}

std::optional<job::progress> scheduler_simulation::read_progress(const std::string& id) const
{
    std::optional<job::progress> result;
    for (auto row = progress_.lower_bound(id);
         row != progress_.end() && job::parse_progress_key(row->first).first == id; ++row)
    {
        const std::int64_t number = job::parse_progress_key(row->first).second;
        const bool is_read = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool>
            {
                if (number == 0)
                {
                    BOOST_LEAF_ASSIGN(result, job::parse_progress(row->second));
                    return true;
                }
                BOOST_LEAF_AUTO(tasks, job::parse_tasks(row->second));
                result = result ? std::move(result) : job::progress{};
                result->tasks.insert(result->tasks.end(), tasks.begin(), tasks.end());
                result->further_rows.push_back(number);
                return true;
            },
            [] { return false; });
        if (!is_read)
        {
            throw std::runtime_error("stored progress cannot be read: " + row->second);
        }
    }
    return result;
}

void scheduler_simulation::check_start(const worker::start_order& order)
{
    const worker::task_name& task = order.task;
    for (const auto& entry : servers_)
    {
        if (entry.second.up && entry.second.running.contains(task) && entry.first != order.server)
        {
            record_violation("two concurrent runs of " + task.job + " on " + entry.first + " and " +
                             order.server);
        }
    }
    if (acknowledged_done_.contains(task))
    {
        record_violation("start after an acknowledged end as done: " + task.job);
    }
    if (acknowledged_failures_[task] >= max_attempts_)
    {
        record_violation("start beyond the maximum attempts of " + task.job);
    }
    if (own_crashes_[task] >= 3 && ++starts_after_crashes_[task] >= 3)
    {
        record_violation("three more starts after three crashes under " + task.job);
    }
    const job::record& record = jobs_.at(task.job);
    const std::size_t step = static_cast<std::size_t>(task.position.step);
    for (const std::size_t earlier : record.work.steps[step].after)
    {
        for (int index = 0; index < record.work.steps[earlier].count; ++index)
        {
            if (!done_.contains({task.job, {0, static_cast<int>(earlier), index}}))
            {
                record_violation("start before the steps it depends on are done: " + task.job);
            }
        }
    }
    last_start_[task] = now_;
    begun_.insert(task.job);
}

void scheduler_simulation::check_waiting_count()
{
    std::int64_t expected = 0;
    for (const std::string& id : known_to_owner_)
    {
        expected += begun_.contains(id) || cancelled_.contains(id) ? 0 : 1;
    }
    std::int64_t counted = 0;
    for (const auto& entry : owner_->load(now_).waiting)
    {
        counted += entry.second;
    }
    const std::string text = std::to_string(counted) + " jobs are counted as waiting, " +
                             std::to_string(expected) + " have not begun";
    if (counted < expected && (violations_.empty() || violations_.back() != text))
    {
        record_violation(text);
    }
}

worker::order_outcome scheduler_simulation::start(const worker::start_order& order,
                                                  std::int64_t token, milliseconds deadline)
{
    using worker::order_outcome;
    fake_server& server = servers_[order.server];
    if (server.is_replaced_now)
    {
        return order_outcome::other_server;
    }
    if (!reachable(server) || order.endpoint.port == 0)
    {
        return order_outcome::unknown;
    }
    if (token < server.highest_token && bug_ != injected_bug::no_fencing)
    {
        return order_outcome::fenced;
    }
    server.highest_token = std::max(server.highest_token, token);
    const auto running = server.running.find(order.task);
    if (running != server.running.end() && running->second.run == order.run)
    {
        return order_outcome::accepted;
    }
    const auto closed = server.closed_runs.find(order.task);
    if (running != server.running.end() ||
        (closed != server.closed_runs.end() && closed->second >= order.run))
    {
        return order_outcome::stale_run;
    }
    if (deadline <= clock_of(server))
    {
        return order_outcome::too_late;
    }
    extend_lease(server, deadline);
    const job::resources used = used_by(server);
    const job::step& step =
        jobs_.at(order.task.job).work.steps[static_cast<std::size_t>(order.task.position.step)];
    if (!step.request.fits_into(server.info.capacity - used))
    {
        ++starts_without_room_;
        return order_outcome::no_room;
    }
    check_start(order);
    ++starts_;
    run_entry entry;
    entry.run = order.run;
    entry.started = now_;
    entry.kind = chance(rates_.task_fails) ? worker::end_kind::failed : worker::end_kind::done;
    if (deadly_.contains(order.task))
    {
        entry.crash_at = now_ + milliseconds(50 * (random_() % 21));
    }
    const bool has_no_end = step.long_running || step.gang || deadly_.contains(order.task);
    entry.end_at = has_no_end ? steady_time::max() : now_ + step.estimate;
    server.running[order.task] = entry;
    return order_outcome::accepted;
}

milliseconds scheduler_simulation::clock_of(const fake_server& server) const
{
    return std::chrono::duration_cast<milliseconds>(now_ - server.clock_start);
}

void scheduler_simulation::extend_lease(fake_server& server, milliseconds deadline) const
{
    const milliseconds time = std::min(deadline - clock_of(server), max_lease);
    server.lease_end = std::max(server.lease_end, now_ + time);
}

worker::report scheduler_simulation::make_report(const fake_server& server) const
{
    worker::report report;
    report.born = server.info.born;
    report.clock = clock_of(server);
    for (const auto& running : server.running)
    {
        report.running.push_back({running.first, running.second.run, "", 100, 0});
    }
    report.ended = server.ended;
    return report;
}

worker::order_outcome scheduler_simulation::stop(const worker::stop_order& order,
                                                 std::int64_t token)
{
    fake_server& server = servers_[order.server];
    if (!reachable(server) || order.endpoint.port == 0)
    {
        return worker::order_outcome::unknown;
    }
    if (token < server.highest_token && bug_ != injected_bug::no_fencing)
    {
        return worker::order_outcome::fenced;
    }
    server.highest_token = std::max(server.highest_token, token);
    int& closed = server.closed_runs[order.task];
    closed = std::max(closed, order.run);
    const auto running = server.running.find(order.task);
    if (running != server.running.end() && running->second.run <= order.run)
    {
        end_run(server, order.task, worker::end_kind::stopped);
    }
    return worker::order_outcome::accepted;
}

void scheduler_simulation::end_run(fake_server& server, const worker::task_name& task,
                                   worker::end_kind kind)
{
    const run_entry entry = server.running.at(task);
    server.running.erase(task);
    int& closed = server.closed_runs[task];
    closed = std::max(closed, entry.run);
    server.ended.push_back({++server.ends, task, entry.run, kind, ""});
    if (kind == worker::end_kind::done)
    {
        done_[task] = {now_, server.info.id};
    }
}

void scheduler_simulation::acknowledge_ends(fake_server& server, std::int64_t number)
{
    for (const worker::ended_task& ended : server.ended)
    {
        if (ended.number > number)
        {
            continue;
        }
        if (ended.kind == worker::end_kind::failed)
        {
            ++acknowledged_failures_[ended.task];
        }
        if (ended.kind != worker::end_kind::done)
        {
            continue;
        }
        acknowledged_done_.insert(ended.task);
        const std::pair<steady_time, std::string>& end = done_[ended.task];
        const bool lapsed = lapsed_[end.second] >= end.first;
        if (last_start_[ended.task] > end.first && !lapsed)
        {
            record_violation("end as done acknowledged after a later start: " + ended.task.job);
        }
    }
    std::erase_if(server.ended,
                  [&](const worker::ended_task& ended) { return ended.number <= number; });
}

int scheduler_simulation::crashes_under(const worker::task_name& task) const
{
    const auto found = crashes_.find(task);
    return found == crashes_.end() ? 0 : found->second;
}

int scheduler_simulation::most_crashes(const std::string& job) const
{
    int most = 0;
    for (const std::pair<const worker::task_name, int>& entry : crashes_)
    {
        most = entry.first.job == job ? std::max(most, entry.second) : most;
    }
    return most;
}

void scheduler_simulation::set_capacity(job::resources capacity)
{
    for (auto& entry : servers_)
    {
        fake_server& server = entry.second;
        server.info.capacity = capacity;
        server.registration.capacity = capacity;
        if (owner_ && is_registered(server))
        {
            owner_->update_server(server.registration, now_);
        }
    }
}

void scheduler_simulation::drop_owner()
{
    if (transaction_ && random_() % 2 == 0)
    {
        write_rows(transaction_->second);
    }
    transaction_.reset();
    waiting_orders_.clear();
    owner_.reset();
}

void scheduler_simulation::kill_owner()
{
    drop_owner();
    handing_over_ = false;
    next_owner_at_ = now_ + takeover_time;
}

void scheduler_simulation::count_crash(const fake_server& server)
{
    for (const std::pair<const worker::task_name, run_entry>& running : server.running)
    {
        ++crashes_[running.first];
    }
    // An end that is lost with the server cannot be told from a crash.
    for (const worker::ended_task& ended : server.ended)
    {
        ++crashes_[ended.task];
    }
}

void scheduler_simulation::crash_servers()
{
    for (auto& entry : servers_)
    {
        fake_server& server = entry.second;
        const bool crashes =
            server.up && std::any_of(server.running.begin(), server.running.end(),
                                     [&](const std::pair<const worker::task_name, run_entry>& run)
                                     { return run.second.crash_at <= now_; });
        if (!crashes)
        {
            continue;
        }
        count_crash(server);
        for (const std::pair<const worker::task_name, run_entry>& running : server.running)
        {
            own_crashes_[running.first] += running.second.crash_at <= now_ ? 1 : 0;
        }
        server.up = false;
        server.replaced = true;
        server.running.clear();
        server.ended.clear();
        const std::int64_t spread = (max_replacement_time_ - min_replacement_time_).count();
        server.restart_at =
            now_ + min_replacement_time_ +
            milliseconds(spread > 0 ? random_() % static_cast<std::uint64_t>(spread) : 0);
        server.registered_until = now_ + registration_time;
        // The pending poll is closed at once.
        server.next_poll = now_;
    }
}

void scheduler_simulation::replace_servers()
{
    std::vector<fake_server> started;
    for (auto& entry : servers_)
    {
        fake_server& server = entry.second;
        if (!server.replaced || server.is_replaced_now || server.restart_at > now_)
        {
            continue;
        }
        server.is_replaced_now = true;
        fake_server next;
        next.info = server.info;
        next.info.id = "s" + std::to_string(servers_.size() + started.size());
        next.info.born += 1'000;
        next.registration = {};
        next.register_at = now_ + milliseconds(50 * (random_() % 20));
        next.clock_start = now_ - restarted_clock;
        started.push_back(std::move(next));
    }
    for (fake_server& server : started)
    {
        const std::string id = server.info.id;
        servers_[id] = std::move(server);
    }
}

void scheduler_simulation::advance_gangs()
{
    constexpr milliseconds gang_timeout{3'000};
    struct member
    {
        fake_server* server = nullptr;
        worker::task_name task;
    };
    std::map<std::tuple<std::string, int, int>, std::vector<member>> gangs;
    for (auto& entry : servers_)
    {
        for (const auto& running : entry.second.running)
        {
            const worker::task_name& task = running.first;
            const job::record& record = jobs_.at(task.job);
            if (record.work.steps[static_cast<std::size_t>(task.position.step)].gang)
            {
                gangs[{task.job, task.position.step, running.second.run}].push_back(
                    {&entry.second, task});
            }
        }
    }
    for (const auto& gang : gangs)
    {
        const job::step& step = jobs_.at(std::get<0>(gang.first))
                                    .work.steps[static_cast<std::size_t>(std::get<1>(gang.first))];
        const bool is_complete = static_cast<int>(gang.second.size()) == step.count;
        for (const member& one : gang.second)
        {
            run_entry& run = one.server->running.at(one.task);
            if (is_complete && !run.is_gang_complete)
            {
                run.is_gang_complete = true;
                run.end_at = now_ + step.estimate;
            }
            else if (!is_complete && run.is_gang_complete)
            {
                end_run(*one.server, one.task, worker::end_kind::broken);
            }
            else if (!is_complete && now_ - run.started > gang_timeout)
            {
                end_run(*one.server, one.task, worker::end_kind::alone);
            }
        }
    }
}

void scheduler_simulation::advance_servers()
{
    crash_servers();
    replace_servers();
    advance_gangs();
    for (auto& entry : servers_)
    {
        fake_server& server = entry.second;
        if (!server.up && !server.replaced && server.restart_at <= now_)
        {
            server.up = true;
            server.info.born += 1'000;
            server.clock_start = now_ - restarted_clock;
            server.lease_end = {};
            server.highest_token = 0;
            server.ends = 0;
            server.closed_runs.clear();
            server.ended.clear();
            // It registers some time after it accepts orders, which address it by the id that both
            // incarnations share.
            server.register_at = now_ + milliseconds(50 * (random_() % 20));
        }
        if (!server.up)
        {
            continue;
        }
        if (server.registration.born != server.info.born && server.register_at <= now_ &&
            !is_store_away())
        {
            server.info.clock = clock_of(server);
            server.registration = server.info;
            if (owner_)
            {
                owner_->update_server(server.info, now_);
            }
        }
        std::vector<worker::task_name> over;
        const bool lapsed = server.lease_end < now_;
        for (const auto& running : server.running)
        {
            if (lapsed || running.second.end_at <= now_)
            {
                over.push_back(running.first);
            }
        }
        for (const worker::task_name& task : over)
        {
            end_run(server, task, lapsed ? worker::end_kind::lapsed : server.running.at(task).kind);
        }
        if (lapsed)
        {
            lapsed_[entry.first] = now_;
        }
        if (chance(rates_.server_crash))
        {
            count_crash(server);
            server.up = false;
            server.running.clear();
            server.ended.clear();
            // Half of the restarts are too short for an owner to notice.
            server.restart_at = random_() % 2 == 0 ? now_ : now_ + restart_time;
        }
        else if (chance(rates_.server_partitioned))
        {
            server.partitioned_until = now_ + partition_time;
        }
    }
}

void scheduler_simulation::deliver_delayed_starts()
{
    std::vector<delayed_start> due;
    std::erase_if(delayed_starts_,
                  [&](const delayed_start& entry)
                  {
                      if (entry.at > now_)
                      {
                          return false;
                      }
                      due.push_back(entry);
                      return true;
                  });
    for (const delayed_start& entry : due)
    {
        // An order delayed inside a server is lost when the server restarts. An order still in the
        // network addresses the server by its id, so the next incarnation executes it.
        if (entry.in_network || servers_[entry.order.server].info.born == entry.order.server_born)
        {
            start(entry.order, entry.token, entry.deadline);
        }
    }
}

bool scheduler_simulation::reaches_other_incarnation(const worker::start_order& order)
{
    fake_server& server = servers_.at(order.server);
    if (bug_ == injected_bug::calls_reach_later_incarnation || !reachable(server) ||
        server.info.born == order.server_born)
    {
        return false;
    }
    // The report that opens each connection shows it, so the order is not sent.
    owner_->apply_report(order.server, make_report(server), now_, now_);
    owner_->start_answered(order, worker::order_outcome::not_sent, now_);
    return true;
}

void scheduler_simulation::send(const worker::start_order& order)
{
    using worker::order_outcome;
    scheduler::server_state* server = owner_->find_server(order.server);
    if (server == nullptr)
    {
        return;
    }
    const bool is_due = bug_ == injected_bug::orders_not_checked
                            ? server->info.born == order.server_born
                            : owner_->is_start_due(order);
    if (!is_due)
    {
        owner_->start_answered(order, order_outcome::withdrawn, now_);
        return;
    }
    if (cancelled_.contains(order.task.job))
    {
        record_violation("start order for a cancelled job: " + order.task.job);
    }
    const milliseconds granted = owner_->grant_lease(*server, now_);
    if (granted.count() == 0 || !owner_->has_room(order))
    {
        owner_->start_answered(order, order_outcome::not_sent, now_);
        return;
    }
    if (reaches_other_incarnation(order))
    {
        return;
    }
    order_outcome outcome = order_outcome::unknown;
    if (now_ < orders_held_until_)
    {
        const milliseconds delay(std::uniform_int_distribution<int>(1'000, 5'000)(random_));
        delayed_starts_.push_back({now_ + delay, order, term_, granted, false});
    }
    else if (chance(rates_.delayed_order))
    {
        const bool in_network = random_() % 2 == 0;
        const milliseconds delay(
            in_network ? 50 : std::uniform_int_distribution<int>(200, 4'000)(random_));
        delayed_starts_.push_back({now_ + delay, order, term_, granted, in_network});
    }
    else
    {
        outcome = start(order, term_, granted);
        outcome = chance(rates_.lost_answer) ? order_outcome::unknown : outcome;
    }
    if (outcome == order_outcome::unknown && bug_ == injected_bug::unanswered_start_is_not_run)
    {
        outcome = order_outcome::not_sent;
    }
    if (outcome == order_outcome::unknown)
    {
        owner_->call_unanswered(order.server, order.server_born, worker::call_failure::silence,
                                now_);
    }
    owner_->start_answered(order, outcome, now_);
}

void scheduler_simulation::poll_servers()
{
    for (auto& entry : servers_)
    {
        fake_server& server = entry.second;
        scheduler::server_state* known = owner_->find_server(entry.first);
        // A server known only from a stored run has no address.
        if (known == nullptr || known->info.endpoint.port == 0 || server.next_poll > now_)
        {
            continue;
        }
        server.next_poll = now_ + poll_interval;
        const milliseconds lease =
            known->tasks.empty() ? milliseconds(0) : owner_->grant_lease(*known, now_);
        if (server.is_replaced_now)
        {
            owner_->end_incarnation(entry.first, known->info.born, now_);
            continue;
        }
        if (!reachable(server))
        {
            owner_->call_unanswered(entry.first, known->info.born, failure_of(entry.first), now_);
            continue;
        }
        server.highest_token = std::max(server.highest_token, term_);
        const bool is_identified = known->info.born == server.info.born ||
                                   bug_ == injected_bug::calls_reach_later_incarnation;
        if (lease.count() > 0 && is_identified)
        {
            extend_lease(server, lease);
        }
        acknowledge_ends(server, bug_ == injected_bug::ends_acknowledged_before_stored
                                     ? known->ends_read
                                     : known->ends_stored);
        const worker::report report = make_report(server);
        server.info.clock = report.clock;
        if (server.registration.born == server.info.born)
        {
            server.registration.clock = report.clock;
        }
        if (is_registered(server))
        {
            owner_->update_server(server.registration, now_);
        }
        owner_->apply_report(entry.first, report, now_, now_);
    }
}

void scheduler_simulation::commit()
{
    if (transaction_)
    {
        if (transaction_->first <= now_)
        {
            const scheduler::batch work = std::move(transaction_->second);
            transaction_.reset();
            finish_commit(work);
        }
        return;
    }
    scheduler::batch work = owner_->prepare(now_, 90);
    if (chance(rates_.slow_commit))
    {
        const milliseconds time(std::uniform_int_distribution<int>(50, 1'500)(random_));
        transaction_.emplace(now_ + time, std::move(work));
        return;
    }
    finish_commit(work);
}

void scheduler_simulation::write_rows(const scheduler::batch& work)
{
    for (const scheduler::progress_write& write : work.writes)
    {
        const std::string key = job::progress_key(write.job, write.row);
        if (write.text.empty())
        {
            progress_.erase(key);
            continue;
        }
        if (write.text.size() > scheduler::settings{}.max_row_bytes)
        {
            record_violation("a row that the store does not accept: " + key);
        }
        progress_[key] = write.text;
        if (write.row == 0 && write.reported_state == job::state::completed)
        {
            const job::record& record = jobs_.at(write.job);
            for (std::size_t step = 0; step < record.work.steps.size(); ++step)
            {
                for (int index = 0; index < record.work.steps[step].count; ++index)
                {
                    if (!done_.contains({write.job, {0, static_cast<int>(step), index}}))
                    {
                        record_violation("reported as completed before all tasks are done: " +
                                         write.job);
                    }
                }
            }
        }
    }
}

void scheduler_simulation::finish_commit(const scheduler::batch& work)
{
    if (is_store_away() || chance(rates_.store_refuses))
    {
        owner_->not_stored(work);
        return;
    }
    write_rows(work);
    if (chance(rates_.store_answer_lost))
    {
        owner_->not_stored(work);
        return;
    }
    owner_->stored(work, now_);
    if (handing_over_ && (!work.starts.empty() || now_ >= hand_over_by_))
    {
        handing_over_ = false;
        drop_owner();
        next_owner_at_ = now_ + handover_time;
        return;
    }
    for (const worker::start_order& order : work.starts)
    {
        const bool waits = chance(rates_.slow_commit);
        waiting_orders_.emplace_back(
            waits ? now_ + milliseconds(std::uniform_int_distribution<int>(50, 600)(random_))
                  : now_,
            order);
    }
    send_waiting_orders();
}

void scheduler_simulation::send_waiting_orders()
{
    std::vector<worker::start_order> due;
    std::erase_if(waiting_orders_,
                  [&](const std::pair<steady_time, worker::start_order>& entry)
                  {
                      if (entry.first <= now_)
                      {
                          due.push_back(entry.second);
                      }
                      return entry.first <= now_;
                  });
    for (const worker::start_order& order : due)
    {
        send(order);
    }
}

void scheduler_simulation::step()
{
    now_ += step_time;
    advance_servers();
    renew_registrations();
    if (owner_ && chance(rates_.owner_killed))
    {
        kill_owner();
    }
    if (!owner_)
    {
        if (now_ < next_owner_at_ || is_store_away())
        {
            waiting_since_.clear();
            stop_due_.clear();
            return;
        }
        take_over();
        stop_due_.clear();
    }
    change_capacity();
    for (const auto& entry : jobs_)
    {
        if (known_to_owner_.insert(entry.first).second)
        {
            owner_->add_job(entry.second, nullptr, milliseconds(0), now_);
        }
    }
    const milliseconds clock = std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
    for (const std::string& id : cancelled_)
    {
        owner_->cancel_job(id, clock);
        told_cancelled_.insert(id);
    }
    owner_->advance(now_, wall_time{}, clock);
    poll_servers();
    deliver_delayed_starts();
    deliver_delayed_stops();
    send_stops();
    check_cancelled_runs();
    send_waiting_orders();
    commit();
    if (owner_)
    {
        check_waiting_count();
    }
    check_liveness();
}

void scheduler_simulation::run(milliseconds time)
{
    const steady_time end = now_ + time;
    while (now_ < end)
    {
        step();
    }
}

} // namespace lacewingquay::test
