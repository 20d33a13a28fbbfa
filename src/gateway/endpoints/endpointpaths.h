#pragma once

#include "common/random.h"
#include "gateway/gatewayevents.h"

#include <map>

namespace cranberry {

const char *toText(ConnectFailure failure);

/// Tells whether this daemon still reaches a service's endpoints over connections of its own.
///
/// Judges by new connections alone: old ones may live on while new ones fail, and the reverse. A failed
/// connection does not show on which side the fault is. Once two endpoints fail in a row, a probe of a third
/// one decides: if it fails too, the daemon is the one that is partitioned.
class EndpointPaths
{
public:
    enum class State : uint8_t {
        Sound,
        Suspected, ///< The next probe decides.
        Partitioned
    };
    /// What changed by an outcome. `Regained` and `Partitioned` are worth a log line.
    enum class Change : uint8_t { None, Suspected, Cleared, Partitioned, Regained };

    explicit EndpointPaths(uint64_t seed) : random_(seed) { }

    /// Records a new connection to an endpoint.
    Change connected(const ServiceName &service, const EndpointId &endpoint, TimeMs now);
    /// Records a failed one of an attempt. `listed`: number of the service's endpoints.
    Change connectFailed(const ServiceName &service, const EndpointId &endpoint, ConnectFailure failure,
                         size_t listed, TimeMs now);
    /// Records a failed one of a probe, which decides where there is doubt.
    Change probeFailed(const ServiceName &service, const EndpointId &endpoint, ConnectFailure failure,
                       size_t listed, TimeMs now);
    /// Records that an endpoint was not reached while all endpoints of the service are silent.
    Change silentAndUnreached(const ServiceName &service, const EndpointId &endpoint, TimeMs now);

    State state(const ServiceName &service) const;
    /// Requests for the service are better sent through another daemon.
    bool isDoubtful(const ServiceName &service) const { return state(service) != State::Sound; }
    /// Nothing can be expected on connections from before the partition.
    bool isHanging(const ServiceName &service) const;
    /// Time of the first failed connection of the current partition.
    TimeMs since(const ServiceName &service) const;
    /// Services from whose endpoints this daemon is partitioned.
    std::vector<ServiceName> unreached() const;
    bool hasFailed(const ServiceName &service, const EndpointId &endpoint) const;
    /// Endpoints to which the newest connection failed.
    std::vector<EndpointId> failed(const ServiceName &service) const;
    /// Returns the services of which an endpoint is to be probed now. Counts as sent.
    std::vector<ServiceName> takeDueProbes(TimeMs now);

private:
    struct Path {
        State state = State::Sound;
        std::map<EndpointId, TimeMs> failedSince;
        ConnectFailure newestFailure = ConnectFailure::None;
        TimeMs since;
        TimeMs nextProbeAt;
        uint32_t successes = 0; ///< New connections in a row while partitioned.
    };
    Change suspect(Path &path, TimeMs now);
    bool isAnyPartitioned() const;

    std::map<ServiceName, Path> paths_;
    Random random_;
};

} // namespace cranberry
