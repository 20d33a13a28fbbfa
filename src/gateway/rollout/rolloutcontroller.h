#pragma once

#include "gateway/decisionlog.h"
#include "gateway/rollout/versionevaluator.h"
#include "gateway/store/storecalls.h"
#include "gateway/store/storesync.h"

#include <utility>

namespace cranberry {

/// Operator settings that limit how many requests a bad version may get: `exposeShare` of all requests of the
/// service plus `exposeSlack` requests.
struct RolloutBounds {
    double exposeShare = 0.1; ///< Max share of the service's requests.
    double exposeSlack = 50; ///< Number of requests allowed in addition.
};

/// Observations of the leader about one roll-out.
struct RolloutObservations {
    uint32_t targetEndpoints = 0; ///< Target endpoints that take requests.
    /// Age of the third oldest of them, of fewer the youngest of the oldest half. At a daemon
    /// that started later: since its start.
    DurationMs targetAge;
    uint32_t otherEndpoints = 0;
    uint32_t slotsPerTarget
        = 0; ///< Planned concurrent requests of one target endpoint; 0: not a model engine.
    uint32_t runningElsewhere = 0; ///< Requests of all daemons that run on endpoints of other versions.
    std::set<SoftwareVersion> otherVersions; ///< Other versions that are listed.
    double requestsPerSecond = 0; ///< Request rate of the service; 0: unknown.
    bool isKnownService = true;
    bool isBad = false;
    bool isProven = false;
    VersionEvaluator::Figures figures;
};

/// Advances operators' roll-out orders through their stages while this daemon is the leader.
///
/// A stage takes effect once it is stored: all daemons follow the stored record, and a new leader continues
/// from it. A version may turn bad late, so the trial lasts as long as the ordered duration allows; the
/// remainder is reserved for the moving and emptying stages. Processes that replace crashed ones are watched
/// as long. No request is cut off to meet the deadline: a roll-out that is late is completed late.
class RolloutController
{
public:
    explicit RolloutController(DecisionLog &log) : log_(log) { }
    void setBounds(const RolloutBounds &bounds) { bounds_ = bounds; }

    /// `observations` has an entry for each service with an order or an undecided record.
    void tick(const Leadership &leadership, const StoreSync::Rollouts &rollouts,
              const std::map<ServiceName, RolloutObservations> &observations, int64_t wallMs, TimeMs now);
    void onStoreReply(const StoreReply &reply, TimeMs now);

    std::vector<StoreCall> takeStoreCalls() { return std::exchange(storeCalls_, {}); }
    /// Records that have just been stored, with their revisions.
    struct Written {
        RolloutRecord record;
        uint64_t revision = 0;
    };
    std::vector<Written> takeWritten() { return std::exchange(written_, {}); }

private:
    struct RolloutProgress {
        TimeMs nextAt;
        TimeMs emptySince; ///< Since when no request runs on other versions; zero: some do.
        uint64_t refusedOrder = 0; ///< Revision of the last order that was logged as refused.
    };
    RolloutRecord createRecord(const RolloutOrder &order, const RolloutRecord *before,
                               const RolloutObservations &observations, uint64_t era, int64_t wallMs) const;
    RolloutRecord nextRecord(const RolloutRecord &record, const RolloutObservations &observations,
                             RolloutProgress &service, int64_t wallMs, TimeMs now) const;
    double trialShare(const RolloutOrder &order, const RolloutObservations &observations) const;
    uint32_t loadRequests(const RolloutOrder &order, const RolloutObservations &observations) const;
    static DurationMs timeToMove(const RolloutRecord &record);
    static bool isTargetWatched(const RolloutRecord &record, const RolloutObservations &observations);
    bool mayMove(const RolloutRecord &record, const RolloutObservations &observations, int64_t wallMs) const;
    void refuse(const RolloutOrder &order, RolloutProgress &service);
    void write(const RolloutRecord &record, const RolloutObservations &observations, uint64_t storedRevision,
               const Leadership &leadership, RolloutProgress &service, TimeMs now);

    DecisionLog &log_;
    RolloutBounds bounds_;
    std::map<ServiceName, RolloutProgress> services_;
    std::map<uint64_t, RolloutRecord> calls_; ///< Records of the store calls in progress, by call id.
    std::vector<StoreCall> storeCalls_;
    std::vector<Written> written_;
    uint64_t nextCall_ = 1;
};

} // namespace cranberry
