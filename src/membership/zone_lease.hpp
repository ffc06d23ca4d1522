#pragma once

#include "core/clock.hpp"
#include "membership/table_action.hpp"
#include "membership/tracked_write.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::membership
{

struct lease_settings
{
    /// Interval at which contenders read the row.
    milliseconds poll_interval{1'000};
    /// Interval at which the lease holder renews the lease.
    milliseconds renew_interval{2'000};
    /// A contender takes the lease over once the row has kept one version for this long.
    milliseconds lease_duration{6'000};
    /// The lease holder stops acting once its last confirmed renewal was sent longer ago than this.
    /// Below `lease_duration`, so that it stops before another host takes over.
    milliseconds renew_deadline{5'000};
    /// Additional delay per rank, so that contenders do not collide. At least `poll_interval`, so
    /// that each rank reads the row written by the rank before it.
    milliseconds rank_delay{1'000};
    /// Delay after a write that the platform did not accept.
    milliseconds retry_interval{500};
    /// After a longer time without an answer, the row's version counts as newly seen: the platform
    /// was probably unavailable to the lease holder too, which gets the chance to renew first.
    milliseconds max_read_gap{3'000};
};

/// Key of a zone's lease row.
[[nodiscard]] std::string lease_key(std::string_view availability_zone);

/// One entry host's view of the lease of an availability zone. Row `lease/<zone>` is
/// `{"write_id", "holder"}` with the holder's incarnation, empty if the lease was released.
/// Only times of the local steady clock are compared.
class zone_lease
{
public:
    zone_lease(std::string_view availability_zone, std::string incarnation,
               lease_settings settings = {});

    /// `rank` is this host's position among the zone's contenders, from 0.
    [[nodiscard]] std::vector<table_action> on_tick(steady_time now, std::size_t rank);
    [[nodiscard]] std::vector<table_action> on_write_result(steady_time now,
                                                            const write_result& answer);
    [[nodiscard]] std::vector<table_action> on_read_result(steady_time now,
                                                           const read_result& answer);

    /// Stops contending; a held lease is released on the next ticks.
    void stop() { stopping_ = true; }

    /// The fencing check that every control write must contain. `std::nullopt` if this entry host
    /// must not act: it is not the lease holder, it is stopping, or its last confirmed renewal is
    /// too old.
    [[nodiscard]] std::optional<platform::row_check> fence(steady_time now) const;

    /// Incarnation of the lease holder as last read or written; empty if there is none.
    [[nodiscard]] const std::string& holder() const { return holder_; }

    /// True while this entry host holds the lease as far as it knows. It may act only while `fence`
    /// returns a check.
    [[nodiscard]] bool is_held() const { return held_; }

private:
    [[nodiscard]] table_write begin_write(steady_time now, const std::string& holder);
    [[nodiscard]] bool is_take_over_due(std::size_t rank) const;
    void finish_write(steady_time now, const write_outcome& outcome);
    void apply_row(steady_time sent_at, steady_time now, const platform::row& row);
    void confirm_unchanged(steady_time sent_at, steady_time now);
    void clear_lease(steady_time now);

    std::string key_;
    std::string incarnation_;
    lease_settings settings_;
    tracked_write write_;
    bool stopping_ = false;

    bool held_ = false;
    std::string holder_;
    std::string pending_holder_;
    std::uint64_t version_ = 0;
    std::optional<steady_time> confirmed_at_;
    steady_time next_write_;

    bool version_seen_ = false;
    steady_time version_first_seen_;
    steady_time version_last_seen_;
    steady_time last_answer_;
    std::uint64_t read_action_ = 0;
    steady_time read_sent_at_;
    steady_time next_poll_;
};

} // namespace lacewingquay::membership
