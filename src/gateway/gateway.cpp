#include "gateway/gateway.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <utility>

namespace cranberry {

namespace {

namespace json = boost::json;

/// Kept clear of the bound within which a removed key must be dead, for the way to the endpoint.
constexpr DurationMs RevokeMargin{250};
/// A refusal "no such route" or "no such key" is only final while the configuration is this fresh at most.
constexpr DurationMs CertainAge{1500};
/// A store that came back older has what operators wrote meanwhile again after so long.
constexpr DurationMs WrittenAgainAfter{5000};
/// What callers are told when no better figure is known.
constexpr DurationMs DefaultRetryAfter{400};
/// Another daemon can serve at once.
constexpr DurationMs ElsewhereRetryAfter{50};

/// Requests that come before the first reads of the store wait so long for them. The reads take some 10 ms of
/// a store that is well, and a process that starts again is met by all callers that the kill cut off.
constexpr DurationMs StartPatience{250};
constexpr size_t MostAwaitingStart = 500; ///< Bounds their memory.

/// Less than this to wait for what others still have to have read is no queue.
constexpr double NoQueueMs = 10;

/// Callers that still come this long after a daemon began to leave hold an old entry answer. A stream that
/// starts then might not end before the process does.
constexpr DurationMs LastStreamsAfterLeaving{3000};

std::string secondsText(DurationMs duration)
{
    return fmt::format("{:.2f}", static_cast<double>(duration.count) / 1000.0);
}

} // namespace

Gateway::Gateway(const GatewaySettings &settings, DecisionLog &log)
    : settings_(settings), log_(log), random_(settings.seed), peers_(settings.instance),
      usage_(settings.usageWindow)
{
    applyBounds(settings);
}

void Gateway::applyBounds(const GatewaySettings &settings)
{
    settings_.revokeBound = settings.revokeBound;
    settings_.drainTime = settings.drainTime;
    repeats_.setLimits(settings.repeats);
    quotas_.setTolerance(settings.quotaTolerance);
    fleet_.setDrainTime(settings.drainTime);
}

// ---- Judging ----

bool Gateway::isFresh(TimeMs now, DurationMs bound) const
{
    return configuration_ && now - confirmedAt_ < bound;
}

// A store that came back older may lack the newest configuration until the operators have written it again.
bool Gateway::isStoreIncomplete(TimeMs now) const
{
    return fleet_.olderStoreSince().count > 0 && now - fleet_.olderStoreSince() < WrittenAgainAfter;
}

bool Gateway::isReady(TimeMs now) const
{
    return !leavingSince_ && fleet_.known() && isFresh(now, settings_.revokeBound - RevokeMargin);
}

void Gateway::startLeaving(TimeMs now, TimeMs endsAt)
{
    leavingSince_ = now;
    endsAt_ = endsAt;
}

// Whether this process might end before the request does. Callers come until the end: they hold entry answers
// that are seconds old, or could get no newer one. A call taken in the last moment would be cut off after it
// was sent, and its caller could not tell whether it ran; refused, it goes to another daemon at once. Streams
// mostly end long before their time-out, so for them a shorter rule is enough.
bool Gateway::endsBefore(const Exchange &exchange, TimeMs now) const
{
    if (exchange.route->kind == RouteKind::Streaming)
        return now - *leavingSince_ > LastStreamsAfterLeaving;
    return std::min(exchange.timeoutAt, exchange.callerWaitsUntil) > endsAt_;
}

// What a configuration says of a request: the route, the key, and how long the caller can be served. Run
// again when the request leaves the queue, so that a route or key removed meanwhile is not used.
std::optional<Gateway::OwnAnswer> Gateway::judge(Exchange &exchange, TimeMs now) const
{
    if (!knowsStore())
        return OwnAnswer{503, GatewayRefusal::NoConfiguration, DefaultRetryAfter};
    const bool certain = isFresh(now, CertainAge) && !isStoreIncomplete(now);
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
    if (leavingSince_ && exchange.sends == 0 && endsBefore(exchange, now))
        return OwnAnswer{503, GatewayRefusal::Leaving, ElsewhereRetryAfter};
    if (const std::optional<OwnAnswer> refusal = judgeKey(exchange, certain, now))
        return refusal;
    if (!exchange.digest)
        exchange.digest = digestOf(exchange.organisation, request.path, request.body);
    return isQuarantined(exchange, now) ? std::optional<OwnAnswer>(quarantineAnswer(exchange, now))
                                        : std::nullopt;
}

// `certain`: the configuration is so fresh that "no such key" is final.
std::optional<Gateway::OwnAnswer> Gateway::judgeKey(Exchange &exchange, bool certain, TimeMs now) const
{
    const CallerRequest &request = *exchange.request;
    if (exchange.route->anonymous || configuration_->organisations.empty())
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

// Targets share a route by weight; the request's id decides, so that its repeats go the same way.
ServiceName Gateway::pickService(const Exchange &exchange) const
{
    const std::vector<RouteTarget> &targets = exchange.route->targets;
    uint64_t sum = 0;
    for (const RouteTarget &target : targets)
        sum += target.weight;
    uint64_t at = sum == 0 ? 0 : rendezvousWeight(exchange.request->id, {}) % sum;
    for (const RouteTarget &target : targets) {
        if (at < target.weight)
            return target.service;
        at -= target.weight;
    }
    return targets.empty() ? ServiceName{} : targets.front().service;
}

// ---- Callers ----

void Gateway::onRequest(const RequestArrived &event, TimeMs now)
{
    counters_.add(GatewayCount::Requests);
    Exchange &exchange = exchanges_[event.caller];
    exchange.caller = event.caller;
    exchange.request = event.request;
    exchange.arrivedAt = now;
    exchange.lastEvent = event.request->resumeAfter;
    if (knowsStore() || awaitingStart_.size() >= MostAwaitingStart)
        return admit(exchange, now);
    exchange.phase = ExchangePhase::AwaitingStart;
    exchange.timeoutAt = now + StartPatience;
    exchange.callerWaitsUntil = exchange.timeoutAt;
    awaitingStart_.push_back(event.caller);
}

void Gateway::admit(Exchange &exchange, TimeMs now)
{
    exchange.phase = ExchangePhase::Queued;
    const std::optional<OwnAnswer> refusal = judge(exchange, now);
    // Refused ones count for the repeats, too: otherwise an outage of the store, in which keys are refused,
    // would leave no repeats for moving the streams off engines that are reclaimed just after it.
    if (exchange.route) {
        exchange.service = pickService(exchange);
        repeats_.request(exchange.service, now);
    }
    if (refusal)
        return answer(exchange, *refusal, now);
    if (takeQuota(exchange, true, now) == LimitOutcome::Within)
        dispatch(exchange, now);
}

void Gateway::admitAwaiting(TimeMs now)
{
    if (!knowsStore())
        return;
    for (CallerId id : std::exchange(awaitingStart_, {})) {
        const auto found = exchanges_.find(id);
        if (found != exchanges_.end())
            admit(found->second, now);
    }
}

// The caller left: what runs for it is cancelled at once, also in the queue.
void Gateway::onCallerGone(const RequestCallerGone &event, TimeMs now)
{
    const auto found = exchanges_.find(event.caller);
    if (found == exchanges_.end())
        return;
    Exchange &exchange = found->second;
    counters_.add(GatewayCount::CallersGone);
    log(LogWeight::Ordinary, "caller_gone", exchange, {{"after_ms", (now - exchange.arrivedAt).count}});
    if (exchange.attempt.value != 0)
        cancelAttempt(exchange);
    finish(exchange);
    runQueue(now);
}

// ---- Sending ----

PlacementQuestion Gateway::questionOf(const Exchange &exchange) const
{
    PlacementQuestion question;
    question.service = exchange.service;
    const ServedService *service = exchange.configuration->findService(exchange.service);
    question.engine = service && service->engine ? &*service->engine : nullptr;
    question.request = exchange.request.get();
    question.tried = exchange.tried;
    question.ownDomain = settings_.failureDomain;
    return question;
}

void Gateway::send(Exchange &exchange, const PlacementQuestion &question, const PlacementChoice &choice,
                   TimeMs now, const std::optional<RunMemory> &memory)
{
    const FleetEndpoint &endpoint = *fleet_.find(choice.endpoint);
    exchange.attempt = {nextAttempt_++};
    exchange.at = endpoint.life();
    exchange.sentAt = now;
    exchange.prefillTokens = choice.prefillTokens;
    exchange.foundNoQueue = choice.waitMs < NoQueueMs;
    exchange.phase
        = exchange.phase == ExchangePhase::Streaming ? ExchangePhase::Streaming : ExchangePhase::Sent;
    exchange.tried.insert(choice.endpoint);
    exchange.body.clear();
    exchange.splitter.clear();
    exchange.eventsHere = 0;
    exchange.startIsJudged = exchange.paceIsJudged = false;
    exchange.expectedMs = question.engine ? expectedFirstEventMs(exchange, choice) : 0;
    attempts_[exchange.attempt] = exchange.caller;
    fleet_.started(choice, question, now);
    if (question.engine)
        demand_.prefill(exchange.service, choice.prefillTokens, exchange.route->latencyTarget);
    counters_.add(GatewayCount::Attempts);
    if (endpoint.limiter.isLimited())
        counters_.add(GatewayCount::SentToLimited);

    SendAttempt order;
    order.attempt = exchange.attempt;
    order.endpoint = choice.endpoint;
    order.address = endpoint.entry.address;
    order.request = exchange.request;
    order.remaining = std::min(exchange.callerWaitsUntil, exchange.timeoutAt) - now;
    order.organisation = exchange.organisation;
    if (question.engine)
        order.urgency = std::min<uint32_t>(exchange.priority, 9);
    order.resumeAfter = exchange.lastEvent;
    order.memory = memory;
    json::object fields = limitFields(endpoint, now);
    fields.insert({{"attempt", exchange.attempt.value},
                   {"service", exchange.service.value},
                   {"organisation", exchange.organisation.value},
                   {"digest", toText(exchange.digest)},
                   {"units", exchange.quotaUnits},
                   {"wait_ms", choice.waitMs},
                   {"prefill_tokens", choice.prefillTokens},
                   {"running", endpoint.running},
                   {"peers_running", endpoint.peersRunning},
                   {"version", endpoint.entry.version.value},
                   {"list_age_ms", (now - endpoint.listedAt).count},
                   {"configuration", exchange.configuration->version},
                   {"configuration_age_ms", (now - confirmedAt_).count},
                   {"remaining_ms", order.remaining.count}});
    log(LogWeight::Ordinary, "send", exchange, std::move(fields));
    actions_.emplace_back(std::move(order));
}

// ---- Ends ----

void Gateway::answer(Exchange &exchange, const OwnAnswer &own, TimeMs now)
{
    counters_.add(own.reason);
    AnswerCaller action;
    action.caller = exchange.caller;
    action.status = own.status;
    if (own.retryAfter.count > 0)
        action.headers.push_back({"Retry-After", secondsText(own.retryAfter)});
    action.headers.push_back({"Content-Type", "application/json"});
    action.body = json::serialize(json::object{{"reason", toText(own.reason)}});
    log(LogWeight::Failure, "refused", exchange,
        {{"reason", toText(own.reason)},
         {"organisation", exchange.organisation.value},
         {"digest", toText(exchange.digest)},
         {"status", own.status},
         {"retry_after_ms", own.retryAfter.count},
         {"after_ms", (now - exchange.arrivedAt).count},
         {"sends", exchange.sends},
         {"tokens", exchange.request->promptTokens + exchange.request->outputTokens},
         {"rejections", exchange.rejections},
         {"configuration", configuration_ ? configuration_->version : 0},
         {"configuration_age_ms", (now - confirmedAt_).count}});
    actions_.emplace_back(std::move(action));
    finish(exchange);
}

// 503 says "not run and never will be": only where no attempt may have reached an endpoint that runs it.
void Gateway::giveUp(Exchange &exchange, GatewayRefusal reason, TimeMs now, DurationMs comeBackAfter)
{
    if (!exchange.mayHaveRun && exchange.quotaUnits > 0)
        quotas_.giveBack(exchange.organisation, exchange.quotaUnits);
    if (isQuarantined(exchange, now))
        return answer(exchange, quarantineAnswer(exchange, now), now);
    if (exchange.mayHaveRun)
        return answer(exchange, {502, reason, {}}, now);
    answer(exchange, {503, reason, retryAfter(std::max(comeBackAfter, DefaultRetryAfter))}, now);
}

void Gateway::timeOut(Exchange &exchange, TimeMs now)
{
    if (exchange.phase == ExchangePhase::AwaitingStart)
        return answer(exchange, {503, GatewayRefusal::NoConfiguration, DefaultRetryAfter}, now);
    if (exchange.attempt.value != 0) {
        noteBadAnswer(exchange, false, now);
        cancelAttempt(exchange);
    }
    if (exchange.phase == ExchangePhase::Streaming)
        return streamBroke(exchange, now);
    if (exchange.mayHaveRun)
        return answer(exchange, {504, GatewayRefusal::TimedOut, {}}, now);
    giveUp(exchange, GatewayRefusal::Overloaded, now);
}

void Gateway::finish(Exchange &exchange)
{
    queue_.remove(exchange.caller);
    std::erase(awaitingStart_, exchange.caller);
    limitAsks_.erase(exchange.limitAsk);
    exchanges_.erase(exchange.caller);
}

void Gateway::log(LogWeight weight, const char *event, const Exchange &exchange, json::object fields) const
{
    fields["request"] = exchange.request->id;
    if (!exchange.at.id.value.empty())
        fields["endpoint"] = exchange.at.id.value;
    log_.write(weight, event, std::move(fields));
}

void Gateway::tick(TimeMs now)
{
    fleet_.tick(now);
    tickEndpointLimits(now);
    tellOfSuspects(now);
    tickTrials(now);
    leaveSilentEndpoints(now);
    tickLimits(now);
    probeEngines(now);
    moveRunsAway(now);
    fleet_.setPeersLoad(peers_.loadSums(now), now);
    std::vector<CallerId> late;
    for (const std::pair<const CallerId, Exchange> &entry : exchanges_) {
        if (now >= std::min(entry.second.timeoutAt, entry.second.callerWaitsUntil))
            late.push_back(entry.first);
    }
    // The end of one runs the queue, which may end another of them.
    for (CallerId id : late) {
        const auto found = exchanges_.find(id);
        if (found != exchanges_.end())
            timeOut(found->second, now);
    }
    runQueue(now);
}

} // namespace cranberry
