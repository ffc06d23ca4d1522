#include "membership/epoch_reports.hpp"
#include "membership/fake_table.hpp"
#include "membership/incarnation.hpp"
#include "membership/liveness.hpp"
#include "membership/registry.hpp"
#include "membership/zone_lease.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::membership;

namespace
{

const steady_time start{std::chrono::hours{1}};

routing::member make_member(const std::string& id, std::int64_t started_at, const std::string& zone)
{
    return {
        id, id + "#" + std::to_string(started_at), zone, {"127.0.0.1", 7001}, {"127.0.0.1", 7002}};
}

heartbeat make_heartbeat(const std::string& id, std::int64_t started_at)
{
    heartbeat message;
    message.id = id;
    message.incarnation = id + "#" + std::to_string(started_at);
    message.availability_zone = "z1";
    return message;
}

bool no_live_peers(std::string_view)
{
    return false;
}

/// Runs one tick of a registry against a table that answers immediately.
void step_registry(registry& target, fake_table& table, steady_time now,
                   const std::optional<platform::row_check>& fence = std::nullopt)
{
    std::vector<table_action> actions = target.on_tick(now, fence, no_live_peers).table;
    while (!actions.empty())
    {
        const table_action action = actions.back();
        actions.pop_back();
        if (const auto* read = std::get_if<table_read>(&action))
        {
            target.on_read_result(now, {read->action_id, table.read(read->key, read->not_version)});
        }
        else if (const auto* write = std::get_if<table_write>(&action))
        {
            target.on_write_result(now, {write->action_id, table.transact(write->changes)},
                                   actions);
        }
    }
}

void run_registry(registry& target, fake_table& table, steady_time& now, milliseconds length,
                  const std::optional<platform::row_check>& fence = std::nullopt)
{
    for (const steady_time end = now + length; now < end; now += milliseconds{500})
    {
        step_registry(target, table, now, fence);
    }
}

platform::hosts_result host_list(const std::vector<std::string>& names)
{
    platform::hosts_result list{platform::read_status::found, {}};
    for (const std::string& name : names)
    {
        list.hosts.push_back({name, false});
    }
    return list;
}

} // namespace

// Guards against peers that stay live after three missed heartbeats or become suspect earlier.
TEST_CASE("a peer is suspect after three missed heartbeats", "[membership]")
{
    liveness peers("a", "z1");
    peers.on_members(std::vector{make_member("a", 1, "z1"), make_member("b", 1, "z1"),
                                 make_member("c", 1, "z2")});
    CHECK(peers.live_in_zone("z1") == std::vector<std::string>{"a"});
    steady_time now = start;
    CHECK(peers.on_tick(now).send_heartbeat_to == std::vector<std::string>{"b", "c"});
    peers.on_heartbeat(now, make_heartbeat("b", 1));
    peers.on_heartbeat(now, make_heartbeat("c", 1));
    CHECK(peers.on_tick(now).became_live == std::vector<std::string>{"b", "c"});
    int heartbeats_to_b = 0;
    int heartbeats_to_c = 0;
    std::vector<std::string> suspects;
    for (; now <= start + milliseconds{3'100}; now += milliseconds{100})
    {
        const liveness_actions actions = peers.on_tick(now);
        for (const std::string& id : actions.became_suspect)
        {
            suspects.push_back(id + std::to_string((now - start) / milliseconds{1}));
        }
        heartbeats_to_b += static_cast<int>(std::ranges::count(actions.send_heartbeat_to, "b"));
        heartbeats_to_c += static_cast<int>(std::ranges::count(actions.send_heartbeat_to, "c"));
    }
    CHECK(suspects == std::vector<std::string>{"b700", "c3100"});
    CHECK(heartbeats_to_b == 15);
    CHECK(heartbeats_to_c == 3);
}

// Guards against a resumed process that dispatches with a stale snapshot, or that suspects its
// peers because of its own pause.
TEST_CASE("a pause requests a refresh and does not make peers suspect", "[membership]")
{
    liveness peers("a", "z1");
    peers.on_members(std::vector{make_member("a", 1, "z1"), make_member("b", 1, "z1")});
    static_cast<void>(peers.on_tick(start));
    peers.on_heartbeat(start, make_heartbeat("b", 1));
    CHECK(!peers.is_overdue(start + milliseconds{1'000}));
    const liveness_actions first_pause = peers.on_tick(start + milliseconds{5'000});
    REQUIRE(first_pause.refresh);
    CHECK(first_pause.became_suspect.empty());
    CHECK(!peers.may_dispatch());
    const liveness_actions second_pause = peers.on_tick(start + milliseconds{9'000});
    REQUIRE(second_pause.refresh);
    // A refresh that began before the second pause is too old.
    peers.on_refreshed(*first_pause.refresh);
    CHECK(!peers.may_dispatch());
    peers.on_refreshed(*second_pause.refresh);
    CHECK(peers.may_dispatch());
}

// Guards against delayed heartbeats of an older incarnation that keep a failed peer live.
TEST_CASE("heartbeats of older incarnations are ignored", "[membership]")
{
    CHECK(is_newer_incarnation("a#10", "a#9"));
    CHECK(!is_newer_incarnation("a#10", "b#9"));
    for (const char* bad : {"", "a", "#1", "a#", "a#x", "a#1x", "a#-1"})
    {
        CHECK(!parse_incarnation(bad));
    }
    liveness peers("a", "z1");
    epoch_reports reports;
    peers.on_members(std::vector{make_member("a", 1, "z1"), make_member("b", 5, "z1")});
    peers.on_heartbeat(start, make_heartbeat("b", 4));
    CHECK(!peers.is_live("b"));
    peers.on_heartbeat(start, make_heartbeat("b", 6));
    CHECK(peers.is_live("b"));
    reports.on_heartbeat(start, make_heartbeat("b", 6));
    reports.on_heartbeat(start, make_heartbeat("b", 5));
    CHECK(reports.find(make_member("b", 5, "z1")) == nullptr);
    CHECK(reports.find(make_member("b", 6, "z1")) != nullptr);
}

// Guards against a lease holder that acts on an outdated renewal, and against contenders that take
// over before the lease has expired.
TEST_CASE("the lease is fenced, renewed and taken over", "[membership]")
{
    rc::prop(
        "at most one holder's fence is valid in the table",
        []
        {
            fake_table table;
            std::vector<zone_lease> contenders;
            for (const char* id : {"a#1", "b#1", "c#1"})
            {
                contenders.emplace_back("z1", id);
            }
            std::vector<int> paused(contenders.size(), 0);
            const auto draws = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
            steady_time now = start;
            steady_time changed = start;
            std::string holder;
            for (int round = 0; round < 1'500; ++round, now += milliseconds{100})
            {
                const int draw =
                    draws.empty() ? 0 : draws[static_cast<std::size_t>(round) % draws.size()];
                for (std::size_t index = 0; index < contenders.size(); ++index)
                {
                    paused[index] -= paused[index] > 0 ? 1 : 0;
                    paused[index] = draw == static_cast<int>(index) ? 80 : paused[index];
                    if (paused[index] > 0)
                    {
                        continue;
                    }
                    std::vector<table_action> actions = contenders[index].on_tick(now, index);
                    for (std::size_t next = 0; next < actions.size(); ++next)
                    {
                        const table_action action = actions[next];
                        std::vector<table_action> more;
                        if (const auto* read = std::get_if<table_read>(&action))
                        {
                            more = contenders[index].on_read_result(
                                now, {read->action_id, table.read(read->key, read->not_version)});
                        }
                        else if (const auto* write = std::get_if<table_write>(&action))
                        {
                            platform::transact_result result = table.transact(write->changes);
                            result = draw % 10 == 3 ? platform::transact_result{} : result;
                            more =
                                contenders[index].on_write_result(now, {write->action_id, result});
                        }
                        actions.insert(actions.end(), more.begin(), more.end());
                    }
                }
                std::size_t valid = 0;
                for (std::size_t index = 0; index < contenders.size(); ++index)
                {
                    const auto fence = contenders[index].fence(now);
                    valid += fence && table.version(fence->key) == fence->version ? 1 : 0;
                    RC_ASSERT(!fence || paused[index] == 0 || paused[index] > 30);
                }
                RC_ASSERT(valid <= 1);
                const std::string value = table.value("lease/z1");
                const std::string current =
                    value.empty() ? value : value.substr(value.find("holder"));
                if (current != holder)
                {
                    RC_ASSERT(holder.empty() || now - changed >= milliseconds{6'000});
                    holder = current;
                    changed = now;
                }
            }
        });
}

// Guards against two registrations of one id, and against a superseded process that continues.
TEST_CASE("a new incarnation replaces the registration", "[membership]")
{
    fake_table table;
    steady_time now = start;
    registry older(make_member("a", 1, "z1"));
    registry newer(make_member("a", 2, "z1"));
    older.enroll();
    run_registry(older, table, now, milliseconds{3'000});
    CHECK(older.status() == registration::registered);
    CHECK(older.members_epoch() == 1);
    newer.enroll();
    run_registry(newer, table, now, milliseconds{3'000});
    run_registry(older, table, now, milliseconds{3'000});
    CHECK(newer.status() == registration::registered);
    CHECK(older.status() == registration::superseded);
    CHECK(!older.may_dispatch());
    // The superseded process must not remove its successor's registration.
    older.deregister();
    run_registry(older, table, now, milliseconds{3'000});
    CHECK(table.version("members") == 2);
    newer.deregister();
    run_registry(newer, table, now, milliseconds{3'000});
    CHECK(newer.status() == registration::unregistered);
    CHECK(table.version("entry/a") == 0);
}

// Guards against registrations removed for missing heartbeats, after a gap in the host lists, or by
// a process that is not the lease holder.
TEST_CASE("only a long absence from the host list removes a registration", "[membership]")
{
    fake_table table;
    steady_time now = start;
    registry first(make_member("a", 1, "z1"));
    registry second(make_member("b", 1, "z1"));
    first.enroll();
    second.enroll();
    run_registry(second, table, now, milliseconds{3'000});
    run_registry(first, table, now, milliseconds{3'000});
    table.transact({{}, {{"lease/z1", "{}"}}});
    const platform::row_check fence{"lease/z1", 1};
    const auto run_minutes = [&](int minutes, const platform::hosts_result& list,
                                 const std::optional<platform::row_check>& with)
    {
        for (int count = 0; count < 6 * minutes; ++count)
        {
            first.on_host_list(now, list);
            run_registry(first, table, now, milliseconds{10'000}, with);
        }
    };
    run_minutes(30, host_list({"a", "b"}), fence);
    run_minutes(30, host_list({}), fence);
    run_minutes(9, host_list({"a"}), fence);
    run_minutes(1, host_list({"a", "b"}), fence);
    run_minutes(9, host_list({"a"}), fence);
    run_registry(first, table, now, milliseconds{120'000}, fence);
    run_minutes(9, host_list({"a"}), fence);
    CHECK(first.members().size() == 2);
    run_minutes(2, host_list({"a"}), std::nullopt);
    CHECK(first.members().size() == 2);
    run_minutes(1, host_list({"a"}), platform::row_check{"lease/z1", 2});
    CHECK(first.members().size() == 2);
    run_minutes(1, host_list({"a"}), fence);
    CHECK(first.members().size() == 1);
    run_registry(second, table, now, milliseconds{500});
    step_registry(second, table, now);
    CHECK(second.status() == registration::removed);
}

// Guards against a mover that changes placement without waiting for a host that joined while the
// platform was unavailable.
TEST_CASE("a sponsored newcomer is a member before the platform has its registration",
          "[membership]")
{
    fake_table table;
    steady_time now = start;
    registry sponsor(make_member("a", 1, "z1"));
    registry peer(make_member("b", 1, "z1"));
    registry newcomer(make_member("c", 1, "z1"));
    CHECK(!sponsor.on_sponsor(now, "c", make_member("c", 1, "z1")));
    sponsor.enroll();
    run_registry(sponsor, table, now, milliseconds{3'000});
    CHECK(!sponsor.on_sponsor(now, "d", make_member("d", 1, "z2")));
    CHECK(sponsor.on_sponsor(now, "c", make_member("c", 1, "z1")));
    const std::vector<routing::member> sponsored_members =
        sponsor.on_tick(now, std::nullopt, no_live_peers).sponsored_to_announce;
    REQUIRE(sponsored_members.size() == 1);
    CHECK(peer.on_sponsor(now, "a", sponsored_members.front()));
    CHECK(peer.members().size() == 1);
    newcomer.enroll();
    newcomer.on_sponsored();
    CHECK(newcomer.status() == registration::sponsored);
    run_registry(newcomer, table, now, milliseconds{3'000});
    CHECK(newcomer.status() == registration::registered);
    registry reader(make_member("e", 1, "z1"));
    CHECK(reader.on_sponsor(now, "a", sponsored_members.front()));
    reader.on_peer_row(*newcomer.row());
    CHECK(reader.members_epoch() == 2);
    CHECK(!reader.on_sponsor(now, "a", sponsored_members.front()));
}

// Guards against a repeated registration after a lost answer, and against malformed rows that are
// applied.
TEST_CASE("a lost registration answer is read back, malformed rows are rejected", "[membership]")
{
    fake_table table;
    registry own(make_member("a", 1, "z1"));
    own.enroll();
    step_registry(own, table, start);
    const registry_actions actions = own.on_tick(start, std::nullopt, no_live_peers);
    REQUIRE(actions.table.size() == 1);
    const table_write write = std::get<table_write>(actions.table.front());
    table.transact(write.changes);
    std::vector<table_action> more;
    own.on_write_result(start, {write.action_id, {}}, more);
    REQUIRE(more.size() == 1);
    const table_read read_back = std::get<table_read>(more.front());
    own.on_read_result(start, {read_back.action_id, table.read(read_back.key, 0)});
    CHECK(own.status() == registration::registered);
    CHECK(table.version("members") == 1);
    for (const char* bad : {"", "[]", "{}", R"({"write_id":"x","entries":{"a":1}})",
                            R"({"write_id":"x","entries":{"a":{"incarnation":"b#1"}}})"})
    {
        own.on_peer_row({"members", 9, bad});
        CHECK(own.members_epoch() == 1);
        CHECK(!own.row_error().empty());
    }
}
