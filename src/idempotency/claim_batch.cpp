#include "idempotency/claim_batch.hpp"

#include "core/json.hpp"

#include <limits>
#include <optional>

namespace lacewingquay::idempotency
{

namespace leaf = boost::leaf;

namespace
{

constexpr std::int64_t max_integer = std::numeric_limits<std::int64_t>::max();

/// Each entry is an array `[key, fingerprint, status]`; status 0 means that it may have run.
leaf::result<claim_entry> parse_entry(const boost::json::value& value)
{
    const boost::json::array* fields = value.if_array();
    const bool is_well_formed = fields != nullptr && fields->size() == 3 &&
                                (*fields)[0].is_string() && (*fields)[1].is_string() &&
                                (*fields)[2].is_int64();
    const std::optional<uuid7> key =
        is_well_formed ? parse_uuid7((*fields)[0].get_string()) : std::nullopt;
    // The fingerprint is written as 16 hexadecimal digits, because many JSON readers lose precision
    // on 64-bit numbers.
    const std::string fingerprint = is_well_formed ? std::string((*fields)[1].get_string()) : "";
    const bool is_hex = fingerprint.size() == 16 &&
                        fingerprint.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!key || !is_hex || (*fields)[2].get_int64() < 0 || (*fields)[2].get_int64() > 999)
    {
        return leaf::new_error(input_error{"claim batch.entries", boost::json::serialize(value),
                                           "[UUIDv7, 16 hexadecimal digits, status]"});
    }
    claim_entry result;
    result.key = *key;
    result.fingerprint = std::stoull(fingerprint, nullptr, 16);
    result.status = static_cast<std::uint32_t>((*fields)[2].get_int64());
    result.completed = result.status > 0;
    return result;
}

std::string hex(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result(16, '0');
    for (std::size_t i = result.size(); i > 0; --i)
    {
        result[i - 1] = digits[value & 0xfU];
        value >>= 4U;
    }
    return result;
}

} // namespace

std::string serialize_claim_batch(const claim_batch& batch)
{
    boost::json::array entries;
    for (const claim_entry& entry : batch.entries)
    {
        const std::int64_t status = entry.completed ? static_cast<std::int64_t>(entry.status) : 0;
        entries.push_back(boost::json::array{entry.key.text(), hex(entry.fingerprint), status});
    }
    const boost::json::object object{
        {"sequence", static_cast<std::int64_t>(batch.sequence)},
        {"expires_at_ms", unix_milliseconds(batch.expires_at)},
        {"entries", std::move(entries)},
    };
    return boost::json::serialize(object);
}

leaf::result<claim_batch> parse_claim_batch(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parse_json_object(text, "claim batch"));
    json_reader reader(object, "claim batch");
    claim_batch result;
    BOOST_LEAF_AUTO(sequence, reader.integer("sequence", 0, max_integer));
    BOOST_LEAF_AUTO(expires, reader.integer("expires_at_ms", 0, max_integer));
    BOOST_LEAF_AUTO(entries, reader.array("entries"));
    leaf::result<void> finished = reader.finish();
    if (!finished)
    {
        return finished.error();
    }
    result.sequence = static_cast<std::uint64_t>(sequence);
    result.expires_at = wall_time{milliseconds{expires}};
    for (const boost::json::value& value : *entries)
    {
        BOOST_LEAF_AUTO(entry, parse_entry(value));
        result.entries.push_back(entry);
    }
    return result;
}

} // namespace lacewingquay::idempotency
