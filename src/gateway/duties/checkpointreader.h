#pragma once

#include "gateway/decisionlog.h"
#include "gateway/gatewaycounters.h"
#include "gateway/limits/quotacheckpoint.h"
#include "gateway/store/storecalls.h"

#include <utility>

namespace cranberry {

/// Reads the checkpoint once after this daemon's start, and decides whether its balances are raised.
///
/// A daemon reads it when the store lists its instance as serving, or when it becomes the leader, which needs
/// the counts. Balances are raised only within the first seconds, after a conditional write of the mark.
/// Nothing waits for the replies: the daemon starts as without a checkpoint.
class CheckpointReader
{
public:
    CheckpointReader(const DaemonIdentity &self, GatewayCounters &counters, DecisionLog &log)
        : counters_(counters), log_(log)
    {
        daemon_.self = self;
    }

    /// What this daemon knows at a tick.
    struct Situation {
        uint64_t era = 0; ///< Of the store; 0: not known yet.
        int64_t wallMs = 0;
        bool isListedServing = false;
        bool leads = false;
    };
    void tick(const Situation &situation, const std::vector<DaemonIdentity> &heard, TimeMs now);
    void onStoreReply(const StoreReply &reply, TimeMs now);
    std::vector<StoreCall> takeStoreCalls() { return std::exchange(storeCalls_, {}); }

    /// The checkpoint was read, or could not be read: it may be replaced.
    bool hasRead() const { return step_ != Step::Start && step_ != Step::Reading; }
    bool isAwaitingProof() const { return step_ == Step::AwaitingProof; } ///< `tick` needs `heard`.
    bool isDone() const { return step_ == Step::Done; } ///< `tick` has no effect any more.
    /// Returns the checkpoint that the balances are to be raised by, once.
    std::optional<QuotaCheckpoint> takeUsable() { return std::exchange(usable_, {}); }

private:
    enum class Step : uint8_t { Start, Reading, AwaitingProof, Marking, Done };
    void read();
    void mark();
    void send(StoreCall call);
    void onRead(const StoreReply &reply, bool isLate);
    void onMarked(const StoreReply &reply);
    void use();
    void reject(CheckpointFault fault);

    GatewayCounters &counters_;
    DecisionLog &log_;
    StartingDaemon daemon_;
    std::optional<TimeMs> startedAt_;
    Step step_ = Step::Start;
    uint32_t attempts_ = 0; ///< Of the present step.
    uint64_t openCall_ = 0;
    uint64_t nextCall_ = 1;
    std::optional<QuotaCheckpoint> checkpoint_;
    uint64_t revision_ = 0;
    std::optional<CheckpointMark> mark_;
    uint64_t markRevision_ = 0; ///< 0: there is none.
    std::optional<QuotaCheckpoint> usable_;
    std::vector<StoreCall> storeCalls_;
};

} // namespace cranberry
