#include "gateway/requests/returnschedule.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Callers wait for up to this part (1/3) of their remaining time.
constexpr int64_t WaitDivisor = 3;
/// Bounds the time that is stated when units become available very slowly.
constexpr double MaxWaitMs = 3'600'000;

} // namespace

ReturnTime ReturnSchedule::next(const OrganisationName &organisation, const RefusedWork &work,
                                DurationMs earliest, DurationMs jitter, TimeMs now)
{
    const double nowMs = static_cast<double>(now.count);
    const auto last = lastReturnMs_.find(organisation);
    const bool isFirst = last == lastReturnMs_.end() || last->second <= nowMs;
    double wait = std::max(static_cast<double>((isFirst ? earliest + jitter : earliest).count),
                           work.missing / work.unitsPerMs);
    if (!isFirst)
        wait = std::max(wait, last->second - nowMs + work.units / work.unitsPerMs);
    wait = std::min(wait, MaxWaitMs);
    const bool isUsable = wait <= static_cast<double>((work.remaining / WaitDivisor).count);
    if (isUsable)
        lastReturnMs_[organisation] = nowMs + wait;
    return {{static_cast<int64_t>(std::ceil(wait))}, isUsable};
}

void ReturnSchedule::retain(const ServingConfiguration &configuration, TimeMs now)
{
    std::erase_if(lastReturnMs_, [&](const std::pair<const OrganisationName, double> &entry) {
        return entry.second <= static_cast<double>(now.count)
            || (!entry.first.value.empty() && !configuration.findOrganisation(entry.first));
    });
}

} // namespace cranberry
