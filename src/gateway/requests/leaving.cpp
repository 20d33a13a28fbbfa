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
// refused, the caller retries at another daemon at once. Most streams end long before their timeout, so they
// are accepted for a fixed time instead.
bool Gateway::mayExitBefore(const Exchange &exchange, TimeMs now) const
{
    if (exchange.route->kind == RouteKind::Streaming)
        return now - departure_->signalledAt > StreamsAcceptedAfterLeaving;
    return callersDeadline(exchange) > departure_->answersDueAt;
}

const char *toText(ExchangePhase phase)
{
    switch (phase) {
    case ExchangePhase::AwaitingStart:
        return "awaiting_start";
    case ExchangePhase::AwaitingOrigin:
        return "awaiting_origin";
    case ExchangePhase::AwaitingLimit:
        return "awaiting_limit";
    case ExchangePhase::Queued:
        return "queued";
    case ExchangePhase::Sent:
        return "sent";
    case ExchangePhase::Streaming:
        return "streaming";
    }
    return "";
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
