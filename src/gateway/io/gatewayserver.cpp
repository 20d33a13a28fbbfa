#include "gateway/io/gatewaystate.h"

#include "gateway/io/stopsignal.h"
#include "io/commandline.h"
#include "io/onexit.h"

#include <random>
#include <sys/random.h>

namespace cranberry {

namespace {

/// Resolution of time-outs and of the queue; a finer one costs wake-ups.
constexpr DurationMs TimerInterval{25};
/// The settings file is also checked for changes without a signal; reading it takes some microseconds.
constexpr DurationMs SettingsCheckInterval{2000};
constexpr DurationMs LogFlushInterval{200};
/// An idle daemon keeps running this long after a stop signal, for callers that still hold its address.
constexpr DurationMs MinStopTime{5500};

uint64_t randomSeed()
{
    uint64_t seed = 0;
    if (::getrandom(&seed, sizeof seed, 0) != sizeof seed)
        seed = std::random_device()();
    return seed >> 1U; // JSON decoders keep 63 bits.
}

GatewaySettings coreSettings(const GatewayDaemonSettings &given, Incarnation incarnation, uint64_t seed)
{
    GatewaySettings out;
    out.incarnation = incarnation;
    out.instance = given.instance;
    out.failureDomain = given.failureDomain;
    out.revokeBound = given.revokeBound;
    out.retryLimits = {given.repeatRatio, given.repeatSlack, given.repeatWindow};
    out.quotaTolerance = {given.quotaOver, given.quotaSlack};
    out.usageWindow = given.usageWindow;
    out.drainTime = given.drainTime;
    out.seed = seed;
    return out;
}

StoreSyncSettings syncSettings(const GatewayDaemonSettings &given, Incarnation incarnation, uint64_t seed)
{
    StoreSyncSettings out;
    out.self = {given.instance,      incarnation,       given.failureDomain,
                given.callerAddress, given.peerAddress, given.cores};
    out.leaseTime = given.leaseTime;
    out.configurationBound = given.configurationBound;
    out.drainTime = given.drainTime;
    out.firstStart = given.firstStart;
    out.seed = seed;
    return out;
}

} // namespace

GatewayServer::State::State(GatewayDaemonSettings given, std::string file)
    : settings(std::move(given)), settingsFile(std::move(file)),
      settingsText(readFile(settingsFile).value_or("")), incarnation{randomSeed()},
      log(settings.instance.value, wallNowMs),
      gateway(coreSettings(settings, incarnation, randomSeed()), log),
      sync(syncSettings(settings, incarnation, randomSeed()), log), fleet(sync, gateway),
      usageCopy(gateway.counters(), log), usageReporter(settings.usageDue, log),
      checkpointReader({settings.instance, incarnation}, gateway.counters(), log),
      checkpointWriter(gateway.counters(), log), engineSizing(settings.firstStart, log),
      rolloutController(log), storeCodec(log),
      processLimits(findProcessLimits(settings.memoryMb, settings.maxDescriptors)),
      bytes(std::make_shared<ByteBudget>(clientBytes(processLimits))),
      endpointReplies(std::make_shared<ByteBudget>(replyBytes(processLimits))),
      storeReplies(std::make_shared<ByteBudget>(replyBytes(processLimits))), endpoints(io, endpointReplies),
      relays(io, endpointReplies), relay(endpoints, gateway, [this] { runActions(); }),
      store(io, storeReplies), leaderCallClient(io, storeReplies)
{
    rolloutController.setBounds({settings.exposeShare, settings.exposeSlack});
}

// ---- Start, tick and stop ----

void GatewayServer::State::tick()
{
    // Also if a library throws on somebody's input: without its ticks the daemon would follow nothing any
    // more.
    const OnExit armsTimer([this] { armTick(); });
    const TimeMs now = steadyNow();
    // Before the core's tick: a shorter grace may make the last answers due at once.
    if (now >= settingsCheckAt) {
        settingsCheckAt = now + SettingsCheckInterval;
        reloadIfChanged(false);
    }
    fleet.beforeStoreTick(now);
    sync.tick(now);
    sendOutgoing();
    runStoreCalls();
    gateway.tick(now);
    runActions();
    runLeaderTasks();
    runCheckpoints(sync.leadership(now), now);
    if (measureCores(now))
        entryAddresses(now);
    // Also before any other daemon is known: from the first request on, requests are counted in windows of
    // wall-clock time.
    gateway.usage().setOffset(gateway.peers().medianWallOffset(wallNowMs() - now.count, now));
    sendReports(fleet.dueReports(now), now);
    if (now >= flushAt) {
        flushAt = now + LogFlushInterval;
        reportMemory();
        reportConnections();
        log.flush();
    }
    log.flushUrgent();
    if (stopping)
        checkStopped(now);
}

void GatewayServer::State::armTick()
{
    timer.expires_after(std::chrono::milliseconds(TimerInterval.count));
    timer.async_wait([this](boost::system::error_code code) {
        if (!code)
            tick();
    });
}

std::vector<Address> GatewayServer::State::entryAddresses(TimeMs now)
{
    return fleet.entryAddresses({settings.callerAddress, settings.cores}, coresUsed, now);
}

// What a library throws while it handles one message must not end all other requests with the process.
void GatewayServer::State::runLoop()
{
    for (bool ended = false; !ended;) {
        try {
            io.run();
            ended = true;
        } catch (const std::exception &error) {
            log.write(LogPriority::Failure, "handler_failed", {{"error", error.what()}});
        }
    }
}

void GatewayServer::State::waitForSignal()
{
    signals.async_wait([this](boost::system::error_code code, int signal) {
        if (code)
            return;
        if (signal == SIGHUP)
            reloadIfChanged(true);
        else
            beginShutdown();
        waitForSignal();
    });
}

// Applies changed bounds and tolerances at once. Addresses and the identity belong to this process and change
// only on a restart. An unreadable file changes nothing.
void GatewayServer::State::reloadIfChanged(bool wasRequested)
{
    const std::optional<std::string> text = readFile(settingsFile);
    if (!text || (*text == settingsText && !wasRequested))
        return;
    settingsText = *text;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(const GatewayDaemonSettings changed, parseGatewaySettings(*text));
            gateway.applyBounds(coreSettings(changed, incarnation, 0));
            changeStopGrace(changed.stopGrace);
            rolloutController.setBounds({changed.exposeShare, changed.exposeSlack});
            log.write(LogPriority::State, "reloaded", {{"asked", wasRequested}});
            return {};
        },
        [&](const FieldError &error) {
            log.write(LogPriority::State, "settings_unreadable", {{"error", toText(error)}});
        },
        [&] {
            log.write(LogPriority::State, "settings_unreadable", {{"error", "unknown"}});
        });
}

// After the signal, which of the two grace times holds is not known, so the shorter one does.
void GatewayServer::State::changeStopGrace(DurationMs grace)
{
    settings.stopGrace = stopping ? std::min(settings.stopGrace, grace) : grace;
    if (stopping)
        gateway.startLeaving(stopStartedAt, settings.stopGrace);
}

// Directs callers to other daemons; requests already received, and those that still arrive, are served.
void GatewayServer::State::beginShutdown()
{
    if (stopping)
        return;
    reloadIfChanged(false);
    stopping = true;
    const TimeMs now = steadyNow();
    stopStartedAt = stopSignalledAt().value_or(now);
    log.write(LogPriority::State, "stopping",
              {{"open_requests", callers.size()},
               {"phases", gateway.openByPhase()},
               {"signal_age_ms", (now - stopStartedAt).count}});
    gateway.startLeaving(stopStartedAt, settings.stopGrace);
    sync.startLeaving(now);
    runStoreCalls();
    callerServer->closeAfterResponses();
    relayServer->closeAfterResponses();
    sendReports(ReportSchedule::toAll(gateway.peers()), now);
}

// Exits when nothing is left to do, else once the core has given its last answers, these are written and no
// stream is open any more.
void GatewayServer::State::checkStopped(TimeMs now)
{
    const Departure &departure = *gateway.departure();
    const bool answersGiven = now >= departure.answersDueAt;
    const bool idle = now - stopStartedAt >= MinStopTime && gateway.isIdle()
        && callerServer->openConnections() == 0 && relay.openCalls() == 0;
    if (!answersGiven && !idle)
        return;
    callerServer->stopAccepting();
    // The call that ends the lease leaves before the next tick.
    if (sync.leaveAtOnce(now))
        return runStoreCalls();
    const size_t unwritten = callerServer->unwrittenResponses() + relayServer->unwrittenResponses();
    const bool isDone = unwritten == 0 && gateway.isIdle() && relay.openCalls() == 0;
    if (!isDone && now < departure.exitsAt)
        return;
    gateway.sendUsage(now);
    runActions();
    gateway.logOpenAtExit(now);
    log.write(LogPriority::State, "stopped",
              {{"open_requests", callers.size()},
               {"phases", gateway.openByPhase()},
               {"since_signal", gateway.sinceSignal()},
               {"unwritten_responses", unwritten},
               {"relayed_for_others", relay.openCalls()},
               {"after_ms", (now - stopStartedAt).count}});
    log.flush();
    io.stop();
}

GatewayServer::GatewayServer(GatewayDaemonSettings settings, std::string file)
    : state_(std::make_unique<State>(std::move(settings), std::move(file)))
{ }

GatewayServer::~GatewayServer() = default;

int GatewayServer::run()
{
    State &state = *state_;
    const GatewayDaemonSettings &settings = state.settings;
    try {
        state.startServers();
        state.openPeerSocket();
    } catch (const boost::system::system_error &error) {
        state.log.write(LogPriority::State, "cannot_listen", {{"error", error.what()}});
        state.log.flush();
        return 1;
    }
    state.log.write(
        LogPriority::State, "started",
        {{"failure_domain", settings.failureDomain.value}, {"incarnation", state.incarnation.value}});
    state.signals.add(SIGTERM);
    state.signals.add(SIGINT);
    state.signals.add(SIGHUP);
    noteStopSignals();
    state.waitForSignal();
    state.tick();
    state.runLoop();
    return 0;
}

} // namespace cranberry
