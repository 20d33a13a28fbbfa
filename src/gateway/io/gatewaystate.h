#pragma once

#include "gateway/duties/checkpointreader.h"
#include "gateway/duties/checkpointwriter.h"
#include "gateway/duties/usagecopy.h"
#include "gateway/duties/usagereporter.h"
#include "gateway/gateway.h"
#include "gateway/io/clocksource.h"
#include "gateway/io/endpointrelay.h"
#include "gateway/io/gatewayserver.h"
#include "gateway/io/logsink.h"
#include "gateway/peers/fleetview.h"
#include "gateway/peers/peerdatagrams.h"
#include "gateway/sizing/enginesizing.h"
#include "gateway/store/storesync.h"
#include "io/httpclient.h"
#include "io/httpserver.h"
#include "io/latency.h"
#include "io/processlimits.h"
#include "platform/leadertasks.h"
#include "platform/requests.h"
#include "platform/storecodec.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

namespace cranberry {

/// Endpoints and the store accept a connection within a few milliseconds; one that does not is down or
/// unreachable, and no request was sent yet. A time-out long enough for a retransmission after packet loss on
/// a slow network gains nothing.
constexpr DurationMs ConnectTimeout{350};
constexpr size_t MaxDatagramBytes = 60000;

/// State of a gateway daemon: the core, its adapters and their connections. Private to the source files of
/// the gateway server.
struct GatewayServer::State {
    State(GatewayDaemonSettings given, std::string file);

    // Servers.
    void startServers();
    std::unique_ptr<HttpServer> startServer(const Address &address, const HttpServerLimits &limits,
                                            HttpServerShare share,
                                            void (State::*handler)(const HttpExchangePtr &));
    std::string serverMetrics() const;
    void reportMemory();
    void reportConnections();

    // Callers.
    void onCaller(const HttpExchangePtr &exchange);
    HeadVerdict onCallerHead(const HttpRequest &head);
    void refuseCaller(const CallerRequestPtr &request, const HttpExchangePtr &exchange);
    CallerId addCaller(const HttpExchangePtr &exchange, const CallerRequestPtr &request, TimeMs now);
    void watchLastBytes(const HttpExchangePtr &exchange, std::string requestId);
    void onRelayRequest(const HttpExchangePtr &exchange) { relay.onRequest(exchange); }
    void accountResponse(AttemptId attempt);
    void onEntryRequest(const HttpExchangePtr &exchange);
    void onReadinessRequest(const HttpExchangePtr &exchange);
    void onMetrics(const HttpExchangePtr &exchange);

    // Actions of the core.
    void runActions();
    HttpExchangePtr removeCaller(CallerId caller);
    void run(AnswerCaller &action);
    void run(BeginCallerStream &action);
    void run(CallerStreamData &action);
    void run(EndCallerStream &action);
    void run(SendAttempt &action);
    void run(CancelSent &action);
    void run(MigrateGeneration &action);
    void run(ReleaseKvCache &action);
    void run(ProbeEngine &action);
    void run(ProbePath &action);
    void run(ProbeRelay &action);
    void run(CloseIdleConnections &action);
    void run(SendToPeer &action);

    /// Sends a short call to an endpoint, or to the daemon that passes it on.
    struct EndpointCall {
        EndpointId endpoint;
        HttpCall call;
        DurationMs timeout;
        std::optional<Address> relay;
    };
    void callEndpoint(EndpointCall order, std::function<void(const HttpResponse &)> onReply);
    void sendThroughRelay(const SendAttempt &action, HttpCall call, HttpCallbacks callbacks);

    // The store.
    void runStoreCalls();
    void callStore(const StoreCall &order, std::function<void(const StoreReply &)> onReply);
    StoreReply decodeStoreReply(const StoreCall &order, const HttpResponse &response);
    void processUpdates();

    // Tasks of the leader.
    void runLeaderTasks();
    void runUsage(const Leadership &leadership, TimeMs now);
    void runCheckpoints(const Leadership &leadership, TimeMs now);
    void runRollouts(const Leadership &leadership, TimeMs now);
    void sendLeaderCall(const LeaderCall &order, std::function<void(LeaderCallOutcome)> onReply);

    // The other daemons.
    void openPeerSocket();
    void receive();
    void onDatagram(std::string_view text);
    void sendDatagram(const Address &to, const std::string &text);
    void sendOutgoing();
    Address peerAddress() const; ///< Sender of the datagram being handled.
    void sendReports(const ReportSchedule::Due &due, TimeMs now);
    std::vector<Address> entryAddresses(TimeMs now);
    bool measureCores(TimeMs now); ///< Returns true if a measurement was due.

    void tick();
    void armTick();
    void runLoop();
    void waitForSignal();
    void reloadIfChanged(bool wasRequested);
    void changeStopGrace(DurationMs grace);
    void beginShutdown();
    void checkStopped(TimeMs now);

    GatewayDaemonSettings settings;
    std::string settingsFile;
    std::string settingsText; ///< Content of the file at the last read.
    boost::asio::io_context io{1};
    Incarnation incarnation;
    LogSink log;
    Gateway gateway;
    StoreSync sync;
    FleetView fleet;
    UsageCopy usageCopy;
    UsageReporter usageReporter;
    CheckpointReader checkpointReader;
    CheckpointWriter checkpointWriter;
    EngineSizing engineSizing;
    RolloutController rolloutController;
    platform::StoreCodec storeCodec;
    ProcessLimits processLimits;
    ByteBudgetPtr bytes; ///< What this process keeps for its clients.
    uint64_t reportedRefusals = 0; ///< Refusals of `bytes` that the log has told.
    uint64_t reportedClosings = 0; ///< For want of connections, as far as the log has told them.
    ByteBudgetPtr endpointReplies; ///< To calls that are no attempts, also over relays.
    ByteBudgetPtr storeReplies; ///< Of their own, so that no endpoint keeps this daemon from the store.
    HttpClient endpoints;
    HttpClient relays; ///< To the daemons that carry attempts for this one.
    EndpointRelay relay; ///< Carries attempts of other daemons.
    HttpClient store;
    HttpClient leaderCallClient;
    LatencyHistograms latency;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> relayServer;
    std::unique_ptr<HttpServer> entryServer;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> metricsServer; ///< Null: metrics are disabled.

    std::map<CallerId, HttpExchangePtr> callers;
    struct Arrival {
        TimeMs at;
        CallerRequestPtr request;
    };
    std::map<CallerId, Arrival> arrivals;
    struct AttemptCall {
        uint64_t call = 0;
        bool isRelayed = false; ///< A call of `relays`, else of `endpoints`.
        ByteClaim response; ///< For what is kept of the response until it is complete.
    };
    std::map<AttemptId, AttemptCall> calls;
    uint64_t nextCaller = 1;

    boost::asio::ip::udp::socket peerSocket{io};
    boost::asio::ip::udp::endpoint peerSender;
    std::vector<char> datagram = std::vector<char>(MaxDatagramBytes);

    boost::asio::steady_timer timer{io};
    boost::asio::signal_set signals{io};
    TimeMs coresMeasuredAt;
    double processorTimeMs = 0; ///< CPU time at `coresMeasuredAt`.
    double coresUsed = 0; ///< Moving mean of CPU cores in use.
    TimeMs flushAt;
    TimeMs settingsCheckAt;
    uint64_t peerBytesSent = 0;
    uint64_t storeCalls = 0;
    bool stopping = false;
    TimeMs stopStartedAt; ///< Not later than the signal.
    uint64_t limitsVersion = 0;
};

} // namespace cranberry
