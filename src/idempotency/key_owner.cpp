#include "idempotency/key_owner.hpp"

#include <algorithm>
#include <utility>

namespace lacewingquay::idempotency
{

key_owner::key_owner(key_owner_settings settings, std::string id, std::string incarnation,
                     wall_time started)
    : settings_(settings), id_(std::move(id)), incarnation_(std::move(incarnation)),
      started_(started), now_(started), last_write_(started)
{
}

std::vector<key_action> key_owner::handle(wall_time now, const key_event& event)
{
    view_outdated_ = view_outdated_ || now > now_ + settings_.max_gap;
    now_ = std::max(now_, now);
    std::vector<key_action> actions;
    std::visit([&](const auto& concrete) { on(concrete, actions); }, event);
    return actions;
}

std::optional<wall_time> key_owner::recorded_since(const std::string& key) const
{
    std::optional<wall_time> since = router_.sole_owner_since(key, id_);
    if (since)
    {
        since = std::max(*since, started_);
    }
    return since;
}

void key_owner::on(const claim_event& event, std::vector<key_action>& actions)
{
    expire();
    actions.emplace_back(
        claim_result_action{event.holder, event.claim_id, event.key, decide(event)});
}

claim_answer key_owner::decide(const claim_event& event)
{
    const std::optional<uuid7> key = parse_uuid7(event.key);
    if (!key || key->issued_at() > now_ + settings_.clock_skew)
    {
        return {claim_decision::invalid, {}};
    }
    // The owner is chosen by the lower-case form, so that letter case does not change it.
    const std::string text = key->text();
    if (view_outdated_ || !router_.is_registered(incarnation_) ||
        !router_.is_registered(event.holder) ||
        !router_.is_stable_owner(text, id_, event.members_epoch))
    {
        return {claim_decision::refused, {}};
    }
    const auto known = records_.find(*key);
    return known == records_.end() ? decide_unknown(event, *key)
                                   : decide_known(event, known->second);
}

claim_answer key_owner::decide_known(const claim_event& event, const record& known) const
{
    if (known.fingerprint != event.fingerprint)
    {
        return {claim_decision::mismatch, {}};
    }
    switch (known.state)
    {
    case record_state::in_progress:
        return {known.holder == event.holder && known.claim_id == event.claim_id
                    ? claim_decision::admitted
                    : claim_decision::in_progress,
                {}};
    case record_state::unreported:
    case record_state::may_have_run:
        return {claim_decision::may_have_run, {}};
    case record_state::completed:
        break;
    }
    stored_answer answer;
    answer.status = known.status;
    return {claim_decision::completed, known.answer ? *known.answer : answer};
}

claim_answer key_owner::decide_unknown(const claim_event& event, const uuid7& key)
{
    const std::optional<wall_time> since = recorded_since(key.text());
    if (!since)
    {
        return {claim_decision::refused, {}};
    }
    const wall_time issued = key.issued_at();
    if (issued < *since + settings_.clock_skew || issued <= now_ - settings_.retention)
    {
        return {claim_decision::may_have_run, {}};
    }
    if (records_.size() >= settings_.max_keys)
    {
        return {claim_decision::refused, {}};
    }
    record added;
    added.fingerprint = event.fingerprint;
    added.holder = event.holder;
    added.claim_id = event.claim_id;
    records_.emplace(key, std::move(added));
    in_progress_[event.holder].insert(key);
    unwritten_.insert(key);
    return {claim_decision::admitted, {}};
}

void key_owner::on(const outcome_event& event, std::vector<key_action>& actions)
{
    actions.emplace_back(outcome_ack_action{event.holder, event.claim_id});
    const std::optional<uuid7> key = parse_uuid7(event.key);
    const auto found = key ? records_.find(*key) : records_.end();
    if (found == records_.end() || found->second.holder != event.holder ||
        found->second.claim_id != event.claim_id ||
        (found->second.state != record_state::in_progress &&
         found->second.state != record_state::unreported))
    {
        // A late or repeated report, or one for a claim that was not admitted.
        return;
    }
    record& known = found->second;
    remove_from_in_progress(*key, known);
    switch (event.outcome)
    {
    case verdict::not_run:
        unwritten_.erase(*key);
        records_.erase(found);
        return;
    case verdict::may_have_run:
        known.state = record_state::may_have_run;
        return;
    case verdict::completed:
        known.state = record_state::completed;
        known.status = event.answer.status;
        store_answer(*key, known, event.answer);
        unwritten_.insert(*key);
        return;
    }
}

void key_owner::store_answer(const uuid7& key, record& known, const stored_answer& answer)
{
    if (!answer.kept || answer.body.size() > settings_.max_answer_bytes)
    {
        return;
    }
    known.answer = std::make_unique<stored_answer>(answer);
    answer_bytes_ += answer.body.size();
    answer_order_.push_back(key);
    while (answer_bytes_ > settings_.max_total_answer_bytes)
    {
        const auto oldest = records_.find(answer_order_.front());
        answer_order_.pop_front();
        if (oldest != records_.end())
        {
            drop_answer(oldest->second);
        }
    }
}

void key_owner::drop_answer(record& known)
{
    if (known.answer)
    {
        answer_bytes_ -= known.answer->body.size();
        known.answer.reset();
    }
}

void key_owner::remove_from_in_progress(const uuid7& key, const record& known)
{
    const auto held = in_progress_.find(known.holder);
    if (held != in_progress_.end())
    {
        held->second.erase(key);
        if (held->second.empty())
        {
            in_progress_.erase(held);
        }
    }
}

void key_owner::mark_unreported(const std::string& holder)
{
    const auto held = in_progress_.find(holder);
    if (held == in_progress_.end())
    {
        return;
    }
    for (const uuid7& key : held->second)
    {
        records_.at(key).state = record_state::unreported;
    }
    in_progress_.erase(held);
}

void key_owner::on(const view_event& event, std::vector<key_action>& /*actions*/)
{
    view_outdated_ = view_outdated_ && event.epoch < router_.current_epoch();
    router_.add_view(event.epoch, event.members, now_);
    router_.report(incarnation_, router_.current_epoch(), now_);
    std::vector<std::string> lost;
    for (const std::pair<const std::string, std::set<uuid7>>& entry : in_progress_)
    {
        if (!router_.is_registered(entry.first))
        {
            lost.push_back(entry.first);
        }
    }
    for (const std::string& holder : lost)
    {
        mark_unreported(holder);
    }
}

void key_owner::on(const report_event& event, std::vector<key_action>& /*actions*/)
{
    router_.report(event.incarnation, event.epoch, now_);
}

void key_owner::on(const holder_lost_event& event, std::vector<key_action>& /*actions*/)
{
    mark_unreported(event.incarnation);
}

void key_owner::on(const batch_written_event& event, std::vector<key_action>& actions)
{
    if (!event.written)
    {
        for (const uuid7& key : writing_)
        {
            if (records_.count(key) > 0)
            {
                unwritten_.insert(key);
            }
        }
    }
    writing_.clear();
    if (event.written)
    {
        start_batch_write(actions);
    }
}

void key_owner::on(const batch_loaded_event& event, std::vector<key_action>& /*actions*/)
{
    for (const claim_entry& entry : event.batch.entries)
    {
        if (records_.size() >= settings_.max_keys)
        {
            // Keys that are not loaded are still answered "may have run", as they were issued
            // before the records here were complete.
            return;
        }
        if (entry.key.issued_at() <= now_ - settings_.retention)
        {
            continue;
        }
        record loaded;
        loaded.fingerprint = entry.fingerprint;
        loaded.state = entry.completed ? record_state::completed : record_state::may_have_run;
        loaded.status = entry.status;
        const auto known = records_.find(entry.key);
        if (known == records_.end())
        {
            records_.emplace(entry.key, std::move(loaded));
        }
        else if (known->second.holder.empty() && entry.completed)
        {
            known->second = std::move(loaded);
        }
    }
}

void key_owner::on(const tick_event& /*event*/, std::vector<key_action>& actions)
{
    expire();
    start_batch_write(actions);
}

void key_owner::expire()
{
    while (!records_.empty() && records_.begin()->first.issued_at() <= now_ - settings_.retention)
    {
        const auto oldest = records_.begin();
        remove_from_in_progress(oldest->first, oldest->second);
        drop_answer(oldest->second);
        unwritten_.erase(oldest->first);
        records_.erase(oldest);
    }
    while (!answer_order_.empty() && records_.count(answer_order_.front()) == 0)
    {
        answer_order_.pop_front();
    }
}

void key_owner::start_batch_write(std::vector<key_action>& actions)
{
    const bool due = unwritten_.size() >= settings_.max_batch_claims ||
                     (!unwritten_.empty() && now_ >= last_write_ + settings_.flush_interval);
    if (!due || !writing_.empty())
    {
        return;
    }
    claim_batch batch;
    batch.sequence = next_sequence_++;
    while (!unwritten_.empty() && batch.entries.size() < settings_.max_batch_claims)
    {
        const uuid7 key = *unwritten_.begin();
        unwritten_.erase(unwritten_.begin());
        const record& known = records_.at(key);
        batch.entries.push_back(
            {key, known.fingerprint, known.state == record_state::completed, known.status});
        batch.expires_at = std::max(batch.expires_at, key.issued_at() + settings_.retention);
        writing_.push_back(key);
    }
    last_write_ = now_;
    actions.emplace_back(write_batch_action{std::move(batch)});
}

} // namespace lacewingquay::idempotency
