#pragma once

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::load
{

/// How one attempt of a caller ended.
enum class attempt_result : std::uint8_t
{
    /// Whole answer with a status below 500.
    completed,
    /// Whole answer of the backend server with a status of 500 or more.
    server_error,
    /// The entry host said that it was not run, or could not be reached.
    not_run,
    /// The entry host said that it may have run.
    may_have_run,
    /// The connection to the entry host broke after the request was sent.
    lost,
    /// The answer was another request's or not whole.
    wrong_answer
};

[[nodiscard]] std::string_view to_string(attempt_result result);

/// One attempt, as written to the records file.
struct attempt_record
{
    std::string request_id;
    std::string idempotency_key;
    std::string service;
    std::string entry;
    std::string host;
    attempt_result result = attempt_result::not_run;
    std::uint32_t status = 0;
    std::string reason;
    std::chrono::microseconds latency{0};
    /// Time spent waiting for a slot as reported by the entry host; negative if not reported.
    std::chrono::microseconds waited{-1};
    std::chrono::milliseconds arrived{0};
};

[[nodiscard]] boost::json::object to_json(const attempt_record& record);

/// Results of a run, per service and in total.
class statistics
{
public:
    /// Adds the last attempt of a request, with the latency since the request's arrival.
    void add(const attempt_record& record);

    [[nodiscard]] boost::json::object to_json() const;
    [[nodiscard]] std::string to_table() const;

private:
    struct totals
    {
        std::map<attempt_result, std::uint64_t> results;
        std::vector<double> completed_ms;
        std::vector<double> refused_ms;
        std::vector<double> waited_ms;
    };

    static boost::json::object to_json(const totals& values);

    std::map<std::string, totals> by_service_;
    totals all_;
};

/// The value at quantile `q` (0 to 1) of unsorted values, 0 if there are none.
[[nodiscard]] double quantile(std::vector<double> values, double q);

} // namespace lacewingquay::load
