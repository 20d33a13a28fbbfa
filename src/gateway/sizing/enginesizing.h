#pragma once

#include "gateway/decisionlog.h"
#include "gateway/duties/leadercalls.h"
#include "gateway/endpoints/endpointfleet.h"
#include "gateway/rollout/rolloutview.h"
#include "gateway/sizing/engineplan.h"
#include "gateway/store/storesync.h"

#include <deque>
#include <map>
#include <utility>

namespace cranberry {

/// Orders engines while this daemon is the leader.
class EngineSizing
{
public:
    /// `firstStart`: no daemon of the deployment has run before.
    EngineSizing(bool firstStart, DecisionLog &log) : firstStart_(firstStart), log_(log) { }

    void tick(const Leadership &leadership, const EndpointFleet &fleet, const RolloutView &rollouts,
              const std::map<ServiceName, ServiceDemand> &demand,
              const ServingConfigurationPtr &configuration, TimeMs now);
    void onReply(uint64_t id, DutyOutcome outcome, TimeMs now);
    std::vector<DutyCall> takeCalls() { return std::exchange(calls_, {}); }

private:
    struct Subject {
        ServiceName service;
        FailureDomainName failureDomain;
        bool reclaimable = false;
        friend std::strong_ordering operator<=>(const Subject &, const Subject &) = default;
    };
    struct Ordered {
        uint32_t count = 0;
        bool confirmed = false;
        TimeMs nextAt;
        TimeMs shortUntil; ///< End of the shortage that "none available" reported.
    };
    struct ServiceState {
        std::deque<std::pair<TimeMs, ServiceDemand>> samples;
        bool scarce = false;
        std::set<EndpointId> foundAtStart; ///< Engines found after this daemon became leader.
        TimeMs foundAt; ///< When the last of them was found.
        bool foundOnDemandOnly = false; ///< The first scan found no reclaimable engine.
        std::optional<TimeMs> demandSince; ///< When demand was first seen.
        std::map<FailureDomainName, DomainStock> toldStock; ///< Stock that was logged last.
        bool wasUnderWay = false; ///< A roll-out was in progress at the last tick.
    };
    bool isStillFinding(const ServedService &service, const EndpointFleet &fleet, TimeMs now);
    std::map<FailureDomainName, DomainStock> takeStock(const ServedService &service,
                                                       const EndpointFleet &fleet,
                                                       const RolloutView &rollouts, TimeMs now);
    static uint32_t mostOnTrial(const std::map<FailureDomainName, DomainStock> &stock);
    void noteRollout(const ServiceName &service, const RolloutView &rollouts);

    ServiceDemand peakDemand(const ServiceName &service, const ServiceDemand &demand, TimeMs now);
    void askAgain(const ServiceName &service);
    void noteStock(const ServiceName &service, const std::map<FailureDomainName, DomainStock> &stock);
    void order(const Subject &subject, uint32_t count, uint32_t there, const ServiceDemand &demand,
               const Leadership &leadership, TimeMs now);

    bool firstStart_;
    DecisionLog &log_;
    std::map<ServiceName, ServiceState> services_;
    std::map<Subject, Ordered> ordered_;
    std::map<uint64_t, Subject> open_;
    std::set<EndpointId> reclaimSeen_; ///< Reclaimable engines already seen leaving.
    std::vector<DutyCall> calls_;
    uint64_t nextCall_ = 1;
    uint64_t lastToken_ = 0;
    TimeMs nextAt_;
    TimeMs ledSince_;
};

} // namespace cranberry
