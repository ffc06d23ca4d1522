#pragma once

#include "job/model.hpp"

#include <boost/leaf.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingquay::job
{

/// The header of a stored job: one line with the queue and the time of acceptance. The caller's
/// body follows it unchanged.
struct record_header
{
    queue source_queue;
    std::chrono::milliseconds accepted{0};
};

/// Returns the text of a stored job.
[[nodiscard]] std::string serialize_record(const record_header& header, std::string_view body);

/// The header and the body of a stored job.
struct parsed_record
{
    record_header header;
    std::string_view body;
};

/// Parses the text of `serialize_record`; fails with `input_error`. The body refers to `text`.
[[nodiscard]] boost::leaf::result<parsed_record> parse_record(std::string_view text);

/// Returns the text of a stored cancellation; `cancelled` is on the store's steady clock.
[[nodiscard]] std::string serialize_cancellation(std::chrono::milliseconds cancelled);

/// Parses the text of `serialize_cancellation`; fails with `input_error`. Nothing if the text does
/// not name the time, as that of earlier versions.
[[nodiscard]] boost::leaf::result<std::optional<std::chrono::milliseconds>>
parse_cancellation(std::string_view text);

} // namespace lacewingquay::job
