#include "gateway/sizing/engineplan.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cranberry {

namespace {

/// The least there is of a service: one may be lost at any time.
constexpr uint32_t LeastEngines = 2;
constexpr uint32_t LeastEachDomain = 2;
/// With this part of the engines wanted the demand is still carried, with longer queues.
constexpr double TightPart = 0.7;
/// Once more than half of the domains have lost their reclaimable engines in a shortage, the last ones mostly
/// follow, and the few engines that are left read again what lay at all of them: with three of four lost
/// so many times the usual need is planned for. With the tight part alone one request in three was answered
/// in time until others could be had. From the first loss on it costs more than it brings where one domain is
/// all that is taken.
constexpr double WavePart = 2.5;
constexpr double FirstLossPart = 0.5;
constexpr double WaveLossPart = 0.75;
constexpr double IdleRunning = 0.05;
/// Part of the domains whose reclaimable engines may go within the time in which none come. Reclaims come in
/// waves: with many domains one is a small part, and two of six went within ten seconds again and again.
constexpr double LostPart = 0.3;
/// Operators state the most engines of a domain. Until the first start's demand is known, this part of it is
/// taken: nothing is cached yet and all is read. With two a domain a heavy day was served to 0.83, not 0.90.
constexpr double FirstStartPart = 0.5;

uint32_t enginesFor(const ServiceDemand &demand, const EngineCapacity &each)
{
    const double byReading = demand.prefillTokensPerSecond / each.tokensPerSecond;
    const double byRunning = demand.running / each.running;
    return static_cast<uint32_t>(std::ceil(std::max(byReading, byRunning)));
}

// Domains whose reclaimable engines may go before new ones come.
uint32_t lostAtOnce(uint32_t domains)
{
    const uint32_t lost = static_cast<uint32_t>(std::lround(LostPart * domains));
    return domains > 1 ? std::clamp(lost, 1U, domains - 1) : 0;
}

// The part of the demand that engines are to carry after the next reclaim of a shortage, by the part of the
// domains that have lost theirs.
double partInShortage(double lostPart)
{
    const double wave = std::clamp((lostPart - FirstLossPart) / (WaveLossPart - FirstLossPart), 0.0, 1.0);
    return TightPart + wave * (WavePart - TightPart);
}

// Domains by price, cheapest first; those without a price are last.
std::vector<size_t> byPrice(const ScalingBounds &bounds, const std::vector<DomainPlan> &plan)
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
    return demand.running < IdleRunning;
}

std::vector<DomainPlan> planEngines(const ScalingBounds &bounds, const EngineCapacity &capacity,
                                    const SizingQuestion &question,
                                    const std::map<FailureDomainName, DomainStock> &stock)
{
    // Step 1. What the demand needs, and what each domain holds of it.
    std::vector<DomainPlan> plan;
    const uint32_t domains = static_cast<uint32_t>(stock.size());
    if (domains == 0)
        return plan;
    const uint32_t most = std::max(bounds.most, 1U);
    const uint32_t needed = std::clamp(enginesFor(question.demand, capacity), LeastEngines, most * domains);
    const bool cheap = bounds.reclaimablePrice < 1;
    const uint32_t left = domains - lostAtOnce(domains);
    const uint32_t spread = (needed + left - 1) / left;
    const uint32_t foundEach = (question.known + domains - 1) / domains;
    const uint32_t firstEach
        = question.firstStart ? static_cast<uint32_t>(std::ceil(bounds.most * FirstStartPart)) : 0;
    const uint32_t knownEach = std::max(foundEach, firstEach);
    const uint32_t each
        = std::clamp(std::max({spread, LeastEachDomain, knownEach}), std::max(bounds.least, 1U), most);
    uint32_t readyReclaimable = 0;
    uint32_t readyOnDemand = 0;
    uint32_t coming = 0;
    uint32_t fullestDomain = 0;
    uint32_t lost = 0; // Domains without reclaimable engines.
    for (const std::pair<const FailureDomainName, DomainStock> &entry : stock) {
        plan.push_back({entry.first, 0, 0});
        readyReclaimable += entry.second.reclaimable;
        readyOnDemand += entry.second.onDemand;
        coming += entry.second.coming;
        fullestDomain = std::max(fullestDomain, entry.second.reclaimable);
        lost += entry.second.reclaimable == 0 ? 1 : 0;
    }
    const std::vector<size_t> cheapest = byPrice(bounds, plan);

    // Step 2. Reclaimable ones: the same in each domain; what a short domain lacks goes to the others.
    uint32_t missing = 0;
    for (DomainPlan &domain : plan) {
        const DomainStock &have = stock.at(domain.failureDomain);
        domain.reclaimable = cheap ? each : 0;
        if (have.reclaimableShort)
            missing += each - std::min(each, have.reclaimable);
    }
    for (size_t i : cheapest) {
        if (!cheap || question.scarce || stock.at(plan[i].failureDomain).reclaimableShort)
            continue;
        const uint32_t more = std::min(missing, most - std::min(most, plan[i].reclaimable));
        plan[i].reclaimable += more;
        missing -= more;
    }

    // Step 3. On demand: all that is needed where there are no cheaper ones; where those are scarce, what
    // would be missing after the next reclaim. Else those that are there stay until the others carry the
    // demand; before there is any, that the others come is enough.
    uint32_t onDemand = 0;
    if (!cheap) {
        onDemand = needed;
    } else if (question.scarce) {
        const uint32_t tight
            = static_cast<uint32_t>(std::ceil(needed * partInShortage(static_cast<double>(lost) / domains)));
        const uint32_t remaining = readyReclaimable - fullestDomain;
        onDemand = tight - std::min(tight, remaining);
    } else if (readyReclaimable + (isIdle(question.demand) ? coming : 0) < needed) {
        onDemand = std::min(readyOnDemand, needed);
    }

    // Step 4. A domain that is short of reclaimable ones gets its least on demand anyway: the platform sees
    // to that. They count; ordered besides, one or two engines would be paid for nothing through a shortage.
    for (DomainPlan &domain : plan) {
        const DomainStock &have = stock.at(domain.failureDomain);
        if (!cheap || !have.reclaimableShort)
            continue;
        domain.onDemand = bounds.least - std::min(bounds.least, have.reclaimable);
        onDemand -= std::min(onDemand, domain.onDemand);
    }
    // Those that are there stay where they are: ordered in a cheaper domain instead, they would be stopped
    // seconds before the others have started.
    for (size_t i : cheapest) {
        const uint32_t there = stock.at(plan[i].failureDomain).onDemand;
        const uint32_t more = std::min(onDemand, there - std::min(there, plan[i].onDemand));
        plan[i].onDemand += more;
        onDemand -= more;
    }
    for (size_t i : cheapest) {
        const uint32_t used = plan[i].onDemand + (cheap ? stock.at(plan[i].failureDomain).reclaimable : 0);
        const uint32_t more = std::min(onDemand, most - std::min(most, used));
        plan[i].onDemand += more;
        onDemand -= more;
    }
    return plan;
}

} // namespace cranberry
