// Handles the outcome of attempts: forwards the response, retries or resumes at another endpoint, or gives
// up.

#include "gateway/gateway.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cranberry {

namespace {

namespace json = boost::json;

/// Maximum number of rejections of one request by endpoints that state that they did not run it. These sends
/// don't count against the route's attempts.
constexpr uint32_t MaxRejections = 2;
constexpr size_t MaxBufferedBody = 8U
    << 20; ///< An attempt with a larger response body is cancelled as failed.
/// Weight of the newest response in the moving mean of a service's response times. It averages over about
/// the last 20 responses.
constexpr double ResponseTimeWeight = 0.05;
constexpr int FirstServerError = 500;
constexpr std::array NotRunStatuses = {408, 421, 429, 503};

} // namespace

Exchange *Gateway::findByAttempt(AttemptId attempt)
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &exchanges_.at(found->second);
}

size_t Gateway::keptResponseBytes(AttemptId attempt) const
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? 0 : exchanges_.at(found->second).body.capacity();
}

void Gateway::onNoRoomForResponse(AttemptId attempt, TimeMs now)
{
    if (findByAttempt(attempt))
        cancelAsFailed(attempt, now);
}

void Gateway::releaseFetch(Exchange &exchange)
{
    if (exchange.fetch)
        fleet_.fetchFinished(exchange.sentTo, *exchange.fetch);
    exchange.fetch.reset();
}

// Removes the open attempt from the bookkeeping of this daemon.
void Gateway::detach(Exchange &exchange)
{
    if (exchange.migration)
        releaseCopy(exchange, *exchange.migration);
    exchange.migration.reset();
    releaseFetch(exchange);
    fleet_.firstByte(exchange.sentTo, exchange.prefillTokens);
    fleet_.attemptFinished(exchange.sentTo, std::exchange(exchange.streaming, false));
    fleet_.contextReleased(exchange.sentTo, *exchange.request, std::exchange(exchange.contextTokens, 0));
    exchange.prefillTokens = 0;
    exchange.relay.reset();
    attempts_.erase(exchange.attempt);
    exchange.attempt = {};
}

// Cancels the open attempt. The endpoint may already have run the request.
void Gateway::cancelAttempt(Exchange &exchange)
{
    exchange.mayHaveRun = true;
    actions_.emplace_back(CancelSent{exchange.attempt});
    detach(exchange);
}

// A response to a different request, or one from another instance that took over the address, says nothing
// about the outcome of this request. The attempt is cancelled and its connection closed.
void Gateway::onHead(const AttemptHead &event, TimeMs now)
{
    Exchange *exchange = findByAttempt(event.attempt);
    if (!exchange)
        return;
    if (!event.matchesRequest) {
        return cancelAsFailed(event.attempt, now);
    }
    recordContact(*exchange, now);
    if (exchange->relay)
        relays_.reached(exchange->service, *exchange->relay);
    exchange->head = event;
    exchange->processCheck = ProcessCheck::NotAsked;
    if (!event.wrongInstance) {
        recordLimit(*exchange, now);
        recordBrittleness(*exchange, now);
        recordNotice(exchange->sentTo, event.notice, exchange->request->id, now);
    }
    if (event.notExecuted || event.wrongInstance)
        return onRejected(*exchange, now);
    fleet_.accepted(exchange->sentTo, now);
    exchange->kept.reset();
    if (!event.eventStream)
        countUsage(*exchange, exchange->sentAt);
}

// The endpoint stated that it did not run the request, so a request of any kind may be sent to another one.
void Gateway::onRejected(Exchange &exchange, TimeMs now)
{
    log(LogPriority::Failure, "rejected", exchange,
        {{"attempt", exchange.attempt.value},
         {"status", exchange.head.status},
         {"wrong_instance", exchange.head.wrongInstance},
         {"rest_ms", exchange.head.notice.rest.value_or(DurationMs{0}).count}});
    actions_.emplace_back(CancelSent{exchange.attempt});
    if (!exchange.head.wrongInstance)
        recordBadOutcome(exchange, false, now);
    if (exchange.head.wrongInstance)
        fleet_.wrongInstance(exchange.sentTo);
    else if (!exchange.head.notice.rest)
        fleet_.rejected(exchange.sentTo, now);
    detach(exchange);
    ++exchange.rejections;
    const GatewayRetry reason
        = exchange.head.wrongInstance ? GatewayRetry::WrongInstance : GatewayRetry::NotExecuted;
    if (exchange.rejections <= MaxRejections && (retry(exchange, reason, now) || waitForRest(exchange, now)))
        return;
    if (returnToSource(exchange, now))
        return;
    if (exchange.phase == ExchangePhase::Streaming)
        return abortStream(exchange, now);
    giveUp(exchange, GatewayRefusal::NotExecuted, now);
}

void Gateway::onData(const AttemptData &event, TimeMs now)
{
    Exchange *exchange = findByAttempt(event.attempt);
    if (!exchange)
        return;
    recordContact(*exchange, now);
    if (!exchange->head.eventStream) {
        exchange->body += event.bytes;
        if (exchange->body.size() > MaxBufferedBody)
            cancelAsFailed(event.attempt, now);
        return;
    }
    fleet_.bytesReceived(exchange->sentTo, now);
    exchange->splitter.append(event.bytes);
    if (!forwardEvents(*exchange, now))
        cancelAsFailed(event.attempt, now);
}

// Forwards complete events to the caller as they arrive. Returns false if the endpoint skipped or repeated an
// event, since its stream does not continue the one that the caller has received so far.
bool Gateway::forwardEvents(Exchange &exchange, TimeMs now)
{
    std::string bytes;
    bool inOrder = true;
    const uint64_t eventsBefore = exchange.events;
    while (std::optional<StreamEvent> event = exchange.splitter.next()) {
        if (event->id && exchange.lastEvent) {
            inOrder = isNextEvent(exchange, *event->id);
            if (!inOrder)
                break;
            exchange.eventStep = *event->id - *exchange.lastEvent;
        }
        bytes += event->text;
        if (event->isComment)
            continue;
        if (event->id)
            exchange.lastEvent = event->id;
        exchange.hasEventsWithoutId = exchange.hasEventsWithoutId || !event->id;
        ++exchange.events;
        ++exchange.attemptEvents;
    }
    if (bytes.empty())
        return inOrder;
    if (exchange.phase != ExchangePhase::Streaming) {
        exchange.enter(ExchangePhase::Streaming, now);
        exchange.callerFirstEventAt = now;
        exchange.callerFraming = framingOf(exchange);
        countUsage(exchange, now);
        actions_.emplace_back(BeginCallerStream{exchange.caller, exchange.head.status, exchange.head.headers,
                                                exchange.callerFraming});
        log(LogPriority::Ordinary, "first_event", exchange, {{"after_ms", (now - exchange.arrivedAt).count}});
    }
    if (!exchange.streamVersion) {
        exchange.streamVersion = exchange.sentVersion;
        recordOrigin(exchange, now);
    }
    if (!std::exchange(exchange.streaming, true)) {
        exchange.firstEventAt = now;
        recordFirstEvent(exchange, now);
        // What a partition delayed shows nothing of the engine.
        const bool isDelayed = contacts_[exchange.service].doubtedAt >= exchange.sentAt;
        if (exchange.usualFirstEventMs > 0 && !isDelayed)
            speeds_.recordFirstEvent(exchange.service, exchange.sentTo, exchange.usualFirstEventMs,
                                     now - exchange.sentAt, now);
        if (exchange.foundNoQueue && exchange.prefillTokens > 0 && !isDelayed)
            demand_.recordFirstEvent(exchange.service, exchange.prefillTokens, now - exchange.sentAt);
        fleet_.streamStarted(exchange.sentTo);
        releaseFetch(exchange);
        fleet_.firstByte(exchange.sentTo, exchange.prefillTokens);
        exchange.prefillTokens = 0;
    }
    recordRunningProof(exchange, now);
    recordEventInterval(exchange, now);
    recordCallerEvent(exchange, now);
    recordContext(exchange, exchange.events - eventsBefore);
    actions_.emplace_back(CallerStreamData{exchange.caller, std::move(bytes)});
    return inOrder;
}

bool Gateway::isNextEvent(const Exchange &exchange, uint64_t id) const
{
    const bool isContinued = exchange.attemptEvents == 0;
    const std::optional<uint64_t> step
        = exchange.eventStep || !isContinued ? exchange.eventStep : eventSteps_.usual(exchange.service);
    return id > *exchange.lastEvent && id - *exchange.lastEvent == step.value_or(id - *exchange.lastEvent);
}

void Gateway::onEnd(const AttemptEnd &event, TimeMs now)
{
    Exchange *exchange = findByAttempt(event.attempt);
    if (!exchange)
        return;
    if (exchange->head.eventStream)
        return endStream(*exchange, streamEndOf(*exchange), now);
    if (exchange->head.isUnframed && exchange->processCheck != ProcessCheck::RanOn)
        return awaitEndpointState(*exchange, now);
    forwardFullResponse(*exchange, now);
}

// Returns how a stream ended whose bytes are complete according to their framing.
StreamEnd Gateway::streamEndOf(const Exchange &exchange)
{
    const bool isEmpty = exchange.attemptEvents == 0
        && (exchange.head.isUnframed || exchange.phase != ExchangePhase::Streaming);
    if (exchange.splitter.hasPartialEvent() || isEmpty || exchange.events < exchange.eventsMade)
        return StreamEnd::Broken;
    return exchange.head.isUnframed ? StreamEnd::Closed : StreamEnd::Stated;
}

void Gateway::endStream(Exchange &exchange, StreamEnd end, TimeMs now)
{
    switch (verdictOf(end, exchange.stop, awaitsMove(exchange, end))) {
    case EndVerdict::AwaitMove:
        recordSourceEnd(exchange, end, now);
        if (exchange.migration->isStopped)
            continueAtTarget(exchange, RunEndProof::SaidStopped, now);
        return;
    case EndVerdict::AskProcess:
        if (exchange.processCheck != ProcessCheck::RanOn)
            return awaitEndpointState(exchange, now);
        return completeStream(exchange, end, now);
    case EndVerdict::Interrupted:
        if (exchange.isStoppingForMove())
            return continueAtTarget(exchange, RunEndProof::StreamClosed, now);
        return interruptAttempt(exchange, {exchange.attempt, true}, now);
    case EndVerdict::Complete:
        return completeStream(exchange, end, now);
    }
}

// Returns whether a reply to the open move may still say what this end means. A stream that breaks off while
// its copy is made may be continued from the copy.
bool Gateway::awaitsMove(const Exchange &exchange, StreamEnd end)
{
    if (!exchange.migration || exchange.migration->hasEnded)
        return false;
    const GenerationMigration &migration = *exchange.migration;
    if (!migration.isStopping())
        return end == StreamEnd::Broken && !migration.openCalls.empty();
    const bool mayHaveStopped = exchange.stop == StopState::Unknown && end != StreamEnd::Stated;
    return migration.isStopped || !migration.openCalls.empty() || mayHaveStopped;
}

void Gateway::completeStream(Exchange &exchange, StreamEnd end, TimeMs now)
{
    fleet_.succeeded(exchange.sentTo);
    clearSuspicion(exchange, now);
    recordProof(exchange, now);
    // A last chunk would tell the caller that its stream is complete, which is not known of an unframed one.
    const bool mayEnd
        = end == StreamEnd::Stated || exchange.callerFraming == ResponseFraming::EndsWithConnection;
    counters_.add(mayEnd ? GatewayCount::StreamsWhole : GatewayCount::StreamsBroken);
    if (end == StreamEnd::Closed)
        counters_.add(GatewayCount::AnswersWithoutEnd);
    if (exchange.eventStep)
        eventSteps_.record(exchange.service, *exchange.eventStep);
    countLateStream(exchange);
    recordStreamDuration(exchange, now);
    recordAnswer(now);
    log(mayEnd ? LogPriority::Ordinary : LogPriority::Lost, mayEnd ? "stream_whole" : "stream_without_end",
        exchange,
        {{"after_ms", (now - exchange.arrivedAt).count},
         {"longest_pause_ms", exchange.longestPause.count},
         {"events", exchange.events},
         {"end", toText(end)}});
    detach(exchange);
    actions_.emplace_back(EndCallerStream{exchange.caller, mayEnd});
    finish(exchange);
    runQueue(now);
}

// A response without framing may have been cut short, also while the process of its endpoint runs on. The
// caller gets it without framing as well: a length or a last chunk would state that it is complete.
ResponseFraming Gateway::framingOf(const Exchange &exchange)
{
    return exchange.head.isUnframed ? ResponseFraming::EndsWithConnection : ResponseFraming::Stated;
}

// Forwards a complete response. A server error (5xx) is retried where the route allows it.
void Gateway::forwardFullResponse(Exchange &exchange, TimeMs now)
{
    const bool failed = exchange.head.status >= FirstServerError;
    double &mean
        = responseMs_.try_emplace(exchange.service, static_cast<double>((now - exchange.sentAt).count))
              .first->second;
    mean += ResponseTimeWeight * (static_cast<double>((now - exchange.sentAt).count) - mean);
    if (failed) {
        recordBadOutcome(exchange, false, now);
        fleet_.answeredWithError(exchange.sentTo);
    } else {
        recordFullResponse(exchange, now);
        recordProof(exchange, now);
        fleet_.succeeded(exchange.sentTo);
    }
    clearSuspicion(exchange, now);
    detach(exchange);
    if (failed) {
        exchange.mayHaveRun = true;
        ++exchange.sends;
        if (exchange.route->kind == RouteKind::Idempotent && mayRetry(exchange)
            && retry(exchange, GatewayRetry::ServerError, now))
            return;
    }
    passFullResponse(exchange, now);
}

void Gateway::passFullResponse(Exchange &exchange, TimeMs now)
{
    if (exchange.phase == ExchangePhase::Streaming)
        return abortStream(exchange, now);
    // These statuses tell the caller that the request did not run. The endpoint did not state that, so the
    // response is not forwarded.
    if (std::find(NotRunStatuses.begin(), NotRunStatuses.end(), exchange.head.status)
        != NotRunStatuses.end()) {
        exchange.mayHaveRun = true;
        return giveUp(exchange, GatewayRefusal::EndpointBroken, now);
    }
    counters_.add(GatewayCount::AnswersPassed);
    if (exchange.head.isUnframed)
        counters_.add(GatewayCount::AnswersWithoutEnd);
    recordAnswer(now);
    const bool failed = exchange.head.status >= FirstServerError;
    log(failed ? LogPriority::Failure : LogPriority::Ordinary, "answered", exchange,
        {{"status", exchange.head.status}, {"after_ms", (now - exchange.arrivedAt).count}});
    actions_.emplace_back(AnswerCaller{exchange.caller, exchange.head.status, exchange.head.headers,
                                       std::move(exchange.body), framingOf(exchange)});
    finish(exchange);
    runQueue(now);
}

void Gateway::cancelAsFailed(AttemptId attempt, TimeMs now)
{
    actions_.emplace_back(CancelSent{attempt});
    if (Exchange *exchange = findByAttempt(attempt))
        attemptFailed(*exchange, true, now);
}

void Gateway::onConnectionFailed(const AttemptConnectionFailed &event, TimeMs now)
{
    Exchange *exchange = findByAttempt(event.attempt);
    if (!exchange)
        return;
    if (exchange->migration && event.sent)
        return endStream(*exchange, StreamEnd::Broken, now);
    if (exchange->relay && event.relay != RelayFailure::None)
        counters_.add(GatewayCount::RelaysFailed);
    if (exchange->relay && event.relay == RelayFailure::Unavailable)
        relays_.failed(*exchange->relay, now);
    if (exchange->relay && event.relay == RelayFailure::EndpointUnreached)
        relays_.unreached(exchange->service, *exchange->relay, now);
    if (!event.sent && !exchange->relay)
        recordConnectFailure({exchange->sentTo.id, event.connect}, now);
    interruptAttempt(*exchange, event, now);
}

void Gateway::interruptAttempt(Exchange &exchange, const AttemptConnectionFailed &failure, TimeMs now)
{
    const bool waits = failure.sent && recordInterruptedAttempt(exchange, now);
    closeFailedAttempt(exchange, failure, now);
    if (!waits)
        continueAfterFailure(exchange, failure, now);
}

void Gateway::attemptFailed(Exchange &exchange, bool sent, TimeMs now)
{
    const AttemptConnectionFailed failure{exchange.attempt, sent};
    if (!isUnheard(exchange))
        recordBadOutcome(exchange, true, now);
    closeFailedAttempt(exchange, failure, now);
    continueAfterFailure(exchange, failure, now);
}

// Closes an attempt whose outcome is unknown, or of which nothing was sent.
void Gateway::closeFailedAttempt(Exchange &exchange, const AttemptConnectionFailed &failure, TimeMs now)
{
    json::object fields{{"attempt", exchange.attempt.value},
                        {"sent", failure.sent},
                        {"after_ms", (now - exchange.sentAt).count}};
    if (!failure.sent)
        fields["connect"] = toText(failure.connect);
    if (exchange.relay)
        fields["relay"] = toText(*exchange.relay);
    log(LogPriority::Failure, "attempt_broken", exchange, std::move(fields));
    if (isEndpointsFault(exchange, failure))
        fleet_.failed(exchange.sentTo, now);
    detach(exchange);
    if (!failure.sent) {
        exchange.unsentTo.insert(exchange.sentTo.id);
        return;
    }
    exchange.mayHaveRun = true;
    ++exchange.sends;
    if (exchange.kept && exchange.sentTo != exchange.kept->source)
        exchange.kept.reset(); // Another engine may have continued it.
}

void Gateway::continueAfterFailure(Exchange &exchange, const AttemptConnectionFailed &failure, TimeMs now)
{
    if (!failure.sent) {
        if (paths_.isDoubtful(exchange.service) && failure.relay != RelayFailure::EndpointUnreached)
            allowUnsentAgain(exchange, now);
        if (retry(exchange, GatewayRetry::ConnectFailed, now))
            return;
        // All endpoints were tried: a relay may reach what this daemon does not.
        allowUnsentAgain(exchange, now);
        if (retry(exchange, GatewayRetry::ConnectFailed, now))
            return;
    } else {
        const GatewayRetry reason
            = exchange.phase == ExchangePhase::Streaming ? GatewayRetry::StreamResumed : GatewayRetry::Broken;
        if (mayRetry(exchange) && retry(exchange, reason, now))
            return;
    }
    // A target that the request was sent to may have continued it.
    const bool isStopped = !failure.sent || (exchange.kept && exchange.sentTo == exchange.kept->source);
    if (isStopped && returnToSource(exchange, now))
        return;
    if (exchange.phase == ExchangePhase::Streaming)
        return abortStream(exchange, now);
    giveUp(exchange, GatewayRefusal::EndpointBroken, now);
}

// Returns whether a request that may already have run may be sent again.
bool Gateway::mayRetry(const Exchange &exchange) const
{
    return exchange.sends < exchange.route->attempts && isRetryable(*exchange.route);
}

// Closes the caller's stream without the end mark, which shows the caller that its response is incomplete.
void Gateway::abortStream(Exchange &exchange, TimeMs now)
{
    counters_.add(GatewayCount::StreamsBroken);
    log(LogPriority::Lost, "stream_broken", exchange,
        {{"after_ms", (now - exchange.arrivedAt).count},
         {"last_event", exchange.lastEvent.value_or(0)},
         {"events", exchange.events}});
    actions_.emplace_back(EndCallerStream{exchange.caller, false});
    finish(exchange);
    runQueue(now);
}

// Moves streams that can continue elsewhere away from an endpoint that fell silent and is not reached. The
// others wait, since the endpoint may come back: one that is reached may work on, also when their connections
// are closed, and the caller would get events of two runs. All attempts at an endpoint that has restarted are
// cancelled: its previous incarnation sends nothing any more, behind a network partition no TCP reset
// arrives, and callers would wait until their deadline.
void Gateway::abandonSilentEndpoints(TimeMs now)
{
    std::vector<AttemptId> silent;
    for (const std::pair<const AttemptId, CallerId> &entry : attempts_) {
        const Exchange &exchange = exchanges_.at(entry.second);
        const bool isSilentStream = mayResumeElsewhere(exchange) && !exchange.isStoppingForMove()
            && fleet_.isSilent(exchange.sentTo, exchange.route->gapTarget, now) && isUnreached(exchange);
        if (fleet_.isSuperseded(exchange.sentTo, now) || isSilentStream || isLostInPartition(exchange, now))
            silent.push_back(entry.first);
    }
    for (AttemptId attempt : silent) {
        Exchange *exchange = findByAttempt(attempt);
        if (!exchange)
            continue;
        const bool hasRestarted = fleet_.isSuperseded(exchange->sentTo, now);
        if (hasRestarted && exchange->isStoppingForMove()) {
            continueAtTarget(*exchange, RunEndProof::Replaced, now);
        } else if (hasRestarted || canContinueElsewhere(*exchange, now)) {
            if (exchange->streaming)
                recordRunLeft(*exchange, hasRestarted ? RunEndProof::Replaced : RunEndProof::Unreached, now);
            cancelAsFailed(attempt, now);
        }
    }
}

bool Gateway::mayResumeElsewhere(const Exchange &exchange)
{
    return exchange.streaming && exchange.route->resumable && exchange.sends + 1 < exchange.route->attempts;
}

// Returns whether the stream can be resumed at another endpoint now. An overloaded engine looks silent, too:
// when a service lost a third of its engines, the pauses in its streams exceeded the gap target, and streams
// were cut once the retry budget was used up. A stream that can't continue elsewhere waits instead, since its
// remaining events may still arrive in time.
bool Gateway::canContinueElsewhere(Exchange &exchange, TimeMs now)
{
    PlacementQuery question = placementQuery(exchange);
    if (exchange.hasEventsWithoutId || isQuarantined(exchange, now) || isOutOfReach(exchange.service, now)
        || !endsBeforeExit(exchange, now) || !place(exchange, question, now).choice)
        return false;
    const bool isAllowed = retryBudget_.allows(exchange.service, GatewayRetry::StreamResumed, now);
    if (!isAllowed)
        drawRetries(exchange.service, 1, now);
    return isAllowed;
}

} // namespace cranberry
