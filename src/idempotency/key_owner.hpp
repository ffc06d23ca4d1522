#pragma once

#include "core/clock.hpp"
#include "core/verdict.hpp"
#include "idempotency/claim_batch.hpp"
#include "idempotency/claim_client.hpp"
#include "idempotency/key_router.hpp"
#include "idempotency/uuid7.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lacewingquay::idempotency
{

/// Settings of `key_owner`.
struct key_owner_settings
{
    /// Largest difference between the clock of a caller and that of an entry host.
    milliseconds clock_skew{5'000};
    /// How long after a key's issue its claim is kept. Older keys are answered "may have run".
    milliseconds retention{24 * 3'600'000};
    /// Largest stored answer, in bytes.
    std::size_t max_answer_bytes = 4U << 10U;
    /// Largest total size of stored answers, in bytes; the oldest are dropped first.
    std::size_t max_total_answer_bytes = 16U << 20U;
    /// Largest number of recorded keys, about 150 bytes each; further claims are refused as not
    /// run.
    std::size_t max_keys = 400'000;
    /// After a longer gap between events the process may have been paused and its view may be
    /// outdated, so it admits nothing until a `view_event` confirms or replaces the view.
    milliseconds max_gap{1'000};
    /// Longest time before a claim is written in a batch.
    milliseconds flush_interval{10'000};
    /// Largest number of claims in a batch; keeps a row below about 40 KiB.
    std::size_t max_batch_claims = 500;
};

/// An entry host claims a key. Claims with the same id are idempotent.
struct claim_event
{
    /// Incarnation of the entry host that holds the caller's request.
    std::string holder;
    /// Unique among the claims of a holder.
    std::uint64_t claim_id = 0;
    std::string key;
    std::uint64_t fingerprint = 0;
    /// The holder's `members_epoch`.
    std::uint64_t members_epoch = 0;
};

/// The holder reports the outcome of an admitted claim. A holder that received no result in time,
/// or a result for a claim that it has abandoned, reports `not_run` and never uses the claim.
/// Repeated until acknowledged.
struct outcome_event
{
    std::string holder;
    std::uint64_t claim_id = 0;
    std::string key;
    verdict outcome = verdict::may_have_run;
    stored_answer answer;
};

/// The membership row was read; its content may be unchanged.
struct view_event
{
    std::uint64_t epoch = 0;
    std::vector<view_member> members;
};

/// The view that an entry host uses, from its heartbeat.
struct report_event
{
    std::string incarnation;
    std::uint64_t epoch = 0;
};

/// An entry host has failed; its claims in progress may have run.
struct holder_lost_event
{
    std::string incarnation;
};

/// A write of a batch has ended. The claims of a failed write are put into a later batch.
struct batch_written_event
{
    bool written = false;
};

/// A batch of an earlier incarnation or of a previous owner was read from the platform.
struct batch_loaded_event
{
    claim_batch batch;
};

/// Has to be sent several times per `max_gap`.
struct tick_event
{
};

using key_event =
    std::variant<claim_event, outcome_event, view_event, report_event, holder_lost_event,
                 batch_written_event, batch_loaded_event, tick_event>;

/// Sends the decision about a claim to its holder.
struct claim_result_action
{
    std::string holder;
    std::uint64_t claim_id = 0;
    std::string key;
    claim_answer answer;
};

/// Acknowledges the outcome of a claim to its holder.
struct outcome_ack_action
{
    std::string holder;
    std::uint64_t claim_id = 0;
};

/// Writes a batch to the platform. `batch_written_event` has to follow.
struct write_batch_action
{
    claim_batch batch;
};

using key_action = std::variant<claim_result_action, outcome_ack_action, write_batch_action>;

/// Owner of the idempotency keys that rendezvous hashing assigns to this entry host, as in section
/// 9 of docs/design.md. Deterministic: uses no clock, threads or randomness of its own.
///
/// Three rules prevent a key from being admitted twice. A key is admitted only if no registered
/// entry host can use a view with another owner. A key issued before this entry host's records were
/// complete for it is never admitted. A claim ends as not run only if its holder reports so.
class key_owner
{
public:
    /// `incarnation` is that of this process; nothing is admitted while the view names another one.
    /// `started` is the time at which this incarnation started; earlier claims are unknown.
    key_owner(key_owner_settings settings, std::string id, std::string incarnation,
              wall_time started);

    /// Handles one event. A `now` before the latest time seen is treated as that time.
    std::vector<key_action> handle(wall_time now, const key_event& event);

    [[nodiscard]] const key_router& router() const { return router_; }

    [[nodiscard]] std::size_t key_count() const { return records_.size(); }

    /// Bytes of stored answers.
    [[nodiscard]] std::size_t answer_bytes() const { return answer_bytes_; }

    /// Claims that have not been written to the platform yet.
    [[nodiscard]] std::size_t unwritten_count() const { return unwritten_.size(); }

    /// The time since which all claims of this key are recorded here; empty while another owner may
    /// exist.
    [[nodiscard]] std::optional<wall_time> recorded_since(const std::string& key) const;

private:
    enum class record_state : std::uint8_t
    {
        in_progress,
        /// The holder has left or failed without a report. It may be partitioned and report later.
        unreported,
        may_have_run,
        completed
    };

    struct record
    {
        std::uint64_t fingerprint = 0;
        std::string holder;
        std::uint64_t claim_id = 0;
        record_state state = record_state::in_progress;
        std::uint32_t status = 0;
        /// Null unless an answer is stored.
        std::unique_ptr<stored_answer> answer;
    };

    using record_map = std::map<uuid7, record>;

    void on(const claim_event& event, std::vector<key_action>& actions);
    void on(const outcome_event& event, std::vector<key_action>& actions);
    void on(const view_event& event, std::vector<key_action>& actions);
    void on(const report_event& event, std::vector<key_action>& actions);
    void on(const holder_lost_event& event, std::vector<key_action>& actions);
    void on(const batch_written_event& event, std::vector<key_action>& actions);
    void on(const batch_loaded_event& event, std::vector<key_action>& actions);
    void on(const tick_event& event, std::vector<key_action>& actions);

    claim_answer decide(const claim_event& event);
    [[nodiscard]] claim_answer decide_known(const claim_event& event, const record& known) const;
    claim_answer decide_unknown(const claim_event& event, const uuid7& key);
    void store_answer(const uuid7& key, record& known, const stored_answer& answer);
    void drop_answer(record& known);
    void mark_unreported(const std::string& holder);
    void remove_from_in_progress(const uuid7& key, const record& known);
    void expire();
    void start_batch_write(std::vector<key_action>& actions);

    key_owner_settings settings_;
    std::string id_;
    std::string incarnation_;
    wall_time started_;
    wall_time now_;
    /// Set after a gap of more than `max_gap` between events, until the view is confirmed.
    bool view_outdated_ = false;
    key_router router_;
    /// Ordered by time of issue, so that keys expire from the front.
    record_map records_;
    std::map<std::string, std::set<uuid7>> in_progress_;
    std::deque<uuid7> answer_order_;
    std::size_t answer_bytes_ = 0;
    std::set<uuid7> unwritten_;
    /// Keys of the batch that is being written; empty if there is none.
    std::vector<uuid7> writing_;
    wall_time last_write_;
    std::uint64_t next_sequence_ = 1;
};

} // namespace lacewingquay::idempotency
