#pragma once

#include "gateway/gatewayevents.h"

#include <map>

namespace cranberry {

/// Measures this daemon's demand on the engines of each service and how long prefill took there.
class DemandMeter
{
public:
    /// Records a request that is sent and needs a prefill of `tokens`; `target` is its time-to-first-event
    /// target.
    void recordRequest(const ServiceName &service, uint64_t tokens, DurationMs target);
    /// Records that the first event of a request that found no queue arrived `duration` after it was sent.
    void recordFirstEvent(const ServiceName &service, uint64_t tokens, DurationMs duration);
    /// Updates the means; call it at a regular interval. `running` has the number of requests per service
    /// that run at an endpoint or wait for one.
    void sample(const std::map<ServiceName, uint32_t> &running, TimeMs now);
    std::vector<ServiceDemand> values() const;
    PrefillSums prefillSums(const ServiceName &service) const;

private:
    std::map<ServiceName, ServiceDemand> pending_; ///< Sums since the last call of `sample`.
    std::map<ServiceName, ServiceDemand> means_;
    TimeMs sampledAt_;
    bool started_ = false;
};

} // namespace cranberry
