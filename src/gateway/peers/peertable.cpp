#include "gateway/peers/peertable.h"

#include "gateway/peers/relaychoice.h"

#include "gateway/peers/memberentry.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <xxhash.h>

namespace cranberry {

namespace {

/// Each serving daemon sends reports to every other one. The interval grows with their number, so that a
/// daemon sends and receives about eighty reports a second at most.
constexpr DurationMs MinReportInterval{200};
constexpr DurationMs ReportIntervalPerDaemon{12};
/// Full reports are several times as long, and only the leader needs them. Two must arrive in time for a
/// window's usage, which is due some seconds after the window's end.
constexpr DurationMs FullReportIntervalPerDaemon{60};
constexpr DurationMs MaxFullReportInterval{1000};
/// A peer counts as absent after this many missed reports.
constexpr int64_t MaxMissedReports = 6;
/// Store readers; each of the other daemons queries one of them. Their number grows with that of the daemons,
/// so that one reader replies to some three hundred queries a second at most.
constexpr size_t MinReaders = 3;
constexpr size_t MembersPerReader = 150;
constexpr size_t MaxFallbackRelays = 6;
/// The quota pool changes with the daemons that are ready; a change may be noticed this much later.
constexpr DurationMs QuotaPoolRefreshInterval{200};
/// Trial counts of a peer that is gone are still needed for a while.
constexpr DurationMs PeerRetention{60000};
/// A decrease of the number of serving daemons takes effect only after this time. When the store fails, all
/// entries lapse at once and are back about a second after its recovery; if the daemons were taken for gone,
/// each remaining one would take the full limit.
constexpr DurationMs ServingCountHoldTime{3000};

bool takesRequests(const PeerReport &report)
{
    return report.ready && !report.leaving;
}

} // namespace

// ---- Serving daemons ----

DurationMs PeerTable::reportInterval() const
{
    return std::max(MinReportInterval, ReportIntervalPerDaemon * static_cast<int64_t>(targets_.size() + 1));
}

DurationMs PeerTable::fullReportInterval() const
{
    const DurationMs wanted = FullReportIntervalPerDaemon * static_cast<int64_t>(targets_.size() + 1);
    return std::max(reportInterval(), std::min(wanted, MaxFullReportInterval));
}

// Half an interval more, since reports wait for a tick and take time on the network.
DurationMs PeerTable::silenceTimeout() const
{
    return reportInterval() * MaxMissedReports + reportInterval() / 2;
}

void PeerTable::setMembers(std::vector<MemberEntry> members, TimeMs now, size_t listed)
{
    std::set<Incarnation> before;
    for (const MemberEntry *target : targets_)
        before.insert(target->incarnation);
    members_ = std::move(members);
    listed_ = std::max(listed, members_.size());
    firstListAt_ = firstListAt_.value_or(now);
    quotaPools_.clear();
    quotaPoolOrders_.clear();
    order_.clear();
    selfEntry_ = nullptr;
    for (const MemberEntry &member : members_) {
        order_.push_back(&member);
        if (member.instance == self_)
            selfEntry_ = &member;
    }
    std::sort(order_.begin(), order_.end(), [](const MemberEntry *a, const MemberEntry *b) {
        if (a->serving != b->serving)
            return a->serving;
        return ranksBefore(*a, *b);
    });
    anyServes_ = !order_.empty() && order_.front()->serving;
    serving_ = order_;
    if (anyServes_)
        std::erase_if(serving_, [](const MemberEntry *member) { return !member->serving; });
    isServing_ = !anyServes_ || (selfEntry_ && selfEntry_->serving);
    const size_t count = currentServingCount();
    const bool isTransient = !anyServes_ && now < resumesCountUntil_;
    if (!isTransient && (count >= maxServingCount_ || now >= maxServingCountUntil_)) {
        maxServingCount_ = count;
        maxServingCountUntil_ = now + ServingCountHoldTime;
    }
    updateTargets();
    newTargets_ = targets_;
    std::erase_if(newTargets_,
                  [&before](const MemberEntry *target) { return before.contains(target->incarnation); });
}

void PeerTable::setLeader(const InstanceName &leader)
{
    if (leader == leader_)
        return;
    leader_ = leader;
    updateTargets();
}

const MemberEntry *PeerTable::otherLeader() const
{
    const auto found = std::find_if(targets_.begin(), targets_.end(), [this](const MemberEntry *member) {
        return member->instance == leader_;
    });
    return found == targets_.end() ? nullptr : *found;
}

bool PeerTable::actsForLeader(TimeMs now) const
{
    if (leader_ == self_)
        return true;
    const MemberEntry *leader = otherLeader();
    // Sooner than other absences are noticed: a second one that acts does no harm.
    const Peer *heard = leader ? heardPeer(*leader, now) : nullptr;
    const DurationMs noticedAfter = reportInterval() * 2 + reportInterval() / 2;
    const bool isHeard = heard && now - heard->heardAt < noticedAfter;
    if (!selfEntry_ || !isTarget_ || isHeard || now < firstListAt_.value_or(now) + noticedAfter)
        return false;
    const auto first = std::find_if(order_.begin(), order_.end(), [&](const MemberEntry *member) {
        return isSelf(*member) || heardPeer(*member, now);
    });
    return *first == selfEntry_;
}

// While none serves, after a start, the daemons that rank first get the reports: callers are sent to them.
void PeerTable::updateTargets()
{
    const size_t targetCount = anyServes_ ? serving_.size() : std::min(order_.size(), MinEntries);
    targets_.assign(order_.begin(), order_.begin() + static_cast<std::ptrdiff_t>(targetCount));
    const auto leader
        = std::find_if(order_.begin() + static_cast<std::ptrdiff_t>(targetCount), order_.end(),
                       [this](const MemberEntry *member) { return member->instance == leader_; });
    if (leader != order_.end())
        targets_.push_back(*leader);
    // A daemon that is not listed yet, or is on standby and thus omitted from the members that its peers
    // send, receives no reports.
    const bool isAmong = selfEntry_ && std::erase(targets_, selfEntry_) > 0;
    isTarget_ = isAmong || members_.empty();
}

size_t PeerTable::currentServingCount() const
{
    if (!anyServes_)
        return std::max<size_t>(listed_ + (selfEntry_ || listed_ > members_.size() ? 0 : 1), 1);
    return serving_.size() + (isServing_ && !selfEntry_ ? 1 : 0);
}

size_t PeerTable::servingCount(TimeMs now) const
{
    const size_t count = currentServingCount();
    return now < maxServingCountUntil_ ? std::max(count, maxServingCount_) : count;
}

void PeerTable::resumeServingCount(size_t sharers, TimeMs now)
{
    maxServingCount_ = anyServes_ ? std::max(sharers, currentServingCount()) : sharers;
    maxServingCountUntil_ = now + ServingCountHoldTime;
    resumesCountUntil_ = maxServingCountUntil_;
}

// ---- Presence of daemons ----

size_t PeerTable::readerCount() const
{
    return std::max(listed_ / MembersPerReader, MinReaders);
}

// A daemon that receives reports counts only the peers that it hears. Otherwise peers count unless they are
// known not to reply to queries.
bool PeerTable::mayRead(const MemberEntry &member, TimeMs now) const
{
    if (const Peer *peer = heardPeer(member, now))
        return takesRequests(peer->report) && peer->report.readsStore;
    return !isTarget_;
}

// Selects the first few that can read, in an order that is the same on all daemons: serving daemons first,
// then strong instances, since each change spreads from the readers to all. Views may differ for a moment;
// then there is one reader too many or too few.
PeerTable::MemberPtrs PeerTable::readers(bool canRead, const std::set<Address> &silent, TimeMs now) const
{
    MemberPtrs out;
    const size_t wanted = readerCount();
    for (const MemberEntry *member : order_) {
        if (out.size() == wanted)
            break;
        const bool counts
            = isSelf(*member) ? canRead : !silent.contains(member->peerAddress) && mayRead(*member, now);
        if (counts)
            out.push_back(member);
    }
    return out;
}

bool PeerTable::reportedNoReads(const MemberEntry &member, TimeMs now) const
{
    const Peer *peer = heardPeer(member, now);
    return peer && (peer->report.leaving || !peer->report.readsStore);
}

std::vector<Address> PeerTable::readersToName(const std::vector<Address> &named, TimeMs now) const
{
    const size_t wanted = readerCount();
    if (order_.empty())
        return named;
    // A daemon that named itself may be a weak one.
    const double minCores = order_[std::min(wanted, order_.size()) - 1]->cores;
    std::vector<Address> kept;
    std::vector<Address> others;
    for (const MemberEntry *member : order_) {
        if (reportedNoReads(*member, now) || member->cores < minCores)
            continue;
        const bool isNamed = std::find(named.begin(), named.end(), member->peerAddress) != named.end();
        (isNamed ? kept : others).push_back(member->peerAddress);
    }
    const bool isSizeFit = kept.size() * 2 >= wanted && kept.size() <= wanted * 2;
    if (isSizeFit && kept.size() == named.size())
        return named;
    kept.insert(kept.end(), others.begin(), others.end());
    kept.resize(std::min(kept.size(), wanted));
    return kept;
}

bool PeerTable::isStoreReader(const std::set<Address> &silent, TimeMs now) const
{
    const MemberPtrs all = readers(true, silent, now);
    return std::find(all.begin(), all.end(), selfEntry_) != all.end();
}

// The other daemons are distributed over the readers by a hash of their own names.
std::optional<Address> PeerTable::readerToQuery(bool canRead, const std::set<Address> &silent,
                                                TimeMs now) const
{
    const MemberPtrs all = readers(canRead, silent, now);
    if (all.empty() || std::find(all.begin(), all.end(), selfEntry_) != all.end())
        return std::nullopt;
    return all[std::hash<std::string>()(self_.value) % all.size()]->peerAddress;
}

const PeerTable::Peer *PeerTable::heardPeer(const MemberEntry &member, TimeMs now) const
{
    const auto found = peers_.find(member.incarnation);
    return found != peers_.end() && now - found->second.heardAt < silenceTimeout() ? &found->second : nullptr;
}

bool PeerTable::isHeardReady(const MemberEntry &member, TimeMs now) const
{
    const Peer *peer = heardPeer(member, now);
    return peer && takesRequests(peer->report);
}

bool PeerTable::reportedLeaving(const MemberEntry &member, TimeMs now) const
{
    const Peer *peer = heardPeer(member, now);
    return peer && !takesRequests(peer->report);
}

bool PeerTable::isPresent(const MemberEntry &member, TimeMs now) const
{
    return isSelf(member) || isHeardReady(member, now) || (!isTarget_ && !reportedLeaving(member, now));
}

std::vector<const MemberEntry *> PeerTable::presentServing(TimeMs now) const
{
    MemberPtrs out;
    std::copy_if(serving_.begin(), serving_.end(), std::back_inserter(out),
                 [&](const MemberEntry *member) { return isPresent(*member, now); });
    return out.size() * 2 <= serving_.size() ? MemberPtrs() : out;
}

size_t PeerTable::heardServingCount(TimeMs now) const
{
    return static_cast<size_t>(
        std::count_if(serving_.begin(), serving_.end(), [&](const MemberEntry *member) {
            return isSelf(*member) || heardPeer(*member, now) != nullptr;
        }));
}

bool PeerTable::hearsAll(TimeMs now) const
{
    return !isTarget_ || heardServingCount(now) == serving_.size();
}

bool PeerTable::hearsMost(TimeMs now) const
{
    return isTarget_ && heardServingCount(now) * 2 > serving_.size();
}

std::vector<DaemonIdentity> PeerTable::heardDaemons(TimeMs now) const
{
    std::vector<DaemonIdentity> out;
    for (const std::pair<const Incarnation, Peer> &entry : peers_) {
        if (now - entry.second.heardAt < silenceTimeout())
            out.push_back({entry.second.report.instance, entry.first});
    }
    return out;
}

std::vector<PeerTable::ServingReport> PeerTable::servingReports(TimeMs now) const
{
    std::vector<ServingReport> out;
    for (const MemberEntry *member : serving_) {
        const Peer *peer = isSelf(*member) ? nullptr : heardPeer(*member, now);
        if (peer)
            out.push_back({member, &peer->report});
    }
    return out;
}

bool PeerTable::mayRelay(const MemberEntry &member, const ServiceName &service, TimeMs now) const
{
    if (isSelf(member))
        return false;
    const Peer *peer = heardPeer(member, now);
    return !peer
        || (!peer->report.leaving
            && std::count(peer->report.unreached.begin(), peer->report.unreached.end(), service) == 0);
}

std::vector<const MemberEntry *> PeerTable::servingRelays(const ServiceName &service, TimeMs now) const
{
    MemberPtrs out;
    for (const MemberEntry *member : serving_) {
        if (mayRelay(*member, service, now) && (!isTarget_ || heardPeer(*member, now)))
            out.push_back(member);
    }
    return out;
}

// Only a few, so that requests for a service whose endpoints are gone are soon rejected at once.
std::vector<const MemberEntry *> PeerTable::fallbackRelays(const ServiceName &service, TimeMs now) const
{
    MemberPtrs out;
    for (const MemberEntry &member : members_) {
        if (mayRelay(member, service, now))
            out.push_back(&member);
    }
    const auto isInOwnDomain = [this](const MemberEntry &member) {
        return selfEntry_ && member.failureDomain == selfEntry_->failureDomain;
    };
    const size_t count = std::min(out.size(), MaxFallbackRelays);
    std::partial_sort(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(count), out.end(),
                      [&](const MemberEntry *a, const MemberEntry *b) {
                          return std::pair(isInOwnDomain(*a), relayRank(self_, *a))
                              < std::pair(isInOwnDomain(*b), relayRank(self_, *b));
                      });
    out.resize(count);
    return out;
}

std::vector<EntryCandidate> PeerTable::entryCandidates(bool mustHear, TimeMs now) const
{
    std::vector<EntryCandidate> out;
    for (const MemberEntry *member : order_) {
        const bool standsBy = anyServes_ && !member->serving;
        const bool counts
            = mustHear && !standsBy ? isHeardReady(*member, now) : !reportedLeaving(*member, now);
        if (!isSelf(*member) && counts)
            out.push_back({member->callerAddress, member->cores, member->serving});
    }
    return out;
}

// ---- Contents of the reports ----

namespace {

// Keeps the parts that a partial report omits.
void keepOmittedParts(PeerReport &report, const PeerReport &before)
{
    report.demands = before.demands;
    report.trials = before.trials;
    report.requests = before.requests;
    for (const OrganisationBalance &old : before.balances) {
        const bool isReported = std::any_of(
            report.balances.begin(), report.balances.end(),
            [&old](const OrganisationBalance &each) { return each.organisation == old.organisation; });
        if (!isReported)
            report.balances.push_back(old);
    }
}

} // namespace

bool PeerTable::take(const PeerReport &report, TimeMs now)
{
    std::erase_if(peers_, [now](const std::pair<const Incarnation, Peer> &entry) {
        return now - entry.second.heardAt > PeerRetention && !entry.second.counted;
    });
    const bool isNew = !peers_.contains(report.incarnation);
    Peer &peer = peers_[report.incarnation];
    if (!isNew && report.sequence <= peer.report.sequence)
        return false;
    if (peer.counted)
        applyLoads(peer, false);
    const PeerReport before = std::exchange(peer.report, report);
    if (!report.full)
        keepOmittedParts(peer.report, before);
    applyLoads(peer, true);
    peer.heardAt = now;
    peer.wallOffset = report.wallMs - now.count;
    return true;
}

const PeerTable::MemberPtrs &PeerTable::quotaPoolOrder(const OrganisationName &organisation) const
{
    MemberPtrs &order = quotaPoolOrders_[organisation];
    if (order.size() == serving_.size())
        return order;
    std::vector<std::pair<uint64_t, const MemberEntry *>> ranked;
    for (const MemberEntry *member : serving_) {
        const std::string &name = organisation.value;
        ranked.emplace_back(XXH3_64bits_withSeed(name.data(), name.size(), member->incarnation.value),
                            member);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    order.clear();
    for (const std::pair<uint64_t, const MemberEntry *> &each : ranked)
        order.push_back(each.second);
    return order;
}

std::vector<const MemberEntry *> PeerTable::quotaPool(const OrganisationName &organisation, TimeMs now) const
{
    RankedQuotaPool &known = quotaPools_[organisation];
    if (known.rankedAt.count != 0 && now - known.rankedAt < QuotaPoolRefreshInterval)
        return known.daemons;
    known.rankedAt = now;
    known.daemons.clear();
    const auto isHere = [&](const MemberEntry *member) { return isPresent(*member, now); };
    // In a network partition that hears half of the daemons or less there is no quota pool: each partition
    // would have its own, and together they could save up more than the burst.
    const auto presentCount = std::count_if(serving_.begin(), serving_.end(), isHere);
    if (static_cast<size_t>(presentCount) * 2 <= serving_.size())
        return {};
    for (const MemberEntry *member : quotaPoolOrder(organisation)) {
        if (known.daemons.size() == QuotaPoolSize)
            break;
        if (isHere(member))
            known.daemons.push_back(member);
    }
    return known.daemons;
}

std::vector<PeerTable::Spare> PeerTable::spares(const OrganisationName &organisation, double presumed,
                                                TimeMs now) const
{
    std::vector<Spare> out;
    if (!isTarget_) {
        for (const MemberEntry *member : quotaPool(organisation, now))
            out.push_back({member->peerAddress, presumed});
        return out;
    }
    for (const MemberEntry *member : serving_) {
        const Peer *peer = isSelf(*member) ? nullptr : heardPeer(*member, now);
        if (!peer)
            continue;
        for (const OrganisationBalance &balance : peer->report.balances) {
            if (balance.organisation == organisation && balance.spare > 0)
                out.push_back({member->peerAddress, balance.spare});
        }
    }
    std::sort(out.begin(), out.end(), [](const Spare &a, const Spare &b) { return a.units > b.units; });
    return out;
}

// The sums are updated incrementally: with many daemons, reports arrive in every tick.
void PeerTable::applyLoads(Peer &peer, bool add)
{
    peer.counted = add;
    for (const EndpointLoad &load : peer.report.loads) {
        EndpointLoad &sum = loadSums_[load.incarnation];
        sum.incarnation = load.incarnation;
        sum.running = add ? sum.running + load.running : sum.running - load.running;
        sum.prefillTokens
            = add ? sum.prefillTokens + load.prefillTokens : sum.prefillTokens - load.prefillTokens;
        sum.contextTokens
            = add ? sum.contextTokens + load.contextTokens : sum.contextTokens - load.contextTokens;
        if (sum.running == 0 && sum.prefillTokens == 0 && sum.contextTokens == 0)
            loadSums_.erase(load.incarnation);
    }
}

const std::map<EndpointIncarnation, EndpointLoad> &PeerTable::loadSums(TimeMs now)
{
    for (std::pair<const Incarnation, Peer> &entry : peers_) {
        if (entry.second.counted && now - entry.second.heardAt >= silenceTimeout())
            applyLoads(entry.second, false);
    }
    return loadSums_;
}

std::map<ServiceName, ServiceDemand> PeerTable::demandSums(TimeMs now) const
{
    std::map<ServiceName, ServiceDemand> sums;
    for (const std::pair<const Incarnation, Peer> &entry : peers_) {
        if (now - entry.second.heardAt >= silenceTimeout())
            continue;
        for (const ServiceDemand &demand : entry.second.report.demands)
            sums[demand.service].add(demand);
    }
    return sums;
}

std::map<ServiceName, uint64_t> PeerTable::retryRequestSums(TimeMs now) const
{
    std::map<ServiceName, uint64_t> sums;
    for (const std::pair<const Incarnation, Peer> &entry : peers_) {
        if (now - entry.second.heardAt >= silenceTimeout())
            continue;
        for (const std::pair<const ServiceName, uint32_t> &each : entry.second.report.requests)
            sums[each.first] += each.second;
    }
    return sums;
}

std::vector<TrialCount> PeerTable::trialCounts() const
{
    std::vector<TrialCount> out;
    for (const std::pair<const Incarnation, Peer> &entry : peers_)
        out.insert(out.end(), entry.second.report.trials.begin(), entry.second.report.trials.end());
    return out;
}

double PeerTable::coresUsed(TimeMs now) const
{
    double sum = 0;
    for (const std::pair<const Incarnation, Peer> &entry : peers_) {
        if (now - entry.second.heardAt < silenceTimeout())
            sum += entry.second.report.coresUsed;
    }
    return sum;
}

int64_t PeerTable::medianWallOffset(int64_t ownOffset, TimeMs now) const
{
    std::vector<int64_t> offsets{ownOffset};
    for (const std::pair<const Incarnation, Peer> &entry : peers_) {
        if (now - entry.second.heardAt < silenceTimeout())
            offsets.push_back(entry.second.wallOffset);
    }
    const auto middle = offsets.begin() + static_cast<int64_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return *middle;
}

} // namespace cranberry
