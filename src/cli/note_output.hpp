#pragma once

#include "config/release.hpp"
#include "platform/port.hpp"

#include <cstdint>
#include <string>

namespace lacewingquay::cli
{

/// The head and the rows of all notes.
struct note_overview
{
    config::head_state head;
    platform::rows_result rows;
};

/// A time such as `2026-12-04T05:00:00Z`.
[[nodiscard]] std::string iso_time(std::int64_t unix_ms);

/// Prints a note's state, times, decision and cost.
void print_record(const config::note_record& record);

/// Prints the head and a line for each note; returns an exit code. Rows that cannot be read are
/// named on standard error and make the command fail after the others are printed.
int print_notes(const note_overview& found, bool as_json);

/// Prints the result of a proposal or decision and returns the exit code that goes with it.
int report_result(const config::release_result& result, bool as_json);

} // namespace lacewingquay::cli
