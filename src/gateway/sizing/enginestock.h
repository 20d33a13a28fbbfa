#pragma once

#include "gateway/endpoints/endpointfleet.h"
#include "gateway/rollout/rolloutview.h"
#include "gateway/sizing/engineplan.h"

namespace cranberry {

/// Counts a service's engines by failure domain; leaving engines are not counted.
std::map<FailureDomainName, DomainStock> countStock(const ServedService &service, const EndpointFleet &fleet,
                                                    const RolloutView &rollouts);

/// Returns the largest number of engines on trial in any domain. Engines of a version being rolled out run on
/// demand beside the others and may be listed late: an order for the listed number would stop those not
/// listed yet. So during a roll-out only the additional engines of a shortage are ordered, and every domain
/// is assumed to have as many engines on trial as the one with the most.
uint32_t maxOnTrial(const std::map<FailureDomainName, DomainStock> &stock);
/// Returns the largest number of reclaimable engines in any domain.
uint32_t fullestDomain(const std::map<FailureDomainName, DomainStock> &stock);

} // namespace cranberry
