#include "job/progress.hpp"
#include "scheduler_simulation.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

constexpr std::size_t max_rows = 80;

worker::server make_server()
{
    worker::server info;
    info.id = "i-0000000001";
    info.machine = "m-00001";
    info.pool = "pool";
    info.endpoint = {"10.0.0.1", 1'000};
    info.born = 1'700'000'000'000;
    info.capacity = {30'000'000, 30'000'000, 0};
    return info;
}

/// An owner of one large server, and the rows that it has stored.
struct row_store
{
    explicit row_store(scheduler::settings values = {}) : owner(values)
    {
        owner.update_server(make_server(), now);
    }

    /// Stores one batch, and checks that the store would accept it.
    void commit(const scheduler::batch& work)
    {
        std::size_t bytes = 0;
        for (const scheduler::progress_write& write : work.writes)
        {
            const std::string key = job::progress_key(write.job, write.row);
            bytes += write.text.size();
            CHECK(write.text.size() <= scheduler::settings{}.max_row_bytes);
            if (write.text.empty())
            {
                rows.erase(key);
            }
            else
            {
                rows[key] = write.text;
            }
        }
        CHECK(work.writes.size() <= max_rows);
        CHECK(bytes <= scheduler::settings{}.max_batch_bytes);
        owner.stored(work, now);
    }

    /// Stores all changes; returns the start orders.
    std::vector<worker::start_order> commit_all()
    {
        std::vector<worker::start_order> starts;
        bool is_over = false;
        while (!is_over)
        {
            const scheduler::batch work = owner.prepare(now, max_rows);
            commit(work);
            for (const worker::start_order& order : work.starts)
            {
                CHECK(find_stored(order.task.position) == order.run);
                starts.push_back(order);
            }
            is_over = work.writes.empty();
        }
        return starts;
    }

    /// The stored run of a task of job "a".
    [[nodiscard]] int find_stored(const job::task_position& position) const
    {
        for (const auto& row : rows)
        {
            const std::string text =
                job::parse_progress_key(row.first).second == 0
                    ? row.second.substr(std::min(row.second.size(), row.second.find('\n') + 1))
                    : row.second;
            const std::vector<job::task_progress> tasks =
                boost::leaf::try_handle_all([&] { return job::parse_tasks(text); },
                                            [] { return std::vector<job::task_progress>(); });
            for (const job::task_progress& task : tasks)
            {
                if (task.position == position)
                {
                    return task.run;
                }
            }
        }
        return 0;
    }

    void report_done(const std::vector<worker::start_order>& orders)
    {
        worker::report report;
        report.born = make_server().born;
        for (const worker::start_order& order : orders)
        {
            report.ended.push_back({++ends, order.task, order.run, worker::end_kind::done, ""});
        }
        now += milliseconds(100);
        owner.apply_report("i-0000000001", report, now, now);
    }

    steady_time now{std::chrono::hours(1)};
    scheduler::scheduler owner;
    std::map<std::string, std::string> rows;
    std::int64_t ends = 0;
};

} // namespace

TEST_CASE("the progress of a job with many tasks is stored in rows that the store accepts",
          "[scheduler]")
{
    // Guards against a row that the store rejects, with which nothing at all could be stored.
    row_store store;
    store.owner.add_job(make_job("a", 1, 20'000, 10, milliseconds(500)), nullptr, milliseconds(0),
                        store.now);
    const std::vector<worker::start_order> starts = store.commit_all();
    CHECK(starts.size() == 20'000);
    // Only the row of a task that changes is stored again.
    store.report_done({starts[100]});
    CHECK(store.owner.prepare(store.now, max_rows).writes.size() <= 2);
}

TEST_CASE("a job that has ended keeps one row", "[scheduler]")
{
    row_store store;
    store.owner.add_job(make_job("a", 1, 400, 10, milliseconds(500)), nullptr, milliseconds(0),
                        store.now);
    const std::vector<worker::start_order> starts = store.commit_all();
    CHECK(store.rows.size() == 13);
    store.report_done(starts);
    store.commit_all();
    REQUIRE(store.rows.size() == 1);
    CHECK(store.rows.begin()->first == "a");
    CHECK(store.rows.begin()->second.starts_with("completed"));
    CHECK(store.owner.active_jobs() == 0);
}

TEST_CASE("no task of a gang is started before the progress of all is stored", "[scheduler]")
{
    row_store store;
    job::record record = make_job("a", 1, 100, 10, milliseconds(500));
    record.work.steps.front().gang = true;
    store.owner.add_job(std::move(record), nullptr, milliseconds(0), store.now);
    const scheduler::batch first = store.owner.prepare(store.now, 2);
    CHECK(first.writes.size() == 2);
    CHECK(first.starts.empty());
    store.commit(first);
    CHECK(store.commit_all().size() == 100);
}

TEST_CASE("progress that an earlier version stored in one row is spread over several",
          "[scheduler]")
{
    job::progress stored;
    stored.reported_state = job::state::running;
    for (int index = 0; index < 100; ++index)
    {
        job::task_progress task;
        task.position.index = index;
        task.run = 1;
        task.done = true;
        stored.tasks.push_back(task);
    }
    row_store store;
    store.owner.add_job(make_job("a", 1, 101, 10, milliseconds(500)), &stored, milliseconds(0),
                        store.now);
    // The first row, which still has all tasks, is written last.
    const scheduler::batch first = store.owner.prepare(store.now, 1);
    REQUIRE(first.writes.size() == 1);
    CHECK(first.writes.front().row == 3);
    store.commit(first);
    CHECK(first.starts.size() + store.commit_all().size() == 1);
    CHECK(store.rows.size() >= 2);
}

TEST_CASE("a checkpoint that is too long for its row is not stored", "[scheduler]")
{
    row_store store;
    store.owner.add_job(make_job("a", 1, 1, 10, milliseconds(500)), nullptr, milliseconds(0),
                        store.now);
    const std::vector<worker::start_order> starts = store.commit_all();
    REQUIRE(starts.size() == 1);
    worker::report report;
    report.born = make_server().born;
    report.ended.push_back(
        {1, starts.front().task, 1, worker::end_kind::stopped, std::string(100'000, 'c')});
    store.now += milliseconds(100);
    store.owner.apply_report("i-0000000001", report, store.now, store.now);
    store.commit_all();
    CHECK(store.rows.at("a").size() < 1'000);
}

TEST_CASE("the key of a progress row names its job and its number", "[scheduler]")
{
    CHECK(job::progress_key("0a", 0) == "0a");
    CHECK(job::progress_key("0a", 12) == "0a/12");
    CHECK(job::parse_progress_key("0a") == std::pair<std::string, std::int64_t>("0a", 0));
    CHECK(job::parse_progress_key("0a/12") == std::pair<std::string, std::int64_t>("0a", 12));
}
