#include "replay/replay.hpp"

#include "cli/options.hpp"
#include "core/json.hpp"
#include "replay/core_adapter.hpp"

#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>
#include <utility>

namespace lacewingquay::replay
{

namespace leaf = boost::leaf;
namespace json = boost::json;

namespace
{

/// Latest time in a trace: ten days. Milliseconds.
constexpr std::int64_t latest = 864'000'000;

leaf::result<std::unique_ptr<core_adapter>>
make_adapter(const json::object& line, const std::string& where, std::ostream& out)
{
    json_reader header(line, where);
    BOOST_LEAF_AUTO(name, header.text("core"));
    BOOST_LEAF_AUTO(failure, header.text("failure"));
    std::string known;
    for (const replayable_core& core : replayable_cores())
    {
        if (core.name == name)
        {
            BOOST_LEAF_AUTO(adapter, core.make(header));
            leaf::result<void> finished = header.finish();
            if (!finished)
            {
                return finished.error();
            }
            out << name << ": " << failure << "\n";
            return adapter;
        }
        known.append(known.empty() ? "" : ", ").append(core.name);
    }
    return leaf::new_error(input_error{header.path("core"), name, known});
}

leaf::result<void> replay_line(const json::object& line, const std::string& where,
                               core_adapter& adapter, std::int64_t& last_at,
                               replay_summary& summary, std::ostream& out)
{
    json_reader fields(line, where);
    BOOST_LEAF_AUTO(at, fields.integer("at", last_at, latest));
    last_at = at;
    BOOST_LEAF_AUTO(event, fields.text("event"));
    const json::array* stated = nullptr;
    if (fields.has("outcome"))
    {
        BOOST_LEAF_ASSIGN(stated, fields.array("outcome"));
    }
    BOOST_LEAF_AUTO(decisions, adapter.apply(steady_time(std::chrono::hours{1} + milliseconds{at}),
                                             event, fields));
    leaf::result<void> finished = fields.finish();
    if (!finished)
    {
        return finished.error();
    }
    ++summary.events;
    // Read back, so that numbers have the types that a parsed trace has.
    const std::string text = json::serialize(decisions);
    out << where << " " << at << " ms " << event << "\n  decided " << text << "\n";
    if (stated == nullptr)
    {
        return {};
    }
    ++summary.compared;
    const bool same = json::parse(text) == json::value(*stated);
    summary.differences += same ? 0 : 1;
    out << "  stated  " << json::serialize(*stated) << (same ? "" : "  DIFFERENT") << "\n";
    return {};
}

} // namespace

leaf::result<replay_summary> replay_trace(std::istream& trace, std::ostream& out)
{
    replay_summary summary;
    std::unique_ptr<core_adapter> adapter;
    std::int64_t last_at = 0;
    std::string text;
    for (std::size_t number = 1; std::getline(trace, text); ++number)
    {
        const std::string where = "line " + std::to_string(number);
        if (text.empty())
        {
            continue;
        }
        BOOST_LEAF_AUTO(line, parse_json_object(text, where));
        if (!adapter)
        {
            BOOST_LEAF_ASSIGN(adapter, make_adapter(line, where, out));
            continue;
        }
        leaf::result<void> replayed = replay_line(line, where, *adapter, last_at, summary, out);
        if (!replayed)
        {
            return replayed.error();
        }
    }
    if (!adapter)
    {
        return leaf::new_error(input_error{"line 1", "nothing", "an object that names the core"});
    }
    return summary;
}

int run_replay(std::span<const std::string> arguments)
{
    cli::option_set options("lacewingquay replay FILE");
    options.add_positional("file", "trace of JSON lines");
    return leaf::try_handle_all(
        [&]() -> leaf::result<int>
        {
            leaf::result<void> parsed = options.parse(arguments);
            if (!parsed)
            {
                return parsed.error();
            }
            if (options.wants_help())
            {
                std::cout << options.help();
                return static_cast<int>(cli::exit_ok);
            }
            BOOST_LEAF_AUTO(name, options.text("file"));
            std::ifstream file(name);
            if (!file)
            {
                return leaf::new_error(input_error{"file", name, "a file that can be read"});
            }
            BOOST_LEAF_AUTO(summary, replay_trace(file, std::cout));
            std::cout << summary.events << " events, " << summary.compared << " compared, "
                      << summary.differences << " different\n";
            return static_cast<int>(summary.differences == 0 ? cli::exit_ok : cli::exit_failure);
        },
        [](const input_error& error)
        {
            std::cerr << error.message() << "\n";
            return static_cast<int>(cli::exit_usage);
        },
        [] { return static_cast<int>(cli::exit_failure); });
}

} // namespace lacewingquay::replay
