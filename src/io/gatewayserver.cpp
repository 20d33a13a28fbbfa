#include "io/gatewayserver.h"

#include "gateway/enginesizing.h"
#include "gateway/gateway.h"
#include "gateway/peerdatagrams.h"
#include "gateway/storesync.h"
#include "gateway/usageduty.h"
#include "io/clocksource.h"
#include "io/httpclient.h"
#include "io/httpserver.h"
#include "io/latency.h"
#include "io/logsink.h"
#include "platform/duties.h"
#include "platform/requests.h"
#include "platform/storecodec.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <random>
#include <sys/random.h>

namespace asio = boost::asio;
using asio::ip::udp;

namespace cranberry {

namespace {

/// Resolution of time-outs and of the queue; finer costs wake-ups.
constexpr DurationMs TickPace{25};
/// Reports that can't wait come this often at most between two regular ones.
constexpr int64_t DueReportsPerPace = 8;
constexpr DurationMs LogPace{200};
/// A stopping daemon leaves this long before it would be killed.
constexpr DurationMs StopMargin{700};
/// An idle daemon stays this long after its stop, for callers that still hold its address.
constexpr DurationMs LeastStopTime{5500};
/// Endpoints and the store accept within a few milliseconds; one that doesn't is down or out of reach, and
/// nothing was sent yet. Longer than a lost packet of a slow network would need at the first repetition is of
/// no use.
constexpr DurationMs ConnectTimeout{350};
/// Silence of an endpoint never ends an attempt: its time-out does, in the core. This is only a backstop.
constexpr DurationMs AttemptBackstop{3'600'000};
/// A caller that takes none of this many bytes is gone.
constexpr size_t MostUnsentBytes = 4U << 20;
constexpr size_t MostDatagram = 60000;

uint64_t randomSeed()
{
    uint64_t seed = 0;
    if (::getrandom(&seed, sizeof seed, 0) != sizeof seed)
        seed = std::random_device()();
    return seed >> 1U; // JSON readers keep 63 bits.
}

Address withPort(const Address &address, uint32_t port)
{
    return {address.host, static_cast<uint16_t>(port)};
}

} // namespace

struct GatewayServer::State {
    explicit State(GatewayDaemonSettings given);

    // Callers.
    void onCaller(const HttpExchangePtr &exchange);
    void onEntryQuestion(const HttpExchangePtr &exchange);
    void onReadyQuestion(const HttpExchangePtr &exchange);
    void onMetrics(const HttpExchangePtr &exchange);

    // Actions of the core.
    void runActions();
    void run(AnswerCaller &action);
    void run(BeginCallerStream &action);
    void run(CallerStreamData &action);
    void run(EndCallerStream &action);
    void run(SendAttempt &action);
    void run(CancelSent &action);
    void run(MoveRun &action);
    void run(ProbeEngine &action);

    void callEndpoint(const Address &address, HttpRequest request, DurationMs timeout,
                      std::function<void(int status, const std::string &body)> onReply);

    // The store.
    void runStoreCalls();
    void callStore(const StoreCall &order, std::function<void(const StoreReply &)> onReply);
    void takeNews();

    // Duties of which one daemon at a time is the holder.
    void runDuties();
    void callDuty(const DutyCall &order, std::function<void(DutyOutcome)> onReply);

    // The other daemons.
    void openPeerSocket();
    void receive();
    void onDatagram(std::string_view text);
    void sendDatagram(const Address &to, const std::string &text);
    void sendOutgoing();
    void sendReports();

    void tick();
    void startStop();
    void checkStopped();

    GatewayDaemonSettings settings;
    asio::io_context io{1};
    Incarnation incarnation;
    LogSink log;
    Gateway gateway;
    StoreSync sync;
    UsageDuty usageDuty;
    EngineSizing engineSizing;
    platform::StoreCodec storeCodec;
    HttpClient endpoints;
    HttpClient store;
    HttpClient duties;
    LatencyHistograms latency;
    std::unique_ptr<HttpServer> callerServer;
    std::vector<std::unique_ptr<HttpServer>> otherServers;

    std::map<CallerId, HttpExchangePtr> callers;
    std::map<CallerId, TimeMs> arrivals;
    std::map<AttemptId, uint64_t> calls;
    uint64_t nextCaller = 1;

    udp::socket peerSocket{io};
    udp::endpoint peerSender;
    std::vector<char> datagram = std::vector<char>(MostDatagram);

    asio::steady_timer timer{io};
    asio::signal_set signals{io};
    TimeMs reportAt;
    TimeMs reportedAt;
    TimeMs flushAt;
    bool stopping = false;
    TimeMs stopStartedAt;
    uint64_t limitsVersion = 0;
};

namespace {

GatewaySettings coreSettings(const GatewayDaemonSettings &given, uint64_t seed)
{
    GatewaySettings out;
    out.instance = given.instance;
    out.failureDomain = given.failureDomain;
    out.revokeBound = given.revokeBound;
    out.repeats = {given.repeatRatio, given.repeatSlack, given.repeatWindow};
    out.quotaTolerance = {given.quotaOver, given.quotaSlack};
    out.usageWindow = given.usageWindow;
    out.drainTime = given.drainTime;
    out.seed = seed;
    return out;
}

StoreSyncSettings syncSettings(const GatewayDaemonSettings &given, Incarnation incarnation, uint64_t seed)
{
    StoreSyncSettings out;
    out.self = {given.instance, incarnation, given.failureDomain, given.callerAddress, given.peerAddress};
    out.leaseTime = given.leaseTime;
    out.firstStart = given.firstStart;
    out.seed = seed;
    return out;
}

} // namespace

GatewayServer::State::State(GatewayDaemonSettings given)
    : settings(std::move(given)), incarnation{randomSeed()}, log(settings.instance.value, wallNowMs),
      gateway(coreSettings(settings, randomSeed()), log),
      sync(syncSettings(settings, incarnation, randomSeed()), log), usageDuty(settings.usageDue, log),
      engineSizing(log), storeCodec(log), endpoints(io), store(io), duties(io)
{ }

// ---- Callers ----

void GatewayServer::State::onCaller(const HttpExchangePtr &exchange)
{
    const TimeMs now = steadyNow();
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(const CallerRequestPtr request, platform::decodeRequest(exchange->request()));
            const CallerId caller{nextCaller++};
            callers[caller] = exchange;
            arrivals[caller] = now;
            exchange->onClosed([this, caller] {
                callers.erase(caller);
                arrivals.erase(caller);
                gateway.onCallerGone({caller}, steadyNow());
                runActions();
            });
            gateway.onRequest({caller, request}, now);
            return {};
        },
        [&](const FieldError &error) {
            log.write(LogWeight::Failure, "bad_request", {{"error", toText(error)}});
            exchange->respond(400, {{"Content-Type", "application/json"}},
                              boost::json::serialize(
                                  boost::json::object{{"reason", "bad_request"}, {"error", toText(error)}}));
        },
        [&] { exchange->respond(400, {}, ""); });
    runActions();
}

void GatewayServer::State::onEntryQuestion(const HttpExchangePtr &exchange)
{
    const std::vector<Address> addresses = gateway.callerAddresses(settings.callerAddress, steadyNow());
    if (addresses.empty())
        return exchange->respond(503, {}, "");
    exchange->respond(
        200, {{"Content-Type", "application/json"}},
        platform::encodeEntryAnswer(addresses, std::max<int64_t>(settings.entryKeep.count / 1000, 1)));
}

void GatewayServer::State::onReadyQuestion(const HttpExchangePtr &exchange)
{
    exchange->respond(gateway.isReady(steadyNow()) ? 200 : 503, {}, "");
}

void GatewayServer::State::onMetrics(const HttpExchangePtr &exchange)
{
    std::string text = prometheusText(gateway.counters()) + latency.prometheusText();
    text += fmt::format("cranberry_gateway_endpoints {}\n", gateway.fleet().all().size());
    exchange->respond(200, {{"Content-Type", "text/plain"}}, text);
}

// ---- Actions ----

void GatewayServer::State::runActions()
{
    for (GatewayAction &action : gateway.takeActions())
        std::visit([this](auto &each) { run(each); }, action);
}

void GatewayServer::State::run(AnswerCaller &action)
{
    const auto found = callers.find(action.caller);
    if (found == callers.end())
        return;
    const HttpExchangePtr exchange = found->second;
    latency.whole(steadyNow() - arrivals[action.caller]);
    callers.erase(found);
    arrivals.erase(action.caller);
    exchange->onClosed(nullptr);
    exchange->respond(action.status, action.headers, action.body);
}

void GatewayServer::State::run(BeginCallerStream &action)
{
    const auto found = callers.find(action.caller);
    if (found == callers.end())
        return;
    latency.firstToken(steadyNow() - arrivals[action.caller]);
    found->second->beginStream(action.status, action.headers);
}

void GatewayServer::State::run(CallerStreamData &action)
{
    const auto found = callers.find(action.caller);
    if (found == callers.end())
        return;
    const HttpExchangePtr exchange = found->second;
    exchange->write(action.bytes);
    if (exchange->pendingBytes() > MostUnsentBytes)
        exchange->abort();
}

void GatewayServer::State::run(EndCallerStream &action)
{
    const auto found = callers.find(action.caller);
    if (found == callers.end())
        return;
    const HttpExchangePtr exchange = found->second;
    latency.whole(steadyNow() - arrivals[action.caller]);
    callers.erase(found);
    arrivals.erase(action.caller);
    exchange->onClosed(nullptr);
    if (action.whole)
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
    callbacks.onHead = [this, attempt, request = action.request](int status, const HttpHeaders &headers) {
        gateway.onHead(platform::decodeHead(attempt, *request, status, headers), steadyNow());
        runActions();
    };
    callbacks.onData = [this, attempt](const char *data, size_t size) {
        gateway.onData({attempt, std::string(data, size)}, steadyNow());
        runActions();
    };
    callbacks.onDone = [this, attempt](HttpFailure failure) {
        calls.erase(attempt);
        if (failure == HttpFailure::None)
            gateway.onEnd({attempt}, steadyNow());
        else
            gateway.onBroken({attempt, failure != HttpFailure::NotSent}, steadyNow());
        runActions();
    };
    calls[attempt] = endpoints.start(std::move(call), std::move(callbacks));
}

void GatewayServer::State::run(CancelSent &action)
{
    const auto found = calls.find(action.attempt);
    if (found == calls.end())
        return;
    endpoints.cancel(found->second);
    calls.erase(found);
}

// A short call to an endpoint beside its requests.
void GatewayServer::State::callEndpoint(const Address &address, HttpRequest request, DurationMs timeout,
                                        std::function<void(int status, const std::string &body)> onReply)
{
    HttpCall call;
    call.address = address;
    call.request = std::move(request);
    call.connectTimeout = std::min(ConnectTimeout, timeout);
    call.progressTimeout = timeout;
    call.totalTimeout = timeout;
    endpoints.fetch(std::move(call), [this, onReply = std::move(onReply)](const HttpResponse &response) {
        onReply(response.failure == HttpFailure::None ? response.status : 0, response.body);
        runActions();
    });
}

void GatewayServer::State::run(MoveRun &action)
{
    callEndpoint(action.source, platform::encodeMove(action), action.timeout,
                 [this, attempt = action.attempt](int status, const std::string &body) {
                     gateway.onRunMoved(platform::decodeMove(attempt, status, body), steadyNow());
                 });
}

void GatewayServer::State::run(ProbeEngine &action)
{
    callEndpoint(action.address, platform::encodeProbe(), action.timeout,
                 [this, endpoint = action.endpoint](int status, const std::string &body) {
                     gateway.onEngineProbed(platform::decodeProbe(endpoint, status, body), steadyNow());
                 });
}

// ---- Store ----

void GatewayServer::State::callStore(const StoreCall &order, std::function<void(const StoreReply &)> onReply)
{
    HttpCall call;
    call.address = settings.storeAddress;
    call.request = platform::StoreCodec::encode(order);
    call.connectTimeout = std::min(ConnectTimeout, order.timeout);
    call.progressTimeout = order.timeout;
    call.totalTimeout = order.timeout;
    store.fetch(std::move(call), [this, order, onReply = std::move(onReply)](const HttpResponse &response) {
        const bool whole = response.failure == HttpFailure::None;
        onReply(storeCodec.decode(order, whole ? response.status : 0, response.body));
    });
}

void GatewayServer::State::runStoreCalls()
{
    for (const StoreCall &order : sync.takeCalls()) {
        callStore(order, [this](const StoreReply &reply) {
            sync.onReply(reply, steadyNow());
            takeNews();
            runStoreCalls();
        });
    }
}

// ---- Duties ----

void GatewayServer::State::callDuty(const DutyCall &order, std::function<void(DutyOutcome)> onReply)
{
    HttpCall call;
    call.address = settings.dutyAddress;
    call.request = platform::encodeDuty(order, settings.instance);
    call.connectTimeout = std::min(ConnectTimeout, order.timeout);
    call.progressTimeout = order.timeout;
    call.totalTimeout = order.timeout;
    call.resetWhenGivenUp = true;
    duties.fetch(std::move(call), [onReply = std::move(onReply)](const HttpResponse &response) {
        onReply(platform::decodeDutyStatus(response.failure == HttpFailure::None ? response.status : 0));
    });
}

void GatewayServer::State::runDuties()
{
    if (settings.dutyAddress.port == 0)
        return;
    const TimeMs now = steadyNow();
    const Leadership leadership = sync.leadership(now);
    usageDuty.tick(leadership, gateway.usage(), gateway.peers(), gateway.configuration(), now);
    engineSizing.tick(leadership, gateway.fleet(), gateway.demand(now), gateway.configuration(), now);
    for (const StoreCall &order : usageDuty.takeStoreCalls())
        callStore(order, [this](const StoreReply &reply) { usageDuty.onStoreReply(reply, steadyNow()); });
    for (const DutyCall &order : usageDuty.takeDutyCalls()) {
        callDuty(order, [this, id = order.id](DutyOutcome outcome) {
            usageDuty.onDutyReply(id, outcome, steadyNow());
        });
    }
    for (const DutyCall &order : engineSizing.takeCalls()) {
        callDuty(order, [this, id = order.id](DutyOutcome outcome) {
            engineSizing.onReply(id, outcome, steadyNow());
        });
    }
}

void GatewayServer::State::takeNews()
{
    const TimeMs now = steadyNow();
    StoreSync::News news = sync.takeNews();
    if (news.members)
        gateway.onMembers(std::move(*news.members));
    for (const ConfigurationRead &read : news.configurations)
        gateway.onConfiguration(read, now);
    for (const EndpointsRead &read : news.endpoints)
        gateway.onEndpoints(read, now);
    const ServingConfigurationPtr configuration = gateway.configuration();
    if (configuration && configuration->version != limitsVersion) {
        limitsVersion = configuration->version;
        const CallerLimits &limits = configuration->limits;
        // Idle connections outlast the callers' own limit, so that neither closes while the other sends.
        callerServer->setLimits({limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout,
                                 limits.idleTimeout + limits.idleTimeout / 4, true});
    }
    runActions();
}

// ---- Peers ----

void GatewayServer::State::openPeerSocket()
{
    const udp::endpoint local(asio::ip::make_address(settings.peerAddress.host), settings.peerAddress.port);
    peerSocket.open(local.protocol());
    peerSocket.bind(local);
    peerSocket.non_blocking(true);
    receive();
}

void GatewayServer::State::receive()
{
    peerSocket.async_receive_from(asio::buffer(datagram), peerSender,
                                  [this](boost::system::error_code code, size_t size) {
                                      if (code == asio::error::operation_aborted)
                                          return;
                                      if (!code)
                                          onDatagram({datagram.data(), size});
                                      receive();
                                  });
}

void GatewayServer::State::onDatagram(std::string_view text)
{
    const std::optional<PeerDatagram> read = decodeDatagram(text);
    if (!read)
        return;
    const TimeMs now = steadyNow();
    if (const PeerReport *report = std::get_if<PeerReport>(&*read)) {
        if (report->incarnation != incarnation)
            gateway.onPeerReport(*report, now);
    } else if (const FreshnessQuestion *question = std::get_if<FreshnessQuestion>(&*read)) {
        sync.onQuestion(*question, {peerSender.address().to_string(), peerSender.port()}, now);
        sendOutgoing();
    } else if (const FreshnessAnswer *answer = std::get_if<FreshnessAnswer>(&*read)) {
        sync.onAnswer(*answer, now);
        takeNews();
        runStoreCalls();
    }
}

// Datagrams may be lost, also here when the socket is full: each is made up for by a later one.
void GatewayServer::State::sendDatagram(const Address &to, const std::string &text)
{
    boost::system::error_code ignored;
    const asio::ip::address ip = asio::ip::make_address(to.host, ignored);
    if (!ignored)
        peerSocket.send_to(asio::buffer(text), udp::endpoint(ip, to.port), 0, ignored);
}

void GatewayServer::State::sendOutgoing()
{
    for (const StoreSync::Outgoing &outgoing : sync.takeOutgoing())
        sendDatagram(outgoing.to,
                     std::visit([](const auto &each) { return encodeDatagram(each); }, outgoing.message));
}

// Reports may be lost: the next one says all of it again.
void GatewayServer::State::sendReports()
{
    const TimeMs now = steadyNow();
    const int64_t ownOffset = wallNowMs() - now.count;
    gateway.usage().setOffset(gateway.peers().medianWallOffset(ownOffset, now));
    PeerReport report = gateway.report(now);
    report.incarnation = incarnation;
    report.wallMs = wallNowMs();
    const std::string text = encodeDatagram(report);
    for (const MemberEntry &member : gateway.peers().members()) {
        if (member.instance != settings.instance)
            sendDatagram(member.peerAddress, text);
    }
}

// ---- Life ----

void GatewayServer::State::tick()
{
    const TimeMs now = steadyNow();
    // The holder of the duties orders engines: it reads the list itself, without a way round.
    sync.setSource(sync.leadership(now).held ? std::nullopt : gateway.peers().readerToAsk(now));
    sync.tick(now);
    sendOutgoing();
    runStoreCalls();
    gateway.tick(now);
    runActions();
    runDuties();
    const DurationMs pace = gateway.peers().reportPace();
    if (now >= reportAt || (gateway.reportIsDue() && now - reportedAt >= pace / DueReportsPerPace)) {
        reportedAt = now;
        reportAt = now + pace;
        sendReports();
    }
    if (now >= flushAt) {
        flushAt = now + LogPace;
        log.flush();
    }
    if (stopping)
        checkStopped();
    timer.expires_after(std::chrono::milliseconds(TickPace.count));
    timer.async_wait([this](boost::system::error_code code) {
        if (!code)
            tick();
    });
}

// Callers are told to go elsewhere; what they have sent, and what they still send here, is served.
void GatewayServer::State::startStop()
{
    if (stopping)
        return;
    stopping = true;
    stopStartedAt = steadyNow();
    log.write(LogWeight::State, "stopping", {{"open_requests", callers.size()}});
    gateway.startLeaving(stopStartedAt);
    sync.startLeaving(stopStartedAt);
    runStoreCalls();
    callerServer->closeAfterResponses();
    sendReports();
}

void GatewayServer::State::checkStopped()
{
    const DurationMs since = steadyNow() - stopStartedAt;
    const bool graceOver = since >= settings.stopGrace - StopMargin;
    const bool idle = since >= LeastStopTime && gateway.isIdle() && callerServer->openConnections() == 0;
    if (!graceOver && !idle)
        return;
    log.write(LogWeight::State, "stopped", {{"open_requests", callers.size()}, {"after_ms", since.count}});
    log.flush();
    io.stop();
}

GatewayServer::GatewayServer(GatewayDaemonSettings settings)
    : state_(std::make_unique<State>(std::move(settings)))
{ }

GatewayServer::~GatewayServer() = default;

int GatewayServer::run()
{
    State &state = *state_;
    const GatewayDaemonSettings &settings = state.settings;
    const HttpServerLimits limits;
    try {
        state.callerServer
            = std::make_unique<HttpServer>(state.io, settings.callerAddress, limits,
                                           [&state](const HttpExchangePtr &each) { state.onCaller(each); });
        state.otherServers.push_back(std::make_unique<HttpServer>(
            state.io, settings.readinessAddress, limits,
            [&state](const HttpExchangePtr &each) { state.onReadyQuestion(each); }));
        state.otherServers.push_back(std::make_unique<HttpServer>(
            state.io, settings.entryAddress, limits,
            [&state](const HttpExchangePtr &each) { state.onEntryQuestion(each); }));
        if (settings.metricsPort != 0) {
            state.otherServers.push_back(std::make_unique<HttpServer>(
                state.io, withPort(settings.callerAddress, settings.metricsPort), limits,
                [&state](const HttpExchangePtr &each) { state.onMetrics(each); }));
        }
        state.openPeerSocket();
    } catch (const boost::system::system_error &error) {
        state.log.write(LogWeight::State, "cannot_listen", {{"error", error.what()}});
        state.log.flush();
        return 1;
    }
    state.log.write(
        LogWeight::State, "started",
        {{"failure_domain", settings.failureDomain.value}, {"incarnation", state.incarnation.value}});
    state.signals.add(SIGTERM);
    state.signals.add(SIGINT);
    state.signals.async_wait([&state](boost::system::error_code code, int) {
        if (!code)
            state.startStop();
    });
    state.tick();
    state.io.run();
    return 0;
}

} // namespace cranberry
