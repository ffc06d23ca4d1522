#pragma once

#include "dispatch/directory.hpp"
#include "dispatch/dispatcher.hpp"
#include "dispatch/holder.hpp"
#include "dispatch/settings.hpp"

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <vector>

namespace lacewingquay::dispatch
{

/// Term number of a domain, for heartbeats.
struct domain_term
{
    name_id pool = name_id::none;
    name_id availability_zone = name_id::none;
    std::uint64_t term = 0;
};

/// The dispatch core of one entry host: its dispatcher and its holder. Delivers messages between
/// the two immediately. Deterministic: takes a time and an event, returns actions. Not thread-safe.
///
/// The owner
/// - calls `update` once after construction and then on each new snapshot or live set;
/// - calls `tick` every 10 ms and in any case more often than `settings::pause_threshold`;
/// - calls `handle` with each message of the dispatch link and the sender's incarnation;
/// - sends each `send_message` (never addressed to this node) and passes each `slot_granted` and
///   `slot_refused` to the traffic side, which checks `start_by` immediately before it writes the
///   first byte and calls `release` exactly once for each grant, with `unused` if it is too late.
/// Messages from one entry host to another must arrive in order, but may be lost.
class node
{
public:
    node(name_table& names, const settings& core_settings, name_id self_id,
         name_id self_incarnation, name_id self_zone, steady_time now);
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Applies a snapshot and the live entry hosts of all zones, including this one. An entry host
    /// is live as soon as a heartbeat arrives, even if the snapshot does not list it yet, because a
    /// term has to wait for its report. Of several incarnations only the newest is live.
    void update(steady_time now, const routing::snapshot& snapshot,
                std::span<const live_entry_host> live, actions& out);
    void tick(steady_time now, actions& out);
    void handle(steady_time now, name_id from, const any_message& received, actions& out);

    /// Requests a slot. Ends in one `slot_granted` or `slot_refused` with the returned id, which
    /// may already be in `out`.
    std::uint64_t request(steady_time now, slot_requirements requirements, actions& out);
    /// Cancels a pending request. Has no effect on one that was granted or refused.
    void abort(steady_time now, std::uint64_t request_id, actions& out);
    /// Releases a slot; see `holder::release`.
    void release(steady_time now, std::uint64_t handle, traffic::slot_outcome outcome,
                 milliseconds ran, actions& out);

    /// Records a term number from a peer's heartbeat.
    void observe_term(const domain_term& reported);
    /// Terms to send in heartbeats.
    [[nodiscard]] std::vector<domain_term> terms() const;

    /// See `dispatcher::assume_lost`. Called before the first `update`.
    void assume_lost(steady_time now, name_id incarnation);

    [[nodiscard]] const dispatcher& dispatcher_state() const { return dispatcher_; }
    [[nodiscard]] const holder& holder_state() const { return holder_; }
    [[nodiscard]] const directory& view() const { return directory_; }

private:
    /// Detects a pause; called before each event.
    void enter(steady_time now);
    /// Delivers messages addressed to this node and moves all other actions to `out`.
    void drain(steady_time now, actions& out);
    void deliver(steady_time now, name_id from, const any_message& received);
    void answer_term(steady_time now, name_id from, const term_begin& begun);

    settings settings_;
    directory directory_;
    dispatcher dispatcher_;
    holder holder_;
    steady_time last_event_;
    /// Actions of the current event; a member to reuse its memory.
    actions produced_;
    std::deque<any_message> to_self_;
};

} // namespace lacewingquay::dispatch
