#include "daemon/safeguards.h"
#include "daemon/world.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr uint32_t MaxTries = 6;
constexpr double ServiceMsWeight = 0.05;
constexpr DurationMs WitnessRetention{5000};
constexpr int64_t PercentBeforeMove = 60;
constexpr DurationMs BatchAgeing{2000};
/// Attempts of one request that crash an endpoint together see the crash within milliseconds of each other.
constexpr int64_t CrashWindowMs = 1000;

Request *findByAttempt(World &world, AttemptId attempt)
{
    auto found = world.attempts.find(attempt);
    if (found == world.attempts.end())
        return nullptr;
    auto request = world.requests.find(found->second);
    return request == world.requests.end() ? nullptr : &request->second;
}

void closeAttempt(World &world, Request &request)
{
    world.attempts.erase(request.attempt);
    world.endpoints.finished(request.endpoint, request.workTokens);
    request.attempt = {};
}

// Starts an attempt on the chosen endpoint. The engine continues from the text generated so far.
void startAttempt(World &world, Request &request, const Service &service, uint32_t index,
                  const RoutingQuery &query)
{
    const Endpoint &endpoint = world.endpoints.at(index).endpoint;
    world.endpoints.started(index, query);
    if (!request.spec->idempotent)
        request.once.dispatched();
    request.phase = RequestPhase::Running;
    request.attempt = {world.nextAttempt++};
    request.endpoint = endpoint.name;
    request.lastSentAt = world.now;
    request.moveDueAt.reset();
    world.attempts[request.attempt] = request.id;
    if (!request.text.empty())
        world.counters.add(Counter::RecomputedTokens,
                           predictedTokens(request.spec->prompt) + request.generatedTokens);
    world.actions.push_back(StartAttempt{request.attempt, endpoint.name, endpoint.address, service.kind,
                                         request.spec, request.text, request.generatedTokens,
                                         service.progressTimeout});
}

Outcome outcomeOf(const Request &request)
{
    return request.possiblyRan || request.attempt.value ? Outcome::Unknown : Outcome::NotRun;
}

bool isQuarantined(const World &world, const Request &request)
{
    return world.suspects.isQuarantined(request.digest, world.now);
}

void giveUpQuarantined(World &world, Request &request)
{
    giveUp(world, request,
           {outcomeOf(request), RefusalReason::RequestQuarantined,
            world.suspects.timeLeft(request.digest, world.now)});
}

// Guards against a request that crashes every endpoint that runs it: each submission would crash six
// endpoints, together with the other requests that run there, and each retry by the caller six more. Three
// crashes without an answer are sufficient for the quarantine, because endpoints that only break connections
// or exit for other reasons complete the request in between. An endpoint keeps its name when it restarts, so
// its incarnations are distinguished by the time of the crash.
void recordEndpointCrash(World &world, const Request &request)
{
    const EndpointIncarnation incarnation{{request.endpoint.value}, {world.now.count / CrashWindowMs}};
    world.suspects.recordCrash({request.digest, incarnation, !request.text.empty()}, world.now);
}

// Returns true if the request no longer belongs in the queue.
bool tryDispatch(World &world, Request &request)
{
    const bool mayDispatch = request.spec->idempotent || request.once.mayDispatch();
    if (request.phase != RequestPhase::Queued || !mayDispatch)
        return true;
    const Service *service = world.configuration->findService(request.spec->service);
    if (!service) {
        giveUp(world, request, {Outcome::NotRun, RefusalReason::UnknownService, DurationMs{0}});
        return true;
    }
    if (isQuarantined(world, request)) {
        giveUpQuarantined(world, request);
        return true;
    }
    const RoutingQuery query{*service, world.configuration->weights,
                             PrefixIndex::blockHashes(request.spec->prompt), request.workTokens,
                             request.avoidEndpoint};
    const std::optional<uint32_t> index = world.endpoints.choose(query, world.marks, world.now, world.random);
    if (!index)
        return false;
    startAttempt(world, request, *service, *index, query);
    return true;
}

void waitForRetry(World &world, Request &request)
{
    const uint64_t ceiling = static_cast<uint64_t>(backoffCeiling(request.tries).count);
    request.phase = RequestPhase::BackingOff;
    request.retryAt = world.now + DurationMs{static_cast<int64_t>(world.random.below(ceiling))};
}

// A retry also waits for the retry budget instead of failing without it. If many streams stall at once, the
// budget is empty before all of them are retried; giving the rest up would lose accepted idempotent requests.
// The budget also refills without successes, so that the wait ends when no other work is left.
void retryLater(World &world, Request &request, RetryReason reason)
{
    world.counters.add(reason);
    const bool withoutBudget = reason == RetryReason::EndpointLeaving;
    if (!withoutBudget && ++request.tries >= MaxTries)
        return giveUp(world, request,
                      {outcomeOf(request), RefusalReason::RetriesExhausted, backoffCeiling(MaxTries)});
    request.needsRetryBudget = !withoutBudget;
    if (!withoutBudget)
        return waitForRetry(world, request);
    request.phase = RequestPhase::BackingOff;
    request.retryAt = world.now;
}

// The witness keeps its copy for WitnessRetention after the request has ended. Otherwise no daemon would know
// the request if the owner crashes while the answer is on its way and the caller resumes elsewhere.
void tickClosed(World &world, Request &request)
{
    if (request.witnessDropped || !request.witness || world.now - request.endedAt < WitnessRetention)
        return;
    request.witnessDropped = true;
    sendTo(world, request.witness, WitnessDrop{request.id});
}

RetryReason reasonOf(FailurePhase phase)
{
    switch (phase) {
    case FailurePhase::NotSent:
        return RetryReason::ConnectFailed;
    case FailurePhase::SaidNotRun:
        return RetryReason::SaidNotRun;
    case FailurePhase::Silent:
        return RetryReason::SilentStream;
    case FailurePhase::AfterSend:
    case FailurePhase::EndpointExited:
        break;
    }
    return RetryReason::BrokenStream;
}

} // namespace

// Both work classes share one queue. Interactive requests overtake batch requests that have waited less than
// BatchAgeing, so that batch work is delayed but never starved.
void enqueue(World &world, Request &request)
{
    request.phase = RequestPhase::Queued;
    auto queuePosition = world.queue.end();
    if (request.spec->workClass == WorkClass::Interactive) {
        queuePosition = std::find_if(world.queue.begin(), world.queue.end(), [&world](const RequestId &id) {
            auto found = world.requests.find(id);
            return found != world.requests.end() && found->second.spec->workClass == WorkClass::Batch
                && world.now - found->second.arrivedAt < BatchAgeing;
        });
    }
    world.queue.insert(queuePosition, request.id);
}

void dispatchQueue(World &world)
{
    if (!world.configuration || world.now < world.dispatchPausedUntil)
        return;
    std::deque<RequestId> waiting;
    waiting.swap(world.queue);
    while (!waiting.empty()) {
        const RequestId id = waiting.front();
        waiting.pop_front();
        auto found = world.requests.find(id);
        if (found != world.requests.end() && !tryDispatch(world, found->second))
            world.queue.push_back(id);
    }
}

void cancelAttempt(World &world, Request &request)
{
    if (!request.attempt.value)
        return;
    world.actions.push_back(CancelAttempt{request.attempt});
    request.possiblyRan = true;
    closeAttempt(world, request);
}

size_t keptAnswerBytes(const World &world)
{
    size_t bytes = 0;
    for (const std::pair<const RequestId, Request> &each : world.requests)
        bytes += each.second.phase == RequestPhase::Running ? 0 : each.second.text.capacity();
    for (const std::pair<const RequestId, WitnessRecord> &each : world.witnessRecords)
        bytes += each.second.copy.text.capacity();
    return bytes;
}

void onEndpointData(World &world, const EndpointData &event)
{
    Request *request = findByAttempt(world, event.attempt);
    if (!request)
        return;
    request->text += event.text;
    request->generatedTokens += event.tokens;
    deliver(world, *request);
}

void onEndpointEnd(World &world, const EndpointEnd &event)
{
    Request *request = findByAttempt(world, event.attempt);
    if (!request)
        return;
    const double elapsedMs = static_cast<double>((world.now - request->lastSentAt).count);
    world.meanAttemptMs += ServiceMsWeight * (elapsedMs - world.meanAttemptMs);
    world.endpoints.succeeded(request->endpoint);
    world.retryBudget.succeeded();
    world.suspects.recordAnswer(request->digest, world.now);
    world.counters.add(Counter::CachedTokens, event.cachedTokens);
    closeAttempt(world, *request);

    request->phase = RequestPhase::Ended;
    request->endedAt = world.now;
    request->end = {event.status,         event.contentType,       event.finishReason,
                    request->text.size(), digestOf(request->text), event.isUnframed};
    reportFinished(world, *request);
    acceptIfSafe(world, *request);
    deliver(world, *request);
    dispatchQueue(world);
}

// If the connection breaks after the request was sent, a resend could run it twice (for example, file a
// document in two versions). A request that is not idempotent is retried only on proof that nothing ran: no
// byte was sent, or the endpoint reported it. Any other failure concludes it as "unknown" immediately.
void onEndpointFailed(World &world, const EndpointFailed &event)
{
    Request *request = findByAttempt(world, event.attempt);
    if (!request)
        return;
    const bool notRunProved = event.phase == FailurePhase::NotSent || event.phase == FailurePhase::SaidNotRun;
    world.endpoints.failed(request->endpoint, world.now);
    if (event.phase == FailurePhase::EndpointExited)
        recordEndpointCrash(world, *request);
    closeAttempt(world, *request);
    request->avoidEndpoint = request->endpoint;
    if (notRunProved) {
        request->once.provedNotRun();
    } else {
        request->possiblyRan = true;
    }
    const bool mayRetry = request->spec->idempotent || notRunProved || !isOn(Safeguard::NoResendAfterSend);
    if (!mayRetry) {
        request->once.giveUp();
        endWithRefusal(world, *request, {Outcome::Unknown, RefusalReason::EndpointFailed, DurationMs{0}});
    } else if (isQuarantined(world, *request)) {
        giveUpQuarantined(world, *request);
    } else {
        if (!notRunProved && !request->spec->idempotent)
            request->once.provedNotRun(); // Reached only when the safeguard is disabled.
        retryLater(world, *request, reasonOf(event.phase));
    }
    dispatchQueue(world);
}

// Called when an endpoint is about to leave. Idempotent requests stay for PercentBeforeMove of the notice,
// since those that complete in that time cost nothing, and then continue on another endpoint from the text
// generated so far. Requests that must not be repeated run to completion.
void moveOffEndpoint(World &world, const InstanceName &instance, DurationMs notice)
{
    for (std::pair<const RequestId, Request> &entry : world.requests) {
        Request &request = entry.second;
        if (request.phase != RequestPhase::Running || !request.spec->idempotent)
            continue;
        const std::optional<uint32_t> index = world.endpoints.find(request.endpoint);
        if (index && world.endpoints.at(*index).endpoint.instance == instance)
            request.moveDueAt = world.now + notice * PercentBeforeMove / 100;
    }
}

void tickRequests(World &world)
{
    // Step 1. For each open request, check its deadline, register query, backoff and endpoint notice.
    std::vector<RequestId> ids;
    ids.reserve(world.requests.size());
    for (const std::pair<const RequestId, Request> &entry : world.requests)
        ids.push_back(entry.first);
    for (const RequestId &id : ids) {
        auto found = world.requests.find(id);
        if (found == world.requests.end())
            continue;
        Request &request = found->second;
        if (!request.isOpen()) {
            tickClosed(world, request);
            if (request.listeners.empty() && world.now - request.endedAt > world.answerRetention)
                world.requests.erase(found);
            continue;
        }
        if (request.phase == RequestPhase::Moving)
            continue;
        if (world.now >= request.deadlineAt && request.once.phase() != OnceAttempt::Phase::Refusing) {
            giveUp(world, request, {outcomeOf(request), RefusalReason::DeadlinePassed, DurationMs{0}});
            continue;
        }
        tickOnce(world, request);
        if (request.phase == RequestPhase::BackingOff && world.now >= request.retryAt) {
            if (request.needsRetryBudget && !world.retryBudget.take(world.now)) {
                waitForRetry(world, request);
                continue;
            }
            request.needsRetryBudget = false;
            enqueue(world, request);
        } else if (request.phase == RequestPhase::Running && request.moveDueAt
                   && world.now >= *request.moveDueAt) {
            cancelAttempt(world, request);
            retryLater(world, request, RetryReason::EndpointLeaving);
        }
    }
    // Step 2. Dispatch requests that became due or for which slots became free.
    dispatchQueue(world);
}

} // namespace cranberry
