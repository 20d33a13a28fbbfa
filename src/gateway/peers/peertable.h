#pragma once

#include "gateway/gatewayevents.h"
#include "gateway/peers/entrychoice.h"

#include <map>
#include <set>

namespace cranberry {

/// The other daemons: who is listed, who is heard, and what they last said.
///
/// Daemons that serve callers, as the members' list in the store says, tell each other of their load several
/// times a second. Those that stand by tell nobody and are told nothing: what they need to know they learn
/// with the answers about the store's freshness. So what a daemon spends grows with the load, not with the
/// number of daemons.
class PeerTable
{
public:
    /// Daemons that gather what is left of one organisation's limit: with many daemons each balance is
    /// smaller than a request, and a request can't ask them all.
    static constexpr size_t Keepers = 3;

    explicit PeerTable(InstanceName self) : self_(std::move(self)) { }

    /// `listed`: daemons in all, if `members` is a part of them.
    void setMembers(std::vector<MemberEntry> members, TimeMs now, size_t listed = 0);
    void setDutyHolder(const InstanceName &holder);
    const std::vector<MemberEntry> &members() const { return members_; }
    /// Takes a report; older and doubled ones are dropped.
    bool take(const PeerReport &report, TimeMs now);

    // Who serves.

    /// Daemons that share the limits and the engines: those that serve; all of them while none says so. At
    /// least 1. The largest count of the last seconds.
    size_t sharers(TimeMs now) const;
    bool isSharer() const { return isSharer_; } ///< This daemon is one of them.
    /// Whom this daemon tells of its load: those that serve, and the duties' holder. Without this one.
    const std::vector<const MemberEntry *> &reportTargets() const { return targets_; }
    bool isReportTarget() const { return isTarget_; } ///< The others tell this daemon.
    DurationMs reportPace() const; ///< Time between two reports of a daemon to the same one.
    DurationMs wholeReportPace() const; ///< Time between two that have all parts.
    /// Those among the targets that were none before the last change of the members.
    const std::vector<const MemberEntry *> &newTargets() const { return newTargets_; }

    // Who is there.

    /// Whom to ask about the store instead of reading; nothing if this daemon is one of the few that read.
    /// One that can't read asks in any case, if there is somebody. Those in `silent` answered no question.
    std::optional<Address> readerToAsk(bool canRead, const std::set<Address> &silent, TimeMs now) const;
    /// This daemon is one of the few that read, if it can.
    bool readsForAll(const std::set<Address> &silent, TimeMs now) const;
    // Of the daemons that tell this one, all or more than half are heard.
    bool hearsAll(TimeMs now) const;
    bool hearsMost(TimeMs now) const;
    /// Other daemons for callers: those that the store lists and that did not say that they leave.
    /// `mustHear`: of those that serve only the ones that are heard.
    std::vector<EntryCandidate> entryCandidates(bool mustHear, TimeMs now) const;

    // What they said.

    /// The few daemons where what is left of an organisation's limit is gathered, best known first; all
    /// daemons rank them alike. May name this one.
    std::vector<const MemberEntry *> keepers(const OrganisationName &organisation, TimeMs now) const;
    /// Those that share the limits and are there, this daemon among them if it does; none where this part
    /// hears less than half of them: several parts would each share out the whole of a limit.
    std::vector<const MemberEntry *> presentSharers(TimeMs now) const;
    /// What another daemon said it can spare of an organisation's limit.
    struct Spare {
        Address address;
        double units = 0;
    };
    /// Those that can spare something, most first. A daemon that is told nothing of that takes the keepers to
    /// have `presumed` each.
    std::vector<Spare> spares(const OrganisationName &organisation, double presumed, TimeMs now) const;
    /// What the daemons that are heard run at each endpoint.
    const std::map<EndpointLife, EndpointLoad> &loadSums(TimeMs now);
    std::map<ServiceName, ServiceDemand> demandSums(TimeMs now) const;
    /// Counts of roll-outs on trial, of daemons that were heard lately, also of those that are gone by now.
    std::vector<TrialCount> trialCounts() const;
    /// Cores that all other daemons that are heard use together.
    double coresUsed(TimeMs now) const;
    /// Highest count that each daemon reported for a window, also of daemons that are gone by now.
    std::map<OrganisationName, uint64_t> windowSums(int64_t window) const;
    /// Middle of the others' time of day less our steady clock, own value included.
    int64_t medianWallOffset(int64_t ownOffset, TimeMs now) const;

private:
    struct Peer {
        PeerReport report;
        TimeMs heardAt;
        bool counted = false; ///< In the sums of loads.
        int64_t wallOffset = 0;
        std::map<int64_t, std::map<OrganisationName, uint64_t>> windows;
    };
    using MemberPtrs = std::vector<const MemberEntry *>;
    void findTargets();
    bool isSelf(const MemberEntry &member) const { return &member == selfEntry_; }
    DurationMs silence() const;
    size_t countSharers() const;
    void count(Peer &peer, bool add);
    const Peer *heard(const MemberEntry &member, TimeMs now) const;
    bool isHeardReady(const MemberEntry &member, TimeMs now) const;
    bool saidItLeaves(const MemberEntry &member, TimeMs now) const;
    bool isPresent(const MemberEntry &member, TimeMs now) const;
    bool mayRead(const MemberEntry &member, TimeMs now) const;
    MemberPtrs readers(bool canRead, const std::set<Address> &silent, TimeMs now) const;
    size_t readerCount() const;
    size_t heardSharers(TimeMs now) const;
    /// All sharers in the order in which they keep an organisation's limit.
    const MemberPtrs &keeperOrder(const OrganisationName &organisation) const;

    InstanceName self_;
    std::vector<MemberEntry> members_;
    InstanceName dutyHolder_;

    // Worked out when the members change. Comparing names for each question took an idle daemon among 295
    // with 40 organisations 272 us a tick, 80 us without it.
    const MemberEntry *selfEntry_ = nullptr; ///< Among the members, if this daemon is listed.
    MemberPtrs order_; ///< Those that serve first, then strong instances first.
    MemberPtrs sharers_; ///< The first of them.
    MemberPtrs targets_;
    MemberPtrs newTargets_;
    size_t listed_ = 0;
    bool anyServes_ = false;
    bool isSharer_ = true;
    bool isTarget_ = true;
    size_t mostSharers_ = 1; ///< Until `mostSharersUntil_`.
    TimeMs mostSharersUntil_;
    mutable std::map<OrganisationName, MemberPtrs> keeperOrders_;

    std::map<Incarnation, Peer> peers_;
    std::map<EndpointLife, EndpointLoad> loadSums_;
    struct RankedKeepers {
        TimeMs rankedAt;
        MemberPtrs keepers;
    };
    mutable std::map<OrganisationName, RankedKeepers> ranked_; ///< Asked for with each request and report.
};

} // namespace cranberry
