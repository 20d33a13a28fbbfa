#include "gateway/sizing/enginesizing.h"

#include <algorithm>

namespace cranberry {

namespace {

/// A new leader sends no order until no further engine has appeared for `DiscoveryQuietTime` (a usual
/// heartbeat interval), or until `MaxDiscoveryTime` is over.
constexpr DurationMs DiscoveryQuietTime{1500};
constexpr DurationMs MaxDiscoveryTime{5000};
/// Engines are sized for the peak demand of this period: starting an engine takes seconds, and stopping one
/// may interrupt requests.
constexpr DurationMs PeakWindow{30000};
/// The engines found at the start are kept for this time, because the peak demand is not known before. Those
/// stopped while the demand still rises take their cached prompts along, which are then prefilled again.
constexpr DurationMs LearningTime = PeakWindow;
constexpr DurationMs SampleInterval{500};
/// Planning is cheap, and after a reclaim each attempt to find available engines waits for the next plan.
constexpr DurationMs PlanInterval{100};
/// Confirmed orders are resent at this interval, since the receiver may have lost them.
constexpr DurationMs ResendInterval{10000};
/// Resend interval while there are more engines than ordered. The platform starts on-demand engines by itself
/// where a domain falls below its minimum, and keeps them running; in 10 s each of them cost as much as five
/// reclaimable ones.
constexpr DurationMs CorrectionInterval{1000};
constexpr DurationMs CallTimeout{1500};
constexpr DurationMs RetryPause{700};
/// Delay before an order is retried after the reply "none available".
constexpr DurationMs ShortageRetryPause{1500};
/// Time after the last such reply during which the domain counts as short of reclaimable engines.
constexpr DurationMs ShortageDuration{4000};

} // namespace

ServiceDemand EngineSizing::peakDemand(const ServiceName &service, const ServiceDemand &demand, TimeMs now)
{
    std::deque<std::pair<TimeMs, ServiceDemand>> &samples = services_[service].samples;
    if (samples.empty() || now - samples.back().first >= SampleInterval)
        samples.emplace_back(now, demand);
    while (now - samples.front().first > PeakWindow)
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
    if (!leadership.held || !configuration || !fleet.hasList())
        return;
    if (leadership.fencingToken != lastToken_) {
        // Orders sent by another leader in the meantime are not known: send all orders again.
        lastToken_ = leadership.fencingToken;
        ordered_.clear();
        openCalls_.clear();
        services_.clear();
        seenReclaims_.clear();
        leadingSince_ = now;
    }
    if (now < nextAt_)
        return;
    nextAt_ = now + PlanInterval;
    for (const ServedService &service : configuration->services) {
        if (!service.scaling || !service.engine)
            continue;
        const std::map<FailureDomainName, DomainStock> stock = countEngines(service, fleet, rollouts, now);
        const auto demandEntry = demand.find(service.name);
        const ServiceDemand peak = peakDemand(
            service.name, demandEntry == demand.end() ? ServiceDemand{} : demandEntry->second, now);
        ServiceState &state = services_[service.name];
        const bool discovering = isDiscovering(service, fleet, now);
        if (!state.demandSince && !isIdle(peak))
            state.demandSince = now;
        SizingInput input;
        input.demand = peak;
        input.scarce = state.scarce;
        if (!state.demandSince || now - *state.demandSince < LearningTime) {
            input.knownEngines = static_cast<uint32_t>(state.enginesAtStart.size());
            input.firstStart = firstStart_ && state.foundOnDemandOnly;
        }
        const std::vector<DomainPlan> plan
            = planEngines(*service.scaling, engineCapacity(*service.engine, peak), input, stock);
        // At the first start on-demand engines are stopped as soon as the orders for cheaper ones were
        // accepted: no request runs yet, and the engines found need no complete count. Waiting for the count
        // cost as much as the cheaper engines cost in 15 s.
        const bool allAccepted = std::all_of(plan.begin(), plan.end(), [&](const DomainPlan &domain) {
            const DomainStock &have = stock.at(domain.failureDomain);
            return domain.onDemand == 0 && have.reclaimable + have.pendingReclaimable >= domain.reclaimable;
        });
        resendAfterRollout(service.name, rollouts);
        const bool isUnderWay = rollouts.isUnderWay(service.name);
        const bool mayStop = !discovering || (input.firstStart && isIdle(peak) && allAccepted);
        for (const DomainPlan &domain : plan) {
            const DomainStock &have = stock.at(domain.failureDomain);
            sendOrder({service.name, domain.failureDomain, true}, domain.reclaimable, have.reclaimable, peak,
                      leadership, now);
            const OrderKey onDemand{service.name, domain.failureDomain, false};
            const uint32_t existing = have.onDemand + have.onTrial + have.barred;
            if (isUnderWay && domain.onDemand > have.onDemand)
                sendOrder(onDemand, domain.onDemand + maxOnTrial(stock), existing, peak, leadership, now);
            else if (!isUnderWay && mayStop)
                sendOrder(onDemand, domain.onDemand, existing, peak, leadership, now);
        }
    }
}

// At the first start entries are listed one by one over some heartbeats. An order sent before the last entry
// is listed would stop engines that have not been counted.
bool EngineSizing::isDiscovering(const ServedService &service, const EndpointFleet &fleet, TimeMs now)
{
    ServiceState &state = services_[service.name];
    const bool isFirstScan = state.lastFoundAt.count == 0;
    if (isFirstScan) {
        state.lastFoundAt = now;
        state.foundOnDemandOnly = true;
    }
    const bool over = now - leadingSince_ > MaxDiscoveryTime || now - state.lastFoundAt > DiscoveryQuietTime;
    if (over || state.demandSince)
        return false;
    for (const std::pair<const EndpointId, FleetEndpoint> &entry : fleet.all()) {
        const EndpointEntry &endpoint = entry.second.entry;
        // Reclaimable engines that appear later are those just ordered.
        const bool counts = isFirstScan || !endpoint.reclaimable;
        if (isFirstScan && endpoint.service == service.name && endpoint.reclaimable)
            state.foundOnDemandOnly = false;
        if (endpoint.service != service.name || endpoint.leaving || entry.second.gone || !counts)
            continue;
        if (state.enginesAtStart.insert(entry.first).second)
            state.lastFoundAt = now;
    }
    return true;
}

// Counts the engines of each domain and finds shortages. Scarcity lasts until every domain in shortage got
// its ordered engines: a domain that already has all it ordered does not show whether more are available.
std::map<FailureDomainName, DomainStock> EngineSizing::countEngines(const ServedService &service,
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
            if (endpoint.reclaimable && seenReclaims_.insert(entry.first).second)
                resendReclaimableOrders(service.name);
            continue;
        }
        DomainStock &domain = stock[endpoint.failureDomain];
        const bool onTrial = rollout && rollout->target == endpoint.version;
        if (onTrial || !fleet.isVersionActive(entry.second)) {
            if (!endpoint.reclaimable)
                ++(onTrial ? domain.onTrial : domain.barred);
            continue;
        }
        ++(endpoint.reclaimable ? domain.reclaimable : domain.onDemand);
    }
    size_t shortDomains = 0;
    for (std::pair<const FailureDomainName, DomainStock> &entry : stock) {
        const OrderState &ordered = ordered_[{service.name, entry.first, true}];
        entry.second.reclaimableShort = now < ordered.shortUntil;
        shortDomains += entry.second.reclaimableShort ? 1 : 0;
        if (ordered.confirmed && ordered.count > entry.second.reclaimable)
            entry.second.pendingReclaimable = ordered.count - entry.second.reclaimable;
    }
    logStock(service.name, stock);
    bool &scarce = services_[service.name].scarce;
    const bool before = scarce;
    scarce = shortDomains == stock.size() || (scarce && shortDomains > 0);
    if (scarce != before)
        log_.write(LogPriority::State, scarce ? "reclaimable_scarce" : "reclaimable_there_again",
                   {{"service", service.name.value}, {"short_domains", shortDomains}});
    return stock;
}

// Returns the largest number of engines on trial in any domain. Engines of a version being rolled out run on
// demand beside the others and may be listed late: an order for the listed number would stop those not listed
// yet. So during a roll-out only the additional engines of a shortage are ordered, and every domain is
// assumed to have as many engines on trial as the one with the most.
uint32_t EngineSizing::maxOnTrial(const std::map<FailureDomainName, DomainStock> &stock)
{
    uint32_t highest = 0;
    for (const std::pair<const FailureDomainName, DomainStock> &domain : stock)
        highest = std::max(highest, domain.second.onTrial);
    return highest;
}

// Engines ordered before a roll-out may be of a version that is stopped by its end: resend the orders.
void EngineSizing::resendAfterRollout(const ServiceName &service, const RolloutView &rollouts)
{
    const bool isUnderWay = rollouts.isUnderWay(service);
    if (std::exchange(services_[service].rolloutWasActive, isUnderWay) && !isUnderWay)
        resendReclaimableOrders(service);
}

void EngineSizing::logStock(const ServiceName &service, const std::map<FailureDomainName, DomainStock> &stock)
{
    ServiceState &state = services_[service];
    for (const std::pair<const FailureDomainName, DomainStock> &entry : stock) {
        if (std::exchange(state.loggedStock[entry.first], entry.second) == entry.second)
            continue;
        log_.write(LogPriority::State, "engines_there",
                   {{"service", service.value},
                    {"failure_domain", entry.first.value},
                    {"on_demand", entry.second.onDemand},
                    {"reclaimable", entry.second.reclaimable},
                    {"coming", entry.second.pendingReclaimable},
                    {"on_trial", entry.second.onTrial},
                    {"barred", entry.second.barred},
                    {"reclaimable_short", entry.second.reclaimableShort}});
    }
}

void EngineSizing::resendReclaimableOrders(const ServiceName &service)
{
    for (std::pair<const OrderKey, OrderState> &entry : ordered_) {
        if (entry.first.service == service && entry.first.reclaimable)
            entry.second.confirmed = false;
    }
}

void EngineSizing::sendOrder(const OrderKey &subject, uint32_t count, uint32_t existing,
                             const ServiceDemand &demand, const Leadership &leadership, TimeMs now)
{
    OrderState &ordered = ordered_[subject];
    if (now < ordered.nextAt)
        return;
    const DurationMs interval = existing > count ? CorrectionInterval : ResendInterval;
    if (ordered.confirmed && ordered.count == count && now < ordered.nextAt + interval)
        return;
    if (ordered.count != count)
        log_.write(LogPriority::State, "engines_ordered",
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
    LeaderCall call;
    call.id = nextCall_++;
    call.fencingToken = leadership.fencingToken;
    call.timeout = std::min(CallTimeout, leadership.validUntil - now);
    call.order = EngineOrder{subject.service, subject.failureDomain, count, subject.reclaimable};
    openCalls_[call.id] = subject;
    calls_.push_back(std::move(call));
}

void EngineSizing::onReply(uint64_t id, LeaderCallOutcome outcome, TimeMs now)
{
    const auto found = openCalls_.find(id);
    if (found == openCalls_.end())
        return;
    OrderState &ordered = ordered_[found->second];
    ordered.confirmed = outcome == LeaderCallOutcome::Done;
    ordered.nextAt = now + (ordered.confirmed ? DurationMs{0} : RetryPause);
    if (outcome == LeaderCallOutcome::NoneAvailable) {
        ordered.shortUntil = now + ShortageDuration;
        ordered.nextAt = now + ShortageRetryPause;
        log_.write(LogPriority::State, "engines_unavailable",
                   {{"service", found->second.service.value},
                    {"failure_domain", found->second.failureDomain.value}});
    }
    openCalls_.erase(found);
}

} // namespace cranberry
