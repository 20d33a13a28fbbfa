#include "gateway/sizing/enginesizing.h"

#include <algorithm>

namespace cranberry {

namespace {

/// A new leader sends no order until no further engine has appeared for `DiscoveryQuietTime` (a usual
/// heartbeat interval), or until `MaxDiscoveryTime` is over.
constexpr DurationMs FindingPause{1500};
constexpr DurationMs MostFindingTime{5000};
/// Engines are sized for the peak demand of this period: starting an engine takes seconds, and stopping one
/// may interrupt requests.
constexpr DurationMs PeakMemory{30000};
/// The engines found at the start are kept for this time, because the peak demand is not known before. With
/// half of it, a third of 90 engines were stopped while the demand was still rising, and the prompts cached
/// there were prefilled again.
constexpr DurationMs LearningTime = PeakMemory;
constexpr DurationMs SamplePace{500};
/// Planning is cheap, and after a reclaim each attempt to find available engines waits for the next plan.
constexpr DurationMs PlanPace{100};
/// Confirmed orders are resent at this interval, since the receiver may have lost them.
constexpr DurationMs RepeatPace{10000};
/// Resend interval while there are more engines than ordered. The platform starts on-demand engines by itself
/// where a domain falls below its minimum, and keeps them running; in 10 s each of them cost as much as five
/// reclaimable ones.
constexpr DurationMs CorrectionPace{1000};
constexpr DurationMs CallTimeout{1500};
constexpr DurationMs RetryPause{700};
/// Delay before an order is retried after the reply "none available".
constexpr DurationMs ShortagePause{1500};
/// Time after the last such reply during which the domain counts as short of reclaimable engines.
constexpr DurationMs ShortageMemory{4000};

} // namespace

ServiceDemand EngineSizing::peakDemand(const ServiceName &service, const ServiceDemand &demand, TimeMs now)
{
    std::deque<std::pair<TimeMs, ServiceDemand>> &samples = services_[service].samples;
    if (samples.empty() || now - samples.back().first >= SamplePace)
        samples.emplace_back(now, demand);
    while (now - samples.front().first > PeakMemory)
        samples.pop_front();
    ServiceDemand peak = demand;
    for (const std::pair<TimeMs, ServiceDemand> &sample : samples) {
        peak.prefillTokensPerSecond
            = std::max(peak.prefillTokensPerSecond, sample.second.prefillTokensPerSecond);
        peak.running = std::max(peak.running, sample.second.running);
    }
    return peak;
}

void EngineSizing::tick(const Leadership &leadership, const EndpointFleet &fleet, const RolloutView &rollouts,
                        const std::map<ServiceName, ServiceDemand> &demand,
                        const ServingConfigurationPtr &configuration, TimeMs now)
{
    if (!leadership.held || !configuration || !fleet.known())
        return;
    if (leadership.fencingToken != lastToken_) {
        // Orders sent by another leader in the meantime are not known: send all orders again.
        lastToken_ = leadership.fencingToken;
        ordered_.clear();
        open_.clear();
        services_.clear();
        reclaimSeen_.clear();
        ledSince_ = now;
    }
    if (now < nextAt_)
        return;
    nextAt_ = now + PlanPace;
    for (const ServedService &service : configuration->services) {
        if (!service.scaling || !service.engine)
            continue;
        const std::map<FailureDomainName, DomainStock> stock = takeStock(service, fleet, rollouts, now);
        const auto asked = demand.find(service.name);
        const ServiceDemand peak
            = peakDemand(service.name, asked == demand.end() ? ServiceDemand{} : asked->second, now);
        ServiceState &state = services_[service.name];
        const bool finding = isStillFinding(service, fleet, now);
        if (!state.demandSince && !isIdle(peak))
            state.demandSince = now;
        SizingQuestion question;
        question.demand = peak;
        question.scarce = state.scarce;
        if (!state.demandSince || now - *state.demandSince < LearningTime) {
            question.known = static_cast<uint32_t>(state.foundAtStart.size());
            question.firstStart = firstStart_ && state.foundOnDemandOnly;
        }
        const std::vector<DomainPlan> plan
            = planEngines(*service.scaling, engineCapacity(*service.engine, peak), question, stock);
        // At the first start on-demand engines are stopped as soon as the orders for cheaper ones were
        // accepted: no request runs yet, and the engines found need no complete count. Waiting for the count
        // cost as much as the cheaper engines cost in 15 s.
        const bool allComing = std::all_of(plan.begin(), plan.end(), [&](const DomainPlan &domain) {
            const DomainStock &have = stock.at(domain.failureDomain);
            return domain.onDemand == 0 && have.reclaimable + have.coming >= domain.reclaimable;
        });
        noteRollout(service.name, rollouts);
        const bool isUnderWay = rollouts.isUnderWay(service.name);
        const bool mayStop = !finding || (question.firstStart && isIdle(peak) && allComing);
        for (const DomainPlan &domain : plan) {
            const DomainStock &have = stock.at(domain.failureDomain);
            order({service.name, domain.failureDomain, true}, domain.reclaimable, have.reclaimable, peak,
                  leadership, now);
            const Subject onDemand{service.name, domain.failureDomain, false};
            const uint32_t there = have.onDemand + have.onTrial + have.barred;
            if (isUnderWay && domain.onDemand > have.onDemand)
                order(onDemand, domain.onDemand + mostOnTrial(stock), there, peak, leadership, now);
            else if (!isUnderWay && mayStop)
                order(onDemand, domain.onDemand, there, peak, leadership, now);
        }
    }
}

// At the first start entries are listed one by one over some heartbeats. An order sent before the last entry
// is listed would stop engines that have not been counted.
bool EngineSizing::isStillFinding(const ServedService &service, const EndpointFleet &fleet, TimeMs now)
{
    ServiceState &state = services_[service.name];
    const bool firstLook = state.foundAt.count == 0;
    if (firstLook) {
        state.foundAt = now;
        state.foundOnDemandOnly = true;
    }
    const bool over = now - ledSince_ > MostFindingTime || now - state.foundAt > FindingPause;
    if (over || state.demandSince)
        return false;
    for (const std::pair<const EndpointId, FleetEndpoint> &entry : fleet.all()) {
        const EndpointEntry &endpoint = entry.second.entry;
        // Reclaimable engines that appear later are those just ordered.
        const bool counts = firstLook || !endpoint.reclaimable;
        if (firstLook && endpoint.service == service.name && endpoint.reclaimable)
            state.foundOnDemandOnly = false;
        if (endpoint.service != service.name || endpoint.leaving || entry.second.gone || !counts)
            continue;
        if (state.foundAtStart.insert(entry.first).second)
            state.foundAt = now;
    }
    return true;
}

// Counts the engines of each domain and finds shortages. Scarcity lasts until every domain in shortage got
// its ordered engines: a domain that already has all it ordered does not show whether more are available.
std::map<FailureDomainName, DomainStock> EngineSizing::takeStock(const ServedService &service,
                                                                 const EndpointFleet &fleet,
                                                                 const RolloutView &rollouts, TimeMs now)
{
    const RolloutRecord *rollout = rollouts.undecided(service.name);
    std::map<FailureDomainName, DomainStock> stock;
    for (const std::pair<const FailureDomainName, double> &price : service.scaling->prices)
        stock[price.first] = {};
    for (const std::pair<const EndpointId, FleetEndpoint> &entry : fleet.all()) {
        const EndpointEntry &endpoint = entry.second.entry;
        if (endpoint.service != service.name)
            continue;
        if (endpoint.leaving || entry.second.gone) {
            // The first sign of a reclaim is that reclaimable engines leave without an order: order
            // replacements at once.
            if (endpoint.reclaimable && reclaimSeen_.insert(entry.first).second)
                askAgain(service.name);
            continue;
        }
        DomainStock &domain = stock[endpoint.failureDomain];
        const bool onTrial = rollout && rollout->target == endpoint.version;
        if (onTrial || !fleet.isInUse(entry.second)) {
            if (!endpoint.reclaimable)
                ++(onTrial ? domain.onTrial : domain.barred);
            continue;
        }
        ++(endpoint.reclaimable ? domain.reclaimable : domain.onDemand);
    }
    size_t shortDomains = 0;
    for (std::pair<const FailureDomainName, DomainStock> &entry : stock) {
        const Ordered &ordered = ordered_[{service.name, entry.first, true}];
        entry.second.reclaimableShort = now < ordered.shortUntil;
        shortDomains += entry.second.reclaimableShort ? 1 : 0;
        if (ordered.confirmed && ordered.count > entry.second.reclaimable)
            entry.second.coming = ordered.count - entry.second.reclaimable;
    }
    noteStock(service.name, stock);
    bool &scarce = services_[service.name].scarce;
    const bool before = scarce;
    scarce = shortDomains == stock.size() || (scarce && shortDomains > 0);
    if (scarce != before)
        log_.write(LogWeight::State, scarce ? "reclaimable_scarce" : "reclaimable_there_again",
                   {{"service", service.name.value}, {"short_domains", shortDomains}});
    return stock;
}

// Returns the largest number of engines on trial in any domain. Engines of a version being rolled out run on
// demand beside the others and may be listed late: an order for the listed number would stop those not listed
// yet. So during a roll-out only the additional engines of a shortage are ordered, and every domain is
// assumed to have as many engines on trial as the one with the most.
uint32_t EngineSizing::mostOnTrial(const std::map<FailureDomainName, DomainStock> &stock)
{
    uint32_t most = 0;
    for (const std::pair<const FailureDomainName, DomainStock> &domain : stock)
        most = std::max(most, domain.second.onTrial);
    return most;
}

// Engines ordered before a roll-out may be of a version that is stopped by its end: resend the orders.
void EngineSizing::noteRollout(const ServiceName &service, const RolloutView &rollouts)
{
    const bool isUnderWay = rollouts.isUnderWay(service);
    if (std::exchange(services_[service].wasUnderWay, isUnderWay) && !isUnderWay)
        askAgain(service);
}

void EngineSizing::noteStock(const ServiceName &service,
                             const std::map<FailureDomainName, DomainStock> &stock)
{
    ServiceState &state = services_[service];
    for (const std::pair<const FailureDomainName, DomainStock> &entry : stock) {
        if (std::exchange(state.toldStock[entry.first], entry.second) == entry.second)
            continue;
        log_.write(LogWeight::State, "engines_there",
                   {{"service", service.value},
                    {"failure_domain", entry.first.value},
                    {"on_demand", entry.second.onDemand},
                    {"reclaimable", entry.second.reclaimable},
                    {"coming", entry.second.coming},
                    {"on_trial", entry.second.onTrial},
                    {"barred", entry.second.barred},
                    {"reclaimable_short", entry.second.reclaimableShort}});
    }
}

void EngineSizing::askAgain(const ServiceName &service)
{
    for (std::pair<const Subject, Ordered> &entry : ordered_) {
        if (entry.first.service == service && entry.first.reclaimable)
            entry.second.confirmed = false;
    }
}

void EngineSizing::order(const Subject &subject, uint32_t count, uint32_t there, const ServiceDemand &demand,
                         const Leadership &leadership, TimeMs now)
{
    Ordered &ordered = ordered_[subject];
    if (now < ordered.nextAt)
        return;
    const DurationMs pace = there > count ? CorrectionPace : RepeatPace;
    if (ordered.confirmed && ordered.count == count && now < ordered.nextAt + pace)
        return;
    if (ordered.count != count)
        log_.write(LogWeight::State, "engines_ordered",
                   {{"service", subject.service.value},
                    {"failure_domain", subject.failureDomain.value},
                    {"reclaimable", subject.reclaimable},
                    {"count", count},
                    {"before", ordered.count},
                    {"running", demand.running},
                    {"prefill_tokens_per_s", demand.prefillTokensPerSecond}});
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
        ordered.shortUntil = now + ShortageMemory;
        ordered.nextAt = now + ShortagePause;
        log_.write(LogWeight::State, "engines_unavailable",
                   {{"service", found->second.service.value},
                    {"failure_domain", found->second.failureDomain.value}});
    }
    open_.erase(found);
}

} // namespace cranberry
