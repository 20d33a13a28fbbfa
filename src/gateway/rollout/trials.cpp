// Roll-outs at each daemon: selects the version for a request, records the outcome, and evaluates the version
// on trial.

#include "gateway/gateway.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

constexpr DurationMs EvaluationInterval{250};
/// Events after which the mean interval between a stream's events is evaluated.
constexpr uint64_t MinIntervalEvents = 6;
/// Full responses shorter than this vary for reasons outside the endpoint.
constexpr double MinResponseMs = 10;
/// First events are compared with the time to prefill the whole prompt. Cached parts make an endpoint faster,
/// and missing ones are no fault of its version.
constexpr double MinFirstEventRatio = 1;
constexpr double MinEventIntervalMs = 1;
constexpr uint64_t ShareResolution = 10'000;
/// Endpoints on trial have empty caches and prefill several times as much as the others, so the load is
/// shared by this multiple of the endpoints. With only as many as the other versions need, first events would
/// be late.
constexpr double ColdEndpointFactor = 2;
/// Min endpoints on trial, so that one endpoint that is bad for its own reasons does not decide about the
/// version.
constexpr size_t MinTrialEndpoints = 3;
/// A request may load an endpoint if its prefill takes less than its latency target divided by this.
constexpr double LoadPrefillDivisor = 10;
/// An endpoint counts as loaded from this share of the concurrent requests that sizing plans for an engine.
constexpr double LoadedShare = 0.5;

/// Returns the age of the third oldest endpoint, or of the youngest of the oldest half of fewer.
DurationMs ageOfOldest(std::vector<TimeMs> &knownSince, TimeMs now)
{
    const size_t rank = std::min(MinTrialEndpoints, (knownSince.size() + 1) / 2) - 1;
    std::nth_element(knownSince.begin(), knownSince.begin() + static_cast<std::ptrdiff_t>(rank),
                     knownSince.end());
    return now - knownSince[rank];
}

bool isSampled(const std::string &requestId, const SoftwareVersion &target, double share)
{
    const uint64_t at = rendezvousWeight(requestId, EndpointId{target.value}) % ShareResolution;
    return static_cast<double>(at) < share * static_cast<double>(ShareResolution);
}

} // namespace

int64_t Gateway::wallTimeAt(TimeMs now) const
{
    return now.count + usage_.offset();
}

// ---- Version selection ----

void Gateway::onRollouts(const RolloutsRead &read, TimeMs now)
{
    if (read.known.versions && read.known.versions != rollouts_.known().versions)
        versions_.restore(*read.known.versions, usage_.offset());
    rollouts_.update(read.known, read.askedAt);
    fleet_.setInactiveVersions(rollouts_.outOfUse());
    for (const std::pair<const ServiceName, RolloutRecord> &each : read.known.records) {
        const RolloutRecord &record = each.second;
        const auto found = trials_.find(each.first);
        const bool isSame = found != trials_.end() && found->second.target == record.target
            && found->second.beganWallMs == record.beganWallMs;
        if (isSame && found->second.stage == record.stage)
            continue;
        if (!isSame) {
            trials_[each.first] = Trial{record.target, record.beganWallMs, record.stage, {}, false, 0};
            trialCounts_.begin(each.first, record.target);
        }
        trials_[each.first].stage = record.stage;
        log_.write(LogPriority::State, "rollout",
                   {{"service", each.first.value},
                    {"target", record.target.value},
                    {"stage", toText(record.stage)},
                    {"share", record.share},
                    {"why", record.why}});
        if (isDecided(record.stage))
            trialCounts_.end(each.first);
    }
    runQueue(now);
}

void Gateway::recordListedVersions(const EndpointsRead &read)
{
    std::map<ServiceName, std::set<SoftwareVersion>> listed;
    for (const EndpointEntry &entry : read.entries) {
        if (!entry.readable)
            continue;
        listed[entry.service].insert(entry.version);
        rollouts_.recordListed(entry.service, entry.version, read.askedAt);
    }
    rollouts_.removeUnlisted(listed);
    std::vector<ServiceName> single;
    for (const std::pair<const ServiceName, std::set<SoftwareVersion>> &service : listed) {
        if (service.second.size() > 1 && !versions_.seenSince(service.first, read.askedAt).areSeveral)
            single.push_back(service.first);
    }
    versions_.recordList(listed, read.askedAt);
    for (const ServiceName &service : single)
        tellStreamsOf(service);
}

// Selects the endpoints that take trial requests. They are few, because an endpoint shows its behaviour only
// under load. The first one in rank is left out: it takes the requests that load one endpoint.
std::set<EndpointId> Gateway::trialEndpoints(const Exchange &exchange, const RolloutView::Rule &rule) const
{
    const std::vector<EndpointId> ranked = fleet_.ranked(exchange.service, rule.target);
    const double wanted
        = std::ceil(rule.targetShare * ColdEndpointFactor * static_cast<double>(ranked.size()));
    const size_t count = std::max(static_cast<size_t>(wanted), MinTrialEndpoints);
    const size_t from = rule.targetShare < 1 && ranked.size() > count ? 1 : 0;
    const size_t to = std::min(from + count, ranked.size());
    return {ranked.begin() + static_cast<std::ptrdiff_t>(from),
            ranked.begin() + static_cast<std::ptrdiff_t>(to)};
}

// Requests with a short prefill load an endpoint without delaying each other.
bool Gateway::canUseAsLoad(const Exchange &exchange, const PlacementQuery &question,
                           const RolloutView::Rule &rule, TimeMs now) const
{
    const auto trial = trials_.find(exchange.service);
    if (rule.loadRequests == 0 || !question.engine || trial == trials_.end())
        return false;
    const double prefillMs = static_cast<double>(exchange.request->promptTokens)
        / prefillSpeed(demand_.prefillSums(exchange.service)).tokensPerMs;
    const uint32_t own
        = 1 + rule.loadRequests / static_cast<uint32_t>(std::max<size_t>(peers_.servingCount(now), 1));
    return trial->second.loadSent < own
        && prefillMs * LoadPrefillDivisor < static_cast<double>(exchange.route->latencyTarget.count);
}

// Selects an endpoint by the rules of the roll-out. A request sampled for the target that finds no free slot
// there goes to the other versions. Retries go to the known versions. In the emptying stage a request waits
// for the target instead. A stream continues at the version that began it, also if new requests no longer go
// there.
PlacementResult Gateway::selectByVersion(Exchange &exchange, PlacementQuery &question, TimeMs now)
{
    exchange.trialRole = TrialRole::Ordinary;
    question.onlyVersion = exchange.streamVersion;
    if (exchange.streamVersion)
        return fleet_.choose(question, now);
    const RolloutView::Rule rule = rollouts_.rule(exchange.service, wallTimeAt(now));
    question.excludedVersions = rule.barred;
    const bool wasSent = exchange.sends > 0 || exchange.rejections > 0 || !exchange.tried.empty();
    if (rule.target.value.empty() || (wasSent && !rule.includesRetries))
        return fleet_.choose(question, now);
    PlacementResult atTarget;
    if (isSampled(exchange.request->id, rule.target, rule.targetShare))
        atTarget = selectAtTarget(rule, question, trialEndpoints(exchange, rule), now);
    else if (canUseAsLoad(exchange, question, rule, now))
        atTarget = selectForLoad(exchange, rule, question, now);
    const bool waits = rule.includesRetries && atTarget.problem == PlacementProblem::AllBusy;
    return atTarget.choice || waits ? atTarget : fleet_.choose(question, now);
}

PlacementResult Gateway::selectAtTarget(const RolloutView::Rule &rule, PlacementQuery question,
                                        std::set<EndpointId> among, TimeMs now) const
{
    question.excludedVersions.erase(rule.target);
    question.isCold = true;
    question.restrictedTo = std::move(among);
    return fleet_.choose(question, now);
}

PlacementResult Gateway::selectForLoad(Exchange &exchange, const RolloutView::Rule &rule,
                                       PlacementQuery question, TimeMs now)
{
    const std::vector<EndpointId> ranked = fleet_.ranked(exchange.service, rule.target);
    if (ranked.empty())
        return {};
    question.maxWaitMs = 0; // No bound on the wait: the endpoint is to be filled.
    PlacementResult result = selectAtTarget(rule, question, {ranked.front()}, now);
    if (result.choice)
        recordLoadRequest(exchange, *question.engine, result.choice->endpoint);
    return result;
}

// ---- Outcomes ----

void Gateway::recordLoadRequest(Exchange &exchange, const EngineFigures &engine, const EndpointId &at)
{
    ++trials_[exchange.service].loadSent;
    const FleetEndpoint *endpoint = fleet_.find(at);
    const double running = endpoint ? endpoint->running + endpoint->peersRunning : 0;
    const bool isLoaded = running > LoadedShare * engineCapacity(engine, ServiceDemand{}).running;
    exchange.trialRole = isLoaded ? TrialRole::Loaded : TrialRole::AddsLoad;
}

bool Gateway::isOnTrial(const FleetEndpoint &endpoint) const
{
    const RolloutRecord *record = rollouts_.undecided(endpoint.entry.service);
    return record && record->target == endpoint.entry.version;
}

uint32_t Gateway::trialGroupOf(const FleetEndpoint &endpoint) const
{
    return isOnTrial(endpoint) ? trialGroup(endpoint.entry.id.value) : uint32_t{TrialCount::Others};
}

void Gateway::recordStep(const Exchange &exchange, BaselineTimes::Step step, double time, double minTime)
{
    const FleetEndpoint *endpoint = fleet_.find(exchange.sentTo);
    if (!endpoint)
        return;
    const std::string &route = exchange.route->name;
    const bool isLoad = exchange.trialRole != TrialRole::Ordinary;
    if (isLoad && step == BaselineTimes::Step::EventInterval)
        return;
    const bool onTrial = isOnTrial(*endpoint);
    const bool isSlow = baselineTimes_.isSlow(route, step, time, minTime);
    if (!onTrial)
        baselineTimes_.record(route, step, time);
    const bool isInconclusive
        = isLoad || (step != BaselineTimes::Step::FullResponse && onTrial && isMoving(exchange.service));
    recordOutcome(exchange, *endpoint, isSlow && !isInconclusive);
}

void Gateway::recordOutcome(const Exchange &exchange, const FleetEndpoint &endpoint, bool bad)
{
    const bool isLoaded = exchange.trialRole == TrialRole::Loaded;
    if (exchange.trialRole != TrialRole::AddsLoad)
        trialCounts_.record(exchange.service, isLoaded ? TrialCount::LoadRoute : exchange.route->name,
                            trialGroupOf(endpoint), bad);
}

// Returns the expected time to the first event if the whole prompt must be prefilled, after the prefills
// queued before it.
double Gateway::expectedFirstEventMs(const Exchange &exchange, const PlacementChoice &choice) const
{
    const PrefillSpeed speed = prefillSpeed(demand_.prefillSums(exchange.service));
    return std::max(1.0,
                    speed.baseMs + choice.waitMs + (choice.fetch ? choice.fetch->ms : 0)
                        + static_cast<double>(exchange.request->promptTokens) / speed.tokensPerMs);
}

// Returns the time to the first event as a multiple of the expected time.
double Gateway::firstEventRatio(const Exchange &exchange, TimeMs now)
{
    return static_cast<double>((now - exchange.sentAt).count) / std::max(exchange.expectedMs, 1.0);
}

// While many requests move, engines prefill several times the usual amount, and requests just sent by other
// daemons are not known yet. First events and the events after them take longer with any version, so only
// failures are conclusive.
bool Gateway::isMoving(const ServiceName &service) const
{
    const RolloutRecord *record = rollouts_.undecided(service);
    return record && record->stage >= RolloutStage::Moving;
}

void Gateway::recordFirstEvent(Exchange &exchange, TimeMs now)
{
    if (!std::exchange(exchange.startIsEvaluated, true))
        recordStep(exchange, BaselineTimes::Step::FirstEvent, firstEventRatio(exchange, now),
                   MinFirstEventRatio);
}

void Gateway::recordEventInterval(Exchange &exchange, TimeMs now)
{
    if (exchange.attemptEvents < MinIntervalEvents || std::exchange(exchange.eventIntervalIsEvaluated, true))
        return;
    const double interval = static_cast<double>((now - exchange.firstEventAt).count)
        / static_cast<double>(exchange.attemptEvents - 1);
    recordStep(exchange, BaselineTimes::Step::EventInterval, interval, MinEventIntervalMs);
}

void Gateway::recordFullResponse(Exchange &exchange, TimeMs now)
{
    if (!std::exchange(exchange.startIsEvaluated, true))
        recordStep(exchange, BaselineTimes::Step::FullResponse,
                   static_cast<double>((now - exchange.sentAt).count), MinResponseMs);
}

void Gateway::recordBadOutcome(Exchange &exchange, bool broke, TimeMs now)
{
    const FleetEndpoint *endpoint = fleet_.find(exchange.sentTo);
    if (!endpoint || std::exchange(exchange.startIsEvaluated, true))
        return;
    if (broke)
        trialCounts_.recordInterrupted(exchange.service, exchange.route->name, trialGroupOf(*endpoint),
                                       exchange.sentTo.id.value, now);
    else
        recordOutcome(exchange, *endpoint, true);
}

// Counts an overdue answer as bad at once: one that never arrives would otherwise be recorded only when its
// caller gives up.
void Gateway::recordOverdue(TimeMs now)
{
    for (const std::pair<const AttemptId, CallerId> &entry : attempts_) {
        Exchange &exchange = exchanges_.at(entry.second);
        if (exchange.startIsEvaluated || exchange.streaming || !trialCounts_.isOn(exchange.service)
            || isUnheard(exchange))
            continue;
        const bool isStream = exchange.route->kind == RouteKind::Streaming;
        const bool isSlow = isStream
            ? baselineTimes_.isSlow(exchange.route->name, BaselineTimes::Step::FirstEvent,
                                    firstEventRatio(exchange, now), MinFirstEventRatio)
            : baselineTimes_.isSlow(exchange.route->name, BaselineTimes::Step::FullResponse,
                                    static_cast<double>((now - exchange.sentAt).count), MinResponseMs);
        const bool isInconclusive
            = exchange.trialRole != TrialRole::Ordinary || (isStream && isMoving(exchange.service));
        if (isSlow && !isInconclusive)
            recordBadOutcome(exchange, false, now);
    }
}

// ---- Evaluation ----

// All serving daemons evaluate the same counts. A daemon that finds the version bad stops sending requests to
// it at once, without waiting for the leader's decision to arrive through the store.
void Gateway::evaluateTrials(TimeMs now)
{
    if (now < nextTrialCheckAt_)
        return;
    nextTrialCheckAt_ = now + EvaluationInterval;
    recordOverdue(now);
    std::vector<TrialCount> counts;
    for (std::pair<const ServiceName, Trial> &each : trials_) {
        Trial &trial = each.second;
        if (isDecided(trial.stage))
            continue;
        if (counts.empty()) {
            counts = peers_.trialCounts();
            const std::vector<TrialCount> own = trialCounts_.rows();
            counts.insert(counts.end(), own.begin(), own.end());
        }
        std::vector<TrialCount> ofService;
        std::copy_if(counts.begin(), counts.end(), std::back_inserter(ofService),
                     [&](const TrialCount &count) {
                         return count.service == each.first && count.target == trial.target;
                     });
        trial.evaluator.update(ofService);
        if (!trial.evaluator.isBad() || std::exchange(trial.isSuspected, true))
            continue;
        rollouts_.suspect(each.first);
        counters_.add(GatewayCount::VersionsSuspected);
        boost::json::object fields{{"service", each.first.value}, {"target", trial.target.value}};
        addFigures(trial.evaluator.figures(), fields);
        log_.write(LogPriority::State, "version_suspected", std::move(fields));
    }
}

std::map<ServiceName, RolloutObservations> Gateway::observeRollouts(TimeMs now) const
{
    std::map<ServiceName, RolloutObservations> out;
    for (const RolloutOrder &order : rollouts_.known().orders)
        out[order.service];
    for (const std::pair<const ServiceName, RolloutRecord> &record : rollouts_.known().records)
        out[record.first];
    if (out.empty())
        return out;
    const std::map<ServiceName, ServiceDemand> demands = demand(now);
    for (std::pair<const ServiceName, RolloutObservations> &each : out) {
        RolloutObservations &observations = each.second;
        const auto foundDemand = demands.find(each.first);
        observations.requestsPerSecond
            = foundDemand == demands.end() ? 0 : foundDemand->second.requestsPerSecond;
        const ServedService *service = configuration_ ? configuration_->findService(each.first) : nullptr;
        observations.isKnownService = service != nullptr;
        if (service && service->engine)
            observations.slotsPerTarget
                = static_cast<uint32_t>(engineCapacity(*service->engine, ServiceDemand{}).running);
        const auto trial = trials_.find(each.first);
        if (trial == trials_.end())
            continue;
        observations.isBad = trial->second.evaluator.isBad();
        observations.isProven = trial->second.evaluator.isProven();
        observations.figures = trial->second.evaluator.figures();
    }
    std::map<ServiceName, std::vector<TimeMs>> targetsKnownSince;
    for (const std::pair<const EndpointId, FleetEndpoint> &entry : fleet_.all()) {
        const FleetEndpoint &endpoint = entry.second;
        const auto found = out.find(endpoint.entry.service);
        if (found == out.end())
            continue;
        const auto trial = trials_.find(endpoint.entry.service);
        const bool takesWork = endpoint.listed && !endpoint.entry.leaving && !endpoint.gone;
        if (trial != trials_.end() && trial->second.target == endpoint.entry.version) {
            found->second.targetEndpoints += takesWork ? 1 : 0;
            if (takesWork)
                targetsKnownSince[endpoint.entry.service].push_back(fleet_.knownSince(endpoint));
            continue;
        }
        found->second.otherEndpoints += takesWork ? 1 : 0;
        found->second.runningElsewhere += endpoint.running + endpoint.peersRunning;
        if (endpoint.listed)
            found->second.otherVersions.insert(endpoint.entry.version);
    }
    for (std::pair<const ServiceName, std::vector<TimeMs>> &each : targetsKnownSince)
        out[each.first].targetAge = ageOfOldest(each.second, now);
    return out;
}

} // namespace cranberry
