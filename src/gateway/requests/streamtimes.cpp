// Times of first events and pauses between events: late streams, the bound on pauses, and the engines'
// speeds.

#include "gateway/gateway.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Part (3/4) of the gap target that an engine may need for its queued prefill. The rest is for requests that
/// other daemons have sent and not yet reported, and for the step in progress.
constexpr double PauseShare = 0.75;
/// The bound holds for this long after a pause that was longer than the gap target. Where engines have no
/// such pauses, holding requests would only delay their first events.
constexpr DurationMs PauseMemory{30000};
/// Speeds are applied several times while one changes, and less often to a large fleet, since that walks over
/// all endpoints.
constexpr DurationMs SpeedUpdateInterval{100};
constexpr int64_t EndpointsPerUpdateMs = 6; ///< Adds 1 ms to the interval for this many endpoints.
/// Time between two requests of all daemons together to an ejected engine.
constexpr DurationMs EjectedSendInterval{1000};
/// In this time a new engine prefills the parts in use of which it has become the home.
constexpr DurationMs CacheFillTime{10000};

} // namespace

// An engine runs one step for its whole batch, and each step includes a chunk of the queued prefill. An event
// takes several steps. So while prefill is queued, the events of all streams are late by several chunks.
double Gateway::maxPauseMs(const Exchange &exchange) const
{
    if (!fleet_.isUneven(exchange.service) || !pausedAt_.contains(exchange.service))
        return 0;
    const DurationMs gap = exchange.configuration->shortestGapTarget(exchange.service);
    return PauseShare * static_cast<double>(gap.count);
}

// An engine that started recently is assumed to have shared parts cached that it still has to prefill, and
// would look slow.
bool Gateway::isCold(const EndpointId &engine, const CallerRequest &request, TimeMs now) const
{
    const FleetEndpoint *endpoint = fleet_.find(engine);
    const bool isNew
        = endpoint && endpoint->knownSince.count > 0 && now - endpoint->knownSince < CacheFillTime;
    return isNew && !sharedKey(request).empty();
}

// The fixed part of the time counts at most as much as the prefill, since it hides how slow the prefill is.
// Streams that are resumed or continue a migrated generation, and those with a fetch, don't prefill just
// their prompt.
double Gateway::usualFirstEventMs(const Exchange &exchange, const PlacementQuery &query,
                                  const PlacementChoice &choice, TimeMs now) const
{
    if (!query.engine || exchange.lastEvent || choice.fetch || isCold(choice.endpoint, *query.request, now))
        return 0;
    const PrefillSpeed speed = prefillSpeed(demand_.prefillSums(exchange.service));
    const double prefillMs
        = (choice.queuedTokens + static_cast<double>(choice.prefillTokens)) / speed.tokensPerMs;
    return prefillMs + std::min(speed.baseMs, prefillMs);
}

void Gateway::recordCallerEvent(Exchange &exchange, TimeMs now)
{
    const TimeMs before = std::exchange(exchange.newestEventAt, now);
    const bool isFirst = before.count == 0;
    const DurationMs target = isFirst ? exchange.route->latencyTarget : exchange.route->gapTarget;
    const DurationMs taken = now - (isFirst ? exchange.arrivedAt : before);
    const bool missesTarget = target.count > 0 && taken > target;
    if (isFirst)
        demand_.recordStreamStarted(exchange.service);
    else
        exchange.longestPause = std::max(exchange.longestPause, taken);
    if (!isFirst && missesTarget) {
        counters_.add(GatewayCount::PausesOverTarget);
        pausedAt_[exchange.service] = now;
    }
    // The planning of engines counts a late stream once.
    if (missesTarget && !std::exchange(exchange.isLate, true))
        demand_.recordLate(exchange.service);
}

void Gateway::countLateStream(const Exchange &exchange)
{
    const Route &route = *exchange.route;
    const bool isFirstLate = route.latencyTarget.count > 0
        && exchange.callerFirstEventAt - exchange.arrivedAt > route.latencyTarget;
    const bool isPauseLong = route.gapTarget.count > 0 && exchange.longestPause > route.gapTarget;
    if (isFirstLate && isPauseLong)
        counters_.add(GatewayCount::StreamsLateBoth);
    else if (isFirstLate)
        counters_.add(GatewayCount::StreamsLateFirstEvent);
    else if (isPauseLong)
        counters_.add(GatewayCount::StreamsLatePause);
}

void Gateway::recordContext(Exchange &exchange, uint64_t events)
{
    const ServedService *service = exchange.configuration->findService(exchange.service);
    if (!service || !service->engine)
        return;
    const uint64_t tokens = events * service->engine->tokensPerEvent;
    exchange.contextTokens += tokens;
    fleet_.contextGrew(exchange.sentTo, tokens);
}

void Gateway::updateEngineSpeeds(TimeMs now)
{
    std::erase_if(pausedAt_, [now](const std::pair<const ServiceName, TimeMs> &entry) {
        return now - entry.second > PauseMemory;
    });
    if (now < nextSpeedUpdateAt_ || speeds_.empty())
        return;
    const int64_t endpoints = static_cast<int64_t>(fleet_.all().size());
    nextSpeedUpdateAt_ = now + SpeedUpdateInterval + DurationMs{endpoints / EndpointsPerUpdateMs};
    speeds_.forget(now);
    const DurationMs interval = EjectedSendInterval * static_cast<int64_t>(peers_.servingCount(now));
    for (const EndpointFleet::EjectionChange &change : fleet_.applySpeeds(speeds_, interval, random_, now)) {
        if (change.isEjected)
            counters_.add(GatewayCount::EnginesEjected);
        log_.write(
            LogPriority::State, change.isEjected ? "engine_ejected" : "engine_returned",
            {{"endpoint", change.engine.id.value}, {"slowness", change.slowness}, {"median", change.median}});
    }
}

} // namespace cranberry
