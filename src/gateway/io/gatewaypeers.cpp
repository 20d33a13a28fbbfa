// Connections to the store, to the receiver of leader calls, and to the other daemons.

#include "gateway/io/gatewaystate.h"
#include "io/onexit.h"

#include <sys/resource.h>

namespace cranberry {

namespace {

constexpr size_t MaxLeaderReply = 64U << 10; ///< Only its status is used.
constexpr DurationMs CoresInterval{500};
constexpr double CoresWeight = 0.2; ///< Weight of the newest sample: a mean over about 2.5 s.

/// Returns the CPU time of this process in milliseconds; 0 if the system does not provide it.
double processorMs()
{
    rusage usage = {};
    if (::getrusage(RUSAGE_SELF, &usage) != 0)
        return 0;
    const auto toMs = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) * 1000.0 + static_cast<double>(time.tv_usec) / 1000.0;
    };
    return toMs(usage.ru_utime) + toMs(usage.ru_stime);
}

} // namespace

// ---- Store ----

void GatewayServer::State::callStore(const StoreCall &order, std::function<void(const StoreReply &)> onReply)
{
    ++storeCalls;
    HttpCall call;
    call.address = settings.storeAddress;
    call.request = platform::StoreCodec::encode(order);
    call.connectTimeout = std::min(ConnectTimeout, order.timeout);
    call.progressTimeout = order.timeout;
    call.totalTimeout = order.timeout;
    store.fetch(std::move(call), [this, order, onReply = std::move(onReply)](const HttpResponse &response) {
        StoreReply reply = decodeStoreReply(order, response);
        sync.checkEra(reply, steadyNow());
        onReply(reply);
    });
}

// What a library throws on an item counts as a reply that can't be read: a call without a reply would keep
// its kind from being sent again.
StoreReply GatewayServer::State::decodeStoreReply(const StoreCall &order, const HttpResponse &response)
{
    const bool isComplete = response.failure == HttpFailure::None;
    try {
        return storeCodec.decode(order, isComplete ? response.status : 0, response.headers, response.body);
    } catch (const std::exception &error) {
        log.write(LogPriority::Failure, "handler_failed", {{"error", error.what()}});
        return storeCodec.decode(order, 0, {}, {});
    }
}

void GatewayServer::State::runStoreCalls()
{
    for (const StoreCall &order : sync.takeCalls()) {
        callStore(order, [this](const StoreReply &reply) {
            sync.onReply(reply, steadyNow());
            processUpdates();
            runStoreCalls();
        });
    }
}

// ---- Leader tasks ----

void GatewayServer::State::sendLeaderCall(const LeaderCall &order,
                                          std::function<void(LeaderCallOutcome)> onReply)
{
    HttpCall call;
    call.address = settings.leaderCallAddress;
    call.request = platform::encodeLeaderCall(order, settings.instance);
    call.connectTimeout = std::min(ConnectTimeout, order.timeout);
    call.progressTimeout = order.timeout;
    call.totalTimeout = order.timeout;
    call.resetOnAbort = true;
    call.maxBodyBytes = MaxLeaderReply;
    leaderCallClient.fetch(std::move(call), [onReply = std::move(onReply)](const HttpResponse &response) {
        onReply(
            platform::decodeLeaderCallStatus(response.failure == HttpFailure::None ? response.status : 0));
    });
}

void GatewayServer::State::runLeaderTasks()
{
    if (settings.leaderCallAddress.port == 0)
        return;
    const TimeMs now = steadyNow();
    const Leadership leadership = sync.leadership(now);
    runUsage(leadership, now);
    engineSizing.tick(leadership, gateway.fleet(), gateway.rollouts(), gateway.demand(now),
                      gateway.configuration(), now);
    runRollouts(leadership, now);
    for (const LeaderCall &order : engineSizing.takeCalls()) {
        sendLeaderCall(order, [this, id = order.id](LeaderCallOutcome outcome) {
            engineSizing.onReply(id, outcome, steadyNow());
        });
    }
}

void GatewayServer::State::runUsage(const Leadership &leadership, TimeMs now)
{
    usageCopy.tick(gateway.usage(),
                   {leadership.held || gateway.peers().actsForLeader(now),
                    usageReporter.oldestUnrecorded(gateway.usage(), now), sync.era()},
                   now);
    // What earlier daemons left in the store is part of the sums.
    Leadership informed = leadership;
    informed.held = leadership.held && usageCopy.hasRead();
    usageReporter.tick(informed, gateway.usage(), gateway.peers().fullReportInterval(),
                       gateway.configuration(), now);
    sync.setRecordsComplete(usageReporter.recordsComplete());
    for (const StoreCall &order : usageCopy.takeStoreCalls()) {
        callStore(order, [this](const StoreReply &reply) {
            usageCopy.onStoreReply(reply, gateway.usage(), steadyNow());
        });
    }
    for (const StoreCall &order : usageReporter.takeStoreCalls())
        callStore(order, [this](const StoreReply &reply) { usageReporter.onStoreReply(reply, steadyNow()); });
    for (const LeaderCall &order : usageReporter.takeLeaderCalls()) {
        sendLeaderCall(order, [this, id = order.id](LeaderCallOutcome outcome) {
            usageReporter.onLeaderReply(id, outcome, steadyNow());
        });
    }
}

void GatewayServer::State::runCheckpoints(const Leadership &leadership, TimeMs now)
{
    const int64_t wallMs = now.count + gateway.usage().offset();
    const PeerTable &peers = gateway.peers();
    if (!checkpointReader.isDone())
        checkpointReader.tick(
            {sync.era(), wallMs, peers.isListedServing() && gateway.configuration(), leadership.held},
            checkpointReader.isAwaitingProof() ? peers.heardDaemons(now) : std::vector<DaemonIdentity>(),
            now);
    if (const std::optional<QuotaCheckpoint> checkpoint = checkpointReader.takeUsable())
        gateway.inheritUnits(*checkpoint, {wallMs - checkpoint->wallMs}, now);
    if (checkpointReader.hasRead() && checkpointWriter.isDue(leadership, peers, now))
        checkpointWriter.tick(leadership, gateway.observeBalances(now), sync.era(), wallMs, now);
    for (const StoreCall &order : checkpointReader.takeStoreCalls())
        callStore(order,
                  [this](const StoreReply &reply) { checkpointReader.onStoreReply(reply, steadyNow()); });
    for (const StoreCall &order : checkpointWriter.takeStoreCalls())
        callStore(order,
                  [this](const StoreReply &reply) { checkpointWriter.onStoreReply(reply, steadyNow()); });
}

void GatewayServer::State::runRollouts(const Leadership &leadership, TimeMs now)
{
    // Only the leader needs the observations, and collecting them scans all endpoints.
    const std::map<ServiceName, RolloutObservations> observations
        = leadership.held ? gateway.observeRollouts(now) : std::map<ServiceName, RolloutObservations>();
    rolloutController.tick(leadership, sync.rollouts(now), observations, now.count + gateway.usage().offset(),
                           now);
    for (const StoreCall &order : rolloutController.takeStoreCalls()) {
        callStore(order, [this](const StoreReply &reply) {
            rolloutController.onStoreReply(reply, steadyNow());
            for (const RolloutController::Written &written : rolloutController.takeWritten())
                sync.onRolloutRecordStored(written.record, written.revision);
            processUpdates();
        });
    }
}

void GatewayServer::State::processUpdates()
{
    const TimeMs now = steadyNow();
    sendReports(fleet.takeUpdates(now), now);
    const ServingConfigurationPtr configuration = gateway.configuration();
    if (configuration && configuration->version != limitsVersion) {
        limitsVersion = configuration->version;
        const CallerLimits &limits = configuration->limits;
        // The idle limit is a quarter above the callers' own limit, so that the server does not close a
        // connection while the caller sends on it.
        callerServer->setLimits({limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout,
                                 limits.idleTimeout + limits.idleTimeout / 4, true});
        relayServer->setLimits(EndpointRelay::limitsFor(limits));
    }
    runActions();
}

// ---- Peers ----

void GatewayServer::State::openPeerSocket()
{
    const boost::asio::ip::udp::endpoint local(boost::asio::ip::make_address(settings.peerAddress.host),
                                               settings.peerAddress.port);
    peerSocket.open(local.protocol());
    peerSocket.bind(local);
    peerSocket.non_blocking(true);
    receive();
}

void GatewayServer::State::receive()
{
    peerSocket.async_receive_from(boost::asio::buffer(datagram), peerSender,
                                  [this](boost::system::error_code code, size_t size) {
                                      if (code == boost::asio::error::operation_aborted)
                                          return;
                                      // Also if a library throws on a datagram.
                                      const OnExit receivesNext([this] { receive(); });
                                      if (!code)
                                          onDatagram({datagram.data(), size});
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
    } else if (const QuotaRequest *ask = std::get_if<QuotaRequest>(&*read)) {
        gateway.onQuotaRequest(*ask, peerAddress());
        runActions();
    } else if (const QuotaTransfer *transfer = std::get_if<QuotaTransfer>(&*read)) {
        gateway.onQuotaTransfer(*transfer, now);
        runActions();
    } else if (const CrashNotice *notice = std::get_if<CrashNotice>(&*read)) {
        gateway.onCrashNotice(*notice, now);
        runActions();
    } else if (const LimitNotice *limits = std::get_if<LimitNotice>(&*read)) {
        gateway.onLimitNotice(*limits, now);
        runActions();
    } else if (const LimitShareRequest *shareRequest = std::get_if<LimitShareRequest>(&*read)) {
        gateway.onLimitShareRequest(*shareRequest, peerAddress(), now);
        runActions();
    } else if (const LimitShareGrant *grant = std::get_if<LimitShareGrant>(&*read)) {
        gateway.onLimitGrant(*grant, now);
        runActions();
    } else if (const StreamOriginNotice *origins = std::get_if<StreamOriginNotice>(&*read)) {
        gateway.onStreamOriginNotice(*origins, now);
    } else if (const StreamOriginQuery *originQuery = std::get_if<StreamOriginQuery>(&*read)) {
        gateway.onStreamOriginQuery(*originQuery, peerAddress(), now);
        runActions();
    } else if (const StreamOriginReply *originReply = std::get_if<StreamOriginReply>(&*read)) {
        gateway.onStreamOriginReply(*originReply, peerAddress(), now);
        runActions();
    } else if (const UsageNotice *usage = std::get_if<UsageNotice>(&*read)) {
        gateway.onUsageNotice(*usage, now);
    } else if (const FreshnessQuery *question = std::get_if<FreshnessQuery>(&*read)) {
        sync.onFreshnessQuery(*question, peerAddress(), now);
        sendOutgoing();
    } else if (const FreshnessReply *answer = std::get_if<FreshnessReply>(&*read)) {
        sync.onFreshnessReply(*answer, now);
        processUpdates();
        runStoreCalls();
    }
}

Address GatewayServer::State::peerAddress() const
{
    return {peerSender.address().to_string(), peerSender.port()};
}

void GatewayServer::State::run(SendToPeer &action)
{
    sendDatagram(action.to,
                 std::visit([](const auto &each) { return encodeDatagram(each); }, action.message));
}

// Datagrams may be lost, also here if the socket buffer is full; a later datagram makes up for each.
void GatewayServer::State::sendDatagram(const Address &to, const std::string &text)
{
    boost::system::error_code ignored;
    const boost::asio::ip::address ip = boost::asio::ip::make_address(to.host, ignored);
    peerBytesSent += text.size();
    if (!ignored)
        peerSocket.send_to(boost::asio::buffer(text), boost::asio::ip::udp::endpoint(ip, to.port), 0,
                           ignored);
}

void GatewayServer::State::sendOutgoing()
{
    for (const StoreSync::Outgoing &outgoing : sync.takeOutgoing())
        sendDatagram(outgoing.to,
                     std::visit([](const auto &each) { return encodeDatagram(each); }, outgoing.message));
}

void GatewayServer::State::sendReports(const ReportSchedule::Due &due, TimeMs now)
{
    if (due.to.empty())
        return;
    PeerReport report = gateway.report(due.isFull, now);
    report.wallMs = wallNowMs();
    report.coresUsed = coresUsed;
    report.readsStore = !sync.readsFail(now);
    const std::string text = encodeDatagram(report);
    for (const Address &address : due.to)
        sendDatagram(address, text);
}

bool GatewayServer::State::measureCores(TimeMs now)
{
    if (now < coresMeasuredAt + CoresInterval)
        return false;
    const double time = processorMs();
    if (coresMeasuredAt.count != 0) {
        const double used = (time - processorTimeMs) / static_cast<double>((now - coresMeasuredAt).count);
        coresUsed += CoresWeight * (used - coresUsed);
    }
    coresMeasuredAt = now;
    processorTimeMs = time;
    return true;
}

} // namespace cranberry
