#include "gateway/sizing/engineplan.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cranberry {

namespace {

/// Min engines of a service: one may be lost at any time.
constexpr uint32_t MinEngines = 2;
constexpr uint32_t MinEnginesPerDomain = 2;
/// With this share of the needed engines the demand is still served, with longer queues.
constexpr double ShortageCapacityFactor = 0.7;
/// When more than half of the domains have lost their reclaimable engines in a shortage, the others mostly
/// follow, and the few engines left must prefill again what all of them had cached. With three of four
/// domains lost, this multiple of the usual need is planned. With `ShortageCapacityFactor` alone one request
/// in three was answered in time until new engines were available. The increase does not start at the first
/// loss: where only one domain is reclaimed it costs more than it gains.
constexpr double WaveCapacityFactor = 2.5;
constexpr double WaveStartShare = 0.5;
constexpr double WaveFullShare = 0.75;
constexpr double MaxIdleRunning = 0.05;
/// Share of the domains whose reclaimable engines may be reclaimed before replacements are available.
/// Reclaims come in waves: of six domains, two were repeatedly reclaimed within ten seconds.
constexpr double ReclaimedShare = 0.3;
/// Share of the max engines per domain (set by operators) to start with until the demand of the first start
/// is known, since caches are empty and every prompt is prefilled in full. With two engines per domain a
/// heavy day was served to 0.83 instead of 0.90.
constexpr double FirstStartShare = 0.5;

uint32_t enginesFor(const ServiceDemand &demand, const EngineCapacity &perEngine)
{
    const double byReading = demand.prefillTokensPerSecond / perEngine.tokensPerSecond;
    const double byRunning = demand.running / perEngine.running;
    return static_cast<uint32_t>(std::ceil(std::max(byReading, byRunning)));
}

// Returns how many domains may lose their reclaimable engines before replacements are available.
uint32_t domainsLostTogether(uint32_t domains)
{
    const uint32_t lost = static_cast<uint32_t>(std::lround(ReclaimedShare * domains));
    return domains > 1 ? std::clamp(lost, 1U, domains - 1) : 0;
}

// Returns the multiple of the usual need that must remain after the next reclaim in a shortage, given the
// share of domains that have lost their reclaimable engines.
double shortageCapacityFactor(double lostShare)
{
    const double wave = std::clamp((lostShare - WaveStartShare) / (WaveFullShare - WaveStartShare), 0.0, 1.0);
    return ShortageCapacityFactor + wave * (WaveCapacityFactor - ShortageCapacityFactor);
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

std::vector<DomainPlan> planEngines(const ScalingBounds &bounds, const EngineCapacity &capacity,
                                    const SizingInput &input,
                                    const std::map<FailureDomainName, DomainStock> &stock)
{
    // Step 1. Compute the engines that the demand needs, and the number per domain.
    std::vector<DomainPlan> plan;
    const uint32_t domains = static_cast<uint32_t>(stock.size());
    if (domains == 0)
        return plan;
    const uint32_t maxPerDomain = std::max(bounds.max, 1U);
    const uint32_t needed
        = std::clamp(enginesFor(input.demand, capacity), MinEngines, maxPerDomain * domains);
    const bool useReclaimable = bounds.reclaimablePrice < 1;
    const uint32_t remainingDomains = domains - domainsLostTogether(domains);
    const uint32_t neededPerDomain = (needed + remainingDomains - 1) / remainingDomains;
    const uint32_t foundPerDomain = (input.knownEngines + domains - 1) / domains;
    const uint32_t firstStartPerDomain
        = input.firstStart ? static_cast<uint32_t>(std::ceil(bounds.max * FirstStartShare)) : 0;
    const uint32_t knownPerDomain = std::max(foundPerDomain, firstStartPerDomain);
    const uint32_t perDomain = std::clamp(std::max({neededPerDomain, MinEnginesPerDomain, knownPerDomain}),
                                          std::max(bounds.min, 1U), maxPerDomain);
    uint32_t readyReclaimable = 0;
    uint32_t readyOnDemand = 0;
    uint32_t coming = 0;
    uint32_t fullestDomain = 0;
    uint32_t lostDomains = 0; // Domains without reclaimable engines.
    for (const std::pair<const FailureDomainName, DomainStock> &entry : stock) {
        plan.push_back({entry.first, 0, 0});
        readyReclaimable += entry.second.reclaimable;
        readyOnDemand += entry.second.onDemand;
        coming += entry.second.pendingReclaimable;
        fullestDomain = std::max(fullestDomain, entry.second.reclaimable);
        lostDomains += entry.second.reclaimable == 0 ? 1 : 0;
    }
    const std::vector<size_t> cheapest = domainsByPrice(bounds, plan);

    // Step 2. Reclaimable engines: the same number in each domain; the other domains make up for what a
    // domain in shortage lacks.
    uint32_t shortfall = 0;
    for (DomainPlan &domain : plan) {
        const DomainStock &have = stock.at(domain.failureDomain);
        domain.reclaimable = useReclaimable ? perDomain : 0;
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

    // Step 3. On-demand engines: the full need where reclaimable ones are not cheaper; in a shortage of
    // reclaimable engines, what would be missing after the next reclaim. Otherwise the existing ones stay
    // until reclaimable engines carry the demand; before any demand, accepted orders for reclaimable engines
    // are enough.
    uint32_t onDemand = 0;
    if (!useReclaimable) {
        onDemand = needed;
    } else if (input.scarce) {
        const uint32_t neededInShortage = static_cast<uint32_t>(
            std::ceil(needed * shortageCapacityFactor(static_cast<double>(lostDomains) / domains)));
        const uint32_t remaining = readyReclaimable - fullestDomain;
        onDemand = neededInShortage - std::min(neededInShortage, remaining);
    } else if (readyReclaimable + (isIdle(input.demand) ? coming : 0) < needed) {
        onDemand = std::min(readyOnDemand, needed);
    }

    // Step 4. Distribute the on-demand engines. The platform starts the minimum of a domain that is short of
    // reclaimable engines on demand by itself, so they count here; ordering them in addition would pay for
    // one or two idle engines throughout a shortage.
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
