#pragma once

#include "gateway/gatewayevents.h"

#include <map>

namespace cranberry {

/// Requests of a service that this daemon has open.
struct OpenRequests {
    uint32_t running = 0; ///< At an endpoint or waiting for one.
    uint32_t waiting = 0; ///< Those of them that are not sent.
};

/// Measures this daemon's demand on the engines of each service and how long prefill took there.
class DemandMeter
{
public:
    /// Records a caller's request that is admitted, once, with the prompt tokens that it shares with others
    /// and those that it does not.
    void recordOffered(const ServiceName &service, uint64_t ownTokens, uint64_t sharedTokens);
    /// Records a request that is sent and needs a prefill of `tokens`; `sharedTokens` of them belong to
    /// shared parts. `target` is its time-to-first-event target.
    void recordRequest(const ServiceName &service, uint64_t tokens, uint64_t sharedTokens, DurationMs target);
    /// Records that the first event of a request that found no queue arrived `duration` after it was sent.
    void recordFirstEvent(const ServiceName &service, uint64_t tokens, DurationMs duration);
    void recordStreamStarted(const ServiceName &service);
    /// Records that a stream is late; once for each stream.
    void recordLate(const ServiceName &service);
    /// Updates the means; call it at a regular interval.
    void sample(const std::map<ServiceName, OpenRequests> &open, TimeMs now);
    std::vector<ServiceDemand> values() const;
    PrefillSums prefillSums(const ServiceName &service) const;

private:
    std::map<ServiceName, ServiceDemand> pending_; ///< Sums since the last call of `sample`.
    std::map<ServiceName, ServiceDemand> means_;
    TimeMs sampledAt_;
    bool started_ = false;
};

} // namespace cranberry
