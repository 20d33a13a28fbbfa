#include "gateway/peertable.h"

#include <algorithm>
#include <functional>
#include <set>
#include <xxhash.h>

namespace cranberry {

namespace {

/// Reports go to all daemons: their pace stretches with the number of daemons, so that a daemon sends and
/// reads about eighty a second at most.
constexpr DurationMs ShortestReportPace{200};
constexpr DurationMs ReportPacePerDaemon{12};
/// A peer that is silent for so many reports is not counted on.
constexpr int64_t SilentReports = 6;
/// Daemons that read the store for all; each of the others asks one of them.
constexpr size_t Readers = 3;
/// Keepers change with the daemons that are ready; a change may be seen so much later.
constexpr DurationMs KeepersPace{200};
constexpr size_t MostWindowsKept = 12; ///< Windows of one peer; older ones are reported or past their time.
constexpr DurationMs PeerMemory{
    60000}; ///< Usage windows of a peer that is gone are still needed for a while.

} // namespace

DurationMs PeerTable::reportPace() const
{
    return std::max(ShortestReportPace, ReportPacePerDaemon * static_cast<int64_t>(memberCount()));
}

// Half a pace more: reports wait for a tick, and take their way.
DurationMs PeerTable::silence() const
{
    return reportPace() * SilentReports + reportPace() / 2;
}

// The first few of those that are heard and can read, in an order that all share: strong instances first,
// since each change goes from the readers to all. Views may differ for a moment: then there is a reader more
// or less. The others spread over them by their own names.
std::optional<Address> PeerTable::readerToAsk(bool canRead, TimeMs now) const
{
    std::vector<const MemberEntry *> readers;
    for (const MemberEntry *member : readerOrder_) {
        if (readers.size() == Readers)
            break;
        const bool isSelf = member == selfEntry_;
        if (isSelf ? canRead : serves(*member, now) && heard(*member, now, silence())->report.readsStore)
            readers.push_back(member);
    }
    if (readers.empty() || std::find(readers.begin(), readers.end(), selfEntry_) != readers.end())
        return std::nullopt;
    return readers[std::hash<std::string>()(self_.value) % readers.size()]->peerAddress;
}

void PeerTable::setMembers(std::vector<MemberEntry> members)
{
    members_ = std::move(members);
    ranked_.clear();
    keeperOrders_.clear();
    readerOrder_.clear();
    selfEntry_ = nullptr;
    for (const MemberEntry &member : members_) {
        readerOrder_.push_back(&member);
        if (member.instance == self_)
            selfEntry_ = &member;
    }
    memberCount_ = members_.size() + (selfEntry_ ? 0 : 1);
    std::sort(readerOrder_.begin(), readerOrder_.end(), [](const MemberEntry *a, const MemberEntry *b) {
        return a->cores != b->cores ? a->cores > b->cores : a->incarnation < b->incarnation;
    });
}

std::vector<Address> PeerTable::unknownAmong(const std::vector<MemberEntry> &members) const
{
    std::set<Incarnation> known;
    for (const MemberEntry &member : members_)
        known.insert(member.incarnation);
    std::vector<Address> out;
    for (const MemberEntry &member : members) {
        if (member.instance != self_ && !known.contains(member.incarnation))
            out.push_back(member.peerAddress);
    }
    return out;
}

bool PeerTable::heardAll(TimeMs now) const
{
    return std::all_of(members_.begin(), members_.end(), [&](const MemberEntry &member) {
        return &member == selfEntry_ || heard(member, now, silence());
    });
}

bool PeerTable::take(const PeerReport &report, TimeMs now)
{
    std::erase_if(peers_, [now](const std::pair<const Incarnation, Peer> &entry) {
        return now - entry.second.heardAt > PeerMemory && !entry.second.counted;
    });
    const bool isNew = !peers_.contains(report.incarnation);
    Peer &peer = peers_[report.incarnation];
    if (!isNew && report.sequence <= peer.report.sequence)
        return false;
    for (const WindowCount &each : report.windows) {
        uint64_t &most = peer.windows[each.window][each.organisation];
        most = std::max(most, each.count);
    }
    while (peer.windows.size() > MostWindowsKept)
        peer.windows.erase(peer.windows.begin());
    if (peer.counted)
        count(peer, false);
    peer.report = report;
    count(peer, true);
    peer.heardAt = now;
    peer.wallOffset = report.wallMs - now.count;
    return true;
}

const PeerTable::Peer *PeerTable::heard(const MemberEntry &member, TimeMs now, DurationMs within) const
{
    const auto found = peers_.find(member.incarnation);
    return found != peers_.end() && now - found->second.heardAt < within ? &found->second : nullptr;
}

bool PeerTable::serves(const MemberEntry &member, TimeMs now) const
{
    const Peer *peer = heard(member, now, silence());
    return peer && peer->report.ready && !peer->report.leaving;
}

const std::vector<const MemberEntry *> &PeerTable::keeperOrder(const OrganisationName &organisation) const
{
    std::vector<const MemberEntry *> &order = keeperOrders_[organisation];
    if (order.size() == members_.size())
        return order;
    std::vector<std::pair<uint64_t, const MemberEntry *>> ranked;
    for (const MemberEntry &member : members_) {
        const std::string &name = organisation.value;
        ranked.emplace_back(XXH3_64bits_withSeed(name.data(), name.size(), member.incarnation.value),
                            &member);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    order.clear();
    for (const std::pair<uint64_t, const MemberEntry *> &each : ranked)
        order.push_back(each.second);
    return order;
}

std::vector<const MemberEntry *> PeerTable::keepers(const OrganisationName &organisation, TimeMs now) const
{
    RankedKeepers &known = ranked_[organisation];
    if (known.rankedAt.count != 0 && now - known.rankedAt < KeepersPace)
        return known.keepers;
    known.rankedAt = now;
    known.keepers.clear();
    const auto isThere
        = [&](const MemberEntry &member) { return &member == selfEntry_ || serves(member, now); };
    // In a part that hears less than half of the daemons nobody gathers: each part would have keepers of its
    // own, and together they could save more than the burst.
    const auto there = std::count_if(members_.begin(), members_.end(), isThere);
    if (static_cast<size_t>(there) * 2 <= members_.size())
        return {};
    for (const MemberEntry *member : keeperOrder(organisation)) {
        if (known.keepers.size() == Keepers)
            break;
        if (isThere(*member))
            known.keepers.push_back(member);
    }
    return known.keepers;
}

std::vector<PeerTable::Spare> PeerTable::spares(const OrganisationName &organisation, TimeMs now) const
{
    std::vector<Spare> out;
    for (const MemberEntry &member : members_) {
        const Peer *peer = &member == selfEntry_ ? nullptr : heard(member, now, silence());
        if (!peer)
            continue;
        for (const OrganisationBalance &balance : peer->report.balances) {
            if (balance.organisation == organisation && balance.spare > 0)
                out.push_back({member.peerAddress, balance.spare});
        }
    }
    std::sort(out.begin(), out.end(), [](const Spare &a, const Spare &b) { return a.units > b.units; });
    return out;
}

// The sums are kept up to date by what changes: with many daemons there are reports in every tick.
void PeerTable::count(Peer &peer, bool add)
{
    peer.counted = add;
    for (const EndpointLoad &load : peer.report.loads) {
        EndpointLoad &sum = loadSums_[load.life];
        sum.life = load.life;
        sum.running = add ? sum.running + load.running : sum.running - load.running;
        sum.prefillTokens
            = add ? sum.prefillTokens + load.prefillTokens : sum.prefillTokens - load.prefillTokens;
        if (sum.running == 0 && sum.prefillTokens == 0)
            loadSums_.erase(load.life);
    }
}

const std::map<EndpointLife, EndpointLoad> &PeerTable::loadSums(TimeMs now)
{
    for (std::pair<const Incarnation, Peer> &entry : peers_) {
        if (entry.second.counted && now - entry.second.heardAt >= silence())
            count(entry.second, false);
    }
    return loadSums_;
}

std::map<ServiceName, ServiceDemand> PeerTable::demandSums(TimeMs now) const
{
    std::map<ServiceName, ServiceDemand> sums;
    for (const std::pair<const Incarnation, Peer> &entry : peers_) {
        if (now - entry.second.heardAt >= silence())
            continue;
        for (const ServiceDemand &demand : entry.second.report.demands)
            sums[demand.service].add(demand);
    }
    return sums;
}

double PeerTable::coresUsed(TimeMs now) const
{
    double sum = 0;
    for (const std::pair<const Incarnation, Peer> &entry : peers_) {
        if (now - entry.second.heardAt < silence())
            sum += entry.second.report.coresUsed;
    }
    return sum;
}

std::vector<const MemberEntry *> PeerTable::busyMembers(TimeMs now) const
{
    std::vector<const MemberEntry *> out;
    for (const MemberEntry &member : members_) {
        const Peer *peer = &member == selfEntry_ ? nullptr : heard(member, now, silence());
        if (peer && !peer->report.loads.empty())
            out.push_back(&member);
    }
    return out;
}

std::vector<EntryCandidate> PeerTable::entryCandidates(TimeMs now) const
{
    std::vector<EntryCandidate> out;
    for (const MemberEntry &member : members_) {
        if (&member != selfEntry_ && serves(member, now))
            out.push_back({member.callerAddress, member.cores});
    }
    return out;
}

std::map<OrganisationName, uint64_t> PeerTable::windowSums(int64_t window) const
{
    std::map<OrganisationName, uint64_t> sums;
    for (const std::pair<const Incarnation, Peer> &entry : peers_) {
        const auto found = entry.second.windows.find(window);
        if (found == entry.second.windows.end())
            continue;
        for (const std::pair<const OrganisationName, uint64_t> &count : found->second)
            sums[count.first] += count.second;
    }
    return sums;
}

int64_t PeerTable::medianWallOffset(int64_t ownOffset, TimeMs now) const
{
    std::vector<int64_t> offsets{ownOffset};
    for (const std::pair<const Incarnation, Peer> &entry : peers_) {
        if (now - entry.second.heardAt < silence())
            offsets.push_back(entry.second.wallOffset);
    }
    const auto middle = offsets.begin() + static_cast<int64_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return *middle;
}

} // namespace cranberry
