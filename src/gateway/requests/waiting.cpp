// Requests that wait until an endpoint has room: who is sent next, to how full an engine, and who is refused
// since it can't be served in its time.

#include "gateway/gateway.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Refused callers don't come back together.
constexpr uint64_t RetryAfterSpreadMs = 400;
/// Requests whose target isn't the shortest of their service leave an engine alone while what waits there
/// takes more than this part of the shortest target, so that the others find room in it. In a load test with
/// half as much again as engines can read, a fourth kept 1,478 of 1,547 chats and 218 of 691 long requests in
/// time, a half 1,367 and 322.
constexpr int64_t WaitDivisor = 3;
/// Requests that are late anyway go to engines that have little to read. In that test 150 ms left 193 long
/// requests in time, 100 ms 231; with 30 ms those too large to be in time at all wait for an idle engine.
constexpr double MostWaitOfLateMs = 100;
/// A request that is late anyway is refused when it has waited for this part of its caller's time: what is
/// left is enough to come back, and the caller is not kept for an answer that may not come.
constexpr int64_t LateWaitDivisor = 8;
/// Of the requests that wait for one service, so many are tried in vain at a time: the first ones may wait
/// for the engine that holds their shared part, while others have room.
constexpr size_t MostTriesInVain = 16;

} // namespace

// Sends at once, or queues where all endpoints are busy, or gives up where there is none, or where the queue
// is too long for the time that the caller has.
void Gateway::dispatch(Exchange &exchange, TimeMs now)
{
    const ServedService *service = exchange.configuration->findService(exchange.service);
    exchange.inTimeUntil = exchange.callerWaitsUntil;
    if (service && service->engine) {
        const DurationMs reading = readingPace(exchange.service, now).readingTime(*exchange.request);
        exchange.inTimeUntil
            = exchange.arrivedAt + std::max(exchange.route->latencyTarget - reading, DurationMs{0});
    }
    const std::optional<PlacementProblem> problem = trySend(exchange, now);
    if (!problem)
        return;
    if (*problem == PlacementProblem::NoEndpoint)
        return giveUp(exchange, GatewayRefusal::NoEndpoint, now);
    exchange.phase = ExchangePhase::Queued;
    const LimitedQueue limited = limitedQueue(exchange.service, now);
    if (refuseBeyondLimit(exchange, limited.waitAt(limited.own + 1), now))
        return;
    if (isHopeless(exchange, now))
        return giveUp(exchange, GatewayRefusal::Overloaded, now);
    counters_.add(GatewayCount::Queued);
    queue_.add({exchange.caller, exchange.priority, exchange.arrivedAt, exchange.inTimeUntil});
    log(LogWeight::Ordinary, "queued", exchange,
        {{"queue", queue_.size()}, {"in_time_for_ms", (exchange.inTimeUntil - now).count}});
}

// All daemons see an engine's room at about the same time. Those whose requests are late anyway would fill it
// together for a second and more, and what comes next would be late, too: each takes no more than its part of
// the engines' time for them.
std::optional<PlacementProblem> Gateway::trySend(Exchange &exchange, TimeMs now)
{
    PlacementQuestion question = questionOf(exchange);
    const bool isLate = question.engine && now > exchange.inTimeUntil;
    if (isLate && now < lateAt_[exchange.service])
        return PlacementProblem::AllBusy;
    if (question.engine)
        question.mostWaitMs = isLate ? MostWaitOfLateMs : mostWaitMs(exchange, now);
    const PlacementResult result = place(exchange, question, now);
    if (!result.choice)
        return result.problem;
    if (isLate) {
        const ReadingPace pace = readingPace(exchange.service, now);
        lateAt_[exchange.service] = now + pace.drainTime(pace.readingTime(*exchange.request));
    }
    send(exchange, question, *result.choice, now);
    return std::nullopt;
}

// One that a limited endpoint would have suited best asks for a share of it, for itself if it waits, or for
// the next one like it.
PlacementResult Gateway::place(Exchange &exchange, PlacementQuestion &question, TimeMs now)
{
    PlacementResult result = placeByVersion(exchange, question, now);
    if (result.heldBack) {
        if (EndpointLimiter *limiter = fleet_.limiter(*result.heldBack))
            limiter->wish(now);
    }
    return result;
}

// What may wait to be read at an engine that is to get this request, too.
double Gateway::mostWaitMs(const Exchange &exchange, TimeMs now) const
{
    const DurationMs shortest = exchange.configuration->shortestTarget(exchange.service);
    const DurationMs slack = exchange.inTimeUntil - now;
    const DurationMs usual = shortest / WaitDivisor;
    const bool isTightest = exchange.route->latencyTarget <= shortest;
    return static_cast<double>((isTightest ? std::max(slack, usual) : usual).count);
}

DurationMs Gateway::ReadingPace::readingTime(const CallerRequest &request) const
{
    const uint64_t tokens = request.promptTokens - std::min(request.promptTokens, sharedTokens(request));
    return {static_cast<int64_t>(speed.baseMs + static_cast<double>(tokens) / speed.tokensPerMs)};
}

Gateway::ReadingPace Gateway::readingPace(const ServiceName &service, TimeMs now) const
{
    return {readingSpeed(demand_.readings(service)), std::max<int64_t>(1, fleet_.count(service)),
            static_cast<int64_t>(peers_.sharers(now))};
}

// Until a place is free for one more request of this priority: those that wait before it, and it, at the pace
// at which the service's places come free.
DurationMs Gateway::expectedWait(const Exchange &exchange, TimeMs now) const
{
    const auto mean = answerMs_.find(exchange.service);
    const uint32_t places = fleet_.places(exchange.service);
    if (mean == answerMs_.end() || places == 0)
        return {0};
    size_t ahead = 1;
    for (CallerId id : queue_.inOrder(now)) {
        const Exchange &other = exchanges_.at(id);
        ahead += other.service == exchange.service && other.priority <= exchange.priority ? 1 : 0;
    }
    // The other daemons' callers wait for the same places.
    const double shared = static_cast<double>(ahead * peers_.sharers(now));
    return {static_cast<int64_t>(mean->second * shared / places)};
}

Gateway::LimitedQueue Gateway::limitedQueue(const ServiceName &service, TimeMs now) const
{
    LimitedQueue queue;
    queue.limit = fleet_.limitOf(service, now);
    if (!queue.limit)
        return queue;
    for (CallerId id : queue_.inOrder(now))
        queue.own += exchanges_.at(id).service == service ? 1 : 0;
    return queue;
}

// The daemons' queues drain side by side, each by its part of all that wait.
DurationMs Gateway::LimitedQueue::waitAt(size_t position) const
{
    if (!limit)
        return {0};
    const double mine = static_cast<double>(std::max(own, position));
    const double all = std::max(static_cast<double>(limit->waiting), mine);
    const double before = static_cast<double>(position) * all / mine - 1;
    return {static_cast<int64_t>(1000 * before / limit->rate.perSecond)};
}

bool Gateway::refuseBeyondLimit(Exchange &exchange, DurationMs wait, TimeMs now)
{
    if (now + wait <= std::min(exchange.callerWaitsUntil, exchange.timeoutAt))
        return false;
    giveUp(exchange, GatewayRefusal::EndpointsLimited, now, wait);
    return true;
}

bool Gateway::isHopeless(const Exchange &exchange, TimeMs now) const
{
    return now + expectedWait(exchange, now) > std::min(exchange.callerWaitsUntil, exchange.timeoutAt);
}

// Those first who can still be in time. One that can't be placed does not hold up those behind it: they may
// be for other services or other engines. One that is late is refused when it has waited for long, or could
// not be served in its time even if the engines did nothing but what waits before it.
void Gateway::runQueue(TimeMs now)
{
    if (queue_.empty())
        return;
    std::map<ServiceName, size_t> inVain;
    std::map<ServiceName, DurationMs> lateAhead;
    std::map<ServiceName, ReadingPace> paces; // Of services for which late requests wait.
    std::map<ServiceName, LimitedQueue> limited;
    for (CallerId id : queue_.inOrder(now)) {
        const auto found = exchanges_.find(id);
        if (found == exchanges_.end() || found->second.phase != ExchangePhase::Queued)
            continue;
        Exchange &exchange = found->second;
        auto queue = limited.find(exchange.service);
        if (queue == limited.end())
            queue = limited.emplace(exchange.service, limitedQueue(exchange.service, now)).first;
        if (refuseBeyondLimit(exchange, queue->second.waitAt(++queue->second.position), now))
            continue;
        if (now > exchange.inTimeUntil) {
            const auto known = paces.find(exchange.service);
            const ReadingPace &pace = known != paces.end()
                ? known->second
                : paces.emplace(exchange.service, readingPace(exchange.service, now)).first->second;
            DurationMs &ahead = lateAhead[exchange.service];
            const DurationMs before = ahead;
            ahead = before + pace.readingTime(*exchange.request);
            const DurationMs drained = pace.drainTime(ahead);
            const TimeMs end = std::min(exchange.callerWaitsUntil, exchange.timeoutAt);
            const DurationMs patience = (end - exchange.arrivedAt) / LateWaitDivisor;
            if (now > exchange.inTimeUntil + patience || now + drained > end) {
                ahead = before; // Those behind it don't wait for one that is refused.
                giveUp(exchange, GatewayRefusal::Overloaded, now, drained);
                continue;
            }
        }
        if (inVain[exchange.service] >= MostTriesInVain)
            continue;
        if (const std::optional<OwnAnswer> refusal = judge(exchange, now)) {
            answer(exchange, *refusal, now);
            continue;
        }
        const std::optional<PlacementProblem> problem = trySend(exchange, now);
        if (!problem)
            queue_.remove(id);
        else if (*problem == PlacementProblem::NoEndpoint)
            giveUp(exchange, GatewayRefusal::NoEndpoint, now);
        else
            ++inVain[exchange.service];
    }
}

DurationMs Gateway::retryAfter(DurationMs least)
{
    return least + DurationMs{static_cast<int64_t>(random_.below(RetryAfterSpreadMs))};
}

} // namespace cranberry
