#include "gateway/endpoints/endpointpaths.h"

#include <algorithm>

namespace cranberry {

namespace {

/// With fewer endpoints not reached than this, those may be at fault.
constexpr size_t MinFailedEndpoints = 2;
/// A failed connection that is older than this says nothing about a new one.
constexpr DurationMs FailureMemory{4000};
/// New connections in a row that end a partition: on links that lose packets, single ones succeed.
constexpr uint32_t SuccessesToRegain = 2;
/// Time between two probes of a partitioned service, and their jitter: daemons that were cut off together
/// neither probe together nor return together.
constexpr DurationMs ProbeInterval{250};
constexpr uint64_t ProbeJitterMs = 300;
/// Time until the second probe after a successful one.
constexpr DurationMs ConfirmInterval{100};

} // namespace

const char *toText(ConnectFailure failure)
{
    switch (failure) {
    case ConnectFailure::None:
        return "none";
    case ConnectFailure::Refused:
        return "refused";
    case ConnectFailure::TimedOut:
        return "timed_out";
    }
    return "";
}

EndpointPaths::Change EndpointPaths::connected(const ServiceName &service, const EndpointId &endpoint,
                                               TimeMs now)
{
    const auto found = paths_.find(service);
    if (found == paths_.end())
        return Change::None;
    Path &path = found->second;
    path.failedSince.erase(endpoint);
    if (path.state == State::Partitioned && ++path.successes < SuccessesToRegain) {
        path.nextProbeAt = std::min(path.nextProbeAt, now + ConfirmInterval);
        return Change::None;
    }
    const State before = path.state;
    paths_.erase(found);
    return before == State::Partitioned ? Change::Regained
        : before == State::Suspected    ? Change::Cleared
                                        : Change::None;
}

// While another service is known to be out of reach, one failure is enough. So it is if the service has no
// second endpoint.
EndpointPaths::Change EndpointPaths::connectFailed(const ServiceName &service, const EndpointId &endpoint,
                                                   ConnectFailure failure, size_t listed, TimeMs now)
{
    const bool isOtherPartitioned = isAnyPartitioned();
    Path &path = paths_[service];
    if (path.state == State::Sound)
        std::erase_if(path.failedSince, [now](const std::pair<const EndpointId, TimeMs> &each) {
            return now - each.second > FailureMemory;
        });
    path.failedSince.try_emplace(endpoint, now);
    path.newestFailure = failure;
    path.successes = 0;
    const bool isEnough
        = path.failedSince.size() >= std::min(MinFailedEndpoints, listed) || isOtherPartitioned;
    return path.state == State::Sound && isEnough ? suspect(path, now) : Change::None;
}

EndpointPaths::Change EndpointPaths::probeFailed(const ServiceName &service, const EndpointId &endpoint,
                                                 ConnectFailure failure, size_t listed, TimeMs now)
{
    if (state(service) != State::Suspected)
        return connectFailed(service, endpoint, failure, listed, now);
    Path &path = paths_[service];
    path.failedSince.try_emplace(endpoint, now);
    path.newestFailure = failure;
    path.state = State::Partitioned;
    return Change::Partitioned;
}

EndpointPaths::Change EndpointPaths::silentAndUnreached(const ServiceName &service,
                                                        const EndpointId &endpoint, TimeMs now)
{
    Path &path = paths_[service];
    path.failedSince.try_emplace(endpoint, now);
    path.newestFailure = ConnectFailure::TimedOut;
    return path.state == State::Sound ? suspect(path, now) : Change::None;
}

EndpointPaths::Change EndpointPaths::suspect(Path &path, TimeMs now)
{
    path.state = State::Suspected;
    path.since = now;
    for (const std::pair<const EndpointId, TimeMs> &each : path.failedSince)
        path.since = std::min(path.since, each.second);
    path.nextProbeAt = now;
    return Change::Suspected;
}

bool EndpointPaths::isAnyPartitioned() const
{
    return std::any_of(paths_.begin(), paths_.end(), [](const std::pair<const ServiceName, Path> &each) {
        return each.second.state == State::Partitioned;
    });
}

EndpointPaths::State EndpointPaths::state(const ServiceName &service) const
{
    const auto found = paths_.find(service);
    return found == paths_.end() ? State::Sound : found->second.state;
}

bool EndpointPaths::isHanging(const ServiceName &service) const
{
    const auto found = paths_.find(service);
    return found != paths_.end() && found->second.state == State::Partitioned
        && found->second.newestFailure == ConnectFailure::TimedOut;
}

TimeMs EndpointPaths::since(const ServiceName &service) const
{
    const auto found = paths_.find(service);
    return found == paths_.end() ? TimeMs{} : found->second.since;
}

std::vector<ServiceName> EndpointPaths::unreached() const
{
    std::vector<ServiceName> out;
    for (const std::pair<const ServiceName, Path> &each : paths_) {
        if (each.second.state == State::Partitioned)
            out.push_back(each.first);
    }
    return out;
}

bool EndpointPaths::hasFailed(const ServiceName &service, const EndpointId &endpoint) const
{
    const auto found = paths_.find(service);
    return found != paths_.end() && found->second.failedSince.contains(endpoint);
}

std::vector<EndpointId> EndpointPaths::failed(const ServiceName &service) const
{
    std::vector<EndpointId> out;
    const auto found = paths_.find(service);
    if (found == paths_.end())
        return out;
    for (const std::pair<const EndpointId, TimeMs> &each : found->second.failedSince)
        out.push_back(each.first);
    return out;
}

std::vector<ServiceName> EndpointPaths::takeDueProbes(TimeMs now)
{
    std::vector<ServiceName> due;
    for (std::pair<const ServiceName, Path> &each : paths_) {
        if (each.second.state == State::Sound || now < each.second.nextProbeAt)
            continue;
        each.second.nextProbeAt
            = now + ProbeInterval + DurationMs{static_cast<int64_t>(random_.below(ProbeJitterMs))};
        due.push_back(each.first);
    }
    return due;
}

} // namespace cranberry
