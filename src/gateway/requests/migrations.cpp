#include "gateway/gateway.h"

#include <utility>

namespace cranberry {

namespace {

/// Time left for the migration itself and for events that are still in flight.
constexpr DurationMs MoveMargin{500};
/// Copying the KV cache of one generation takes milliseconds, but the copies of a whole engine are queued.
constexpr DurationMs MoveTimeout{1200};
/// An engine replies from memory. A later reply is useless, since reclaim notices are seconds long.
constexpr DurationMs ProbeTimeout{500};
/// Time for the last bytes of the stopped stream, which arrive after the reply to the migration request.
constexpr DurationMs LastBytesTime{150};
/// Time before the end of a roll-out in which the remaining streams are migrated. Most streams end by
/// themselves before it.
constexpr DurationMs LastMoves{1300};
constexpr size_t MostMoves = 4; ///< Migration attempts per request, each to another target.
/// Event interval assumed for a stream of which only the first event has been received.
constexpr double UnknownEventMs = 60;

} // namespace

void Gateway::probeEngines(TimeMs now)
{
    for (const EndpointEntry &entry : fleet_.dueProbes(now)) {
        const ServedService *service = configuration_ ? configuration_->findService(entry.service) : nullptr;
        if (service && service->engine)
            actions_.emplace_back(ProbeEngine{entry.id, entry.address, ProbeTimeout});
    }
}

void Gateway::onEngineProbed(const EngineProbed &event, TimeMs now)
{
    if (event.afterBreak)
        onProcessKnown(event, now);
    const EndpointLife life{event.endpoint, event.start};
    if (!event.answered || !fleet_.answered(life, now) || !event.leaving)
        return;
    const DurationMs after = event.leavesAfter.value_or(settings_.drainTime);
    log_.write(LogWeight::State, "engine_says_it_leaves",
               {{"endpoint", event.endpoint.value},
                {"leaves_in_ms", after.count},
                {"list_age_ms", (now - fleet_.listedAt()).count}});
    fleet_.leaves(life, after, now);
}

// Stops streams on an engine that leaves before they end, and continues them at another engine from the
// copied KV cache. This is the same generation, so it is allowed also for streams that can't be resumed.
void Gateway::moveRunsAway(TimeMs now)
{
    std::vector<CallerId> toMove;
    std::vector<AttemptId> unstarted;
    std::vector<CallerId> late;
    for (const std::pair<const AttemptId, CallerId> &entry : attempts_) {
        const Exchange &exchange = exchanges_.at(entry.second);
        if (!exchange.move && isWorthMoving(exchange, now))
            toMove.push_back(entry.second);
        if (isTooLateToStart(exchange, now))
            unstarted.push_back(entry.first);
        if (exchange.move && exchange.move->handle
            && now - exchange.move->startedAt > MoveTimeout + LastBytesTime)
            late.push_back(entry.second);
    }
    for (CallerId id : toMove)
        startMove(exchanges_.at(id), now);
    for (AttemptId attempt : unstarted)
        cancelBroken(attempt, now);
    for (CallerId id : late)
        goOnAtTarget(exchanges_.at(id), now);
}

// Returns whether a request that still waits at a leaving engine has to be sent elsewhere. It has no KV cache
// to migrate. Only retryable requests qualify: whether another one has begun to run is not known.
bool Gateway::isTooLateToStart(const Exchange &exchange, TimeMs now) const
{
    const FleetEndpoint *endpoint = fleet_.find(exchange.at);
    return exchange.phase == ExchangePhase::Sent && !exchange.streaming && mayRepeat(exchange)
        && exchange.sends + 1 < exchange.route->attempts && exchange.route->kind == RouteKind::Streaming
        && endpoint && endpoint->leavesAt && now + MoveMargin > *endpoint->leavesAt;
}

// Endpoints of other versions than the target of a roll-out stop when the roll-out is completed.
std::optional<TimeMs> Gateway::emptyBy(const FleetEndpoint &endpoint, TimeMs now) const
{
    const std::optional<int64_t> emptyBy
        = rollouts_.emptyByWallMs(endpoint.entry.service, endpoint.entry.version);
    if (endpoint.leavesAt || !emptyBy || wallAt(now) < *emptyBy - LastMoves.count)
        return endpoint.leavesAt;
    return TimeMs{*emptyBy - usage_.offset()};
}

bool Gateway::isWorthMoving(const Exchange &exchange, TimeMs now) const
{
    if (!exchange.streaming || exchange.moveTargets.size() >= MostMoves || isQuarantined(exchange, now))
        return false;
    const FleetEndpoint *endpoint = fleet_.find(exchange.at);
    const std::optional<TimeMs> endsAt = endpoint ? emptyBy(*endpoint, now) : std::nullopt;
    if (!endsAt)
        return false;
    const ServedService *service = exchange.configuration->findService(exchange.service);
    if (!service || !service->engine || !service->engine->movesRuns)
        return false;
    const uint64_t perEvent = std::max(service->engine->tokensPerEvent, 1U);
    const uint64_t expected = (exchange.request->outputTokens + perEvent - 1) / perEvent;
    const double left = static_cast<double>(expected - std::min(expected, exchange.events));
    const double eventMs = exchange.eventsHere < 2 ? UnknownEventMs
                                                   : static_cast<double>((now - exchange.firstEventAt).count)
            / static_cast<double>(exchange.eventsHere - 1);
    const DurationMs rest{static_cast<int64_t>(left * eventMs)};
    return now + rest + MoveMargin > *endsAt;
}

void Gateway::startMove(Exchange &exchange, TimeMs now)
{
    PlacementQuestion question = questionOf(exchange);
    question.tried = exchange.moveTargets;
    question.tried.insert(exchange.at.id);
    const PlacementResult result = place(exchange, question, now);
    const FleetEndpoint *source = fleet_.find(exchange.at);
    const FleetEndpoint *target = result.choice ? fleet_.find(result.choice->endpoint) : nullptr;
    if (!source || !target)
        return;
    if (!repeats_.take(exchange.service, slackShare(now), now)) {
        // Tried again with each tick, but logged only once.
        if (!std::exchange(exchange.moveDenied, true)) {
            counters_.add(GatewayCount::RetriesDenied);
            log(LogWeight::Failure, "repeat_denied", exchange, {{"reason", toText(GatewayRetry::Moved)}});
        }
        return;
    }
    RunMove move;
    move.target = target->life();
    exchange.moveTargets.insert(move.target.id);
    move.source = source->entry.address;
    move.startedAt = now;
    exchange.move = move;
    fleet_.reserve(move.target, now);
    log(LogWeight::Failure, "move", exchange,
        {{"attempt", exchange.attempt.value},
         {"target", move.target.id.value},
         {"events", exchange.events},
         {"leaves_in_ms", (emptyBy(*source, now).value_or(now) - now).count}});
    actions_.emplace_back(
        MoveRun{exchange.attempt, move.source, target->entry.address, exchange.request->id, MoveTimeout});
}

void Gateway::onRunMoved(const RunMoved &event, TimeMs now)
{
    Exchange *exchange = byAttempt(event.attempt);
    if (!exchange || !exchange->move)
        return;
    RunMove &move = *exchange->move;
    if (event.outcome != MoveOutcome::Moved) {
        log(LogWeight::Failure, "move_failed", *exchange,
            {{"outcome", static_cast<int>(event.outcome)}, {"source_closed", move.sourceClosed}});
        return moveFailed(*exchange, now);
    }
    move.handle = event.handle;
    if (move.sourceClosed)
        goOnAtTarget(*exchange, now);
}

// If the generation stopped but its KV cache did not arrive at the target, its stream has ended and is
// resumed where possible. If the generation still runs, the stream just continues.
void Gateway::moveFailed(Exchange &exchange, TimeMs now)
{
    const bool closed = exchange.move->sourceClosed;
    exchange.move.reset();
    if (closed)
        onBroken({exchange.attempt, true}, now);
}

void Gateway::goOnAtTarget(Exchange &exchange, TimeMs now)
{
    const RunMove move = *exchange.move;
    cancelAttempt(exchange);
    // A target that has restarted no longer holds the KV cache.
    if (!fleet_.find(move.target) || isQuarantined(exchange, now))
        return streamBroke(exchange, now);
    counters_.add(GatewayRetry::Moved);
    PlacementChoice choice;
    choice.endpoint = move.target.id;
    choice.isReserved = true;
    send(exchange, questionOf(exchange), choice, now, RunMemory{move.source, *move.handle});
}

} // namespace cranberry
