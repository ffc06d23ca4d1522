#pragma once

#include "dispatch/request_queue.hpp"
#include "dispatch/settings.hpp"
#include "dispatch/slot_table.hpp"
#include "dispatch/takeover.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingquay::dispatch
{

/// Phase of a domain at a dispatcher.
enum class domain_phase : std::uint8_t
{
    /// Another entry host dispatches it.
    idle,
    /// A term has begun and reports are awaited; requests queue.
    collecting,
    /// This entry host grants slots.
    active
};

/// A grant that is sent once the successor has acknowledged its copy.
struct awaiting_copy
{
    std::uint64_t sequence = 0;
    name_id holder = name_id::none;
    grant message;
};

/// State of one (pool, zone) domain at a dispatcher.
struct domain_state
{
    explicit domain_state(domain_index domain, std::uint64_t id_seed)
        : index(domain), table(id_seed)
    {
    }

    domain_index index;
    domain_phase phase = domain_phase::idle;
    std::uint64_t term = 0;
    /// Latest term under which this dispatcher granted.
    term_id own_term;
    /// When this dispatcher last stopped dispatching the domain.
    std::optional<steady_time> stopped_at;
    /// Earliest time of the next term.
    steady_time next_term_at;
    /// When unacknowledged copies are sent again.
    steady_time resend_at;

    /// Entry hosts of the zone whose reports are awaited.
    std::vector<name_id> awaited;
    /// Entry hosts to which the term was sent.
    std::vector<name_id> notified;
    /// Those of `notified` that have not reported; the message may have been lost.
    std::vector<name_id> unanswered;
    steady_time next_term_resend_at;
    std::vector<received_report> reports;
    /// Grants released while reports that may list them are in transit.
    std::vector<std::uint64_t> released_early;
    struct silent_host
    {
        name_id incarnation = name_id::none;
        steady_time until;
    };
    /// Entry hosts that may hold grants that no report lists.
    std::vector<silent_host> silent;

    request_queue queue;
    slot_table table;
    /// Exponential moving average of observed service times, in milliseconds.
    double mean_service = 0.0;

    /// The successor that gets copies, or `none`.
    name_id successor = name_id::none;
    /// Number of the term under which the successor was chosen.
    std::uint64_t copied_term = 0;
    std::uint64_t sequence = 0;
    std::vector<awaiting_copy> awaiting;
    /// Sequence number of the message that completes the copies; 0 once it is acknowledged.
    std::uint64_t completion_sequence = 0;

    bool load_changed = false;
    steady_time next_slot_news_at;
    std::uint32_t last_free_slots = 0;
    std::uint32_t last_queue_length = 0;
};

} // namespace lacewingquay::dispatch
