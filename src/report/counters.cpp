#include "report/counters.hpp"

namespace lacewingquay::report
{

namespace
{

constexpr std::uint32_t first_server_error = 500;
constexpr std::uint32_t first_client_error = 400;

std::uint64_t count_of(std::chrono::milliseconds time)
{
    return time.count() > 0 ? static_cast<std::uint64_t>(time.count()) : 0;
}

} // namespace

service_counts& service_counts::operator+=(const service_counts& other)
{
    total += other.total;
    bad += other.bad;
    not_run += other.not_run;
    may_have_run += other.may_have_run;
    late += other.late;
    busy_ms += other.busy_ms;
    return *this;
}

bool is_bad(const request_record& record)
{
    if (record.outcome == verdict::completed)
    {
        return record.status >= first_server_error || record.latency > record.latency_target;
    }
    // A request refused for invalid input of the caller is not a failure of the service. 429 is
    // one: it reports overload.
    const bool refused_input = record.outcome == verdict::not_run &&
                               record.status >= first_client_error &&
                               record.status < first_server_error && record.status != 429;
    return !refused_input;
}

request_counters::request_counters() : cells_(std::make_shared<const cells>()) {}

void request_counters::set_services(std::span<const std::string> names)
{
    const std::shared_ptr<const cells> current = cells_.load();
    std::shared_ptr<cells> next = std::make_shared<cells>();
    for (const std::string& name : names)
    {
        const cells::const_iterator known = current->find(name);
        (*next)[name] = known == current->end() ? std::make_shared<cell>() : known->second;
    }
    for (const cells::value_type& entry : *current)
    {
        if (next->count(entry.first) == 0)
        {
            retired_.insert(entry);
        }
    }
    cells_.store(std::move(next));
}

void request_counters::add(const request_record& record)
{
    const std::shared_ptr<const cells> current = cells_.load();
    const cells::const_iterator found = current->find(record.service);
    if (found == current->end())
    {
        return;
    }
    cell& target = *found->second;
    ++target.total;
    target.busy_ms += count_of(record.slot_time);
    target.bad += is_bad(record) ? 1 : 0;
    target.not_run += record.outcome == verdict::not_run ? 1 : 0;
    target.may_have_run += record.outcome == verdict::may_have_run ? 1 : 0;
    const bool late =
        record.outcome == verdict::completed && record.latency > record.latency_target;
    target.late += late ? 1 : 0;
}

void request_counters::take_from(cell& source, service_counts& target)
{
    target.total += source.total.exchange(0);
    target.bad += source.bad.exchange(0);
    target.not_run += source.not_run.exchange(0);
    target.may_have_run += source.may_have_run.exchange(0);
    target.late += source.late.exchange(0);
    target.busy_ms += source.busy_ms.exchange(0);
}

counts_by_service request_counters::take()
{
    counts_by_service taken;
    const std::shared_ptr<const cells> current = cells_.load();
    for (const cells::value_type& entry : *current)
    {
        take_from(*entry.second, taken[entry.first]);
    }
    for (const cells::value_type& entry : retired_)
    {
        take_from(*entry.second, taken[entry.first]);
    }
    retired_.clear();
    return taken;
}

} // namespace lacewingquay::report
