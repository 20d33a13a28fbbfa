#pragma once

#include "gateway/decisionlog.h"
#include "gateway/rollout/versionevaluator.h"
#include "gateway/store/storecalls.h"
#include "gateway/store/storesync.h"

#include <utility>

namespace cranberry {

/// Bounds that operators set for roll-outs.
struct RolloutBounds {
    double exposeShare = 0.1; ///< Of a service's requests, at most to a version that turns out bad...
    double exposeSlack = 50; ///< ...and so many besides.
};

/// What the holder sees of one roll-out.
struct RolloutFacts {
    uint32_t targetEndpoints = 0; ///< That take requests.
    uint32_t otherEndpoints = 0;
    uint32_t placesOfTarget
        = 0; ///< Of one endpoint, if requests there take long enough to fill them; else 0.
    uint32_t runningElsewhere = 0; ///< Requests at endpoints of other versions, of all daemons.
    std::set<SoftwareVersion> otherVersions; ///< That are listed.
    double requestsPerSecond = 0; ///< Of the service; 0: not known.
    bool isKnownService = true;
    bool isBad = false;
    bool isProven = false;
    VersionJudge::Figures figures;
};

/// Takes operators' orders through their stages, in the name of the duties' holder.
///
/// A stage is in force once it is stored: all daemons go by the record, and a successor goes on from it. The
/// trial lasts as long as the order's time allows, since a version may turn bad late: the rest is what moving
/// and emptying take. Nothing is cut off for the deadline: a roll-out that is late is completed late.
class RolloutDuty
{
public:
    explicit RolloutDuty(DecisionLog &log) : log_(log) { }
    void setBounds(const RolloutBounds &bounds) { bounds_ = bounds; }

    /// `facts`: of each service with an order or an undecided record.
    void tick(const Leadership &leadership, const StoreSync::Rollouts &rollouts,
              const std::map<ServiceName, RolloutFacts> &facts, int64_t wallMs, TimeMs now);
    void onStoreReply(const StoreReply &reply, TimeMs now);

    std::vector<StoreCall> takeStoreCalls() { return std::exchange(storeCalls_, {}); }
    /// Records that are stored now, with their revisions.
    struct Written {
        RolloutRecord record;
        uint64_t revision = 0;
    };
    std::vector<Written> takeWritten() { return std::exchange(written_, {}); }

private:
    struct Service {
        TimeMs nextAt;
        TimeMs emptySince; ///< Nothing has run at the others since; zero: something does.
        uint64_t toldOrder = 0; ///< Refused in the log.
    };
    RolloutRecord begin(const RolloutOrder &order, const RolloutRecord *before, const RolloutFacts &facts,
                        uint64_t era, int64_t wallMs) const;
    RolloutRecord next(const RolloutRecord &record, const RolloutFacts &facts, Service &service,
                       int64_t wallMs, TimeMs now) const;
    double trialShare(const RolloutOrder &order, const RolloutFacts &facts) const;
    uint32_t loadRequests(const RolloutOrder &order, const RolloutFacts &facts) const;
    static DurationMs timeToMove(const RolloutRecord &record);
    bool mayMove(const RolloutRecord &record, const RolloutFacts &facts, int64_t wallMs) const;
    void refuse(const RolloutOrder &order, Service &service);
    void write(const RolloutRecord &record, const RolloutFacts &facts, uint64_t storedRevision,
               const Leadership &leadership, Service &service, TimeMs now);

    DecisionLog &log_;
    RolloutBounds bounds_;
    std::map<ServiceName, Service> services_;
    std::map<uint64_t, RolloutRecord> calls_; ///< Open ones, with what they write.
    std::vector<StoreCall> storeCalls_;
    std::vector<Written> written_;
    uint64_t nextCall_ = 1;
};

} // namespace cranberry
