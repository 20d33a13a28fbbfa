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
/// Sends to endpoints that stated they did not run the request don't use up the route's attempts, but end
/// somewhere.
constexpr uint32_t MostRejections = 2;
/// With less time than this left, an attempt can't be answered any more.
constexpr DurationMs LeastUsefulTime{20};
/// What callers are told when no better figure is known; spread, so that they don't come back together.
constexpr DurationMs DefaultRetryAfter{400};
constexpr uint64_t RetryAfterSpreadMs = 400;
/// Another daemon can serve at once.
constexpr DurationMs ElsewhereRetryAfter{50};
constexpr size_t MostHeldBody = 8U << 20; ///< Larger answers are passed on as they come.

/// Callers that still come this long after a daemon began to leave hold an old entry answer. A stream that
/// starts then might not end before the process does.
constexpr DurationMs LastStreamsAfterLeaving{3000};

/// Usage counts are told this often; the duty waits a little longer than that after a window's end.
constexpr DurationMs WindowsPace{400};

constexpr int FirstServerError = 500;
constexpr std::array PromisesNotRun = {408, 421, 429, 503};

uint64_t messageTokens(const CallerRequest &request)
{
    return request.promptTokens + request.outputTokens;
}

bool isRepeatable(const Route &route)
{
    return route.kind == RouteKind::Idempotent || (route.kind == RouteKind::Streaming && route.resumable);
}

std::string secondsText(DurationMs duration)
{
    return fmt::format("{:.2f}", static_cast<double>(duration.count) / 1000.0);
}

} // namespace

Gateway::Gateway(const GatewaySettings &settings, DecisionLog &log)
    : settings_(settings), log_(log), random_(settings.seed), peers_(settings.instance),
      usage_(settings.usageWindow)
{
    repeats_.setLimits(settings.repeats);
    quotas_.setTolerance(settings.quotaTolerance);
    fleet_.setDrainTime(settings.drainTime);
}

// ---- Judging ----

bool Gateway::isFresh(TimeMs now, DurationMs bound) const
{
    return configuration_ && now - confirmedAt_ < bound;
}

bool Gateway::isReady(TimeMs now) const
{
    return !leavingSince_ && fleet_.known() && isFresh(now, settings_.revokeBound - RevokeMargin);
}

// What a configuration says of a request: the route, the key, and how long the caller can be served. Run
// again when the request leaves the queue, so that a route or key removed meanwhile is not used.
std::optional<Gateway::OwnAnswer> Gateway::judge(Exchange &exchange, TimeMs now) const
{
    if (!configuration_ || !fleet_.known())
        return OwnAnswer{503, GatewayRefusal::NoConfiguration, DefaultRetryAfter};
    const bool certain = isFresh(now, CertainAge);
    const CallerRequest &request = *exchange.request;
    exchange.configuration = configuration_;
    exchange.route = configuration_->findRoute(request.host, request.path);
    if (!exchange.route) {
        return certain ? OwnAnswer{404, GatewayRefusal::UnknownRoute, {}}
                       : OwnAnswer{503, GatewayRefusal::StaleConfiguration, DefaultRetryAfter};
    }
    if (leavingSince_ && exchange.route->kind == RouteKind::Streaming && exchange.sends == 0
        && now - *leavingSince_ > LastStreamsAfterLeaving)
        return OwnAnswer{503, GatewayRefusal::Leaving, ElsewhereRetryAfter};
    exchange.priority = exchange.route->priority;
    exchange.timeoutAt = exchange.arrivedAt + exchange.route->timeout;
    exchange.callerWaitsUntil = exchange.arrivedAt + request.deadline.value_or(exchange.route->timeout);
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

std::optional<Gateway::OwnAnswer> Gateway::takeQuota(Exchange &exchange, TimeMs now)
{
    const ServedOrganisation *organisation = exchange.organisation.value.empty()
        ? nullptr
        : exchange.configuration->findByKey(exchange.request->key);
    if (!organisation)
        return std::nullopt;
    const double units
        = quotaUnits(*organisation, exchange.request->statesTokens, messageTokens(*exchange.request));
    const std::optional<DurationMs> wait = quotas_.take(*organisation, units, peers_.quotaScope(now), now);
    if (!wait) {
        exchange.quotaUnits = units;
        return std::nullopt;
    }
    return OwnAnswer{429, GatewayRefusal::OverLimit, std::max(*wait, DefaultRetryAfter)};
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
    if (const std::optional<OwnAnswer> refusal = judge(exchange, now))
        return answer(exchange, *refusal, now);
    exchange.service = pickService(exchange);
    repeats_.request(exchange.service, now);
    if (const std::optional<OwnAnswer> refusal = takeQuota(exchange, now))
        return answer(exchange, *refusal, now);
    dispatch(exchange, now);
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
    if (exchange.attempt.value != 0) {
        actions_.emplace_back(CancelSent{exchange.attempt});
        detach(exchange);
    }
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

// Sends at once, or queues where all endpoints are busy, or gives up where there is none.
void Gateway::dispatch(Exchange &exchange, TimeMs now)
{
    if (trySend(exchange, now))
        return;
    const PlacementResult result = fleet_.choose(questionOf(exchange), now);
    if (result.problem == PlacementProblem::NoEndpoint)
        return giveUp(exchange, GatewayRefusal::NoEndpoint, now);
    counters_.add(GatewayCount::Queued);
    exchange.phase = ExchangePhase::Queued;
    const auto place = std::find_if(queue_.begin(), queue_.end(), [&](CallerId id) {
        return exchanges_.at(id).priority > exchange.priority;
    });
    queue_.insert(place, exchange.caller);
    log(LogWeight::Ordinary, "queued", exchange, {{"queue", queue_.size()}});
}

bool Gateway::trySend(Exchange &exchange, TimeMs now)
{
    const PlacementQuestion question = questionOf(exchange);
    const PlacementResult result = fleet_.choose(question, now);
    if (!result.choice)
        return false;
    send(exchange, question, *result.choice, now);
    return true;
}

void Gateway::send(Exchange &exchange, const PlacementQuestion &question, const PlacementChoice &choice,
                   TimeMs now, const std::optional<RunMemory> &memory)
{
    const FleetEndpoint &endpoint = *fleet_.find(choice.endpoint);
    exchange.attempt = {nextAttempt_++};
    exchange.endpoint = choice.endpoint;
    exchange.sentAt = now;
    exchange.prefillTokens = choice.prefillTokens;
    exchange.phase
        = exchange.phase == ExchangePhase::Streaming ? ExchangePhase::Streaming : ExchangePhase::Sent;
    exchange.tried.insert(choice.endpoint);
    exchange.body.clear();
    exchange.splitter.clear();
    exchange.eventsHere = 0;
    attempts_[exchange.attempt] = exchange.caller;
    fleet_.started(choice, question, now);
    if (question.engine)
        demand_.prefill(exchange.service, choice.prefillTokens);
    counters_.add(GatewayCount::Attempts);

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
    log(LogWeight::Ordinary, "send", exchange,
        {{"attempt", exchange.attempt.value},
         {"service", exchange.service.value},
         {"organisation", exchange.organisation.value},
         {"units", exchange.quotaUnits},
         {"limit_share", peers_.quotaScope(now).share},
         {"wait_ms", choice.waitMs},
         {"prefill_tokens", choice.prefillTokens},
         {"running", endpoint.running},
         {"peers_running", endpoint.peersRunning},
         {"list_age_ms", (now - endpoint.listedAt).count},
         {"configuration", exchange.configuration->version},
         {"configuration_age_ms", (now - confirmedAt_).count},
         {"remaining_ms", order.remaining.count}});
    actions_.emplace_back(std::move(order));
}

// Most urgent first. A request that can't be placed does not hold up those behind it: they may be for other
// services.
void Gateway::runQueue(TimeMs now)
{
    if (queue_.empty())
        return;
    const std::vector<CallerId> waiting = std::exchange(queue_, {});
    std::set<ServiceName> full;
    for (CallerId id : waiting) {
        const auto found = exchanges_.find(id);
        if (found == exchanges_.end())
            continue;
        Exchange &exchange = found->second;
        if (full.contains(exchange.service)) {
            queue_.push_back(id);
            continue;
        }
        if (const std::optional<OwnAnswer> refusal = judge(exchange, now)) {
            answer(exchange, *refusal, now);
            continue;
        }
        if (!trySend(exchange, now)) {
            queue_.push_back(id);
            full.insert(exchange.service);
        }
    }
}

DurationMs Gateway::retryAfter()
{
    return DefaultRetryAfter + DurationMs{static_cast<int64_t>(random_.below(RetryAfterSpreadMs))};
}

// ---- Endpoints ----

Exchange *Gateway::byAttempt(AttemptId attempt)
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &exchanges_.at(found->second);
}

// Ends the bookkeeping of the open attempt.
void Gateway::detach(Exchange &exchange)
{
    exchange.move.reset();
    fleet_.firstByte(exchange.endpoint, exchange.prefillTokens);
    fleet_.finished(exchange.endpoint, std::exchange(exchange.streaming, false));
    exchange.prefillTokens = 0;
    attempts_.erase(exchange.attempt);
    exchange.attempt = {};
}

void Gateway::noteStarted(Exchange &exchange, TimeMs at)
{
    if (exchange.countedForUsage || exchange.organisation.value.empty())
        return;
    exchange.countedForUsage = true;
    usage_.count(exchange.organisation, at);
}

// An answer that is not this request's own, and one of an instance that took over the address, say nothing
// about the request; the connection is given up with the attempt.
void Gateway::onHead(const AttemptHead &event, TimeMs now)
{
    Exchange *exchange = byAttempt(event.attempt);
    if (!exchange)
        return;
    if (!event.ownAnswer) {
        actions_.emplace_back(CancelSent{event.attempt});
        return onBroken({event.attempt, true}, now);
    }
    exchange->head = event;
    if (event.notExecuted || event.wrongInstance)
        return onRejected(*exchange, now);
    if (!event.eventStream)
        noteStarted(*exchange, exchange->sentAt);
}

// The endpoint stated that it did not run the request: it may go elsewhere, whatever its kind.
void Gateway::onRejected(Exchange &exchange, TimeMs now)
{
    log(LogWeight::Failure, "rejected", exchange,
        {{"attempt", exchange.attempt.value},
         {"status", exchange.head.status},
         {"wrong_instance", exchange.head.wrongInstance}});
    actions_.emplace_back(CancelSent{exchange.attempt});
    if (exchange.head.wrongInstance)
        fleet_.wrongInstance(exchange.endpoint);
    else
        fleet_.failed(exchange.endpoint, now);
    detach(exchange);
    ++exchange.rejections;
    const GatewayRetry reason
        = exchange.head.wrongInstance ? GatewayRetry::WrongInstance : GatewayRetry::NotExecuted;
    if (exchange.rejections <= MostRejections && repeat(exchange, reason, now))
        return;
    if (exchange.phase == ExchangePhase::Streaming)
        return streamBroke(exchange, now);
    giveUp(exchange, GatewayRefusal::NotExecuted, now);
}

void Gateway::onData(const AttemptData &event, TimeMs now)
{
    Exchange *exchange = byAttempt(event.attempt);
    if (!exchange)
        return;
    if (!exchange->head.eventStream) {
        exchange->body += event.bytes;
        if (exchange->body.size() > MostHeldBody) {
            actions_.emplace_back(CancelSent{event.attempt});
            onBroken({event.attempt, true}, now);
        }
        return;
    }
    fleet_.heard(exchange->endpoint, now);
    exchange->splitter.append(event.bytes);
    if (!passEvents(*exchange, now)) {
        actions_.emplace_back(CancelSent{event.attempt});
        onBroken({event.attempt, true}, now);
    }
}

// Passes whole events on at once. False if the endpoint left an event out or sent one twice: what it sends
// is not the stream that the caller has read so far.
bool Gateway::passEvents(Exchange &exchange, TimeMs now)
{
    std::string bytes;
    bool inOrder = true;
    while (std::optional<StreamEvent> event = exchange.splitter.next()) {
        if (event->id && exchange.lastEvent) {
            const uint64_t step = *event->id - *exchange.lastEvent;
            inOrder = *event->id > *exchange.lastEvent && exchange.eventStep.value_or(step) == step;
            if (!inOrder)
                break;
            exchange.eventStep = step;
        }
        if (event->id)
            exchange.lastEvent = event->id;
        bytes += event->text;
        ++exchange.events;
        ++exchange.eventsHere;
    }
    if (bytes.empty())
        return inOrder;
    if (exchange.phase != ExchangePhase::Streaming) {
        exchange.phase = ExchangePhase::Streaming;
        noteStarted(exchange, now);
        actions_.emplace_back(
            BeginCallerStream{exchange.caller, exchange.head.status, exchange.head.headers});
        log(LogWeight::Ordinary, "first_event", exchange, {{"after_ms", (now - exchange.arrivedAt).count}});
    }
    if (!std::exchange(exchange.streaming, true)) {
        exchange.firstEventAt = now;
        fleet_.streamBegan(exchange.endpoint);
        fleet_.firstByte(exchange.endpoint, exchange.prefillTokens);
        exchange.prefillTokens = 0;
    }
    actions_.emplace_back(CallerStreamData{exchange.caller, std::move(bytes)});
    return inOrder;
}

void Gateway::onEnd(const AttemptEnd &event, TimeMs now)
{
    Exchange *exchange = byAttempt(event.attempt);
    if (!exchange)
        return;
    if (!exchange->head.eventStream)
        return passWholeAnswer(*exchange, now);
    // A run that was stopped for its move ends its stream without the last event; it goes on elsewhere.
    if (exchange->move && exchange->move->handle) {
        exchange->move->sourceClosed = true;
        return goOnAtTarget(*exchange, now);
    }
    if (exchange->splitter.holdsPartial() || exchange->phase != ExchangePhase::Streaming)
        return onBroken({event.attempt, true}, now);
    fleet_.succeeded(exchange->endpoint);
    counters_.add(GatewayCount::StreamsWhole);
    log(LogWeight::Ordinary, "stream_whole", *exchange, {{"after_ms", (now - exchange->arrivedAt).count}});
    detach(*exchange);
    actions_.emplace_back(EndCallerStream{exchange->caller, true});
    finish(*exchange);
    runQueue(now);
}

// A server's own failure may be repeated where the route allows it; otherwise it is the caller's answer.
void Gateway::passWholeAnswer(Exchange &exchange, TimeMs now)
{
    const bool failed = exchange.head.status >= FirstServerError;
    if (failed)
        fleet_.failed(exchange.endpoint, now);
    else
        fleet_.succeeded(exchange.endpoint);
    detach(exchange);
    if (failed) {
        exchange.mayHaveRun = true;
        ++exchange.sends;
        if (exchange.route->kind == RouteKind::Idempotent && mayRepeat(exchange)
            && repeat(exchange, GatewayRetry::ServerError, now))
            return;
    }
    if (exchange.phase == ExchangePhase::Streaming)
        return streamBroke(exchange, now);
    // These promise the caller that nothing ran. The endpoint did not state that, so it is not passed on.
    if (std::find(PromisesNotRun.begin(), PromisesNotRun.end(), exchange.head.status)
        != PromisesNotRun.end()) {
        exchange.mayHaveRun = true;
        return giveUp(exchange, GatewayRefusal::EndpointBroken, now);
    }
    counters_.add(GatewayCount::AnswersPassed);
    log(failed ? LogWeight::Failure : LogWeight::Ordinary, "answered", exchange,
        {{"status", exchange.head.status}, {"after_ms", (now - exchange.arrivedAt).count}});
    actions_.emplace_back(
        AnswerCaller{exchange.caller, exchange.head.status, exchange.head.headers, std::move(exchange.body)});
    finish(exchange);
    runQueue(now);
}

void Gateway::onBroken(const AttemptBroken &event, TimeMs now)
{
    Exchange *exchange = byAttempt(event.attempt);
    if (!exchange)
        return;
    if (exchange->move && event.sent) {
        exchange->move->sourceClosed = true;
        if (exchange->move->handle)
            goOnAtTarget(*exchange, now);
        return;
    }
    log(LogWeight::Failure, "attempt_broken", *exchange,
        {{"attempt", event.attempt.value},
         {"sent", event.sent},
         {"after_ms", (now - exchange->sentAt).count}});
    fleet_.failed(exchange->endpoint, now);
    detach(*exchange);
    if (!event.sent) {
        if (repeat(*exchange, GatewayRetry::ConnectFailed, now))
            return;
    } else {
        exchange->mayHaveRun = true;
        ++exchange->sends;
        const GatewayRetry reason = exchange->phase == ExchangePhase::Streaming ? GatewayRetry::StreamResumed
                                                                                : GatewayRetry::Broken;
        if (mayRepeat(*exchange) && repeat(*exchange, reason, now))
            return;
    }
    if (exchange->phase == ExchangePhase::Streaming)
        return streamBroke(*exchange, now);
    giveUp(*exchange, GatewayRefusal::EndpointBroken, now);
}

// Whether a request that may have run may run once more.
bool Gateway::mayRepeat(const Exchange &exchange) const
{
    return exchange.sends < exchange.route->attempts && isRepeatable(*exchange.route);
}

// One more send, if the time, the budget of all daemons and an endpoint are there.
bool Gateway::repeat(Exchange &exchange, GatewayRetry reason, TimeMs now)
{
    // Also after a statement that the last attempt did not run it: an earlier one may have.
    if (exchange.mayHaveRun && !isRepeatable(*exchange.route))
        return false;
    if (std::min(exchange.callerWaitsUntil, exchange.timeoutAt) - now < LeastUsefulTime)
        return false;
    const PlacementQuestion question = questionOf(exchange);
    const PlacementResult result = fleet_.choose(question, now);
    if (!result.choice)
        return false;
    if (reason != GatewayRetry::ConnectFailed
        && !repeats_.take(exchange.service, peers_.memberCount(), now)) {
        counters_.add(GatewayCount::RetriesDenied);
        log(LogWeight::Failure, "repeat_denied", exchange, {{"reason", toText(reason)}});
        return false;
    }
    counters_.add(reason);
    log(LogWeight::Failure, "repeat", exchange, {{"reason", toText(reason)}, {"sends", exchange.sends}});
    send(exchange, question, *result.choice, now);
    return true;
}

// The caller has part of the answer: closing without the end mark tells it that the rest will not come.
void Gateway::streamBroke(Exchange &exchange, TimeMs now)
{
    counters_.add(GatewayCount::StreamsBroken);
    log(LogWeight::Failure, "stream_broken", exchange,
        {{"after_ms", (now - exchange.arrivedAt).count}, {"last_event", exchange.lastEvent.value_or(0)}});
    actions_.emplace_back(EndCallerStream{exchange.caller, false});
    finish(exchange);
    runQueue(now);
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
         {"status", own.status},
         {"retry_after_ms", own.retryAfter.count},
         {"after_ms", (now - exchange.arrivedAt).count},
         {"sends", exchange.sends},
         {"limit_share", peers_.quotaScope(now).share},
         {"rejections", exchange.rejections},
         {"configuration", configuration_ ? configuration_->version : 0},
         {"configuration_age_ms", (now - confirmedAt_).count}});
    actions_.emplace_back(std::move(action));
    finish(exchange);
}

// 503 says "not run and never will be": only where no attempt may have reached an endpoint that runs it.
void Gateway::giveUp(Exchange &exchange, GatewayRefusal reason, TimeMs now)
{
    if (exchange.mayHaveRun)
        return answer(exchange, {502, reason, {}}, now);
    if (exchange.quotaUnits > 0)
        quotas_.giveBack(exchange.organisation, exchange.quotaUnits);
    answer(exchange, {503, reason, retryAfter()}, now);
}

void Gateway::timeOut(Exchange &exchange, TimeMs now)
{
    if (exchange.attempt.value != 0) {
        exchange.mayHaveRun = true;
        actions_.emplace_back(CancelSent{exchange.attempt});
        detach(exchange);
    }
    if (exchange.phase == ExchangePhase::Streaming)
        return streamBroke(exchange, now);
    if (exchange.mayHaveRun)
        return answer(exchange, {504, GatewayRefusal::TimedOut, {}}, now);
    giveUp(exchange, GatewayRefusal::Overloaded, now);
}

void Gateway::finish(Exchange &exchange)
{
    std::erase(queue_, exchange.caller);
    exchanges_.erase(exchange.caller);
}

void Gateway::log(LogWeight weight, const char *event, const Exchange &exchange, json::object fields) const
{
    fields["request"] = exchange.request->id;
    if (!exchange.endpoint.value.empty())
        fields["endpoint"] = exchange.endpoint.value;
    log_.write(weight, event, std::move(fields));
}

// ---- Store and peers ----

void Gateway::onConfiguration(const ConfigurationRead &event, TimeMs now)
{
    confirmedAt_ = std::max(confirmedAt_, event.askedAt);
    if (!event.configuration || (configuration_ && event.configuration->version <= configuration_->version))
        return;
    log_.write(LogWeight::State, "configuration",
               {{"version", event.configuration->version},
                {"before", configuration_ ? configuration_->version : 0},
                {"routes", event.configuration->routes.size()},
                {"age_ms", (now - event.askedAt).count}});
    configuration_ = event.configuration;
    refillQuotas(now);
    counters_.add(GatewayCount::ConfigurationsTaken);
    runQueue(now);
}

void Gateway::onEndpoints(const EndpointsRead &event, TimeMs now)
{
    const std::map<EndpointId, FleetEndpoint> &known = fleet_.all();
    for (const EndpointEntry &entry : event.entries) {
        const auto found = known.find(entry.id);
        if (found == known.end() || found->second.entry.leaving != entry.leaving) {
            log_.write(LogWeight::State, "endpoint",
                       {{"endpoint", entry.id.value},
                        {"service", entry.service.value},
                        {"address", toText(entry.address)},
                        {"failure_domain", entry.failureDomain.value},
                        {"leaving", entry.leaving}});
        }
    }
    fleet_.take(event, now);
    runQueue(now);
}

void Gateway::onMembers(std::vector<MemberEntry> members)
{
    if (members != peers_.members())
        log_.write(LogWeight::State, "members", {{"count", members.size()}});
    peers_.setMembers(std::move(members));
}

void Gateway::onPeerReport(const PeerReport &report, TimeMs now)
{
    counters_.add(GatewayCount::PeerReports);
    if (peers_.take(report, quotas_, now))
        fleet_.setPeersLoad(peers_.loadSums(now));
}

void Gateway::refillQuotas(TimeMs now)
{
    if (!configuration_)
        return;
    const QuotaScope scope = peers_.quotaScope(now);
    for (const ServedOrganisation &organisation : configuration_->organisations)
        quotas_.refill(organisation, scope, now);
}

PeerReport Gateway::report(TimeMs now)
{
    PeerReport out;
    out.instance = settings_.instance;
    out.leaving = leavingSince_.has_value();
    out.ready = isReady(now);
    out.sequence = ++reports_;
    out.heard = peers_.heardCount(now);
    std::map<ServiceName, uint32_t> running;
    for (const std::pair<const CallerId, Exchange> &entry : exchanges_)
        ++running[entry.second.service];
    demand_.sample(running, now);
    out.demands = demand_.values();
    for (const std::pair<const EndpointId, FleetEndpoint> &entry : fleet_.all()) {
        if (entry.second.running > 0)
            out.loads.push_back({entry.first, entry.second.running, entry.second.prefillTokens});
    }
    refillQuotas(now);
    quotas_.reported();
    out.uses = quotas_.uses(now);
    // The newest windows only, and not each time: the holder of the duty needs them a second after their end.
    if (now >= windowsToldAt_) {
        windowsToldAt_ = now + WindowsPace;
        const int64_t oldest = usage_.windowAt(now) - 1;
        for (auto window = usage_.counts().lower_bound(oldest); window != usage_.counts().end(); ++window) {
            for (const std::pair<const OrganisationName, uint64_t> &count : window->second)
                out.windows.push_back({window->first, count.first, count.second});
        }
    }
    return out;
}

std::map<ServiceName, ServiceDemand> Gateway::demand(TimeMs now) const
{
    std::map<ServiceName, ServiceDemand> sums;
    std::vector<ServiceDemand> all = peers_.demandSums(now);
    for (const ServiceDemand &own : demand_.values())
        all.push_back(own);
    for (const ServiceDemand &each : all) {
        ServiceDemand &sum = sums[each.service];
        sum.service = each.service;
        sum.prefillTokensPerSecond += each.prefillTokensPerSecond;
        sum.running += each.running;
    }
    return sums;
}

std::vector<Address> Gateway::callerAddresses(const Address &own, TimeMs now) const
{
    std::vector<Address> out = peers_.readyAddresses(now);
    if (isReady(now))
        out.push_back(own);
    return out;
}

// Streams that may go on elsewhere leave an endpoint that fell silent; the others wait, it may come back.
void Gateway::leaveSilentEndpoints(TimeMs now)
{
    std::vector<AttemptId> silent;
    for (const std::pair<const AttemptId, CallerId> &entry : attempts_) {
        const Exchange &exchange = exchanges_.at(entry.second);
        if (exchange.streaming && exchange.route->resumable && exchange.sends + 1 < exchange.route->attempts
            && fleet_.isSilent(exchange.endpoint, now))
            silent.push_back(entry.first);
    }
    for (AttemptId attempt : silent) {
        actions_.emplace_back(CancelSent{attempt});
        onBroken({attempt, true}, now);
    }
}

void Gateway::tick(TimeMs now)
{
    fleet_.tick(now);
    leaveSilentEndpoints(now);
    probeEngines(now);
    moveRunsAway(now);
    fleet_.setPeersLoad(peers_.loadSums(now));
    std::vector<CallerId> late;
    for (const std::pair<const CallerId, Exchange> &entry : exchanges_) {
        if (now >= std::min(entry.second.timeoutAt, entry.second.callerWaitsUntil))
            late.push_back(entry.first);
    }
    for (CallerId id : late)
        timeOut(exchanges_.at(id), now);
    runQueue(now);
}

} // namespace cranberry
