#pragma once

#include "gateway/decisionlog.h"
#include "gateway/duties/leadercalls.h"
#include "gateway/duties/usageledger.h"
#include "gateway/serving.h"
#include "gateway/store/storecalls.h"
#include "gateway/store/storesync.h"

#include <map>
#include <utility>

namespace cranberry {

/// Reports the usage of each window once.
///
/// The counts are written to the store under a condition before they are sent. A successor, or this daemon
/// after a lost reply, finds them there and sends the same counts, so that no two different reports of one
/// window can exist. Where the store may have lost what an earlier leader wrote, a window that may have been
/// reported is reported only with stored counts or not at all: a missing report can be requested later, but a
/// second, different one can't be taken back.
class UsageReporter
{
public:
    UsageReporter(DurationMs due, DecisionLog &log) : due_(due), log_(log) { }

    /// `reportInterval`: between two full reports of a daemon.
    void tick(const Leadership &leadership, const UsageLedger &ledger, DurationMs reportInterval,
              const ServingConfigurationPtr &configuration, TimeMs now);
    void onStoreReply(const StoreReply &reply, TimeMs now);
    void onLeaderReply(uint64_t id, LeaderCallOutcome outcome, TimeMs now);
    /// This daemon is the leader, and the store has a record of each window that is due.
    bool recordsComplete() const { return recordsComplete_; }

    /// Oldest window of which the store has no record yet, as far as this daemon knows.
    int64_t oldestUnrecorded(const UsageLedger &ledger, TimeMs now) const;

    std::vector<StoreCall> takeStoreCalls() { return std::exchange(storeCalls_, {}); }
    std::vector<LeaderCall> takeLeaderCalls() { return std::exchange(leaderCalls_, {}); }

private:
    enum class Step : uint8_t { Count, LookingUp, Writing, Send, Sending, Done };
    struct Window {
        Step step = Step::Count;
        TimeMs nextAt;
        std::map<OrganisationName, uint64_t> counts;
    };
    void chooseCounts(int64_t number, Window &window, const Leadership &leadership, const UsageLedger &ledger,
                      const ServingConfigurationPtr &configuration);
    void write(int64_t number, Window &window, const Leadership &leadership, TimeMs now);
    void onStored(int64_t number, Window &window, const std::string &text, TimeMs now);
    void send(int64_t number, Window &window, const Leadership &leadership, TimeMs now);

    DurationMs due_;
    std::optional<TimeMs> heldSince_;
    bool recordsComplete_ = false;
    DecisionLog &log_;
    std::map<int64_t, Window> windows_;
    /// Counts that this daemon has sent, including those from an earlier leadership: the store may have lost
    /// its record.
    std::map<int64_t, std::map<OrganisationName, uint64_t>> sent_;
    std::map<uint64_t, int64_t> calls_; ///< Window of each open call, by call id.
    std::vector<StoreCall> storeCalls_;
    std::vector<LeaderCall> leaderCalls_;
    uint64_t nextCall_ = 1;
};

} // namespace cranberry
