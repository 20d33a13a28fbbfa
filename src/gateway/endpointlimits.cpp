// Endpoints that say how many requests a second they take from all daemons together.

#include "gateway/gateway.h"

namespace cranberry {

namespace {

/// In a log line, for an endpoint that has no limit any more.
constexpr double NoLimit = -1;

double loggedLimit(const std::optional<RequestRate> &limit)
{
    return limit ? limit->perSecond : NoLimit;
}

} // namespace

void Gateway::noteLimit(const Exchange &exchange, TimeMs now)
{
    if (exchange.head.limitError) {
        log(LogWeight::Failure, "endpoint_limit_unreadable", exchange,
            {{"error", toText(*exchange.head.limitError)}});
        return;
    }
    EndpointLimiter *limiter = fleet_.limiter(exchange.at);
    if (!limiter)
        return;
    if (exchange.head.limit)
        counters_.add(GatewayCount::AnswersNamedLimit);
    const std::optional<RequestRate> before = limiter->limit();
    if (!limiter->hear(exchange.head.limit, exchange.sentAt, now))
        return;
    log(LogWeight::State, "endpoint_limit", exchange,
        {{"start", exchange.at.start.unixMs},
         {"per_s", loggedLimit(limiter->limit())},
         {"before_per_s", loggedLimit(before)},
         {"learned_from", "own"}});
}

// What a `send` line says of the endpoint's limit: with it the lines of all daemons tell who sent too much,
// and whether they knew.
boost::json::object Gateway::limitFields(const FleetEndpoint &endpoint, TimeMs now)
{
    if (!endpoint.limiter.limit())
        return {};
    return {{"limit_per_s", endpoint.limiter.limit()->perSecond},
            {"limit_age_ms", (now - endpoint.limiter.heardAt()).count}};
}

} // namespace cranberry
