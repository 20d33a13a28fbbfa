#include "gateway/gateway.h"

#include <utility>

namespace cranberry {

namespace {

/// Left for the move itself and the rest of what is under way.
constexpr DurationMs MoveMargin{500};
/// A copy of one run takes milliseconds; those of a whole engine queue behind each other.
constexpr DurationMs MoveTimeout{1200};
/// An engine answers from memory; a later answer is of no use for a notice of seconds.
constexpr DurationMs ProbeTimeout{500};
/// After the reply the stopped stream's last bytes are still to come.
constexpr DurationMs LastBytesTime{150};
/// Before the end of a roll-out most streams end by themselves; what is left is moved in this time.
constexpr DurationMs LastMoves{1300};
constexpr size_t MostMoves = 4; ///< Tries for one request, each at another target.
/// Pace of a stream of which only the first event has been seen.
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

// Streams on an engine that leaves before they end are stopped there, and go on at another engine from the
// memory that was copied. That counts as the same run, so it is allowed for streams that can't be resumed,
// too.
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

// A request that still waits at an engine when this goes has no memory to move. One that may run twice is
// sent elsewhere in time; for the others that would be a guess whether they have begun.
bool Gateway::isTooLateToStart(const Exchange &exchange, TimeMs now) const
{
    const FleetEndpoint *endpoint = fleet_.find(exchange.at);
    return exchange.phase == ExchangePhase::Sent && !exchange.streaming && mayRepeat(exchange)
        && exchange.sends + 1 < exchange.route->attempts && exchange.route->kind == RouteKind::Streaming
        && endpoint && endpoint->leavesAt && now + MoveMargin > *endpoint->leavesAt;
}

// Of a roll-out, endpoints of other versions than the target stop when it is completed.
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
        // Tried again with each tick, told once.
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

// The run may have stopped without its memory having arrived anywhere: then its stream has ended, and what
// can be resumed is. If it still runs, nothing has happened.
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
    // A target that started again does not hold the memory any more.
    if (!fleet_.find(move.target) || isQuarantined(exchange, now))
        return streamBroke(exchange, now);
    counters_.add(GatewayRetry::Moved);
    PlacementChoice choice;
    choice.endpoint = move.target.id;
    choice.isReserved = true;
    send(exchange, questionOf(exchange), choice, now, RunMemory{move.source, *move.handle});
}

} // namespace cranberry
