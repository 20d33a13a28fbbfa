// Handles endpoints that state how many requests per second they take from all daemons together.

#include "gateway/gateway.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Coordinators change with the set of reachable daemons; a change is noticed after up to this time.
constexpr DurationMs CoordinatorsPace{200};
/// A request that has waited this long for its best endpoint may go to any. If it requested shares from all
/// endpoints at once, most of the grants would be unused.
constexpr DurationMs PatienceForBest{100};
constexpr size_t MostWordsAtOnce = 256; ///< 13 KB in one datagram.
/// Logged in place of a rate for an endpoint that has no limit any more.
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
    const std::optional<RequestRate> before = limiter->stated.limit();
    if (!limiter->stated.hear(exchange.head.limit, exchange.sentAt, now))
        return;
    coordinatorsAt_ = now;
    log(LogWeight::State, "endpoint_limit", exchange,
        {{"start", exchange.at.start.unixMs},
         {"per_s", loggedLimit(limiter->stated.limit())},
         {"before_per_s", loggedLimit(before)},
         {"gets_per_s", limiter->stated.perSecond()},
         {"learned_from", "own"}});
}

// Applies another daemon's limit updates.
void Gateway::onLimitNotice(const LimitNotice &notice, TimeMs now)
{
    for (const LimitWord &word : notice.words) {
        EndpointLimiter *limiter = fleet_.limiter(word.endpoint);
        const std::optional<RequestRate> before = limiter ? limiter->stated.limit() : std::nullopt;
        if (!limiter || !limiter->stated.learn(word, now))
            continue;
        coordinatorsAt_ = now;
        log_.write(LogWeight::State, "endpoint_limit",
                   {{"endpoint", word.endpoint.id.value},
                    {"start", word.endpoint.start.unixMs},
                    {"per_s", loggedLimit(word.limit)},
                    {"before_per_s", loggedLimit(before)},
                    {"gets_per_s", limiter->stated.perSecond()},
                    {"learned_from", "peer"}});
    }
}

void Gateway::onLimitAsk(const LimitAsk &ask, const Address &from, TimeMs now)
{
    EndpointLimiter *limiter = fleet_.limiter(ask.endpoint);
    if (!limiter)
        return;
    // The requester missed that the limit was lifted.
    if (!limiter->isLimited())
        actions_.emplace_back(TellPeer{from, LimitNotice{{limiter->stated.word(ask.endpoint, now)}}});
    if (!limiter->isCoordinator())
        return;
    limiter->onAsk(from, ask, now);
    shareOut(ask.endpoint, now);
}

void Gateway::onLimitGrant(const LimitGrant &grant, TimeMs now)
{
    EndpointLimiter *limiter = fleet_.limiter(grant.endpoint);
    if (!limiter)
        return;
    limiter->take(grant, now);
    if (grant.requests > 0)
        runQueue(now);
}

void Gateway::tickEndpointLimits(TimeMs now)
{
    const std::vector<FleetEndpoint *> limited = fleet_.limited();
    if (limited.empty())
        return;
    tellOfLimits(limited, now);
    if (now >= coordinatorsAt_)
        findCoordinators(limited, now);
    askForShares(limited, now);
}

void Gateway::findCoordinators(const std::vector<FleetEndpoint *> &limited, TimeMs now)
{
    coordinatorsAt_ = now + CoordinatorsPace;
    coordinators_.clear();
    const std::vector<const MemberEntry *> daemons = peers_.presentSharers(now);
    for (FleetEndpoint *endpoint : limited) {
        const EndpointLife life = endpoint->life();
        const MemberEntry *coordinator = coordinatorOf(life, daemons);
        const bool isSelf = coordinator && coordinator->incarnation == settings_.incarnation;
        if (isSelf != endpoint->limiter.isCoordinator())
            log_.write(LogWeight::State, "endpoint_limit_coordinator",
                       {{"endpoint", life.id.value}, {"coordinates", isSelf}});
        endpoint->limiter.setCoordinator(isSelf, now);
        if (coordinator && !isSelf)
            coordinators_[life] = coordinator->peerAddress;
    }
}

// Requests that have waited for a while may go to any endpoint. In each round as many endpoints as there are
// requests get a share request, in round-robin order.
void Gateway::spreadWaiting(const std::vector<FleetEndpoint *> &limited, TimeMs now)
{
    std::map<ServiceName, uint32_t> waiting;
    for (CallerId id : queue_.inOrder(now)) {
        const Exchange &exchange = exchanges_.at(id);
        waiting[exchange.service] += now - exchange.arrivedAt > PatienceForBest ? 1 : 0;
    }
    if (now - askRoundAt_ >= EndpointLimiter::AskPace) {
        askRoundAt_ = now;
        ++askRound_;
    }
    std::map<ServiceName, std::vector<FleetEndpoint *>> byService;
    for (FleetEndpoint *endpoint : limited)
        byService[endpoint->entry.service].push_back(endpoint);
    for (const std::pair<const ServiceName, std::vector<FleetEndpoint *>> &each : byService) {
        const size_t count = each.second.size();
        const size_t requests = waiting[each.first];
        const size_t from = askRound_ * requests % count;
        for (size_t i = 0; i < count; ++i)
            each.second[(from + i) % count]->limiter.want(
                static_cast<uint32_t>((requests + count - 1 - i) / count));
    }
}

void Gateway::askForShares(const std::vector<FleetEndpoint *> &limited, TimeMs now)
{
    spreadWaiting(limited, now);
    for (FleetEndpoint *endpoint : limited) {
        const auto coordinator = coordinators_.find(endpoint->life());
        if (endpoint->limiter.isCoordinator())
            shareOut(endpoint->life(), now);
        else if (coordinator != coordinators_.end()) {
            if (const std::optional<LimitAsk> ask = endpoint->limiter.dueAsk(endpoint->life(), now))
                actions_.emplace_back(TellPeer{coordinator->second, *ask});
        }
    }
}

void Gateway::shareOut(const EndpointLife &endpoint, TimeMs now)
{
    EndpointLimiter *limiter = fleet_.limiter(endpoint);
    for (const EndpointLimiter::Grant &share : limiter->share(endpoint, settings_.incarnation, now)) {
        if (share.grant.requests > 0)
            log_.write(LogWeight::Ordinary, "endpoint_limit_granted",
                       {{"endpoint", endpoint.id.value},
                        {"to", toText(share.to)},
                        {"requests", share.grant.requests},
                        {"waiting", share.grant.waiting}});
        actions_.emplace_back(TellPeer{share.to, share.grant});
    }
}

void Gateway::tellOfLimits(const std::vector<FleetEndpoint *> &limited, TimeMs now)
{
    std::vector<LimitWord> due;
    for (FleetEndpoint *endpoint : limited) {
        if (endpoint->limiter.stated.isTellingDue(endpoint->limiter.isCoordinator(), now))
            due.push_back(endpoint->limiter.stated.word(endpoint->life(), now));
    }
    tell(peers_.reportTargets(), due);
}

// Daemons that start to serve have missed earlier limit updates.
void Gateway::tellNewServingOfLimits(TimeMs now)
{
    std::vector<LimitWord> known;
    for (const FleetEndpoint *endpoint : fleet_.limited())
        known.push_back(endpoint->limiter.stated.word(endpoint->life(), now));
    tell(peers_.newTargets(), known);
}

void Gateway::tell(const std::vector<const MemberEntry *> &members, const std::vector<LimitWord> &words)
{
    for (size_t from = 0; from < words.size(); from += MostWordsAtOnce) {
        const size_t to = std::min(from + MostWordsAtOnce, words.size());
        const LimitNotice notice{{words.begin() + static_cast<std::ptrdiff_t>(from),
                                  words.begin() + static_cast<std::ptrdiff_t>(to)}};
        for (const MemberEntry *member : members)
            actions_.emplace_back(TellPeer{member->peerAddress, notice});
    }
}

// Fields on the endpoint's limit for a `send` log line. With them the logs of all daemons show which daemon
// exceeded the limit, and whether it knew the limit.
boost::json::object Gateway::limitFields(const FleetEndpoint &endpoint, TimeMs now)
{
    const StatedLimit &stated = endpoint.limiter.stated;
    if (!stated.limit())
        return {};
    return {{"limit_per_s", stated.limit()->perSecond}, {"limit_age_ms", (now - stated.heardAt()).count}};
}

} // namespace cranberry
