#include "load/statistics.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace lacewingquay::load
{

namespace
{

constexpr std::array<attempt_result, 6> all_results = {
    attempt_result::completed,    attempt_result::server_error, attempt_result::not_run,
    attempt_result::may_have_run, attempt_result::lost,         attempt_result::wrong_answer};

constexpr double median = 0.5;
constexpr double tail = 0.99;

double to_milliseconds(std::chrono::microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

std::string_view to_string(attempt_result result)
{
    switch (result)
    {
    case attempt_result::completed:
        return "completed";
    case attempt_result::server_error:
        return "server_error";
    case attempt_result::not_run:
        return "not_run";
    case attempt_result::may_have_run:
        return "may_have_run";
    case attempt_result::lost:
        return "lost";
    case attempt_result::wrong_answer:
        return "wrong_answer";
    }
    return "lost";
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
    {
        return 0.0;
    }
    const std::size_t index = std::min(
        values.size() - 1, static_cast<std::size_t>(q * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

boost::json::object to_json(const attempt_record& record)
{
    return {{"request_id", record.request_id},
            {"key", record.idempotency_key},
            {"service", record.service},
            {"entry", record.entry},
            {"host", record.host},
            {"result", to_string(record.result)},
            {"status", record.status},
            {"reason", record.reason},
            {"latency_us", record.latency.count()},
            {"waited_us", record.waited.count()},
            {"arrived_ms", record.arrived.count()}};
}

void statistics::add(const attempt_record& record)
{
    for (totals* target : {&by_service_[record.service], &all_})
    {
        ++target->results[record.result];
        if (record.result == attempt_result::completed)
        {
            target->completed_ms.push_back(to_milliseconds(record.latency));
        }
        if (record.result == attempt_result::not_run)
        {
            target->refused_ms.push_back(to_milliseconds(record.latency));
        }
        if (record.waited.count() >= 0)
        {
            target->waited_ms.push_back(to_milliseconds(record.waited));
        }
    }
}

boost::json::object statistics::to_json(const totals& values)
{
    boost::json::object result;
    std::uint64_t total = 0;
    for (const attempt_result kind : all_results)
    {
        const std::map<attempt_result, std::uint64_t>::const_iterator found =
            values.results.find(kind);
        const std::uint64_t count = found == values.results.end() ? 0 : found->second;
        result[to_string(kind)] = count;
        total += count;
    }
    result["total"] = total;
    result["latency_p50_ms"] = quantile(values.completed_ms, median);
    result["latency_p99_ms"] = quantile(values.completed_ms, tail);
    result["wait_p50_ms"] = quantile(values.waited_ms, median);
    result["wait_p99_ms"] = quantile(values.waited_ms, tail);
    result["refusal_p50_ms"] = quantile(values.refused_ms, median);
    result["refusal_p99_ms"] = quantile(values.refused_ms, tail);
    return result;
}

boost::json::object statistics::to_json() const
{
    boost::json::object services;
    for (const std::pair<const std::string, totals>& entry : by_service_)
    {
        services[entry.first] = to_json(entry.second);
    }
    return {{"all", to_json(all_)}, {"services", std::move(services)}};
}

std::string statistics::to_table() const
{
    constexpr std::size_t line_limit = 256;
    char line[line_limit];
    std::snprintf(line, sizeof line, "%-24s %8s %9s %6s %8s %8s %6s %6s %9s %9s %9s\n", "service",
                  "total", "completed", "errors", "not run", "may have", "lost", "wrong", "p50 ms",
                  "p99 ms", "wait p99");
    std::string table = line;
    const auto append = [&](const std::string& name, const totals& values)
    {
        const boost::json::object row = to_json(values);
        const auto count = [&](std::string_view key)
        {
            return static_cast<unsigned long long>(row.at(key).to_number<std::uint64_t>());
        };
        const auto time = [&](std::string_view key)
        {
            return row.at(key).to_number<double>();
        };
        std::snprintf(line, sizeof line,
                      "%-24s %8llu %9llu %6llu %8llu %8llu %6llu %6llu %9.2f %9.2f %9.2f\n",
                      name.c_str(), count("total"), count("completed"), count("server_error"),
                      count("not_run"), count("may_have_run"), count("lost"), count("wrong_answer"),
                      time("latency_p50_ms"), time("latency_p99_ms"), time("wait_p99_ms"));
        table += line;
    };
    for (const std::pair<const std::string, totals>& entry : by_service_)
    {
        append(entry.first, entry.second);
    }
    append("all", all_);
    return table;
}

} // namespace lacewingquay::load
