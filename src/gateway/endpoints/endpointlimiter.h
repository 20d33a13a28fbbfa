#pragma once

#include "gateway/endpoints/limitshares.h"
#include "gateway/endpoints/statedlimit.h"

namespace cranberry {

/// Keeps the requests that all daemons together send to one endpoint within the rate limit that it states.
///
/// One daemon, the coordinator, grants the rate request by request, to itself and to daemons that request a
/// share. The others send only what was granted to them. This keeps the sum within the limit whatever the
/// daemons know of each other, and a lost grant costs one request instead of exceeding the limit.
class EndpointLimiter
{
public:
    /// Interval at which a daemon with waiting requests repeats its share request, since datagrams may be
    /// lost.
    static constexpr DurationMs ShareRequestInterval{100};

    StatedLimit stated;

    bool isLimited() const { return stated.limit().has_value(); }
    /// True if the endpoint is limited, or if peers still have to be notified that it no longer is.
    bool isActive() const { return isLimited() || stated.hasPendingUpdates(); }

    bool maySend(TimeMs now) const { return !isLimited() || granted(now) > 0; }
    void sent(TimeMs now);
    /// Sets the number of this daemon's requests that have waited for a while and could go to this endpoint.
    void setQueuedRequests(uint32_t requests) { queuedRequests_ = requests; }
    /// Records that a request would have gone to this endpoint: that request, if it waits, or the next
    /// similar one may use a grant.
    void recordUnmetDemand(TimeMs now) { unmetDemandAt_ = now; }
    /// Number of requests that wait for this endpoint at all daemons, as far as is known.
    uint32_t waiting(TimeMs now) const;

    // If another daemon is the coordinator:

    /// Returns the share request that is due to be sent to the coordinator.
    std::optional<LimitShareRequest> dueShareRequest(const EndpointIncarnation &endpoint, TimeMs now);
    void applyGrant(const LimitShareGrant &grant, TimeMs now);

    // If this daemon is the coordinator:

    void setCoordinator(bool isSelf, TimeMs now);
    bool isCoordinator() const { return shares_.isOn(); }
    void onShareRequest(const Address &from, const LimitShareRequest &request, TimeMs now);
    struct Grant {
        Address to;
        LimitShareGrant grant;
    };
    /// Grants what the endpoint's rate allows by now. Returns the grants that are to be sent to other
    /// daemons.
    std::vector<Grant> grantShares(const EndpointIncarnation &endpoint, Incarnation self, TimeMs now);

private:
    uint32_t granted(TimeMs now) const;
    uint32_t missingGrants(TimeMs now) const;

    uint32_t granted_ = 0;
    TimeMs grantedUntil_;
    uint32_t queuedRequests_ = 0;
    TimeMs unmetDemandAt_;

    uint64_t shareRequestsSent_ = 0;
    TimeMs shareRequestedAt_;
    uint64_t lastGrant_ = 0; ///< Newest grant number of `lastGranter_`; older and duplicate ones are ignored.
    Incarnation lastGranter_;
    uint32_t reportedWaiting_ = 0;
    TimeMs reportedWaitingAt_;

    LimitShares shares_;
    TimeMs coordinationCheckedAt_;
    uint64_t grantsSent_ = 0;
};

/// Returns the daemon that grants an endpoint's rate, which is the same at all daemons with the same view of
/// the daemons; nullptr if there are no daemons.
const MemberEntry *coordinatorOf(const EndpointIncarnation &endpoint,
                                 const std::vector<const MemberEntry *> &daemons);

} // namespace cranberry
