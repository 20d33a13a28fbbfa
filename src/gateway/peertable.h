#pragma once

#include "gateway/entrychoice.h"
#include "gateway/gatewayevents.h"

#include <map>

namespace cranberry {

/// The other daemons: who is listed, who is heard, and what they last said.
class PeerTable
{
public:
    /// Daemons that gather what is left of one organisation's limit: with many daemons each balance is
    /// smaller than a request, and a request can't ask them all.
    static constexpr size_t Keepers = 3;

    explicit PeerTable(InstanceName self) : self_(std::move(self)) { }

    void setMembers(std::vector<MemberEntry> members);
    /// Peer addresses of the other daemons in `members` that are not listed so far.
    std::vector<Address> unknownAmong(const std::vector<MemberEntry> &members) const;
    bool heardAll(TimeMs now) const; ///< Of the other daemons that are listed.
    /// Takes a report; older and doubled ones are dropped.
    bool take(const PeerReport &report, TimeMs now);

    const std::vector<MemberEntry> &members() const { return members_; }
    /// Time between two reports of a daemon; longer with many daemons, since each tells all others.
    DurationMs reportPace() const;
    /// Whom to ask about the store instead of reading; nothing if this daemon is one of the few that read.
    /// One that can't read asks in any case, if there is somebody.
    std::optional<Address> readerToAsk(bool canRead, TimeMs now) const;
    /// Daemons that are listed, this one included; at least 1.
    size_t memberCount() const { return memberCount_; }
    /// The few daemons where what is left of an organisation's limit is gathered, best known first; all
    /// daemons rank them alike. May name this one.
    std::vector<const MemberEntry *> keepers(const OrganisationName &organisation, TimeMs now) const;
    /// What another daemon said it can spare of an organisation's limit.
    struct Spare {
        Address address;
        double units = 0;
    };
    /// Those that can spare something, most first.
    std::vector<Spare> spares(const OrganisationName &organisation, TimeMs now) const;
    /// What the daemons that are heard run at each endpoint.
    const std::map<EndpointLife, EndpointLoad> &loadSums(TimeMs now);
    std::map<ServiceName, ServiceDemand> demandSums(TimeMs now) const;
    /// Daemons for callers: those that are listed, heard and ready.
    std::vector<EntryCandidate> entryCandidates(TimeMs now) const;
    /// Cores that all other daemons use together.
    double coresUsed(TimeMs now) const;
    /// Daemons with requests at endpoints; what they run matters at once for placing.
    std::vector<const MemberEntry *> busyMembers(TimeMs now) const;
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
    DurationMs silence() const;
    void count(Peer &peer, bool add);
    bool serves(const MemberEntry &member,
                TimeMs now) const; ///< Another daemon that is heard and takes requests.
    const Peer *heard(const MemberEntry &member, TimeMs now, DurationMs within) const;

    /// All members in the order in which daemons keep an organisation's limit.
    const std::vector<const MemberEntry *> &keeperOrder(const OrganisationName &organisation) const;

    InstanceName self_;
    std::vector<MemberEntry> members_;
    // Worked out when the members change. Comparing names for each question took an idle daemon among 295
    // with 40 organisations 272 us a tick, 80 us without it.
    const MemberEntry *selfEntry_ = nullptr; ///< Among the members, if this daemon is listed.
    size_t memberCount_ = 1;
    std::vector<const MemberEntry *> readerOrder_; ///< All members, strong instances first.
    mutable std::map<OrganisationName, std::vector<const MemberEntry *>> keeperOrders_;
    std::map<Incarnation, Peer> peers_;
    std::map<EndpointLife, EndpointLoad> loadSums_;
    struct RankedKeepers {
        TimeMs rankedAt;
        std::vector<const MemberEntry *> keepers;
    };
    mutable std::map<OrganisationName, RankedKeepers> ranked_; ///< Asked for with each request and report.
};

} // namespace cranberry
