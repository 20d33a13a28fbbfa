#include "gateway/gateway.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <utility>

namespace cranberry {

namespace {

namespace json = boost::json;

/// Subtracted from the bound within which a removed key must be rejected, to cover the time to reach the
/// endpoint.
constexpr DurationMs RevokeMargin{250};
/// A refusal for an unknown route or key is final only if the configuration is not older than this.
constexpr DurationMs MaxDefinitiveAge{1500};
/// Time within which operators repeat their writes to a store that was restored from an older copy.
constexpr DurationMs RewriteGracePeriod{5000};
/// Retry-After time when no better estimate is known.
constexpr DurationMs DefaultRetryAfter{400};
/// Retry-After time when another daemon can serve the request at once.
constexpr DurationMs ElsewhereRetryAfter{50};

/// How long requests that arrive before the first reads of the store wait for them. The reads take about 10
/// ms with a healthy store, and all callers whose connections the kill cut off reconnect to a restarted
/// process.
constexpr DurationMs StartupWait{250};
constexpr size_t MaxAwaitingStart = 500; ///< Bounds the memory of these requests.

/// A wait shorter than this for the prefill of other requests does not count as a queue.
constexpr double NoQueueMs = 10;

std::string secondsText(DurationMs duration)
{
    return fmt::format("{:.2f}", static_cast<double>(duration.count) / 1000.0);
}

} // namespace

Gateway::Gateway(const GatewaySettings &settings, DecisionLog &log)
    : settings_(settings), log_(log), random_(settings.seed), peers_(settings.instance),
      retryLedger_(settings.seed), usage_(settings.incarnation, settings.usageWindow), paths_(settings.seed),
      relays_(settings.instance, settings.failureDomain, settings.seed)
{
    applyBounds(settings);
}

void Gateway::applyBounds(const GatewaySettings &settings)
{
    settings_.revokeBound = settings.revokeBound;
    settings_.drainTime = settings.drainTime;
    settings_.retryLimits = settings.retryLimits;
    retryBudget_.setLimits(settings.retryLimits);
    retryLedger_.setLimits(settings.retryLimits);
    quotas_.setTolerance(settings.quotaTolerance);
    fleet_.setDrainTime(settings.drainTime);
}

// ---- Checks of requests ----

bool Gateway::isFresh(TimeMs now, DurationMs bound) const
{
    return configuration_ && now - confirmedAt_ < bound;
}

// A store that was restored from an older copy may lack the newest configuration until the operators have
// written it again.
bool Gateway::isStoreIncomplete(TimeMs now) const
{
    return fleet_.storeRestoredAt().count > 0 && now - fleet_.storeRestoredAt() < RewriteGracePeriod;
}

bool Gateway::isReady(TimeMs now) const
{
    return !departure_ && fleet_.hasList() && isFresh(now, settings_.revokeBound - RevokeMargin);
}

// Checks a request against the configuration: its route, its key and its deadline.
std::optional<Gateway::OwnAnswer> Gateway::checkHead(Exchange &exchange, TimeMs now) const
{
    if (!hasStoreState())
        return OwnAnswer{503, GatewayRefusal::NoConfiguration, DefaultRetryAfter};
    const bool certain = isFresh(now, MaxDefinitiveAge) && !isStoreIncomplete(now);
    const CallerRequest &request = *exchange.request;
    exchange.configuration = configuration_;
    exchange.route = configuration_->findRoute(request.host, request.path);
    if (!exchange.route) {
        return certain ? OwnAnswer{404, GatewayRefusal::UnknownRoute, {}}
                       : OwnAnswer{503, GatewayRefusal::StaleConfiguration, DefaultRetryAfter};
    }
    exchange.priority = exchange.route->priority;
    exchange.timeoutAt = exchange.arrivedAt + exchange.route->timeout;
    exchange.callerWaitsUntil = exchange.arrivedAt + request.deadline.value_or(exchange.route->timeout);
    if (departure_ && exchange.sends == 0 && mayExitBefore(exchange, now))
        return OwnAnswer{503, GatewayRefusal::Leaving, ElsewhereRetryAfter};
    return checkKey(exchange, certain, now);
}

// Runs again when the request leaves the queue, so that a route or key that was removed in the meantime is
// not used.
std::optional<Gateway::OwnAnswer> Gateway::checkRequest(Exchange &exchange, TimeMs now) const
{
    if (const std::optional<OwnAnswer> refusal = checkHead(exchange, now))
        return refusal;
    const CallerRequest &request = *exchange.request;
    if (!exchange.digest)
        exchange.digest = digestOf(exchange.organisation, request.path, request.body);
    setParts(exchange);
    return isQuarantined(exchange, now) ? std::optional<OwnAnswer>(quarantineResponse(exchange, now))
                                        : std::nullopt;
}

// Returns the id of the quarantined prompt part that the request has; empty if it is quarantined itself.
std::string Gateway::quarantinedPart(const Exchange &exchange, TimeMs now) const
{
    for (size_t i = 0; i < exchange.parts.size(); ++i) {
        if (quarantine_.suspects().isQuarantined(exchange.parts[i], now))
            return exchange.request->parts[i].id;
    }
    return {};
}

void Gateway::setParts(Exchange &exchange) const
{
    const std::vector<PromptPart> &parts = exchange.request->parts;
    const ServiceName service = serviceOf(exchange);
    exchange.parts.clear();
    for (size_t i = 0; i + 1 < parts.size(); ++i)
        exchange.parts.push_back(partDigestOf(service, parts[i].id));
}

// `certain`: the configuration is fresh enough to refuse an unknown key finally.
std::optional<Gateway::OwnAnswer> Gateway::checkKey(Exchange &exchange, bool certain, TimeMs now) const
{
    const CallerRequest &request = *exchange.request;
    if (exchange.route->anonymous || !configuration_->requiresKeys())
        return std::nullopt;
    if (!isFresh(now, settings_.revokeBound - RevokeMargin))
        return OwnAnswer{503, GatewayRefusal::StaleConfiguration, DefaultRetryAfter};
    const ServedOrganisation *organisation
        = request.key.empty() ? nullptr : configuration_->findByKey(request.key);
    if (!organisation) {
        return certain ? OwnAnswer{401, GatewayRefusal::UnknownKey, {}}
                       : OwnAnswer{503, GatewayRefusal::StaleConfiguration, DefaultRetryAfter};
    }
    exchange.organisation = organisation->name;
    exchange.priority = organisation->priority.value_or(exchange.priority);
    return std::nullopt;
}

// Selects one of the route's targets by weight. The choice depends on the request id, so that retries go to
// the same service, and a resumption to that of the request that it names.
ServiceName Gateway::pickService(const Exchange &exchange) const
{
    const std::vector<RouteTarget> &targets = exchange.route->targets;
    uint64_t sum = 0;
    for (const RouteTarget &target : targets)
        sum += target.weight;
    const CallerRequest &request = *exchange.request;
    const std::string &id = isResumption(exchange) && !request.resumes.empty() ? request.resumes : request.id;
    uint64_t at = sum == 0 ? 0 : rendezvousWeight(id, {}) % sum;
    for (const RouteTarget &target : targets) {
        if (at < target.weight)
            return target.service;
        at -= target.weight;
    }
    return targets.empty() ? ServiceName{} : targets.front().service;
}

// A request that is not admitted yet has no service.
ServiceName Gateway::serviceOf(const Exchange &exchange) const
{
    return exchange.service.value.empty() ? pickService(exchange) : exchange.service;
}

// ---- Callers ----

Exchange &Gateway::addExchange(const RequestArrived &event, TimeMs now)
{
    counters_.add(GatewayCount::Requests);
    Exchange &exchange = exchanges_[event.caller];
    exchange.caller = event.caller;
    exchange.request = event.request;
    exchange.arrivedAt = exchange.phaseSince = now;
    exchange.lastEvent = event.request->resumeAfter;
    return exchange;
}

// Until this daemon has read the store, a request may wait, and its body is needed.
Gateway::RequestHead Gateway::examineHead(const CallerRequestPtr &request, TimeMs now) const
{
    if (!hasStoreState())
        return {};
    Exchange exchange;
    exchange.request = request;
    exchange.arrivedAt = now;
    const bool isRefused = checkHead(exchange, now).has_value();
    return {isRefused, exchange.organisation};
}

// Whatever has changed since its header was examined, it can't be served without its body.
void Gateway::refuseByHead(const RequestArrived &event, TimeMs now)
{
    Exchange &exchange = addExchange(event, now);
    const std::optional<OwnAnswer> refusal = checkHead(exchange, now);
    countOffered(exchange, now);
    answer(exchange, refusal.value_or(OwnAnswer{503, GatewayRefusal::StaleConfiguration, DefaultRetryAfter}),
           now);
}

void Gateway::onRequest(const RequestArrived &event, TimeMs now)
{
    Exchange &exchange = addExchange(event, now);
    if (hasStoreState() || awaitingStart_.size() >= MaxAwaitingStart)
        return admit(exchange, now);
    exchange.enter(ExchangePhase::AwaitingStart, now);
    exchange.timeoutAt = now + StartupWait;
    exchange.callerWaitsUntil = exchange.timeoutAt;
    awaitingStart_.push_back(event.caller);
}

void Gateway::admit(Exchange &exchange, TimeMs now)
{
    const std::optional<OwnAnswer> refusal = checkRequest(exchange, now);
    countOffered(exchange, now);
    if (refusal)
        return answer(exchange, *refusal, now);
    recordTaken(exchange);
    if (findOrigin(exchange, now))
        continueAdmission(exchange, now);
}

// Refused requests count for the retry budget, too. Otherwise a store outage, in which keys are refused,
// would leave no retries for migrating streams from engines that are reclaimed just after it.
void Gateway::countOffered(Exchange &exchange, TimeMs now)
{
    if (!exchange.route)
        return;
    exchange.service = pickService(exchange);
    retryBudget_.countRequest(exchange.service, now);
}

void Gateway::continueAdmission(Exchange &exchange, TimeMs now)
{
    exchange.enter(ExchangePhase::Queued, now);
    if (takeQuota(exchange, true, now) == LimitOutcome::Within)
        dispatch(exchange, now);
}

void Gateway::admitAwaiting(TimeMs now)
{
    if (!hasStoreState())
        return;
    for (CallerId id : std::exchange(awaitingStart_, {})) {
        const auto found = exchanges_.find(id);
        if (found != exchanges_.end())
            admit(found->second, now);
    }
}

// The connection closed: its request is cancelled at once, whether it is sent or queued.
void Gateway::onCallerGone(const RequestCallerGone &event, TimeMs now)
{
    const auto found = exchanges_.find(event.caller);
    if (found == exchanges_.end())
        return;
    Exchange &exchange = found->second;
    counters_.add(GatewayCount::CallersGone);
    counters_.add(event.cause);
    const bool isPassedOn = exchange.attempt.value != 0 || exchange.mayHaveRun;
    const bool isLost = isPassedOn && !isByClient(event.cause);
    log(isLost ? LogPriority::Lost : LogPriority::Ordinary, "caller_gone", exchange,
        {{"closed_by", isByClient(event.cause) ? "caller" : "gateway"},
         {"cause", toText(event.cause)},
         {"after_ms", (now - exchange.arrivedAt).count},
         {"phase", toText(exchange.phase)},
         {"sends", exchange.sends},
         {"events", exchange.events},
         {"attempt", exchange.attempt.value}});
    if (exchange.attempt.value != 0)
        cancelAttempt(exchange);
    finish(exchange);
    runQueue(now);
}

// ---- Sending ----

PlacementQuery Gateway::placementQuery(const Exchange &exchange) const
{
    PlacementQuery question;
    question.service = exchange.service;
    const ServedService *service = exchange.configuration->findService(exchange.service);
    question.engine = service && service->engine ? &*service->engine : nullptr;
    question.request = exchange.request.get();
    question.tried = exchange.tried;
    question.triedSources = exchange.fetchSources;
    question.ownDomain = settings_.failureDomain;
    if (question.engine) {
        question.usualTokensPerMs = prefillSpeed(demand_.prefillSums(exchange.service)).tokensPerMs;
        question.maxPauseMs = maxPauseMs(exchange);
    }
    return question;
}

void Gateway::send(Exchange &exchange, const PlacementQuery &question, const PlacementChoice &choice,
                   TimeMs now, const std::optional<MigratedKvCache> &kvCache)
{
    const FleetEndpoint &endpoint = *fleet_.find(choice.endpoint);
    exchange.attempt = {nextAttempt_++};
    exchange.sentTo = endpoint.incarnation();
    exchange.sentVersion = endpoint.entry.version;
    exchange.sentAt = now;
    exchange.prefillTokens = choice.prefillTokens;
    exchange.foundNoQueue = choice.waitMs < NoQueueMs && !choice.fetch;
    exchange.fetch = choice.fetch;
    recordExpectedEnd(exchange, now);
    exchange.enter(
        exchange.phase == ExchangePhase::Streaming ? ExchangePhase::Streaming : ExchangePhase::Sent, now);
    exchange.drawUntil.reset();
    exchange.tried.insert(choice.endpoint);
    exchange.relay = relayFor(exchange, now);
    exchange.body.clear();
    exchange.splitter.clear();
    exchange.stop = StopState::NotAsked;
    exchange.attemptEvents = 0;
    exchange.hasProvenParts = false;
    exchange.startIsEvaluated = exchange.eventIntervalIsEvaluated = false;
    exchange.usualFirstEventMs = usualFirstEventMs(exchange, question, choice, now);
    exchange.contextTokens = question.engine ? unsharedTokens(*exchange.request) : 0;
    exchange.expectedMs = question.engine ? expectedFirstEventMs(exchange, choice) : 0;
    attempts_[exchange.attempt] = exchange.caller;
    fleet_.attemptStarted(choice, question, now);
    const uint64_t workTokens = choice.prefillTokens + exchange.request->outputTokens;
    shares_.recordServed({exchange.service, exchange.organisation},
                         question.engine ? static_cast<double>(workTokens) : 1, now);
    if (question.engine) {
        const CallerRequest &request = *exchange.request;
        const uint64_t shared = std::min(sharedTokens(request), request.promptTokens);
        const uint64_t own = request.promptTokens - shared;
        demand_.recordRequest(exchange.service, choice.prefillTokens,
                              choice.prefillTokens - std::min(choice.prefillTokens, own),
                              exchange.route->latencyTarget);
    }
    counters_.add(GatewayCount::Attempts);
    if (endpoint.limiter.isLimited())
        counters_.add(GatewayCount::SentToLimited);

    SendAttempt order;
    order.attempt = exchange.attempt;
    order.endpoint = choice.endpoint;
    order.address = endpoint.entry.address;
    order.request = exchange.request;
    order.remaining = callersDeadline(exchange) - now;
    order.organisation = exchange.organisation;
    if (question.engine)
        order.urgency = std::min<uint32_t>(exchange.priority, 9);
    order.resumeAfter = exchange.lastEvent;
    order.relay = exchange.relay;
    order.migratedKvCache = kvCache;
    json::object fields = limitLogFields(endpoint, now);
    if (choice.fetch)
        addFetch(exchange, order, fields);
    if (exchange.lastEvent)
        fields["last_event"] = *exchange.lastEvent;
    if (!exchange.request->resumes.empty())
        fields["resumes"] = exchange.request->resumes;
    if (exchange.relay) {
        counters_.add(GatewayCount::AttemptsRelayed);
        ++exchange.relayedSends;
        exchange.triedRelays.insert(*exchange.relay);
        fields["relay"] = toText(*exchange.relay);
    }
    fields.insert({{"attempt", exchange.attempt.value},
                   {"service", exchange.service.value},
                   {"organisation", exchange.organisation.value},
                   {"digest", toText(exchange.digest)},
                   {"units", exchange.quotaUnits},
                   {"wait_ms", choice.waitMs},
                   {"prefill_tokens", choice.prefillTokens},
                   {"slowness", endpoint.slowness},
                   {"running", endpoint.running},
                   {"peers_running", endpoint.peersRunning},
                   {"version", endpoint.entry.version.value},
                   {"list_age_ms", (now - fleet_.listedAt()).count},
                   {"configuration", exchange.configuration->version},
                   {"configuration_age_ms", (now - confirmedAt_).count},
                   {"remaining_ms", order.remaining.count}});
    log(LogPriority::Ordinary, "send", exchange, std::move(fields));
    actions_.emplace_back(std::move(order));
}

void Gateway::addFetch(Exchange &exchange, SendAttempt &order, json::object &fields)
{
    const KvFetch &fetch = *exchange.fetch;
    exchange.fetchSources.insert(fetch.source);
    if (const FleetEndpoint *source = fleet_.find(fetch.source))
        order.fetchFrom = source->entry.address;
    counters_.add(GatewayCount::KvFetches);
    counters_.add(GatewayCount::KvFetchTokens, fetch.tokens);
    fields.insert(
        {{"fetch_from", fetch.source.id.value}, {"fetch_tokens", fetch.tokens}, {"fetch_ms", fetch.ms}});
}

// ---- Final responses ----

void Gateway::answer(Exchange &exchange, const OwnAnswer &own, TimeMs now)
{
    counters_.add(own.reason);
    recordRefusal(exchange, own.reason, now);
    AnswerCaller action;
    action.caller = exchange.caller;
    action.status = own.status;
    if (own.retryAfter.count > 0)
        action.headers.push_back({"Retry-After", secondsText(own.retryAfter)});
    action.headers.push_back({"Content-Type", "application/json"});
    action.body = json::serialize(json::object{{"reason", toText(own.reason)}});
    const bool isLost = exchange.mayHaveRun && (own.status == 502 || own.status == 504);
    log(isLost ? LogPriority::Lost : LogPriority::Failure, "refused", exchange,
        {{"part", own.reason == GatewayRefusal::Quarantined ? quarantinedPart(exchange, now) : ""},
         {"reason", toText(own.reason)},
         {"service", exchange.service.value},
         {"organisation", exchange.organisation.value},
         {"digest", toText(exchange.digest)},
         {"status", own.status},
         {"retry_after_ms", own.retryAfter.count},
         {"after_ms", (now - exchange.arrivedAt).count},
         {"phase", toText(exchange.phase)},
         {"phase_ms", (now - exchange.phaseSince).count},
         {"sends", exchange.sends},
         {"tokens", exchange.request->promptTokens + exchange.request->outputTokens},
         {"rejections", exchange.rejections},
         {"configuration", configuration_ ? configuration_->version : 0},
         {"configuration_age_ms", (now - confirmedAt_).count}});
    actions_.emplace_back(std::move(action));
    finish(exchange);
}

// 503 guarantees that the request did not and will not run, so it is sent only if no attempt may have reached
// an endpoint that runs it.
void Gateway::giveUp(Exchange &exchange, GatewayRefusal reason, TimeMs now)
{
    if (!exchange.mayHaveRun && exchange.quotaUnits > 0)
        quotas_.giveBack(exchange.organisation, exchange.quotaUnits);
    if (isQuarantined(exchange, now))
        return answer(exchange, quarantineResponse(exchange, now), now);
    if (exchange.mayHaveRun)
        return answer(exchange, {502, reason, {}}, now);
    const DurationMs retryAfter
        = reason == GatewayRefusal::Leaving ? ElsewhereRetryAfter : capacityRetryAfter(exchange, reason, now);
    answer(exchange, {503, reason, retryAfter}, now);
}

void Gateway::timeOut(Exchange &exchange, TimeMs now)
{
    if (exchange.phase == ExchangePhase::AwaitingStart)
        return answer(exchange, {503, GatewayRefusal::NoConfiguration, DefaultRetryAfter}, now);
    if (exchange.migration && exchange.migration->sourceEnd == StreamEnd::Stated)
        return endWithoutReply(exchange, now);
    const bool isForExit = now < callersDeadline(exchange);
    if (exchange.attempt.value != 0) {
        if (!isForExit && !isUnheard(exchange))
            recordBadOutcome(exchange, false, now);
        cancelAttempt(exchange);
    }
    if (exchange.phase == ExchangePhase::Streaming)
        return abortStream(exchange, now);
    if (isForExit)
        return giveUp(exchange, GatewayRefusal::Leaving, now);
    if (exchange.mayHaveRun)
        return answer(exchange, {504, GatewayRefusal::TimedOut, {}}, now);
    giveUp(exchange, GatewayRefusal::Overloaded, now);
}

void Gateway::finish(Exchange &exchange)
{
    queue_.remove(exchange.caller);
    awaitingDraw_.erase(exchange.caller);
    std::erase(awaitingStart_, exchange.caller);
    unitRequests_.erase(exchange.unitRequest);
    if (exchange.originSearch)
        originSearches_.erase(exchange.originSearch->number);
    exchanges_.erase(exchange.caller);
}

void Gateway::log(LogPriority weight, const char *event, const Exchange &exchange, json::object fields) const
{
    fields["request"] = exchange.request->id;
    if (!exchange.sentTo.id.value.empty())
        fields["endpoint"] = exchange.sentTo.id.value;
    log_.write(weight, event, std::move(fields));
}

void Gateway::tick(TimeMs now)
{
    fleet_.tick(now);
    if (std::vector<Address> former = fleet_.takeFormerAddresses(); !former.empty())
        actions_.emplace_back(CloseIdleConnections{std::move(former)});
    tickEndpointLimits(now);
    updateBrittleServices(now);
    quarantine_.tick(now);
    sendCrashNotice(now);
    evaluateTrials(now);
    tickPaths(now);
    abandonSilentEndpoints(now);
    tickLimits(now);
    tickResumptions(now);
    tickRetries(now);
    tickUsage(now);
    probeEngines(now);
    migrateStreams(now);
    fleet_.setPeersLoad(peers_.loadSums(now), now);
    updateEngineSpeeds(now);
    fleet_.setServingDaemons(peers_.servingCount(now));
    tickLeaving(now);
    std::vector<CallerId> late;
    for (const std::pair<const CallerId, Exchange> &entry : exchanges_) {
        if (now >= deadlineOf(entry.second))
            late.push_back(entry.first);
    }
    // Each timeout processes the queue, which may finish other requests of this list.
    for (CallerId id : late) {
        const auto found = exchanges_.find(id);
        if (found != exchanges_.end())
            timeOut(found->second, now);
    }
    runQueue(now);
}

} // namespace cranberry
