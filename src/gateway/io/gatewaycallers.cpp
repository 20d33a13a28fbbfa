// Connections to callers and endpoints: turns HTTP exchanges into events of the core, and actions of the core
// into responses and attempts.

#include "gateway/io/connectfailure.h"
#include "gateway/io/gatewaystate.h"

#include <fmt/format.h>

namespace cranberry {

namespace {

/// An attempt ends by its time-out in the core, not because the endpoint sends nothing. This limit is only a
/// backstop.
constexpr DurationMs AttemptBackstop{3'600'000};
/// A caller with more unsent bytes than this is considered gone.
constexpr size_t MaxUnsentBytes = 4U << 20;
/// Smaller responses are covered by what each connection counts.
constexpr size_t MinCountedResponse = 8U << 10;
/// A report lists each run of its engine in some 60 bytes; replies to other short calls are smaller.
constexpr size_t MaxShortReply = 256U << 10;
constexpr DurationMs ReleaseTimeout{500};
/// Of a request whose last bytes are being written; callers choose its id.
constexpr size_t MaxLoggedId = 512;

/// Returns the status of a complete response; 0 if it is incomplete.
int completeStatus(const HttpResponse &response)
{
    return response.failure == HttpFailure::None ? response.status : 0;
}

} // namespace

void GatewayServer::State::onCaller(const HttpExchangePtr &exchange)
{
    const TimeMs now = steadyNow();
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(const CallerRequestPtr request, platform::decodeRequest(exchange->request()));
            gateway.onRequest({addCaller(exchange, request, now), request}, now);
            return {};
        },
        [&](const FieldError &error) {
            log.write(LogPriority::Failure, "bad_request", {{"error", toText(error)}});
            exchange->respond(400, {{"Content-Type", "application/json"}},
                              boost::json::serialize(
                                  boost::json::object{{"reason", "bad_request"}, {"error", toText(error)}}));
        },
        [&] { exchange->respond(400, {}, ""); });
    runActions();
}

CallerId GatewayServer::State::addCaller(const HttpExchangePtr &exchange, const CallerRequestPtr &request,
                                         TimeMs now)
{
    const CallerId caller{nextCaller++};
    callers[caller] = exchange;
    arrivals[caller] = {now, request};
    exchange->onClosed([this, caller] {
        const CloseCause cause = callers.at(caller)->closeCause();
        callers.erase(caller);
        arrivals.erase(caller);
        gateway.onCallerGone({caller, cause}, steadyNow());
        runActions();
    });
    return caller;
}

// A header that can't be decoded refuses the request, too.
HeadVerdict GatewayServer::State::onCallerHead(const HttpRequest &head)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<HeadVerdict> {
            BOOST_LEAF_ASSIGN(const CallerRequestPtr request, platform::decodeRequest(head));
            Gateway::RequestHead known = gateway.examineHead(request, steadyNow());
            if (!known.isRefused)
                return HeadVerdict{nullptr, std::move(known.organisation.value)};
            return HeadVerdict{
                [this, request](const HttpExchangePtr &exchange) { refuseCaller(request, exchange); }, {}};
        },
        [&] {
            return HeadVerdict{[this](const HttpExchangePtr &exchange) { onCaller(exchange); }, {}};
        });
}

void GatewayServer::State::refuseCaller(const CallerRequestPtr &request, const HttpExchangePtr &exchange)
{
    const TimeMs now = steadyNow();
    gateway.refuseByHead({addCaller(exchange, request, now), request}, now);
    runActions();
}

// A response that is kept until it is complete counts as its caller's bytes.
void GatewayServer::State::accountResponse(AttemptId attempt)
{
    const auto found = calls.find(attempt);
    const size_t kept = gateway.keptResponseBytes(attempt);
    if (found == calls.end() || kept <= MinCountedResponse)
        return;
    ByteClaim &claim = found->second.response;
    if (claim.bytes() == 0)
        claim = ByteClaim(bytes);
    if (!claim.growTo(kept, nullptr, HttpServer::now()))
        gateway.onNoRoomForResponse(attempt, steadyNow());
}

void GatewayServer::State::onEntryRequest(const HttpExchangePtr &exchange)
{
    const std::vector<Address> addresses = entryAddresses(steadyNow());
    if (addresses.empty())
        return exchange->respond(503, {}, "");
    exchange->respond(
        200, {{"Content-Type", "application/json"}},
        platform::encodeEntryResponse(addresses, std::max<int64_t>(settings.entryListTtl.count / 1000, 1)));
}

void GatewayServer::State::onReadinessRequest(const HttpExchangePtr &exchange)
{
    exchange->respond(gateway.isReady(steadyNow()) ? 200 : 503, {}, "");
}

void GatewayServer::State::onMetrics(const HttpExchangePtr &exchange)
{
    std::string text = prometheusText(gateway.counters()) + latency.prometheusText();
    text += engineSizing.prometheusText();
    text += fmt::format("cranberry_gateway_endpoints {}\ncranberry_gateway_unreached_services {}\n",
                        gateway.fleet().all().size(), gateway.paths().unreached().size());
    for (const std::pair<const ServiceName, uint32_t> &each : gateway.fleet().resting(steadyNow()))
        text += fmt::format("cranberry_gateway_endpoints_at_rest{{service=\"{}\"}} {}\n", each.first.value,
                            each.second);
    text
        += fmt::format("cranberry_gateway_peer_bytes_sent_total {}\ncranberry_gateway_store_calls_total {}\n",
                       peerBytesSent, storeCalls);
    text += serverMetrics();
    exchange->respond(200, {{"Content-Type", "text/plain"}}, text);
}

// ---- Actions ----

void GatewayServer::State::runActions()
{
    for (GatewayAction &action : gateway.takeActions())
        std::visit([this](auto &each) { run(each); }, action);
    for (const StoreCall &order : gateway.takeStoreCalls()) {
        callStore(order, [this](const StoreReply &reply) {
            gateway.onStoreReply(reply, steadyNow());
            runActions();
        });
    }
}

// Removes a caller's exchange for its final response; returns nullptr if the caller is gone.
HttpExchangePtr GatewayServer::State::removeCaller(CallerId caller)
{
    const auto found = callers.find(caller);
    if (found == callers.end())
        return nullptr;
    HttpExchangePtr exchange = found->second;
    const Arrival arrival = arrivals.at(caller);
    latency.fullResponse(steadyNow() - arrival.at);
    callers.erase(found);
    arrivals.erase(caller);
    watchLastBytes(exchange, arrival.request->id.substr(0, MaxLoggedId));
    return exchange;
}

// Until the whole response is written, its connection may still close. Without a line of its own, the log
// would tell of a whole answer that its caller does not have.
void GatewayServer::State::watchLastBytes(const HttpExchangePtr &exchange, std::string requestId)
{
    const std::weak_ptr<HttpExchange> watched = exchange;
    exchange->onClosed([this, watched, id = std::move(requestId)] {
        const HttpExchangePtr closed = watched.lock();
        const CloseCause cause = closed ? closed->closeCause() : CloseCause::Aborted;
        if (cause == CloseCause::Aborted)
            return; // By the core's order, which has its own line.
        gateway.counters().add(cause);
        log.write(isByClient(cause) ? LogPriority::Ordinary : LogPriority::Lost, "answer_unwritten",
                  {{"closed_by", isByClient(cause) ? "caller" : "gateway"},
                   {"cause", toText(cause)},
                   {"request", id}});
    });
}

void GatewayServer::State::run(AnswerCaller &action)
{
    const HttpExchangePtr exchange = removeCaller(action.caller);
    if (!exchange)
        return;
    if (action.framing == ResponseFraming::EndsWithConnection)
        exchange->endWithConnection();
    exchange->respond(action.status, action.headers, action.body);
}

void GatewayServer::State::run(BeginCallerStream &action)
{
    const auto found = callers.find(action.caller);
    if (found == callers.end())
        return;
    latency.firstToken(steadyNow() - arrivals.at(action.caller).at);
    if (action.framing == ResponseFraming::EndsWithConnection)
        found->second->endWithConnection();
    found->second->beginStream(action.status, action.headers);
}

void GatewayServer::State::run(CallerStreamData &action)
{
    const auto found = callers.find(action.caller);
    if (found == callers.end())
        return;
    const HttpExchangePtr exchange = found->second;
    exchange->write(action.bytes);
    if (exchange->pendingBytes() > MaxUnsentBytes)
        exchange->close(CloseCause::UnsentBytes);
}

void GatewayServer::State::run(EndCallerStream &action)
{
    const HttpExchangePtr exchange = removeCaller(action.caller);
    if (!exchange)
        return;
    if (action.complete)
        exchange->finish();
    else
        exchange->abort();
}

void GatewayServer::State::run(SendAttempt &action)
{
    HttpCall call;
    call.address = action.address;
    call.request = platform::encodeAttempt(action);
    call.connectTimeout = std::min(ConnectTimeout, action.remaining);
    call.progressTimeout = AttemptBackstop;
    const AttemptId attempt = action.attempt;
    HttpCallbacks callbacks;
    callbacks.onConnected = [this, endpoint = action.endpoint] {
        gateway.onEndpointConnected({endpoint}, steadyNow());
        runActions();
    };
    callbacks.onHead = [this, attempt, request = action.request](int status, const HttpHeaders &headers) {
        gateway.onHead(platform::decodeHead(attempt, *request, status, headers), steadyNow());
        runActions();
    };
    if (action.relay)
        return sendThroughRelay(action, std::move(call), std::move(callbacks));
    callbacks.onData = [this, attempt](const char *data, size_t size) {
        gateway.onData({attempt, std::string(data, size)}, steadyNow());
        accountResponse(attempt);
        runActions();
    };
    callbacks.onDone = [this, attempt](HttpFailure failure) {
        calls.erase(attempt);
        if (failure == HttpFailure::None)
            gateway.onEnd({attempt}, steadyNow());
        else
            gateway.onConnectionFailed({attempt, mayHaveArrived(failure), connectFailureOf(failure)},
                                       steadyNow());
        runActions();
    };
    calls[attempt] = {endpoints.start(std::move(call), std::move(callbacks)), false, {}};
}

// The endpoint's response comes back as it is. Whether the relay reached the endpoint is known from its own
// header alone; without it, the request may have been sent.
void GatewayServer::State::sendThroughRelay(const SendAttempt &action, HttpCall call, HttpCallbacks callbacks)
{
    const AttemptId attempt = action.attempt;
    call.address = *action.relay;
    addRelayHeaders(call.request, action.endpoint, false);
    const std::shared_ptr<std::optional<RelayOutcome>> outcome
        = std::make_shared<std::optional<RelayOutcome>>();
    callbacks.onConnected = nullptr;
    callbacks.onHead
        = [outcome, forward = std::move(callbacks.onHead)](int status, const HttpHeaders &headers) {
              *outcome = relayOutcomeOf(headers);
              if (*outcome == RelayOutcome::Reached)
                  forward(status, withoutRelayHeaders(headers));
          };
    callbacks.onData = [this, attempt, outcome](const char *data, size_t size) {
        if (*outcome == RelayOutcome::Reached) {
            gateway.onData({attempt, std::string(data, size)}, steadyNow());
            accountResponse(attempt);
            runActions();
        }
    };
    callbacks.onDone = [this, attempt, outcome](HttpFailure failure) {
        calls.erase(attempt);
        const RelayFailure relayed = relayFailureOf(failure, *outcome);
        if (failure == HttpFailure::None && *outcome == RelayOutcome::Reached)
            gateway.onEnd({attempt}, steadyNow());
        else
            gateway.onConnectionFailed(
                {attempt, relayed == RelayFailure::None, ConnectFailure::TimedOut, relayed}, steadyNow());
        runActions();
    };
    calls[attempt] = {relays.start(std::move(call), std::move(callbacks)), true, {}};
}

void GatewayServer::State::run(CancelSent &action)
{
    const auto found = calls.find(action.attempt);
    if (found == calls.end())
        return;
    (found->second.isRelayed ? relays : endpoints).cancel(found->second.call);
    calls.erase(found);
}

// Sends a short call to an endpoint that is no attempt of a request.
void GatewayServer::State::callEndpoint(EndpointCall order, std::function<void(const HttpResponse &)> onReply)
{
    HttpCall &call = order.call;
    call.connectTimeout = std::min(ConnectTimeout, order.timeout);
    call.progressTimeout = order.timeout;
    call.totalTimeout = order.timeout;
    call.maxBodyBytes = MaxShortReply;
    if (order.relay) {
        call.address = *order.relay;
        addRelayHeaders(call.request, order.endpoint, call.freshConnection);
        call.freshConnection = false;
    }
    HttpClient &client = order.relay ? relays : endpoints;
    client.fetch(std::move(call), [this, onReply = std::move(onReply)](const HttpResponse &response) {
        onReply(response);
        runActions();
    });
}

void GatewayServer::State::run(MigrateGeneration &action)
{
    EndpointCall order{action.sourceId, {}, action.timeout, action.relay};
    order.call.address = action.source;
    order.call.request = platform::encodeMigration(action);
    callEndpoint(std::move(order), [this, action](const HttpResponse &reply) {
        const std::optional<RelayOutcome> outcome
            = action.relay ? relayOutcomeOf(reply.headers) : RelayOutcome::Reached;
        const int status = outcome == RelayOutcome::Reached ? completeStatus(reply) : 0;
        GenerationMigrated migrated = platform::decodeMigrationReply(action.attempt, status, reply.body);
        const bool isAsked = action.relay ? relayFailureOf(reply.failure, outcome) == RelayFailure::None
                                          : mayHaveArrived(reply.failure);
        if (!isAsked)
            migrated.outcome = MigrationOutcome::Unreached;
        migrated.call = action.call;
        migrated.step = action.step;
        gateway.onGenerationMigrated(migrated, steadyNow());
    });
}

// Without a reply the copy is freed after a while all the same.
void GatewayServer::State::run(ReleaseKvCache &action)
{
    EndpointCall order{action.sourceId, {}, ReleaseTimeout, action.relay};
    order.call.address = action.kvCache.source;
    order.call.request = platform::encodeRelease(action);
    callEndpoint(std::move(order), [](const HttpResponse &) {});
}

void GatewayServer::State::run(ProbeEngine &action)
{
    EndpointCall order{action.endpoint, {}, action.timeout, action.relay};
    order.call.address = action.address;
    order.call.request = platform::encodeProbe();
    order.call.freshConnection = action.afterConnectionFailure;
    callEndpoint(std::move(order), [this, action](const HttpResponse &reply) {
        const std::optional<RelayOutcome> outcome
            = action.relay ? relayOutcomeOf(reply.headers) : RelayOutcome::Reached;
        const int status = outcome == RelayOutcome::Reached ? completeStatus(reply) : 0;
        EngineProbed probed = platform::decodeProbe(action.endpoint, status, reply.headers, reply.body);
        probed.afterConnectionFailure = action.afterConnectionFailure;
        probed.isRepeat = action.isRepeat;
        probed.relay = action.relay;
        if (action.relay) {
            probed.relayFailure = relayFailureOf(reply.failure, outcome);
            if (outcome == RelayOutcome::EndpointExited)
                probed.process = EndpointProcess::Exited;
        } else {
            probed.connect = connectFailureOf(reply.failure);
            if (reply.failure == HttpFailure::Refused)
                probed.process = EndpointProcess::Exited;
            else if (reply.failure == HttpFailure::Interrupted)
                probed.process = EndpointProcess::Closed;
        }
        gateway.onEngineProbed(probed, steadyNow());
    });
}

void GatewayServer::State::run(CloseIdleConnections &action)
{
    for (const Address &address : action.addresses)
        endpoints.closeIdle(address);
}

// A request for no endpoint, which a relay declines at once.
void GatewayServer::State::run(ProbeRelay &action)
{
    EndpointCall order{{}, {}, action.timeout, action.relay};
    order.call.request = platform::encodeProbe();
    callEndpoint(std::move(order), [this, relay = action.relay](const HttpResponse &reply) {
        gateway.onRelayProbed({relay, relayOutcomeOf(reply.headers).has_value()}, steadyNow());
    });
}

void GatewayServer::State::run(ProbePath &action)
{
    endpoints.connect(
        action.address, action.timeout, [this, endpoint = action.endpoint](HttpFailure failure) {
            gateway.onEndpointConnected({endpoint, connectFailureOf(failure), true}, steadyNow());
            runActions();
        });
}

} // namespace cranberry
