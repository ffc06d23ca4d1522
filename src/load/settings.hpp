#pragma once

#include "cli/options.hpp"
#include "core/address.hpp"

#include <boost/leaf.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::load
{

/// An entry host as the balancer sees it.
struct weighted_entry
{
    address where;
    /// Share of the requests relative to the other entry hosts.
    double weight = 1.0;
};

/// Mean arrival rate of one service.
struct service_rate
{
    std::string service;
    /// Requests a second.
    double rate = 0.0;
};

/// A time in which a service's rate is multiplied.
struct burst
{
    std::string service;
    double factor = 1.0;
    std::chrono::milliseconds start{0};
    std::chrono::milliseconds length{0};
};

/// Settings of one run of the load tool.
struct load_settings
{
    std::vector<weighted_entry> entries;
    std::vector<service_rate> rates;
    std::vector<burst> bursts;
    std::chrono::milliseconds duration{10'000};
    /// Results of requests that arrive before this are not counted.
    std::chrono::milliseconds warm_up{0};
    /// Time that a caller waits for its answer.
    std::chrono::milliseconds deadline{2'000};
    /// Share of requests that are POST with an idempotency key; the rest are GET.
    double write_share = 0.0;
    /// Times that a caller repeats a request that has not completed, each time through another
    /// entry host; a POST keeps its idempotency key.
    std::int64_t repeats = 0;
    /// Value of `Lacewingquay-Priority`; empty for the service's own.
    std::string priority;
    std::uint64_t seed = 1;
    /// File for one JSON line per attempt; empty for none.
    std::string records;
    /// True if answers have the form of the backend server stand-in and are to be verified.
    bool verify = true;
    /// Prefix of paths; empty when the target is a backend server itself.
    bool direct = false;
};

/// Declares the flags of `lacewingquay load`.
void declare_load_options(cli::option_set& options);

/// Reads the settings; fails with `input_error`.
boost::leaf::result<load_settings> parse_load_settings(const cli::option_set& options);

/// Parses `IP:PORT` or `IP:PORT=WEIGHT`.
boost::leaf::result<weighted_entry> parse_weighted_entry(std::string_view text);

/// Parses `SERVICE=RATE`.
boost::leaf::result<service_rate> parse_service_rate(std::string_view text);

/// Parses `SERVICE=FACTOR@START+LENGTH`, for example `gift_shop=5@10s+4s`.
boost::leaf::result<burst> parse_burst(std::string_view text);

} // namespace lacewingquay::load
