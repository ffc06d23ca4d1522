#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace lacewingquay::dispatch
{

/// Index of an interned string. Requests carry indices instead of strings, so that the path from
/// request to release copies and compares integers only. `none` is the empty string.
enum class name_id : std::uint32_t
{
    none = 0
};

/// Interns strings. Owned by the dispatch thread and shared by its cores; the message codec interns
/// the strings of received messages here. Grows with each new string and never shrinks.
/// Not thread-safe.
class name_table
{
public:
    name_table() { intern(""); }

    /// Returns the identifier of `text`; adds it if it is unknown.
    name_id intern(std::string_view text)
    {
        const auto found = ids_.find(text);
        if (found != ids_.end())
        {
            return found->second;
        }
        const auto id = static_cast<name_id>(texts_.size());
        texts_.emplace_back(text);
        ids_.emplace(texts_.back(), id);
        return id;
    }

    [[nodiscard]] const std::string& text(name_id id) const
    {
        return texts_[static_cast<std::size_t>(id)];
    }

private:
    std::deque<std::string> texts_;
    std::map<std::string, name_id, std::less<>> ids_;
};

} // namespace lacewingquay::dispatch
