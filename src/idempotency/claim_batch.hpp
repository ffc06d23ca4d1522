#pragma once

#include "core/clock.hpp"
#include "idempotency/uuid7.hpp"

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::idempotency
{

/// A claim in its persistent form. Stored answers are not persisted.
struct claim_entry
{
    uuid7 key;
    std::uint64_t fingerprint = 0;
    /// True if the request has completed, false if it may have run.
    bool completed = false;
    /// HTTP status of a completed request.
    std::uint32_t status = 0;
};

/// Claims of one owner that are written as one row `claims/<owner id>/<incarnation>/<sequence>`.
struct claim_batch
{
    /// Incremented with each batch of an incarnation.
    std::uint64_t sequence = 0;
    std::vector<claim_entry> entries;
    /// The row can be removed after this time.
    wall_time expires_at;
};

/// Serializes the batch as JSON.
std::string serialize_claim_batch(const claim_batch& batch);

/// Parses the output of `serialize_claim_batch`; fails with `input_error`.
boost::leaf::result<claim_batch> parse_claim_batch(std::string_view text);

} // namespace lacewingquay::idempotency
