#pragma once

#include "config/model.hpp"
#include "core/clock.hpp"
#include "dispatch/names.hpp"
#include "traffic/slot_source.hpp"

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

/// Messages of the dispatch link as plain structs, with the fields of peer/messages.proto and
/// interned names. Durations are relative to receipt; entry hosts never exchange clock values.
namespace lacewingquay::dispatch
{

/// Identity of a term. Compared by number, then by the incarnation's text.
struct term_id
{
    std::uint64_t number = 0;
    name_id incarnation = name_id::none;

    friend bool operator==(const term_id&, const term_id&) = default;
};

/// True if `left` is a higher term than `right`.
[[nodiscard]] inline bool is_higher(const name_table& names, const term_id& left,
                                    const term_id& right)
{
    if (left.number != right.number)
    {
        return left.number > right.number;
    }
    return names.text(left.incarnation) > names.text(right.incarnation);
}

/// Asks the dispatcher of (pool, availability_zone) for a slot.
struct slot_request
{
    /// Unique for each holder and attempt.
    std::uint64_t request_id = 0;
    /// Incarnation of the entry host that holds the caller's request.
    name_id holder = name_id::none;
    name_id service = name_id::none;
    name_id pool = name_id::none;
    name_id availability_zone = name_id::none;
    config::priority urgency = config::priority::normal;
    /// Time left until the caller's deadline.
    milliseconds deadline{0};
    milliseconds run_limit{0};
    /// Time spent at previous dispatchers.
    milliseconds waited{0};
    std::uint32_t spill_hops = 0;
    /// Backend servers that must not be used again.
    std::vector<name_id> avoid;
};

struct grant
{
    std::uint64_t grant_id = 0;
    std::uint64_t request_id = 0;
    name_id pool = name_id::none;
    name_id availability_zone = name_id::none;
    term_id term;
    name_id host = name_id::none;
    std::uint64_t placement_version = 0;
    /// Total time spent at dispatchers, rounded down so that the holder's `start_by` is never late.
    milliseconds waited{0};
    milliseconds start_window{0};
    milliseconds run_limit{0};
};

/// Why a request got no slot.
enum class refusal_reason : std::uint8_t
{
    overload,
    deadline,
    no_hosts,
    unknown_service,
    dispatcher_unreachable,
    /// The receiver does not dispatch the domain; the holder retries at another dispatcher.
    not_dispatcher,
    /// Not a refusal: the request was forwarded to the dispatcher named in the message.
    moved
};

struct refusal
{
    std::uint64_t request_id = 0;
    refusal_reason reason = refusal_reason::overload;
    milliseconds retry_after{1'000};
    /// Set for `moved`: the domain and the dispatcher's incarnation.
    name_id pool = name_id::none;
    name_id availability_zone = name_id::none;
    name_id dispatcher = name_id::none;
};

struct cancel
{
    std::uint64_t request_id = 0;
    name_id pool = name_id::none;
    name_id availability_zone = name_id::none;
    /// The envelope's sender; set by the receiver.
    name_id holder = name_id::none;
};

struct release
{
    std::uint64_t grant_id = 0;
    name_id pool = name_id::none;
    name_id availability_zone = name_id::none;
    std::uint64_t term = 0;
    name_id host = name_id::none;
    traffic::slot_outcome outcome = traffic::slot_outcome::unused;
    milliseconds ran{0};
};

/// Copies a grant to the successor. `grant_id` 0 marks the end of a complete set of copies.
struct mirror
{
    name_id pool = name_id::none;
    name_id availability_zone = name_id::none;
    term_id term;
    std::uint64_t sequence = 0;
    std::uint64_t grant_id = 0;
    name_id host = name_id::none;
    milliseconds hold{0};
    bool released = false;
    /// Incarnation to which the slot was granted.
    name_id holder = name_id::none;
};

/// Sequence 0 requests all copies again, because the sender may have missed some.
struct mirror_ack
{
    name_id pool = name_id::none;
    name_id availability_zone = name_id::none;
    std::uint64_t sequence = 0;
};

struct term_begin
{
    name_id pool = name_id::none;
    name_id availability_zone = name_id::none;
    term_id term;
};

/// Where the reporter has a grant from.
enum class grant_source : std::uint8_t
{
    /// The reporter is its holder.
    held,
    /// The reporter issued it.
    table,
    /// The reporter keeps a copy for another dispatcher.
    copy
};

struct reported_grant
{
    std::uint64_t grant_id = 0;
    name_id host = name_id::none;
    /// Maximum time for which the grant can still be outstanding.
    milliseconds hold{0};
    grant_source source = grant_source::held;
    /// The holder according to the reporter's table or copy.
    name_id holder = name_id::none;
    /// Term under which the reporter's table or copy has the grant.
    term_id term;
};

/// An incarnation that is no longer live but whose requests may still run.
struct lost_incarnation
{
    name_id incarnation = name_id::none;
    milliseconds hold{0};
};

struct grant_report
{
    name_id pool = name_id::none;
    name_id availability_zone = name_id::none;
    /// The term that this report answers.
    std::uint64_t term = 0;
    /// Highest other term that the reporter has accepted. If it is higher than `term`, the report
    /// is a rejection and has no grants.
    term_id highest;
    /// Latest term under which the reporter itself granted.
    term_id own_term;
    /// Latest term for which the reporter has all copies.
    term_id copied_term;
    /// Time for which the reporter, as dispatcher, still reserves unexplained capacity.
    milliseconds unexplained{0};
    /// The reporter has run for the settle time without a pause, so every dispatcher of the zone
    /// that began a term since then considered it live and has its report.
    bool settled = false;
    std::vector<reported_grant> grants;
    std::vector<lost_incarnation> lost;
};

struct slot_news
{
    name_id pool = name_id::none;
    name_id availability_zone = name_id::none;
    std::uint32_t free_slots = 0;
    std::uint32_t queue_length = 0;
};

using any_message = std::variant<slot_request, grant, refusal, cancel, release, mirror, mirror_ack,
                                 term_begin, grant_report, slot_news>;

/// Action: sends a message to the entry host with this incarnation.
struct send_message
{
    name_id to = name_id::none;
    any_message payload;
};

/// Action: a request has a slot. `handle` identifies the grant in the release.
struct slot_granted
{
    std::uint64_t request_id = 0;
    std::uint64_t handle = 0;
    /// Domain, term and the dispatcher's grant identifier, for logs and checks.
    name_id pool = name_id::none;
    name_id availability_zone = name_id::none;
    term_id term;
    std::uint64_t grant_id = 0;
    name_id host = name_id::none;
    steady_time start_by;
    steady_time run_until;
};

/// Action: a request gets no slot and was not run.
struct slot_refused
{
    std::uint64_t request_id = 0;
    refusal_reason reason = refusal_reason::overload;
    milliseconds retry_after{1'000};
};

using action = std::variant<send_message, slot_granted, slot_refused>;
using actions = std::vector<action>;

} // namespace lacewingquay::dispatch
