#include "daemon/membership.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace cranberry {

namespace {

constexpr size_t ProbesPerRound = 2;
constexpr size_t RandomMembersPerGossip = 2;
constexpr size_t MaxUpdatesPerGossip = 12;
constexpr DurationMs MemberProbeTimeout{500};
constexpr DurationMs SuspicionTimeout{
    1500}; ///< Long enough for a suspicion and its refutation to cross the fleet.
constexpr DurationMs MemberRetention{600000};
constexpr uint32_t SendsPerUpdate
    = 24; ///< About twice log2 of 890 daemons; the factor of two covers lost messages.
constexpr uint64_t RoundsPerSeedProbe = 50;
constexpr uint64_t InitialSeedRounds
    = 10; ///< Prevents daemons that start together from forming groups that never meet.
constexpr uint64_t RoundsPerSuspectProbe = 5;

uint64_t hashOf(const Mark &mark)
{
    const uint64_t seed = mark.subject.value ^ (mark.successor.value * 3) ^ static_cast<uint64_t>(mark.kind);
    return XXH3_64bits_withSeed(mark.instance.value.data(), mark.instance.value.size(), seed);
}

// Returns `count` random elements, or all if there are fewer.
template <typename T>
std::vector<T *> pickRandom(std::vector<T *> from, size_t count, Random &random)
{
    std::vector<T *> out;
    while (out.size() < count && !from.empty()) {
        const size_t index = random.below(from.size());
        out.push_back(from[index]);
        from[index] = from.back();
        from.pop_back();
    }
    return out;
}

} // namespace

void Membership::recordContact(const MemberInfo &sender, TimeMs now, Counters &counters)
{
    if (sender.incarnation == self_.incarnation || !sender.incarnation)
        return;
    merge(sender, now, counters);
    Member &member = members_.at(sender.incarnation);
    if (member.suspectedAt.count != 0 && !isUp(member))
        counters.add(Counter::FalseSuspicion);
    member.probedAt = {};
    member.suspectedAt = {};
    recordRevision(sender.incarnation, sender.revision);
}

void Membership::recordRevision(Incarnation from, Revision revision)
{
    auto found = members_.find(from);
    if (found != members_.end())
        found->second.info.revision = std::max(found->second.info.revision, revision);
}

void Membership::merge(const MemberInfo &info, TimeMs now, Counters &counters)
{
    if (info.incarnation == self_.incarnation || !info.incarnation)
        return;
    auto found = members_.try_emplace(info.incarnation, Member{info, {}, {}, false, SendsPerUpdate, 0});
    Member &member = found.first->second;
    if (found.second || info.version <= member.info.version)
        return;
    if (member.suspectedAt.count != 0 && !isUp(member))
        counters.add(Counter::FalseSuspicion);
    const Revision revision = std::max(member.info.revision, info.revision);
    member.info = info;
    member.info.revision = revision;
    member.suspectedAt = {};
    member.updateSendsLeft = SendsPerUpdate;
    now_ = now;
}

// A daemon that is paused or partitioned for a moment would otherwise be given up by all peers. It learns of
// the suspicion from the next message that reaches it and raises its version, which overrides the suspicion
// in every merge.
void Membership::suspect(const Suspicion &suspicion, TimeMs now)
{
    if (suspicion.incarnation == self_.incarnation) {
        if (suspicion.version >= self_.version) {
            self_.version = suspicion.version + 1;
            selfSendsLeft_ = SendsPerUpdate;
        }
        return;
    }
    auto found = members_.find(suspicion.incarnation);
    if (found == members_.end() || suspicion.version < found->second.info.version)
        return;
    Member &member = found->second;
    if (member.suspectedAt.count != 0)
        return;
    member.suspectedAt = now;
    member.suspicionSendsLeft = SendsPerUpdate;
}

void Membership::markGone(Incarnation incarnation)
{
    auto found = members_.find(incarnation);
    if (found != members_.end())
        found->second.gone = true;
}

void Membership::tick(TimeMs now)
{
    now_ = now;
    for (std::pair<const Incarnation, Member> &entry : members_) {
        Member &member = entry.second;
        if (member.probedAt.count == 0 || now - member.probedAt < MemberProbeTimeout)
            continue;
        member.probedAt = {};
        suspect({entry.first, member.info.version}, now);
    }
    // Gone members are kept for a long time, so that updates still in circulation do not add them again.
    std::erase_if(members_, [now](const std::pair<const Incarnation, Member> &entry) {
        return entry.second.suspectedAt.count != 0 && now - entry.second.suspectedAt > MemberRetention;
    });
}

const Member *Membership::find(Incarnation incarnation) const
{
    auto found = members_.find(incarnation);
    return found == members_.end() ? nullptr : &found->second;
}

bool Membership::isUp(const Member &member) const
{
    const bool suspected = member.suspectedAt.count != 0 && now_ - member.suspectedAt > SuspicionTimeout;
    return !member.gone && !suspected;
}

bool Membership::isAlive(Incarnation incarnation) const
{
    if (incarnation == self_.incarnation)
        return true;
    const Member *member = find(incarnation);
    return member && isUp(*member);
}

std::vector<const Member *> Membership::alive() const
{
    std::vector<const Member *> out;
    out.reserve(members_.size());
    for (const std::pair<const Incarnation, Member> &entry : members_) {
        if (isUp(entry.second))
            out.push_back(&entry.second);
    }
    return out;
}

size_t Membership::aliveCount() const
{
    return alive().size();
}

std::vector<const Member *> Membership::randomAlive(size_t count, Random &random) const
{
    return pickRandom(alive(), count, random);
}

// Suspected members are probed too, at a lower rate: after a network partition both sides suspect each other,
// and only a probe reconnects them. A seed is probed in case this daemon knows no live member, or two groups
// of daemons do not know each other.
std::vector<std::pair<Incarnation, Address>> Membership::probeTargets(Random &random, TimeMs now)
{
    std::vector<std::pair<Incarnation, Address>> out;
    std::vector<Member *> live;
    std::vector<Member *> suspected;
    for (std::pair<const Incarnation, Member> &entry : members_) {
        if (isUp(entry.second))
            live.push_back(&entry.second);
        else if (!entry.second.gone)
            suspected.push_back(&entry.second);
    }
    for (Member *member : pickRandom(std::move(live), ProbesPerRound, random)) {
        if (member->probedAt.count == 0)
            member->probedAt = now;
        out.emplace_back(member->info.incarnation, member->info.peerAddress);
    }
    if (!suspected.empty() && round_ % RoundsPerSuspectProbe == 0) {
        const Member &member = *suspected[random.below(suspected.size())];
        out.emplace_back(member.info.incarnation, member.info.peerAddress);
    }
    const bool isNew = round_ < InitialSeedRounds;
    const bool needsSeed
        = out.empty() || isNew || round_ % RoundsPerSeedProbe == self_.incarnation.value % RoundsPerSeedProbe;
    if (needsSeed && !seeds_.empty()) {
        const Address &seed = seeds_[random.below(seeds_.size())];
        if (seed != self_.peerAddress)
            out.emplace_back(Incarnation{}, seed);
    }
    ++round_;
    return out;
}

std::vector<MemberInfo> Membership::update(Random &random)
{
    std::vector<MemberInfo> out;
    std::vector<const Member *> live;
    for (std::pair<const Incarnation, Member> &entry : members_) {
        Member &member = entry.second;
        if (!isUp(member))
            continue;
        live.push_back(&member);
        if (member.updateSendsLeft > 0 && out.size() < MaxUpdatesPerGossip) {
            --member.updateSendsLeft;
            out.push_back(member.info);
        }
    }
    for (size_t i = 0; i < std::min(RandomMembersPerGossip, live.size()); ++i)
        out.push_back(live[random.below(live.size())]->info);
    return out;
}

std::vector<MemberInfo> Membership::aliveInfos() const
{
    std::vector<MemberInfo> out;
    for (const Member *member : alive())
        out.push_back(member->info);
    return out;
}

std::vector<Suspicion> Membership::takeSuspicions()
{
    std::vector<Suspicion> out;
    for (std::pair<const Incarnation, Member> &entry : members_) {
        Member &member = entry.second;
        if (member.suspectedAt.count == 0 || member.suspicionSendsLeft == 0
            || out.size() == MaxUpdatesPerGossip)
            continue;
        --member.suspicionSendsLeft;
        out.push_back({entry.first, member.info.version});
    }
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

bool Membership::isAmongLowestOfDomain(size_t count) const
{
    size_t lower = 0;
    for (const Member *member : alive()) {
        if (member->info.failureDomain == self_.failureDomain && member->info.incarnation < self_.incarnation)
            ++lower;
    }
    return lower < count;
}

bool MarkTable::add(const Mark &mark, TimeMs noticeEndsAt)
{
    // The daemon that moved writes its DaemonMoved mark once, so a second one cannot be valid.
    if (mark.kind == MarkKind::DaemonMoved && !moved_.try_emplace(mark.subject, mark.successor).second)
        return false;
    if (!marks_.try_emplace(mark, State{SendsPerUpdate, noticeEndsAt}).second)
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

std::vector<MarkUpdate> MarkTable::takePending(size_t maxCount, TimeMs now)
{
    std::vector<MarkUpdate> out;
    for (std::pair<const Mark, State> &entry : marks_) {
        if (entry.second.sendsLeft == 0)
            continue;
        --entry.second.sendsLeft;
        out.push_back({entry.first, std::max(DurationMs{0}, entry.second.noticeEndsAt - now)});
        if (out.size() == maxCount)
            break;
    }
    return out;
}

std::vector<MarkUpdate> MarkTable::all(TimeMs now) const
{
    std::vector<MarkUpdate> out;
    for (const std::pair<const Mark, State> &entry : marks_)
        out.push_back({entry.first, std::max(DurationMs{0}, entry.second.noticeEndsAt - now)});
    return out;
}

} // namespace cranberry
