#pragma once

#include "gateway/gatewayevents.h"

#include <map>
#include <vector>

namespace cranberry {

/// Target number of engines in one failure domain.
struct DomainPlan {
    FailureDomainName failureDomain;
    uint32_t onDemand = 0;
    uint32_t reclaimable = 0;
};

/// Engines that exist in one failure domain.
struct DomainStock {
    uint32_t onDemand = 0; ///< Ready and not leaving.
    uint32_t reclaimable = 0;
    uint32_t pendingReclaimable = 0; ///< Reclaimable engines ordered and accepted, not listed yet.
    bool reclaimableShort = false; ///< The platform recently had no reclaimable engines.
    uint32_t onTrial = 0; ///< On-demand engines of a version being rolled out; not counted above.
    uint32_t barred = 0; ///< On-demand engines of a barred version; not counted above.
    /// Engines of usual speed that the slow ones of `reclaimable` lack; negative if they are faster.
    double slowReclaimable = 0;
    double slowOnDemand = 0; ///< The same for `onDemand`.

    friend bool operator==(const DomainStock &, const DomainStock &) = default;
};

/// Input of `planEngines`. Needs are in engines of the service's usual speed.
struct SizingInput {
    uint32_t need = 0; ///< Carries the offered work.
    uint32_t heldNeed = 0; ///< Higher than `need` while a lower need has not persisted.
    uint32_t refill = 0; ///< Restores the caches of lost engines, beside `need`.
    bool isIdle = false; ///< There is practically no demand yet.
    /// Number of engines found when this daemon became leader; a lower bound until the demand has been
    /// observed for a while.
    uint32_t knownEngines = 0;
    /// The whole system starts for the first time, so there is no earlier demand to go by.
    bool firstStart = false;
    bool scarce = false; ///< No domain has reclaimable engines available.
};

/// Returns whether there is practically no demand yet.
bool isIdle(const ServiceDemand &demand);

/// Returns the need that a number of engines covers when the next reclaim has taken place.
uint32_t needCoveredBy(uint32_t engines, uint32_t domains);

/// Plans the number of engines in each failure domain for a need. Uses no network or clock, so that tests
/// can call it directly.
///
/// Reclaimable engines are used where they are cheaper. All reclaimable engines of a failure domain may be
/// reclaimed at once, and reclaims come in waves. So they are spread over all domains, and the remaining ones
/// must carry the need without one domain in four or two in six. Where a domain has none available, the
/// other domains get more. Where no domain has any, the next reclaim may come before replacements do: then
/// on-demand engines in the cheapest domains make up for the loss of one more domain and help to restore the
/// caches of the engines lost already. They stay until the reclaimable engines that the next loss would leave
/// carry the need.
std::vector<DomainPlan> planEngines(const ScalingBounds &bounds, const SizingInput &input,
                                    const std::map<FailureDomainName, DomainStock> &stock);

} // namespace cranberry
