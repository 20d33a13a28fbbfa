// Selects the endpoint for a request: which ones may get it, which of them probably caches its prompt, and
// the expected cost of each.

#include "gateway/endpoints/endpointfleet.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <xxhash.h>

namespace cranberry {

namespace {

/// Prefill speed assumed by endpoint selection; only its ratio to the penalties below matters.
constexpr double PrefillTokensPerMs = 50;
/// Factor on the prefill time of the request itself: prefill lengthens the queue for all requests behind it,
/// and a shared part that is prefilled again evicts another one.
constexpr double PrefillCostFactor = 3;
/// Factor on the duration of a transfer to an engine that is not the part's home. It delays no other request,
/// but the copy evicts another part there, and transfers cost money.
constexpr double CopyCostFactor = 2;
/// Each running request lengthens a step of the whole batch slightly.
constexpr double RunningPenaltyMs = 4;
/// An endpoint that fails every request has the same cost as a wait of this length.
constexpr double FailurePenaltyMs = 3000;
/// An endpoint that is missing from the newest list is used last.
constexpr double UnlistedPenaltyMs = 1000;
/// An engine whose KV cache is full preempts a running request, which is prefilled again behind all others.
constexpr double PreemptionPenaltyMs = 3000;
/// A request that is not sent is tried again after this time.
constexpr double MinHoldMs = 25;
/// Factor by which the estimates of equal engines differ from the usual speed.
constexpr double SlownessError = 1.25;
/// Part of an engine's KV cache that running requests may hold. The rest is for what they generate until they
/// end, and for requests of other daemons that are not known yet.
constexpr double MaxHeldCacheShare = 0.9;

uint32_t runningAt(const FleetEndpoint &endpoint)
{
    return endpoint.running + endpoint.peersRunning;
}

/// Returns the slowness reduced towards 1 by the error of the estimate. It is continuous at 1: a step there
/// would move requests back and forth.
double certainSlowness(const FleetEndpoint &endpoint)
{
    if (endpoint.slowness > 1)
        return std::max(endpoint.slowness / SlownessError, 1.0);
    return std::min(endpoint.slowness * SlownessError, 1.0);
}

/// Time that the engine needs to prefill the tokens, at the speed that endpoint selection assumes.
double prefillMs(double tokens, const FleetEndpoint &endpoint)
{
    return tokens / PrefillTokensPerMs * certainSlowness(endpoint);
}

/// Returns by how much the prefill of `tokens` at this engine exceeds the bound on pauses.
double excessPrefillMs(double tokens, const FleetEndpoint &endpoint, const PlacementQuery &query)
{
    return std::max(tokens / query.usualTokensPerMs * endpoint.slowness - query.maxPauseMs, 0.0);
}

void recordResting(PlacementResult &result, TimeMs endsAt)
{
    if (result.problem == PlacementProblem::NoEndpoint) {
        result.problem = PlacementProblem::AllResting;
        result.restEndsAt = endsAt;
    } else if (result.problem == PlacementProblem::AllResting) {
        result.restEndsAt = std::min(result.restEndsAt, endsAt);
    }
}

double slotsOf(const FleetEndpoint &endpoint, const PlacementQuery &query)
{
    return query.engine ? query.engine->slots : endpoint.entry.slots;
}

} // namespace

uint64_t rendezvousWeight(const std::string &key, const EndpointId &id)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), XXH3_64bits(id.value.data(), id.value.size()));
}

double weightedRank(const std::string &key, const EndpointId &id, double weight)
{
    constexpr double HashRange = 18446744073709551616.0; // 2^64
    const double position = (static_cast<double>(rendezvousWeight(key, id)) + 1) / HashRange;
    return weight == 1 ? position : std::pow(position, 1 / weight);
}

uint64_t cachedTokens(const FleetEndpoint &endpoint, const CallerRequest &request)
{
    uint64_t tokens = 0;
    for (const PromptPart &part : request.parts) {
        if (!endpoint.cachedParts.contains(part.id))
            break;
        tokens += part.tokens;
    }
    return tokens;
}

uint64_t sharedTokens(const CallerRequest &request)
{
    uint64_t tokens = 0;
    for (size_t i = 0; i + 1 < request.parts.size(); ++i)
        tokens += request.parts[i].tokens;
    return tokens;
}

uint64_t unsharedTokens(const CallerRequest &request)
{
    return request.promptTokens - std::min(request.promptTokens, sharedTokens(request));
}

std::string sharedKey(const CallerRequest &request)
{
    return request.parts.size() < 2 ? std::string() : request.parts[request.parts.size() - 2].id;
}

bool EndpointFleet::acceptsRequests(const FleetEndpoint &endpoint, const ServiceName &service)
{
    return endpoint.entry.service == service && !endpoint.entry.leaving && !endpoint.gone
        && endpoint.readable;
}

bool EndpointFleet::isEligible(const FleetEndpoint &endpoint, const PlacementQuery &query)
{
    return acceptsRequests(endpoint, query.service) && !endpoint.addressReused
        && !query.tried.contains(endpoint.entry.id)
        && !query.excludedVersions.contains(endpoint.entry.version)
        && (!query.onlyVersion || *query.onlyVersion == endpoint.entry.version)
        && (!query.restrictedTo || query.restrictedTo->contains(endpoint.entry.id));
}

bool EndpointFleet::hasFreeSlot(const FleetEndpoint &endpoint, const PlacementQuery &query)
{
    return runningAt(endpoint) < slotsOf(endpoint, query);
}

// The room of a brittle service is shared among the daemons. What exceeds this daemon's share waits here.
bool EndpointFleet::hasOwnRoom(const FleetEndpoint &endpoint, TimeMs now) const
{
    const auto found = brittle_.find(endpoint.entry.service);
    return found == brittle_.end()
        || (!endpoint.brittleness.isHeld(now)
            && endpoint.running < found->second.shares.at(endpoint.entry.id.value));
}

// Beyond the size of its KV cache an engine preempts a running stream.
bool EndpointFleet::hasFreeCache(const FleetEndpoint &endpoint, const PlacementQuery &query)
{
    if (!query.engine || query.engine->cacheTokens == 0 || runningAt(endpoint) == 0)
        return true;
    const double limit = MaxHeldCacheShare * static_cast<double>(query.engine->cacheTokens);
    const uint64_t held = endpoint.contextTokens + endpoint.peersContextTokens + endpoint.sharedContextTokens;
    if (static_cast<double>(held + query.request->promptTokens) <= limit)
        return true;
    return endpoint.sharedInUse.contains(sharedKey(*query.request))
        && static_cast<double>(held + unsharedTokens(*query.request)) <= limit;
}

// An ejected engine gets single new requests, which show whether it has recovered.
bool EndpointFleet::isProbeDue(const FleetEndpoint &endpoint, const PlacementQuery &query, TimeMs now)
{
    return query.canWait && now >= endpoint.ejectedSendAt;
}

bool EndpointFleet::isResponsive(const FleetEndpoint &endpoint, TimeMs now) const
{
    return endpoint.avoidUntil <= now && !isSilent(endpoint, now);
}

// The preferred endpoint of a shared part is expected to have it cached even if this daemon never sent it
// there, since all daemons rank alike. Rate-limited endpoints are preferred only if there are no others. Slow
// engines are preferred for fewer parts.
const FleetEndpoint *EndpointFleet::preferredEndpoint(const PlacementQuery &query, TimeMs now) const
{
    const std::string key = query.engine ? sharedKey(*query.request) : std::string();
    if (key.empty())
        return nullptr;
    const FleetEndpoint *preferred = nullptr;
    std::pair<bool, double> bestRank;
    for (const std::pair<const EndpointId, FleetEndpoint> &entry : endpoints_) {
        if (!isEligible(entry.second, query) || entry.second.crashedUntil > now || entry.second.isEjected
            || entry.second.rest.isResting(now))
            continue;
        const std::pair<bool, double> rank{!entry.second.limiter.isLimited(),
                                           weightedRank(key, entry.first, entry.second.homeWeight)};
        if (!preferred || rank > bestRank) {
            preferred = &entry.second;
            bestRank = rank;
        }
    }
    return preferred;
}

// The cost is the expected time until the request's own prefill is done, plus the delay it causes to other
// requests there.
EndpointFleet::ChoiceWithCost EndpointFleet::withCost(const FleetEndpoint &endpoint, bool isPreferred,
                                                      const PlacementQuery &query, const PartFetch &partFetch)
{
    ChoiceWithCost out;
    PlacementChoice &choice = out.choice;
    double &cost = out.cost;
    choice.endpoint = endpoint.entry.id;
    if (query.engine) {
        const uint64_t total = std::max<uint64_t>(query.request->promptTokens, 1);
        const uint64_t knownCached = cachedTokens(endpoint, *query.request);
        choice.fetch = partFetch.plan(endpoint, isPreferred, knownCached,
                                      PrefillTokensPerMs / certainSlowness(endpoint));
        const uint64_t cached = choice.fetch ? knownCached + choice.fetch->tokens
            : isPreferred                    ? std::max(knownCached, sharedTokens(*query.request))
                                             : knownCached;
        const uint64_t uncachedTokens = total - std::min(cached, total - 1);
        choice.prefillTokens = query.isCold ? total - std::min(knownCached, total - 1) : uncachedTokens;
        choice.queuedTokens = static_cast<double>(endpoint.prefillTokens) + endpoint.peersPrefillTokens;
        choice.waitMs = prefillMs(choice.queuedTokens, endpoint);
        const double ownMs = prefillMs(static_cast<double>(uncachedTokens), endpoint);
        cost = choice.waitMs + PrefillCostFactor * ownMs + RunningPenaltyMs * runningAt(endpoint)
            + (choice.fetch ? (isPreferred ? 1 : CopyCostFactor) * choice.fetch->ms : 0);
    } else {
        // By share of slots in use; at equal load the own failure domain is preferred.
        cost = 100.0 * runningAt(endpoint) / slotsOf(endpoint, query)
            + (endpoint.entry.failureDomain == query.ownDomain ? 0 : 1);
    }
    addStrain(out, endpoint, query);
    cost += FailurePenaltyMs * endpoint.failureShare + (endpoint.listed ? 0 : UnlistedPenaltyMs);
    // Ties are broken by the request id, so that daemons don't all choose the same endpoint.
    cost += static_cast<double>(rendezvousWeight(query.request->id, endpoint.entry.id) >> 40U) * 1e-9;
    return out;
}

// A request that is sent beyond the bounds delays each running stream, one that is held delays itself. It is
// held at the daemon while that is the smaller sum; then it does not go elsewhere either as long as it has
// waited for less than the additional prefill there would cost.
void EndpointFleet::addStrain(ChoiceWithCost &found, const FleetEndpoint &endpoint,
                              const PlacementQuery &query)
{
    if (!query.engine || runningAt(endpoint) == 0)
        return;
    const double own = static_cast<double>(found.choice.prefillTokens);
    const bool isBounded = query.maxPauseMs > 0;
    const double excessMs = isBounded ? excessPrefillMs(own + found.choice.queuedTokens, endpoint, query) : 0;
    const double sendCost
        = excessMs * runningAt(endpoint) + (hasFreeCache(endpoint, query) ? 0 : PreemptionPenaltyMs);
    const double holdCost = MinHoldMs + excessMs + query.waitedMs;
    // Waiting shortens the engine's queue, not the request.
    const bool canHold = query.canWait && (!isBounded || excessPrefillMs(own, endpoint, query) == 0);
    found.mustWait = canHold && holdCost < sendCost;
    found.cost += found.mustWait ? holdCost : sendCost;
}

// An engine of a version on trial prefills the whole prompt, since the trial evaluates the time to its first
// event.
PartFetch EndpointFleet::partFetch(const PlacementQuery &query, TimeMs now) const
{
    PartFetch fetch(query.isCold ? nullptr : query.engine, *query.request, partUses_, servingDaemons_, now);
    if (!fetch.isPossible())
        return fetch;
    for (const std::pair<const EndpointId, FleetEndpoint> &entry : endpoints_) {
        if (entry.second.entry.service == query.service)
            fetch.consider(entry.second, isSilent(entry.second, now), query.triedSources);
    }
    for (const std::pair<const EndpointId, RemovedEndpoint> &entry : removed_)
        fetch.considerRemoved(entry.first, entry.second.at);
    return fetch;
}

PlacementResult EndpointFleet::choose(const PlacementQuery &query, TimeMs now) const
{
    PlacementResult result;
    const FleetEndpoint *preferred = preferredEndpoint(query, now);
    const PartFetch fetch = partFetch(query, now);
    bool anyResponsive = false;
    bool anyUsual = false; // Responsive and not ejected: without one, ejected engines are used like others.
    for (const std::pair<const EndpointId, FleetEndpoint> &entry : endpoints_) {
        if (!isEligible(entry.second, query) || !isResponsive(entry.second, now)
            || !entry.second.limiter.maySend(now) || entry.second.rest.isResting(now))
            continue;
        anyResponsive = true;
        anyUsual = anyUsual || !entry.second.isEjected;
    }
    bool mustWait = false;
    double bestCost = std::numeric_limits<double>::max();
    double bestLimitedCost = std::numeric_limits<double>::max();
    for (const std::pair<const EndpointId, FleetEndpoint> &entry : endpoints_) {
        const FleetEndpoint &endpoint = entry.second;
        if (!isEligible(endpoint, query))
            continue;
        if (endpoint.rest.isResting(now)) {
            recordResting(result, endpoint.rest.endsAt());
            continue;
        }
        result.problem = PlacementProblem::AllBusy;
        const bool isExcluded = (anyResponsive && !isResponsive(endpoint, now))
            || (anyUsual && endpoint.isEjected && !isProbeDue(endpoint, query, now));
        if (isExcluded || !hasFreeSlot(endpoint, query) || !hasOwnRoom(endpoint, now)
            || !endpoint.rest.maySend(endpoint.running, now))
            continue;
        const ChoiceWithCost found = withCost(endpoint, &endpoint == preferred, query, fetch);
        if (!endpoint.limiter.maySend(now)) {
            if (found.cost < bestLimitedCost) {
                bestLimitedCost = found.cost;
                result.limitedEndpoint = endpoint.incarnation();
            }
        } else if (anyUsual && endpoint.isEjected) {
            result.choice = found.choice;
            return result;
        } else if (found.cost < bestCost) {
            bestCost = found.cost;
            result.choice = found.choice;
            mustWait = found.mustWait;
        }
    }
    if (bestCost <= bestLimitedCost)
        result.limitedEndpoint.reset();
    if (mustWait || (result.choice && query.maxWaitMs > 0 && result.choice->waitMs >= query.maxWaitMs))
        result.choice.reset();
    return result;
}

} // namespace cranberry
