#include "gateway/sizing/enginesizing.h"

#include <algorithm>
#include <fmt/format.h>

namespace cranberry {

namespace {

/// A new leader sends no order until no further engine has appeared for `DiscoveryQuietTime` (a usual
/// heartbeat interval), or until `MaxDiscoveryTime` is over.
constexpr DurationMs DiscoveryQuietTime{1500};
constexpr DurationMs MaxDiscoveryTime{5000};
/// The engines found at the start are kept for this time, because the demand is not known before. Those
/// stopped while the demand still rises take their cached prompts along, which are then prefilled again.
constexpr DurationMs LearningTime{30000};
/// A demand that vanishes is taken as lost for this time: the daemons that measured it may have been killed.
constexpr DurationMs IdleDelay = LearningTime;
/// Planning is cheap, and after a reclaim each attempt to find available engines waits for the next plan.
constexpr DurationMs PlanInterval{100};
/// Multiple of the need up to which orders are held for long, and raised by a new leader.
constexpr uint32_t MaxNeedFactor = 2;

} // namespace

void EngineSizing::tick(const Leadership &leadership, const EndpointFleet &fleet, const RolloutView &rollouts,
                        const std::map<ServiceName, ServiceDemand> &demand,
                        const ServingConfigurationPtr &configuration, TimeMs now)
{
    if (!leadership.held || !configuration || !fleet.hasList())
        return;
    if (leadership.fencingToken != lastToken_) {
        // Orders sent by another leader in the meantime are not known: send all orders again.
        lastToken_ = leadership.fencingToken;
        orders_.clear();
        services_.clear();
        leadingSince_ = now;
    }
    if (now < nextAt_)
        return;
    nextAt_ = now + PlanInterval;
    for (const ServedService &service : configuration->services) {
        if (!service.scaling || !service.engine)
            continue;
        const auto found = demand.find(service.name);
        planService(service, fleet, rollouts, found == demand.end() ? ServiceDemand{} : found->second,
                    leadership, now);
    }
}

void EngineSizing::planService(const ServedService &service, const EndpointFleet &fleet,
                               const RolloutView &rollouts, const ServiceDemand &demand,
                               const Leadership &leadership, TimeMs now)
{
    const Stock stock = countEngines(service, fleet, rollouts, now);
    const bool discovering = isDiscovering(service, fleet, now);
    const SizingInput input = sizingInput(service, stock, demand, now);
    const std::vector<DomainPlan> plan = planEngines(*service.scaling, input, stock);
    logNeed(service.name, input, demand);
    // At the first start on-demand engines are stopped as soon as the orders for cheaper ones were accepted:
    // no request runs yet, and the engines found need no complete count.
    const bool allAccepted = std::all_of(plan.begin(), plan.end(), [&](const DomainPlan &domain) {
        const DomainStock &have = stock.at(domain.failureDomain);
        return domain.onDemand == 0 && have.reclaimable + have.pendingReclaimable >= domain.reclaimable;
    });
    resendAfterRollout(service.name, rollouts);
    const bool mayStop = !discovering || (input.firstStart && input.isIdle && allAccepted);
    order(service, plan, stock, input, mayStop, rollouts.isUnderWay(service.name), leadership, now);
}

SizingInput EngineSizing::sizingInput(const ServedService &service, const Stock &stock,
                                      const ServiceDemand &demand, TimeMs now)
{
    ServiceState &state = services_[service.name];
    const DurationMs bootDelay = service.scaling->bootDelay;
    SizingInput input;
    input.scarce = state.scarce;
    if (!isIdle(demand)) {
        state.demandSince = state.demandSince.value_or(now);
        state.busyAt = now;
    }
    input.isIdle = !state.demandSince || now - state.busyAt > IdleDelay;
    if (!state.demandSince || now - *state.demandSince < LearningTime) {
        input.knownEngines = static_cast<uint32_t>(state.enginesAtStart.size());
        input.firstStart = firstStart_ && state.foundOnDemandOnly;
    }
    bool isShort = input.scarce;
    uint32_t left = 0;
    for (const std::pair<const FailureDomainName, DomainStock> &entry : stock) {
        isShort = isShort || entry.second.reclaimableShort;
        left += entry.second.reclaimable + entry.second.onDemand;
    }
    state.usual.update(*service.engine, demand, left, isShort, bootDelay, now);
    EngineLoss loss;
    loss.left = left;
    loss.lost = state.usual.recentlyLost(bootDelay, now);
    const EngineCapacity &capacity = state.usual.capacity();
    if (now == state.busyAt || input.isIdle) {
        const uint32_t need = enginesFor(offeredWork(demand, state.usual.missShare(), bootDelay), capacity);
        const ServiceQuality quality{demand.lateShare(), demand.latePerSecond, state.usual.isCalm()};
        state.need.update(need, quality, bootDelay, now);
    }
    state.need.holdAtLeast(needCoveredBy(input.knownEngines, static_cast<uint32_t>(stock.size())));
    input.need = state.need.recentNeed();
    input.heldNeed = state.need.heldNeed();
    input.refill = enginesFor({refillTokensPerSecond(demand, loss, *service.engine, bootDelay), 0}, capacity);
    return input;
}

// A new leader does not know its predecessor's orders. Until the engines ordered before are listed, it only
// orders more engines, and takes the fullest domain as the measure for the reclaimable ones of the others.
void EngineSizing::order(const ServedService &service, const std::vector<DomainPlan> &plan,
                         const Stock &stock, const SizingInput &input, bool mayStop, bool rollsOut,
                         const Leadership &leadership, TimeMs now)
{
    if (stock.empty())
        return;
    ServiceState &state = services_[service.name];
    const DurationMs bootDelay = service.scaling->bootDelay;
    const bool tooMany = input.knownEngines == 0 && state.orderedEngines > MaxNeedFactor * input.need;
    const DurationMs holdTime = tooMany ? bootDelay : fallDelay(bootDelay);
    const bool isNewLeader = now - leadingSince_ < bootDelay;
    const bool mayLower = !isNewLeader || (input.firstStart && input.isIdle);
    // A demand that begins under this leader is that of daemons whose means have just begun.
    const bool isDemandNew = state.demandSince && *state.demandSince > leadingSince_
        && now - *state.demandSince < fallDelay(bootDelay);
    const bool mayStopOnDemand = mayLower && (!isDemandNew || input.firstStart);
    const uint32_t floor
        = std::min(fullestDomain(stock), MaxNeedFactor * input.need / static_cast<uint32_t>(stock.size()));
    state.orderedEngines = 0;
    for (const DomainPlan &domain : plan) {
        const DomainStock &have = stock.at(domain.failureDomain);
        const OrderKey reclaimable{service.name, domain.failureDomain, true};
        const uint32_t atStart = isNewLeader ? std::max(floor, have.reclaimable) : 0;
        const uint32_t wanted = std::max(domain.reclaimable, atStart);
        const uint32_t count = orders_.hold(reclaimable, wanted, have.reclaimable, holdTime, bootDelay, now);
        if (mayLower || count > have.reclaimable)
            orders_.send(reclaimable, count, have.reclaimable, leadership, now);
        const OrderKey onDemand{service.name, domain.failureDomain, false};
        const uint32_t existing = have.onDemand + have.onTrial + have.barred;
        state.orderedEngines += count;
        if (rollsOut && domain.onDemand > have.onDemand) {
            orders_.send(onDemand, domain.onDemand + maxOnTrial(stock), existing, leadership, now);
        } else if (!rollsOut && mayStop && (mayStopOnDemand || domain.onDemand > existing)) {
            const uint32_t held = orders_.hold(onDemand, domain.onDemand, existing, {0}, bootDelay, now);
            state.orderedEngines += held;
            orders_.send(onDemand, held, existing, leadership, now);
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
EngineSizing::Stock EngineSizing::countEngines(const ServedService &service, const EndpointFleet &fleet,
                                               const RolloutView &rollouts, TimeMs now)
{
    Stock stock = countStock(service, fleet, rollouts);
    recordLosses(service.name, stock, now);
    size_t shortDomains = 0;
    for (std::pair<const FailureDomainName, DomainStock> &entry : stock) {
        const OrderKey order{service.name, entry.first, true};
        entry.second.reclaimableShort = orders_.isShort(order, now);
        shortDomains += entry.second.reclaimableShort ? 1 : 0;
        const uint32_t ordered = orders_.ordered(order).value_or(0);
        if (orders_.isConfirmed(order) && ordered > entry.second.reclaimable)
            entry.second.pendingReclaimable = ordered - entry.second.reclaimable;
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

// The first sign of a reclaim is that a domain has fewer reclaimable engines than before and than ordered:
// order replacements at once.
void EngineSizing::recordLosses(const ServiceName &service, const Stock &stock, TimeMs now)
{
    ServiceState &state = services_[service];
    uint32_t lost = 0;
    for (const std::pair<const FailureDomainName, DomainStock> &entry : stock) {
        const uint32_t have = entry.second.reclaimable;
        const uint32_t ordered = orders_.ordered({service, entry.first, true}).value_or(have);
        const uint32_t before = std::min(state.lastStock[entry.first].reclaimable, ordered);
        lost += before - std::min(before, have);
    }
    if (lost == 0)
        return;
    state.usual.enginesLost(lost, now);
    orders_.resendReclaimable(service);
}

// Engines ordered before a roll-out may be of a version that is stopped by its end: resend the orders.
void EngineSizing::resendAfterRollout(const ServiceName &service, const RolloutView &rollouts)
{
    const bool isUnderWay = rollouts.isUnderWay(service);
    if (std::exchange(services_[service].rolloutWasActive, isUnderWay) && !isUnderWay)
        orders_.resendReclaimable(service);
}

void EngineSizing::logStock(const ServiceName &service, const Stock &stock)
{
    ServiceState &state = services_[service];
    for (const std::pair<const FailureDomainName, DomainStock> &entry : stock) {
        DomainStock counts = entry.second;
        counts.slowReclaimable = counts.slowOnDemand = 0; // They change all the time.
        if (std::exchange(state.lastStock[entry.first], counts) == counts)
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

std::string EngineSizing::prometheusText() const
{
    std::string text;
    for (const std::pair<const ServiceName, ServiceState> &entry : services_) {
        const ServiceState &state = entry.second;
        text += fmt::format("cranberry_gateway_engines_needed{{service=\"{0}\"}} {1}\n"
                            "cranberry_gateway_engines_held{{service=\"{0}\"}} {2}\n"
                            "cranberry_gateway_engines_ordered{{service=\"{0}\"}} {3}\n",
                            entry.first.value, state.need.recentNeed(), state.need.heldNeed(),
                            state.orderedEngines);
    }
    return text;
}

void EngineSizing::logNeed(const ServiceName &service, const SizingInput &input, const ServiceDemand &demand)
{
    ServiceState &state = services_[service];
    if (std::exchange(state.loggedNeed, input.heldNeed) == input.heldNeed)
        return;
    log_.write(LogPriority::State, "engines_needed",
               {{"service", service.value},
                {"need", input.need},
                {"held_need", input.heldNeed},
                {"refill", input.refill},
                {"running", demand.running},
                {"own_tokens_per_s", demand.ownTokensPerSecond},
                {"shared_tokens_per_s", demand.sharedTokensPerSecond},
                {"prefill_tokens_per_s", demand.prefillTokensPerSecond},
                {"miss_share", state.usual.missShare()},
                {"engine_tokens_per_s", state.usual.capacity().tokensPerSecond},
                {"late_share", demand.lateShare()},
                {"calm", state.usual.isCalm()}});
}

} // namespace cranberry
