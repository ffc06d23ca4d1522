#include "dispatch/node.hpp"
#include "dispatch/outlier_detector.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::dispatch;

namespace
{

/// One entry host that dispatches its own requests, with one backend server in pool `a`.
struct single_host
{
    explicit single_host(std::uint32_t slots, settings core_settings = {})
        : core(names, core_settings, names.intern("e"), names.intern("e#1"), names.intern("z"), now)
    {
        for (const std::string name : {"a", "empty"})
        {
            snapshot.services[name].name = name;
            snapshot.services[name].pool = name;
        }
        snapshot.spare_pool = "spare";
        snapshot.placement_epochs["z"] = 1;
        routing::backend_server server;
        server.name = "h";
        server.availability_zone = "z";
        server.pool = "a";
        server.slots = slots;
        snapshot.backend_servers.push_back(server);
        routing::member self;
        self.id = "e";
        self.incarnation = "e#1";
        self.availability_zone = "z";
        snapshot.members.push_back(self);
        update();
    }

    void update()
    {
        const live_entry_host self{names.intern("e"), names.intern("e#1"), names.intern("z"),
                                   false};
        core.update(now, snapshot, std::span(&self, 1), produced);
    }

    std::uint64_t request(config::priority urgency, milliseconds deadline,
                          const std::string& service = "a")
    {
        slot_requirements requirements;
        requirements.service = names.intern(service);
        requirements.urgency = urgency;
        requirements.deadline = now + deadline;
        requirements.run_limit = milliseconds{100};
        return core.request(now, requirements, produced);
    }

    void advance(milliseconds time)
    {
        for (const steady_time end = now + time; now < end; now += milliseconds{10})
        {
            core.tick(now, produced);
        }
    }

    /// All grants so far, in order.
    std::vector<slot_granted> grants() const
    {
        std::vector<slot_granted> found;
        for (const action& next : produced)
        {
            if (const slot_granted* granted = std::get_if<slot_granted>(&next))
            {
                found.push_back(*granted);
            }
        }
        return found;
    }

    std::optional<refusal_reason> refusal_of(std::uint64_t id) const
    {
        for (const action& next : produced)
        {
            const slot_refused* refused = std::get_if<slot_refused>(&next);
            if (refused != nullptr && refused->request_id == id)
            {
                return refused->reason;
            }
        }
        return std::nullopt;
    }

    void complete(const slot_granted& granted)
    {
        core.release(now, granted.handle, traffic::slot_outcome::succeeded, milliseconds{50},
                     produced);
    }

    name_table names;
    steady_time now{std::chrono::hours{1}};
    routing::snapshot snapshot;
    node core;
    actions produced;
};

} // namespace

// Guards against starting a request before an earlier one of the same or a higher priority.
TEST_CASE("requests are queued by priority, then arrival", "[dispatch]")
{
    rc::prop("grants follow the queue order",
             []
             {
                 single_host host(1);
                 host.request(config::priority::urgent, milliseconds{60'000});
                 const std::vector<int> drawn =
                     *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2));
                 std::vector<std::pair<int, std::uint64_t>> expected;
                 expected.reserve(drawn.size());
                 for (const int urgency : drawn)
                 {
                     expected.emplace_back(urgency,
                                           host.request(static_cast<config::priority>(urgency),
                                                        milliseconds{60'000}));
                 }
                 std::stable_sort(expected.begin(), expected.end(),
                                  [](const auto& left, const auto& right)
                                  { return left.first < right.first; });
                 for (std::size_t i = 0; i <= expected.size(); ++i)
                 {
                     RC_ASSERT(host.grants().size() == i + 1);
                     if (i > 0)
                     {
                         RC_ASSERT(host.grants().back().request_id == expected[i - 1].second);
                     }
                     host.complete(host.grants().back());
                 }
             });
}

// Guards against deferrable requests that take the last idle slots, and against deferrable requests
// that wait beyond their latest start.
TEST_CASE("deferrable requests need a fifth of the slots idle", "[dispatch]")
{
    single_host host(10);
    for (int i = 0; i < 9; ++i)
    {
        host.request(config::priority::normal, milliseconds{60'000});
    }
    const std::uint64_t deferrable =
        host.request(config::priority::deferrable, milliseconds{20'000});
    REQUIRE(host.grants().size() == 9);

    SECTION("starts when two of ten are idle")
    {
        host.complete(host.grants().front());
        REQUIRE(host.grants().size() == 10);
        REQUIRE(host.grants().back().request_id == deferrable);
    }
    SECTION("is promoted to normal priority before its latest start")
    {
        settings core_settings;
        host.advance(milliseconds{400});
        REQUIRE(host.grants().size() == 9);
        single_host late(10);
        for (int i = 0; i < 9; ++i)
        {
            late.request(config::priority::normal, milliseconds{60'000});
        }
        late.request(config::priority::deferrable,
                     core_settings.deferrable_lead_time + milliseconds{100 + 200});
        REQUIRE(late.grants().size() == 9);
        late.advance(milliseconds{250});
        REQUIRE(late.grants().size() == 10);
    }
}

// Guards against queueing requests that cannot be served before their deadline.
TEST_CASE("refusals of a full queue are immediate", "[dispatch]")
{
    rc::prop("a request whose wait exceeds its deadline is refused immediately",
             []
             {
                 settings exact;
                 exact.admission_margin = 0.0;
                 single_host host(*rc::gen::inRange<std::uint32_t>(1, 5), exact);
                 const int deadline = *rc::gen::inRange(10, 500);
                 std::size_t waiting = 0;
                 while (waiting < 200)
                 {
                     const std::uint64_t id =
                         host.request(config::priority::normal, milliseconds{deadline});
                     if (host.refusal_of(id))
                     {
                         break;
                     }
                     waiting += host.grants().empty() || host.grants().back().request_id != id;
                 }
                 const std::size_t slots = host.grants().size();
                 // 50 ms is the assumed service time.
                 RC_ASSERT(waiting * 50 <= static_cast<std::size_t>(deadline) * slots);
                 RC_ASSERT((waiting + 1) * 50 > static_cast<std::size_t>(deadline) * slots);
             });

    settings core_settings;
    core_settings.max_queue = 3;
    single_host host(1, core_settings);
    for (int i = 0; i < 4; ++i)
    {
        host.request(config::priority::normal, milliseconds{60'000});
    }
    const std::uint64_t over_limit = host.request(config::priority::normal, milliseconds{60'000});
    REQUIRE(host.refusal_of(over_limit) == refusal_reason::overload);
    const std::uint64_t unknown = host.request(config::priority::normal, milliseconds{100}, "none");
    REQUIRE(host.refusal_of(unknown) == refusal_reason::unknown_service);
    host.snapshot.backend_servers.front().state = placement::host_state::leaving;
    host.update();
    const std::uint64_t without_host =
        host.request(config::priority::normal, milliseconds{100}, "empty");
    REQUIRE(host.refusal_of(without_host) == refusal_reason::no_hosts);
}

// Guards against reporting a drained host while a grant is outstanding.
TEST_CASE("a draining host is busy until its grants are released", "[dispatch]")
{
    single_host host(1);
    host.request(config::priority::normal, milliseconds{1'000});
    host.snapshot.backend_servers.front().state = placement::host_state::draining;
    host.snapshot.placement_epochs["z"] = 2;
    host.update();
    REQUIRE(host.core.dispatcher_state().busy_draining_hosts(host.now) ==
            std::vector<std::string>{"h"});
    REQUIRE(host.core.dispatcher_state().lowest_placement_version(host.now) == 1);
    host.complete(host.grants().front());
    REQUIRE(host.core.dispatcher_state().busy_draining_hosts(host.now).empty());
    REQUIRE(host.core.dispatcher_state().lowest_placement_version(host.now) == 2);
    host.request(config::priority::normal, milliseconds{1'000});
    REQUIRE(host.grants().size() == 1);
}

// Guards against actions that depend on anything other than the events.
TEST_CASE("the same events give the same actions", "[dispatch]")
{
    const auto record = []
    {
        single_host host(2);
        for (int i = 0; i < 20; ++i)
        {
            host.request(static_cast<config::priority>(i % 3), milliseconds{40 * i});
            host.advance(milliseconds{10});
        }
        std::string text;
        for (const slot_granted& granted : host.grants())
        {
            text += std::to_string(granted.grant_id) + " ";
        }
        return text + std::to_string(host.produced.size());
    };
    REQUIRE(record() == record());
}

// Guards against ejecting too many servers, ejecting for the wrong time, or not readmitting.
TEST_CASE("backend servers are ejected and probed", "[dispatch]")
{
    steady_time now{std::chrono::hours{1}};
    outlier_detector detector;
    detector.resize(10);
    for (std::size_t i = 0; i < 10; ++i)
    {
        detector.set_serving(i, true);
    }
    const auto fail = [&](std::size_t server, int times)
    {
        for (int i = 0; i < times; ++i)
        {
            detector.on_outcome(now, server, true);
        }
    };
    SECTION("five consecutive failures eject for 5 s, then one probe, then 10 s")
    {
        fail(0, 4);
        REQUIRE(detector.is_available(now, 0));
        fail(0, 1);
        REQUIRE_FALSE(detector.is_available(now, 0));
        now += milliseconds{5'000};
        REQUIRE(detector.is_available(now, 0));
        detector.on_granted(now, 0);
        REQUIRE_FALSE(detector.is_available(now, 0));
        fail(0, 1);
        now += milliseconds{9'999};
        REQUIRE_FALSE(detector.is_available(now, 0));
        now += milliseconds{1};
        detector.on_granted(now, 0);
        detector.on_outcome(now, 0, false);
        REQUIRE(detector.is_available(now, 0));
    }
    SECTION("failures of more than half of twenty outcomes eject")
    {
        for (int i = 0; i < 20; ++i)
        {
            detector.on_outcome(now, 1, i % 2 == 0 || i == 19);
        }
        REQUIRE_FALSE(detector.is_available(now, 1));
    }
    SECTION("at most three of ten are ejected, and none if six fail")
    {
        for (std::size_t server = 0; server < 5; ++server)
        {
            fail(server, 5);
        }
        std::size_t ejected = 0;
        for (std::size_t i = 0; i < 10; ++i)
        {
            ejected += detector.is_available(now, i) ? 0 : 1;
        }
        REQUIRE(ejected == 3);
        fail(5, 5);
        for (std::size_t i = 0; i < 10; ++i)
        {
            REQUIRE(detector.is_available(now, i));
        }
    }
}
