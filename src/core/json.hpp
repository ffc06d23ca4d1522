#pragma once

#include "core/error.hpp"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay
{

/// Reads the fields of one JSON object with errors that name the field. Unknown fields are refused
/// by `finish`, so that a misspelt field never passes unnoticed.
class json_reader
{
public:
    /// `where` is the path of the object, for error messages. The object must outlive the reader.
    json_reader(const boost::json::object& object, std::string where);

    /// Required fields.
    boost::leaf::result<std::string> text(std::string_view field);
    boost::leaf::result<std::int64_t> integer(std::string_view field, std::int64_t lowest,
                                              std::int64_t highest);
    boost::leaf::result<double> number(std::string_view field, double lowest, double highest);
    boost::leaf::result<const boost::json::array*> array(std::string_view field);
    boost::leaf::result<const boost::json::object*> object(std::string_view field);

    /// Optional fields with a default.
    boost::leaf::result<std::string> text_or(std::string_view field, std::string_view fallback);
    boost::leaf::result<std::int64_t> integer_or(std::string_view field, std::int64_t fallback,
                                                 std::int64_t lowest, std::int64_t highest);
    boost::leaf::result<double> number_or(std::string_view field, double fallback, double lowest,
                                          double highest);
    boost::leaf::result<bool> flag_or(std::string_view field, bool fallback);

    [[nodiscard]] bool has(std::string_view field) const;

    /// Fails if the object has a field that none of the calls above named.
    boost::leaf::result<void> finish() const;

    /// The path of `field` for error messages.
    [[nodiscard]] std::string path(std::string_view field) const;

private:
    const boost::json::value* find(std::string_view field);

    const boost::json::object& object_;
    std::string where_;
    std::vector<std::string> known_;
};

/// Parses `text` as one JSON object of at most `max_bytes`; fails with `input_error`.
boost::leaf::result<boost::json::object>
parse_json_object(std::string_view text, std::string_view where, std::size_t max_bytes = 4U << 20U);

} // namespace lacewingquay
