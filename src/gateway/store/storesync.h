#pragma once

#include "common/random.h"
#include "gateway/decisionlog.h"
#include "gateway/endpoints/endpointlist.h"
#include "gateway/peers/peertable.h"
#include "gateway/store/storecalls.h"

#include <map>
#include <set>
#include <utility>

namespace cranberry {

/// Key of the requests in quarantine, among those that all daemons share.
constexpr const char *QuarantineKey = "quarantine";
/// Key of the duties' holder, among the same.
constexpr const char *LeaderKey = "leader";
/// Keys of the roll-outs' records begin so; the service's name follows.
constexpr const char *RolloutKeyPrefix = "rollout/";

/// Who holds a duty, as this daemon may rely on it.
struct Leadership {
    bool held = false; ///< By this daemon, now.
    uint64_t fencingToken = 0; ///< Grows with each change of the holder, also over eras of the store.
    TimeMs validUntil; ///< On this daemon's clock; no call may be under way after it.
    /// What an earlier holder wrote to the store before this may be missing there, though it acted on it.
    TimeMs recordsLostBefore;
    /// Holds in the store as long as nobody has won since. Calls that are carried out late, in another era
    /// perhaps, must not write records then.
    StoreCondition stands;
};

struct StoreSyncSettings {
    MemberEntry self;
    DurationMs leaseTime{3000};
    DurationMs configurationBound{2000}; ///< A configuration is in force everywhere after this.
    bool firstStart = false; ///< The whole system starts for the first time: nobody led before.
    uint64_t seed = 1;
};

/// Keeps this daemon in step with the store: reads configuration, members and endpoints at a steady pace,
/// holds a lease for its own entry, and stands for the leadership of the duties.
///
/// Only a few daemons read all the time. The others ask one of them how fresh its view is, and read
/// themselves where it differs from theirs, or where nobody answers. So the store's load does not grow with
/// the daemons.
///
/// Reads overlap: one that hangs on a silent connection does not hold up the next. Freshness is counted from
/// when a question was sent, since the store may have answered at any time after that.
class StoreSync
{
public:
    StoreSync(const StoreSyncSettings &settings, DecisionLog &log);

    /// What was learned since the last call.
    struct News {
        std::vector<ConfigurationRead> configurations;
        std::vector<EndpointsRead> endpoints;
        std::optional<std::vector<MemberEntry>> members;
        size_t listed = 0; ///< With `members`: daemons in all, of which these may be a part.
        InstanceName dutyHolder; ///< With `members`; empty: there is none.
        std::optional<EntriesTold> entries;
        std::vector<QuarantinedRequest> quarantine; ///< Of the store, or of a daemon that was asked.
        std::optional<RolloutsRead> rollouts;
    };

    /// Roll-outs as this daemon knows them, and what the store holds of them.
    struct Rollouts {
        RolloutsKnown known;
        struct Stored {
            std::string text;
            uint64_t revision = 0;
        };
        std::map<ServiceName, Stored> stored; ///< Records.
        bool mayBeOlder = false; ///< The store has just come back older: orders may be missing or overtaken.
    };
    const Rollouts &rollouts(TimeMs now);
    /// This daemon has stored a record.
    void noteRolloutRecord(const RolloutRecord &record, uint64_t revision);

    void tick(TimeMs now);
    void onReply(StoreReply reply, TimeMs now);
    /// Due for each reply of the store, also to calls of other parts, before it is used. One of an era that
    /// is over tells nothing: what it found or did is gone.
    void judgeEra(StoreReply &reply, TimeMs now);
    /// This daemon holds the duties, and has written again what the store lacked of their records.
    void setRecordsWhole(bool whole) { recordsAreWhole_ = whole; }
    /// What this daemon read can't be older than what the others have seen, as far as they are there to tell.
    bool isVouchedFor(TimeMs now) const;
    /// Whom to ask instead of reading; nothing: this daemon reads itself.
    void setSource(const std::optional<Address> &source) { source_ = source; }
    /// One of the few that read for all keeps its pace whatever the store does. The others, hundreds perhaps,
    /// read less while it is slow.
    void setReadsForAll(bool readsForAll, TimeMs now);
    /// Daemons that left the last questions unanswered. After a while they are tried again.
    std::set<Address> silentSources(TimeMs now) const;
    /// This daemon's own entry says so from now on.
    void setServing(bool serving);
    /// The addresses for callers that daemons which ask are told; none if this daemon was told itself.
    void setEntries(const std::vector<Address> &entries);
    /// The requests that this daemon keeps from endpoints, which the store and daemons that ask are told.
    void setQuarantine(const std::vector<QuarantinedRequest> &list, TimeMs now);
    /// Own reads are not answered, though others' may be.
    bool readsFail(TimeMs now) const;
    void onQuestion(const FreshnessQuestion &question, const Address &from, TimeMs now);
    void onAnswer(const FreshnessAnswer &answer, TimeMs now);

    /// A question or an answer to be sent to another daemon.
    struct Outgoing {
        Address to;
        std::variant<FreshnessQuestion, FreshnessAnswer> message;
    };
    std::vector<Outgoing> takeOutgoing() { return std::exchange(outgoing_, {}); }

    std::vector<StoreCall> takeCalls() { return std::exchange(calls_, {}); }
    News takeNews() { return std::exchange(news_, {}); }

    Leadership leadership(TimeMs now) const;
    /// Gives back what this daemon holds, before it ends.
    void startLeaving(TimeMs now);

    /// Sends a call of another part; its reply is not handled here.
    uint64_t reserveId() { return nextCall_++; }

private:
    static constexpr DurationMs WriteTimeout{2000};
    static constexpr DurationMs RetryPause{500}; ///< Between two tries of a write.
    /// A leader stops this long before its lease may have run out, for what is still on its way.
    static constexpr DurationMs LeadershipMargin{700};
    /// The operators and the endpoints write again what was lost within so long after the store came back
    /// older.
    static constexpr DurationMs SettleTime{5000};

    enum class Purpose : uint8_t {
        ReadShared,
        ReadEndpoints,
        Grant,
        Renew,
        Register,
        Stand,
        Leave,
        Quarantine,
        Settle
    };
    struct OpenCall {
        Purpose purpose = Purpose::ReadShared;
        TimeMs sentAt;
        TimeMs readStartedAt; ///< Of the first page.
        std::vector<StoreItem> pages;
        uint64_t lease = 0;
        bool serving = false; ///< As registered.
        uint64_t era = 0; ///< Of the first page.
    };

    static bool isRead(Purpose purpose)
    {
        return purpose == Purpose::ReadShared || purpose == Purpose::ReadEndpoints;
    }
    void send(StoreCall call, OpenCall open, TimeMs now);
    void readShared(TimeMs now);
    void noteReadTime(const OpenCall &open, bool done, TimeMs now);
    DurationMs readPause(DurationMs pace);
    void readSpace(StoreSpace space, OpenCall open, const std::string &after, TimeMs now);
    bool tooManyOpen(Purpose purpose) const;
    void onRead(OpenCall &open, const StoreReply &reply, TimeMs now);
    void takeShared(const OpenCall &open, TimeMs now);
    void takeMembers(std::vector<MemberEntry> members, const LeaderEntry &leader, TimeMs askedAt, TimeMs now);
    void takeSharedAnswer(const FreshnessAnswer &answer, TimeMs sharedAt, TimeMs now);
    void tellEndpoints(const FreshnessQuestion &question, const Address &from, FreshnessAnswer answer);
    void takeEndpointsAnswer(const FreshnessAnswer &answer, TimeMs endpointsAt);
    void takeEntriesAnswer(const FreshnessAnswer &answer, TimeMs askedAt);
    // Requests in quarantine (storequarantine.cpp).
    void takeQuarantine(const std::string &text, uint64_t revision);
    void takeQuarantineAnswer(const FreshnessAnswer &answer);
    void compareQuarantine();
    void writeQuarantine(TimeMs now);
    void onQuarantineReply(const StoreReply &reply, TimeMs now);
    // Roll-outs (storerollouts.cpp).
    void takeRollouts(const OpenCall &open);
    void mergeRollouts(const RolloutsKnown &read, TimeMs readAt);
    void takeRolloutsAnswer(const FreshnessAnswer &answer, TimeMs sharedAt);
    DurationMs spread(DurationMs most); ///< By chance, less than `most`.
    DurationMs oldestBorrowed() const;
    void checkOwnEntry(TimeMs askedAt);
    uint64_t knownVersion() const; ///< Of the configuration; 0: none.
    void takeEndpoints(const OpenCall &open);
    void onLeaseReply(const OpenCall &open, const StoreReply &reply, TimeMs now);
    void loseLease(TimeMs now, const char *why);
    void registerSelf(TimeMs now);
    void stand(TimeMs now);
    void ask(TimeMs now);
    void noteStoreState(bool answered, TimeMs now);
    std::string ownLeaderValue() const;
    bool isEarlierLife(const std::string &leaderValue) const;
    bool mayStand(TimeMs now) const;
    void tellConfiguration(TimeMs askedAt, TimeMs now);
    // A store that comes back older (storeera.cpp).
    void enterEra(uint64_t era, TimeMs now);
    void noteFirstView(TimeMs now);
    void keepQuiet(TimeMs now);
    void tickEra(TimeMs now);
    bool isSettled() const;
    void settleEra(TimeMs now);
    bool knowsPresentEra() const { return sharedEra_ == era_ && endpointsEra_ == era_; }
    DurationMs quietTime() const;

    StoreSyncSettings settings_;
    DecisionLog &log_;
    Random random_;
    std::map<uint64_t, OpenCall> open_;
    std::vector<StoreCall> calls_;
    News news_;
    uint64_t nextCall_ = 1;

    TimeMs startedAt_;
    bool started_ = false;
    bool leaving_ = false;
    TimeMs sharedAt_; ///< Next read.
    TimeMs endpointsAt_;
    uint32_t failedReads_ = 0; ///< In a row.
    bool readsForAll_ = true;
    uint32_t slowReads_ = 0; ///< In a row, failed ones included.
    TimeMs newestShared_; ///< What is known was so in the store at or after this time.
    TimeMs newestEndpoints_;
    bool storeAnswers_ = false;
    bool sawConfiguration_ = true; ///< In the newest read; its absence is news.

    std::optional<Address> source_;
    TimeMs askAt_;
    struct OpenQuestion {
        TimeMs sentAt;
        Address to;
    };
    std::map<uint64_t, OpenQuestion> questions_;
    uint64_t nextQuestion_ = 1;
    struct Unanswered {
        uint32_t questions = 0; ///< In a row.
        TimeMs askedAt; ///< The newest.
    };
    std::map<Address, Unanswered> unanswered_;
    std::vector<Address> entries_; ///< That daemons which ask are told.
    uint64_t entriesDigest_ = 0;
    std::vector<Address> toldEntries_;
    uint64_t toldEntriesDigest_ = 0;
    std::vector<QuarantinedRequest> quarantine_; ///< As this daemon keeps it.
    uint64_t quarantineDigest_ = 0;
    uint64_t toldQuarantineDigest_ = 0;
    std::vector<QuarantinedRequest> storedQuarantine_; ///< As last known.
    std::vector<QuarantinedRequest> writtenQuarantine_; ///< By the own last write.
    uint64_t quarantineRevision_ = 0; ///< Of that key; 0: there is none.
    bool storeLacksQuarantine_ = false; ///< What this daemon keeps is to be written.
    TimeMs quarantineWriteAt_; ///< Not before.
    Rollouts rollouts_;
    uint64_t rolloutsDigest_ = 0;
    std::vector<Outgoing> outgoing_;
    ServingConfigurationPtr configuration_; ///< Of the newest read.
    uint64_t sharedDigest_ = 0;
    EndpointList endpoints_;

    uint64_t lease_ = 0;
    TimeMs leaseValidUntil_; ///< On our clock, counted from when the renewal was sent.
    TimeMs renewAt_;
    bool registered_ = false;
    TimeMs registeredAt_;
    TimeMs registerAt_;

    std::vector<MemberEntry> members_;
    size_t listed_ = 0;
    TimeMs sharedReadAt_;
    LeaderEntry leader_; ///< As last seen.
    bool leaderIsSelf_ = false;
    bool leaderIsEarlierLife_ = false; ///< The key is of a daemon that ran on this instance before.
    TimeMs standAt_; ///< Not before, if there is no leader.
    TimeMs takeBackAt_; ///< Not before, if this instance led in an earlier life.

    uint64_t era_ = 0; ///< Of the store; 0: it has stated none.
    TimeMs eraSeenAt_; ///< When it rose; zero: not since this daemon started.
    uint64_t sharedEra_ = 0; ///< Of the newest views.
    uint64_t endpointsEra_ = 0;
    uint64_t settledEra_ = 0; ///< As the store says.
    uint64_t storedVersion_ = 0; ///< Of the configuration, as the store had it last.
    bool recordsAreWhole_ = false;
    TimeMs settleAt_; ///< Not before.
    /// This daemon held the duties when the era rose: so long nobody else can have won them.
    std::optional<TimeMs> heldUntil_;
    TimeMs ledSince_; ///< Without a gap in which another one could have led; zero: it does not lead.
    TimeMs actsFrom_; ///< An earlier holder may act until then, whatever the store says.
    TimeMs firstViewAt_; ///< This daemon read the store for the first time.
    bool startedUnsettled_ = false; ///< It may have risen shortly before this daemon started.
    bool vouchedFor_ = false;
    uint64_t leastVersion_ = 0; ///< Of the configuration, as another daemon has seen it.
};

} // namespace cranberry
