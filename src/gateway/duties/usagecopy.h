#pragma once

#include "gateway/decisionlog.h"
#include "gateway/duties/usageledger.h"
#include "gateway/gatewaycounters.h"
#include "gateway/store/storecalls.h"

#include <utility>

namespace cranberry {

/// A copy of all usage counts in the store, which alone is left when all daemons are killed at once.
///
/// One daemon writes it, usually the leader. Whoever begins to write reads first, and what another one has
/// written meanwhile comes back with the conflict. Both are merged, so two writers do no harm.
class UsageCopy
{
public:
    UsageCopy(GatewayCounters &counters, DecisionLog &log) : counters_(counters), log_(log) { }

    /// What a daemon knows when it writes.
    struct Situation {
        bool isWriter = false;
        int64_t oldestWindow = 0; ///< Older ones are not copied.
        uint64_t era = 0; ///< Of the store; 0: not stated.
    };
    void tick(const UsageLedger &ledger, const Situation &situation, TimeMs now);
    void onStoreReply(const StoreReply &reply, UsageLedger &ledger, TimeMs now);
    /// The counts that earlier writers left are in this daemon's ledger.
    bool hasRead() const { return hasRead_; }
    std::vector<StoreCall> takeStoreCalls() { return std::exchange(storeCalls_, {}); }

private:
    void read();
    void write(const UsageLedger &ledger, int64_t oldestWindow, TimeMs now);
    void take(const StoreReply &reply, UsageLedger &ledger, TimeMs now);
    void send(StoreCall call);

    GatewayCounters &counters_;
    DecisionLog &log_;
    bool hasRead_ = false;
    bool isReading_ = false; ///< The open call is the read.
    uint64_t revision_ = 0; ///< Of the key, as far as known.
    uint64_t writtenVersion_ = 0; ///< Of the ledger, in the last write that was acknowledged.
    uint64_t writingVersion_ = 0;
    uint64_t era_ = 0;
    TimeMs nextCallAt_;
    uint64_t openCall_ = 0; ///< 0: none.
    uint64_t nextCall_ = 1;
    std::vector<StoreCall> storeCalls_;
};

} // namespace cranberry
