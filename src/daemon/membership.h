#pragma once

#include "common/random.h"
#include "daemon/counters.h"
#include "daemon/messages.h"

#include <map>

namespace cranberry {

struct Member {
    MemberInfo info;
    TimeMs probedAt; ///< Time of the oldest unanswered probe; 0: none.
    TimeMs suspectedAt; ///< 0: not suspected.
    bool gone = false; ///< Another incarnation replied at its address.
    uint32_t updateSendsLeft = 0; ///< Number of messages that are still to carry this entry.
    uint32_t suspicionSendsLeft = 0;
};

/// This daemon's view of its peers. It only decides which peer is preferred: no safety property depends on
/// it.
///
/// Detects failures by probes and refutable suspicions, as in SWIM: the traffic per daemon does not grow with
/// the number of daemons, and only changes are disseminated. Gossiping the heartbeats of all daemons was
/// measured as the alternative: from 128 daemons on, heartbeats arrived only after their daemon was suspected
/// (docs/design/membership.md).
class Membership
{
public:
    Membership(MemberInfo self, std::vector<Address> seeds) : self_(std::move(self)), seeds_(std::move(seeds))
    { }

    const MemberInfo &self() const { return self_; }
    void setRevision(Revision revision) { self_.revision = revision; }

    /// Records the sender of a message, which is known to be alive and whose own revision is exact.
    void recordContact(const MemberInfo &sender, TimeMs now, Counters &counters);
    void recordRevision(Incarnation from, Revision revision);
    /// Merges an entry received from a third daemon.
    void merge(const MemberInfo &info, TimeMs now, Counters &counters);
    void suspect(const Suspicion &suspicion, TimeMs now);
    void markGone(Incarnation incarnation);
    void tick(TimeMs now);

    const Member *find(Incarnation incarnation) const;
    bool isAlive(Incarnation incarnation) const; ///< Known, not gone, and no suspicion has timed out.
    /// Returns the live members without this daemon, in order of incarnation.
    std::vector<const Member *> alive() const;
    size_t aliveCount() const;
    std::vector<const Member *> randomAlive(size_t count, Random &random) const;

    /// Returns the probe targets of this round: random live members and, in some rounds, a suspected one or a
    /// seed.
    std::vector<std::pair<Incarnation, Address>> probeTargets(Random &random, TimeMs now);
    /// Returns the changes to disseminate and a few random members, so that a peer which missed a change
    /// still receives it.
    std::vector<MemberInfo> update(Random &random);
    std::vector<MemberInfo> aliveInfos() const;
    std::vector<Suspicion> takeSuspicions();

    /// Returns the number of other failure domains known to hold `revision` or a later one.
    size_t domainsWithRevision(Revision revision) const;
    size_t otherDomains() const;
    /// True if this daemon is among the `count` lowest live incarnations of its failure domain.
    bool isAmongLowestOfDomain(size_t count) const;

private:
    bool isUp(const Member &member) const;

    MemberInfo self_;
    std::vector<Address> seeds_;
    std::map<Incarnation, Member> members_;
    TimeMs now_;
    uint64_t round_ = 0;
    uint32_t selfSendsLeft_ = 0;
};

/// A grow-only set of marks, each with the number of messages that are still to carry it.
class MarkTable
{
public:
    bool add(const Mark &mark, TimeMs noticeEndsAt); ///< Returns true if the mark is new.
    bool isLeaving(const InstanceName &instance) const;
    bool isLeaving(Incarnation daemon) const;
    /// Follows DaemonMoved marks to the daemon that now holds the register of `incarnation`.
    Incarnation resolve(Incarnation incarnation) const;

    std::vector<MarkUpdate> takePending(size_t maxCount, TimeMs now);
    std::vector<MarkUpdate> all(TimeMs now) const;
    uint64_t digest() const { return digest_; }
    size_t size() const { return marks_.size(); }

private:
    struct State {
        uint32_t sendsLeft = 0;
        TimeMs noticeEndsAt;
    };
    std::map<Mark, State> marks_;
    std::map<Incarnation, Incarnation> moved_;
    uint64_t digest_ = 0;
};

} // namespace cranberry
