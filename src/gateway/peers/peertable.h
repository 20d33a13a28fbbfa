#pragma once

#include "gateway/gatewayevents.h"
#include "gateway/peers/entrychoice.h"

#include <map>
#include <set>

namespace cranberry {

/// Keeps track of the other daemons: which are listed, which have reported recently, and their last reports.
///
/// Serving daemons, as listed in the store, send each other load reports several times a second. Standby
/// daemons neither send nor receive reports; they learn what they need from the replies to their freshness
/// queries. So the cost for each daemon grows with the load, not with the number of daemons.
class PeerTable
{
public:
    /// Number of daemons that pool the unused part of an organisation's limit. With many daemons each balance
    /// is smaller than a request, and a request can't query all of them.
    static constexpr size_t QuotaPoolSize = 3;

    explicit PeerTable(InstanceName self) : self_(std::move(self)) { }

    /// `listed` is the total number of daemons if `members` has only some of them.
    void setMembers(std::vector<MemberEntry> members, TimeMs now, size_t listed = 0);
    void setLeader(const InstanceName &leader);
    const InstanceName &leader() const { return leader_; } ///< Empty: there is none.
    /// The leader's entry; nothing if it is not listed, or is this daemon.
    const MemberEntry *otherLeader() const;
    /// The leader is this daemon, or has reported recently. If there is none that does: this daemon is the
    /// first one, in an order that is the same on all daemons, among those that have reported recently.
    /// Never at once after the start, when nobody could have reported.
    bool actsForLeader(TimeMs now) const;
    const std::vector<MemberEntry> &members() const { return members_; }
    /// Stores a report. Returns false for one that is older than, or the same as, the last one of its sender.
    bool take(const PeerReport &report, TimeMs now);
    bool knows(Incarnation daemon) const { return peers_.contains(daemon); } ///< Has taken a report of it.

    // Serving daemons.

    /// Number of daemons that share the limits and the engines: those that serve, or all while none is listed
    /// as serving. At least 1. A decrease takes effect only after some seconds.
    size_t servingCount(TimeMs now) const;
    size_t currentServingCount() const; ///< The same, without the delay of a decrease.
    bool anyServes() const { return anyServes_; }
    /// This daemon is listed, and shares the limits.
    bool isListedSharer() const { return selfEntry_ && isServing_; }
    /// All daemons were killed, and `sharers` shared the limits before. For some seconds the count is at
    /// least that, and the count of all listed daemons, found while none is listed as serving yet, is not
    /// held.
    void resumeServingCount(size_t sharers, TimeMs now);
    bool isServing() const { return isServing_; } ///< This daemon shares the limits and the engines.
    /// Daemons that this one sends its load reports to: those that serve and the leader, without itself.
    const std::vector<const MemberEntry *> &reportTargets() const { return targets_; }
    /// The store lists this instance as serving; the entry may be of an earlier incarnation.
    bool isListedServing() const { return anyServes_ && selfEntry_ && selfEntry_->serving; }
    bool isReportTarget() const { return isTarget_; } ///< The other daemons send their reports to this one.
    DurationMs reportInterval() const; ///< Time between two reports to the same daemon.
    DurationMs fullReportInterval() const; ///< Time between two full reports to the same daemon.
    const MemberEntry *selfEntry() const { return selfEntry_; } ///< Null if this daemon is not listed.
    /// Report targets that were added by the last change of the members.
    const std::vector<const MemberEntry *> &newTargets() const { return newTargets_; }

    // Presence of daemons.

    /// Returns the daemon to query instead of reading the store, or nothing if this daemon is one of the few
    /// store readers. A reader whose own reads fail (`canRead` is false) also queries a peer, if there is
    /// one. Daemons in `silent` are excluded: they did not reply to recent queries.
    std::optional<Address> readerToQuery(bool canRead, const std::set<Address> &silent, TimeMs now) const;
    /// Returns the store readers that are to be named for a large fleet, given those that are named now. They
    /// change only if one of them is gone or reports that it can't read, or if they are by far too few or too
    /// many: daemons whose views differ a little must not keep renaming them.
    std::vector<Address> readersToName(const std::vector<Address> &named, TimeMs now) const;
    /// This daemon is one of the few store readers, provided that its reads succeed.
    bool isStoreReader(const std::set<Address> &silent, TimeMs now) const;
    // Reports have arrived recently from all, or from more than half, of the serving daemons.
    bool hearsAll(TimeMs now) const;
    bool hearsMost(TimeMs now) const;
    /// Returns the other daemons that callers may be sent to: those that are listed in the store and have not
    /// reported that they leave. With `mustHear`, serving daemons count only if they have reported recently.
    std::vector<EntryCandidate> entryCandidates(bool mustHear, TimeMs now) const;

    /// Returns the other daemons that have reported recently, listed or not.
    std::vector<DaemonIdentity> heardDaemons(TimeMs now) const;

    // Contents of the reports.

    /// Last report of another serving daemon.
    struct ServingReport {
        const MemberEntry *member = nullptr;
        const PeerReport *report = nullptr;
    };
    /// Returns the reports of the other serving daemons that have reported recently.
    std::vector<ServingReport> servingReports(TimeMs now) const;
    /// Returns the other serving daemons that may carry requests to the service's endpoints. A daemon that
    /// receives no reports assumes that all of them can.
    std::vector<const MemberEntry *> servingRelays(const ServiceName &service, TimeMs now) const;
    /// Returns a few other daemons that may do so, whether they serve and report or not; the same ones each
    /// time.
    std::vector<const MemberEntry *> fallbackRelays(const ServiceName &service, TimeMs now) const;
    /// Returns the few daemons that pool the unused part of an organisation's limit, in the order of their
    /// rank, which is the same on all daemons. The result may include this daemon.
    std::vector<const MemberEntry *> quotaPool(const OrganisationName &organisation, TimeMs now) const;
    /// Returns the serving daemons that are present, including this one if it serves. Returns none in a
    /// network partition that hears half of them or less: otherwise several partitions would each hand out
    /// the full limit.
    std::vector<const MemberEntry *> presentServing(TimeMs now) const;
    /// Units of an organisation's limit that another daemon reported as spare.
    struct Spare {
        Address address;
        double units = 0;
    };
    /// Returns the daemons with spare units, the largest amount first. A daemon that receives no reports
    /// assumes `presumed` units at each daemon of the quota pool.
    std::vector<Spare> spares(const OrganisationName &organisation, double presumed, TimeMs now) const;
    /// Sum of the load at each endpoint over the daemons that have reported recently.
    const std::map<EndpointIncarnation, EndpointLoad> &loadSums(TimeMs now);
    std::map<ServiceName, ServiceDemand> demandSums(TimeMs now) const;
    /// Requests of the other daemons in a window of the retry budget.
    std::map<ServiceName, uint64_t> retryRequestSums(TimeMs now) const;
    /// Trial counts of roll-outs from all daemons that are still remembered, including ones that are gone.
    std::vector<TrialCount> trialCounts() const;
    /// Total number of cores used by the other daemons that have reported recently.
    double coresUsed(TimeMs now) const;
    /// Median of the offsets between time of day and this daemon's steady clock, over the own offset and
    /// those of the peers.
    int64_t medianWallOffset(int64_t ownOffset, TimeMs now) const;

private:
    struct Peer {
        PeerReport report;
        TimeMs heardAt;
        bool counted = false; ///< Its loads are included in `loadSums_`.
        int64_t wallOffset = 0;
    };
    using MemberPtrs = std::vector<const MemberEntry *>;
    void updateTargets();
    bool isSelf(const MemberEntry &member) const { return &member == selfEntry_; }
    DurationMs silenceTimeout() const;
    void applyLoads(Peer &peer, bool add);
    const Peer *heardPeer(const MemberEntry &member, TimeMs now) const;
    bool isHeardReady(const MemberEntry &member, TimeMs now) const;
    bool reportedLeaving(const MemberEntry &member, TimeMs now) const;
    bool isPresent(const MemberEntry &member, TimeMs now) const;
    /// Has not reported that it leaves or does not reach the service's endpoints.
    bool mayRelay(const MemberEntry &member, const ServiceName &service, TimeMs now) const;
    bool mayRead(const MemberEntry &member, TimeMs now) const;
    bool reportedNoReads(const MemberEntry &member, TimeMs now) const;
    MemberPtrs readers(bool canRead, const std::set<Address> &silent, TimeMs now) const;
    size_t readerCount() const;
    size_t heardServingCount(TimeMs now) const;
    /// Serving daemons in the order in which they are chosen for an organisation's quota pool.
    const MemberPtrs &quotaPoolOrder(const OrganisationName &organisation) const;

    InstanceName self_;
    std::vector<MemberEntry> members_;
    InstanceName leader_;

    // Recomputed when the members change. Comparing names at each call instead took 272 us per tick on an
    // idle daemon among 295 with 40 organisations, compared with 80 us.
    const MemberEntry *selfEntry_ = nullptr; ///< Points into `members_`; null if this daemon is not listed.
    MemberPtrs order_; ///< Serving daemons first, then by `ranksBefore`.
    MemberPtrs serving_; ///< Leading part of `order_`.
    MemberPtrs targets_;
    MemberPtrs newTargets_;
    size_t listed_ = 0;
    std::optional<TimeMs> firstListAt_; ///< Time of the first list of members.
    bool anyServes_ = false;
    bool isServing_ = true;
    bool isTarget_ = true;
    size_t maxServingCount_ = 1; ///< Lower bound of the count until `maxServingCountUntil_`.
    TimeMs maxServingCountUntil_;
    TimeMs resumesCountUntil_;
    mutable std::map<OrganisationName, MemberPtrs> quotaPoolOrders_;

    std::map<Incarnation, Peer> peers_;
    std::map<EndpointIncarnation, EndpointLoad> loadSums_;
    struct RankedQuotaPool {
        TimeMs rankedAt;
        MemberPtrs daemons;
    };
    /// Cached, since it is needed for each request and report.
    mutable std::map<OrganisationName, RankedQuotaPool> quotaPools_;
};

} // namespace cranberry
