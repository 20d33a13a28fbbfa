#pragma once

#include "gateway/gatewayevents.h"

#include <map>

namespace cranberry {

/// This daemon's demand on each service's engines, as moving means.
class DemandMeter
{
public:
    void prefill(const ServiceName &service, uint64_t tokens)
    {
        pending_[service] += static_cast<double>(tokens);
    }
    /// Call at a steady pace; `running` are the requests at endpoints or waiting for one now.
    void sample(const std::map<ServiceName, uint32_t> &running, TimeMs now);
    std::vector<ServiceDemand> values() const;

private:
    std::map<ServiceName, double> pending_;
    std::map<ServiceName, ServiceDemand> means_;
    TimeMs sampledAt_;
    bool started_ = false;
};

} // namespace cranberry
