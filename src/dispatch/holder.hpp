#pragma once

#include "dispatch/directory.hpp"
#include "dispatch/settings.hpp"

#include <cstdint>
#include <vector>

namespace lacewingquay::dispatch
{

/// What a caller's request needs, with interned names. See `traffic::slot_requirements`.
struct wish
{
    name_id service = name_id::none;
    config::priority urgency = config::priority::normal;
    steady_time deadline;
    milliseconds run_limit{0};
    std::vector<name_id> avoid;
};

/// The entry host's side of dispatch: turns each wish into slot requests to the domain's current
/// dispatcher until it ends in exactly one `slot_granted` or `slot_refused`, and keeps the grants
/// in use for reports. Asks again when the dispatcher dies or begins another term.
class holder
{
public:
    holder(directory& shared, const settings& chosen);

    /// Starts a wish; returns its request id, which the answer repeats.
    std::uint64_t request(steady_time now, wish wanted, actions& out);

    /// Gives up a wish without an answer, because the caller is gone.
    void abort(steady_time now, std::uint64_t request_id, actions& out);

    /// Gives a granted slot back. Called once for each grant. After `abandoned` a second call with
    /// another outcome is allowed, when the backend server has closed the connection.
    void release(steady_time now, std::uint64_t handle, traffic::slot_outcome outcome,
                 milliseconds ran, actions& out);

    void on_grant(steady_time now, const grant& message, actions& out);
    void on_refusal(steady_time now, const refusal& message, actions& out);

    /// The domain has a new term, already noted in the directory.
    void on_term(steady_time now, domain_index domain, actions& out);
    /// The directory has changed.
    void on_update(steady_time now, actions& out);
    /// Deadlines and repeated requests. At least every 10 ms.
    void on_tick(steady_time now, actions& out);

    /// Adds the grants that this entry host holds in the domain.
    void append_report(steady_time now, domain_index domain,
                       std::vector<reported_grant>& report) const;

    /// Wishes without an answer.
    [[nodiscard]] std::size_t waiting() const { return waiting_; }
    /// Grants in use or abandoned.
    [[nodiscard]] std::size_t holding() const { return holding_; }

private:
    struct pending
    {
        std::uint64_t request_id = 0;
        /// Identifier of the current attempt; a grant of an earlier attempt is not accepted,
        /// because it would be dated from the wrong `sent_at`.
        std::uint64_t attempt = 0;
        wish wanted;
        steady_time created_at;
        steady_time sent_at;
        /// When to ask again; the maximum while an answer is awaited.
        steady_time retry_at;
        domain_index domain = 0;
        /// Incarnation asked, `none` while no dispatcher is known.
        name_id asked = name_id::none;
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
        /// Set once abandoned: end of the hold.
        steady_time hold_until;
        bool abandoned = false;
        bool active = false;
    };

    std::uint64_t next_id(std::size_t slot);
    pending* find(std::uint64_t attempt);
    void ask(steady_time now, pending& entry, actions& out);
    void ask_again(steady_time now, pending& entry, actions& out);
    void refuse(pending& entry, refusal_reason reason, milliseconds retry_after, actions& out);
    void finish(pending& entry);
    void return_unused(const grant& message, domain_index domain, actions& out) const;
    void send_release(const held& entry, traffic::slot_outcome outcome, milliseconds ran,
                      actions& out) const;

    directory& shared_;
    const settings& settings_;
    std::vector<pending> pending_;
    std::vector<std::uint32_t> free_pending_;
    std::vector<held> held_;
    std::vector<std::uint32_t> free_held_;
    std::uint64_t counter_ = 0;
    std::size_t waiting_ = 0;
    std::size_t holding_ = 0;
};

} // namespace lacewingquay::dispatch
