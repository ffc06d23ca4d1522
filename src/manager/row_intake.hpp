#pragma once

#include "platform/store.hpp"

#include <utility>
#include <vector>

namespace lacewingquay::manager
{

/// Holds the rows of a feed while the table is read in full. A row that is stored behind the read
/// of its part comes through the feed alone, so it must not be lost while the rest is read.
class row_intake
{
public:
    /// Rows to be applied now; none while the intake is closed.
    [[nodiscard]] std::vector<adapter::row> take(const std::vector<adapter::row>& rows)
    {
        if (open_)
        {
            return rows;
        }
        held_.insert(held_.end(), rows.begin(), rows.end());
        return {};
    }

    /// The full read is applied: returns what was held, in order, and holds no more.
    [[nodiscard]] std::vector<adapter::row> open()
    {
        open_ = true;
        return std::exchange(held_, {});
    }

private:
    bool open_ = false;
    std::vector<adapter::row> held_;
};

} // namespace lacewingquay::manager
