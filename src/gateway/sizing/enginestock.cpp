#include "gateway/sizing/enginestock.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr double MinSlowness = 0.25; ///< Below, the figure is an artefact of few samples.

void count(DomainStock &domain, const FleetEndpoint &endpoint)
{
    const bool reclaimable = endpoint.entry.reclaimable;
    ++(reclaimable ? domain.reclaimable : domain.onDemand);
    (reclaimable ? domain.slowReclaimable : domain.slowOnDemand)
        += 1 - 1 / std::max(endpoint.slowness, MinSlowness);
}

} // namespace

std::map<FailureDomainName, DomainStock> countStock(const ServedService &service, const EndpointFleet &fleet,
                                                    const RolloutView &rollouts)
{
    const RolloutRecord *rollout = rollouts.undecided(service.name);
    std::map<FailureDomainName, DomainStock> stock;
    for (const std::pair<const FailureDomainName, double> &price : service.scaling->prices)
        stock[price.first] = {};
    for (const std::pair<const EndpointId, FleetEndpoint> &entry : fleet.all()) {
        const EndpointEntry &endpoint = entry.second.entry;
        if (endpoint.service != service.name || endpoint.leaving || entry.second.gone)
            continue;
        DomainStock &domain = stock[endpoint.failureDomain];
        const bool onTrial = rollout && rollout->target == endpoint.version;
        if (!onTrial && fleet.isVersionActive(entry.second))
            count(domain, entry.second);
        else if (!endpoint.reclaimable)
            ++(onTrial ? domain.onTrial : domain.barred);
    }
    return stock;
}

uint32_t maxOnTrial(const std::map<FailureDomainName, DomainStock> &stock)
{
    uint32_t highest = 0;
    for (const std::pair<const FailureDomainName, DomainStock> &domain : stock)
        highest = std::max(highest, domain.second.onTrial);
    return highest;
}

uint32_t fullestDomain(const std::map<FailureDomainName, DomainStock> &stock)
{
    uint32_t highest = 0;
    for (const std::pair<const FailureDomainName, DomainStock> &domain : stock)
        highest = std::max(highest, domain.second.reclaimable);
    return highest;
}

} // namespace cranberry
