#pragma once

#include "gateway/gatewayevents.h"

namespace cranberry {

/// Keeps what all daemons together send to one endpoint within what it says that it takes.
///
/// One daemon, the coordinator, has the token bucket: it shares out one request after the other, to itself
/// and to those that ask, the one that waits longest first. The others send what was granted to them and
/// nothing else. So the sum is kept whatever the daemons know of each other, and a grant that is lost costs a
/// request, not the limit. A new coordinator waits until nothing that the one before has granted is left.
class EndpointLimiter
{
public:
    /// A daemon whose requests wait asks again at this pace, since datagrams are lost.
    static constexpr DurationMs AskPace{100};

    // What the endpoint says.

    /// An own attempt, sent at `sentAt`, was answered; `stated` is empty where the answer names no limit.
    /// True if that changes what is known. An answer without one is no newer than its request, for all that
    /// is known: it says nothing against a limit that was named since. Each that does doubles the rate, and a
    /// few in a row lift the limit: one may leave it out by chance, and all daemons would be back at once.
    bool hear(std::optional<RequestRate> stated, TimeMs sentAt, TimeMs now);
    /// Another daemon heard it. True if that changes what is known.
    bool learn(const LimitWord &word, TimeMs now);
    const std::optional<RequestRate> &limit() const { return limit_; } ///< Empty: none.
    /// Requests a second that it gets while it has a limit. One that takes nothing is tried now and then:
    /// only answers tell that its limit is over.
    double perSecond() const;
    TimeMs heardAt() const { return heardAt_; } ///< The newest word.
    /// It has a limit, or the others are still to be told that it has none any more.
    bool isActive() const { return limit_ || tellingsLeft_ > 0; }
    LimitWord word(const EndpointLife &endpoint, TimeMs now) const;
    /// The others are to be told: what was heard here at once and twice more, by the coordinator now and
    /// then.
    bool isTellingDue(TimeMs now);

    // Sending.

    bool maySend(TimeMs now) const { return !limit_ || granted(now) > 0; }
    void sent(TimeMs now);
    /// So many of this daemon's requests have waited for a while, and could go there.
    void want(uint32_t requests) { wanted_ = requests; }
    /// A request would have gone there: it, if it waits, or the next one like it may.
    void wish(TimeMs now) { wishedAt_ = now; }
    /// The question that is due for the coordinator, if another daemon is it.
    std::optional<LimitAsk> dueAsk(const EndpointLife &endpoint, TimeMs now);
    void take(const LimitGrant &grant, TimeMs now);
    /// Requests that wait for this endpoint at all daemons, as far as is known.
    uint32_t waiting(TimeMs now) const;

    // Coordinating.

    void setCoordinator(bool isSelf, TimeMs now);
    bool isCoordinator() const { return coordinatesSince_.has_value(); }
    void onAsk(const Address &from, const LimitAsk &ask, TimeMs now);
    struct Share {
        Address to;
        LimitGrant grant;
    };
    /// Shares out what the endpoint takes by now. What is returned is to be told to other daemons.
    std::vector<Share> share(const EndpointLife &endpoint, Incarnation self, TimeMs now);

private:
    /// A daemon with requests that could go there.
    struct Demand {
        std::optional<Address> from; ///< Empty: this daemon.
        uint64_t number = 0; ///< Of its newest question.
        uint32_t waiting = 0;
        TimeMs since; ///< It waits since then, or was last granted something.
        TimeMs heardAt;
        bool isAnswered = false; ///< Its newest question.
    };
    uint32_t granted(TimeMs now) const;
    uint32_t lacking(TimeMs now) const;
    void fill(TimeMs now);
    void noteDemand(const Demand &demand);
    Demand *nextDemand();
    void forgetOldDemands(TimeMs now);

    void set(std::optional<RequestRate> limit, uint32_t clears, TimeMs heardAt, TimeMs standsSince);

    std::optional<RequestRate> limit_;
    uint32_t clears_ = 0; ///< Answers in a row since then that named none.
    TimeMs heardAt_;
    TimeMs standsSince_; ///< It first named a limit then.
    TimeMs tellAt_;
    uint32_t tellingsLeft_ = 0;

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

    std::optional<TimeMs> coordinatesSince_;
    TimeMs coordinationCheckedAt_;
    double tokens_ = 0;
    TimeMs filledAt_;
    std::vector<Demand> demands_;
    uint64_t grants_ = 0;
};

/// The daemon that shares out what an endpoint takes; the same at all that know the same daemons. nullptr if
/// there is none.
const MemberEntry *coordinatorOf(const EndpointLife &endpoint,
                                 const std::vector<const MemberEntry *> &daemons);

} // namespace cranberry
