#include "gateway/gateway.h"

#include <array>
#include <utility>

namespace cranberry {

namespace {

/// Time left for the migration itself and for events that are still in flight.
constexpr DurationMs MigrationMargin{500};
/// Of a call that stops a generation: its copy is at the target, and what is new takes milliseconds.
constexpr DurationMs StopTimeout{1200};
/// A call without a reply is made again after this time, in case the reply was lost: an engine that is still
/// at work says so.
constexpr DurationMs RepeatTime{400};
constexpr uint32_t MaxCalls = 4; ///< Without a reply, until another target is tried, or the pauses grow.
constexpr uint32_t MaxPauseDoublings = 3; ///< Of the time between two calls.
/// An engine replies from memory. A later reply is useless, since reclaim notices are seconds long.
constexpr DurationMs ProbeTimeout{500};
/// The last bytes of a stopped stream and the reply to the call that stopped it arrive on two connections.
constexpr DurationMs LastBytesTimeout{150};
constexpr size_t MaxMigrations = 4; ///< Migration attempts per request, each to another target.
/// Event interval assumed for a stream of which only the first event has been received.
constexpr double DefaultEventIntervalMs = 60;
constexpr std::array OutcomeNames
    = {"migrated", "no_such_generation", "no_capacity", "refused", "no_reply", "unreached"};
constexpr std::array StepNames = {"copy", "stop"};
constexpr std::array ReasonNames = {"engine_leaves", "engine_silent"};

const char *toText(MigrationReason reason)
{
    return ReasonNames.at(static_cast<size_t>(reason));
}

/// Returns the time from the newest call until the next one. An engine that has left the first ones
/// unanswered may have work to do.
DurationMs repeatPause(const GenerationMigration &migration)
{
    const uint32_t beyond = migration.calls - std::min(migration.calls, MaxCalls - 1);
    return RepeatTime * (int64_t{1} << std::min(beyond, MaxPauseDoublings));
}

} // namespace

const char *toText(MigrationOutcome outcome)
{
    return OutcomeNames.at(static_cast<size_t>(outcome));
}

const char *toText(MigrationStep step)
{
    return StepNames.at(static_cast<size_t>(step));
}

void Gateway::probeEngines(TimeMs now)
{
    for (const EndpointEntry &entry : fleet_.dueProbes(now)) {
        const ServedService *service = configuration_ ? configuration_->findService(entry.service) : nullptr;
        if (service && service->engine)
            actions_.emplace_back(
                ProbeEngine{entry.id, entry.address, ProbeTimeout, false, relayFor(entry.service, now)});
    }
}

void Gateway::onEngineProbed(const EngineProbed &event, TimeMs now)
{
    if (event.afterConnectionFailure)
        onProcessProbed(event, now);
    if (event.relay && event.relayFailure != RelayFailure::Unavailable)
        silentEndpoints_.record({event.endpoint, event.relay}, event.relayFailure == RelayFailure::None);
    if (const FleetEndpoint *known = fleet_.find(event.endpoint))
        recordNotice(known->incarnation(), event.notice, "", now);
    const EndpointIncarnation incarnation{event.endpoint, event.start};
    if (!event.answered || !fleet_.confirmIncarnation(incarnation, now) || !event.leaving)
        return;
    const DurationMs after = event.leavesAfter.value_or(settings_.drainTime);
    log_.write(LogPriority::State, "engine_says_it_leaves",
               {{"endpoint", event.endpoint.value},
                {"leaves_in_ms", after.count},
                {"list_age_ms", (now - fleet_.listedAt()).count}});
    fleet_.setLeaving(incarnation, after, now);
}

// Continues streams at another engine, from the copied KV cache, if their own leaves before they end or is
// silent. This is the same generation, so it is allowed also for streams that
// can't be resumed. Streams on versions that a roll-out replaces run to their end: no other engine of their
// version will last longer.
void Gateway::migrateStreams(TimeMs now)
{
    std::vector<CallerId> toMigrate;
    std::vector<AttemptId> unstarted;
    std::vector<CallerId> migrating;
    for (const std::pair<const AttemptId, CallerId> &entry : attempts_) {
        const Exchange &exchange = exchanges_.at(entry.second);
        if (exchange.migration)
            migrating.push_back(entry.second);
        else if (shouldMigrate(exchange, now))
            toMigrate.push_back(entry.second);
        if (isTooLateToStart(exchange, now))
            unstarted.push_back(entry.first);
    }
    for (size_t i = 0; i < toMigrate.size(); ++i)
        startMigration(exchanges_.at(toMigrate[i]), toMigrate.size() - i - 1, now);
    for (AttemptId attempt : unstarted)
        cancelAsFailed(attempt, now);
    // The end of one stream may end others, which waited for it.
    for (CallerId id : migrating) {
        const auto found = exchanges_.find(id);
        if (found != exchanges_.end() && found->second.migration)
            advanceMigration(found->second, now);
    }
}

// Returns whether a request that still waits at a leaving engine has to be sent elsewhere. It has no KV cache
// to migrate. Only retryable requests qualify: whether another one has begun to run is not known.
bool Gateway::isTooLateToStart(const Exchange &exchange, TimeMs now) const
{
    const FleetEndpoint *endpoint = fleet_.find(exchange.sentTo);
    return exchange.phase == ExchangePhase::Sent && !exchange.streaming && mayRetry(exchange)
        && exchange.sends + 1 < exchange.route->attempts && exchange.route->kind == RouteKind::Streaming
        && endpoint && endpoint->leavesAt && now + MigrationMargin > *endpoint->leavesAt
        && endsBeforeExit(exchange, now);
}

bool Gateway::shouldMigrate(const Exchange &exchange, TimeMs now) const
{
    if (!exchange.streaming || exchange.hasEventsWithoutId || exchange.processCheck == ProcessCheck::Asked
        || exchange.migrationTargets.size() >= MaxMigrations || isQuarantined(exchange, now))
        return false;
    const ServedService *service = exchange.configuration->findService(exchange.service);
    if (!service || !service->engine || !service->engine->migratesGenerations)
        return false;
    return endsAfterExit(exchange, *service->engine, now) || isStalled(exchange, now);
}

// Returns whether the generation is expected to run on when its engine exits.
bool Gateway::endsAfterExit(const Exchange &exchange, const EngineFigures &engine, TimeMs now) const
{
    const FleetEndpoint *endpoint = fleet_.find(exchange.sentTo);
    if (!endpoint || !endpoint->leavesAt)
        return false;
    const uint64_t perEvent = std::max(engine.tokensPerEvent, 1U);
    const uint64_t expected = (exchange.request->outputTokens + perEvent - 1) / perEvent;
    const double left = static_cast<double>(expected - std::min(expected, exchange.events));
    const double eventMs = exchange.attemptEvents < 2
        ? DefaultEventIntervalMs
        : static_cast<double>((now - exchange.firstEventAt).count)
            / static_cast<double>(exchange.attemptEvents - 1);
    const DurationMs rest{static_cast<int64_t>(left * eventMs)};
    const bool outlivesExit = departure_ && now + rest > departure_->answersDueAt;
    return now + rest + MigrationMargin > *endpoint->leavesAt && !outlivesExit;
}

// Returns whether a stream has to leave an engine that sends nothing but is reached. Its word is needed that
// the generation has stopped: closing the connection does not stop it at every engine.
bool Gateway::isStalled(const Exchange &exchange, TimeMs now) const
{
    return mayResumeElsewhere(exchange) && fleet_.isSilent(exchange.sentTo, exchange.route->gapTarget, now)
        && reachOfSilent(exchange) == SilentEndpoints::Reach::Reached && endsBeforeExit(exchange, now);
}

void Gateway::startMigration(Exchange &exchange, size_t others, TimeMs now)
{
    PlacementQuery question = placementQuery(exchange);
    question.tried = exchange.migrationTargets;
    question.tried.insert(exchange.sentTo.id);
    const PlacementResult result = place(exchange, question, now);
    const FleetEndpoint *source = fleet_.find(exchange.sentTo);
    const FleetEndpoint *target = result.choice ? fleet_.find(result.choice->endpoint) : nullptr;
    if (!source || !target || !fleet_.takeCall(source->entry.id, now))
        return;
    if (!takeMoveUnit(exchange, now)) {
        drawRetries(exchange.service, static_cast<uint32_t>(others) + 1, now);
        // Tried again with each tick, but logged only once.
        if (!std::exchange(exchange.migrationDenied, true)) {
            counters_.add(GatewayCount::RetriesDenied);
            logDenied(exchange, toText(GatewayRetry::Moved));
        }
        return;
    }
    GenerationMigration migration;
    migration.target = target->incarnation();
    exchange.migrationTargets.insert(migration.target.id);
    migration.source = source->entry.address;
    migration.reason = source->leavesAt ? MigrationReason::EngineLeaves : MigrationReason::EngineSilent;
    migration.startedAt = migration.stepSince = now;
    exchange.migration = migration;
    fleet_.reserve(migration.target, now);
    log(LogPriority::Failure, "move", exchange,
        {{"attempt", exchange.attempt.value},
         {"target", migration.target.id.value},
         {"reason", toText(migration.reason)},
         {"events", exchange.events},
         {"leaves_in_ms", (source->leavesAt.value_or(now) - now).count}});
    callSource(exchange, now);
}

// Copies are no requests, so only what is sent afterwards uses the unit. Copies that find no room would use
// up the units of streams that still can be moved otherwise.
bool Gateway::takeMoveUnit(Exchange &exchange, TimeMs now)
{
    if (!exchange.hasMoveUnit)
        exchange.hasMoveUnit = retryBudget_.take(exchange.service, GatewayRetry::Moved, now);
    return exchange.hasMoveUnit;
}

void Gateway::callSource(Exchange &exchange, TimeMs now)
{
    GenerationMigration &migration = *exchange.migration;
    const FleetEndpoint *target = fleet_.find(migration.target);
    const bool mayHaveStopped = migration.isStopping() && migration.calls > 0;
    if (!target && !mayHaveStopped) {
        exchange.migration.reset();
        return;
    }
    migration.calledAt = now;
    ++migration.calls;
    if (!target)
        return;
    const MigrationCallId call{nextMigrationCall_++};
    migration.openCalls.insert(call);
    const DurationMs timeout = migration.isStopping() ? StopTimeout : copyTimeout(exchange, now);
    actions_.emplace_back(MigrateGeneration{exchange.attempt, migration.source, target->entry.address,
                                            exchange.request->id, timeout, relayFor(exchange.service, now),
                                            exchange.sentTo.id, call, migration.step});
}

// The copies of a whole engine wait for each other, and the generation runs on meanwhile. A call that is
// given up leaves its copy behind, and another target needs all of it again, behind the others.
DurationMs Gateway::copyTimeout(const Exchange &exchange, TimeMs now) const
{
    const FleetEndpoint *source = fleet_.find(exchange.sentTo);
    const TimeMs exitsAt = source && source->leavesAt ? *source->leavesAt : now;
    return std::max(StopTimeout, exitsAt - now - MigrationMargin);
}

// Makes a call without a reply again, and goes on without a reply where the generation has ended for sure.
void Gateway::advanceMigration(Exchange &exchange, TimeMs now)
{
    const GenerationMigration &migration = *exchange.migration;
    if (migration.sourceEnd)
        return advanceEnded(exchange, now);
    if (const std::optional<RunEndProof> proof = proofOfSourceEnd(exchange, now))
        return continueAtTarget(exchange, *proof, now);
    if (isNeedless(exchange, now)) {
        exchange.migrationTargets.erase(migration.target.id);
        exchange.migration.reset();
        return;
    }
    if (migration.isStopped || migration.hasEnded || now - migration.calledAt < repeatPause(migration))
        return;
    const bool mayTryAnother = migration.reason == MigrationReason::EngineLeaves && !migration.isStopping();
    if (migration.calls < MaxCalls || !mayTryAnother)
        return repeatCall(exchange, now);
    // The generation runs on, so another target may be tried.
    if (migration.openCalls.empty())
        exchange.migration.reset();
}

// Returns whether the silent engine of a generation, which was not asked to stop it, is at work again.
bool Gateway::isNeedless(const Exchange &exchange, TimeMs now) const
{
    return exchange.migration->reason == MigrationReason::EngineSilent && !exchange.migration->isStopping()
        && !isStalled(exchange, now);
}

// The stream has ended at its source, and the reply that says what that means has not come.
void Gateway::advanceEnded(Exchange &exchange, TimeMs now)
{
    const GenerationMigration &migration = *exchange.migration;
    if (migration.sourceEnd == StreamEnd::Stated) {
        if (migration.openCalls.empty() || now - migration.sourceEndedAt > StopTimeout)
            endWithoutReply(exchange, now);
        return;
    }
    if (now - migration.sourceEndedAt <= LastBytesTimeout)
        return;
    if (migration.isStopping())
        return continueAtTarget(exchange, RunEndProof::StreamClosed, now);
    interruptAttempt(exchange, {exchange.attempt, true}, now);
}

// Returns how it is known that a generation that was asked to stop works no more, if its stream has not
// ended. Silence is no proof: an engine may leave calls unanswered and go on later.
std::optional<RunEndProof> Gateway::proofOfSourceEnd(const Exchange &exchange, TimeMs now) const
{
    const GenerationMigration &migration = *exchange.migration;
    if (!migration.isStopping() || now - migration.stepSince <= StopTimeout + LastBytesTimeout)
        return std::nullopt;
    if (migration.isStopped || migration.hasEnded) {
        if (exchange.processCheck == ProcessCheck::Asked)
            return std::nullopt;
        return migration.isStopped ? RunEndProof::SaidStopped : RunEndProof::SaidUnknown;
    }
    if (!fleet_.find(exchange.sentTo))
        return RunEndProof::Replaced;
    const DurationMs pause = std::max(exchange.route->gapTarget, StopTimeout);
    if (fleet_.isSilent(exchange.sentTo, pause, now) && isUnreached(exchange))
        return RunEndProof::Unreached;
    return std::nullopt;
}

void Gateway::repeatCall(Exchange &exchange, TimeMs now)
{
    if (!fleet_.takeCall(exchange.sentTo.id, now))
        return;
    counters_.add(GatewayCount::MoveCallsRepeated);
    log(LogPriority::Failure, "move_asked_again", exchange,
        {{"step", toText(exchange.migration->step)},
         {"calls", exchange.migration->calls},
         {"after_ms", (now - exchange.migration->startedAt).count}});
    callSource(exchange, now);
}

// Its last chunk says that the stream is complete, and no reply says otherwise.
void Gateway::endWithoutReply(Exchange &exchange, TimeMs now)
{
    const StreamEnd end = *exchange.migration->sourceEnd;
    exchange.stop = StopState::Unknown;
    releaseCopy(exchange, *exchange.migration);
    exchange.migration.reset();
    endStream(exchange, end, now);
}

void Gateway::onGenerationMigrated(const GenerationMigrated &reply, TimeMs now)
{
    Exchange *exchange = findByAttempt(reply.attempt);
    if (!exchange || !exchange->migration || exchange->migration->openCalls.erase(reply.call) == 0
        || exchange->migration->isStopped || exchange->migration->hasEnded)
        return;
    if (reply.step == MigrationStep::Stop)
        onStopReply(*exchange, reply, now);
    else if (!exchange->migration->isStopping())
        onCopyReply(*exchange, reply, now);
}

// The generation runs on, whatever the reply is. It is stopped once its copy can be named.
void Gateway::onCopyReply(Exchange &exchange, const GenerationMigrated &reply, TimeMs now)
{
    GenerationMigration &migration = *exchange.migration;
    switch (reply.outcome) {
    case MigrationOutcome::Migrated:
        migration.handle = reply.handle;
        // Its stream has ended, and whether as complete is being found out.
        if (exchange.processCheck == ProcessCheck::Asked) {
            releaseCopy(exchange, migration);
            exchange.migration.reset();
            return;
        }
        migration.step = MigrationStep::Stop;
        // A stream that has ended meanwhile waits for the reply to the stop from now on.
        migration.stepSince = migration.sourceEndedAt = now;
        migration.calls = 0;
        recordEventsMade(exchange, reply);
        log(LogPriority::Failure, "move_copied", exchange,
            {{"after_ms", (now - migration.startedAt).count},
             {"events", exchange.events},
             {"events_made", reply.eventsMade.value_or(0)}});
        return callSource(exchange, now);
    case MigrationOutcome::NoSuchGeneration:
    case MigrationOutcome::NoCapacity:
        logMoveFailed(exchange, reply, now);
        if (migration.sourceEnd)
            return interruptAttempt(exchange, {exchange.attempt, true}, now);
        return abandonCopy(exchange, reply.outcome, now);
    case MigrationOutcome::Refused: // The copy is in progress, so no reply is missing.
        migration.calls = 1;
        return logMoveFailed(exchange, reply, now);
    case MigrationOutcome::NoReply:
    case MigrationOutcome::Unreached:
        return logMoveFailed(exchange, reply, now);
    }
}

// No copy was made. A silent stream whose engine does not know the generation is resumed without one.
void Gateway::abandonCopy(Exchange &exchange, MigrationOutcome outcome, TimeMs now)
{
    exchange.migration.reset();
    if (outcome != MigrationOutcome::NoSuchGeneration || !isStalled(exchange, now))
        return;
    recordRunLeft(exchange, RunEndProof::SaidUnknown, now);
    cancelAsFailed(exchange.attempt, now);
}

// A reply with a handle says that the generation has stopped. The copy is at the target also if there was no
// room for what it lacks.
void Gateway::onStopReply(Exchange &exchange, const GenerationMigrated &reply, TimeMs now)
{
    GenerationMigration &migration = *exchange.migration;
    if (reply.handle.empty()) {
        logMoveFailed(exchange, reply, now);
        const bool mayHaveStopped = !migration.openCalls.empty();
        exchange.stop = stopAfterReply(mayHaveStopped ? StopState::Unknown : exchange.stop, reply);
        migration.hasEnded = reply.outcome == MigrationOutcome::NoSuchGeneration;
        if (migration.hasEnded && migration.sourceEnd)
            endStream(exchange, *migration.sourceEnd, now);
        return;
    }
    exchange.kept = KeptGeneration{exchange.sentTo, {migration.source, reply.handle}};
    migration.handle = reply.handle;
    migration.isStopped = true;
    recordEventsMade(exchange, reply);
    log(LogPriority::Failure, "moved", exchange,
        {{"outcome", toText(reply.outcome)},
         {"after_ms", (now - migration.startedAt).count},
         {"stop_ms", (now - migration.stepSince).count},
         {"events", exchange.events},
         {"events_made", reply.eventsMade.value_or(0)},
         {"source_closed", migration.sourceEnd.has_value()}});
    if (migration.sourceEnd)
        continueAtTarget(exchange, RunEndProof::SaidStopped, now);
}

void Gateway::logMoveFailed(const Exchange &exchange, const GenerationMigrated &reply, TimeMs now) const
{
    const GenerationMigration &migration = *exchange.migration;
    log(LogPriority::Failure, "move_failed", exchange,
        {{"step", toText(reply.step)},
         {"outcome", toText(reply.outcome)},
         {"after_ms", (now - migration.startedAt).count},
         {"events", exchange.events},
         {"events_made", reply.eventsMade.value_or(0)},
         {"has_handle", !reply.handle.empty()},
         {"source_closed", migration.sourceEnd.has_value()}});
}

// An engine that began in the middle of a stream may count from there.
void Gateway::recordEventsMade(Exchange &exchange, const GenerationMigrated &reply) const
{
    if (exchange.sends == 0 && !exchange.request->resumeAfter)
        exchange.eventsMade = reply.eventsMade.value_or(exchange.eventsMade);
}

void Gateway::recordSourceEnd(Exchange &exchange, StreamEnd end, TimeMs now)
{
    GenerationMigration &migration = *exchange.migration;
    migration.sourceEnd = end;
    migration.sourceEndedAt = now;
    if (migration.isStopped)
        return;
    counters_.add(GatewayCount::SourcesClosedInMove);
    log(LogPriority::Failure, "move_source_closed", exchange,
        {{"after_ms", (now - migration.startedAt).count}, {"end", toText(end)}, {"events", exchange.events}});
}

// A copy that nobody continues takes memory and a slot of its engine for seconds.
void Gateway::releaseCopy(const Exchange &exchange, const GenerationMigration &migration)
{
    if (migration.handle)
        actions_.emplace_back(
            ReleaseKvCache{{migration.source, *migration.handle}, exchange.sentTo.id, exchange.relay});
}

// The source has stopped, or its stream has ended since it was to stop: what the copy lacks is read again.
void Gateway::continueAtTarget(Exchange &exchange, RunEndProof proof, TimeMs now)
{
    recordRunLeft(exchange, proof, now);
    const GenerationMigration migration = *std::exchange(exchange.migration, std::nullopt);
    if (!migration.isStopped) {
        counters_.add(GatewayCount::MovesWithoutReply);
        exchange.kept = KeptGeneration{exchange.sentTo, {migration.source, *migration.handle}};
        log(LogPriority::Failure, "moved_without_reply", exchange,
            {{"after_ms", (now - migration.startedAt).count},
             {"stop_ms", (now - migration.stepSince).count},
             {"events", exchange.events}});
    }
    cancelAttempt(exchange);
    // A target that has restarted no longer holds the KV cache.
    if (!fleet_.find(migration.target) || isQuarantined(exchange, now)) {
        if (!returnToSource(exchange, now))
            abortStream(exchange, now);
        return;
    }
    counters_.add(GatewayRetry::Moved);
    exchange.hasMoveUnit = false;
    PlacementChoice choice;
    choice.endpoint = migration.target.id;
    choice.isReserved = true;
    send(exchange, placementQuery(exchange), choice, now,
         MigratedKvCache{migration.source, *migration.handle});
}

void Gateway::recordRunLeft(const Exchange &exchange, RunEndProof proof, TimeMs now)
{
    counters_.add(proof);
    log(LogPriority::Failure, "run_left", exchange,
        {{"attempt", exchange.attempt.value},
         {"proof", toText(proof)},
         {"events", exchange.events},
         {"silent_ms", (now - exchange.newestEventAt).count}});
}

// Continues a generation that no target took over at the engine that stopped it. A stream that can't be
// resumed would be lost otherwise. Its handle holds once, so the request can't run twice; the engine is asked
// only if there is time before its exit.
bool Gateway::returnToSource(Exchange &exchange, TimeMs now)
{
    if (!exchange.kept)
        return false;
    const KeptGeneration kept = *std::exchange(exchange.kept, std::nullopt);
    const FleetEndpoint *source = fleet_.find(kept.source);
    if (!source || source->gone || source->rest.isResting(now)
        || (source->leavesAt && now + MigrationMargin > *source->leavesAt) || isQuarantined(exchange, now))
        return false;
    if (!takeMoveUnit(exchange, now)) {
        logDenied(exchange, toText(GatewayRetry::Moved));
        return false;
    }
    counters_.add(GatewayRetry::Moved);
    exchange.hasMoveUnit = false;
    log(LogPriority::Failure, "move_returned", exchange, {{"source", kept.source.id.value}});
    PlacementChoice choice;
    choice.endpoint = kept.source.id;
    send(exchange, placementQuery(exchange), choice, now, kept.kvCache);
    return true;
}

} // namespace cranberry
