// What endpoints answer to attempts: passed on, repeated elsewhere, resumed, or given up.

#include "gateway/gateway.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cranberry {

namespace {

/// Sends to endpoints that stated they did not run the request don't use up the route's attempts, but end
/// somewhere.
constexpr uint32_t MostRejections = 2;
/// With less time than this left, an attempt can't be answered any more.
constexpr DurationMs LeastUsefulTime{20};
constexpr size_t MostHeldBody = 8U << 20; ///< Larger answers are passed on as they come.
/// Weight of the newest answer in the mean time of a service's answers: about the last twenty count.
constexpr double AnswerTimeWeight = 0.05;
/// Of the slack of the repeats, for the daemons that serve.
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

// Ends the bookkeeping of the open attempt.
void Gateway::detach(Exchange &exchange)
{
    exchange.move.reset();
    fleet_.firstByte(exchange.at, exchange.prefillTokens);
    fleet_.finished(exchange.at, std::exchange(exchange.streaming, false));
    exchange.prefillTokens = 0;
    attempts_.erase(exchange.attempt);
    exchange.attempt = {};
}

// Gives the open attempt up; what was sent may have run.
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

// An answer that is not this request's own, and one of an instance that took over the address, say nothing
// about the request; the connection is given up with the attempt.
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

// The endpoint stated that it did not run the request: it may go elsewhere, whatever its kind.
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

// Passes whole events on at once. False if the endpoint left an event out or sent one twice: what it sends
// is not the stream that the caller has read so far.
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
    // A run that was stopped for its move ends its stream without the last event; it goes on elsewhere.
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

// A server's own failure may be repeated where the route allows it; otherwise it is the caller's answer.
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
    // These promise the caller that nothing ran. The endpoint did not state that, so it is not passed on.
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

// The attempt's outcome is unknown, or nothing of it was sent.
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

// Whether a request that may have run may run once more.
bool Gateway::mayRepeat(const Exchange &exchange) const
{
    return exchange.sends < exchange.route->attempts && isRepeatable(*exchange.route);
}

// This daemon's part of the repeats that all daemons may make besides the ratio. Those that serve get it: an
// equal share of 83 daemons left 2 repeats to each of the 10 that had all the streams of a reclaimed failure
// domain, and most of these were cut. A part is kept back for the moments in which daemons begin to serve and
// others still count without them.
double Gateway::slackShare(TimeMs now) const
{
    if (!peers_.isSharer())
        return 0;
    const size_t sharers = peers_.sharers(now);
    return sharers == 1 ? 1 : SharedSlackPart / static_cast<double>(sharers);
}

// One more send, if the time, the budget of all daemons and an endpoint are there.
bool Gateway::repeat(Exchange &exchange, GatewayRetry reason, TimeMs now)
{
    // Also after a statement that the last attempt did not run it: an earlier one may have.
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

// The caller has part of the answer: closing without the end mark tells it that the rest will not come.
void Gateway::streamBroke(Exchange &exchange, TimeMs now)
{
    counters_.add(GatewayCount::StreamsBroken);
    log(LogWeight::Failure, "stream_broken", exchange,
        {{"after_ms", (now - exchange.arrivedAt).count}, {"last_event", exchange.lastEvent.value_or(0)}});
    actions_.emplace_back(EndCallerStream{exchange.caller, false});
    finish(exchange);
    runQueue(now);
}

// Streams that may go on elsewhere leave an endpoint that fell silent; the others wait, it may come back. All
// leave one that has started again: its earlier life answers nothing any more, and behind a cut no reset
// tells that. Callers would wait for the rest until their deadline.
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

// An engine that is overloaded looks silent, too: with a third of its engines gone a service's streams paused
// for longer than its callers accept, and they were cut when no repeat was left for them. A stream that can't
// go on elsewhere waits; the rest may still come in time.
bool Gateway::canGoOnElsewhere(Exchange &exchange, TimeMs now)
{
    PlacementQuestion question = questionOf(exchange);
    return !isQuarantined(exchange, now) && repeats_.allows(exchange.service, slackShare(now), now)
        && place(exchange, question, now).choice;
}

} // namespace cranberry
