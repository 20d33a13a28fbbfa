#pragma once

#include "gateway/gatewayevents.h"

#include <map>

namespace cranberry {

/// This daemon's demand on each service's engines, and what reading prompts took there.
class DemandMeter
{
public:
    /// A request is sent that is to read `tokens`; its caller wants the first event within `target`.
    void prefill(const ServiceName &service, uint64_t tokens, DurationMs target);
    /// The first event of a request that found no queue came `took` after it was sent.
    void firstEvent(const ServiceName &service, uint64_t tokens, DurationMs took);
    /// Call at a steady pace; `running` are the requests at endpoints or waiting for one now.
    void sample(const std::map<ServiceName, uint32_t> &running, TimeMs now);
    std::vector<ServiceDemand> values() const;
    ReadingSums readings(const ServiceName &service) const;

private:
    std::map<ServiceName, ServiceDemand> pending_; ///< Sums since the last sample.
    std::map<ServiceName, ServiceDemand> means_;
    TimeMs sampledAt_;
    bool started_ = false;
};

} // namespace cranberry
