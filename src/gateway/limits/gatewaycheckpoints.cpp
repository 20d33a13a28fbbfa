// Balances that survive a restart: what the leader writes, and what a starting daemon takes.

#include "gateway/gateway.h"

namespace cranberry {

ObservedBalances Gateway::observeBalances(TimeMs now)
{
    if (!configuration_)
        return {};
    refillQuotas(now);
    return cranberry::observeBalances(*configuration_, quotas_, peers_,
                                      {settings_.instance, settings_.incarnation}, now);
}

void Gateway::inheritUnits(const QuotaCheckpoint &checkpoint, DurationMs age, TimeMs now)
{
    if (!configuration_)
        return;
    refillQuotas(now);
    peers_.resumeServingCount(checkpoint.sharers, now);
    for (const ServedOrganisation &organisation : configuration_->organisations) {
        const auto level = checkpoint.levels.find(organisation.name);
        if (level == checkpoint.levels.end() || organisation.ratePerSecond <= 0)
            continue;
        const double units = inheritedUnits(checkpoint, level->second, quotas_.limitOf(organisation), age);
        quotas_.inherit(organisation.name, units, now);
    }
}

} // namespace cranberry
