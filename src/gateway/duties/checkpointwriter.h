#pragma once

#include "gateway/decisionlog.h"
#include "gateway/gatewaycounters.h"
#include "gateway/limits/quotacheckpoint.h"
#include "gateway/limits/quotas.h"
#include "gateway/peers/peertable.h"
#include "gateway/store/storesync.h"

#include <utility>

namespace cranberry {

/// Key of the checkpoint in the archive space, and of the mark of its use. One list call reads both.
constexpr const char *CheckpointKeyPrefix = "quota/";
constexpr const char *CheckpointKey = "quota/checkpoint";
constexpr const char *CheckpointMarkKey = "quota/mark";

/// Balances of the serving daemons that this daemon knows.
struct ObservedBalances {
    struct Balance {
        double units = 0; ///< Lower bound of the sum.
        Quotas::Limit limit;
    };
    std::vector<DaemonIdentity> daemons; ///< Those that are included.
    size_t sharers = 1;
    std::map<OrganisationName, Balance> organisations;
};
ObservedBalances observeBalances(const ServingConfiguration &configuration, const Quotas &quotas,
                                 const PeerTable &peers, const DaemonIdentity &self, TimeMs now);

/// Writes checkpoints while this daemon is the leader: about once a second while something changes, and
/// sooner when the units of an organisation fall quickly. One write call each, and no reads.
class CheckpointWriter
{
public:
    CheckpointWriter(GatewayCounters &counters, DecisionLog &log) : counters_(counters), log_(log) { }

    /// Returns whether `tick` must be called now: observing the balances takes a walk over all reports.
    bool isDue(const Leadership &leadership, const PeerTable &peers, TimeMs now);
    void tick(const Leadership &leadership, const ObservedBalances &observed, uint64_t era, int64_t wallMs,
              TimeMs now);
    void onStoreReply(const StoreReply &reply, TimeMs now);
    std::vector<StoreCall> takeStoreCalls() { return std::exchange(storeCalls_, {}); }

private:
    struct UseSample {
        double units = 0;
        TimeMs at;
        std::optional<double> usedPerSecond;
    };
    void sampleUse(const ObservedBalances &observed, TimeMs now);
    bool hasChanged(const QuotaCheckpoint &next, const ObservedBalances &observed) const;
    bool hasFallen(const ObservedBalances &observed) const;
    void write(QuotaCheckpoint checkpoint, const Leadership &leadership, TimeMs now);

    GatewayCounters &counters_;
    DecisionLog &log_;
    std::optional<TimeMs> heldSince_;
    TimeMs observeAt_;
    DurationMs sampleInterval_;
    std::map<OrganisationName, UseSample> samples_;
    std::vector<DaemonIdentity> sampledDaemons_;
    QuotaCheckpoint written_; ///< Content of the last write.
    TimeMs writtenAt_; ///< Zero: none in this leadership.
    TimeMs nextWriteAt_;
    uint64_t revision_ = 0; ///< Of the checkpoint, as far as known.
    uint64_t openCall_ = 0; ///< 0: none.
    uint64_t nextCall_ = 1;
    bool isTooLarge_ = false; ///< The last checkpoint was, and this was logged.
    std::vector<StoreCall> storeCalls_;
};

} // namespace cranberry
