#pragma once

#include "gateway/endpoints/limitshares.h"
#include "gateway/endpoints/statedlimit.h"

namespace cranberry {

/// Keeps what all daemons together send to one endpoint within what it says that it takes.
///
/// One daemon, the coordinator, shares that out request by request, to itself and to those that ask. The
/// others send what was granted to them and nothing else. So the sum is kept whatever the daemons know of
/// each other, and a grant that is lost costs a request, not the limit.
class EndpointLimiter
{
public:
    /// A daemon whose requests wait asks again at this pace, since datagrams are lost.
    static constexpr DurationMs AskPace{100};

    StatedLimit stated;

    bool isLimited() const { return stated.limit().has_value(); }
    /// It is, or the others are still to be told that it is not any more.
    bool isActive() const { return isLimited() || stated.isToBeTold(); }

    bool maySend(TimeMs now) const { return !isLimited() || granted(now) > 0; }
    void sent(TimeMs now);
    /// So many of this daemon's requests have waited for a while, and could go there.
    void want(uint32_t requests) { wanted_ = requests; }
    /// A request would have gone there: it, if it waits, or the next one like it may.
    void wish(TimeMs now) { wishedAt_ = now; }
    /// Requests that wait for this endpoint at all daemons, as far as is known.
    uint32_t waiting(TimeMs now) const;

    // Another daemon is the coordinator.

    /// The question that is due for it.
    std::optional<LimitAsk> dueAsk(const EndpointLife &endpoint, TimeMs now);
    void take(const LimitGrant &grant, TimeMs now);

    // This daemon is it.

    void setCoordinator(bool isSelf, TimeMs now);
    bool isCoordinator() const { return shares_.isOn(); }
    void onAsk(const Address &from, const LimitAsk &ask, TimeMs now);
    struct Grant {
        Address to;
        LimitGrant grant;
    };
    /// Shares out what the endpoint takes by now. What is returned is to be told to other daemons.
    std::vector<Grant> share(const EndpointLife &endpoint, Incarnation self, TimeMs now);

private:
    uint32_t granted(TimeMs now) const;
    uint32_t lacking(TimeMs now) const;

    uint32_t granted_ = 0;
    TimeMs grantedUntil_;
    uint32_t wanted_ = 0;
    TimeMs wishedAt_;

    uint64_t asks_ = 0;
    TimeMs askedAt_;
    uint64_t lastGrant_ = 0; ///< Of the daemon `lastGiver_`: an older or doubled one is not taken.
    Incarnation lastGiver_;
    uint32_t toldWaiting_ = 0;
    TimeMs toldWaitingAt_;

    LimitShares shares_;
    TimeMs coordinationCheckedAt_;
    uint64_t grants_ = 0;
};

/// The daemon that shares out what an endpoint takes; the same at all that know the same daemons. nullptr if
/// there is none.
const MemberEntry *coordinatorOf(const EndpointLife &endpoint,
                                 const std::vector<const MemberEntry *> &daemons);

} // namespace cranberry
