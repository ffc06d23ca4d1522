#include "cli/host_commands.hpp"
#include "cli/options.hpp"
#include "membership/fake_table.hpp"
#include "placement/follower.hpp"
#include "placement/mover.hpp"
#include "placement/plan.hpp"
#include "placement/row.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <sstream>

using namespace lacewingquay;
using namespace lacewingquay::placement;

namespace
{

const steady_time start{std::chrono::hours{1}};

std::string invalid_field(std::string_view value)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string>
        {
            BOOST_LEAF_AUTO(placement, parse_placement(value, "z1"));
            return placement.hosts.empty() ? "no hosts" : "";
        },
        [](const input_error& error) { return error.where; }, [] { return std::string("?"); });
}

std::string row_with(const std::string& entry)
{
    return R"({"write_id":"w","epoch":3,"hosts":{"h":)" + entry + "}}";
}

config::configuration configuration_of(const std::vector<std::pair<std::string, std::string>>& list)
{
    config::configuration configuration;
    for (const char* pool : {"p0", "p1"})
    {
        configuration.pools[pool].name = pool;
    }
    for (const std::pair<std::string, std::string>& item : list)
    {
        config::host& host = configuration.hosts[item.first];
        host.name = item.first;
        host.availability_zone = item.second;
        host.initial_pool = "p0";
    }
    return configuration;
}

/// A mover on the lease holder of a zone with one entry host. Its actions are executed on a table.
struct mover_fixture
{
    explicit mover_fixture(const std::string& zone) : moves(zone, "e#1")
    {
        members.push_back({"e", "e#1", zone, {"127.0.0.1", 1}, {"127.0.0.1", 2}});
        fence = platform::row_check{"lease/" + zone, 0};
    }

    void answer(membership::fake_table& table, const membership::table_action& action)
    {
        if (const auto* read = std::get_if<membership::table_read>(&action))
        {
            moves.on_read_result(now, {read->action_id, table.read(read->key, read->not_version)});
        }
        else if (const auto* list = std::get_if<membership::table_list>(&action))
        {
            moves.on_list_result({list->action_id, table.list(list->prefix)});
        }
        else if (const auto* write = std::get_if<membership::table_write>(&action))
        {
            last = table.transact(write->changes).status;
            static_cast<void>(moves.on_write_result(now, {write->action_id, {last, {}, {1}}}));
        }
    }

    std::vector<membership::table_action> tick()
    {
        now += milliseconds{100};
        return moves.on_tick(now, {fence, members, members_epoch, reports, 0, 0});
    }

    /// Reports, as the zone's only entry host, that `epoch` is in use.
    void report(std::uint64_t epoch)
    {
        membership::heartbeat message;
        message.id = "e";
        message.incarnation = "e#1";
        message.availability_zone = members.front().availability_zone;
        message.placement[message.availability_zone] = {epoch, epoch};
        reports.on_heartbeat(now, message);
    }

    void run(membership::fake_table& table, int ticks)
    {
        for (int count = 0; count < ticks; ++count)
        {
            for (const membership::table_action& action : tick())
            {
                answer(table, action);
            }
        }
    }

    mover moves;
    steady_time now = start;
    std::optional<platform::row_check> fence;
    std::vector<routing::member> members;
    std::uint64_t members_epoch = 0;
    membership::epoch_reports reports;
    platform::transact_status last = platform::transact_status::unknown;
};

/// Platform client for the commands, backed by a table in memory.
class table_port final : public platform::port
{
public:
    boost::asio::awaitable<platform::row_result> read_row(std::string key,
                                                          std::uint64_t not_version) override
    {
        co_return table.read(key, not_version);
    }
    boost::asio::awaitable<platform::rows_result> read_rows(std::string prefix) override
    {
        co_return table.list(prefix);
    }
    boost::asio::awaitable<platform::transact_result>
    transact(platform::transaction changes) override
    {
        const platform::transact_result result = table.transact(changes);
        co_return lose_answers ? platform::transact_result{} : result;
    }
    boost::asio::awaitable<platform::object_result> read_object(std::string) override
    {
        co_return platform::object_result{};
    }
    boost::asio::awaitable<bool> write_object(std::string, std::string) override
    {
        co_return false;
    }
    boost::asio::awaitable<platform::reboot_status> reboot(std::string, std::string) override
    {
        co_return platform::reboot_status::unavailable;
    }

    boost::asio::awaitable<platform::hosts_result> list_hosts() override
    {
        co_return platform::hosts_result{};
    }

    membership::fake_table table;
    bool lose_answers = false;
};

int run_command(boost::asio::awaitable<int> command)
{
    boost::asio::io_context context;
    int code = -1;
    boost::asio::co_spawn(context, std::move(command),
                          [&](const std::exception_ptr& failure, int result)
                          { code = failure ? -2 : result; });
    context.run();
    return code;
}

} // namespace

// Guards against invalid placement rows that are accepted.
TEST_CASE("invalid placement rows are rejected with the field's name", "[placement]")
{
    const std::string where = "placement/z1.hosts.h";
    CHECK(invalid_field(row_with(R"({"pool":"p","state":"serving","epoch":3})")).empty());
    CHECK(invalid_field("") == "placement/z1");
    CHECK(invalid_field("[]") == "placement/z1");
    CHECK(invalid_field(R"({"epoch":1,"hosts":{}})") == "placement/z1.write_id");
    CHECK(invalid_field(R"({"write_id":"w","epoch":0,"hosts":{}})") == "placement/z1.epoch");
    CHECK(invalid_field(row_with("1")) == where);
    CHECK(invalid_field(row_with(R"({"pool":"","state":"serving","epoch":3})")) == where + ".pool");
    CHECK(invalid_field(row_with(R"({"pool":"p","state":"gone","epoch":3})")) == where + ".state");
    CHECK(invalid_field(row_with(R"({"pool":"p","state":"serving","epoch":4})")) ==
          where + ".epoch");
    CHECK(invalid_field(row_with(R"({"pool":"p","state":"draining","epoch":3})")) ==
          where + ".next_pool");
    CHECK(invalid_field(row_with(R"({"pool":"p","state":"serving","epoch":3,"next_pool":"q"})")) ==
          where + ".next_pool");
    CHECK(invalid_field(row_with(R"({"pool":"p","state":"maintenance","epoch":3,
        "next_state":"leaving"})")) == where + ".next_state");
    CHECK(invalid_field(row_with(R"({"pool":"p","state":"serving","epoch":3,"slots":1})")) ==
          where + ".slots");
    rc::prop("a written row reads back the same",
             [](std::uint32_t epoch, const std::map<std::string, std::uint8_t>& drawn)
             {
                 zone_placement row{"z1", epoch + 1ULL, {}};
                 for (const std::pair<const std::string, std::uint8_t>& item : drawn)
                 {
                     const bool moving = item.second % 2 == 0;
                     row.hosts["h" + std::to_string(item.second)] = {
                         "p", moving ? host_state::draining : host_state::leaving, 1,
                         moving ? "q" : "", moving ? host_state::serving : host_state::leaving};
                 }
                 const zone_placement read =
                     parse_placement(placement_value(row, "w"), "z1").value();
                 RC_ASSERT(read.epoch == row.epoch);
                 RC_ASSERT(std::equal(read.hosts.begin(), read.hosts.end(), row.hosts.begin(),
                                      row.hosts.end(),
                                      [](const auto& left, const auto& right) {
                                          return left.first == right.first &&
                                                 is_same_placement(left.second, right.second);
                                      }));
             });
}

// Guards against a snapshot that reverts to an older placement.
TEST_CASE("the follower never applies a lower epoch", "[placement]")
{
    follower rows;
    rows.on_zones({"z1"});
    const auto row = [](std::uint64_t epoch, std::uint64_t version)
    {
        return platform::row{"placement/z1", version,
                             placement_value({"z1", epoch, {}}, std::to_string(version))};
    };
    CHECK(rows.on_row(row(4, 9)) == row_status::applied);
    CHECK(rows.on_row(row(3, 10)) == row_status::not_newer);
    CHECK(rows.on_row({"placement/z1", 11, "garbage"}) == row_status::refused);
    CHECK(rows.on_row({"lease/z1", 11, "{}"}) == row_status::refused);
    CHECK(rows.zones().at("z1").epoch == 4);
    const auto read = std::get<membership::table_read>(rows.on_tick(start).front());
    CHECK(read.not_version == 9);
    CHECK(!rows.is_read_since(start));
    CHECK(!rows.on_read_result({read.action_id, {platform::read_status::unchanged, {}}}));
    CHECK(rows.is_read_since(start));
}

// Guards against a leaving host that gets new work for more than one tick after the host list
// arrived.
TEST_CASE("a host listed as leaving is written as leaving in the next tick", "[placement]")
{
    membership::fake_table table;
    table.transact({{}, {{"config/head", "{}"}}});
    mover_fixture holder("z1");
    holder.moves.on_configuration(configuration_of({{"h1", "z1"}, {"h2", "z1"}}), 1);
    holder.run(table, 30);
    REQUIRE(table.version("placement/z1") == 1);
    holder.moves.on_host_list(holder.now,
                              {platform::read_status::found, {{"h1", true}, {"h2", false}}});
    holder.run(table, 1);
    const zone_placement row = parse_placement(table.value("placement/z1"), "z1").value();
    CHECK(row.hosts.at("h1").state == host_state::leaving);
    CHECK(row.hosts.at("h1").epoch == 2);
    CHECK(row.hosts.at("h2").state == host_state::serving);
}

// Guards against a request, a drain or a release note that keeps a host in service although the
// platform lists it as leaving.
TEST_CASE("no state or request overrides a host listed as leaving", "[placement]")
{
    rc::prop("every host listed as leaving is leaving in the next plan",
             [](std::uint8_t leaving_bits, std::uint8_t drained_bits)
             {
                 const config::configuration configuration = configuration_of(
                     {{"h0", "z1"}, {"h1", "z1"}, {"h2", "z1"}, {"h3", "z1"}, {"h4", "z1"}});
                 zone_placement row{"z1", 4, {}};
                 row.hosts["h0"] = {"p0", host_state::serving, 1, "", host_state::serving};
                 row.hosts["h1"] = {"p0", host_state::draining, 2, "p1", host_state::serving};
                 row.hosts["h2"] = {"p1", host_state::draining, 3, "", host_state::maintenance};
                 row.hosts["h3"] = {"p1", host_state::maintenance, 4, "", host_state::serving};
                 const auto bit = [](std::uint8_t bits, std::string_view host)
                 {
                     return (bits >> (host.back() - '0') & 1) != 0;
                 };
                 std::vector<pending_request> requests;
                 for (const char* host : {"h0", "h1", "h2", "h3"})
                 {
                     const auto kind = static_cast<request_kind>(*rc::gen::inRange(0, 4));
                     requests.push_back({{host, kind, kind == request_kind::move ? "p1" : ""}, ""});
                 }
                 const zone_plan plan = plan_zone(
                     row, 5,
                     {configuration,
                      [&](std::string_view host) {
                          return bit(leaving_bits, host) ? host_list_status::leaving
                                                         : host_list_status::stable;
                      },
                      [&](std::string_view host, std::uint64_t) { return bit(drained_bits, host); },
                      [](std::string_view) { return true; }, requests});
                 RC_ASSERT(plan.next.hosts.size() == 5U);
                 for (const std::pair<const std::string, host_placement>& item : plan.next.hosts)
                 {
                     RC_ASSERT(!bit(leaving_bits, item.first) ||
                               item.second.state == host_state::leaving);
                     RC_ASSERT(item.second.epoch <= 5U);
                 }
             });
}

// Guards against a move that completes without the report of an entry host that registered during
// the drain.
TEST_CASE("a drain does not end with an outdated member list", "[placement]")
{
    membership::fake_table table;
    table.transact({{}, {{"config/head", "{}"}, {"members", "{}"}}});
    mover_fixture holder("z1");
    holder.moves.on_configuration(configuration_of({{"h1", "z1"}}), 1);
    holder.run(table, 30);
    holder.moves.request({"h1", request_kind::move, "p1"});
    for (int count = 0; count < 50; ++count)
    {
        holder.report(2);
        holder.run(table, 1);
    }
    CHECK(holder.last == platform::transact_status::conflict);
    CHECK(table.value("placement/z1").find("draining") != std::string::npos);
    holder.members_epoch = 1;
    for (int count = 0; count < 50; ++count)
    {
        holder.report(2);
        holder.run(table, 1);
    }
    CHECK(parse_placement(table.value("placement/z1"), "z1").value().hosts.at("h1").pool == "p1");
    CHECK(table.list("moves/z1/").rows.size() == 1);
}

// Guards against a withdrawn host whose entry is removed while requests may still be dispatched to
// it.
TEST_CASE("a withdrawn host becomes leaving and is removed once drained", "[placement]")
{
    membership::fake_table table;
    table.transact({{}, {{"config/head", "{}"}}});
    mover_fixture holder("z1");
    holder.moves.on_configuration(configuration_of({{"h1", "z1"}, {"h2", "z1"}}), 1);
    holder.run(table, 30);
    holder.moves.on_configuration(configuration_of({{"h2", "z1"}, {"h3", "z1"}}), 1);
    for (int count = 0; count < 50; ++count)
    {
        holder.report(1);
        holder.run(table, 1);
    }
    const zone_placement row = parse_placement(table.value("placement/z1"), "z1").value();
    CHECK(row.hosts.at("h1").state == host_state::leaving);
    CHECK(row.hosts.at("h3").state == host_state::serving);
    for (int count = 0; count < 50; ++count)
    {
        holder.report(row.epoch);
        holder.run(table, 1);
    }
    CHECK(!parse_placement(table.value("placement/z1"), "z1").value().hosts.contains("h1"));
}

// Guards against a host in two zones' rows after a release note has changed its zone.
TEST_CASE("a host is added only when no other zone's row has it", "[placement]")
{
    membership::fake_table table;
    table.transact({{}, {{"config/head", "{}"}}});
    mover_fixture first("z1");
    mover_fixture second("z2");
    first.moves.on_configuration(configuration_of({{"h1", "z1"}, {"h2", "z2"}}), 1);
    first.run(table, 30);
    CHECK(table.value("placement/z1").find("h1") != std::string::npos);
    second.moves.on_configuration(configuration_of({{"h1", "z2"}, {"h2", "z2"}}), 2);
    second.run(table, 30);
    // The head is still at version 1, so a write planned from version 2 fails its check.
    CHECK(table.version("placement/z2") == 0);
    table.transact({{}, {{"config/head", "{}"}}});
    second.run(table, 30);
    CHECK(table.value("placement/z2").find("h1") == std::string::npos);
    CHECK(table.value("placement/z2").find("h2") != std::string::npos);
}

// Guards against moved hosts that return to their initial pools when the row is missing or corrupt.
TEST_CASE("a mover does not replace a missing, older or unreadable row", "[placement]")
{
    membership::fake_table table;
    table.transact({{}, {{"config/head", "{}"}, {"placement/z1", "garbage"}}});
    mover_fixture holder("z1");
    holder.moves.on_configuration(configuration_of({{"h1", "z1"}}), 1);
    holder.run(table, 30);
    CHECK(table.value("placement/z1") == "garbage");
    CHECK(holder.moves.fault().find("placement/z1") == 0);
    table.transact({{}, {{"placement/z1", std::nullopt}}});
    for (int count = 0; count < 30; ++count)
    {
        holder.now += milliseconds{100};
        for (const membership::table_action& action : holder.moves.on_tick(
                 holder.now, {holder.fence, holder.members, 0, holder.reports, 7, 0}))
        {
            holder.answer(table, action);
        }
    }
    CHECK(table.version("placement/z1") == 0);
    CHECK(!holder.moves.fault().empty());
}

// Guards against operators' requests that get lost, and against an output that does not mention a
// conflicting request.
TEST_CASE("host commands write one request and name a conflicting one", "[placement]")
{
    table_port port;
    std::ostringstream out;
    std::ostringstream err;
    const auto request = [&](request_kind kind, const std::string& host, const std::string& pool)
    {
        return run_command(cli::request_host(
            port, {{host, kind, pool}, "ann", "w" + pool, milliseconds{0}, milliseconds{1}},
            {out, err}));
    };
    CHECK(request(request_kind::leave, "h1", "") == cli::exit_failure);
    port.table.transact(
        {{}, {{"placement/z1", row_with(R"({"pool":"p","state":"serving","epoch":3})")}}});
    CHECK(request(request_kind::move, "h", "q") == cli::exit_ok);
    CHECK(request(request_kind::leave, "h", "") == cli::exit_conflict);
    CHECK(err.str().find("move to q by ann") != std::string::npos);
    CHECK(run_command(cli::list_hosts(port, {out, err})) == cli::exit_ok);
    CHECK(out.str().find("move to q by ann") != std::string::npos);
    port.table.transact(
        {{}, {{"move/h", request_value({{"h", request_kind::move, "q"}, "ann", "no pool"}, "m")}}});
    port.lose_answers = true;
    CHECK(request(request_kind::return_to_service, "h", "") == cli::exit_ok);
    CHECK(port.table.value("move/h").find("return") != std::string::npos);
}
