// Endpoints that this daemon does not reach: evidence from its connections, and probes where there is none.

#include "gateway/gateway.h"

#include <utility>

namespace cranberry {

namespace {

/// Endpoints accept a connection within milliseconds.
constexpr DurationMs PathProbeTimeout{350};
/// Daemons answer within milliseconds.
constexpr DurationMs RelayProbeTimeout{350};
/// While requests are open at a service and none of its endpoints has sent a byte for this time, one of them
/// is probed. The first event of a long prompt takes longer, so silence alone shows nothing.
constexpr DurationMs SilenceBeforeProbe{400};
/// A new connection to one of the service's endpoints shows for this time that they are reached.
constexpr DurationMs ConnectionValidity{1000};
/// Relays of one request. More than one, since a relay may be cut off as well and not know it yet.
constexpr uint32_t MaxRelayedSends = 4;
/// More than one, since other endpoints may have crashed as well.
constexpr size_t MaxControlProbes = 3;

} // namespace

void Gateway::onEndpointConnected(const EndpointConnected &event, TimeMs now)
{
    const FleetEndpoint *endpoint = fleet_.find(event.endpoint);
    if (!endpoint)
        return;
    const ServiceName service = endpoint->entry.service;
    ServiceContact &contact = contacts_[service];
    const bool wasSilent = contact.silentProbe == event.endpoint;
    if (wasSilent)
        contact.silentProbe.reset();
    if (event.failure != ConnectFailure::None) {
        recordConnectFailure(event, now);
        if (wasSilent)
            applyPathChange(service, paths_.silentAndUnreached(service, event.endpoint, now), now);
        return;
    }
    silentEndpoints_.record({event.endpoint, {}}, true);
    counters_.add(GatewayCount::EndpointConnections);
    contact.connectedAt = now;
    const TimeMs since = paths_.since(service);
    if (paths_.connected(service, event.endpoint, now) == EndpointPaths::Change::Regained)
        log_.write(LogPriority::State, "endpoints_reached_again",
                   {{"service", service.value}, {"after_ms", (now - since).count}});
}

// An endpoint that leaves refuses connections as planned.
void Gateway::recordConnectFailure(const EndpointConnected &event, TimeMs now)
{
    counters_.add(event.failure == ConnectFailure::Refused ? GatewayCount::EndpointConnectsRefused
                                                           : GatewayCount::EndpointConnectsTimedOut);
    silentEndpoints_.record({event.endpoint, {}}, false);
    const FleetEndpoint *endpoint = fleet_.find(event.endpoint);
    if (!endpoint || endpoint->entry.leaving || endpoint->gone)
        return;
    const ServiceName service = endpoint->entry.service;
    const size_t listed = fleet_.accepting(service).size();
    applyPathChange(service,
                    event.isProbe ? paths_.probeFailed(service, event.endpoint, event.failure, listed, now)
                                  : paths_.connectFailed(service, event.endpoint, event.failure, listed, now),
                    now);
}

void Gateway::applyPathChange(const ServiceName &service, EndpointPaths::Change change, TimeMs now)
{
    switch (change) {
    case EndpointPaths::Change::None:
    case EndpointPaths::Change::Cleared:
    case EndpointPaths::Change::Regained:
        return;
    case EndpointPaths::Change::Suspected:
        contacts_[service].doubtedAt = now;
        return tickPaths(now);
    case EndpointPaths::Change::Partitioned:
        contacts_[service].doubtedAt = now;
        counters_.add(GatewayCount::Partitions);
        leavePaths(service);
        log_.write(LogPriority::State, "endpoints_unreached",
                   {{"service", service.value},
                    {"since_ms", (now - paths_.since(service)).count},
                    {"failure", paths_.isHanging(service) ? "timed_out" : "refused"},
                    {"failed", paths_.failed(service).size()}});
        return;
    }
}

// Connections from before the partition may hang or break, also once it is over.
void Gateway::leavePaths(const ServiceName &service)
{
    CloseIdleConnections close;
    for (const EndpointId &id : fleet_.accepting(service))
        close.addresses.push_back(fleet_.find(id)->entry.address);
    actions_.emplace_back(std::move(close));
    for (const EndpointId &id : paths_.failed(service))
        fleet_.pardon(id);
}

void Gateway::tickPaths(TimeMs now)
{
    for (const ServiceName &service : paths_.takeDueProbes(now))
        probePath(service, now);
    probeSilentServices(now);
    probeSilentRelays(now);
    probeSilentEndpoints(now);
}

// Prefers an endpoint to which no connection has failed: one that crashed shows nothing.
void Gateway::probePath(const ServiceName &service, TimeMs now)
{
    std::vector<EndpointId> endpoints = fleet_.accepting(service);
    std::vector<EndpointId> untried;
    for (const EndpointId &id : endpoints) {
        if (!paths_.hasFailed(service, id) && fleet_.find(id)->crashedUntil <= now)
            untried.push_back(id);
    }
    const std::vector<EndpointId> &candidates = untried.empty() ? endpoints : untried;
    if (candidates.empty())
        return;
    sendPathProbe(*fleet_.find(candidates[random_.below(candidates.size())]));
}

void Gateway::sendPathProbe(const FleetEndpoint &endpoint)
{
    counters_.add(GatewayCount::PathProbes);
    actions_.emplace_back(ProbePath{endpoint.entry.id, endpoint.entry.address, PathProbeTimeout});
}

// Requests on connections from before a partition get no answer and no error.
void Gateway::probeSilentServices(TimeMs now)
{
    std::map<ServiceName, const Exchange *> oldest;
    for (const std::pair<const AttemptId, CallerId> &entry : attempts_) {
        const Exchange &exchange = exchanges_.at(entry.second);
        const Exchange *&known = oldest[exchange.service];
        if (!known || exchange.sentAt < known->sentAt)
            known = &exchange;
    }
    for (const std::pair<const ServiceName, const Exchange *> &entry : oldest) {
        ServiceContact &contact = contacts_[entry.first];
        const TimeMs silentSince = std::max(entry.second->sentAt, contact.lastByteAt);
        const TimeMs reachedAt = std::max(contact.connectedAt, contact.probedAt);
        if (paths_.isDoubtful(entry.first) || now - silentSince < SilenceBeforeProbe
            || now - reachedAt < ConnectionValidity)
            continue;
        const FleetEndpoint *endpoint = fleet_.find(entry.second->sentTo.id);
        if (!endpoint)
            continue;
        contact.probedAt = now;
        contact.silentProbe = endpoint->entry.id;
        sendPathProbe(*endpoint);
    }
}

// Streams that would go on elsewhere wait for the outcome. A probe is a new connection, and no call: an
// endpoint that leaves single calls unanswered is reached.
void Gateway::probeSilentEndpoints(TimeMs now)
{
    std::set<SilentEndpoints::Path> silent;
    for (const std::pair<const AttemptId, CallerId> &entry : attempts_) {
        const Exchange &exchange = exchanges_.at(entry.second);
        if ((mayResumeElsewhere(exchange) || exchange.isStoppingForMove())
            && fleet_.silenceOf(exchange.sentTo, now) >= SilenceBeforeProbe)
            silent.insert({exchange.sentTo.id, exchange.relay});
    }
    for (const SilentEndpoints::Path &path : silentEndpoints_.takeDueProbes(silent, now)) {
        const FleetEndpoint *endpoint = fleet_.find(path.endpoint);
        if (!endpoint)
            continue;
        if (path.relay)
            actions_.emplace_back(
                ProbeEngine{path.endpoint, endpoint->entry.address, RelayProbeTimeout, false, path.relay});
        else
            sendPathProbe(*endpoint);
    }
}

SilentEndpoints::Reach Gateway::reachOfSilent(const Exchange &exchange) const
{
    return silentEndpoints_.reachOf({exchange.sentTo.id, exchange.relay});
}

bool Gateway::isUnreached(const Exchange &exchange) const
{
    return reachOfSilent(exchange) == SilentEndpoints::Reach::Unreached;
}

// ---- Relays ----

// Where only a few daemons serve, all of them may be cut off while those on standby are not.
std::vector<const MemberEntry *> Gateway::relayCandidates(const ServiceName &service, TimeMs now) const
{
    std::vector<const MemberEntry *> serving = peers_.servingRelays(service, now);
    return relays_.isAvailable(service, serving, now) ? serving : peers_.fallbackRelays(service, now);
}

std::optional<Address> Gateway::relayFor(const ServiceName &service, TimeMs now)
{
    if (!paths_.isDoubtful(service))
        return std::nullopt;
    return relays_.choose(service, relayCandidates(service, now), {}, now);
}

std::optional<Address> Gateway::relayFor(const Exchange &exchange, TimeMs now)
{
    if (exchange.relayedSends >= MaxRelayedSends
        || (!exchange.needsRelay && !paths_.isDoubtful(exchange.service)))
        return std::nullopt;
    return relays_.choose(exchange.service, relayCandidates(exchange.service, now), exchange.triedRelays,
                          now);
}

bool Gateway::isOutOfReach(const ServiceName &service, TimeMs now) const
{
    return paths_.state(service) == EndpointPaths::State::Partitioned
        && !relays_.isAvailable(service, relayCandidates(service, now), now);
}

// Endpoints to which this daemon could send nothing may get the request through a relay.
void Gateway::allowUnsentAgain(Exchange &exchange, TimeMs now)
{
    if (exchange.relayedSends >= MaxRelayedSends
        || !relays_.isAvailable(exchange.service, relayCandidates(exchange.service, now), now))
        return;
    exchange.needsRelay = true;
    for (const EndpointId &id : std::exchange(exchange.unsentTo, {}))
        exchange.tried.erase(id);
}

// A daemon whose own path is in doubt must not hold its failures against the endpoints, nor those of a relay
// that broke off.
bool Gateway::isEndpointsFault(const Exchange &exchange, const AttemptConnectionFailed &failure) const
{
    if (exchange.relay)
        return failure.relay == RelayFailure::EndpointUnreached;
    return !paths_.isDoubtful(exchange.service);
}

bool Gateway::isUnheard(const Exchange &exchange) const
{
    if (exchange.relay)
        return relayContacts_.isSilent(*exchange.relay);
    const auto contact = contacts_.find(exchange.service);
    return paths_.isDoubtful(exchange.service)
        || (contact != contacts_.end()
            && std::max(contact->second.lastByteAt, contact->second.connectedAt) < exchange.sentAt);
}

// The response can't arrive over this connection any more. A request that must not be repeated waits on: its
// connection may come back to life.
bool Gateway::isLostInPartition(const Exchange &exchange, TimeMs now) const
{
    const bool isPathLost
        = exchange.relay ? relayContacts_.isSilent(*exchange.relay) : paths_.isHanging(exchange.service);
    return isPathLost && isRetryable(*exchange.route) && exchange.sends + 1 < exchange.route->attempts
        && now - std::max(exchange.sentAt, exchange.newestEventAt) > SilenceBeforeProbe;
}

void Gateway::recordContact(const Exchange &exchange, TimeMs now)
{
    if (exchange.relay)
        relayContacts_.heard(*exchange.relay, now);
    else
        contacts_[exchange.service].lastByteAt = now;
}

void Gateway::probeSilentRelays(TimeMs now)
{
    std::map<Address, TimeMs> oldestSent;
    for (const std::pair<const AttemptId, CallerId> &entry : attempts_) {
        const Exchange &exchange = exchanges_.at(entry.second);
        if (!exchange.relay)
            continue;
        TimeMs &oldest = oldestSent.try_emplace(*exchange.relay, exchange.sentAt).first->second;
        oldest = std::min(oldest, exchange.sentAt);
    }
    for (const Address &relay : relayContacts_.takeDueProbes(oldestSent, now))
        actions_.emplace_back(ProbeRelay{relay, RelayProbeTimeout});
}

void Gateway::onRelayProbed(const RelayProbed &event, TimeMs now)
{
    if (event.answered)
        return relayContacts_.heard(event.relay, now);
    const bool wasSilent = relayContacts_.isSilent(event.relay);
    if (!relayContacts_.probeFailed(event.relay, now))
        return;
    if (!wasSilent) {
        counters_.add(GatewayCount::RelaysSilent);
        log_.write(LogPriority::State, "relay_silent", {{"relay", toText(event.relay)}});
    }
    relays_.failed(event.relay, now);
}

// ---- For other daemons ----

// Requests are passed on to listed endpoints alone, and never to a further daemon, so none goes in circles.
// The other daemon has checked the key, so this one needs no word from the store.
std::optional<Address> Gateway::relayTarget(const EndpointId &endpoint) const
{
    const FleetEndpoint *found = departure_ ? nullptr : fleet_.find(endpoint);
    if (!found || found->gone || found->addressReused || !found->readable)
        return std::nullopt;
    return found->entry.address;
}

// What an endpoint asked of this daemon holds for requests of others as well. One that leaves still takes
// calls about its streams until its time is over.
bool Gateway::wantsNothing(const EndpointId &endpoint, TimeMs now) const
{
    const FleetEndpoint *found = fleet_.find(endpoint);
    return found && (found->rest.isResting(now) || (found->leavesAt && now > *found->leavesAt));
}

// Not endpoints that are known to have crashed: one request may crash several within milliseconds, and their
// refusals would pass for this daemon's partition.
std::vector<ProbePath> Gateway::controlProbes(const EndpointId &refused, TimeMs now)
{
    const FleetEndpoint *endpoint = fleet_.find(refused);
    const std::set<EndpointIncarnation> crashed = quarantine_.suspects().crashedEndpoints();
    std::vector<const FleetEndpoint *> ofService;
    std::vector<const FleetEndpoint *> others;
    for (const std::pair<const EndpointId, FleetEndpoint> &each : fleet_.all()) {
        const FleetEndpoint &other = each.second;
        if (each.first == refused || other.gone || other.entry.leaving || other.crashedUntil > now
            || crashed.contains(other.incarnation()))
            continue;
        (endpoint && other.entry.service == endpoint->entry.service ? ofService : others).push_back(&other);
    }
    std::vector<const FleetEndpoint *> &candidates = ofService.empty() ? others : ofService;
    std::vector<ProbePath> probes;
    while (!candidates.empty() && probes.size() < MaxControlProbes) {
        std::swap(candidates[random_.below(candidates.size())], candidates.back());
        const EndpointEntry &entry = candidates.back()->entry;
        probes.push_back({entry.id, entry.address, PathProbeTimeout});
        candidates.pop_back();
    }
    counters_.add(GatewayCount::PathProbes, probes.size());
    return probes;
}

} // namespace cranberry
