#pragma once

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::load
{

/// Counts of broken promises, found by comparing callers' records with backend servers' journals.
struct audit_result
{
    std::uint64_t attempts = 0;
    std::uint64_t starts = 0;
    /// Non-idempotent requests that a backend server started more than once, by key or request id.
    std::uint64_t doubled = 0;
    /// Attempts that the caller was told were not run, and that a backend server started.
    std::uint64_t false_not_run = 0;
    /// Answers that were not whole or not the caller's own.
    std::uint64_t wrong_answers = 0;
    /// Highest number of requests in progress at one backend server.
    std::uint64_t max_in_progress = 0;
    /// Examples of each kind, for finding the cause.
    boost::json::array examples;

    [[nodiscard]] bool is_clean(std::uint64_t slots) const;
    [[nodiscard]] boost::json::object to_json() const;
};

/// Collects records and journals line by line.
class audit
{
public:
    /// Adds a line of a records file of `lacewingquay load`; fails with `input_error`.
    boost::leaf::result<void> add_record(std::string_view line);

    /// Adds a line of a backend server's journal; fails with `input_error`.
    boost::leaf::result<void> add_journal(std::string_view line);

    [[nodiscard]] audit_result finish() const;

private:
    struct attempt
    {
        std::string request_id;
        std::string result;
    };

    std::map<std::string, std::uint64_t> starts_by_id_;
    std::map<std::string, std::uint64_t> write_starts_by_id_;
    std::map<std::string, std::uint64_t> starts_by_key_;
    std::vector<attempt> attempts_;
    std::uint64_t starts_ = 0;
    std::uint64_t max_in_progress_ = 0;
};

/// `lacewingquay audit`: compares records and journals, prints the counts, and returns
/// `exit_failure` if a promise was broken.
int run_audit(std::span<const std::string> arguments);

} // namespace lacewingquay::load
