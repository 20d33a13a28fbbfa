// Queue of requests that wait for a free slot: which request is sent next, how much prefill an engine may
// have queued to get it, and which requests are refused since they cannot meet their deadline.

#include "gateway/gateway.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Jitter of the Retry-After time, so that refused callers don't all return at once.
constexpr uint64_t RetryAfterJitterMs = 400;
/// Shortest Retry-After time for lack of capacity or units.
constexpr DurationMs MinRetryAfter{400};
/// A request whose latency target isn't the shortest of its service is not sent to an engine whose queued
/// prefill takes longer than this part (1/3) of the shortest target, which leaves capacity for requests with
/// the shortest target. A smaller part makes more of the other requests late.
constexpr int64_t WaitDivisor = 3;
/// Maximum queued prefill of an engine that gets a request that yields. More delays requests that can still
/// meet their target; with much less, requests too large to ever meet their target would wait for an idle
/// engine.
constexpr double MaxWaitOfYieldingMs = 100;
/// A request past its latency target is refused when it has waited this part (1/8) of its caller's time
/// beyond the target. The caller has enough time left to retry, instead of waiting for a response that may
/// not come.
constexpr int64_t LateWaitDivisor = 8;
/// Failed placements per service and pass of the queue. More than one is tried, since the first requests may
/// wait for the engine that caches their shared prompt part while other engines have capacity.
constexpr size_t MaxFailedPlacements = 16;

/// Returns whether a request of another organisation is to be served before a new one. If new requests took
/// the capacity that becomes free between two passes of the queue, the organisation that sends the most would
/// get most of it.
bool hasOthers(const std::vector<const WaitingRequest *> &ahead, const OrganisationName &organisation)
{
    return std::any_of(ahead.begin(), ahead.end(), [&organisation](const WaitingRequest *other) {
        return other->flow.organisation != organisation;
    });
}

/// Returns nothing for a request that may wait.
std::optional<GatewayRefusal> refusalFor(PlacementProblem problem)
{
    switch (problem) {
    case PlacementProblem::NoEndpoint:
        return GatewayRefusal::NoEndpoint;
    case PlacementProblem::Unreached:
        return GatewayRefusal::EndpointsUnreached;
    case PlacementProblem::RestTooLong:
        return GatewayRefusal::EndpointsResting;
    case PlacementProblem::AllBusy:
    case PlacementProblem::AllResting:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

// Sends the request at once, or queues it if all endpoints are busy. Gives up if there is no endpoint, or if
// the expected wait exceeds the caller's deadline.
void Gateway::dispatch(Exchange &exchange, TimeMs now)
{
    const ServedService *service = exchange.configuration->findService(exchange.service);
    exchange.inTimeUntil = exchange.callerWaitsUntil;
    if (service && service->engine) {
        const DurationMs prefill = prefillRate(exchange.service, now).prefillTime(*exchange.request);
        exchange.inTimeUntil
            = exchange.arrivedAt + std::max(exchange.route->latencyTarget - prefill, DurationMs{0});
        recordOffered(exchange);
    }
    if (!hasOthers(queue_.ahead(waitingRequest(exchange), now, shares_), exchange.organisation)) {
        const std::optional<PlacementProblem> problem = trySend(exchange, now);
        if (!problem)
            return;
        if (const std::optional<GatewayRefusal> refusal = refusalFor(*problem))
            return giveUp(exchange, *refusal, now);
    }
    enqueue(exchange, now);
}

// Queues the request unless it could not be served before its deadline.
void Gateway::enqueue(Exchange &exchange, TimeMs now)
{
    const WaitingRequest waiting = waitingRequest(exchange);
    const std::vector<const WaitingRequest *> ahead = queue_.ahead(waiting, now, shares_);
    const bool isBehindOthers = hasOthers(ahead, exchange.organisation);
    exchange.enter(ExchangePhase::Queued, now);
    if (isRestTooLong(exchange, now))
        return giveUp(exchange, GatewayRefusal::EndpointsResting, now);
    const LimitedQueue limited = limitedQueue(exchange.service, now);
    if (refuseBeyondLimit(exchange, limited.waitAt(limited.own + 1), now))
        return;
    if (now + expectedWait(exchange, ahead, now) > deadlineOf(exchange))
        return giveUp(exchange, GatewayRefusal::Overloaded, now);
    counters_.add(GatewayCount::Queued);
    shares_.recordWaiting(waiting.flow, now);
    if (isBehindOthers)
        counters_.add(GatewayCount::QueuedBehindOthers);
    queue_.add(waiting);
    log(LogPriority::Ordinary, "queued", exchange,
        {{"queue", queue_.size()},
         {"organisation", exchange.organisation.value},
         {"behind_others", isBehindOthers},
         {"in_time_for_ms", (exchange.inTimeUntil - now).count}});
}

// Returns whether the request is sent only where the engines have capacity left: if it is past its latency
// target, or if its organisation is far beyond its share while requests of others wait. The queues of the
// engines are first come, first served, so such an organisation would fill them up to its own latency target.
bool Gateway::yieldsToOthers(const Exchange &exchange, TimeMs now) const
{
    return now > exchange.inTimeUntil
        || shares_.isBeyondShare({exchange.service, exchange.organisation}, now);
}

// A caller that resumes a stream repeats a request that was counted before.
void Gateway::recordOffered(const Exchange &exchange)
{
    const CallerRequest &request = *exchange.request;
    const uint64_t shared = std::min(sharedTokens(request), request.promptTokens);
    if (!request.resumeAfter)
        demand_.recordOffered(exchange.service, request.promptTokens - shared, shared);
}

// Tries to place and send the request. All daemons see an engine's free capacity at about the same time. If
// they filled it together with requests that yield, the engine would be busy for a second or more, and the
// next requests would miss their targets, too. Each daemon therefore uses only its share of the engines' time
// for these requests.
std::optional<PlacementProblem> Gateway::trySend(Exchange &exchange, TimeMs now)
{
    if (isOutOfReach(exchange.service, now))
        return PlacementProblem::Unreached;
    PlacementQuery question = placementQuery(exchange);
    const bool yields = question.engine && yieldsToOthers(exchange, now);
    if (yields && now < nextYieldingSendAt_[exchange.service])
        return PlacementProblem::AllBusy;
    if (question.engine)
        question.maxWaitMs = yields ? MaxWaitOfYieldingMs : maxWaitMs(exchange, now);
    question.canWait = true;
    question.waitedMs = static_cast<double>((now - exchange.arrivedAt).count);
    const PlacementResult result = place(exchange, question, now);
    if (!result.choice)
        return result.problem == PlacementProblem::AllResting && isTooLate(exchange, result.restEndsAt)
            ? PlacementProblem::RestTooLong
            : result.problem;
    if (yields) {
        const PrefillRate rate = prefillRate(exchange.service, now);
        nextYieldingSendAt_[exchange.service] = now + rate.drainTime(rate.prefillTime(*exchange.request));
    }
    send(exchange, question, *result.choice, now);
    return std::nullopt;
}

// Selects an endpoint. If a rate-limited endpoint would have been the best choice, this daemon requests a
// share of its limit, for this request if it waits, or else for the next similar one.
PlacementResult Gateway::place(Exchange &exchange, PlacementQuery &question, TimeMs now)
{
    PlacementResult result = selectByVersion(exchange, question, now);
    if (result.limitedEndpoint) {
        if (EndpointLimiter *limiter = fleet_.limiter(*result.limitedEndpoint))
            limiter->recordUnmetDemand(now);
    }
    return result;
}

// Returns the maximum queued prefill, in ms, of an engine that may get this request.
double Gateway::maxWaitMs(const Exchange &exchange, TimeMs now) const
{
    const DurationMs shortest = exchange.configuration->shortestTarget(exchange.service);
    const DurationMs slack = exchange.inTimeUntil - now;
    const DurationMs usual = shortest / WaitDivisor;
    const bool isTightest = exchange.route->latencyTarget <= shortest;
    return static_cast<double>((isTightest ? std::max(slack, usual) : usual).count);
}

DurationMs Gateway::PrefillRate::prefillTime(const CallerRequest &request) const
{
    const double tokens = static_cast<double>(unsharedTokens(request));
    return {static_cast<int64_t>(speed.baseMs + tokens / speed.tokensPerMs)};
}

Gateway::PrefillRate Gateway::prefillRate(const ServiceName &service, TimeMs now) const
{
    return {prefillSpeed(demand_.prefillSums(service)), std::max<int64_t>(1, fleet_.unlimitedCount(service)),
            static_cast<int64_t>(peers_.servingCount(now))};
}

WaitingRequest Gateway::waitingRequest(const Exchange &exchange) const
{
    const ServedService *service = exchange.configuration->findService(exchange.service);
    const CallerRequest &request = *exchange.request;
    const uint64_t tokens
        = request.promptTokens - std::min(request.promptTokens, sharedTokens(request)) + request.outputTokens;
    return {exchange.caller,
            exchange.priority,
            exchange.arrivedAt,
            exchange.inTimeUntil,
            {exchange.service, exchange.organisation},
            service && service->engine ? static_cast<double>(tokens) : 1,
            isResumption(exchange)};
}

// Returns the expected time until the request is served, from the requests of all daemons that are ahead of
// it: their prefill at engines; for the others their number and itself, times the interval at which the
// service's slots become free.
DurationMs Gateway::expectedWait(const Exchange &exchange, const std::vector<const WaitingRequest *> &ahead,
                                 TimeMs now) const
{
    const ServiceName &service = exchange.service;
    const ServedService *served = configuration_->findService(service);
    if (served && served->engine) {
        const PrefillRate rate = prefillRate(service, now);
        DurationMs prefill{0};
        for (const WaitingRequest *other : ahead)
            prefill = prefill + rate.prefillTime(*exchanges_.at(other->caller).request);
        return rate.drainTime(prefill) + rate.prefillTime(*exchange.request);
    }
    const auto mean = responseMs_.find(service);
    const uint32_t slots = fleet_.totalSlots(service, now);
    if (mean == responseMs_.end() || slots == 0)
        return {0};
    // The other daemons' callers wait for the same slots.
    const double shared = static_cast<double>((ahead.size() + 1) * peers_.servingCount(now));
    return {static_cast<int64_t>(mean->second * shared / slots)};
}

Gateway::LimitedQueue Gateway::limitedQueue(const ServiceName &service, TimeMs now) const
{
    LimitedQueue queue;
    queue.limit = fleet_.limitOf(service, now);
    if (!queue.limit)
        return queue;
    for (const WaitingRequest &request : queue_.waiting())
        queue.own += request.flow.service == service ? 1 : 0;
    return queue;
}

// The daemons' queues drain in parallel, each in proportion to its part of all waiting requests.
DurationMs Gateway::LimitedQueue::waitAt(size_t position) const
{
    if (!limit)
        return {0};
    const double mine = static_cast<double>(std::max(own, position));
    const double all = std::max(static_cast<double>(limit->waiting), mine);
    const double before = static_cast<double>(position) * all / mine - 1;
    return {static_cast<int64_t>(1000 * before / limit->rate.perSecond)};
}

bool Gateway::isRestTooLong(const Exchange &exchange, TimeMs now) const
{
    const std::optional<TimeMs> restEndsAt = fleet_.restEndsAt(exchange.service, now);
    return restEndsAt && isTooLate(exchange, *restEndsAt);
}

// Returns whether a request that is sent at that time is answered after its caller has given up.
bool Gateway::isTooLate(const Exchange &exchange, TimeMs sentAt) const
{
    const auto mean = responseMs_.find(exchange.service);
    const DurationMs response{mean == responseMs_.end() ? 0 : static_cast<int64_t>(mean->second)};
    return sentAt + response >= deadlineOf(exchange);
}

bool Gateway::refuseBeyondLimit(Exchange &exchange, DurationMs wait, TimeMs now)
{
    if (now + wait <= deadlineOf(exchange))
        return false;
    giveUp(exchange, GatewayRefusal::EndpointsLimited, now);
    return true;
}

// Sends queued requests, those first that can still meet their latency target. A request that can't be placed
// does not block those behind it, which may be for other services or engines. A request past its target is
// refused when it has waited too long, or could not meet its deadline even if the engines processed nothing
// but the late requests ahead of it.
void Gateway::runQueue(TimeMs now)
{
    if (queue_.empty())
        return;
    std::map<ServiceName, size_t> failedPlacements;
    std::map<ServiceName, DurationMs> lateAhead;
    std::map<ServiceName, PrefillRate> prefillRates; // Only of services with late requests in the queue.
    std::map<ServiceName, LimitedQueue> limited;
    std::map<ServiceName, std::optional<TimeMs>> restEnds; // Found by a search through all endpoints.
    for (CallerId id : queue_.inOrder(now, shares_)) {
        const auto found = exchanges_.find(id);
        if (found == exchanges_.end() || found->second.phase != ExchangePhase::Queued)
            continue;
        Exchange &exchange = found->second;
        auto queue = limited.find(exchange.service);
        if (queue == limited.end())
            queue = limited.emplace(exchange.service, limitedQueue(exchange.service, now)).first;
        if (refuseBeyondLimit(exchange, queue->second.waitAt(++queue->second.position), now))
            continue;
        auto restEnd = restEnds.find(exchange.service);
        if (restEnd == restEnds.end())
            restEnd = restEnds.emplace(exchange.service, fleet_.restEndsAt(exchange.service, now)).first;
        if (restEnd->second && isTooLate(exchange, *restEnd->second)) {
            giveUp(exchange, GatewayRefusal::EndpointsResting, now);
            continue;
        }
        if (now > exchange.inTimeUntil) {
            const auto known = prefillRates.find(exchange.service);
            const PrefillRate &rate = known != prefillRates.end()
                ? known->second
                : prefillRates.emplace(exchange.service, prefillRate(exchange.service, now)).first->second;
            DurationMs &ahead = lateAhead[exchange.service];
            const DurationMs before = ahead;
            ahead = before + rate.prefillTime(*exchange.request);
            const DurationMs drained = rate.drainTime(ahead);
            const TimeMs end = deadlineOf(exchange);
            const DurationMs maxLateWait = (end - exchange.arrivedAt) / LateWaitDivisor;
            if (now > exchange.inTimeUntil + maxLateWait || now + drained > end) {
                ahead = before; // A refused request does not delay those behind it.
                giveUp(exchange, GatewayRefusal::Overloaded, now);
                continue;
            }
        }
        if (failedPlacements[exchange.service] >= MaxFailedPlacements)
            continue;
        if (const std::optional<OwnAnswer> refusal = checkRequest(exchange, now)) {
            answer(exchange, *refusal, now);
            continue;
        }
        const std::optional<PlacementProblem> problem = trySend(exchange, now);
        if (!problem)
            queue_.remove(id);
        else if (const std::optional<GatewayRefusal> refusal = refusalFor(*problem))
            giveUp(exchange, *refusal, now);
        else
            ++failedPlacements[exchange.service];
    }
}

double Gateway::shareOf(const RequestFlow &flow) const
{
    std::set<OrganisationName> waiting{flow.organisation};
    for (const WaitingRequest &request : queue_.waiting()) {
        if (request.flow.service == flow.service)
            waiting.insert(request.flow.organisation);
    }
    double sum = 0;
    for (const OrganisationName &organisation : waiting)
        sum += shares_.weight(organisation);
    return shares_.weight(flow.organisation) / sum;
}

// Counts in ms of prefill for services with engines, and in requests for the others. If the rate is not
// known, the result is empty.
RefusedWork Gateway::refusedWork(const Exchange &exchange, GatewayRefusal reason, TimeMs now) const
{
    RefusedWork work;
    work.units = 1;
    const RequestFlow flow{exchange.service, exchange.organisation};
    const ServedService *service = exchange.configuration->findService(exchange.service);
    const double daemons = static_cast<double>(peers_.servingCount(now));
    std::optional<PrefillRate> prefill; // Set if the work is counted in prefill time.
    const LimitedQueue limited = limitedQueue(exchange.service, now);
    if (reason == GatewayRefusal::EndpointsLimited && limited.limit) {
        const double own = static_cast<double>(std::max<size_t>(limited.own, 1));
        work.unitsPerMs = limited.limit->rate.perSecond / 1000 * own
            / std::max(own, static_cast<double>(limited.limit->waiting));
    } else if (reason == GatewayRefusal::Overloaded && service && service->engine) {
        prefill = prefillRate(exchange.service, now);
        work.units = static_cast<double>(prefill->prefillTime(*exchange.request).count);
        work.unitsPerMs = static_cast<double>(prefill->engines) / daemons;
    } else if (reason == GatewayRefusal::Overloaded) {
        const auto mean = responseMs_.find(exchange.service);
        const uint32_t slots = fleet_.totalSlots(exchange.service, now);
        work.unitsPerMs = mean == responseMs_.end() ? 0 : slots / (std::max(mean->second, 1.0) * daemons);
    }
    if (work.unitsPerMs <= 0)
        return {};
    work.unitsPerMs *= shareOf(flow);
    work.missing = work.units;
    for (const WaitingRequest &other : queue_.waiting()) {
        if (other.flow != flow || other.caller == exchange.caller)
            continue;
        work.missing += prefill
            ? static_cast<double>(prefill->prefillTime(*exchanges_.at(other.caller).request).count)
            : 1;
    }
    work.remaining = callersDeadline(exchange) - now;
    return work;
}

DurationMs Gateway::capacityRetryAfter(const Exchange &exchange, GatewayRefusal reason, TimeMs now)
{
    const bool lacksCapacity
        = reason == GatewayRefusal::Overloaded || reason == GatewayRefusal::EndpointsLimited;
    // Callers that return together when the rest ends would meet the next one.
    if (const std::optional<TimeMs> restEndsAt = fleet_.restEndsAt(exchange.service, now))
        return *restEndsAt - now + returnJitter();
    const RefusedWork work = lacksCapacity ? refusedWork(exchange, reason, now) : RefusedWork{};
    if (work.unitsPerMs <= 0)
        return MinRetryAfter + returnJitter();
    return countReturn(capacityReturns_[exchange.service].next(exchange.organisation, work, MinRetryAfter,
                                                               returnJitter(), now));
}

// Each serving daemon gives out return times for its part of the rate. The first caller may also use what the
// others' parts add until then: units are transferred between daemons.
DurationMs Gateway::limitRetryAfter(const Exchange &exchange, const ServedOrganisation &organisation,
                                    double units, double missing, TimeMs now)
{
    const double daemons = static_cast<double>(peers_.servingCount(now));
    RefusedWork work;
    work.units = units;
    work.missing = missing / daemons;
    work.unitsPerMs = organisation.ratePerSecond / 1000 / daemons;
    work.remaining = callersDeadline(exchange) - now;
    return countReturn(limitReturns_.next(organisation.name, work, MinRetryAfter, DurationMs{0}, now));
}

DurationMs Gateway::countReturn(const ReturnTime &time)
{
    counters_.add(time.isUsable ? GatewayCount::ReturnsScheduled : GatewayCount::ReturnsTooLate);
    return time.after;
}

DurationMs Gateway::returnJitter()
{
    return {static_cast<int64_t>(random_.below(RetryAfterJitterMs))};
}

} // namespace cranberry
