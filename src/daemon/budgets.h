#pragma once

#include "daemon/configuration.h"

#include <map>

namespace cranberry {

/// Token bucket per organisation, filled with this daemon's share of the limit in predicted tokens per
/// second.
class OrganisationLimits
{
public:
    /// Takes `work` tokens, or returns the time until they are available.
    std::optional<DurationMs> take(const Organisation &organisation, uint64_t work, size_t daemons,
                                   TimeMs now);

private:
    struct Bucket {
        double level = 0;
        TimeMs filledAt;
        bool started = false;
    };
    std::map<OrganisationName, Bucket> buckets_;
};

/// Limits retries to a fraction of the successes and a minimum per second, so that a failing endpoint does
/// not multiply the load.
class RetryBudget
{
public:
    bool take(TimeMs now);
    void succeeded();
    double level() const { return level_; }

private:
    void refill(TimeMs now);

    double level_ = BurstRetries;
    TimeMs refilledAt_;

    static constexpr double BurstRetries = 20;
};

/// Upper bound of the backoff with full jitter: the base doubled per try, up to a maximum. The caller draws a
/// delay uniformly between 0 and this bound.
DurationMs backoffCeiling(uint32_t tries);

} // namespace cranberry
