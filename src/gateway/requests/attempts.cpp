// Handles the outcome of attempts: forwards the response, retries or resumes at another endpoint, or gives
// up.

#include "gateway/gateway.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cranberry {

namespace {

/// Maximum number of rejections of one request by endpoints that state that they did not run it. These sends
/// don't count against the route's attempts.
constexpr uint32_t MostRejections = 2;
/// An attempt with less time left than this could not be answered in time and is not sent.
constexpr DurationMs LeastUsefulTime{20};
constexpr size_t MostHeldBody = 8U << 20; ///< An attempt with a larger response body is cancelled as failed.
/// Weight of the newest response in the moving mean of a service's response times. It averages over about
/// the last 20 responses.
constexpr double AnswerTimeWeight = 0.05;
/// Fraction of the retry slack that is divided among the serving daemons.
constexpr double SharedSlackPart = 0.8;
constexpr int FirstServerError = 500;
constexpr std::array PromisesNotRun = {408, 421, 429, 503};

bool isRepeatable(const Route &route)
{
    return route.kind == RouteKind::Idempotent || (route.kind == RouteKind::Streaming && route.resumable);
}

} // namespace

Exchange *Gateway::byAttempt(AttemptId attempt)
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &exchanges_.at(found->second);
}

// Removes the open attempt from the bookkeeping of this daemon.
void Gateway::detach(Exchange &exchange)
{
    exchange.move.reset();
    fleet_.firstByte(exchange.at, exchange.prefillTokens);
    fleet_.finished(exchange.at, std::exchange(exchange.streaming, false));
    exchange.prefillTokens = 0;
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

void Gateway::noteStarted(Exchange &exchange, TimeMs at)
{
    if (exchange.countedForUsage || exchange.organisation.value.empty())
        return;
    exchange.countedForUsage = true;
    usage_.count(exchange.organisation, at);
}

// A response to a different request, or one from another instance that took over the address, says nothing
// about the outcome of this request. The attempt is cancelled and its connection closed.
void Gateway::onHead(const AttemptHead &event, TimeMs now)
{
    Exchange *exchange = byAttempt(event.attempt);
    if (!exchange)
        return;
    if (!event.ownAnswer) {
        return cancelBroken(event.attempt, now);
    }
    exchange->head = event;
    if (!event.wrongInstance)
        noteLimit(*exchange, now);
    if (event.notExecuted || event.wrongInstance)
        return onRejected(*exchange, now);
    if (!event.eventStream)
        noteStarted(*exchange, exchange->sentAt);
}

// The endpoint stated that it did not run the request, so a request of any kind may be sent to another one.
void Gateway::onRejected(Exchange &exchange, TimeMs now)
{
    log(LogWeight::Failure, "rejected", exchange,
        {{"attempt", exchange.attempt.value},
         {"status", exchange.head.status},
         {"wrong_instance", exchange.head.wrongInstance}});
    actions_.emplace_back(CancelSent{exchange.attempt});
    if (!exchange.head.wrongInstance)
        noteBadAnswer(exchange, false, now);
    if (exchange.head.wrongInstance)
        fleet_.wrongInstance(exchange.at);
    else
        fleet_.failed(exchange.at, now);
    detach(exchange);
    ++exchange.rejections;
    const GatewayRetry reason
        = exchange.head.wrongInstance ? GatewayRetry::WrongInstance : GatewayRetry::NotExecuted;
    if (exchange.rejections <= MostRejections && repeat(exchange, reason, now))
        return;
    if (exchange.phase == ExchangePhase::Streaming)
        return streamBroke(exchange, now);
    giveUp(exchange, GatewayRefusal::NotExecuted, now);
}

void Gateway::onData(const AttemptData &event, TimeMs now)
{
    Exchange *exchange = byAttempt(event.attempt);
    if (!exchange)
        return;
    if (!exchange->head.eventStream) {
        exchange->body += event.bytes;
        if (exchange->body.size() > MostHeldBody)
            cancelBroken(event.attempt, now);
        return;
    }
    fleet_.heard(exchange->at, now);
    exchange->splitter.append(event.bytes);
    if (!passEvents(*exchange, now))
        cancelBroken(event.attempt, now);
}

// Forwards complete events to the caller as they arrive. Returns false if the endpoint skipped or repeated an
// event, since its stream does not continue the one that the caller has received so far.
bool Gateway::passEvents(Exchange &exchange, TimeMs now)
{
    std::string bytes;
    bool inOrder = true;
    while (std::optional<StreamEvent> event = exchange.splitter.next()) {
        if (event->id && exchange.lastEvent) {
            const uint64_t step = *event->id - *exchange.lastEvent;
            inOrder = *event->id > *exchange.lastEvent && exchange.eventStep.value_or(step) == step;
            if (!inOrder)
                break;
            exchange.eventStep = step;
        }
        if (event->id)
            exchange.lastEvent = event->id;
        bytes += event->text;
        ++exchange.events;
        ++exchange.eventsHere;
    }
    if (bytes.empty())
        return inOrder;
    if (exchange.phase != ExchangePhase::Streaming) {
        exchange.phase = ExchangePhase::Streaming;
        noteStarted(exchange, now);
        actions_.emplace_back(
            BeginCallerStream{exchange.caller, exchange.head.status, exchange.head.headers});
        log(LogWeight::Ordinary, "first_event", exchange, {{"after_ms", (now - exchange.arrivedAt).count}});
    }
    if (!std::exchange(exchange.streaming, true)) {
        exchange.firstEventAt = now;
        noteFirstEvent(exchange, now);
        if (exchange.foundNoQueue && exchange.prefillTokens > 0)
            demand_.firstEvent(exchange.service, exchange.prefillTokens, now - exchange.sentAt);
        fleet_.streamBegan(exchange.at);
        fleet_.firstByte(exchange.at, exchange.prefillTokens);
        exchange.prefillTokens = 0;
    }
    noteEventPace(exchange, now);
    actions_.emplace_back(CallerStreamData{exchange.caller, std::move(bytes)});
    return inOrder;
}

void Gateway::onEnd(const AttemptEnd &event, TimeMs now)
{
    Exchange *exchange = byAttempt(event.attempt);
    if (!exchange)
        return;
    if (!exchange->head.eventStream)
        return passWholeAnswer(*exchange, now);
    // A generation that was stopped for its migration ends its stream without the last event. It continues at
    // the target.
    if (exchange->move && exchange->move->handle) {
        exchange->move->sourceClosed = true;
        return goOnAtTarget(*exchange, now);
    }
    if (exchange->splitter.holdsPartial() || exchange->phase != ExchangePhase::Streaming)
        return onBroken({event.attempt, true}, now);
    fleet_.succeeded(exchange->at);
    noteAnswered(*exchange, now);
    counters_.add(GatewayCount::StreamsWhole);
    log(LogWeight::Ordinary, "stream_whole", *exchange, {{"after_ms", (now - exchange->arrivedAt).count}});
    detach(*exchange);
    actions_.emplace_back(EndCallerStream{exchange->caller, true});
    finish(*exchange);
    runQueue(now);
}

// Forwards a complete response. A server error (5xx) is retried where the route allows it.
void Gateway::passWholeAnswer(Exchange &exchange, TimeMs now)
{
    const bool failed = exchange.head.status >= FirstServerError;
    double &mean = answerMs_.try_emplace(exchange.service, static_cast<double>((now - exchange.sentAt).count))
                       .first->second;
    mean += AnswerTimeWeight * (static_cast<double>((now - exchange.sentAt).count) - mean);
    if (failed) {
        noteBadAnswer(exchange, false, now);
        fleet_.answeredWithError(exchange.at);
    } else {
        noteWholeAnswer(exchange, now);
        fleet_.succeeded(exchange.at);
    }
    noteAnswered(exchange, now);
    detach(exchange);
    if (failed) {
        exchange.mayHaveRun = true;
        ++exchange.sends;
        if (exchange.route->kind == RouteKind::Idempotent && mayRepeat(exchange)
            && repeat(exchange, GatewayRetry::ServerError, now))
            return;
    }
    if (exchange.phase == ExchangePhase::Streaming)
        return streamBroke(exchange, now);
    // These statuses tell the caller that the request did not run. The endpoint did not state that, so the
    // response is not forwarded.
    if (std::find(PromisesNotRun.begin(), PromisesNotRun.end(), exchange.head.status)
        != PromisesNotRun.end()) {
        exchange.mayHaveRun = true;
        return giveUp(exchange, GatewayRefusal::EndpointBroken, now);
    }
    counters_.add(GatewayCount::AnswersPassed);
    log(failed ? LogWeight::Failure : LogWeight::Ordinary, "answered", exchange,
        {{"status", exchange.head.status}, {"after_ms", (now - exchange.arrivedAt).count}});
    actions_.emplace_back(
        AnswerCaller{exchange.caller, exchange.head.status, exchange.head.headers, std::move(exchange.body)});
    finish(exchange);
    runQueue(now);
}

void Gateway::cancelBroken(AttemptId attempt, TimeMs now)
{
    actions_.emplace_back(CancelSent{attempt});
    if (Exchange *exchange = byAttempt(attempt))
        attemptFailed(*exchange, true, now);
}

void Gateway::onBroken(const AttemptBroken &event, TimeMs now)
{
    Exchange *exchange = byAttempt(event.attempt);
    if (!exchange)
        return;
    if (exchange->move && event.sent) {
        exchange->move->sourceClosed = true;
        if (exchange->move->handle)
            goOnAtTarget(*exchange, now);
        return;
    }
    const bool waits = event.sent && noteBroken(*exchange, now);
    closeBroken(*exchange, event.sent, now);
    if (!waits)
        goOnAfterBreak(*exchange, event.sent, now);
}

void Gateway::attemptFailed(Exchange &exchange, bool sent, TimeMs now)
{
    closeBroken(exchange, sent, now);
    goOnAfterBreak(exchange, sent, now);
}

// Closes an attempt whose outcome is unknown, or of which nothing was sent.
void Gateway::closeBroken(Exchange &exchange, bool sent, TimeMs now)
{
    log(LogWeight::Failure, "attempt_broken", exchange,
        {{"attempt", exchange.attempt.value}, {"sent", sent}, {"after_ms", (now - exchange.sentAt).count}});
    noteBadAnswer(exchange, true, now);
    fleet_.failed(exchange.at, now);
    detach(exchange);
    if (!sent)
        return;
    exchange.mayHaveRun = true;
    ++exchange.sends;
}

void Gateway::goOnAfterBreak(Exchange &exchange, bool sent, TimeMs now)
{
    if (!sent) {
        if (repeat(exchange, GatewayRetry::ConnectFailed, now))
            return;
    } else {
        const GatewayRetry reason
            = exchange.phase == ExchangePhase::Streaming ? GatewayRetry::StreamResumed : GatewayRetry::Broken;
        if (mayRepeat(exchange) && repeat(exchange, reason, now))
            return;
    }
    if (exchange.phase == ExchangePhase::Streaming)
        return streamBroke(exchange, now);
    giveUp(exchange, GatewayRefusal::EndpointBroken, now);
}

// Returns whether a request that may already have run may be sent again.
bool Gateway::mayRepeat(const Exchange &exchange) const
{
    return exchange.sends < exchange.route->attempts && isRepeatable(*exchange.route);
}

// Returns this daemon's share of the retry slack, i.e. of the retries allowed beyond the ratio. Only serving
// daemons get a share: with equal shares for all 83 daemons, the 10 that held all streams of a reclaimed
// failure domain got 2 retries each, and most of these streams were cut. A fraction is left undivided for the
// moments in which a daemon begins to serve and others don't count it yet.
double Gateway::slackShare(TimeMs now) const
{
    if (!peers_.isSharer())
        return 0;
    const size_t sharers = peers_.sharers(now);
    return sharers == 1 ? 1 : SharedSlackPart / static_cast<double>(sharers);
}

// Sends the request again if enough time, retry budget and an endpoint are available.
bool Gateway::repeat(Exchange &exchange, GatewayRetry reason, TimeMs now)
{
    // Applies also if the last endpoint stated that it did not run the request: an earlier one may have run
    // it.
    if (exchange.mayHaveRun && !isRepeatable(*exchange.route))
        return false;
    if (std::min(exchange.callerWaitsUntil, exchange.timeoutAt) - now < LeastUsefulTime)
        return false;
    if (isQuarantined(exchange, now)) {
        log(LogWeight::Failure, "repeat_denied", exchange, {{"reason", "quarantined"}});
        return false;
    }
    PlacementQuestion question = questionOf(exchange);
    const PlacementResult result = place(exchange, question, now);
    if (!result.choice)
        return false;
    if (reason != GatewayRetry::ConnectFailed && !repeats_.take(exchange.service, slackShare(now), now)) {
        counters_.add(GatewayCount::RetriesDenied);
        log(LogWeight::Failure, "repeat_denied", exchange, {{"reason", toText(reason)}});
        return false;
    }
    counters_.add(reason);
    log(LogWeight::Failure, "repeat", exchange, {{"reason", toText(reason)}, {"sends", exchange.sends}});
    send(exchange, question, *result.choice, now);
    return true;
}

// Closes the caller's stream without the end mark, which shows the caller that its response is incomplete.
void Gateway::streamBroke(Exchange &exchange, TimeMs now)
{
    counters_.add(GatewayCount::StreamsBroken);
    log(LogWeight::Failure, "stream_broken", exchange,
        {{"after_ms", (now - exchange.arrivedAt).count}, {"last_event", exchange.lastEvent.value_or(0)}});
    actions_.emplace_back(EndCallerStream{exchange.caller, false});
    finish(exchange);
    runQueue(now);
}

// Moves streams that can continue elsewhere away from an endpoint that fell silent. The others wait, since
// the endpoint may come back. All attempts at an endpoint that has restarted are cancelled: its previous
// incarnation sends nothing any more, behind a network partition no TCP reset arrives, and callers would wait
// until their deadline.
void Gateway::leaveSilentEndpoints(TimeMs now)
{
    std::vector<AttemptId> silent;
    for (const std::pair<const AttemptId, CallerId> &entry : attempts_) {
        const Exchange &exchange = exchanges_.at(entry.second);
        if (fleet_.isOver(exchange.at, now)) {
            silent.push_back(entry.first);
            continue;
        }
        if (exchange.streaming && exchange.route->resumable && exchange.sends + 1 < exchange.route->attempts
            && fleet_.isSilent(exchange.at, exchange.route->gapTarget, now))
            silent.push_back(entry.first);
    }
    for (AttemptId attempt : silent) {
        Exchange *exchange = byAttempt(attempt);
        if (exchange && (fleet_.isOver(exchange->at, now) || canGoOnElsewhere(*exchange, now)))
            cancelBroken(attempt, now);
    }
}

// Returns whether the stream can be resumed at another endpoint now. An overloaded engine looks silent, too:
// when a service lost a third of its engines, the pauses in its streams exceeded the gap target, and streams
// were cut once the retry budget was used up. A stream that can't continue elsewhere waits instead, since its
// remaining events may still arrive in time.
bool Gateway::canGoOnElsewhere(Exchange &exchange, TimeMs now)
{
    PlacementQuestion question = questionOf(exchange);
    return !isQuarantined(exchange, now) && repeats_.allows(exchange.service, slackShare(now), now)
        && place(exchange, question, now).choice;
}

} // namespace cranberry
