#include "membership.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace cranberry {

namespace {

constexpr size_t GossipFanout = 3;
constexpr size_t GossipSample = 12;
constexpr DurationMs SuspectAfter{2500};
constexpr DurationMs ForgetAfter{60000};
constexpr uint32_t MarkSendings = 24; ///< About fanout times log2 of 890 daemons, doubled for losses.

uint64_t hashOf(const Mark &mark)
{
    const uint64_t seed = mark.subject.value ^ (mark.successor.value * 3) ^ static_cast<uint64_t>(mark.kind);
    return XXH3_64bits_withSeed(mark.instance.value.data(), mark.instance.value.size(), seed);
}

} // namespace

void Membership::merge(const std::vector<MemberInfo> &members, TimeMs now, Counters &counters)
{
    for (const MemberInfo &info : members) {
        if (info.incarnation == self_.incarnation || !info.incarnation)
            continue;
        auto found = members_.try_emplace(info.incarnation, Member{info, now, false, false});
        Member &member = found.first->second;
        if (found.second || info.heartbeat <= member.info.heartbeat)
            continue;
        if (member.suspected)
            counters.add(Counter::FalseSuspicion);
        member.info = info;
        member.lastAdvance = now;
        member.suspected = false;
    }
}

void Membership::markGone(Incarnation incarnation)
{
    auto found = members_.find(incarnation);
    if (found != members_.end())
        found->second.gone = true;
}

void Membership::tick(TimeMs now)
{
    ++self_.heartbeat;
    for (std::pair<const Incarnation, Member> &entry : members_)
        entry.second.suspected = now - entry.second.lastAdvance > SuspectAfter;
    std::erase_if(members_, [now](const std::pair<const Incarnation, Member> &entry) {
        return now - entry.second.lastAdvance > ForgetAfter;
    });
}

const Member *Membership::find(Incarnation incarnation) const
{
    auto found = members_.find(incarnation);
    return found == members_.end() ? nullptr : &found->second;
}

bool Membership::isAlive(Incarnation incarnation) const
{
    if (incarnation == self_.incarnation)
        return true;
    const Member *member = find(incarnation);
    return member && !member->gone && !member->suspected;
}

std::vector<const Member *> Membership::alive() const
{
    std::vector<const Member *> out;
    for (const std::pair<const Incarnation, Member> &entry : members_) {
        if (!entry.second.gone && !entry.second.suspected)
            out.push_back(&entry.second);
    }
    return out;
}

size_t Membership::aliveCount() const
{
    return alive().size();
}

// Besides live members, one seed is tried each round: after a cut both sides have forgotten each other, and
// only an address from the settings can bring them together again.
std::vector<std::pair<Incarnation, Address>> Membership::targets(Random &random) const
{
    std::vector<std::pair<Incarnation, Address>> out;
    std::vector<const Member *> live = alive();
    for (size_t i = 0; i < GossipFanout && !live.empty(); ++i) {
        const size_t pick = random.below(live.size());
        out.emplace_back(live[pick]->info.incarnation, live[pick]->info.peerAddress);
        live.erase(live.begin() + static_cast<int64_t>(pick));
    }
    if (!seeds_.empty()) {
        const Address &seed = seeds_[random.below(seeds_.size())];
        if (seed != self_.peerAddress)
            out.emplace_back(Incarnation{}, seed);
    }
    return out;
}

std::vector<MemberInfo> Membership::sample(Random &random) const
{
    std::vector<MemberInfo> out = {self_};
    const std::vector<const Member *> live = alive();
    const size_t start = random.below(live.size());
    for (size_t i = 0; i < std::min(live.size(), GossipSample); ++i)
        out.push_back(live[(start + i) % live.size()]->info);
    return out;
}

size_t Membership::domainsWithRevision(Revision revision) const
{
    std::set<FailureDomainName> domains;
    for (const Member *member : alive()) {
        if (member->info.revision >= revision && member->info.failureDomain != self_.failureDomain)
            domains.insert(member->info.failureDomain);
    }
    return domains.size();
}

size_t Membership::otherDomains() const
{
    return domainsWithRevision({0});
}

bool MarkTable::add(const Mark &mark)
{
    // A "moved" mark is written once by the daemon that moved; a second one for it would be forged.
    if (mark.kind == MarkKind::DaemonMoved && !moved_.try_emplace(mark.subject, mark.successor).second)
        return false;
    if (!marks_.try_emplace(mark, MarkSendings).second)
        return false;
    digest_ ^= hashOf(mark);
    return true;
}

bool MarkTable::isLeaving(const InstanceName &instance) const
{
    return marks_.contains({MarkKind::EndpointLeaving, instance, {}, {}});
}

bool MarkTable::isLeaving(Incarnation daemon) const
{
    return marks_.contains({MarkKind::DaemonLeaving, {}, daemon, {}});
}

Incarnation MarkTable::resolve(Incarnation incarnation) const
{
    for (size_t hop = 0; hop <= moved_.size(); ++hop) {
        auto found = moved_.find(incarnation);
        if (found == moved_.end())
            return incarnation;
        incarnation = found->second;
    }
    return incarnation;
}

std::vector<Mark> MarkTable::takeHot(size_t most)
{
    std::vector<Mark> out;
    for (std::pair<const Mark, uint32_t> &entry : marks_) {
        if (entry.second == 0)
            continue;
        --entry.second;
        out.push_back(entry.first);
        if (out.size() == most)
            break;
    }
    return out;
}

std::vector<Mark> MarkTable::all() const
{
    std::vector<Mark> out;
    for (const std::pair<const Mark, uint32_t> &entry : marks_)
        out.push_back(entry.first);
    return out;
}

} // namespace cranberry
