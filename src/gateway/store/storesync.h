#pragma once

#include "common/random.h"
#include "gateway/decisionlog.h"
#include "gateway/endpoints/endpointlist.h"
#include "gateway/endpoints/listage.h"
#include "gateway/peers/peertable.h"
#include "gateway/store/storecalls.h"

#include <map>
#include <set>
#include <utility>

namespace cranberry {

/// Control key of the versions that services had.
constexpr const char *VersionsKey = "versions";
/// Shared key of the requests in quarantine.
constexpr const char *QuarantineKey = "quarantine";
/// Shared key of the leader.
constexpr const char *LeaderKey = "leader";
/// Control key with the addresses of the store readers, for daemons that start in a large fleet.
constexpr const char *ReadersKey = "readers";
/// Prefix of the keys of roll-out records; the service's name follows.
constexpr const char *RolloutKeyPrefix = "rollout/";

/// The leadership as this daemon may rely on it.
struct Leadership {
    bool held = false; ///< This daemon is the leader now.
    uint64_t fencingToken = 0; ///< Grows with each change of the leader, also across eras of the store.
    TimeMs validUntil; ///< On this daemon's clock; no call may be open after it.
    /// Records that an earlier leader wrote before this time may be missing in the store, though it acted on
    /// them.
    TimeMs recordsLostBefore;
    /// Condition that holds in the store until another daemon wins. It keeps calls that are executed late,
    /// perhaps in another era, from writing records.
    StoreCondition leaderCondition;
};

struct StoreSyncSettings {
    MemberEntry self;
    DurationMs leaseTime{3000};
    /// Time after which a new configuration must be in force everywhere.
    DurationMs configurationBound{2000};
    /// Time after which an endpoint that leaves must get no new work.
    DurationMs drainTime{2000};
    bool firstStart = false; ///< The system starts for the first time: there was no leader before.
    uint64_t seed = 1;
};

/// Synchronizes this daemon with the store: reads configuration, members and endpoints at fixed intervals,
/// holds a lease for its own entry, and campaigns for the leadership.
///
/// Only a few daemons, the store readers, read all the time. The others query one of them for the freshness
/// of its view, and read themselves where the view differs from theirs or where no reply arrives. So the load
/// of the store does not grow with the number of daemons.
///
/// In a large fleet, one whose members take the store more than a page, lists are left to the readers: if
/// each daemon that starts read them, the bytes would grow with the square of the fleet. In a smaller one the
/// store sends the lists to all sooner than a few readers can. A control key names the readers, so that
/// daemons that know no member find them. The readers keep it up to date; a daemon that gets no reply from
/// any of them names itself until it knows the members.
///
/// Reads overlap: one that hangs on an unresponsive connection does not delay the next. The age of a view is
/// counted from when the read or query was sent, since the store may have replied at any time after that.
class StoreSync
{
public:
    StoreSync(const StoreSyncSettings &settings, DecisionLog &log);

    /// What was learned since the last call.
    struct Updates {
        std::vector<ConfigurationRead> configurations;
        std::vector<EndpointsRead> endpoints;
        std::optional<std::vector<MemberEntry>> members;
        size_t listed = 0; ///< With `members`: total number of daemons, of which these may be a part.
        InstanceName leader; ///< With `members`; empty: there is no leader.
        std::optional<EntriesFromPeer> entries;
        std::vector<QuarantinedRequest> quarantine; ///< From the store or from a peer's reply.
        std::optional<RolloutsRead> rollouts;
    };

    /// Roll-outs as known to this daemon, and the records that are stored.
    struct Rollouts {
        RolloutsKnown known;
        struct Stored {
            std::string text;
            uint64_t revision = 0;
        };
        std::map<ServiceName, Stored> stored; ///< Records, by service.
        uint64_t versionsRevision = 0; ///< Of the versions' key; 0: it does not exist.
        /// The store was just restored from an older copy: orders may be missing or outdated.
        bool mayBeStale = false;
    };
    const Rollouts &rollouts(TimeMs now);
    /// Must be called when this daemon has stored a record.
    void onRolloutRecordStored(const RolloutRecord &record, uint64_t revision);

    /// Sets the versions of the services as this daemon has seen them. The leader stores them when they
    /// change.
    void setVersions(const VersionRecord &seen) { seenVersions_ = seen; }

    void tick(TimeMs now);
    void onReply(StoreReply reply, TimeMs now);
    /// Must be called for each reply of the store, also to calls of other parts, before the reply is used.
    /// Invalidates a reply of an earlier era: what it found or wrote is lost.
    void checkEra(StoreReply &reply, TimeMs now);
    /// Whether this daemon is the leader and has written again the records that the store lacked.
    void setRecordsComplete(bool complete) { recordsComplete_ = complete; }
    /// This daemon's view is not older than what its peers have seen, as far as there are peers to confirm
    /// it.
    bool isViewConfirmed(TimeMs now) const;
    /// Sets the daemon to query instead of reading; nothing: this daemon reads itself.
    void setSource(const std::optional<Address> &source) { source_ = source; }
    /// Sets whether this daemon is a store reader. Readers keep their read interval whatever the store does.
    /// The others, which may be hundreds, read less often while it is slow.
    void setStoreReader(bool isReader, TimeMs now);
    /// The members take the store more than a page.
    bool isLargeFleet() const { return membersArePaged_ || !readers_.addresses.empty(); }
    /// Returns the named readers if this daemon is a reader of a large fleet and is to check now whether they
    /// are still right.
    std::optional<std::vector<Address>> readersToCheck(TimeMs now) const;
    /// Names the readers in the store if they differ from those that are named.
    void nameReaders(const std::vector<Address> &readers, TimeMs now);
    bool isNamedReader() const; ///< The control key names this daemon.
    /// Returns a named store reader that is not among the silent ones, or nothing.
    std::optional<Address> namedReader(const std::set<Address> &silent) const;
    /// Daemons that did not reply to the last queries. After a while they are tried again.
    std::set<Address> silentSources(TimeMs now) const;
    /// Sets whether this daemon's own entry lists it as serving.
    void setServing(bool serving);
    /// Sets the addresses for callers that are sent to peers that query this daemon; empty if this daemon
    /// received them from a peer itself.
    void setEntries(const std::vector<Address> &entries);
    /// Sets this daemon's quarantine list, which is written to the store and sent to peers that query it.
    void setQuarantine(const std::vector<QuarantinedRequest> &list, TimeMs now);
    /// This daemon's own reads fail, though those of others may succeed.
    bool readsFail(TimeMs now) const;
    /// The store replies, and has for as long as an endpoint that leaves may get requests. While it does not,
    /// nobody can know which endpoints leave.
    bool isStoreWell(TimeMs now) const;
    void onFreshnessQuery(const FreshnessQuery &query, const Address &from, TimeMs now);
    void onFreshnessReply(const FreshnessReply &reply, TimeMs now);

    /// A query or reply to be sent to a peer.
    struct Outgoing {
        Address to;
        std::variant<FreshnessQuery, FreshnessReply> message;
    };
    std::vector<Outgoing> takeOutgoing() { return std::exchange(outgoing_, {}); }

    std::vector<StoreCall> takeCalls() { return std::exchange(calls_, {}); }
    Updates takeUpdates() { return std::exchange(updates_, {}); }

    Leadership leadership(TimeMs now) const;
    uint64_t era() const { return era_; } ///< Era of the store; 0: not stated yet.
    /// The process exits soon: ends this daemon's lease, a leader's once another daemon can win.
    void startLeaving(TimeMs now);
    /// Ends the lease if it is still held. Returns false if there was nothing to end.
    bool leaveAtOnce(TimeMs now);

    /// Reserves the id of a store call that another part sends; its reply is not handled here.
    uint64_t reserveId() { return nextCall_++; }

private:
    /// Interval between reads of the configuration. A change must be in force within two seconds of its
    /// acknowledgement, so two reads in a row may fail.
    static constexpr DurationMs SharedReadInterval{600};
    /// Interval between reads of the endpoints. An endpoint that reports that it is leaving must get no new
    /// work after two seconds.
    static constexpr DurationMs EndpointsReadInterval{500};
    DurationMs sharedReadInterval() const;
    DurationMs endpointsReadInterval() const;
    static constexpr DurationMs WriteTimeout{2000};
    static constexpr DurationMs RetryPause{500}; ///< Between two attempts of a write.
    /// A leader stops this long before its lease may have expired, to allow for calls in transit.
    static constexpr DurationMs LeadershipMargin{700};
    /// Time within which operators and endpoints write lost data again after the store was restored from an
    /// older copy.
    static constexpr DurationMs SettleTime{5000};

    enum class Purpose : uint8_t {
        ReadShared,
        ReadEndpoints,
        Grant,
        Renew,
        Register,
        Campaign,
        Leave,
        Quarantine,
        Versions,
        Settle,
        NameReaders
    };
    struct OpenCall {
        Purpose purpose = Purpose::ReadShared;
        TimeMs sentAt;
        TimeMs readStartedAt; ///< When the first page was requested.
        std::vector<StoreItem> pages;
        uint64_t lease = 0;
        bool serving = false; ///< The `serving` value that was sent.
        uint64_t era = 0; ///< Era of the first page.
        StoreSpace space = StoreSpace::Shared; ///< That is read.
        bool readsAllPages = false; ///< Otherwise members that take more than a page are left to the readers.
        bool isCut = false; ///< Further pages were not read.
    };

    static bool isRead(Purpose purpose)
    {
        return purpose == Purpose::ReadShared || purpose == Purpose::ReadEndpoints;
    }
    void send(StoreCall call, OpenCall open, TimeMs now);
    void leaveIfReplaced(TimeMs now);
    void leave(TimeMs now);
    /// Replies arrive. Where only calls do, renewals would keep alive the key of a leader that can't act, and
    /// nobody else could win: until its lease must have ended it sends none.
    bool hearsStore(TimeMs now) const { return now < heardAt_ + settings_.leaseTime / 2; }
    void readIfDue(TimeMs now);
    StoreSpace sharedSpaceToRead() const;
    void readShared(StoreSpace space, bool allPages, TimeMs now);
    void recordReadTime(const OpenCall &open, bool done, TimeMs now);
    DurationMs readPause(DurationMs interval);
    void readSpace(OpenCall open, const std::string &after, TimeMs now);
    bool tooManyOpen(Purpose purpose) const;
    void onRead(OpenCall &open, const StoreReply &reply, TimeMs now);
    /// Keys that are taken from the pages of a read.
    struct SharedRead {
        ServingConfigurationPtr configuration;
        std::vector<MemberEntry> members;
        LeaderEntry leader;
        uint64_t settledEra = 0;
        NamedReaders readers;
    };
    // The readers of a large fleet (storereaders.cpp).
    void writeReaders(const std::vector<Address> &readers, TimeMs now);
    void onReadersWritten(const StoreReply &reply, TimeMs now);
    void takeReaders(const NamedReaders &readers, TimeMs now);
    void nameItselfIfAlone(TimeMs now);
    SharedRead sharedReadOf(const OpenCall &open);
    void takeShared(const OpenCall &open, TimeMs now);
    void takeConfiguration(const ServingConfigurationPtr &configuration, TimeMs askedAt, TimeMs now);
    void takeMembers(std::vector<MemberEntry> members, const LeaderEntry &leader, TimeMs askedAt, TimeMs now);
    void takeLeader(const LeaderEntry &leader, TimeMs askedAt, TimeMs now);
    void takeSharedReply(const FreshnessReply &reply, TimeMs sharedAt, TimeMs now);
    void redirect(const FreshnessQuery &query, const Address &from);
    void sendEndpoints(const FreshnessQuery &query, const Address &from, FreshnessReply reply, TimeMs now);
    void takeDifference(const FreshnessReply &reply);
    bool skipsWholeList(const FreshnessReply &reply, const Address &from, TimeMs now);
    void publishEndpoints(TimeMs askedAt, bool isUnchanged);
    bool takeEndpointsReply(const FreshnessReply &reply, TimeMs endpointsAt);
    void takeEntriesReply(const FreshnessReply &reply, TimeMs askedAt);
    // Requests in quarantine (storequarantine.cpp).
    void takeQuarantine(const std::string &text, uint64_t revision);
    void takeQuarantineReply(const FreshnessReply &reply);
    void compareQuarantine();
    void writeQuarantine(TimeMs now);
    void onQuarantineReply(const StoreReply &reply, TimeMs now);
    // Roll-outs (storerollouts.cpp).
    void takeRollouts(const OpenCall &open);
    bool lacksVersions() const;
    void writeVersions(TimeMs now);
    void onVersionsReply(const StoreReply &reply, TimeMs now);
    void mergeRollouts(const RolloutsKnown &read, TimeMs readAt);
    void takeRolloutsReply(const FreshnessReply &reply, TimeMs sharedAt);
    DurationMs jitter(DurationMs limit); ///< Returns a random duration below `limit`.
    DurationMs maxPeerViewAge() const;
    void checkOwnEntry(TimeMs askedAt);
    uint64_t knownVersion() const; ///< Version of the configuration; 0: none.
    void takeEndpoints(const OpenCall &open);
    void onLeaseReply(const OpenCall &open, const StoreReply &reply, TimeMs now);
    void loseLease(TimeMs now, const char *why);
    void registerSelf(TimeMs now);
    void campaign(TimeMs now);
    DurationMs queryInterval() const;
    void querySource(TimeMs now);
    void queryAnotherIfLate(TimeMs now);
    void sendQuery(const Address &to, TimeMs now);
    // The age of the endpoint list (storelistage.cpp).
    ListAge endpointsAge(TimeMs now) const;
    bool readsLateListItself(TimeMs now) const;
    void recordTrouble(TimeMs now);
    void logListAge(TimeMs now);
    void recordStoreState(bool answered, TimeMs now);
    std::string ownLeaderValue() const;
    bool isEarlierIncarnation(const std::string &leaderValue) const;
    bool mayCampaign(TimeMs now) const;
    void publishConfiguration(TimeMs askedAt, TimeMs now);
    // A store restored from an older copy (storeera.cpp).
    void enterEra(uint64_t era, TimeMs now);
    void onFirstView(TimeMs now);
    void delayCampaign(TimeMs now);
    void tickEra(TimeMs now);
    bool isSettled() const;
    void settleEra(TimeMs now);
    bool knowsPresentEra() const { return sharedEra_ == era_ && endpointsEra_ == era_; }
    DurationMs campaignPause() const;

    StoreSyncSettings settings_;
    DecisionLog &log_;
    Random random_;
    std::map<uint64_t, OpenCall> open_;
    std::vector<StoreCall> calls_;
    Updates updates_;
    uint64_t nextCall_ = 1;

    TimeMs startedAt_;
    bool started_ = false;
    bool leaving_ = false;
    TimeMs sharedAt_; ///< Next read.
    TimeMs endpointsAt_;
    uint32_t failedReads_ = 0; ///< In a row.
    bool isStoreReader_ = true;
    uint32_t slowReads_ = 0; ///< In a row, failed ones included.
    TimeMs newestShared_; ///< The view was current in the store at or after this time.
    TimeMs newestEndpoints_;
    TimeMs newestControl_; ///< The control keys were read at or after this time.
    bool membersArePaged_ = false;
    NamedReaders readers_; ///< As in the store.
    std::vector<Address> writtenReaders_; ///< Content of this daemon's last write.
    bool namedItself_ = false; ///< Until it knows the members, it does not reply to queries.
    TimeMs nameReadersAt_; ///< Not before.
    TimeMs readersTakenAt_; ///< When this daemon learned of them.
    TimeMs repliedAt_; ///< When a peer last replied.
    TimeMs readerRepliedAt_; ///< When a named reader last did.
    bool storeAvailable_ = false;
    bool sawConfiguration_ = true; ///< The newest read found one; a missing configuration is logged.

    std::optional<Address> source_;
    TimeMs queryAt_;
    struct OpenQuery {
        TimeMs sentAt;
        Address to;
    };
    std::map<uint64_t, OpenQuery> openQueries_;
    uint64_t nextQuery_ = 1;
    struct Unanswered {
        uint32_t queries = 0; ///< In a row.
        TimeMs askedAt; ///< Time of the newest query.
    };
    std::map<Address, Unanswered> unanswered_;
    std::map<Address, TimeMs> withoutHistory_; ///< Readers that offered the whole list, and when.
    uint32_t failedDifferences_ = 0; ///< In a row.
    uint32_t skippedLists_ = 0; ///< In a row.
    TimeMs queryAnotherAt_; ///< Not before.
    ListAge loggedAge_ = ListAge::Usual;
    TimeMs lateSince_; ///< When the list was first late.
    TimeMs troubledAt_; ///< When a call last had no reply, was refused or was open for long.
    std::vector<Address> entries_; ///< Sent to peers in replies.
    uint64_t entriesDigest_ = 0;
    std::vector<Address> peerEntries_;
    uint64_t peerEntriesDigest_ = 0;
    std::vector<QuarantinedRequest> quarantine_; ///< As the gateway has it.
    uint64_t quarantineDigest_ = 0;
    uint64_t peerQuarantineDigest_ = 0;
    std::vector<QuarantinedRequest> storedQuarantine_; ///< As last read or written.
    std::vector<QuarantinedRequest> writtenQuarantine_; ///< Content of this daemon's last write.
    uint64_t quarantineRevision_ = 0; ///< Revision of the key; 0: it does not exist.
    bool storeLacksQuarantine_ = false; ///< An own quarantine must be written.
    TimeMs quarantineWriteAt_; ///< Not before.
    Rollouts rollouts_;
    uint64_t rolloutsDigest_ = 0;
    VersionRecord seenVersions_; ///< As the gateway has seen them.
    VersionRecord writtenVersions_; ///< Content of this daemon's last write.
    TimeMs versionsWriteAt_; ///< Not before.
    std::vector<Outgoing> outgoing_;
    ServingConfigurationPtr configuration_; ///< From the newest read.
    uint64_t sharedDigest_ = 0;
    EndpointList endpoints_;

    uint64_t lease_ = 0;
    TimeMs leaseValidUntil_; ///< On this daemon's clock, counted from when the renewal was sent.
    std::optional<TimeMs> leavesFrom_; ///< The process was told to stop.
    bool wasLast_ = false; ///< No other daemon was listed after that.
    std::optional<TimeMs> otherListedSince_; ///< Since then, another daemon is listed.
    TimeMs heardAt_; ///< Time of the newest reply.
    TimeMs renewAt_;
    bool registered_ = false;
    TimeMs registeredAt_;
    TimeMs registerAt_;

    std::vector<MemberEntry> members_;
    size_t listed_ = 0;
    TimeMs sharedReadAt_;
    LeaderEntry leader_; ///< As last seen.
    bool leaderIsSelf_ = false;
    bool leaderIsEarlierIncarnation_ = false; ///< The key was written by an earlier daemon on this instance.
    TimeMs campaignAt_; ///< Earliest time to campaign if there is no leader.
    TimeMs reclaimAt_; ///< Earliest time to campaign if an earlier incarnation on this instance led.

    uint64_t era_ = 0; ///< Era of the store; 0: not stated yet.
    TimeMs eraSeenAt_; ///< When the era increased; zero: not since this daemon started.
    uint64_t sharedEra_ = 0; ///< Era of the newest shared view.
    uint64_t controlEra_ = 0; ///< Era of the newest control keys.
    uint64_t endpointsEra_ = 0;
    uint64_t publishedEndpoints_ = 0; ///< Digest of the list that the last update had.
    uint64_t settledEra_ = 0; ///< As read from the store.
    uint64_t storedVersion_ = 0; ///< Version of the configuration as last read from the store.
    bool recordsComplete_ = false;
    TimeMs settleAt_; ///< Not before.
    /// Set if this daemon was the leader when the era increased: nobody else can win before this time.
    std::optional<TimeMs> reclaimUntil_;
    /// Start of the leadership, without a gap in which another daemon could have led; zero: it is not the
    /// leader.
    TimeMs ledSince_;
    TimeMs mayLeadFrom_; ///< An earlier leader may act until then, whatever the store shows.
    TimeMs firstViewAt_; ///< When this daemon read the store for the first time.
    bool startedUnsettled_ = false; ///< The era may have increased shortly before this daemon started.
    bool viewConfirmed_ = false;
    uint64_t minVersion_ = 0; ///< Version of the configuration that a peer has seen.
};

} // namespace cranberry
