#include "gateway/duties/usagewindows.h"

namespace cranberry {

namespace {

constexpr size_t MostWindows = 8; ///< Reports are due well before the eighth window is over.

} // namespace

void UsageWindows::count(const OrganisationName &organisation, TimeMs beganAt)
{
    ++counts_[windowAt(beganAt)][organisation];
    while (counts_.size() > MostWindows)
        counts_.erase(counts_.begin());
}

} // namespace cranberry
