// What endpoints say of themselves in their responses: that they want a rest, or that they leave.

#include "gateway/gateway.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Part of a rest by which its end differs between daemons.
constexpr int64_t JitterDivisor = 4;
constexpr DurationMs MaxJitter{500};

} // namespace

// The endpoint knows first: the list is later, and says nothing while the store is away.
void Gateway::recordNotice(const EndpointIncarnation &endpoint, const EndpointNotice &notice,
                           const std::string &request, TimeMs now)
{
    if (notice.restError)
        log_.write(
            LogPriority::Failure, "endpoint_rest_unreadable",
            {{"endpoint", endpoint.id.value}, {"request", request}, {"error", toText(*notice.restError)}});
    if (notice.rest) {
        const DurationMs most = std::min(*notice.rest / JitterDivisor, MaxJitter);
        const DurationMs jitter{static_cast<int64_t>(random_.below(static_cast<uint64_t>(most.count) + 1))};
        if (fleet_.askedForRest(endpoint, *notice.rest, jitter, now)) {
            counters_.add(GatewayCount::RestsAsked);
            log_.write(LogPriority::State, "endpoint_rests",
                       {{"endpoint", endpoint.id.value},
                        {"start", endpoint.start.unixMs},
                        {"request", request},
                        {"rest_ms", notice.rest->count},
                        {"returns_after_ms", (*notice.rest + jitter).count}});
        }
    }
    const FleetEndpoint *known = fleet_.find(endpoint);
    if (!notice.leaving || !known || known->entry.leaving)
        return;
    counters_.add(GatewayCount::EndpointsSaidLeaving);
    log_.write(LogPriority::State, "endpoint_says_it_leaves",
               {{"endpoint", endpoint.id.value},
                {"start", endpoint.start.unixMs},
                {"request", request},
                {"list_age_ms", (now - fleet_.listedAt()).count}});
    fleet_.setLeaving(endpoint, settings_.drainTime, now);
}

void Gateway::onRelayedNotice(const EndpointId &endpoint, const EndpointNotice &notice, TimeMs now)
{
    if (const FleetEndpoint *known = fleet_.find(endpoint))
        recordNotice(known->incarnation(), notice, "", now);
}

// Puts a request that an endpoint turned away back into the queue, if all endpoints rest and the first of
// them can be used again before the caller gives up.
bool Gateway::waitForRest(Exchange &exchange, TimeMs now)
{
    if (exchange.phase == ExchangePhase::Streaming || exchange.mayHaveRun || !exchange.head.notice.rest
        || !fleet_.restEndsAt(exchange.service, now) || isRestTooLong(exchange, now))
        return false;
    exchange.tried.clear();
    enqueue(exchange, now);
    return true;
}

} // namespace cranberry
