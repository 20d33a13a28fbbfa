#pragma once

#include "daemon/configuration.h"

#include <map>

namespace cranberry {

/// Per-organisation token buckets: this daemon's share of each limit, in predicted tokens a second.
class OrganisationLimits
{
public:
    /// Takes `work` tokens, or returns how long until they would be there.
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

/// Retries as a share of successes, so that a failing endpoint never multiplies the load.
class RetryBudget
{
public:
    bool take();
    void succeeded();
    double level() const { return level_; }

private:
    double level_ = 20;
};

/// Full jitter: uniform between 0 and the doubled base, in milliseconds.
DurationMs backoffCeiling(uint32_t tries);

} // namespace cranberry
