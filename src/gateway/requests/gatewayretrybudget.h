#pragma once

#include "common/types.h"

#include <deque>
#include <map>

namespace cranberry {

/// How many sends beyond the first of each request a service may get, over all daemons.
struct RepeatLimits {
    double ratio = 0.2; ///< Of the requests for the service.
    double slack = 10; ///< Repeats allowed besides, over all daemons.
    DurationMs window{10000};
};

/// This daemon's part of the repeats that all daemons may make: the ratio of its own requests, and its share
/// of the slack. It guards against retry storms: without it a failing service gets a multiple of its load.
class RepeatBudget
{
public:
    void setLimits(const RepeatLimits &limits) { limits_ = limits; }
    void request(const ServiceName &service, TimeMs now);
    /// True if one more repeat is within the budget.
    bool allows(const ServiceName &service, double slackShare, TimeMs now);
    /// The same; it is then taken.
    bool take(const ServiceName &service, double slackShare, TimeMs now);

private:
    /// Events of one second, to keep the window's sums small.
    struct Slot {
        int64_t second = 0;
        uint32_t requests = 0;
        uint32_t repeats = 0;
    };
    Slot &slotAt(const ServiceName &service, TimeMs now);

    RepeatLimits limits_;
    std::map<ServiceName, std::deque<Slot>> slots_;
};

} // namespace cranberry
