#include "gateway/sizing/engineplan.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cranberry {

namespace {

/// Min engines of a service and of a domain: one may be lost at any time.
constexpr uint32_t MinEngines = 2;
constexpr uint32_t MinEnginesPerDomain = 2;
/// Bound of the engines planned in total, relative to the need: more would idle.
constexpr uint32_t MaxNeedFactor = 2;
/// Bounds of the mean speed of a service's engines. Beyond them the measured slowness is that of a fault.
constexpr double MinMeanSpeed = 0.5;
constexpr double MaxMeanSpeed = 1.5;
/// Mean of the running requests below which a service counts as idle.
constexpr double MaxIdleRunning = 0.05;
/// Share of the domains whose reclaimable engines may be reclaimed before replacements are available.
/// Reclaims come in waves that take several domains within seconds.
constexpr double ReclaimedShare = 0.3;
/// Share of the max engines per domain (set by operators) to start with until the demand of the first start
/// is known, since caches are empty and every prompt is prefilled in full.
constexpr double FirstStartShare = 0.5;

// Returns how many domains may lose their reclaimable engines before replacements are available.
uint32_t domainsLostTogether(uint32_t domains)
{
    const uint32_t lost = static_cast<uint32_t>(std::lround(ReclaimedShare * domains));
    return domains > 1 ? std::clamp(lost, 1U, domains - 1) : 0;
}

/// Ready engines of a service, in engines of its mean speed.
struct ReadyEngines {
    double reclaimable = 0;
    double coming = 0; ///< Reclaimable ones that are ordered.
    double fullestDomain = 0; ///< Reclaimable ones that the next loss takes.
    uint32_t onDemand = 0;
};

// Returns the speed of the service's engines relative to the usual one.
double meanSpeed(const std::map<FailureDomainName, DomainStock> &stock)
{
    double count = 0;
    double usual = 0;
    for (const std::pair<const FailureDomainName, DomainStock> &entry : stock) {
        const double engines = entry.second.reclaimable + entry.second.onDemand;
        count += engines;
        usual += engines - entry.second.slowReclaimable - entry.second.slowOnDemand;
    }
    return count == 0 ? 1 : std::clamp(usual / count, MinMeanSpeed, MaxMeanSpeed);
}

ReadyEngines readyEngines(const std::map<FailureDomainName, DomainStock> &stock, double speed)
{
    ReadyEngines ready;
    for (const std::pair<const FailureDomainName, DomainStock> &entry : stock) {
        const double reclaimable = (entry.second.reclaimable - entry.second.slowReclaimable) / speed;
        ready.reclaimable += reclaimable;
        ready.fullestDomain = std::max(ready.fullestDomain, reclaimable);
        ready.coming += entry.second.pendingReclaimable;
        ready.onDemand += entry.second.onDemand;
    }
    return ready;
}

uint32_t missingEngines(double wanted, double there)
{
    // Sums of speeds are not exact: a rounding error must not order another engine.
    constexpr double Tolerance = 0.01;
    return static_cast<uint32_t>(std::ceil(std::max(wanted - there - Tolerance, 0.0)));
}

// On-demand engines in a shortage of reclaimable ones: the need must be carried without the engines that the
// next loss takes, and the lost caches must be restored with those that are there.
uint32_t onDemandInShortage(uint32_t need, uint32_t refill, const ReadyEngines &ready)
{
    const uint32_t withRefill = std::min(need + refill, MaxNeedFactor * need);
    return std::max(missingEngines(need, ready.reclaimable - ready.fullestDomain),
                    missingEngines(withRefill, ready.reclaimable));
}

// Existing on-demand engines that stay until reclaimable engines carry the need, also after the next loss as
// far as the plan provides for one. Before any demand, accepted orders for reclaimable engines are enough.
uint32_t onDemandUntilReplaced(bool isIdle, uint32_t need, const std::vector<DomainPlan> &plan,
                               const ReadyEngines &ready)
{
    uint32_t planned = 0;
    uint32_t fullest = 0;
    for (const DomainPlan &domain : plan) {
        planned += domain.reclaimable;
        fullest = std::max(fullest, domain.reclaimable);
    }
    const double there = ready.reclaimable + (isIdle ? ready.coming : 0);
    const double lostNext = isIdle ? 0 : ready.fullestDomain;
    const uint32_t missing = std::max(missingEngines(std::min(need, planned), there),
                                      missingEngines(std::min(need, planned - fullest), there - lostNext));
    return std::min(ready.onDemand, missing);
}

// Returns the indices of the domains by price, cheapest first; domains without a price come last.
std::vector<size_t> domainsByPrice(const ScalingBounds &bounds, const std::vector<DomainPlan> &plan)
{
    std::vector<size_t> order(plan.size());
    for (size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    const auto priceOf = [&](size_t i) {
        const auto found = bounds.prices.find(plan[i].failureDomain);
        return found == bounds.prices.end() ? std::numeric_limits<double>::max() : found->second;
    };
    std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) { return priceOf(a) < priceOf(b); });
    return order;
}

} // namespace

bool isIdle(const ServiceDemand &demand)
{
    return demand.running < MaxIdleRunning;
}

uint32_t needCoveredBy(uint32_t engines, uint32_t domains)
{
    return domains == 0 ? 0 : engines * (domains - domainsLostTogether(domains)) / domains;
}

std::vector<DomainPlan> planEngines(const ScalingBounds &bounds, const SizingInput &input,
                                    const std::map<FailureDomainName, DomainStock> &stock)
{
    // Step 1. Compute the engines that the need takes, and the number per domain.
    std::vector<DomainPlan> plan;
    const uint32_t domains = static_cast<uint32_t>(stock.size());
    if (domains == 0)
        return plan;
    const uint32_t maxPerDomain = std::max(bounds.max, 1U);
    const double speed = meanSpeed(stock);
    const auto enginesOf = [speed](uint32_t usual) { return missingEngines(usual / speed, 0); };
    const uint32_t maxEngines = maxPerDomain * domains;
    const uint32_t need = std::min(std::max(enginesOf(input.need), MinEngines), maxEngines);
    const uint32_t held = std::min(std::max(enginesOf(input.heldNeed), need), maxEngines);
    const bool useReclaimable = bounds.reclaimablePrice < 1;
    const uint32_t remainingDomains = domains - domainsLostTogether(domains);
    const uint32_t neededPerDomain = (need + remainingDomains - 1) / remainingDomains;
    const uint32_t heldPerDomain
        = std::min((held + remainingDomains - 1) / remainingDomains, MaxNeedFactor * need / domains);
    const uint32_t foundPerDomain = (input.knownEngines + domains - 1) / domains;
    const uint32_t firstStartPerDomain
        = input.firstStart ? static_cast<uint32_t>(std::ceil(bounds.max * FirstStartShare)) : 0;
    const uint32_t knownPerDomain = std::max(foundPerDomain, firstStartPerDomain);
    const uint32_t perDomain = std::min(
        std::max({neededPerDomain, heldPerDomain, MinEnginesPerDomain, knownPerDomain, bounds.min}),
        maxPerDomain);
    for (const std::pair<const FailureDomainName, DomainStock> &entry : stock)
        plan.push_back({entry.first, 0, 0});
    const ReadyEngines ready = readyEngines(stock, speed);
    const std::vector<size_t> cheapest = domainsByPrice(bounds, plan);

    // Step 2. Reclaimable engines: the same number in each domain; the other domains make up for what a
    // domain in shortage lacks.
    uint32_t shortfall = 0;
    for (DomainPlan &domain : plan) {
        const DomainStock &have = stock.at(domain.failureDomain);
        domain.reclaimable = useReclaimable ? perDomain : 0;
        // Those that took the place of others can't be replaced now.
        if (useReclaimable && input.scarce && ready.reclaimable <= MaxNeedFactor * need)
            domain.reclaimable = std::max(domain.reclaimable, have.reclaimable);
        if (have.reclaimableShort)
            shortfall += perDomain - std::min(perDomain, have.reclaimable);
    }
    for (size_t i : cheapest) {
        if (!useReclaimable || input.scarce || stock.at(plan[i].failureDomain).reclaimableShort)
            continue;
        const uint32_t more = std::min(shortfall, maxPerDomain - std::min(maxPerDomain, plan[i].reclaimable));
        plan[i].reclaimable += more;
        shortfall -= more;
    }

    // Step 3. On-demand engines: all where reclaimable ones are not cheaper, else those that replace missing
    // reclaimable ones.
    uint32_t onDemand = 0;
    if (!useReclaimable)
        onDemand = held;
    else if (input.scarce)
        onDemand = onDemandInShortage(need, enginesOf(input.refill), ready);
    else
        onDemand = onDemandUntilReplaced(input.isIdle, need, plan, ready);

    // Step 4. Distribute the on-demand engines. The platform starts the minimum of a domain that is short of
    // reclaimable engines on demand by itself, so they count here; ordering them in addition would pay for
    // idle engines throughout a shortage.
    for (DomainPlan &domain : plan) {
        const DomainStock &have = stock.at(domain.failureDomain);
        if (!useReclaimable || !have.reclaimableShort)
            continue;
        domain.onDemand = bounds.min - std::min(bounds.min, have.reclaimable);
        onDemand -= std::min(onDemand, domain.onDemand);
    }
    // Existing on-demand engines stay in their domains: moving the order to a cheaper domain would stop them
    // seconds before their replacements have started.
    for (size_t i : cheapest) {
        const uint32_t existing = stock.at(plan[i].failureDomain).onDemand;
        const uint32_t more = std::min(onDemand, existing - std::min(existing, plan[i].onDemand));
        plan[i].onDemand += more;
        onDemand -= more;
    }
    for (size_t i : cheapest) {
        const uint32_t used
            = plan[i].onDemand + (useReclaimable ? stock.at(plan[i].failureDomain).reclaimable : 0);
        const uint32_t more = std::min(onDemand, maxPerDomain - std::min(maxPerDomain, used));
        plan[i].onDemand += more;
        onDemand -= more;
    }
    return plan;
}

} // namespace cranberry
