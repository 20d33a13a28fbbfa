#pragma once

#include "gateway/gatewayevents.h"

#include <map>

namespace cranberry {

/// Where an interrupted attempt counts in a trial.
struct InterruptedStart {
    ServiceName service;
    std::string route;
    uint32_t trialGroup = 0;
};

/// An attempt that was interrupted at an endpoint that is being probed.
struct InterruptedAttempt {
    CallerId caller;
    std::string requestId;
    RequestDigest digest;
    CallerRequestPtr request;
    std::vector<RequestDigest> parts; ///< Its shared prompt parts.
    std::optional<TimeMs> firstEventAt;
    std::optional<AttemptId> ended; ///< It ended with its connection, and is complete if the endpoint runs.
    bool retryAfterProbe = false; ///< Its request is retried only after the probe's result.
    /// Counted as a bad outcome if the probe shows that this daemon's own path is not to blame.
    std::optional<InterruptedStart> start;
};

/// Distinguishes endpoints that crash under their requests from failed connections.
///
/// All attempts at an endpoint that crashes are interrupted within milliseconds of each other, so one probe
/// on a new connection serves all of them. Without a probe a failed connection, and an endpoint that drops a
/// single request by its own fault, look the same as a crash.
class EndpointProbes
{
public:
    /// Returns true if the endpoint has to be probed now; otherwise the pending probe also covers this
    /// attempt.
    bool add(const EndpointIncarnation &incarnation, InterruptedAttempt attempt, TimeMs now);

    struct ProbeResult {
        EndpointIncarnation incarnation;
        TimeMs askedAt;
        std::vector<InterruptedAttempt> attempts;
        EndpointProcess process = EndpointProcess::Unknown;
    };
    /// Returns the result of the pending probe, or nothing if none was pending.
    std::optional<ProbeResult> take(const EngineProbed &event);

private:
    struct PendingProbe {
        TimeMs askedAt;
        std::vector<InterruptedAttempt> attempts;
    };
    std::map<EndpointIncarnation, PendingProbe> pending_;
};

} // namespace cranberry
