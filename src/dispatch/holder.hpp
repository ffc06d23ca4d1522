#pragma once

#include "dispatch/directory.hpp"
#include "dispatch/settings.hpp"

#include <cstdint>
#include <vector>

namespace lacewingquay::dispatch
{

/// What a caller's request needs from a slot, with interned names. See
/// `traffic::slot_requirements`.
struct slot_requirements
{
    name_id service = name_id::none;
    config::priority urgency = config::priority::normal;
    steady_time deadline;
    milliseconds run_limit{0};
    std::vector<name_id> avoid;
};

/// The client side of dispatch at an entry host. Sends slot requests for each caller's request to
/// the domain's current dispatcher until it ends in exactly one `slot_granted` or `slot_refused`,
/// and tracks the grants in use for reports. Retries when the dispatcher dies or begins another
/// term.
class holder
{
public:
    holder(directory& host_directory, const settings& core_settings);

    /// Starts a request; returns its id, which the resulting action repeats.
    std::uint64_t request(steady_time now, slot_requirements requirements, actions& out);

    /// Cancels a pending request whose caller has disconnected.
    void abort(steady_time now, std::uint64_t request_id, actions& out);

    /// Releases a granted slot. Called once for each grant; after `abandoned`, a second call with
    /// another outcome is allowed once the backend server has closed the connection.
    void release(steady_time now, std::uint64_t handle, traffic::slot_outcome outcome,
                 milliseconds ran, actions& out);

    void on_grant(steady_time now, const grant& message, actions& out);
    void on_refusal(steady_time now, const refusal& message, actions& out);

    /// Handles a new term of the domain, which the directory already contains.
    void on_term(steady_time now, domain_index domain, actions& out);
    /// Handles a change of the directory.
    void on_update(steady_time now, actions& out);
    /// Checks deadlines and retries. Call at least every 10 ms.
    void on_tick(steady_time now, actions& out);

    /// Adds the grants that this entry host holds in the domain.
    void append_report(steady_time now, domain_index domain,
                       std::vector<reported_grant>& report) const;

    /// Number of requests without a grant or refusal.
    [[nodiscard]] std::size_t pending_count() const { return pending_count_; }
    /// Number of grants in use or abandoned.
    [[nodiscard]] std::size_t held_count() const { return held_count_; }

private:
    struct pending
    {
        std::uint64_t request_id = 0;
        /// Identifier of the current attempt. A grant of an earlier attempt is not accepted,
        /// because its start window began at an earlier `sent_at`.
        std::uint64_t attempt = 0;
        slot_requirements requirements;
        steady_time created_at;
        steady_time sent_at;
        /// When to retry; the maximum while a response is awaited.
        steady_time retry_at;
        domain_index domain = 0;
        /// Incarnation that has the request; `none` while no dispatcher is known.
        name_id target_dispatcher = name_id::none;
        bool active = false;
    };

    struct held
    {
        std::uint64_t handle = 0;
        std::uint64_t grant_id = 0;
        domain_index domain = 0;
        std::uint64_t term = 0;
        name_id host = name_id::none;
        steady_time run_until;
        /// End of the hold; set once abandoned.
        steady_time hold_until;
        bool abandoned = false;
        bool active = false;
    };

    std::uint64_t next_id(std::size_t slot);
    pending* find(std::uint64_t attempt);
    void send_request(steady_time now, pending& entry, actions& out);
    void retry(steady_time now, pending& entry, actions& out);
    void refuse(pending& entry, refusal_reason reason, milliseconds retry_after, actions& out);
    void finish(pending& entry);
    void return_unused(const grant& message, domain_index domain, actions& out) const;
    void send_release(const held& entry, traffic::slot_outcome outcome, milliseconds ran,
                      actions& out) const;

    directory& directory_;
    const settings& settings_;
    std::vector<pending> pending_;
    std::vector<std::uint32_t> free_pending_;
    std::vector<held> held_;
    std::vector<std::uint32_t> free_held_;
    std::uint64_t counter_ = 0;
    std::size_t pending_count_ = 0;
    std::size_t held_count_ = 0;
};

} // namespace lacewingquay::dispatch
