// Applies the engines' measured speeds to the fleet: slowness, weight as home of shared prompt parts,
// ejection.

#include "gateway/endpoints/endpointfleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberry {

namespace {

/// Both are binary logarithms: 1 is a factor of 2. Weights are multiples of the step. A weight changes when
/// the speed differs from it by more than the hysteresis, so that an estimate near the limit between two
/// steps does not move parts back and forth.
constexpr double WeightStep = 0.5;
constexpr double WeightHysteresis = 0.7;

/// A service's engines count as uneven if at least this part (1/10) of them, and at least two, differ from
/// the median by this factor. Queues that no daemon knows of make uniform engines look different by up to a
/// half for some seconds.
constexpr size_t UnevenDivisor = 10;
constexpr size_t MinUneven = 2;
constexpr double UnevenRatio = 1.5;
/// Multiple of the median from which on an engine among uniform ones counts as slow.
constexpr double FaultRatio = 1.75;

double homeWeight(double current, double relativeSlowness)
{
    const double wanted = -std::log2(relativeSlowness);
    if (std::abs(wanted - std::log2(current)) <= WeightHysteresis)
        return current;
    return std::exp2(std::round(wanted / WeightStep) * WeightStep);
}

std::vector<EngineStanding> standingsOf(const std::vector<FleetEndpoint *> &engines)
{
    std::vector<EngineStanding> out;
    out.reserve(engines.size());
    for (const FleetEndpoint *engine : engines)
        out.push_back({engine->slowness, engine->isEjected});
    return out;
}

double settledMedian(const std::vector<FleetEndpoint *> &engines)
{
    std::vector<EngineStanding> settled;
    settled.reserve(engines.size());
    for (const FleetEndpoint *engine : engines)
        settled.push_back({engine->settledSlowness, false});
    return medianSlowness(settled);
}

// Small differences between uniform engines are errors of the estimate. Requests that move because of them
// leave the engines that cache their shared parts. Returns whether the engines differ.
bool ignoreSmallDifferences(const std::vector<FleetEndpoint *> &engines)
{
    const double median = settledMedian(engines);
    size_t different = 0;
    for (const FleetEndpoint *engine : engines) {
        const double ratio = engine->settledSlowness / median;
        different += std::max(ratio, 1 / ratio) > UnevenRatio ? 1 : 0;
    }
    if (different >= std::max(engines.size() / UnevenDivisor, MinUneven))
        return true;
    for (FleetEndpoint *engine : engines) {
        if (engine->slowness < FaultRatio * median)
            engine->slowness = engine->settledSlowness = median;
    }
    return false;
}

void updateHomeWeights(const std::vector<FleetEndpoint *> &engines, TimeMs now)
{
    const double median = settledMedian(engines);
    for (FleetEndpoint *engine : engines) {
        const double weight = homeWeight(engine->homeWeight, engine->settledSlowness / median);
        if (weight == engine->homeWeight)
            continue;
        engine->previousHomeWeight = std::exchange(engine->homeWeight, weight);
        engine->homeWeightChangedAt = now;
    }
}

} // namespace

std::vector<EndpointFleet::EjectionChange>
EndpointFleet::applySpeeds(const EngineSpeeds &speeds, DurationMs interval, Random &random, TimeMs now)
{
    ejectedInterval_ = interval;
    std::map<ServiceName, std::vector<FleetEndpoint *>> byService;
    for (std::pair<const EndpointId, FleetEndpoint> &entry : endpoints_) {
        FleetEndpoint &endpoint = entry.second;
        endpoint.slowness = speeds.slowness(endpoint.incarnation(), now);
        endpoint.settledSlowness = speeds.settledSlowness(endpoint.incarnation(), now);
        if (acceptsRequests(endpoint, endpoint.entry.service))
            byService[endpoint.entry.service].push_back(&endpoint);
    }
    std::vector<EjectionChange> changes;
    for (const std::pair<const ServiceName, std::vector<FleetEndpoint *>> &service : byService) {
        if (ignoreSmallDifferences(service.second))
            unevenServices_.insert(service.first);
        else
            unevenServices_.erase(service.first);
        updateHomeWeights(service.second, now);
        const std::vector<EjectionChange> some = applyEjections(service.second, interval, random, now);
        changes.insert(changes.end(), some.begin(), some.end());
    }
    return changes;
}

// The daemons' first requests to an ejected engine are spread over their common interval.
std::vector<EndpointFleet::EjectionChange>
EndpointFleet::applyEjections(const std::vector<FleetEndpoint *> &engines, DurationMs interval,
                              Random &random, TimeMs now)
{
    std::vector<EngineStanding> standings = standingsOf(engines);
    const double median = medianSlowness(standings);
    updateEjections(standings);
    std::vector<EjectionChange> changes;
    for (size_t i = 0; i < engines.size(); ++i) {
        FleetEndpoint &engine = *engines[i];
        if (engine.isEjected == standings[i].isEjected)
            continue;
        engine.isEjected = standings[i].isEjected;
        if (engine.isEjected)
            engine.ejectedSendAt
                = now + DurationMs{static_cast<int64_t>(random.below(static_cast<uint64_t>(interval.count)))};
        changes.push_back({engine.incarnation(), engine.isEjected, engine.slowness, median});
    }
    return changes;
}

} // namespace cranberry
