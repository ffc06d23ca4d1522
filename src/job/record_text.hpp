#pragma once

#include "job/model.hpp"

#include <boost/leaf.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace lacewingquay::job
{

/// The head of a stored job: a line with the queue and the time of acceptance. The caller's body
/// follows it unchanged.
struct record_head
{
    queue from;
    std::chrono::milliseconds accepted{0};
};

/// Text of a stored job.
[[nodiscard]] std::string serialize_record(const record_head& head, std::string_view body);

/// A stored job's head and, behind it, the caller's body.
struct split_record
{
    record_head head;
    std::string_view body;
};

/// Reads `serialize_record`; fails with `input_error`. The body points into `text`.
[[nodiscard]] boost::leaf::result<split_record> parse_record(std::string_view text);

} // namespace lacewingquay::job
