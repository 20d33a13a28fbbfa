// Sends requests again: within the retry budget of their service, at once or after a draw from the pool.

#include "gateway/gateway.h"

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

namespace json = boost::json;

/// An attempt with less time left than this could not be answered in time and is not sent.
constexpr DurationMs MinUsefulTime{20};
/// A draw takes a write to the store, or a few if others draw at the same time.
constexpr DurationMs MaxDrawWait{400};
/// Requests of other daemons change little between two of their reports.
constexpr DurationMs SharersInterval{200};

} // namespace

// Sends the request again if enough time, retry budget and an endpoint are available. Returns true also if it
// waits for a draw from the pool.
bool Gateway::retry(Exchange &exchange, GatewayRetry reason, TimeMs now)
{
    // Applies also if the last endpoint stated that it did not run the request: an earlier one may have run
    // it.
    if (exchange.mayHaveRun && !isRetryable(*exchange.route))
        return false;
    // Which of its events the caller has could not be told to another endpoint.
    if (exchange.hasEventsWithoutId) {
        logDenied(exchange, "no_event_ids");
        return false;
    }
    if (deadlineOf(exchange) - now < MinUsefulTime)
        return false;
    if (!endsBeforeExit(exchange, now)) {
        logDenied(exchange, toText(GatewayRefusal::Leaving));
        return false;
    }
    if (isQuarantined(exchange, now)) {
        logDenied(exchange, "quarantined");
        return false;
    }
    if (isOutOfReach(exchange.service, now))
        return false;
    PlacementQuery question = placementQuery(exchange);
    const PlacementResult result = place(exchange, question, now);
    if (!result.choice)
        return false;
    if (reason != GatewayRetry::ConnectFailed && !retryBudget_.take(exchange.service, reason, now)) {
        if (awaitDraw(exchange, reason, now))
            return true;
        counters_.add(GatewayCount::RetriesDenied);
        logDenied(exchange, toText(reason));
        return false;
    }
    counters_.add(reason);
    log(LogPriority::Failure, "repeat", exchange,
        {{"reason", toText(reason)}, {"service", exchange.service.value}, {"sends", exchange.sends}});
    send(exchange, question, *result.choice, now);
    return true;
}

void Gateway::logDenied(const Exchange &exchange, const char *reason) const
{
    log(LogPriority::Failure, "repeat_denied", exchange,
        {{"reason", reason}, {"service", exchange.service.value}});
}

// ---- Draws from the pool ----

bool Gateway::awaitDraw(Exchange &exchange, GatewayRetry reason, TimeMs now)
{
    if ((exchange.drawUntil && now >= *exchange.drawUntil) || !drawRetries(exchange.service, 1, now))
        return false;
    if (!exchange.drawUntil) {
        exchange.drawUntil = now + MaxDrawWait;
        counters_.add(GatewayCount::RetriesAwaitingDraw);
    }
    exchange.awaitedRetry = reason;
    awaitingDraw_.insert(exchange.caller);
    return true;
}

// Draws for the requests that wait, and some more.
bool Gateway::drawRetries(const ServiceName &service, uint32_t more, TimeMs now)
{
    if (isStoreIncomplete(now))
        return false;
    const size_t waiting = awaitingDrawOf(service).size();
    return retryLedger_.draw(service, static_cast<uint32_t>(waiting) + more,
                             {retryBudget_.use(service, now).requests, wallTimeAt(now)}, now);
}

// Streams come first: more of their work is lost.
std::vector<CallerId> Gateway::awaitingDrawOf(const ServiceName &service) const
{
    std::vector<CallerId> out;
    std::copy_if(awaitingDraw_.begin(), awaitingDraw_.end(), std::back_inserter(out),
                 [&](CallerId id) { return exchanges_.at(id).service == service; });
    std::stable_partition(out.begin(), out.end(), [this](CallerId id) {
        return exchanges_.at(id).phase == ExchangePhase::Streaming;
    });
    return out;
}

void Gateway::onStoreReply(const StoreReply &reply, TimeMs now)
{
    const std::optional<RetryLedger::Drawn> drawn = retryLedger_.onStoreReply(reply, now);
    if (!drawn)
        return;
    counters_.add(drawn->units > 0 ? GatewayCount::RetryDraws : GatewayCount::RetryDrawsFailed);
    counters_.add(GatewayCount::RetriesDrawn, drawn->units);
    if (drawn->units > 0)
        retryBudget_.addDrawn(drawn->service, drawn->units, now + RetryLedger::UnitLifetime);
    migrateStreams(now);
    for (CallerId id : awaitingDrawOf(drawn->service))
        continueAfterDraw(id, now);
}

// Without a draw that goes on, the request ends as it would have without the wait.
void Gateway::continueAfterDraw(CallerId id, TimeMs now)
{
    const auto found = exchanges_.find(id);
    if (awaitingDraw_.erase(id) == 0 || found == exchanges_.end())
        return;
    Exchange &exchange = found->second;
    const GatewayRetry reason = *std::exchange(exchange.awaitedRetry, std::nullopt);
    if (!retry(exchange, reason, now))
        endWithoutRetry(exchange, reason, now);
}

void Gateway::endWithoutRetry(Exchange &exchange, GatewayRetry reason, TimeMs now)
{
    if (exchange.phase == ExchangePhase::Streaming)
        return abortStream(exchange, now);
    if (reason == GatewayRetry::ServerError)
        return passFullResponse(exchange, now);
    const bool isRejected = reason == GatewayRetry::NotExecuted || reason == GatewayRetry::WrongInstance;
    giveUp(exchange, isRejected ? GatewayRefusal::NotExecuted : GatewayRefusal::EndpointBroken, now);
}

void Gateway::tickRetries(TimeMs now)
{
    std::vector<CallerId> expired;
    for (CallerId id : awaitingDraw_) {
        if (now >= *exchanges_.at(id).drawUntil)
            expired.push_back(id);
    }
    for (CallerId id : expired)
        continueAfterDraw(id, now);
    if (now < nextSharersAt_)
        return;
    nextSharersAt_ = now + SharersInterval;
    RetrySharers sharers;
    sharers.count = peers_.currentServingCount();
    sharers.isSharer = peers_.isListedSharer() && isFresh(now, settings_.retryLimits.window);
    sharers.knowsServing = peers_.anyServes();
    retryBudget_.update(sharers, peers_.retryRequestSums(now), now);
    logRetries(now);
}

// One line a second and service while it has retries: with those of all daemons they show who made them.
void Gateway::logRetries(TimeMs now)
{
    if (std::exchange(retriesLoggedSecond_, now.count / 1000) == now.count / 1000)
        return;
    for (const ServiceName &service : retryBudget_.activeServices(now)) {
        const GatewayRetryBudget::Use use = retryBudget_.use(service, now);
        json::object reasons;
        for (const std::pair<const GatewayRetry, uint32_t> &each : use.inSecond)
            reasons[toText(each.first)] = each.second;
        log_.write(LogPriority::State, "retries",
                   {{"service", service.value},
                    {"in_second", std::move(reasons)},
                    {"of_share", use.ofShare},
                    {"share", use.share},
                    {"drawn", use.drawn},
                    {"requests", use.requests},
                    {"sharers", use.sharers}});
    }
}

} // namespace cranberry
