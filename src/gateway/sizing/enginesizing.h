#pragma once

#include "gateway/decisionlog.h"
#include "gateway/sizing/engineorders.h"
#include "gateway/sizing/enginestock.h"
#include "gateway/sizing/usualfigures.h"

#include <map>
#include <set>
#include <utility>

namespace cranberry {

/// Orders engines while this daemon is the leader.
class EngineSizing
{
public:
    /// `firstStart`: no daemon of the deployment has run before.
    EngineSizing(bool firstStart, DecisionLog &log) : firstStart_(firstStart), log_(log), orders_(log) { }

    void tick(const Leadership &leadership, const EndpointFleet &fleet, const RolloutView &rollouts,
              const std::map<ServiceName, ServiceDemand> &demand,
              const ServingConfigurationPtr &configuration, TimeMs now);
    void onReply(uint64_t id, LeaderCallOutcome outcome, TimeMs now) { orders_.onReply(id, outcome, now); }
    std::vector<LeaderCall> takeCalls() { return orders_.takeCalls(); }
    /// Returns the need and the orders in the Prometheus text format; empty unless this daemon has been the
    /// leader.
    std::string prometheusText() const;

private:
    struct ServiceState {
        UsualFigures usual;
        NeedHolder need;
        uint32_t loggedNeed = 0; ///< Held need that was logged last.
        uint32_t orderedEngines = 0; ///< Of all orders.
        bool scarce = false;
        std::set<EndpointId> enginesAtStart; ///< Engines found after this daemon became leader.
        TimeMs lastFoundAt; ///< When the last of them was found.
        bool foundOnDemandOnly = false; ///< The first scan found no reclaimable engine.
        std::optional<TimeMs> demandSince; ///< When demand was first seen.
        TimeMs busyAt; ///< When demand was last seen.
        std::map<FailureDomainName, DomainStock> lastStock;
        bool rolloutWasActive = false; ///< A roll-out was in progress at the last tick.
    };
    using Stock = std::map<FailureDomainName, DomainStock>;

    void planService(const ServedService &service, const EndpointFleet &fleet, const RolloutView &rollouts,
                     const ServiceDemand &demand, const Leadership &leadership, TimeMs now);
    SizingInput sizingInput(const ServedService &service, const Stock &stock, const ServiceDemand &demand,
                            TimeMs now);
    void order(const ServedService &service, const std::vector<DomainPlan> &plan, const Stock &stock,
               const SizingInput &input, bool mayStop, bool rollsOut, const Leadership &leadership,
               TimeMs now);
    bool isDiscovering(const ServedService &service, const EndpointFleet &fleet, TimeMs now);
    Stock countEngines(const ServedService &service, const EndpointFleet &fleet, const RolloutView &rollouts,
                       TimeMs now);
    void recordLosses(const ServiceName &service, const Stock &stock, TimeMs now);
    void resendAfterRollout(const ServiceName &service, const RolloutView &rollouts);
    void logStock(const ServiceName &service, const Stock &stock);
    void logNeed(const ServiceName &service, const SizingInput &input, const ServiceDemand &demand);

    bool firstStart_;
    DecisionLog &log_;
    EngineOrders orders_;
    std::map<ServiceName, ServiceState> services_;
    uint64_t lastToken_ = 0;
    TimeMs nextAt_;
    TimeMs leadingSince_;
};

} // namespace cranberry
