#pragma once

#include "core/address.hpp"
#include "core/clock.hpp"
#include "standins/backend_journal.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/leaf.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace lacewingquay::standins
{

/// What the stand-in does wrong.
enum class backend_fault_kind : std::uint8_t
{
    none,
    /// Service times are multiplied by the factor.
    slow,
    /// 500 at once.
    error,
    /// Never answers; the request stays in progress until the fault changes or `freeze_time` is
    /// over, then the connection is closed.
    freeze,
    /// Closes the connection after half of the answer.
    close_mid_answer,
    /// Answers after `late_time`.
    late_answer,
    /// Appends a whole answer with another request id.
    surplus,
    /// Documented refusal: 503 with `Lacewingquay-Verdict: not-run`; the request is not started.
    refuse,
    /// Leaves out the last bytes of the answer and keeps the connection open.
    short_answer,
    /// Answers with another request id.
    wrong_id
};

/// Parses the name of a fault as in `backend_fault_kind`; fails with `input_error`.
boost::leaf::result<backend_fault_kind> parse_backend_fault(std::string_view name,
                                                            std::string_view where);

struct backend_fault
{
    backend_fault_kind kind = backend_fault_kind::none;
    /// For `slow`.
    double factor = 10.0;
    /// Fraction of requests that the fault concerns, chosen at random by the seed.
    double fraction = 1.0;
};

struct backend_settings
{
    std::string name = "backend";
    /// Requests in progress beyond this number count as violations, and are served.
    std::uint64_t slots = 8;
    /// Mean service time.
    std::chrono::milliseconds service_time{50};
    /// Exponentially distributed service times, else fixed.
    bool exponential = false;
    std::uint64_t seed = 1;
    /// File to which a line for each start and end is appended; empty for none.
    std::string journal;
    backend_fault fault;
    /// Service time under the fault `late_answer`.
    std::chrono::milliseconds late_time{3'000};
    /// Longest time that a frozen request stays in progress. Below the 30 s for which dispatchers
    /// keep the slot of an abandoned request, so that frozen requests alone break no slot limit.
    std::chrono::milliseconds freeze_time{20'000};
    /// Number of 16-byte blocks in an answer.
    std::size_t answer_blocks = 64;
};

/// Backend server stand-in. Answers any path; a request keeps running when its connection closes.
/// `GET /_standin/stats` returns counts. `POST /_standin/faults` with
/// `{"fault": NAME, "factor": F, "fraction": P}` sets the fault for later requests. Thread-safe.
class backend
{
public:
    /// Listens at `where` (port 0 picks a free port); fails with `input_error`.
    static boost::leaf::result<std::shared_ptr<backend>>
    listen(boost::asio::any_io_executor executor, const address& where, backend_settings settings);

    /// The address that it listens at.
    [[nodiscard]] address where() const;

    void set_fault(backend_fault fault);

    [[nodiscard]] const backend_journal& journal() const;

    /// Closes the listener; connections close after their current request.
    void stop();

private:
    struct state;
    explicit backend(std::shared_ptr<state> shared);
    std::shared_ptr<state> state_;
};

/// Runs the stand-in until SIGTERM or SIGINT; returns an exit code of `cli::exit_code`.
int run_backend(std::span<const std::string> arguments);

} // namespace lacewingquay::standins
