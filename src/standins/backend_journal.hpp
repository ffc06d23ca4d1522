#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace lacewingquay::standins
{

/// One request as the backend server stand-in sees it.
struct journal_request
{
    std::string request_id;
    std::string idempotency_key;
    std::string method;
    std::string path;
};

/// Counts of the backend server stand-in.
struct backend_counts
{
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    /// Documented refusals; these requests were not started.
    std::uint64_t refused = 0;
    std::uint64_t in_progress = 0;
    std::uint64_t max_in_progress = 0;
    /// Requests that started while all slots were in use.
    std::uint64_t slot_violations = 0;
    /// Requests with a method other than GET, HEAD, OPTIONS or PUT whose request id or idempotency
    /// key had started before.
    std::uint64_t duplicates = 0;
};

/// Record of all requests that the stand-in started, finished or refused. With a file name it also
/// appends one JSON line for each event. Thread-safe.
class backend_journal
{
public:
    /// An empty `file` means that only counts are kept.
    backend_journal(const std::string& file, std::uint64_t slots, const clock_source& clock);

    void start(const journal_request& request);
    void finish(const journal_request& request);
    void refuse(const journal_request& request);

    [[nodiscard]] backend_counts counts() const;

    /// How often a request with this id was started.
    [[nodiscard]] std::uint64_t starts_of(std::string_view request_id) const;

    /// False if the file could not be opened or written.
    [[nodiscard]] bool is_good() const;

private:
    void write(std::string_view event, const journal_request& request);

    const clock_source& clock_;
    const std::uint64_t slots_;
    mutable std::mutex mutex_;
    std::ofstream file_;
    bool has_file_ = false;
    backend_counts counts_;
    std::map<std::string, std::uint64_t, std::less<>> starts_by_id_;
    std::map<std::string, std::uint64_t, std::less<>> starts_by_key_;
};

} // namespace lacewingquay::standins
