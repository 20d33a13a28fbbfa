#include "gatewayfixture.h"

#include <algorithm>
#include <fmt/format.h>

namespace cranberry {

namespace {

constexpr DurationMs Step{25};
constexpr int64_t ReadEveryMs = 500;

GatewaySettings testSettings()
{
    GatewaySettings settings;
    settings.instance.value = "entry-1";
    settings.failureDomain.value = "north";
    settings.retryLimits = {0.2, 40, {10000}};
    settings.seed = 7;
    return settings;
}

Route makeRoute(const std::string &name, RouteKind kind, const std::string &service, DurationMs timeout)
{
    Route route;
    route.name = name;
    route.host = "portal.example";
    route.prefix = "/" + name + "/";
    route.kind = kind;
    route.targets.push_back({ServiceName{service}, 1});
    route.timeout = timeout;
    route.latencyTarget = {1000};
    route.attempts = 2;
    return route;
}

EndpointEntry makeEndpoint(const std::string &id, const std::string &service, const std::string &domain,
                           uint16_t port)
{
    EndpointEntry entry;
    entry.id.value = id;
    entry.service.value = service;
    entry.address = {"10.0.0.1", port};
    entry.failureDomain.value = domain;
    entry.slots = service == "model" ? 64 : 2;
    return entry;
}

} // namespace

size_t RecordingLog::count(const std::string &event) const
{
    return static_cast<size_t>(
        std::count_if(lines.begin(), lines.end(), [&event](const boost::json::object &line) {
            return line.at("event").as_string() == event;
        }));
}

LogPriority RecordingLog::priorityOf(const std::string &event) const
{
    for (size_t i = lines.size(); i-- > 0;) {
        if (lines[i].at("event").as_string() == event)
            return priorities[i];
    }
    FAIL("no line of this event: ", event);
    return LogPriority::State;
}

void answerDraws(Gateway &gateway, FakeStore &store, TimeMs now)
{
    store.faults.delay = {0};
    for (std::vector<StoreCall> calls = gateway.takeStoreCalls(); !calls.empty();
         calls = gateway.takeStoreCalls()) {
        for (const StoreCall &call : calls)
            store.submit(0, call, now);
        for (const std::pair<size_t, StoreReply> &reply : store.replies(now))
            gateway.onStoreReply(reply.second, now);
    }
}

GatewayFixture::GatewayFixture() : gateway(testSettings(), log)
{
    endpoints = {makeEndpoint("m1", "model", "north", 1), makeEndpoint("m2", "model", "south", 2),
                 makeEndpoint("m3", "model", "west", 3), makeEndpoint("p1", "plain", "north", 4),
                 makeEndpoint("p2", "plain", "south", 5)};
    configure(makeConfiguration(1));
    listEndpoints();
}

void GatewayFixture::startAgain()
{
    std::destroy_at(&gateway);
    std::construct_at(&gateway, testSettings(), log);
}

std::shared_ptr<ServingConfiguration> GatewayFixture::makeConfiguration(uint64_t version) const
{
    std::shared_ptr<ServingConfiguration> out = std::make_shared<ServingConfiguration>();
    out->version = version;
    out->routes = {makeRoute("review", RouteKind::Streaming, "model", {12000}),
                   makeRoute("draft", RouteKind::Streaming, "model", {12000}),
                   makeRoute("order", RouteKind::NonIdempotent, "plain", {1500}),
                   makeRoute("lookup", RouteKind::Idempotent, "plain", {1500})};
    out->routes[0].resumable = true;
    ServedService model;
    model.name.value = "model";
    model.engine = EngineFigures{64, 500'000, 3};
    ServedService plain;
    plain.name.value = "plain";
    out->services = {model, plain};
    ServedOrganisation organisation;
    organisation.name.value = "a";
    organisation.keys = {"key-a"};
    out->organisations = {organisation};
    return out;
}

void GatewayFixture::configure(const std::shared_ptr<ServingConfiguration> &given)
{
    configuration = given;
    configuration->index();
    gateway.onConfiguration({configuration, now}, now);
    drainActions();
}

void GatewayFixture::listEndpoints()
{
    gateway.onEndpoints({endpoints, now}, now);
    drainActions();
}

void GatewayFixture::serveForWindow()
{
    gateway.onMembers({{{"entry-1"}, {1}, {"north"}, {}, {"10.0.0.1", 90}, 1, true}}, now);
    pass(DurationMs{12000});
}

void GatewayFixture::pass(DurationMs duration)
{
    const TimeMs until = now + duration;
    while (now < until) {
        now = now + Step;
        if (storeReachable && now.count % ReadEveryMs == 0) {
            gateway.onConfiguration({configuration, now}, now);
            gateway.onEndpoints({endpoints, now}, now);
        }
        gateway.tick(now);
        drainActions();
    }
}

CallerRequest GatewayFixture::makeRequest(const std::string &path) const
{
    CallerRequest request;
    request.id = fmt::format("request-{}", nextCaller_);
    request.method = "POST";
    request.target = path;
    request.path = path;
    request.host = "portal.example";
    request.key = "key-a";
    request.deadline = DurationMs{12000};
    request.promptTokens = 1000;
    request.outputTokens = 100;
    request.statesTokens = true;
    return request;
}

CallerId GatewayFixture::request(const std::string &path, const std::string &key)
{
    CallerRequest request = makeRequest(path);
    request.key = key;
    return this->request(request);
}

CallerId GatewayFixture::request(const CallerRequest &request)
{
    const CallerId caller{nextCaller_++};
    gateway.onRequest({caller, std::make_shared<CallerRequest>(request)}, now);
    drainActions();
    return caller;
}

void GatewayFixture::head(AttemptId attempt, int status, bool eventStream, bool notExecuted)
{
    AttemptHead head;
    head.attempt = attempt;
    head.status = status;
    head.eventStream = eventStream;
    head.notExecuted = notExecuted;
    gateway.onHead(head, now);
    drainActions();
}

void GatewayFixture::events(AttemptId attempt, uint64_t first, uint64_t last)
{
    for (uint64_t id = first; id <= last; ++id)
        data(attempt, fmt::format("id: {}\ndata: {}\n\n", id, id));
}

void GatewayFixture::data(AttemptId attempt, const std::string &bytes)
{
    gateway.onData({attempt, bytes}, now);
    drainActions();
}

void GatewayFixture::end(AttemptId attempt)
{
    gateway.onEnd({attempt}, now);
    drainActions();
}

void GatewayFixture::broken(AttemptId attempt, bool sentAny)
{
    gateway.onConnectionFailed({attempt, sentAny}, now);
    drainActions();
}

void GatewayFixture::replyToMove(MigrationOutcome outcome, const std::string &handle,
                                 std::optional<uint64_t> eventsMade)
{
    REQUIRE_FALSE(moves.empty());
    replyTo(MigrateGeneration(moves.back()), outcome, handle, eventsMade);
}

void GatewayFixture::replyTo(const MigrateGeneration &call, MigrationOutcome outcome,
                             const std::string &handle, std::optional<uint64_t> eventsMade)
{
    gateway.onGenerationMigrated({call.attempt, outcome, handle, eventsMade, call.call, call.step}, now);
    drainActions();
}

void GatewayFixture::endpointEnded(const EndpointId &endpoint)
{
    gateway.onEngineProbed({endpoint, {}, false, false, {}, EndpointProcess::Exited, true}, now);
    drainActions();
}

int GatewayFixture::statusOf(CallerId caller) const
{
    const auto found = answers.find(caller);
    return found == answers.end() ? 0 : found->second.status;
}

std::string GatewayFixture::headerOfAnswer(CallerId caller, const std::string &name) const
{
    const auto found = answers.find(caller);
    return found == answers.end() ? std::string() : headerOf(found->second.headers, name);
}

void GatewayFixture::drainActions()
{
    if (storeReachable)
        answerDraws(gateway, store, now);
    for (const GatewayAction &action : gateway.takeActions()) {
        if (const AnswerCaller *answer = std::get_if<AnswerCaller>(&action))
            answers[answer->caller] = *answer;
        else if (const BeginCallerStream *begin = std::get_if<BeginCallerStream>(&action))
            streamFramings[begin->caller] = begin->framing;
        else if (const CallerStreamData *streamData = std::get_if<CallerStreamData>(&action))
            streamed[streamData->caller] += streamData->bytes;
        else if (const EndCallerStream *streamEnd = std::get_if<EndCallerStream>(&action))
            streamEnds[streamEnd->caller] = streamEnd->complete;
        else if (const SendAttempt *attempt = std::get_if<SendAttempt>(&action))
            sent.push_back(*attempt);
        else if (const CancelSent *cancel = std::get_if<CancelSent>(&action))
            cancelled.push_back(cancel->attempt);
        else if (const MigrateGeneration *move = std::get_if<MigrateGeneration>(&action))
            moves.push_back(*move);
        else if (const ReleaseKvCache *release = std::get_if<ReleaseKvCache>(&action))
            releases.push_back(*release);
        else if (const ProbeEngine *probe = std::get_if<ProbeEngine>(&action))
            probes.push_back(*probe);
        else if (const ProbePath *path = std::get_if<ProbePath>(&action)) {
            const auto outcome = pathOutcomes.find(path->endpoint);
            if (outcome != pathOutcomes.end())
                gateway.onEndpointConnected({path->endpoint, outcome->second, true}, now);
        } else if (const CloseIdleConnections *close = std::get_if<CloseIdleConnections>(&action))
            closed.insert(closed.end(), close->addresses.begin(), close->addresses.end());
        else if (const SendToPeer *word = std::get_if<SendToPeer>(&action)) {
            if (const QuotaRequest *ask = std::get_if<QuotaRequest>(&word->message))
                asks.emplace_back(word->to, *ask);
        }
    }
}

} // namespace cranberry
