#pragma once

#include "core/clock.hpp"
#include "membership/table_action.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::membership
{

/// Final status of a tracked write.
enum class write_status : std::uint8_t
{
    committed,
    /// A version check failed; nothing was written.
    conflict,
    /// The platform did not accept the write; nothing was written.
    not_written,
    /// The answer was lost and the row that was read back has another write_id: the write was never
    /// applied, or it was applied and has been overwritten.
    superseded
};

struct write_outcome
{
    write_status status = write_status::not_written;
    steady_time sent_at;
    /// Version of the tracked row after a commit.
    std::uint64_t version = 0;
    std::string conflict_key;
    /// The row that was read back, if the answer was lost; version 0 if the row was absent.
    std::optional<platform::row> read_back;
};

/// Tracks one write at a time until its outcome is known. If the answer is lost, the row is read
/// back and its write_id compared; the write itself is never repeated.
class tracked_write
{
public:
    /// `writer` is the prefix of all write_ids and must be unique among all processes, for example
    /// an incarnation and a purpose.
    explicit tracked_write(std::string writer, milliseconds read_retry = milliseconds{500});

    /// True while a write or its read-back is outstanding.
    [[nodiscard]] bool is_pending() const { return stage_ != stage::idle; }

    /// Returns a new, unique write_id.
    [[nodiscard]] std::string new_write_id();

    /// Returns a new action id. The owner uses it for its own reads too, so that all ids are
    /// unique.
    [[nodiscard]] std::uint64_t new_action_id() { return ++last_action_; }

    /// Begins a write. `changes` must write `key`, with a value that contains `write_id`. No other
    /// write may be pending.
    [[nodiscard]] table_write begin(steady_time now, platform::transaction changes, std::string key,
                                    std::string write_id);

    /// Handles the answer of the write. Adds a read-back to `actions` if the outcome is unknown.
    std::optional<write_outcome> on_write_result(steady_time now, const write_result& answer,
                                                 std::vector<table_action>& actions);

    /// Handles the answer of a read-back; answers of other reads are ignored.
    std::optional<write_outcome> on_read_result(steady_time now, const read_result& answer);

    /// Retries a read-back that the platform did not answer.
    void on_tick(steady_time now, std::vector<table_action>& actions);

private:
    enum class stage : std::uint8_t
    {
        idle,
        writing,
        reading,
        read_failed
    };

    table_read read_back();

    std::string writer_;
    milliseconds read_retry_;
    stage stage_ = stage::idle;
    std::uint64_t last_action_ = 0;
    std::uint64_t last_write_ = 0;
    std::uint64_t pending_action_ = 0;
    std::size_t key_index_ = 0;
    std::string key_;
    std::string write_id_;
    steady_time sent_at_;
    steady_time next_read_;
};

/// The `write_id` field of a row's value; `std::nullopt` if there is none.
[[nodiscard]] std::optional<std::string> write_id_of(std::string_view value);

} // namespace lacewingquay::membership
