#include "dispatch/driver.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::dispatch;

namespace
{

rc::Gen<fault> any_fault(std::vector<fault_kind> kinds)
{
    return rc::gen::map(rc::gen::tuple(rc::gen::elementOf(std::move(kinds)),
                                       rc::gen::inRange(300, 7'000), rc::gen::inRange(50, 2'500),
                                       rc::gen::inRange(0, 1'000)),
                        [](const std::tuple<fault_kind, int, int, int>& drawn)
                        {
                            return fault{std::get<0>(drawn), milliseconds{std::get<1>(drawn)},
                                         milliseconds{std::get<2>(drawn)},
                                         static_cast<std::uint32_t>(std::get<3>(drawn))};
                        });
}

std::string text_of(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
    {
        text += line + "\n";
    }
    return text;
}

void check_no_violation(const std::vector<fault_kind>& kinds)
{
    driver_options options;
    options.core_settings = short_settings();
    options.seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
    options.faults = *rc::gen::container<std::vector<fault>>(any_fault(kinds));
    if (options.faults.size() > 8)
    {
        options.faults.resize(8);
    }
    driver run(options);
    run.run();
    RC_LOG(text_of(run.violations));
    RC_ASSERT(run.violations.empty());
    RC_ASSERT(run.started > 500U);
}

} // namespace

// Guards against oversubscribed hosts, missing or duplicate responses, starts under outdated terms
// and requests on leaving hosts, under random faults.
TEST_CASE("safety properties hold under faults", "[dispatch]")
{
    rc::prop("kills and pauses",
             [] {
                 check_no_violation({fault_kind::kill_and_restart, fault_kind::pause});
             });
    rc::prop("all faults",
             []
             {
                 check_no_violation({fault_kind::kill_and_restart, fault_kind::pause,
                                     fault_kind::partition, fault_kind::backend_leaves,
                                     fault_kind::move_backend});
             });
}

// Shows that the test above can fail: disabling any rule leads to a violation.
TEST_CASE("a disabled safety rule is detected", "[dispatch]")
{
    const auto violations = [](std::uint64_t seed, const fault_switches& switches)
    {
        std::mt19937_64 random(seed);
        driver_options options;
        options.core_settings = short_settings();
        options.core_settings.faults = switches;
        options.seed = seed;
        for (int i = 0; i < 4; ++i)
        {
            options.faults.push_back(
                fault{random() % 2 == 0 ? fault_kind::kill_and_restart : fault_kind::pause,
                      milliseconds{1'500 + random() % 5'000}, milliseconds{50 + random() % 3'500},
                      static_cast<std::uint32_t>(random() % 5)});
        }
        driver run(options);
        run.run();
        return run.violations.size();
    };
    const auto finds_violation = [&](const fault_switches& switches, std::uint64_t limit = 400)
    {
        for (std::uint64_t seed = 1; seed <= limit; ++seed)
        {
            if (violations(seed, switches) > 0)
            {
                return true;
            }
        }
        return false;
    };
    fault_switches switches;
    SECTION("all rules enabled")
    {
        REQUIRE_FALSE(finds_violation(switches));
    }
    SECTION("terms")
    {
        switches.ignore_terms = true;
        REQUIRE(finds_violation(switches));
    }
    SECTION("copies at the successor")
    {
        switches.skip_mirror = true;
        REQUIRE(finds_violation(switches));
    }
    SECTION("waiting at takeover")
    {
        switches.skip_takeover_wait = true;
        REQUIRE(finds_violation(switches));
    }
    SECTION("start_by")
    {
        switches.skip_start_by = true;
        REQUIRE(finds_violation(switches));
    }
    SECTION("pause detection")
    {
        switches.skip_pause_detection = true;
        REQUIRE(finds_violation(switches));
    }
}
