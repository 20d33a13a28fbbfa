#include "gateway/enginesizing.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cranberry {

namespace {

/// Reading speed of one engine that sizing counts on, and the part of it that is used:
/// queueing for the first token grows steeply beyond half of an engine's time.
constexpr double PrefillTokensPerSecond = 45'000;
constexpr double UsedPart = 0.4;
/// Requests that one engine runs side by side without lengthening its steps too much.
constexpr double RunningPart = 0.35;
/// The least there is of a service: one may be lost at any time.
constexpr uint32_t LeastEngines = 2;
constexpr uint32_t LeastEachDomain = 2;
/// With this part of the engines wanted the demand is still carried, with longer queues.
constexpr double TightPart = 0.7;
/// A new holder orders nothing until no new engine has come for a heartbeat of the usual length, or this
/// long.
constexpr DurationMs FindingPause{1500};
constexpr DurationMs MostFindingTime{5000};
constexpr double IdleRunning = 0.05; ///< Below this there is no demand yet.
/// Engines are kept for the highest demand of this long: starting one takes seconds, stopping one may cut
/// work.
constexpr DurationMs PeakMemory{30000};
/// So long engines are kept as they were found: before that the peak of the demand is not known. With half of
/// it, a third of 90 engines were stopped while the demand was still rising, and what they held was read
/// again.
constexpr DurationMs LearningTime = PeakMemory;
constexpr DurationMs SamplePace{500};
/// Planning is cheap, and each step of finding out what can be had after a reclaim waits for the next plan.
constexpr DurationMs PlanPace{100};
/// An order that is in force is said again now and then: the receiver may have lost it.
constexpr DurationMs RepeatPace{10000};
constexpr DurationMs CallTimeout{1500};
constexpr DurationMs RetryPause{700};
/// "None available" is asked again after this.
constexpr DurationMs ShortagePause{1500};
/// So long after the last such answer a domain counts as short.
constexpr DurationMs ShortageMemory{4000};

uint32_t enginesFor(const ServiceDemand &demand, const EngineFigures &engine)
{
    const double byPrefill = demand.prefillTokensPerSecond / (PrefillTokensPerSecond * UsedPart);
    const double byRunning = demand.running / (engine.slots * RunningPart);
    return static_cast<uint32_t>(std::ceil(std::max(byPrefill, byRunning)));
}

// Domains by price, cheapest first; those without a price are last.
std::vector<size_t> byPrice(const ScalingBounds &bounds, const std::vector<DomainPlan> &plan)
{
    std::vector<size_t> order(plan.size());
    for (size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    const auto priceOf = [&](size_t i) {
        const auto found = bounds.prices.find(plan[i].failureDomain);
        return found == bounds.prices.end() ? std::numeric_limits<double>::max() : found->second;
    };
    std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) { return priceOf(a) < priceOf(b); });
    return order;
}

} // namespace

std::vector<DomainPlan> planEngines(const ScalingBounds &bounds, const EngineFigures &engine,
                                    const SizingQuestion &question,
                                    const std::map<FailureDomainName, DomainStock> &stock)
{
    // Step 1. What the demand needs, and what each domain holds of it.
    std::vector<DomainPlan> plan;
    const uint32_t domains = static_cast<uint32_t>(stock.size());
    if (domains == 0)
        return plan;
    const uint32_t most = std::max(bounds.most, 1U);
    const uint32_t needed = std::clamp(enginesFor(question.demand, engine), LeastEngines, most * domains);
    const bool cheap = bounds.reclaimablePrice < 1;
    const uint32_t spread = domains > 1 ? (needed + domains - 2) / (domains - 1) : needed;
    const uint32_t knownEach = (question.known + domains - 1) / domains;
    const uint32_t each
        = std::clamp(std::max({spread, LeastEachDomain, knownEach}), std::max(bounds.least, 1U), most);
    uint32_t readyReclaimable = 0;
    uint32_t readyOnDemand = 0;
    uint32_t coming = 0;
    uint32_t fullestDomain = 0;
    for (const std::pair<const FailureDomainName, DomainStock> &entry : stock) {
        plan.push_back({entry.first, 0, 0});
        readyReclaimable += entry.second.reclaimable;
        readyOnDemand += entry.second.onDemand;
        coming += entry.second.coming;
        fullestDomain = std::max(fullestDomain, entry.second.reclaimable);
    }
    const std::vector<size_t> cheapest = byPrice(bounds, plan);

    // Step 2. Reclaimable ones: the same in each domain; what a short domain lacks goes to the others.
    uint32_t missing = 0;
    for (DomainPlan &domain : plan) {
        const DomainStock &have = stock.at(domain.failureDomain);
        domain.reclaimable = cheap ? each : 0;
        if (have.reclaimableShort)
            missing += each - std::min(each, have.reclaimable);
    }
    for (size_t i : cheapest) {
        if (!cheap || question.scarce || stock.at(plan[i].failureDomain).reclaimableShort)
            continue;
        const uint32_t more = std::min(missing, most - std::min(most, plan[i].reclaimable));
        plan[i].reclaimable += more;
        missing -= more;
    }

    // Step 3. On demand: all that is needed where there are no cheaper ones; where those are scarce, what
    // would be missing after the next reclaim. Else those that are there stay until the others carry the
    // demand; before there is any, that the others come is enough.
    const bool idle = question.demand.running < IdleRunning;
    uint32_t onDemand = 0;
    if (!cheap) {
        onDemand = needed;
    } else if (question.scarce) {
        const uint32_t tight = static_cast<uint32_t>(std::ceil(needed * TightPart));
        const uint32_t remaining = readyReclaimable - fullestDomain;
        onDemand = tight - std::min(tight, remaining);
    } else if (readyReclaimable + (idle ? coming : 0) < needed) {
        onDemand = std::min(readyOnDemand, needed);
    }
    for (size_t i : cheapest) {
        const uint32_t room = most - std::min(most, cheap ? stock.at(plan[i].failureDomain).reclaimable : 0);
        plan[i].onDemand = std::min(onDemand, std::max(room, cheap ? 0U : most));
        onDemand -= plan[i].onDemand;
    }
    return plan;
}

ServiceDemand EngineSizing::peakDemand(const ServiceName &service, const ServiceDemand &demand, TimeMs now)
{
    std::deque<std::pair<TimeMs, ServiceDemand>> &samples = services_[service].samples;
    if (samples.empty() || now - samples.back().first >= SamplePace)
        samples.emplace_back(now, demand);
    while (now - samples.front().first > PeakMemory)
        samples.pop_front();
    ServiceDemand peak;
    for (const std::pair<TimeMs, ServiceDemand> &sample : samples) {
        peak.prefillTokensPerSecond
            = std::max(peak.prefillTokensPerSecond, sample.second.prefillTokensPerSecond);
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
        const std::map<FailureDomainName, DomainStock> stock = takeStock(service, fleet, now);
        const auto asked = demand.find(service.name);
        const ServiceDemand peak
            = peakDemand(service.name, asked == demand.end() ? ServiceDemand{} : asked->second, now);
        ServiceState &state = services_[service.name];
        const bool finding = isStillFinding(service, fleet, now);
        if (!state.demandSince && peak.running > IdleRunning)
            state.demandSince = now;
        SizingQuestion question;
        question.demand = peak;
        question.scarce = state.scarce;
        if (!state.demandSince || now - *state.demandSince < LearningTime)
            question.known = static_cast<uint32_t>(state.foundAtStart.size());
        for (const DomainPlan &domain : planEngines(*service.scaling, *service.engine, question, stock)) {
            order({service.name, domain.failureDomain, true}, domain.reclaimable, peak, leadership, now);
            if (!finding)
                order({service.name, domain.failureDomain, false}, domain.onDemand, peak, leadership, now);
        }
    }
}

// At the first start entries come one by one over some heartbeats. An order before the last has come would
// stop engines that nobody has counted yet.
bool EngineSizing::isStillFinding(const ServedService &service, const EndpointFleet &fleet, TimeMs now)
{
    ServiceState &state = services_[service.name];
    const bool firstLook = state.foundAt.count == 0;
    if (firstLook)
        state.foundAt = now;
    const bool over = now - ledSince_ > MostFindingTime || now - state.foundAt > FindingPause;
    if (over || state.demandSince)
        return false;
    for (const std::pair<const EndpointId, FleetEndpoint> &entry : fleet.all()) {
        const EndpointEntry &endpoint = entry.second.entry;
        // Reclaimable ones that come later are those just ordered.
        const bool counts = firstLook || !endpoint.reclaimable;
        if (endpoint.service != service.name || endpoint.leaving || entry.second.gone || !counts)
            continue;
        if (state.foundAtStart.insert(entry.first).second)
            state.foundAt = now;
    }
    return true;
}

// What there is and what is short. Scarcity lasts until the last short domain got what was ordered: a domain
// that holds all it was ordered says nothing about whether there are more.
std::map<FailureDomainName, DomainStock> EngineSizing::takeStock(const ServedService &service,
                                                                 const EndpointFleet &fleet, TimeMs now)
{
    std::map<FailureDomainName, DomainStock> stock;
    for (const std::pair<const FailureDomainName, double> &price : service.scaling->prices)
        stock[price.first] = {};
    for (const std::pair<const EndpointId, FleetEndpoint> &entry : fleet.all()) {
        const EndpointEntry &endpoint = entry.second.entry;
        if (endpoint.service != service.name)
            continue;
        if (endpoint.leaving || entry.second.gone) {
            // A reclaim shows first as engines that leave unasked: ask for others at once.
            if (endpoint.reclaimable && reclaimSeen_.insert(entry.first).second)
                askAgain(service.name);
            continue;
        }
        DomainStock &domain = stock[endpoint.failureDomain];
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
    bool &scarce = services_[service.name].scarce;
    const bool before = scarce;
    scarce = shortDomains == stock.size() || (scarce && shortDomains > 0);
    if (scarce != before)
        log_.write(LogWeight::State, scarce ? "reclaimable_scarce" : "reclaimable_there_again",
                   {{"service", service.name.value}, {"short_domains", shortDomains}});
    return stock;
}

void EngineSizing::askAgain(const ServiceName &service)
{
    for (std::pair<const Subject, Ordered> &entry : ordered_) {
        if (entry.first.service == service && entry.first.reclaimable)
            entry.second.confirmed = false;
    }
}

void EngineSizing::order(const Subject &subject, uint32_t count, const ServiceDemand &demand,
                         const Leadership &leadership, TimeMs now)
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
