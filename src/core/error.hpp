#pragma once

#include <string>

namespace lacewingquay
{

/// LEAF error object: input that a parse or validation function refuses.
/// `where` names the field or setting, `value` what was given, `allowed` what is accepted.
struct input_error
{
    std::string where;
    std::string value;
    std::string allowed;

    /// One line for logs, HTTP answers and the command line.
    [[nodiscard]] std::string message() const
    {
        return where + ": got '" + value + "', expected " + allowed;
    }
};

} // namespace lacewingquay
