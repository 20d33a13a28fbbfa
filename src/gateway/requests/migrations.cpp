#include "gateway/gateway.h"

#include <array>
#include <utility>

namespace cranberry {

namespace {

/// Time left for the migration itself and for events that are still in flight.
constexpr DurationMs MigrationMargin{500};
/// Copying the KV cache of one generation takes milliseconds, but the copies of a whole engine are queued.
constexpr DurationMs MigrationTimeout{1200};
/// An engine replies from memory. A later reply is useless, since reclaim notices are seconds long.
constexpr DurationMs ProbeTimeout{500};
/// Time for the last bytes of the stopped stream, which arrive after the reply to the migration request.
constexpr DurationMs LastBytesTimeout{150};
constexpr size_t MaxMigrations = 4; ///< Migration attempts per request, each to another target.
/// Event interval assumed for a stream of which only the first event has been received.
constexpr double DefaultEventIntervalMs = 60;
constexpr std::array OutcomeNames
    = {"migrated", "no_such_generation", "no_capacity", "refused", "no_reply", "unreached"};

} // namespace

const char *toText(MigrationOutcome outcome)
{
    return OutcomeNames.at(static_cast<size_t>(outcome));
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

// Stops streams on an engine that leaves before they end, and continues them at another engine from the
// copied KV cache. This is the same generation, so it is allowed also for streams that can't be resumed.
// Streams on versions that a roll-out replaces run to their end: no other engine of their version will last
// longer.
void Gateway::migrateFromLeavingEngines(TimeMs now)
{
    std::vector<CallerId> toMigrate;
    std::vector<AttemptId> unstarted;
    std::vector<CallerId> late;
    for (const std::pair<const AttemptId, CallerId> &entry : attempts_) {
        const Exchange &exchange = exchanges_.at(entry.second);
        if (!exchange.migration && shouldMigrate(exchange, now))
            toMigrate.push_back(entry.second);
        if (isTooLateToStart(exchange, now))
            unstarted.push_back(entry.first);
        if (exchange.migration && exchange.migration->handle
            && now - exchange.migration->startedAt > MigrationTimeout + LastBytesTimeout)
            late.push_back(entry.second);
    }
    for (size_t i = 0; i < toMigrate.size(); ++i)
        startMigration(exchanges_.at(toMigrate[i]), toMigrate.size() - i - 1, now);
    for (AttemptId attempt : unstarted)
        cancelAsFailed(attempt, now);
    for (CallerId id : late)
        continueAtTarget(exchanges_.at(id), now);
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
    const FleetEndpoint *endpoint = fleet_.find(exchange.sentTo);
    if (!endpoint || !endpoint->leavesAt)
        return false;
    const ServedService *service = exchange.configuration->findService(exchange.service);
    if (!service || !service->engine || !service->engine->migratesGenerations)
        return false;
    const uint64_t perEvent = std::max(service->engine->tokensPerEvent, 1U);
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
    if (!retryBudget_.take(exchange.service, GatewayRetry::Moved, now)) {
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
    migration.startedAt = now;
    exchange.migration = migration;
    fleet_.reserve(migration.target, now);
    log(LogPriority::Failure, "move", exchange,
        {{"attempt", exchange.attempt.value},
         {"target", migration.target.id.value},
         {"events", exchange.events},
         {"leaves_in_ms", (source->leavesAt.value_or(now) - now).count}});
    actions_.emplace_back(MigrateGeneration{exchange.attempt, migration.source, target->entry.address,
                                            exchange.request->id, MigrationTimeout,
                                            relayFor(exchange.service, now), source->entry.id});
}

void Gateway::onGenerationMigrated(const GenerationMigrated &event, TimeMs now)
{
    Exchange *exchange = findByAttempt(event.attempt);
    if (!exchange || !exchange->migration)
        return;
    GenerationMigration &migration = *exchange->migration;
    if (!event.handle.empty())
        exchange->kept = KeptGeneration{exchange->sentTo, {migration.source, event.handle}};
    if (event.outcome != MigrationOutcome::Migrated) {
        log(LogPriority::Failure, "move_failed", *exchange,
            {{"outcome", toText(event.outcome)},
             {"after_ms", (now - migration.startedAt).count},
             {"events", exchange->events},
             {"events_made", event.eventsMade.value_or(0)},
             {"has_handle", !event.handle.empty()},
             {"source_closed", migration.sourceEnd.has_value()}});
        exchange->stop = stopAfterReply(exchange->stop, event);
        return onMigrationFailed(*exchange, now);
    }
    migration.handle = event.handle;
    // An engine that began in the middle of a stream may count from there.
    if (exchange->sends == 0 && !exchange->request->resumeAfter)
        exchange->eventsMade = event.eventsMade.value_or(0);
    log(LogPriority::Failure, "moved", *exchange,
        {{"after_ms", (now - migration.startedAt).count},
         {"events", exchange->events},
         {"events_made", event.eventsMade.value_or(0)},
         {"source_closed", migration.sourceEnd.has_value()}});
    if (migration.sourceEnd)
        continueAtTarget(*exchange, now);
}

void Gateway::recordSourceEnd(Exchange &exchange, StreamEnd end, TimeMs now)
{
    GenerationMigration &migration = *exchange.migration;
    migration.sourceEnd = end;
    if (migration.handle)
        return;
    counters_.add(GatewayCount::SourcesClosedInMove);
    log(LogPriority::Failure, "move_source_closed", exchange,
        {{"after_ms", (now - migration.startedAt).count}, {"end", toText(end)}, {"events", exchange.events}});
}

// If the generation stopped but its KV cache did not arrive at the target, its stream is resumed where
// possible. If the generation still runs, the stream just continues.
void Gateway::onMigrationFailed(Exchange &exchange, TimeMs now)
{
    const std::optional<StreamEnd> end = exchange.migration->sourceEnd;
    exchange.migration.reset();
    if (end)
        endStream(exchange, *end, now);
}

void Gateway::continueAtTarget(Exchange &exchange, TimeMs now)
{
    const GenerationMigration migration = *exchange.migration;
    cancelAttempt(exchange);
    // A target that has restarted no longer holds the KV cache.
    if (!fleet_.find(migration.target) || isQuarantined(exchange, now)) {
        if (!returnToSource(exchange, now))
            abortStream(exchange, now);
        return;
    }
    counters_.add(GatewayRetry::Moved);
    PlacementChoice choice;
    choice.endpoint = migration.target.id;
    choice.isReserved = true;
    send(exchange, placementQuery(exchange), choice, now,
         MigratedKvCache{migration.source, *migration.handle});
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
    // If nothing was sent to the target, the migration has paid for this send.
    const bool isPaid = exchange.sentTo == kept.source;
    if (!isPaid && !retryBudget_.take(exchange.service, GatewayRetry::Moved, now)) {
        logDenied(exchange, toText(GatewayRetry::Moved));
        return false;
    }
    counters_.add(GatewayRetry::Moved);
    log(LogPriority::Failure, "move_returned", exchange, {{"source", kept.source.id.value}});
    PlacementChoice choice;
    choice.endpoint = kept.source.id;
    send(exchange, placementQuery(exchange), choice, now, kept.kvCache);
    return true;
}

} // namespace cranberry
