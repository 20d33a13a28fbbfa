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

// Returns the time that a stream takes that is sent now. Requests that wait for their first event show that
// engines have become slower before any of them has ended.
std::optional<DurationMs> Gateway::expectedRest(const Exchange &exchange, TimeMs now) const
{
    const ServiceName service = serviceOf(exchange);
    const auto found = streamEstimates_.find(service);
    const std::optional<StreamEstimate> estimate
        = found != streamEstimates_.end() ? found->second : streamDurations_.estimate(service, {}, now);
    if (!estimate)
        return std::nullopt;
    const uint64_t stated = statedEvents(exchange);
    const double all = stated > 0 ? estimate->usedShare * static_cast<double>(stated)
                                  : static_cast<double>(estimate->events);
    const double left = std::max(all - static_cast<double>(exchange.events), 0.0);
    return estimate->firstEvent + DurationMs{static_cast<int64_t>(left * estimate->eventMs)};
}

// Returns the largest number of events that the stream may have; 0 if that is not known.
uint64_t Gateway::statedEvents(const Exchange &exchange) const
{
    const ServedService *service = exchange.configuration->findService(serviceOf(exchange));
    if (!service || !service->engine || !exchange.request->statesTokens)
        return 0;
    const uint64_t perEvent = std::max(service->engine->tokensPerEvent, 1U);
    return (exchange.request->outputTokens + perEvent - 1) / perEvent;
}

// A resumption has fewer events than its request states.
void Gateway::recordStreamDuration(const Exchange &exchange, TimeMs now)
{
    if (isResumption(exchange))
        return;
    streamDurations_.record(exchange.service,
                            {now, exchange.callerFirstEventAt - exchange.arrivedAt,
                             now - exchange.callerFirstEventAt, exchange.events, statedEvents(exchange)});
}

void Gateway::tickLeaving(TimeMs now)
{
    if (!departure_)
        return;
    std::map<ServiceName, std::vector<DurationMs>> waiting;
    for (const std::pair<const CallerId, Exchange> &entry : exchanges_) {
        const Exchange &exchange = entry.second;
        if (exchange.phase == ExchangePhase::Sent)
            waiting[exchange.service].push_back(now - exchange.arrivedAt);
    }
    streamEstimates_.clear();
    for (const std::pair<const ServiceName, std::vector<DurationMs>> &each : waiting)
        streamEstimates_[each.first] = streamDurations_.estimate(each.first, each.second, now);
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
