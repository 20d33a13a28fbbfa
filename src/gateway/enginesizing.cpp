#include "gateway/enginesizing.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Reading speed of one engine that sizing counts on, and the part of it that is used: queueing for the first
/// token grows steeply beyond half of an engine's time.
constexpr double PrefillTokensPerSecond = 45'000;
constexpr double UsedPart = 0.4;
/// Requests that one engine runs side by side without lengthening its steps too much.
constexpr double RunningPart = 0.35;
/// Engines are kept for the highest demand of this long: starting one takes seconds, stopping one may cut work.
constexpr DurationMs PeakMemory{30000};
constexpr DurationMs PlanPace{500};
/// An order that is in force is said again now and then: the receiver may have lost it.
constexpr DurationMs RepeatPace{10000};
constexpr DurationMs CallTimeout{1500};
constexpr DurationMs RetryPause{700};
/// "None available" is asked again after this.
constexpr DurationMs ShortagePause{2000};

uint32_t enginesFor(const ServiceDemand &demand, const EngineFigures &engine)
{
    const double byPrefill = demand.prefillTokensPerSecond / (PrefillTokensPerSecond * UsedPart);
    const double byRunning = demand.running / (engine.slots * RunningPart);
    return static_cast<uint32_t>(std::ceil(std::max(byPrefill, byRunning)));
}

} // namespace

std::vector<DomainPlan> planEngines(const ScalingBounds &bounds, const EngineFigures &engine,
                                    const ServiceDemand &demand,
                                    const std::map<FailureDomainName, DomainStock> &stock)
{
    std::vector<DomainPlan> plan;
    const uint32_t domains = static_cast<uint32_t>(stock.size());
    if (domains == 0)
        return plan;
    const uint32_t needed = std::max<uint32_t>(enginesFor(demand, engine), 1);
    const bool cheap = bounds.reclaimablePrice < 1;
    // Enough for the demand when one domain's engines are gone.
    const uint32_t spread = domains > 1 ? (needed + domains - 2) / (domains - 1) : needed;
    const uint32_t each = std::clamp(std::max(spread, 2U), std::max(bounds.least, 1U), std::max(bounds.most, 1U));
    uint32_t ready = 0;
    for (const std::pair<const FailureDomainName, DomainStock> &entry : stock)
        ready += entry.second.reclaimable;
    for (const std::pair<const FailureDomainName, DomainStock> &entry : stock) {
        DomainPlan domain;
        domain.failureDomain = entry.first;
        domain.reclaimable = cheap ? each : 0;
        // Until enough reclaimable ones serve, those on demand stay. Where none can be had, they fill up.
        const uint32_t missing = each - std::min(each, entry.second.reclaimable);
        if (!cheap)
            domain.onDemand = each;
        else if (ready < needed)
            domain.onDemand = std::min(entry.second.onDemand, bounds.most - std::min(bounds.most, each));
        if (cheap && entry.second.reclaimableShort && ready < needed)
            domain.onDemand = std::max(domain.onDemand, std::min(missing, bounds.most - std::min(bounds.most, entry.second.reclaimable)));
        plan.push_back(domain);
    }
    return plan;
}

ServiceDemand EngineSizing::peakDemand(const ServiceName &service, const ServiceDemand &demand, TimeMs now)
{
    std::deque<std::pair<TimeMs, ServiceDemand>> &samples = history_[service].samples;
    samples.emplace_back(now, demand);
    while (now - samples.front().first > PeakMemory)
        samples.pop_front();
    ServiceDemand peak;
    for (const std::pair<TimeMs, ServiceDemand> &sample : samples) {
        peak.prefillTokensPerSecond = std::max(peak.prefillTokensPerSecond, sample.second.prefillTokensPerSecond);
        peak.running = std::max(peak.running, sample.second.running);
    }
    return peak;
}

void EngineSizing::tick(const Leadership &leadership, const EndpointFleet &fleet,
                        const std::map<ServiceName, ServiceDemand> &demand,
                        const ServingConfigurationPtr &configuration, TimeMs now)
{
    if (!leadership.held || !configuration || !fleet.known())
        return;
    if (leadership.fencingToken != lastToken_) {
        // What another holder ordered meanwhile is not known: all is said again.
        lastToken_ = leadership.fencingToken;
        ordered_.clear();
        open_.clear();
        history_.clear();
    }
    if (now < nextAt_)
        return;
    nextAt_ = now + PlanPace;
    for (const ServedService &service : configuration->services) {
        if (!service.scaling || !service.engine)
            continue;
        std::map<FailureDomainName, DomainStock> stock;
        for (const std::pair<const FailureDomainName, double> &price : service.scaling->prices)
            stock[price.first] = {};
        for (const std::pair<const EndpointId, FleetEndpoint> &entry : fleet.all()) {
            const EndpointEntry &endpoint = entry.second.entry;
            if (endpoint.service != service.name || endpoint.leaving || entry.second.gone)
                continue;
            DomainStock &domain = stock[endpoint.failureDomain];
            ++(endpoint.reclaimable ? domain.reclaimable : domain.onDemand);
        }
        for (std::pair<const FailureDomainName, DomainStock> &entry : stock)
            entry.second.reclaimableShort = now < ordered_[{service.name, entry.first, true}].shortUntil;
        const auto asked = demand.find(service.name);
        const ServiceDemand peak
            = peakDemand(service.name, asked == demand.end() ? ServiceDemand{} : asked->second, now);
        for (const DomainPlan &domain : planEngines(*service.scaling, *service.engine, peak, stock)) {
            order({service.name, domain.failureDomain, true}, domain.reclaimable, leadership, now);
            order({service.name, domain.failureDomain, false}, domain.onDemand, leadership, now);
        }
    }
}

void EngineSizing::order(const Subject &subject, uint32_t count, const Leadership &leadership, TimeMs now)
{
    Ordered &ordered = ordered_[subject];
    if (now < ordered.nextAt)
        return;
    if (ordered.confirmed && ordered.count == count && now < ordered.nextAt + RepeatPace)
        return;
    if (ordered.count != count)
        log_.write(LogWeight::State, "engines_ordered",
                   {{"service", subject.service.value},
                    {"failure_domain", subject.failureDomain.value},
                    {"reclaimable", subject.reclaimable},
                    {"count", count},
                    {"before", ordered.count}});
    ordered.count = count;
    ordered.confirmed = false;
    ordered.nextAt = now + CallTimeout + RetryPause;
    DutyCall call;
    call.id = nextCall_++;
    call.fencingToken = leadership.fencingToken;
    call.timeout = std::min(CallTimeout, leadership.validUntil - now);
    call.order = EngineOrder{subject.service, subject.failureDomain, count, subject.reclaimable};
    open_[call.id] = subject;
    calls_.push_back(std::move(call));
}

void EngineSizing::onReply(uint64_t id, DutyOutcome outcome, TimeMs now)
{
    const auto found = open_.find(id);
    if (found == open_.end())
        return;
    Ordered &ordered = ordered_[found->second];
    ordered.confirmed = outcome == DutyOutcome::Done;
    ordered.nextAt = now + (ordered.confirmed ? DurationMs{0} : RetryPause);
    if (outcome == DutyOutcome::NoneAvailable) {
        ordered.shortUntil = now + ShortagePause * 2;
        ordered.nextAt = now + ShortagePause;
        log_.write(LogWeight::State, "engines_unavailable",
                   {{"service", found->second.service.value}, {"failure_domain", found->second.failureDomain.value}});
    }
    open_.erase(found);
}

} // namespace cranberry
