// Endpoints that this daemon does not reach: evidence from its connections, and probes where there is none.

#include "gateway/gateway.h"

namespace cranberry {

namespace {

/// Endpoints accept a connection within milliseconds.
constexpr DurationMs PathProbeTimeout{350};
/// While requests are open at a service and none of its endpoints has sent a byte for this time, one of them
/// is probed. The first event of a long prompt takes longer, so silence alone shows nothing.
constexpr DurationMs SilenceBeforeProbe{400};
/// A new connection to one of the service's endpoints shows for this time that they are reached.
constexpr DurationMs ConnectionValidity{1000};

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
        recordConnectFailure(event.endpoint, event.failure, now);
        if (wasSilent)
            applyPathChange(service, paths_.silentAndUnreached(service, event.endpoint, now), now);
        return;
    }
    counters_.add(GatewayCount::EndpointConnections);
    contact.connectedAt = now;
    const TimeMs since = paths_.since(service);
    if (paths_.connected(service, event.endpoint, now) == EndpointPaths::Change::Regained)
        log_.write(LogPriority::State, "endpoints_reached_again",
                   {{"service", service.value}, {"after_ms", (now - since).count}});
}

void Gateway::recordConnectFailure(const EndpointId &id, ConnectFailure failure, TimeMs now)
{
    counters_.add(failure == ConnectFailure::Refused ? GatewayCount::EndpointConnectsRefused
                                                     : GatewayCount::EndpointConnectsTimedOut);
    const FleetEndpoint *endpoint = fleet_.find(id);
    if (!endpoint)
        return;
    const ServiceName service = endpoint->entry.service;
    applyPathChange(service,
                    paths_.connectFailed(service, id, failure, fleet_.accepting(service).size(), now), now);
}

void Gateway::applyPathChange(const ServiceName &service, EndpointPaths::Change change, TimeMs now)
{
    switch (change) {
    case EndpointPaths::Change::None:
    case EndpointPaths::Change::Cleared:
    case EndpointPaths::Change::Regained:
        return;
    case EndpointPaths::Change::Suspected:
        return tickPaths(now);
    case EndpointPaths::Change::Partitioned:
        counters_.add(GatewayCount::Partitions);
        log_.write(LogPriority::State, "endpoints_unreached",
                   {{"service", service.value},
                    {"since_ms", (now - paths_.since(service)).count},
                    {"failure", paths_.isHanging(service) ? "timed_out" : "refused"},
                    {"failed", paths_.failed(service).size()}});
        return;
    }
}

void Gateway::tickPaths(TimeMs now)
{
    for (const ServiceName &service : paths_.takeDueProbes(now))
        probePath(service, now);
    probeSilentServices(now);
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

// Requests that were sent over connections of before a partition get no answer and no error.
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

} // namespace cranberry
