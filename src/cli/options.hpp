#pragma once

#include "core/address.hpp"

#include <boost/leaf.hpp>
#include <boost/program_options.hpp>

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::cli
{

/// Exit codes of all commands.
enum exit_code : int
{
    exit_ok = 0,
    /// The command ran and failed, for example because the platform could not be reached.
    exit_failure = 1,
    /// Flags, environment variables or input files were refused; nothing was done.
    exit_usage = 2,
    /// Another operator's change or veto came first; nothing was done.
    exit_conflict = 3
};

/// Reads flags and environment variables of one command. A flag `--veto-window` can also be given
/// as the environment variable `LACEWINGQUAY_VETO_WINDOW`; the flag wins. All readers fail with
/// `input_error` that names the setting, the value and what is allowed.
class option_set
{
public:
    /// `usage` is the first line of the help text, for example `lacewingquay entry [flags]`.
    explicit option_set(std::string usage);

    /// Declares a flag with a value. An empty `fallback` means that there is none.
    void add(const std::string& name, const std::string& fallback, const std::string& help);
    /// Declares a flag that can be given several times (comma-separated in the environment).
    void add_list(const std::string& name, const std::string& help);
    /// Declares a flag without a value.
    void add_switch(const std::string& name, const std::string& help);
    /// Declares the positional arguments, in order; `optional` is a last one that can be left out.
    void add_positional(const std::string& name, const std::string& help);

    /// Reads the arguments that follow the subcommand.
    boost::leaf::result<void> parse(std::span<const std::string> arguments);

    /// True if `--help` was given.
    [[nodiscard]] bool wants_help() const;
    [[nodiscard]] std::string help() const;

    [[nodiscard]] bool has(const std::string& name) const;
    [[nodiscard]] bool is_set(const std::string& name) const;
    [[nodiscard]] boost::leaf::result<std::string> text(const std::string& name) const;
    [[nodiscard]] std::vector<std::string> list(const std::string& name) const;
    [[nodiscard]] boost::leaf::result<std::int64_t>
    integer(const std::string& name, std::int64_t lowest, std::int64_t highest) const;
    [[nodiscard]] boost::leaf::result<double> number(const std::string& name, double lowest,
                                                     double highest) const;
    /// A duration such as `250ms`, `3s`, `5m` or `1h`.
    [[nodiscard]] boost::leaf::result<std::chrono::milliseconds>
    duration(const std::string& name, std::chrono::milliseconds lowest,
             std::chrono::milliseconds highest) const;
    [[nodiscard]] boost::leaf::result<address> endpoint(const std::string& name) const;

private:
    std::string usage_;
    boost::program_options::options_description described_;
    boost::program_options::positional_options_description positions_;
    std::vector<std::string> positional_names_;
    boost::program_options::variables_map values_;
};

/// Parses a duration such as `250ms`, `3s`, `5m` or `1h`; fails with `input_error` naming `where`.
boost::leaf::result<std::chrono::milliseconds> parse_duration(std::string_view text,
                                                              std::string_view where);

} // namespace lacewingquay::cli
