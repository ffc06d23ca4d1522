#pragma once

#include "config/model.hpp"
#include "core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace lacewingquay::config
{

/// Where a configuration can be fetched from: the platform's object store, or a peer by its id.
struct body_source
{
    /// Empty for the platform.
    std::string peer;

    friend bool operator==(const body_source&, const body_source&) = default;
};

/// Action: fetch the body with this digest and report it with `body_received` or `fetch_failed`.
struct fetch_body
{
    std::uint64_t epoch = 0;
    std::string digest;
    body_source source;
};

/// Action: this configuration is in force now. Its epoch is higher than any before.
struct in_force
{
    std::uint64_t epoch = 0;
    std::string digest;
    std::shared_ptr<const configuration> value;
    /// The text whose digest it is, for peers that ask for it.
    std::shared_ptr<const std::string> body;
};

/// Action: log that something was not taken over, and why. Nothing has changed.
struct follower_problem
{
    std::string message;
};

using follower_action = std::variant<fetch_body, in_force, follower_problem>;

struct follower_settings
{
    /// A fetch without an answer for this long counts as failed.
    std::chrono::milliseconds fetch_timeout{2'000};
    /// Wait before the same source is asked for the same body again.
    std::chrono::milliseconds retry_interval{1'000};
    /// Heads above the one in force that are remembered; the lowest are dropped.
    std::size_t max_candidates = 16;
};

/// Decides which configuration an entry host has in force, from the heads that the platform and
/// peers name. Only a higher epoch replaces the one in force, whatever order messages arrive in. A
/// body that does not match its digest or does not parse changes nothing. While the body of the
/// highest head cannot be had, the next lower one is fetched. Deterministic; not thread-safe.
class follower
{
public:
    explicit follower(follower_settings settings);

    /// The platform or a peer says that this epoch is in force.
    std::vector<follower_action> head_seen(steady_time now, std::uint64_t epoch,
                                           const std::string& digest, const body_source& source);

    /// A body came from a source; it need not have been asked for if its head was seen.
    std::vector<follower_action> body_received(steady_time now, const std::string& digest,
                                               const body_source& source, std::string body);

    std::vector<follower_action> fetch_failed(steady_time now, const std::string& digest,
                                              const body_source& source);

    /// To be called about every 100 ms, so that failed and unanswered fetches are repeated.
    std::vector<follower_action> tick(steady_time now);

    /// The configuration in force; its epoch is 0 if there is none yet.
    [[nodiscard]] const in_force& current() const { return current_; }

    /// The highest epoch that a source has named, or the one in force.
    [[nodiscard]] std::uint64_t highest_seen() const;

private:
    struct offer
    {
        body_source source;
        /// Not asked again before this time.
        steady_time retry_at{};
    };

    struct candidate
    {
        /// In the order in which the sources named the head.
        std::vector<offer> offers;
        /// The fetch in progress and when it times out.
        std::optional<std::pair<body_source, steady_time>> fetching;
        /// A fetch has failed, so lower candidates are fetched as well.
        bool has_failed = false;
        /// The digest matches a body that is not this epoch's configuration.
        bool is_unusable = false;
    };

    using candidate_key = std::pair<std::uint64_t, std::string>;

    /// Issues the fetches that are due, from the highest candidate down.
    std::vector<follower_action> advance(steady_time now);
    /// Marks the source as failed for a candidate.
    void delay_source(steady_time now, candidate& entry, const body_source& source) const;
    [[nodiscard]] std::vector<candidate_key> candidates_of(const std::string& digest) const;

    follower_settings settings_;
    in_force current_;
    std::map<candidate_key, candidate> candidates_;
};

} // namespace lacewingquay::config
