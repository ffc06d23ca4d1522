#include "cli/wave_commands.hpp"
#include "maintenance/wave_json.hpp"
#include "maintenance/wave_row.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <sstream>

using namespace lacewingquay;

namespace
{

/// In-memory platform. The response of the next transaction can be lost, before or after it
/// commits.
class memory_port final : public platform::port
{
public:
    enum class fault
    {
        none,
        lost_after_commit,
        lost_before_commit
    };

    boost::asio::awaitable<platform::row_result> read_row(std::string key, std::uint64_t) override
    {
        platform::row_result result;
        const auto found = rows.find(key);
        result.status =
            available ? platform::read_status::absent : platform::read_status::unavailable;
        if (available && found != rows.end())
        {
            result.status = platform::read_status::found;
            result.value = found->second;
        }
        co_return result;
    }

    boost::asio::awaitable<platform::rows_result> read_rows(std::string prefix) override
    {
        platform::rows_result result;
        result.status =
            available ? platform::read_status::found : platform::read_status::unavailable;
        for (const auto& [key, row] : rows)
        {
            if (available && key.starts_with(prefix))
            {
                result.rows.push_back(row);
            }
        }
        co_return result;
    }

    boost::asio::awaitable<platform::transact_result>
    transact(platform::transaction changes) override
    {
        platform::transact_result result;
        const fault current_fault = std::exchange(next_fault, fault::none);
        if (current_fault == fault::lost_before_commit)
        {
            co_return result;
        }
        for (const platform::row_check& check : changes.checks)
        {
            if (rows[check.key].version != check.version)
            {
                result.status = platform::transact_status::conflict;
                result.conflict_key = check.key;
                co_return result;
            }
        }
        for (const platform::row_write& write : changes.writes)
        {
            platform::row& row = rows[write.key];
            row = {write.key, row.version + 1, write.value.value_or("")};
        }
        result.status = current_fault == fault::lost_after_commit
                            ? platform::transact_status::unknown
                            : platform::transact_status::committed;
        co_return result;
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

    std::map<std::string, platform::row> rows;
    bool available = true;
    fault next_fault = fault::none;
};

/// Runs one command to completion and returns its exit code.
int run(boost::asio::awaitable<int> command)
{
    boost::asio::io_context context;
    int code = -1;
    boost::asio::co_spawn(context, std::move(command),
                          [&code](const std::exception_ptr&, int result) { code = result; });
    context.run();
    return code;
}

struct command_fixture
{
    int start(const std::string& id)
    {
        return run(cli::start_wave(
            port, {id, maintenance::scope_kind::all, "", std::chrono::hours{1}}, stamp(), out));
    }

    int pause(const std::string& id, bool value)
    {
        return run(cli::pause_wave(port, id, value, "why", stamp(), out));
    }

    int show(const std::string& id) { return run(cli::show_waves(port, id, false, out)); }

    maintenance::wave stored(const std::string& id)
    {
        return maintenance::wave_from_json(port.rows["wave/" + id].value).value();
    }

    cli::command_stamp stamp() { return {1'000, "write" + std::to_string(++runs)}; }

    memory_port port;
    std::ostringstream out;
    int runs = 0;
};

} // namespace

// Guards against two concurrent waves and against a second wave with the same id.
TEST_CASE("only one wave can be started", "[maintenance]")
{
    command_fixture test;
    CHECK(test.start("w1") == cli::exit_ok);
    CHECK(test.start("w1") == cli::exit_conflict);
    CHECK(test.start("w2") == cli::exit_conflict);
    CHECK(test.stored("w1").deadline_ms == 1'000 + 3'600'000);
    CHECK(test.stored("w1").state == maintenance::wave_state::requested);
}

// Guards against a write that is reported as failed, or repeated, because its response was lost.
TEST_CASE("a lost response is read back", "[maintenance]")
{
    command_fixture test;
    test.port.next_fault = memory_port::fault::lost_after_commit;
    CHECK(test.start("w1") == cli::exit_ok);
    CHECK(test.port.rows["wave/w1"].version == 1);
    test.port.next_fault = memory_port::fault::lost_after_commit;
    CHECK(test.pause("w1", true) == cli::exit_ok);
    CHECK(test.port.rows["wave/w1"].version == 2);
    test.port.next_fault = memory_port::fault::lost_before_commit;
    CHECK(test.pause("w1", false) == cli::exit_failure);
    CHECK(test.stored("w1").paused);
}

// Guards against a pause that is not stored, or that is applied to a finished wave.
TEST_CASE("pause and resume change the row", "[maintenance]")
{
    command_fixture test;
    CHECK(test.pause("w1", true) == cli::exit_usage);
    REQUIRE(test.start("w1") == cli::exit_ok);
    CHECK(test.pause("w1", true) == cli::exit_ok);
    CHECK(test.stored("w1").paused);
    CHECK(test.stored("w1").reason == "why");
    CHECK(test.pause("w1", false) == cli::exit_ok);
    CHECK_FALSE(test.stored("w1").paused);
    maintenance::wave over = test.stored("w1");
    over.state = maintenance::wave_state::finished;
    test.port.rows["wave/w1"].value = maintenance::wave_to_json(over);
    CHECK(test.pause("w1", true) == cli::exit_conflict);
    CHECK(test.start("w2") == cli::exit_ok);
}

// Guards against a status that hides malformed rows or an outage of the platform.
TEST_CASE("status reports malformed rows and outages", "[maintenance]")
{
    command_fixture test;
    REQUIRE(test.start("w1") == cli::exit_ok);
    CHECK(test.show("") == cli::exit_ok);
    CHECK(test.out.str().find("w1  requested  scope all") != std::string::npos);
    CHECK(test.show("w9") == cli::exit_usage);
    test.port.rows["wave/w2"] = {"wave/w2", 1, "{}"};
    CHECK(test.show("") == cli::exit_failure);
    CHECK(test.start("w3") == cli::exit_conflict);
    test.port.available = false;
    CHECK(test.show("") == cli::exit_failure);
    CHECK(test.start("w3") == cli::exit_failure);
    CHECK(test.pause("w1", true) == cli::exit_failure);
}
