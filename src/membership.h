#pragma once

#include "counters.h"
#include "messages.h"
#include "random.h"

#include <map>

namespace cranberry {

struct Member {
    MemberInfo info;
    TimeMs lastAdvance; ///< When its heartbeat last grew here.
    bool gone = false; ///< It told so itself, or its address answers as another life.
    bool suspected = false;
};

/// The daemons as this one knows them. Decides only whom to prefer, never whether work is safe.
class Membership
{
public:
    Membership(MemberInfo self, std::vector<Address> seeds) : self_(std::move(self)), seeds_(std::move(seeds))
    { }

    const MemberInfo &self() const { return self_; }
    void setRevision(Revision revision) { self_.revision = revision; }

    /// Folds in what a peer knows. Counts members heard again after having been suspected.
    void merge(const std::vector<MemberInfo> &members, TimeMs now, Counters &counters);
    void markGone(Incarnation incarnation);
    void tick(TimeMs now);

    const Member *find(Incarnation incarnation) const;
    bool isAlive(Incarnation incarnation) const; ///< Known, not gone, not suspected.
    /// Alive members without this daemon, in order of incarnation.
    std::vector<const Member *> alive() const;
    size_t aliveCount() const;

    /// The addresses this round's gossip goes to: random live members, and a seed now and then.
    std::vector<std::pair<Incarnation, Address>> targets(Random &random) const;
    /// This daemon and a random sample of others.
    std::vector<MemberInfo> sample(Random &random) const;

    /// How many failure domains besides this one hold `revision` or a later one.
    size_t domainsWithRevision(Revision revision) const;
    size_t otherDomains() const;

private:
    MemberInfo self_;
    std::vector<Address> seeds_;
    std::map<Incarnation, Member> members_;
};

/// Grow-only marks with how often each is still to be passed on.
class MarkTable
{
public:
    bool add(const Mark &mark); ///< True if it was new.
    bool isLeaving(const InstanceName &instance) const;
    bool isLeaving(Incarnation daemon) const;
    /// Follows "moved" marks to the daemon that answers for `incarnation` now.
    Incarnation resolve(Incarnation incarnation) const;

    std::vector<Mark> takeHot(size_t most);
    std::vector<Mark> all() const;
    uint64_t digest() const { return digest_; }
    size_t size() const { return marks_.size(); }

private:
    std::map<Mark, uint32_t> marks_; ///< Mark -> sendings left.
    std::map<Incarnation, Incarnation> moved_;
    uint64_t digest_ = 0;
};

} // namespace cranberry
