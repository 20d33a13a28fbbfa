#pragma once

#include "common/random.h"
#include "daemon/counters.h"
#include "daemon/messages.h"

#include <map>

namespace cranberry {

struct Member {
    MemberInfo info;
    TimeMs probedAt; ///< Oldest probe without an answer; 0: none is open.
    TimeMs suspectedAt; ///< 0: not suspected.
    bool gone = false; ///< Its address answers as another life.
    uint32_t newsSendings = 0; ///< How often this entry is still to be passed on.
    uint32_t suspicionSendings = 0;
};

/// The daemons as this one knows them. Decides only whom to prefer, never whether work is safe.
///
/// Failure detection by probes and refutable suspicions, as in SWIM: what a daemon sends does not grow with
/// the number of daemons, and only changes are passed on. Spreading every daemon's heartbeat instead was
/// measured: from 128 daemons on, heartbeats came later than the suspicion (docs/design/membership.md).
class Membership
{
public:
    Membership(MemberInfo self, std::vector<Address> seeds) : self_(std::move(self)), seeds_(std::move(seeds))
    { }

    const MemberInfo &self() const { return self_; }
    void setRevision(Revision revision) { self_.revision = revision; }

    /// The sender of a message: certainly alive, and exact about its own revision.
    void heardFrom(const MemberInfo &sender, TimeMs now, Counters &counters);
    void heardRevision(Incarnation from, Revision revision);
    /// What somebody else says.
    void merge(const MemberInfo &info, TimeMs now, Counters &counters);
    void suspect(const Suspicion &suspicion, TimeMs now);
    void markGone(Incarnation incarnation);
    void tick(TimeMs now);

    const Member *find(Incarnation incarnation) const;
    bool isAlive(Incarnation incarnation) const; ///< Known, not gone, and not suspected for long.
    /// Alive members without this daemon, in order of incarnation.
    std::vector<const Member *> alive() const;
    size_t aliveCount() const;
    std::vector<const Member *> someAlive(size_t count, Random &random) const;

    /// Whom to probe in this round: random live members, now and then a suspected one or a seed.
    std::vector<std::pair<Incarnation, Address>> targets(Random &random, TimeMs now);
    /// Changes to pass on, and a few members at random, which repairs what was missed.
    std::vector<MemberInfo> news(Random &random);
    std::vector<MemberInfo> everyone() const;
    std::vector<Suspicion> suspicions();

    /// How many failure domains besides this one are known to hold `revision` or a later one.
    size_t domainsWithRevision(Revision revision) const;
    size_t otherDomains() const;
    /// True if this daemon is one of the `count` lowest of its failure domain.
    bool isAmongLowestOfDomain(size_t count) const;

private:
    bool isUp(const Member &member) const;

    MemberInfo self_;
    std::vector<Address> seeds_;
    std::map<Incarnation, Member> members_;
    TimeMs now_;
    uint64_t round_ = 0;
    uint32_t selfSendings_ = 0;
};

/// Grow-only marks with how often each is still to be passed on.
class MarkTable
{
public:
    bool add(const Mark &mark, TimeMs noticeEndsAt); ///< True if it was new.
    bool isLeaving(const InstanceName &instance) const;
    bool isLeaving(Incarnation daemon) const;
    /// Follows "moved" marks to the daemon that answers for `incarnation` now.
    Incarnation resolve(Incarnation incarnation) const;

    std::vector<MarkNews> takeHot(size_t most, TimeMs now);
    std::vector<MarkNews> all(TimeMs now) const;
    uint64_t digest() const { return digest_; }
    size_t size() const { return marks_.size(); }

private:
    struct State {
        uint32_t sendings = 0;
        TimeMs noticeEndsAt;
    };
    std::map<Mark, State> marks_;
    std::map<Incarnation, Incarnation> moved_;
    uint64_t digest_ = 0;
};

} // namespace cranberry
