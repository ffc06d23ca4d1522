#include "manager/sole_ownership.hpp"

#include <algorithm>

namespace lacewingquay::manager
{

void sole_ownership::confirm(steady_time requested_at)
{
    certain_until_ = std::max(certain_until_, requested_at);
    in_doubt_ = false;
}

void sole_ownership::apply(const outage_check& check)
{
    if (check.began <= certain_until_)
    {
        return;
    }
    const bool is_continuous = check.ended - check.silence < certain_until_ + takeover_time_;
    in_doubt_ = in_doubt_ || !check.confirms_outage || !is_continuous;
    if (!in_doubt_)
    {
        certain_until_ = check.began;
    }
}

} // namespace lacewingquay::manager
