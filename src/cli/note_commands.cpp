#include "cli/note_commands.hpp"

#include "cli/note_output.hpp"
#include "cli/options.hpp"
#include "cli/platform_flags.hpp"
#include "config/checked.hpp"
#include "config/diff.hpp"
#include "config/limits.hpp"
#include "config/parse.hpp"
#include "config/release.hpp"
#include "core/clock.hpp"
#include "platform/blocking.hpp"
#include "platform/check.hpp"

#include <array>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>
#include <utility>

namespace lacewingquay::cli
{

namespace asio = boost::asio;
namespace json = boost::json;
namespace leaf = boost::leaf;

namespace
{

using platform::read_status;

config::writer writer_now(const std::string& name)
{
    const std::int64_t now_ms = unix_milliseconds(system_clock_source().wall_now());
    std::random_device random;
    std::ostringstream write_id;
    write_id << name << "#" << now_ms << "#" << std::hex << random() << random();
    return config::writer{name, write_id.str(), now_ms};
}

leaf::result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        return leaf::new_error(input_error{"FILE", path, "a file that can be read"});
    }
    std::string text;
    // One byte more than is allowed, so that the parser refuses a file that is too large.
    text.resize(config::limits::max_note_bytes + 1);
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

leaf::result<std::string> read_id(const option_set& options)
{
    BOOST_LEAF_AUTO(id, options.text("id"));
    return config::check_name(std::move(id), "ID");
}

/// The note's row, or nothing if the command has ended with `code`.
std::optional<config::note_record> load_record(const common_flags& flags, const std::string& id,
                                               int& code)
{
    const platform::row_result row =
        platform::run_with_platform(flags.platform, [&](platform::port& port)
                                    { return port.read_row(config::note_key(id), 0); });
    if (row.status == read_status::absent)
    {
        std::cerr << "refused: there is no note '" << id << "'; 'note list' shows all notes\n";
        code = exit_usage;
        return std::nullopt;
    }
    config::checked<config::note_record> record =
        config::check_input([&] { return config::parse_note_record(row.value.value); });
    if (row.status != read_status::found || !record.value)
    {
        code = platform_unavailable(flags);
        return std::nullopt;
    }
    return std::move(record.value);
}

/// The configuration with this digest, the empty one for an empty digest, or nothing if it cannot
/// be read.
std::optional<config::configuration> load_base(const common_flags& flags, const std::string& digest)
{
    if (digest.empty())
    {
        return config::configuration{};
    }
    const platform::object_result object =
        platform::run_with_platform(flags.platform, [&](platform::port& port)
                                    { return port.read_object(config::body_key(digest)); });
    if (object.status != read_status::found)
    {
        return std::nullopt;
    }
    return config::check_input([&] { return config::parse_configuration(object.body); }).value;
}

leaf::result<int> decide(std::span<const std::string> arguments, bool is_veto)
{
    option_set options(is_veto ? "lacewingquay note veto ID --reason TEXT [flags]"
                               : "lacewingquay note accept ID [flags]");
    options.add_positional("id", "id of the release note");
    add_common_flags(options);
    options.add("by", "finance_chief", "who decides, for the record");
    if (is_veto)
    {
        options.add("reason", "", "why the note is vetoed");
    }
    LACEWINGQUAY_CHECK(options.parse(arguments));
    if (options.wants_help())
    {
        std::cout << options.help();
        return exit_ok;
    }
    BOOST_LEAF_AUTO(flags, read_common_flags(options));
    BOOST_LEAF_AUTO(id, read_id(options));
    BOOST_LEAF_AUTO(by, options.text("by"));
    LACEWINGQUAY_CHECK(config::check_line(by, "--by", config::limits::max_author_length));
    std::string reason;
    if (is_veto)
    {
        BOOST_LEAF_ASSIGN(reason, options.text("reason"));
        LACEWINGQUAY_CHECK(
            config::check_line(reason, "--reason", config::limits::max_reason_length));
    }
    const auto work = [&](platform::port& port) -> asio::awaitable<config::release_result>
    {
        config::release_manager manager(port, config::release_settings{});
        if (is_veto)
        {
            co_return co_await manager.veto(id, reason, writer_now(by));
        }
        config::acceptance how;
        how.before_window_ends = true;
        co_return co_await manager.accept(id, how, writer_now(by));
    };
    return report_result(platform::run_with_platform(flags.platform, work), flags.as_json);
}

leaf::result<int> propose(std::span<const std::string> arguments)
{
    option_set options("lacewingquay note propose FILE [flags]");
    options.add_positional("file", "release note as JSON");
    add_common_flags(options);
    LACEWINGQUAY_CHECK(options.parse(arguments));
    if (options.wants_help())
    {
        std::cout << options.help();
        return exit_ok;
    }
    BOOST_LEAF_AUTO(flags, read_common_flags(options));
    BOOST_LEAF_AUTO(path, options.text("file"));
    BOOST_LEAF_AUTO(text, read_file(path));
    BOOST_LEAF_AUTO(note, config::parse_note(text));
    const auto work = [&](platform::port& port) -> asio::awaitable<config::release_result>
    {
        config::release_manager manager(port, config::release_settings{});
        co_return co_await manager.propose(note, writer_now(note.author));
    };
    const config::release_result result = platform::run_with_platform(flags.platform, work);
    if (!flags.as_json && result.status == config::release_status::done && result.record)
    {
        print_record(*result.record);
    }
    return report_result(result, flags.as_json);
}

leaf::result<int> show(std::span<const std::string> arguments)
{
    option_set options("lacewingquay note show ID [flags]");
    options.add_positional("id", "id of the release note");
    add_common_flags(options);
    LACEWINGQUAY_CHECK(options.parse(arguments));
    if (options.wants_help())
    {
        std::cout << options.help();
        return exit_ok;
    }
    BOOST_LEAF_AUTO(flags, read_common_flags(options));
    BOOST_LEAF_AUTO(id, read_id(options));
    int code = exit_ok;
    const std::optional<config::note_record> record = load_record(flags, id, code);
    if (record && flags.as_json)
    {
        std::cout << json::serialize(config::to_json(*record)) << "\n";
    }
    else if (record)
    {
        print_record(*record);
    }
    return code;
}

leaf::result<int> list(std::span<const std::string> arguments)
{
    option_set options("lacewingquay note list [flags]");
    add_common_flags(options);
    LACEWINGQUAY_CHECK(options.parse(arguments));
    if (options.wants_help())
    {
        std::cout << options.help();
        return exit_ok;
    }
    BOOST_LEAF_AUTO(flags, read_common_flags(options));
    const auto work = [](platform::port& port) -> asio::awaitable<note_overview>
    {
        config::release_manager manager(port, config::release_settings{});
        note_overview found;
        found.head = co_await manager.read_head();
        found.rows = co_await port.read_rows(std::string(config::note_prefix));
        co_return found;
    };
    const note_overview found = platform::run_with_platform(flags.platform, work);
    if (found.rows.status != read_status::found || found.head.status == read_status::unavailable)
    {
        return platform_unavailable(flags);
    }
    return print_notes(found, flags.as_json);
}

leaf::result<int> diff(std::span<const std::string> arguments)
{
    option_set options("lacewingquay note diff ID [flags]");
    options.add_positional("id", "id of the release note");
    add_common_flags(options);
    LACEWINGQUAY_CHECK(options.parse(arguments));
    if (options.wants_help())
    {
        std::cout << options.help();
        return exit_ok;
    }
    BOOST_LEAF_AUTO(flags, read_common_flags(options));
    BOOST_LEAF_AUTO(id, read_id(options));
    int code = exit_ok;
    const std::optional<config::note_record> record = load_record(flags, id, code);
    if (!record)
    {
        return code;
    }
    const std::optional<config::configuration> base = load_base(flags, record->base_digest);
    if (!base)
    {
        return platform_unavailable(flags);
    }
    if (flags.as_json)
    {
        json::object object = config::diff_to_json(record->note, *base);
        object["id"] = id;
        object["base_epoch"] = base->epoch;
        std::cout << json::serialize(object) << "\n";
        return exit_ok;
    }
    std::cout << "note " << id << " compared with epoch " << base->epoch << "\n"
              << config::diff_to_text(record->note, *base);
    return exit_ok;
}

} // namespace

int run_note_propose(std::span<const std::string> arguments)
{
    return run_checked([&] { return propose(arguments); });
}

int run_note_show(std::span<const std::string> arguments)
{
    return run_checked([&] { return show(arguments); });
}

int run_note_list(std::span<const std::string> arguments)
{
    return run_checked([&] { return list(arguments); });
}

int run_note_diff(std::span<const std::string> arguments)
{
    return run_checked([&] { return diff(arguments); });
}

int run_note_veto(std::span<const std::string> arguments)
{
    return run_checked([&] { return decide(arguments, true); });
}

int run_note_accept(std::span<const std::string> arguments)
{
    return run_checked([&] { return decide(arguments, false); });
}

std::span<const command> note_command_table()
{
    static constexpr std::array<command, 6> table{
        {{"note propose", "propose a release note", run_note_propose},
         {"note show", "show a release note, its state and cost", run_note_show},
         {"note list", "list the release notes", run_note_list},
         {"note diff", "show what a release note changes", run_note_diff},
         {"note veto", "veto a proposed release note", run_note_veto},
         {"note accept", "accept a release note before its veto window ends", run_note_accept}}};
    return table;
}

} // namespace lacewingquay::cli
