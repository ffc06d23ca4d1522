#include "config/checked.hpp"
#include "config/parse.hpp"
#include "config/release.hpp"
#include "config/release_rounds.hpp"
#include "config/serialize.hpp"
#include "core/hash.hpp"

#include <utility>

// g++ 12 reports the allocation of coroutine frames in Boost.Asio, which is paired correctly.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace lacewingquay::config
{

namespace asio = boost::asio;

using platform::read_status;
using platform::row_check;
using platform::row_write;
using platform::transact_status;

namespace
{

void set_decision(note_record& record, note_state state, const writer& by)
{
    record.write_id = by.write_id;
    record.state = state;
    record.decided_by = by.name;
    record.decided_at_ms = by.now_ms;
}

release_result unavailable(const std::string& problem)
{
    return ended(release_status::unavailable, problem + "; nothing was done, try again");
}

} // namespace

asio::awaitable<release_manager::plan>
release_manager::plan_veto(const decision& wanted, std::uint64_t version, note_record record)
{
    plan result;
    result.next = std::move(record);
    set_decision(result.next, note_state::vetoed, wanted.by);
    result.next.decision_reason = wanted.reason;
    const std::string key = note_key(wanted.id);
    result.changes.checks.push_back(row_check{key, version});
    result.changes.writes.push_back(row_write{key, serialize(result.next)});
    if (!co_await plan_open_notes(result))
    {
        result.stop = unavailable("the row 'config/open_notes' cannot be read");
    }
    co_return result;
}

asio::awaitable<bool> release_manager::plan_head(const configuration& next, plan& result)
{
    std::string body = serialize_configuration(next);
    head_record head;
    head.write_id = result.next.write_id;
    head.epoch = next.epoch;
    head.digest = hex_digest(body);
    head.note_id = result.next.note.id;
    head.accepted_at_ms = result.next.decided_at_ms;
    result.changes.writes.push_back(row_write{std::string(head_key), serialize(head)});
    co_return co_await platform_.write_object(body_key(head.digest), std::move(body));
}

asio::awaitable<release_manager::plan>
release_manager::plan_acceptance(const decision& wanted, std::uint64_t version, note_record record)
{
    plan result;
    if (!wanted.how.before_window_ends && wanted.by.now_ms < record.veto_until_ms)
    {
        const std::int64_t left = record.veto_until_ms - wanted.by.now_ms;
        result.stop =
            ended(release_status::refused, "the veto window of note '" + wanted.id + "' ends in " +
                                               std::to_string(left) + " ms");
        co_return result;
    }
    const head_state head = co_await read_head();
    if (head.status == read_status::unavailable)
    {
        result.stop = unavailable(head.problem);
        co_return result;
    }
    result.next = std::move(record);
    apply_result applied = apply(result.next.note, head.value);
    if (!co_await plan_placement(result.next.note, head.value, applied, result.changes))
    {
        result.stop = unavailable("the placement rows cannot be read");
        co_return result;
    }
    if (applied.status == apply_status::applied)
    {
        set_decision(result.next, note_state::accepted, wanted.by);
        result.next.epoch = applied.next.epoch;
        if (!co_await plan_head(applied.next, result))
        {
            result.stop = unavailable("the object of the configuration cannot be stored");
            co_return result;
        }
    }
    else
    {
        set_decision(result.next, note_state::refused, wanted.by);
        result.next.decision_reason = applied.reason;
        result.next.conflicts = applied.conflicts;
    }
    const std::string key = note_key(wanted.id);
    result.changes.checks.push_back(row_check{key, version});
    result.changes.checks.push_back(row_check{std::string(head_key), head.version});
    result.changes.writes.push_back(row_write{key, serialize(result.next)});
    if (!co_await plan_open_notes(result))
    {
        result.stop = unavailable("the row 'config/open_notes' cannot be read");
    }
    result.changes.checks.insert(result.changes.checks.end(), wanted.how.fence.begin(),
                                 wanted.how.fence.end());
    co_return result;
}

asio::awaitable<release_result> release_manager::decide(decision wanted)
{
    const note_state goal = wanted.what == action::veto ? note_state::vetoed : note_state::accepted;
    release_rounds state;
    for (int round = 0; round < settings_.max_rounds; ++round)
    {
        const platform::row_result row = co_await platform_.read_row(note_key(wanted.id), 0);
        if (row.status == read_status::absent)
        {
            co_return state.end(
                ended(release_status::refused,
                      "id: got '" + wanted.id + "', expected a note as shown by 'note list'"));
        }
        if (row.status != read_status::found)
        {
            co_await wait();
            continue;
        }
        checked<note_record> record =
            check_input([&] { return parse_note_record(row.value.value); });
        if (!record.value)
        {
            co_return state.end(ended(release_status::refused, record.refusal));
        }
        if (record.value->state != note_state::proposed)
        {
            co_return result_of(*record.value, goal);
        }
        if (state.is_fence_lost)
        {
            co_return state.end(ended(release_status::conflict,
                                      "the lease that fences the decision was lost; nothing was "
                                      "done"));
        }
        plan planned;
        if (wanted.what == action::veto)
        {
            planned = co_await plan_veto(wanted, row.value.version, std::move(*record.value));
        }
        else
        {
            planned = co_await plan_acceptance(wanted, row.value.version, std::move(*record.value));
        }
        if (planned.stop)
        {
            if (planned.stop->status != release_status::unavailable)
            {
                co_return state.end(std::move(*planned.stop));
            }
            state.last = std::move(*planned.stop);
            co_await wait();
            continue;
        }
        const platform::transact_result outcome = co_await platform_.transact(planned.changes);
        if (outcome.status == transact_status::committed)
        {
            co_return result_of(planned.next, goal);
        }
        if (state.take_outcome(outcome, wanted.how.fence))
        {
            co_await wait();
        }
    }
    co_return state.end(state.last);
}

asio::awaitable<release_result> release_manager::veto(std::string id, std::string reason, writer by)
{
    decision wanted;
    wanted.what = action::veto;
    wanted.id = std::move(id);
    wanted.reason = std::move(reason);
    wanted.by = std::move(by);
    co_return co_await decide(std::move(wanted));
}

asio::awaitable<release_result> release_manager::accept(std::string id, acceptance how, writer by)
{
    decision wanted;
    wanted.what = action::accept;
    wanted.id = std::move(id);
    wanted.how = std::move(how);
    wanted.by = std::move(by);
    co_return co_await decide(std::move(wanted));
}

} // namespace lacewingquay::config
