// The gateway's HTTP servers: which part of the process's memory and descriptors each may use.

#include "gateway/io/gatewaystate.h"

#include <fmt/format.h>

namespace cranberry {

namespace {

/// Requests for addresses, readiness and metrics have no body that matters.
constexpr uint32_t MaxIgnoredBody = 4U << 10;
/// Callers come back on a new connection, most of them to another daemon.
constexpr DurationMs NoRoomRetryAfter{200};

Address withPort(const Address &address, uint32_t port)
{
    return {address.host, static_cast<uint16_t>(port)};
}

} // namespace

std::unique_ptr<HttpServer> GatewayServer::State::startServer(const Address &address,
                                                              const HttpServerLimits &limits,
                                                              HttpServerShare share,
                                                              void (State::*handler)(const HttpExchangePtr &))
{
    share.bytes = bytes;
    share.retryAfter = NoRoomRetryAfter;
    return std::make_unique<HttpServer>(
        io, address, limits, [this, handler](const HttpExchangePtr &each) { (this->*handler)(each); },
        std::move(share));
}

void GatewayServer::State::startServers()
{
    const ConnectionLimits connections = connectionLimits(processLimits);
    HttpServerLimits withoutBody;
    withoutBody.maxBodyBytes = MaxIgnoredBody;
    HttpServerShare share;
    share.maxConnections = connections.other;
    readinessServer = startServer(settings.readinessAddress, withoutBody, share, &State::onReadinessRequest);
    if (settings.metricsPort != 0)
        metricsServer = startServer(withPort(settings.callerAddress, settings.metricsPort), withoutBody,
                                    share, &State::onMetrics);
    share.maxConnections = connections.entry;
    entryServer = startServer(settings.entryAddress, withoutBody, share, &State::onEntryRequest);
    share.maxConnections = connections.callers;
    share.checkHead = [this](const HttpRequest &head) { return onCallerHead(head); };
    callerServer = startServer(settings.callerAddress, {}, share, &State::onCaller);
    share = relay.share(bytes);
    share.maxConnections = connections.relay;
    relay.setMaxConnections(connections.relay);
    relayServer
        = startServer(settings.peerAddress, EndpointRelay::limitsFor({}), share, &State::onRelayRequest);
}

std::string GatewayServer::State::serverMetrics() const
{
    std::string out
        = fmt::format("cranberry_gateway_client_bytes {}\ncranberry_gateway_client_bytes_limit {}\n"
                      "cranberry_gateway_client_bytes_refused_total {}\n"
                      "cranberry_gateway_client_bytes_gave_way_total {}\n",
                      bytes->used(), bytes->limit(), bytes->counters().refused, bytes->counters().gaveWay);
    const std::pair<const char *, const ByteBudgetPtr &> replies[]
        = {{"endpoints", endpointReplies}, {"store", storeReplies}};
    for (const auto &[source, budget] : replies)
        out += fmt::format("cranberry_gateway_reply_bytes{{from=\"{0}\"}} {1}\n"
                           "cranberry_gateway_replies_without_room_total{{from=\"{0}\"}} {2}\n",
                           source, budget->used(), budget->counters().refused + budget->counters().gaveWay);
    const std::pair<const char *, const HttpServer *> servers[] = {{"callers", callerServer.get()},
                                                                   {"entry", entryServer.get()},
                                                                   {"readiness", readinessServer.get()},
                                                                   {"metrics", metricsServer.get()},
                                                                   {"relay", relayServer.get()}};
    for (const auto &[name, server] : servers) {
        if (!server)
            continue;
        const HttpServerCounters &counters = server->counters();
        const std::pair<const char *, uint64_t> causes[]
            = {{"bad_request", counters.badRequests},  {"too_large", counters.tooLarge},
               {"timeout", counters.timeouts},         {"no_memory", counters.noMemory},
               {"unread_body", counters.unreadBodies}, {"no_connection", counters.noConnection}};
        out += fmt::format("cranberry_gateway_http_open{{server=\"{}\"}} {}\n", name,
                           server->openConnections());
        for (const auto &[cause, count] : causes)
            out += fmt::format("cranberry_gateway_http_refusals_total{{server=\"{}\",cause=\"{}\"}} {}\n",
                               name, cause, count);
    }
    return out;
}

// One line for all clients together: they do not choose how much is logged.
void GatewayServer::State::reportMemory()
{
    const ByteBudget::Counters &counters = bytes->counters();
    const uint64_t refusals = counters.refused + counters.gaveWay;
    if (refusals == reportedRefusals)
        return;
    log.write(LogPriority::Failure, "client_bytes_short",
              {{"bytes", bytes->used()},
               {"limit", bytes->limit()},
               {"refused", counters.refused},
               {"gave_way", counters.gaveWay},
               {"since_last_line", refusals - reportedRefusals}});
    reportedRefusals = refusals;
}

// As above.
void GatewayServer::State::reportConnections()
{
    const uint64_t ofCallers = callerServer->counters().noConnection;
    uint64_t closings = 0;
    for (const HttpServer *each : {callerServer.get(), entryServer.get(), readinessServer.get(),
                                   metricsServer.get(), relayServer.get()})
        closings += each ? each->counters().noConnection : 0;
    if (closings == reportedClosings)
        return;
    log.write(LogPriority::Failure, "connections_short",
              {{"open_callers", callerServer->openConnections()},
               {"max_callers", connectionLimits(processLimits).callers},
               {"closed_callers", ofCallers},
               {"closed_others", closings - ofCallers},
               {"since_last_line", closings - reportedClosings}});
    reportedClosings = closings;
}

} // namespace cranberry
