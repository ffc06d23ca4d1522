#pragma once

#include "cli/options.hpp"
#include "core/error.hpp"
#include "platform/http_client.hpp"

#include <boost/leaf.hpp>

#include <iostream>

namespace lacewingquay::cli
{

/// Flags of all commands that use the platform.
struct common_flags
{
    platform::http_client_settings platform;
    bool as_json = false;
};

/// Declares `--platform` and `--timeout`.
void add_platform_flags(option_set& options);

/// Declares `--platform`, `--timeout` and `--json`.
void add_common_flags(option_set& options);

/// Reads the flags above; fails with `input_error`.
boost::leaf::result<common_flags> read_common_flags(const option_set& options);

/// Says on standard error that the platform did not answer; returns `exit_failure`.
int platform_unavailable(const common_flags& flags);

/// Runs a command body that fails with `input_error`.
template <typename Function>
int run_checked(Function function)
{
    return boost::leaf::try_handle_all([&]() -> boost::leaf::result<int> { return function(); },
                                       [](const input_error& error)
                                       {
                                           std::cerr << error.message() << "\n";
                                           return static_cast<int>(exit_usage);
                                       },
                                       []
                                       {
                                           std::cerr << "unknown error\n";
                                           return static_cast<int>(exit_failure);
                                       });
}

} // namespace lacewingquay::cli
