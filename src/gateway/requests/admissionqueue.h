#pragma once

#include "common/types.h"

#include <vector>

namespace cranberry {

/// A request that waits at this daemon until an endpoint has a free slot.
struct WaitingRequest {
    CallerId caller;
    uint32_t priority = 0; ///< 0 is most urgent.
    TimeMs arrivedAt;
    /// If the request is sent later than this, it misses its latency target.
    TimeMs inTimeUntil;
};

/// The order in which waiting requests are served.
///
/// The load may exceed the endpoints' capacity for some seconds: after reclaims, in bursts, and when all
/// callers return after an outage. In FIFO order every request would then miss its latency target, since
/// each waits behind requests that have already missed theirs. Requests that can still meet their target
/// therefore go first, by priority, then by arrival time; the others follow when capacity is left.
class AdmissionQueue
{
public:
    void add(const WaitingRequest &request);
    void remove(CallerId caller);
    bool empty() const { return waiting_.empty(); }
    size_t size() const { return waiting_.size(); }
    std::vector<CallerId> inOrder(TimeMs now) const;

private:
    std::vector<WaitingRequest> waiting_; ///< Sorted by priority, then by arrival time.
};

} // namespace cranberry
