#pragma once

#include "gateway/requests/fairshares.h"

#include <vector>

namespace cranberry {

/// A request that waits at this daemon until an endpoint has a free slot.
struct WaitingRequest {
    CallerId caller;
    uint32_t priority = 0; ///< 0 is most urgent.
    TimeMs arrivedAt;
    /// If the request is sent later than this, it misses its latency target.
    TimeMs inTimeUntil;
    RequestFlow flow = {};
    double work = 0; ///< In the unit of the flow's service, see FairShares.
    bool isResumption = false; ///< Only endpoints of its stream's version may serve it.
};

/// The order in which waiting requests are served.
///
/// The load may exceed the endpoints' capacity for some seconds: after reclaims, in bursts, and when all
/// callers return after an outage. In FIFO order every request would then miss its latency target, since
/// each waits behind requests that have already missed theirs. Requests that can still meet their target
/// therefore go first, by priority; the others follow when capacity is left.
///
/// Streams that are resumed go before all of these: new requests have other versions' endpoints as well, and
/// a stream that is not continued is lost with the work that was done for it.
///
/// Within one priority, organisations share the capacity by weight (start-time fair queueing): a request
/// comes after the work that its organisation was recently served and the waiting work of its organisation
/// before it. So an organisation that sends many times its usual load waits behind its own requests. Requests
/// with equal shares go by arrival time.
class AdmissionQueue
{
public:
    void add(const WaitingRequest &request);
    void remove(CallerId caller);
    bool empty() const { return waiting_.empty(); }
    size_t size() const { return waiting_.size(); }
    const std::vector<WaitingRequest> &waiting() const { return waiting_; }
    std::vector<CallerId> inOrder(TimeMs now, const FairShares &shares) const;
    /// Returns the waiting requests for the same service that are served before `request`, which does not
    /// wait yet.
    std::vector<const WaitingRequest *> ahead(const WaitingRequest &request, TimeMs now,
                                              const FairShares &shares) const;

private:
    std::vector<WaitingRequest> waiting_; ///< Sorted by priority, then by arrival time.
};

} // namespace cranberry
