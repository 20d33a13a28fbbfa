#pragma once

#include "gateway/decisionlog.h"
#include "gateway/dutycalls.h"
#include "gateway/endpointfleet.h"
#include "gateway/storesync.h"

#include <deque>
#include <map>
#include <utility>

namespace cranberry {

/// Engines wanted in one failure domain.
struct DomainPlan {
    FailureDomainName failureDomain;
    uint32_t onDemand = 0;
    uint32_t reclaimable = 0;
};

/// What there is in one failure domain.
struct DomainStock {
    uint32_t onDemand = 0; ///< Ready, not leaving.
    uint32_t reclaimable = 0;
    uint32_t coming = 0; ///< Reclaimable ones that were ordered and accepted, and are not there yet.
    bool reclaimableShort = false; ///< None could be had lately.
};

/// What engines are planned for.
struct SizingQuestion {
    ServiceDemand demand;
    uint32_t known
        = 0; ///< Engines that were enough before; counts until the demand has been seen for a while.
    bool scarce = false; ///< Reclaimable ones can't be had in any domain.
};

/// How many engines each failure domain gets, for a demand. Without a network or a clock, for tests.
///
/// Reclaimable engines are taken where they are cheaper. A failure domain's reclaimable ones may go all at
/// once, so they are spread over all domains, and the rest must carry the demand without one domain. Where
/// none can be had, other domains get more. Where none can be had anywhere, the next reclaim may come before
/// new ones do: then engines on demand, in the cheapest domains, make up for one domain more.
std::vector<DomainPlan> planEngines(const ScalingBounds &bounds, const EngineFigures &engine,
                                    const SizingQuestion &question,
                                    const std::map<FailureDomainName, DomainStock> &stock);

/// Orders engines in the name of the duty's holder.
class EngineSizing
{
public:
    explicit EngineSizing(DecisionLog &log) : log_(log) { }

    void tick(const Leadership &leadership, const EndpointFleet &fleet,
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
        TimeMs shortUntil; ///< None could be had: not asked again before.
    };
    struct ServiceState {
        std::deque<std::pair<TimeMs, ServiceDemand>> samples;
        bool scarce = false;
        std::set<EndpointId> foundAtStart; ///< Engines that were there when this daemon began to lead.
        TimeMs foundAt; ///< The newest of them.
        std::optional<TimeMs> demandSince; ///< First seen.
    };
    bool isStillFinding(const ServedService &service, const EndpointFleet &fleet, TimeMs now);
    std::map<FailureDomainName, DomainStock> takeStock(const ServedService &service,
                                                       const EndpointFleet &fleet, TimeMs now);

    ServiceDemand peakDemand(const ServiceName &service, const ServiceDemand &demand, TimeMs now);
    void askAgain(const ServiceName &service);
    void order(const Subject &subject, uint32_t count, const ServiceDemand &demand,
               const Leadership &leadership, TimeMs now);

    DecisionLog &log_;
    std::map<ServiceName, ServiceState> services_;
    std::map<Subject, Ordered> ordered_;
    std::map<uint64_t, Subject> open_;
    std::set<EndpointId> reclaimSeen_; ///< Reclaimable engines that leave, each noticed once.
    std::vector<DutyCall> calls_;
    uint64_t nextCall_ = 1;
    uint64_t lastToken_ = 0;
    TimeMs nextAt_;
    TimeMs ledSince_;
};

} // namespace cranberry
