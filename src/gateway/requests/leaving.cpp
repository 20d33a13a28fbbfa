// Requests at a daemon that was asked to stop. A caller's connection can't be handed to another daemon, so a
// request is taken and sent again only if it is expected to end before the exit, and what is still open
// shortly before the exit gets a final response.

#include "gateway/gateway.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Callers whose entry answers are older than this are sent away at once. A stream that was sent later and
/// is cut off nevertheless is lost by the daemon's fault.
constexpr DurationMs StreamsAcceptedAfterLeaving{3000};

} // namespace

void Gateway::startLeaving(TimeMs signalledAt, DurationMs grace)
{
    if (!departure_)
        recordTakenBefore(signalledAt);
    departure_ = departureOf(signalledAt, grace);
}

TimeMs Gateway::callersDeadline(const Exchange &exchange)
{
    return std::min(exchange.callerWaitsUntil, exchange.timeoutAt);
}

// A response that has begun can't be replaced by another one, so it goes on until the exit.
TimeMs Gateway::deadlineOf(const Exchange &exchange) const
{
    const TimeMs deadline = callersDeadline(exchange);
    return departure_ && exchange.phase != ExchangePhase::Streaming
        ? std::min(deadline, departure_->answersDueAt)
        : deadline;
}

// Returns whether this process might exit before the request is complete. Callers connect until the exit,
// since their entry answers are seconds old or they could not get a newer one. A call accepted shortly before
// the exit would be cut off after it was sent, and its caller could not know whether it ran. If it is
// refused, the caller retries at another daemon at once. Most streams end long before their deadline, so they
// are accepted if the newest ones would have ended in time.
bool Gateway::mayExitBefore(const Exchange &exchange, TimeMs now) const
{
    if (callersDeadline(exchange) <= departure_->answersDueAt)
        return false;
    return exchange.route->kind != RouteKind::Streaming
        || now - departure_->signalledAt > StreamsAcceptedAfterLeaving || !endsBeforeExit(exchange, now);
}

bool Gateway::endsBeforeExit(const Exchange &exchange, TimeMs now) const
{
    if (!departure_)
        return true;
    if (exchange.route->kind != RouteKind::Streaming) {
        const auto mean = responseMs_.find(serviceOf(exchange));
        const DurationMs response{mean == responseMs_.end() ? 0 : static_cast<int64_t>(mean->second)};
        return now + response < departure_->answersDueAt;
    }
    const std::optional<DurationMs> left = expectedRest(exchange, now);
    return left && now + *left < departure_->answersDueAt;
}

// Returns the time that a stream takes that is sent now. Requests that wait for their first event show at
// once that engines have become slower, before any of them has ended.
std::optional<DurationMs> Gateway::expectedRest(const Exchange &exchange, TimeMs now) const
{
    const ServiceName name = serviceOf(exchange);
    std::optional<StreamEstimate> estimate = streamDurations_.estimate(name, now);
    if (!estimate)
        return std::nullopt;
    if (const auto oldest = oldestSent_.find(name); oldest != oldestSent_.end())
        estimate->firstEvent = std::max(estimate->firstEvent, now - oldest->second);
    const ServedService *service = exchange.configuration->findService(name);
    const bool isStated = service && service->engine && exchange.request->statesTokens;
    const uint64_t perEvent = isStated ? std::max(service->engine->tokensPerEvent, 1U) : 1;
    const uint64_t events
        = isStated ? (exchange.request->outputTokens + perEvent - 1) / perEvent : estimate->mostEvents;
    return estimate->firstEventAnd(events - std::min(events, exchange.events));
}

void Gateway::tickLeaving(TimeMs now)
{
    if (!departure_)
        return;
    oldestSent_.clear();
    for (const std::pair<const CallerId, Exchange> &entry : exchanges_) {
        const Exchange &exchange = entry.second;
        if (exchange.phase != ExchangePhase::Sent)
            continue;
        TimeMs &oldest = oldestSent_.try_emplace(exchange.service, exchange.arrivedAt).first->second;
        oldest = std::min(oldest, exchange.arrivedAt);
    }
    refuseUnfinishable(now);
}

// Sends callers away whose requests wait here and can't end before the exit.
void Gateway::refuseUnfinishable(TimeMs now)
{
    std::vector<CallerId> unfinishable;
    for (const std::pair<const CallerId, Exchange> &entry : exchanges_) {
        const ExchangePhase phase = entry.second.phase;
        const bool waitsHere = phase == ExchangePhase::AwaitingOrigin || phase == ExchangePhase::AwaitingLimit
            || phase == ExchangePhase::Queued;
        if (waitsHere && mayExitBefore(entry.second, now))
            unfinishable.push_back(entry.first);
    }
    for (CallerId id : unfinishable) {
        const auto found = exchanges_.find(id);
        if (found != exchanges_.end())
            giveUp(found->second, GatewayRefusal::Leaving, now);
    }
}

boost::json::object Gateway::openByPhase() const
{
    std::map<ExchangePhase, int64_t> counts;
    for (const std::pair<const CallerId, Exchange> &entry : exchanges_)
        ++counts[entry.second.phase];
    boost::json::object out;
    for (const std::pair<const ExchangePhase, int64_t> &each : counts)
        out[toText(each.first)] = each.second;
    return out;
}

} // namespace cranberry
