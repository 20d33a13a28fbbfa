#pragma once

#include "common/types.h"

#include <vector>

namespace cranberry {

/// A request that waits at this daemon until an endpoint has room.
struct WaitingRequest {
    CallerId caller;
    uint32_t priority = 0; ///< 0 is most urgent.
    TimeMs arrivedAt;
    /// Sent later than this, it can't be answered within its target any more.
    TimeMs inTimeUntil;
};

/// The order in which waiting requests are served.
///
/// Answers load in which more is asked than the endpoints can do for some seconds: reclaims, bursts, the
/// return of all callers after an outage. First come, first served makes all late then, since each waits
/// behind those who have waited too long already. So those who can still be answered in time go first, by
/// priority, then by arrival; the others follow when there is room.
class AdmissionQueue
{
public:
    void add(const WaitingRequest &request);
    void remove(CallerId caller);
    bool empty() const { return waiting_.empty(); }
    size_t size() const { return waiting_.size(); }
    std::vector<CallerId> inOrder(TimeMs now) const;

private:
    std::vector<WaitingRequest> waiting_; ///< By priority, then by arrival.
};

} // namespace cranberry
