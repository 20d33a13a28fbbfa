// Handles endpoints that state how many requests per second they take from all daemons together.

#include "gateway/gateway.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Coordinators change with the set of reachable daemons; a change is noticed after up to this time.
constexpr DurationMs CoordinatorCheckInterval{200};
/// A request that has waited this long for its best endpoint may go to any. If it requested shares from all
/// endpoints at once, most of the grants would be unused.
constexpr DurationMs BestEndpointWait{100};
constexpr DurationMs BrittleUpdateInterval{200};
constexpr size_t MaxUpdatesPerDatagram = 256; ///< 13 KB in one datagram.
/// Logged in place of a rate for an endpoint that has no limit any more.
constexpr double NoLimit = -1;

double loggedLimit(const std::optional<RequestRate> &limit)
{
    return limit ? limit->perSecond : NoLimit;
}

} // namespace

void Gateway::recordLimit(const Exchange &exchange, TimeMs now)
{
    if (exchange.head.limitError) {
        log(LogPriority::Failure, "endpoint_limit_unreadable", exchange,
            {{"error", toText(*exchange.head.limitError)}});
        return;
    }
    // An endpoint that is full rejects requests before it looks at its limit.
    const bool saysNothing = exchange.head.notExecuted && !exchange.head.limit;
    EndpointLimiter *limiter = fleet_.limiter(exchange.sentTo);
    if (!limiter || saysNothing)
        return;
    if (exchange.head.limit)
        counters_.add(GatewayCount::AnswersNamedLimit);
    const std::optional<RequestRate> before = limiter->stated.limit();
    if (!limiter->stated.updateFromAnswer(exchange.head.limit, exchange.sentAt, now))
        return;
    nextCoordinatorCheckAt_ = now;
    log(LogPriority::State, "endpoint_limit", exchange,
        {{"start", exchange.sentTo.start.unixMs},
         {"per_s", loggedLimit(limiter->stated.limit())},
         {"before_per_s", loggedLimit(before)},
         {"gets_per_s", limiter->stated.perSecond()},
         {"learned_from", "own"}});
}

// Applies another daemon's limit updates.
void Gateway::onLimitNotice(const LimitNotice &notice, TimeMs now)
{
    for (const LimitUpdate &update : notice.updates) {
        EndpointLimiter *limiter = fleet_.limiter(update.endpoint);
        const std::optional<RequestRate> before = limiter ? limiter->stated.limit() : std::nullopt;
        if (!limiter || !limiter->stated.updateFromPeer(update, now))
            continue;
        nextCoordinatorCheckAt_ = now;
        log_.write(LogPriority::State, "endpoint_limit",
                   {{"endpoint", update.endpoint.id.value},
                    {"start", update.endpoint.start.unixMs},
                    {"per_s", loggedLimit(update.limit)},
                    {"before_per_s", loggedLimit(before)},
                    {"gets_per_s", limiter->stated.perSecond()},
                    {"learned_from", "peer"}});
    }
}

void Gateway::onLimitShareRequest(const LimitShareRequest &request, const Address &from, TimeMs now)
{
    EndpointLimiter *limiter = fleet_.limiter(request.endpoint);
    if (!limiter)
        return;
    // The requester missed that the limit was lifted.
    if (!limiter->isLimited())
        actions_.emplace_back(
            SendToPeer{from, LimitNotice{{limiter->stated.toUpdate(request.endpoint, now)}}});
    if (!limiter->isCoordinator())
        return;
    limiter->onShareRequest(from, request, now);
    sendLimitGrants(request.endpoint, now);
}

void Gateway::onLimitGrant(const LimitShareGrant &grant, TimeMs now)
{
    EndpointLimiter *limiter = fleet_.limiter(grant.endpoint);
    if (!limiter)
        return;
    limiter->applyGrant(grant, now);
    if (grant.requests > 0)
        runQueue(now);
}

void Gateway::tickEndpointLimits(TimeMs now)
{
    const std::vector<FleetEndpoint *> limited = fleet_.limited();
    if (limited.empty())
        return;
    sendDueLimitUpdates(limited, now);
    if (now >= nextCoordinatorCheckAt_)
        updateCoordinators(limited, now);
    requestShares(limited, now);
}

void Gateway::updateCoordinators(const std::vector<FleetEndpoint *> &limited, TimeMs now)
{
    nextCoordinatorCheckAt_ = now + CoordinatorCheckInterval;
    coordinators_.clear();
    const std::vector<const MemberEntry *> daemons = peers_.presentServing(now);
    for (FleetEndpoint *endpoint : limited) {
        const EndpointIncarnation incarnation = endpoint->incarnation();
        const MemberEntry *coordinator = coordinatorOf(incarnation, daemons);
        const bool isSelf = coordinator && coordinator->incarnation == settings_.incarnation;
        if (isSelf != endpoint->limiter.isCoordinator())
            log_.write(LogPriority::State, "endpoint_limit_coordinator",
                       {{"endpoint", incarnation.id.value}, {"coordinates", isSelf}});
        endpoint->limiter.setCoordinator(isSelf, now);
        if (coordinator && !isSelf)
            coordinators_[incarnation] = coordinator->peerAddress;
    }
}

// Requests that have waited for a while may go to any endpoint. In each round as many endpoints as there are
// requests get a share request, in round-robin order.
void Gateway::distributeWaiting(const std::vector<FleetEndpoint *> &limited, TimeMs now)
{
    std::map<ServiceName, uint32_t> waiting;
    for (const WaitingRequest &request : queue_.waiting())
        waiting[request.flow.service] += now - request.arrivedAt > BestEndpointWait ? 1 : 0;
    if (now - nextShareRequestAt_ >= EndpointLimiter::ShareRequestInterval) {
        nextShareRequestAt_ = now;
        ++shareRequestRound_;
    }
    std::map<ServiceName, std::vector<FleetEndpoint *>> byService;
    for (FleetEndpoint *endpoint : limited)
        byService[endpoint->entry.service].push_back(endpoint);
    for (const std::pair<const ServiceName, std::vector<FleetEndpoint *>> &each : byService) {
        const size_t count = each.second.size();
        const size_t requests = waiting[each.first];
        const size_t from = shareRequestRound_ * requests % count;
        for (size_t i = 0; i < count; ++i)
            each.second[(from + i) % count]->limiter.setQueuedRequests(
                static_cast<uint32_t>((requests + count - 1 - i) / count));
    }
}

void Gateway::requestShares(const std::vector<FleetEndpoint *> &limited, TimeMs now)
{
    distributeWaiting(limited, now);
    for (FleetEndpoint *endpoint : limited) {
        const auto coordinator = coordinators_.find(endpoint->incarnation());
        if (endpoint->limiter.isCoordinator())
            sendLimitGrants(endpoint->incarnation(), now);
        else if (coordinator != coordinators_.end()) {
            if (const std::optional<LimitShareRequest> request
                = endpoint->limiter.dueShareRequest(endpoint->incarnation(), now))
                actions_.emplace_back(SendToPeer{coordinator->second, *request});
        }
    }
}

void Gateway::sendLimitGrants(const EndpointIncarnation &endpoint, TimeMs now)
{
    EndpointLimiter *limiter = fleet_.limiter(endpoint);
    for (const EndpointLimiter::Grant &share : limiter->grantShares(endpoint, settings_.incarnation, now)) {
        if (share.grant.requests > 0)
            log_.write(LogPriority::Ordinary, "endpoint_limit_granted",
                       {{"endpoint", endpoint.id.value},
                        {"to", toText(share.to)},
                        {"requests", share.grant.requests},
                        {"waiting", share.grant.waiting}});
        actions_.emplace_back(SendToPeer{share.to, share.grant});
    }
}

void Gateway::sendDueLimitUpdates(const std::vector<FleetEndpoint *> &limited, TimeMs now)
{
    std::vector<LimitUpdate> due;
    for (FleetEndpoint *endpoint : limited) {
        if (endpoint->limiter.stated.isUpdateDue(endpoint->limiter.isCoordinator(), now))
            due.push_back(endpoint->limiter.stated.toUpdate(endpoint->incarnation(), now));
    }
    sendLimitUpdates(peers_.reportTargets(), due);
}

// Daemons that start to serve have missed earlier limit updates.
void Gateway::sendLimitsToNewServing(TimeMs now)
{
    std::vector<LimitUpdate> known;
    for (const FleetEndpoint *endpoint : fleet_.limited())
        known.push_back(endpoint->limiter.stated.toUpdate(endpoint->incarnation(), now));
    sendLimitUpdates(peers_.newTargets(), known);
}

void Gateway::sendLimitUpdates(const std::vector<const MemberEntry *> &members,
                               const std::vector<LimitUpdate> &updates)
{
    for (size_t from = 0; from < updates.size(); from += MaxUpdatesPerDatagram) {
        const size_t to = std::min(from + MaxUpdatesPerDatagram, updates.size());
        const LimitNotice notice{{updates.begin() + static_cast<std::ptrdiff_t>(from),
                                  updates.begin() + static_cast<std::ptrdiff_t>(to)}};
        for (const MemberEntry *member : members)
            actions_.emplace_back(SendToPeer{member->peerAddress, notice});
    }
}

// Fields on the endpoint's limit for a `send` log line. With them the logs of all daemons show which daemon
// exceeded the limit, and whether it knew the limit.
boost::json::object Gateway::limitLogFields(const FleetEndpoint &endpoint, TimeMs now)
{
    const StatedLimit &stated = endpoint.limiter.stated;
    if (!stated.limit())
        return {};
    return {{"limit_per_s", stated.limit()->perSecond}, {"limit_age_ms", (now - stated.updatedAt()).count}};
}

// ---- Brittle endpoints ----

void Gateway::recordBrittleness(const Exchange &exchange, TimeMs now)
{
    if (exchange.head.maxRejectionsError) {
        log(LogPriority::Failure, "endpoint_brittle_unreadable", exchange,
            {{"error", toText(*exchange.head.maxRejectionsError)}});
        return;
    }
    if (!fleet_.updateBrittleness(exchange.sentTo, exchange.head.maxRejections, exchange.sentAt, now))
        return;
    nextBrittleUpdateAt_ = now;
    log(LogPriority::State, "endpoint_brittle", exchange,
        {{"service", exchange.service.value}, {"rejections_per_s", exchange.head.maxRejections.value_or(0)}});
}

void Gateway::updateBrittleServices(TimeMs now)
{
    if (now < nextBrittleUpdateAt_)
        return;
    nextBrittleUpdateAt_ = now + BrittleUpdateInterval;
    std::map<ServiceName, uint32_t> services = fleet_.ownBrittleServices();
    for (const PeerTable::ServingReport &each : peers_.servingReports(now)) {
        for (const std::pair<const ServiceName, uint32_t> &brittle : each.report->brittle) {
            uint32_t &smallest = services.try_emplace(brittle.first, brittle.second).first->second;
            smallest = std::min(smallest, brittle.second);
        }
    }
    if (services.empty())
        return fleet_.setBrittleServices({}, {}, settings_.incarnation);
    std::vector<Incarnation> daemons{settings_.incarnation};
    for (const MemberEntry *member : peers_.presentServing(now)) {
        if (member->incarnation != settings_.incarnation)
            daemons.push_back(member->incarnation);
    }
    fleet_.setBrittleServices(std::move(services), daemons, settings_.incarnation);
}

} // namespace cranberry
