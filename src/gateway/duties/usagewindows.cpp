#include "gateway/duties/usagewindows.h"

namespace cranberry {

namespace {

constexpr size_t MaxWindows = 8; ///< Usage must be reported well before the eighth window ends.

} // namespace

void UsageWindows::count(const OrganisationName &organisation, TimeMs beganAt)
{
    ++counts_[windowAt(beganAt)][organisation];
    while (counts_.size() > MaxWindows)
        counts_.erase(counts_.begin());
}

} // namespace cranberry
