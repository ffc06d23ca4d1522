#include "config/release.hpp"

#include "config/checked.hpp"
#include "config/parse.hpp"
#include "config/placement_rows.hpp"
#include "config/release_rounds.hpp"
#include "config/serialize.hpp"
#include "core/hash.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
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

std::string digest_of(const release_note& note)
{
    return hex_digest(serialize_note(note));
}

} // namespace

release_manager::release_manager(platform::port& platform, release_settings settings)
    : platform_(platform), settings_(settings)
{
}

asio::awaitable<void> release_manager::wait()
{
    if (settings_.retry_delay.count() > 0)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, settings_.retry_delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<head_state> release_manager::read_head()
{
    head_state state;
    const platform::row_result row = co_await platform_.read_row(std::string(head_key), 0);
    if (row.status == read_status::absent)
    {
        state.status = read_status::absent;
        co_return state;
    }
    if (row.status != read_status::found)
    {
        state.problem = "the platform cannot be reached";
        co_return state;
    }
    checked<head_record> record = check_input([&] { return parse_head_record(row.value.value); });
    if (!record.value)
    {
        state.problem = record.refusal;
        co_return state;
    }
    state.version = row.value.version;
    state.record = std::move(*record.value);
    const platform::object_result body =
        co_await platform_.read_object(body_key(state.record.digest));
    if (body.status != read_status::found || hex_digest(body.body) != state.record.digest)
    {
        state.problem = "the object '" + body_key(state.record.digest) + "' cannot be read";
        co_return state;
    }
    checked<configuration> parsed = check_input([&] { return parse_configuration(body.body); });
    if (!parsed.value || parsed.value->epoch != state.record.epoch)
    {
        state.problem = "the object '" + body_key(state.record.digest) +
                        "' is not the configuration of the head: " + parsed.refusal;
        co_return state;
    }
    state.value = std::move(*parsed.value);
    state.status = read_status::found;
    co_return state;
}

asio::awaitable<bool> release_manager::plan_open_notes(plan& result)
{
    const platform::row_result row = co_await platform_.read_row(std::string(open_notes_key), 0);
    open_notes notes;
    if (row.status == read_status::found)
    {
        checked<open_notes> parsed = check_input([&] { return parse_open_notes(row.value.value); });
        if (!parsed.value)
        {
            co_return false;
        }
        notes = std::move(*parsed.value);
    }
    else if (row.status != read_status::absent)
    {
        co_return false;
    }
    notes.write_id = result.next.write_id;
    notes.veto_until_ms.erase(result.next.note.id);
    if (result.next.state == note_state::proposed)
    {
        notes.veto_until_ms.emplace(result.next.note.id, result.next.veto_until_ms);
    }
    result.changes.checks.push_back(row_check{std::string(open_notes_key), row.value.version});
    result.changes.writes.push_back(row_write{std::string(open_notes_key), serialize(notes)});
    co_return true;
}

asio::awaitable<bool> release_manager::plan_placement(const release_note& note,
                                                      const configuration& head,
                                                      apply_result& applied,
                                                      platform::transaction& changes)
{
    const bool withdraws_pool =
        std::any_of(note.withdrawn.begin(), note.withdrawn.end(),
                    [](const object_key& key) { return key.kind == object_kind::pool; });
    if (!withdraws_pool || applied.status != apply_status::applied)
    {
        co_return true;
    }
    const platform::rows_result rows = co_await platform_.read_rows(std::string(placement_prefix));
    if (rows.status != read_status::found)
    {
        co_return false;
    }
    std::set<std::string> zones_without_row;
    for (const auto& [name, entry] : head.hosts)
    {
        zones_without_row.insert(entry.availability_zone);
    }
    for (const platform::row& row : rows.rows)
    {
        checked<placement::zone_placement> zone =
            check_input([&] { return parse_placement_row(row.key, row.value); });
        if (!zone.value)
        {
            co_return false;
        }
        zones_without_row.erase(zone.value->availability_zone);
        changes.checks.push_back(row_check{row.key, row.version});
        for (const auto& [name, placed] : zone.value->hosts)
        {
            const bool lacks_pool =
                !applied.next.pools.contains(placed.pool) ||
                (!placed.next_pool.empty() && !applied.next.pools.contains(placed.next_pool));
            if (applied.next.hosts.contains(name) && lacks_pool)
            {
                applied.status = apply_status::conflict;
                applied.conflicts.push_back(object_key{object_kind::host, name}.text());
                applied.reason = "hosts are still placed in a withdrawn pool";
            }
        }
    }
    for (const std::string& zone : zones_without_row)
    {
        changes.checks.push_back(row_check{std::string(placement_prefix) + zone, 0});
    }
    co_return true;
}

asio::awaitable<release_manager::plan> release_manager::plan_proposal(const release_note& note,
                                                                      const writer& by)
{
    plan result;
    const head_state head = co_await read_head();
    if (head.status == read_status::unavailable)
    {
        result.stop = ended(release_status::unavailable, head.problem + "; nothing was done");
        co_return result;
    }
    apply_result applied = apply(note, head.value);
    platform::transaction ignored;
    if (!co_await plan_placement(note, head.value, applied, ignored))
    {
        result.stop = ended(release_status::unavailable,
                            "the placement rows cannot be read; nothing was done");
        co_return result;
    }
    if (applied.status != apply_status::applied)
    {
        const bool is_conflict = applied.status == apply_status::conflict;
        result.stop =
            ended(is_conflict ? release_status::conflict : release_status::refused, applied.reason);
        result.stop->conflicts = applied.conflicts;
        co_return result;
    }
    note_record& next = result.next;
    next.write_id = by.write_id;
    next.proposal_write_id = by.write_id;
    next.note = note;
    next.digest = digest_of(note);
    next.base_digest = head.record.digest;
    next.proposed_at_ms = by.now_ms;
    next.veto_until_ms = by.now_ms + veto_window_of(note, head.value).count();
    next.cost = cost_to_json(cost_of(head.value, applied.next));
    result.changes.checks.push_back(row_check{note_key(note.id), 0});
    result.changes.writes.push_back(row_write{note_key(note.id), serialize(next)});
    if (!co_await plan_open_notes(result))
    {
        result.stop = ended(release_status::unavailable,
                            "the row 'config/open_notes' cannot be read; nothing was done");
    }
    co_return result;
}

asio::awaitable<release_result> release_manager::propose(release_note note, writer by)
{
    release_rounds state;
    // The row is read with the same parser, so a note that it refuses must not be written.
    const checked<release_note> parsed =
        check_input([&] { return parse_note(serialize_note(note)); });
    if (!parsed.value)
    {
        co_return ended(release_status::refused, parsed.refusal);
    }
    note = *parsed.value;
    const std::string digest = digest_of(note);
    for (int round = 0; round < settings_.max_rounds; ++round)
    {
        const platform::row_result row = co_await platform_.read_row(note_key(note.id), 0);
        if (row.status == read_status::found)
        {
            checked<note_record> record =
                check_input([&] { return parse_note_record(row.value.value); });
            if (!record.value)
            {
                co_return state.end(ended(release_status::refused, record.refusal));
            }
            if (record.value->digest != digest)
            {
                co_return ended(release_status::refused,
                                "id: got '" + note.id +
                                    "', expected an id that no other note has had");
            }
            const bool is_open = record.value->state == note_state::proposed ||
                                 record.value->state == note_state::accepted;
            release_result result = ended(is_open ? release_status::done : release_status::conflict,
                                          decision_text(*record.value));
            result.record = std::move(*record.value);
            co_return result;
        }
        bool must_wait = row.status != read_status::absent;
        if (!must_wait)
        {
            plan planned = co_await plan_proposal(note, by);
            if (planned.stop && planned.stop->status != release_status::unavailable)
            {
                co_return state.end(std::move(*planned.stop));
            }
            must_wait = planned.stop.has_value();
            if (planned.stop)
            {
                state.last = std::move(*planned.stop);
            }
            else
            {
                const platform::transact_result outcome =
                    co_await platform_.transact(planned.changes);
                if (outcome.status == transact_status::committed)
                {
                    release_result result =
                        ended(release_status::done, decision_text(planned.next));
                    result.record = std::move(planned.next);
                    co_return result;
                }
                must_wait = state.take_outcome(outcome, {});
            }
        }
        if (must_wait)
        {
            co_await wait();
        }
    }
    co_return state.end(state.last);
}

std::vector<std::string> due_notes(const open_notes& notes, std::int64_t now_ms)
{
    std::vector<std::pair<std::int64_t, std::string>> due;
    for (const auto& [id, until] : notes.veto_until_ms)
    {
        if (until <= now_ms)
        {
            due.emplace_back(until, id);
        }
    }
    std::sort(due.begin(), due.end());
    std::vector<std::string> result;
    result.reserve(due.size());
    for (auto& [until, id] : due)
    {
        result.push_back(std::move(id));
    }
    return result;
}

} // namespace lacewingquay::config
