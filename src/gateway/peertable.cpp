#include "gateway/peertable.h"

#include <algorithm>

namespace cranberry {

namespace {

/// A peer that is silent for this long is not counted on: five reports in a row are missing.
constexpr DurationMs PeerSilence{1200};
/// Limits react sooner: what a silent peer uses is not seen, and both sides of a partition would use it all.
constexpr DurationMs PeerSilenceForLimits{650};
constexpr size_t MostWindowsKept = 12; ///< Windows of one peer; older ones are reported or past their time.
constexpr DurationMs PeerMemory{
    60000}; ///< Usage windows of a peer that is gone are still needed for a while.

} // namespace

void PeerTable::setMembers(std::vector<MemberEntry> members)
{
    members_ = std::move(members);
}

bool PeerTable::take(const PeerReport &report, Quotas &quotas, TimeMs now)
{
    std::erase_if(peers_, [now](const std::pair<const Incarnation, Peer> &entry) {
        return now - entry.second.heardAt > PeerMemory;
    });
    const bool isNew = !peers_.contains(report.incarnation);
    Peer &peer = peers_[report.incarnation];
    if (!isNew && report.sequence <= peer.report.sequence)
        return false;
    // What a daemon used while it was not heard came out of its own share of the limit, not out of ours.
    const bool wasHeard = !isNew && now - peer.heardAt < PeerSilenceForLimits;
    for (const OrganisationUse &use : report.uses) {
        double &before = peer.uses[use.organisation];
        if (wasHeard)
            quotas.usedElsewhere(use.organisation, use.units - before);
        else
            quotas.join(use.organisation, use.left / std::max<uint32_t>(report.heard, 1));
        before = use.units;
    }
    for (const WindowCount &count : report.windows) {
        uint64_t &most = peer.windows[count.window][count.organisation];
        most = std::max(most, count.count);
    }
    while (peer.windows.size() > MostWindowsKept)
        peer.windows.erase(peer.windows.begin());
    peer.report = report;
    peer.heardAt = now;
    peer.wallOffset = report.wallMs - now.count;
    return true;
}

const PeerTable::Peer *PeerTable::heard(const MemberEntry &member, TimeMs now, DurationMs within) const
{
    const auto found = peers_.find(member.incarnation);
    return found != peers_.end() && now - found->second.heardAt < within ? &found->second : nullptr;
}

size_t PeerTable::memberCount() const
{
    const bool listsSelf = std::any_of(members_.begin(), members_.end(), [this](const MemberEntry &member) {
        return member.instance == self_;
    });
    return members_.size() + (listsSelf ? 0 : 1);
}

uint32_t PeerTable::heardCount(TimeMs now) const
{
    uint32_t count = 1;
    for (const MemberEntry &member : members_)
        count += member.instance != self_ && heard(member, now, PeerSilenceForLimits) ? 1 : 0;
    return count;
}

QuotaScope PeerTable::quotaScope(TimeMs now) const
{
    const double daemons = static_cast<double>(memberCount());
    return {static_cast<double>(heardCount(now)) / daemons, 1 / daemons};
}

std::map<EndpointId, EndpointLoad> PeerTable::loadSums(TimeMs now) const
{
    std::map<EndpointId, EndpointLoad> sums;
    for (const std::pair<const Incarnation, Peer> &entry : peers_) {
        if (now - entry.second.heardAt >= PeerSilence)
            continue;
        for (const EndpointLoad &load : entry.second.report.loads) {
            EndpointLoad &sum = sums[load.id];
            sum.id = load.id;
            sum.running += load.running;
            sum.prefillTokens += load.prefillTokens;
        }
    }
    return sums;
}

std::vector<ServiceDemand> PeerTable::demandSums(TimeMs now) const
{
    std::map<ServiceName, ServiceDemand> sums;
    for (const std::pair<const Incarnation, Peer> &entry : peers_) {
        if (now - entry.second.heardAt >= PeerSilence)
            continue;
        for (const ServiceDemand &demand : entry.second.report.demands) {
            ServiceDemand &sum = sums[demand.service];
            sum.service = demand.service;
            sum.prefillTokensPerSecond += demand.prefillTokensPerSecond;
            sum.running += demand.running;
        }
    }
    std::vector<ServiceDemand> out;
    out.reserve(sums.size());
    for (const std::pair<const ServiceName, ServiceDemand> &entry : sums)
        out.push_back(entry.second);
    return out;
}

std::vector<Address> PeerTable::readyAddresses(TimeMs now) const
{
    std::vector<Address> out;
    for (const MemberEntry &member : members_) {
        if (member.instance == self_)
            continue;
        const Peer *peer = heard(member, now, PeerSilence);
        if (peer && peer->report.ready && !peer->report.leaving)
            out.push_back(member.callerAddress);
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
        if (now - entry.second.heardAt < PeerSilence)
            offsets.push_back(entry.second.wallOffset);
    }
    const auto middle = offsets.begin() + static_cast<int64_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return *middle;
}

} // namespace cranberry
