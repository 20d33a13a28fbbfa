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
    void onReply(uint64_t id, LeaderCallOutcome outcome, TimeMs now);
    std::vector<LeaderCall> takeCalls() { return std::exchange(calls_, {}); }

private:
    struct OrderKey {
        ServiceName service;
        FailureDomainName failureDomain;
        bool reclaimable = false;
        friend std::strong_ordering operator<=>(const OrderKey &, const OrderKey &) = default;
    };
    struct OrderState {
        uint32_t count = 0;
        bool confirmed = false;
        TimeMs nextAt;
        TimeMs shortUntil; ///< End of the shortage that "none available" reported.
    };
    struct ServiceState {
        std::deque<std::pair<TimeMs, ServiceDemand>> samples;
        bool scarce = false;
        std::set<EndpointId> enginesAtStart; ///< Engines found after this daemon became leader.
        TimeMs lastFoundAt; ///< When the last of them was found.
        bool foundOnDemandOnly = false; ///< The first scan found no reclaimable engine.
        std::optional<TimeMs> demandSince; ///< When demand was first seen.
        std::map<FailureDomainName, DomainStock> loggedStock; ///< Stock that was logged last.
        bool rolloutWasActive = false; ///< A roll-out was in progress at the last tick.
    };
    bool isDiscovering(const ServedService &service, const EndpointFleet &fleet, TimeMs now);
    std::map<FailureDomainName, DomainStock> countEngines(const ServedService &service,
                                                          const EndpointFleet &fleet,
                                                          const RolloutView &rollouts, TimeMs now);
    static uint32_t maxOnTrial(const std::map<FailureDomainName, DomainStock> &stock);
    void resendAfterRollout(const ServiceName &service, const RolloutView &rollouts);

    ServiceDemand peakDemand(const ServiceName &service, const ServiceDemand &demand, TimeMs now);
    void resendReclaimableOrders(const ServiceName &service);
    void logStock(const ServiceName &service, const std::map<FailureDomainName, DomainStock> &stock);
    void sendOrder(const OrderKey &subject, uint32_t count, uint32_t existing, const ServiceDemand &demand,
                   const Leadership &leadership, TimeMs now);

    bool firstStart_;
    DecisionLog &log_;
    std::map<ServiceName, ServiceState> services_;
    std::map<OrderKey, OrderState> ordered_;
    std::map<uint64_t, OrderKey> openCalls_;
    std::set<EndpointId> seenReclaims_; ///< Reclaimable engines already seen leaving.
    std::vector<LeaderCall> calls_;
    uint64_t nextCall_ = 1;
    uint64_t lastToken_ = 0;
    TimeMs nextAt_;
    TimeMs leadingSince_;
};

} // namespace cranberry
