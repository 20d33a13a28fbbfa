#pragma once

#include "gateway/sizing/enginecapacity.h"

#include <map>
#include <vector>

namespace cranberry {

/// Engines wanted in one failure domain.
struct DomainPlan {
    FailureDomainName failureDomain;
    uint32_t onDemand = 0;
    uint32_t reclaimable = 0;
};

/// What there is in one failure domain.
struct DomainStock {
    uint32_t onDemand = 0; ///< Ready, not leaving.
    uint32_t reclaimable = 0;
    uint32_t coming = 0; ///< Reclaimable ones that were ordered and accepted, and are not there yet.
    bool reclaimableShort = false; ///< None could be had lately.
    uint32_t onTrial = 0; ///< On demand, of a version that is being rolled out; not counted above.
    uint32_t barred = 0; ///< On demand, of a version that gets no requests any more; not counted above.

    friend bool operator==(const DomainStock &, const DomainStock &) = default;
};

/// What engines are planned for.
struct SizingQuestion {
    ServiceDemand demand;
    /// Engines that were enough before; counts until the demand has been seen for a while.
    uint32_t known = 0;
    /// The whole system starts for the first time: nothing tells yet how many will be needed.
    bool firstStart = false;
    bool scarce = false; ///< Reclaimable ones can't be had in any domain.
};

/// Below this there is no demand yet.
bool isIdle(const ServiceDemand &demand);

/// How many engines each failure domain gets, for a demand. Without a network or a clock, for tests.
///
/// Reclaimable engines are taken where they are cheaper. A failure domain's reclaimable ones may go all at
/// once, and reclaims come in waves, so they are spread over all domains, and the rest must carry the demand
/// without one domain in four or two in six. Where
/// none can be had, other domains get more. Where none can be had anywhere, the next reclaim may come before
/// new ones do: then engines on demand, in the cheapest domains, make up for one domain more, and for several
/// times the usual need once most domains are lost.
std::vector<DomainPlan> planEngines(const ScalingBounds &bounds, const EngineCapacity &capacity,
                                    const SizingQuestion &question,
                                    const std::map<FailureDomainName, DomainStock> &stock);

} // namespace cranberry
