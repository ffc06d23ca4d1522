#include "standins/backend_journal.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace lacewingquay::standins
{

namespace
{

/// Methods that RFC 9110 section 9.2.2 defines as idempotent and that callers may repeat.
bool may_repeat(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "PUT";
}

} // namespace

backend_journal::backend_journal(const std::string& file, std::uint64_t slots,
                                 const clock_source& clock)
    : clock_(clock), slots_(slots)
{
    if (!file.empty())
    {
        has_file_ = true;
        file_.open(file, std::ios::app);
    }
}

void backend_journal::start(const journal_request& request)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.started;
    ++counts_.in_progress;
    counts_.max_in_progress = std::max(counts_.max_in_progress, counts_.in_progress);
    if (counts_.in_progress > slots_)
    {
        ++counts_.slot_violations;
    }
    std::uint64_t earlier = starts_by_id_[request.request_id]++;
    if (!request.idempotency_key.empty())
    {
        earlier = std::max(earlier, starts_by_key_[request.idempotency_key]++);
    }
    if (earlier > 0 && !may_repeat(request.method))
    {
        ++counts_.duplicates;
    }
    write("start", request);
}

void backend_journal::finish(const journal_request& request)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.finished;
    --counts_.in_progress;
    write("end", request);
}

void backend_journal::refuse(const journal_request& request)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.refused;
    write("refuse", request);
}

backend_counts backend_journal::counts() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return counts_;
}

std::uint64_t backend_journal::starts_of(std::string_view request_id) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = starts_by_id_.find(request_id);
    return found == starts_by_id_.end() ? 0 : found->second;
}

bool backend_journal::is_good() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return !has_file_ || file_.good();
}

void backend_journal::write(std::string_view event, const journal_request& request)
{
    if (!has_file_)
    {
        return;
    }
    const boost::json::object line{{"event", event},
                                   {"time_ms", unix_milliseconds(clock_.wall_now())},
                                   {"request_id", request.request_id},
                                   {"idempotency_key", request.idempotency_key},
                                   {"method", request.method},
                                   {"path", request.path},
                                   {"in_progress", counts_.in_progress}};
    // Flushed line by line, so that the journal is complete when the process is killed.
    file_ << boost::json::serialize(line) << '\n' << std::flush;
}

} // namespace lacewingquay::standins
