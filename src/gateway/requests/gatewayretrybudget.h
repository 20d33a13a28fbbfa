#pragma once

#include "common/types.h"

#include <deque>
#include <map>

namespace cranberry {

/// Limits the retries (sends beyond the first of each request) of a service, over all daemons.
struct GatewayRetryLimits {
    double ratio = 0.2; ///< Retries allowed per request of the service.
    double slack = 10; ///< Retries allowed beyond the ratio, over all daemons.
    DurationMs window{10000};
};

/// This daemon's part of the retries that all daemons may make: the ratio of its own requests, and its share
/// of the slack. Prevents retry storms, in which a failing service gets a multiple of its normal load.
class GatewayRetryBudget
{
public:
    void setLimits(const GatewayRetryLimits &limits) { limits_ = limits; }
    void countRequest(const ServiceName &service, TimeMs now);
    /// Returns whether one more retry is within the budget.
    bool allows(const ServiceName &service, double slackShare, TimeMs now);
    /// Takes one retry from the budget. Returns false if the budget is used up.
    bool take(const ServiceName &service, double slackShare, TimeMs now);

private:
    /// Counts of one second; the window is kept as one slot per second to bound its size.
    struct Slot {
        int64_t second = 0;
        uint32_t requests = 0;
        uint32_t retries = 0;
    };
    Slot &slotAt(const ServiceName &service, TimeMs now);

    GatewayRetryLimits limits_;
    std::map<ServiceName, std::deque<Slot>> slots_;
};

} // namespace cranberry
