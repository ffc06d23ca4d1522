#include "cli/options.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <limits>
#include <sstream>

namespace lacewingquay::cli
{

namespace po = boost::program_options;
namespace leaf = boost::leaf;

namespace
{

constexpr std::string_view environment_prefix = "LACEWINGQUAY_";

/// Maps `LACEWINGQUAY_VETO_WINDOW` to `veto-window` if the command has that flag, else to nothing.
/// Positional arguments are not read from the environment.
std::string flag_of_variable(const std::string& variable, const po::options_description& described,
                             const std::vector<std::string>& positional)
{
    if (variable.rfind(environment_prefix, 0) != 0)
    {
        return {};
    }
    std::string flag = variable.substr(environment_prefix.size());
    std::transform(flag.begin(), flag.end(), flag.begin(),
                   [](unsigned char letter)
                   { return letter == '_' ? '-' : static_cast<char>(std::tolower(letter)); });
    const bool is_positional =
        std::find(positional.begin(), positional.end(), flag) != positional.end();
    const bool is_flag = described.find_nothrow(flag, false) != nullptr && !is_positional;
    return is_flag ? flag : std::string();
}

std::vector<std::string> split_commas(const std::vector<std::string>& values)
{
    std::vector<std::string> parts;
    for (const std::string& value : values)
    {
        std::istringstream stream(value);
        std::string part;
        while (std::getline(stream, part, ','))
        {
            parts.push_back(part);
        }
    }
    return parts;
}

} // namespace

option_set::option_set(std::string usage) : usage_(std::move(usage)), described_("Flags")
{
    add_switch("help", "show this text");
}

void option_set::add(const std::string& name, const std::string& fallback, const std::string& help)
{
    po::typed_value<std::string>* value = po::value<std::string>();
    if (!fallback.empty())
    {
        value->default_value(fallback);
    }
    described_.add_options()(name.c_str(), value, help.c_str());
}

void option_set::add_list(const std::string& name, const std::string& help)
{
    described_.add_options()(name.c_str(), po::value<std::vector<std::string>>(), help.c_str());
}

void option_set::add_switch(const std::string& name, const std::string& help)
{
    described_.add_options()(name.c_str(), po::bool_switch(), help.c_str());
}

void option_set::add_positional(const std::string& name, const std::string& help)
{
    add(name, "", help);
    positions_.add(name.c_str(), 1);
    positional_names_.push_back(name);
}

leaf::result<void> option_set::parse(std::span<const std::string> arguments)
{
    try
    {
        const std::vector<std::string> copied(arguments.begin(), arguments.end());
        po::store(po::command_line_parser(copied)
                      .options(described_)
                      .positional(positions_)
                      .style(po::command_line_style::default_style &
                             ~po::command_line_style::allow_guessing)
                      .run(),
                  values_);
        po::store(po::parse_environment(
                      described_, [this](const std::string& variable)
                      { return flag_of_variable(variable, described_, positional_names_); }),
                  values_);
        po::notify(values_);
    }
    catch (const po::error& error)
    {
        return leaf::new_error(
            input_error{"command line", error.what(), "flags as listed by --help"});
    }
    return {};
}

bool option_set::wants_help() const
{
    return is_set("help");
}

std::string option_set::help() const
{
    std::ostringstream text;
    text << "Usage: " << usage_ << "\n\n"
         << described_ << "\n"
         << "Each flag can also be set as an environment variable: --some-flag is "
            "LACEWINGQUAY_SOME_FLAG.\n";
    return text.str();
}

bool option_set::has(const std::string& name) const
{
    return values_.count(name) > 0;
}

bool option_set::is_set(const std::string& name) const
{
    return has(name) && values_[name].as<bool>();
}

leaf::result<std::string> option_set::text(const std::string& name) const
{
    if (!has(name))
    {
        return leaf::new_error(input_error{"--" + name, "nothing", "a value"});
    }
    return values_[name].as<std::string>();
}

std::vector<std::string> option_set::list(const std::string& name) const
{
    if (!has(name))
    {
        return {};
    }
    return split_commas(values_[name].as<std::vector<std::string>>());
}

leaf::result<std::int64_t> option_set::integer(const std::string& name, std::int64_t lowest,
                                               std::int64_t highest) const
{
    BOOST_LEAF_AUTO(value, text(name));
    std::int64_t number = 0;
    const std::from_chars_result parsed =
        std::from_chars(value.data(), value.data() + value.size(), number);
    const bool whole = parsed.ec == std::errc{} && parsed.ptr == value.data() + value.size();
    if (!whole || number < lowest || number > highest)
    {
        return leaf::new_error(input_error{"--" + name, value,
                                           "an integer from " + std::to_string(lowest) + " to " +
                                               std::to_string(highest)});
    }
    return number;
}

leaf::result<double> option_set::number(const std::string& name, double lowest,
                                        double highest) const
{
    BOOST_LEAF_AUTO(value, text(name));
    double number = 0.0;
    const std::from_chars_result parsed =
        std::from_chars(value.data(), value.data() + value.size(), number);
    const bool whole = parsed.ec == std::errc{} && parsed.ptr == value.data() + value.size();
    if (!whole || !(number >= lowest && number <= highest))
    {
        return leaf::new_error(input_error{"--" + name, value,
                                           "a number from " + std::to_string(lowest) + " to " +
                                               std::to_string(highest)});
    }
    return number;
}

leaf::result<std::chrono::milliseconds>
option_set::duration(const std::string& name, std::chrono::milliseconds lowest,
                     std::chrono::milliseconds highest) const
{
    BOOST_LEAF_AUTO(value, text(name));
    BOOST_LEAF_AUTO(parsed, parse_duration(value, "--" + name));
    if (parsed < lowest || parsed > highest)
    {
        return leaf::new_error(input_error{"--" + name, value,
                                           "a duration from " + std::to_string(lowest.count()) +
                                               "ms to " + std::to_string(highest.count()) + "ms"});
    }
    return parsed;
}

leaf::result<address> option_set::endpoint(const std::string& name) const
{
    BOOST_LEAF_AUTO(value, text(name));
    return parse_address(value, "--" + name);
}

leaf::result<std::chrono::milliseconds> parse_duration(std::string_view text,
                                                       std::string_view where)
{
    struct unit
    {
        std::string_view suffix;
        std::int64_t milliseconds;
    };
    constexpr std::array<unit, 4> units{{{"ms", 1}, {"s", 1'000}, {"m", 60'000}, {"h", 3'600'000}}};
    std::int64_t count = 0;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), count);
    const std::string_view suffix(parsed.ptr,
                                  static_cast<std::size_t>(text.data() + text.size() - parsed.ptr));
    for (const unit& candidate : units)
    {
        const std::int64_t largest =
            std::numeric_limits<std::int64_t>::max() / candidate.milliseconds;
        if (parsed.ec == std::errc{} && suffix == candidate.suffix && count >= 0 &&
            count <= largest)
        {
            return std::chrono::milliseconds{count * candidate.milliseconds};
        }
    }
    return leaf::new_error(input_error{std::string(where), std::string(text),
                                       "a duration such as 250ms, 3s, 5m or 1h"});
}

} // namespace lacewingquay::cli
