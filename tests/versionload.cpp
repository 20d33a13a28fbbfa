#include "versionload.h"

#include "schedule.h"

#include "gateway/peers/peerdatagrams.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <memory>

namespace cranberry {

namespace {

constexpr int64_t StartMs = 100'000;
constexpr DurationMs Hop{1}; ///< Between two instances.
constexpr DurationMs TickInterval{25};
constexpr DurationMs ListInterval{500};
constexpr DurationMs ReportInterval{200};
constexpr DurationMs StoreInterval{1000};
constexpr DurationMs FirstEventTime{200};
constexpr DurationMs EventInterval{50};
constexpr uint64_t Events = 25;
constexpr DurationMs RestartTime{2500};
constexpr DurationMs ReturnTime{60}; ///< Of a caller whose stream broke.
constexpr uint32_t MaxReturns = 3;
constexpr DurationMs StreamDeadline{12000};
constexpr uint16_t FirstPort = 1000; ///< Of the engines.

struct Engine {
    EndpointEntry entry;
    std::string version; ///< Of the process that runs, whatever the list says.
    bool isDead = false;
};

struct Stream {
    std::string firstId; ///< Of the request that brought the first event.
    std::string version; ///< Of the engine that made the first event.
    std::optional<uint64_t> lastEvent;
    uint32_t returns = 0;
    bool isMixed = false;
};

/// One request of a caller.
struct Request {
    size_t stream = 0;
    bool isResumption = false;
    bool hasEvents = false;
    bool hasArrived = false; ///< At an engine.
};

struct Open {
    size_t daemon = 0;
    AttemptId attempt;
    EndpointId engine;
    std::string version; ///< Of the process that got it.
    std::string request;
};

struct Daemon {
    std::unique_ptr<RecordingLog> log;
    std::unique_ptr<Gateway> gateway;
    std::map<CallerId, std::string> callers;
    bool isDown = false;
};

class VersionLoad
{
public:
    explicit VersionLoad(const VersionPlan &plan)
        : plan_(plan), random_(plan.seed), schedule_(TimeMs{StartMs} - plan.lead), store_(plan.seed)
    {
        store_.faults = plan.storeFaults;
    }

    VersionResult play()
    {
        configure();
        for (size_t i = 0; i < plan_.engines; ++i)
            addEngine(plan_.versions[i % plan_.versions.size()]);
        daemons_.resize(plan_.daemons);
        members_.resize(plan_.daemons);
        for (size_t i = 0; i < plan_.daemons; ++i)
            startDaemon(i);
        for (const EngineLoss &loss : plan_.losses)
            at(TimeMs{StartMs} + loss.at, [this, &loss] { lose(loss); });
        for (const DaemonKill &kill : plan_.kills)
            at(TimeMs{StartMs} + kill.at, [this, &kill] { killDaemons(kill); });
        schedule_.every(ListInterval, [this] { list(); });
        schedule_.every(StoreInterval, [this] { stored_ = daemons_.front().gateway->versionRecord(); });
        schedule_.every(TickInterval, [this] { tick(); });
        report();
        at(TimeMs{StartMs} + DurationMs{1000}, [this] { arrive(); });
        const TimeMs end = TimeMs{StartMs} + plan_.length + StreamDeadline;
        schedule_.runUntil(end);
        evaluate();
        return result_;
    }

private:
    void at(TimeMs time, std::function<void()> event) { schedule_.at(time, std::move(event)); }

    void configure()
    {
        configuration_ = std::make_shared<ServingConfiguration>();
        configuration_->version = 1;
        Route route;
        route.name = "review";
        route.host = "portal.example";
        route.prefix = "/review/";
        route.kind = RouteKind::Streaming;
        route.targets.push_back({ServiceName{"model"}, 1});
        route.timeout = StreamDeadline;
        route.latencyTarget = {1000};
        route.attempts = 2;
        route.resumable = true;
        route.anonymous = true;
        configuration_->routes.push_back(route);
        ServedService model;
        model.name.value = "model";
        model.engine = EngineFigures{plan_.slots, 500'000, 3};
        configuration_->services = {model};
        configuration_->index();
    }

    void addEngine(const std::string &version)
    {
        const size_t number = ++enginesStarted_;
        Engine engine;
        engine.entry.id.value = fmt::format("engine-{}", number);
        engine.entry.service.value = "model";
        engine.entry.address = {"10.0.0.1", static_cast<uint16_t>(FirstPort + number)};
        engine.entry.failureDomain.value = fmt::format("domain-{}", number % 4);
        engine.entry.version.value = version;
        engine.entry.slots = plan_.slots;
        if (plan_.keepsId)
            engine.entry.start.unixMs = schedule_.now().count;
        engine.version = version;
        order_.push_back(engine.entry.id);
        engines_[engine.entry.id] = engine;
    }

    void startDaemon(size_t i)
    {
        GatewaySettings settings;
        settings.instance.value = fmt::format("entry-{}", i);
        settings.incarnation.value = ++incarnations_;
        settings.failureDomain.value = fmt::format("domain-{}", i % 4);
        settings.retryLimits = plan_.retryLimits;
        settings.seed = plan_.seed * 1000 + incarnations_;
        daemons_[i].callers.clear();
        daemons_[i].isDown = false;
        daemons_[i].log = std::make_unique<RecordingLog>();
        daemons_[i].gateway = std::make_unique<Gateway>(settings, *daemons_[i].log);
        members_[i].instance = settings.instance;
        members_[i].incarnation = settings.incarnation;
        members_[i].failureDomain = settings.failureDomain;
        members_[i].peerAddress = {"10.0.0.2", static_cast<uint16_t>(i)};
        members_[i].serving = i < servingCount();
    }

    // ---- Faults ----

    void lose(const EngineLoss &loss)
    {
        std::vector<EndpointId> alive;
        for (const EndpointId &id : order_) {
            if (!engines_[id].isDead)
                alive.push_back(id);
        }
        for (size_t i = 0; i < loss.count && !alive.empty(); ++i)
            end(alive[(loss.first + i) % alive.size()]);
    }

    void end(const EndpointId &id)
    {
        Engine &engine = engines_[id];
        engine.isDead = true;
        std::vector<uint64_t> broken;
        for (const std::pair<const uint64_t, Open> &each : open_) {
            if (each.second.engine == id)
                broken.push_back(each.first);
        }
        for (uint64_t number : broken) {
            const Open open = open_[number];
            open_.erase(number);
            daemons_[open.daemon].gateway->onConnectionFailed({open.attempt, true}, schedule_.now());
            takeActions(open.daemon);
        }
        if (plan_.keepsId)
            return at(schedule_.now() + ListInterval, [this, id] { rebirth(id); });
        at(schedule_.now() + RestartTime, [this, id, version = engine.version] {
            engines_.erase(id);
            std::erase(order_, id);
            addEngine(version);
        });
    }

    // The process runs at once, the list says so one second later.
    void rebirth(const EndpointId &id)
    {
        Engine &engine = engines_[id];
        engine.isDead = false;
        if (!plan_.rebornAs.empty())
            engine.version = plan_.rebornAs;
        at(schedule_.now() + ListInterval * 2, [this, id, start = schedule_.now()] {
            engines_[id].entry.start.unixMs = start.count;
            engines_[id].entry.version.value = engines_[id].version;
        });
    }

    size_t servingCount() const { return plan_.serving == 0 ? plan_.daemons : plan_.serving; }

    void killDaemons(const DaemonKill &kill)
    {
        const size_t count = (servingCount() * kill.percent + 99) / 100;
        const size_t first = random_.below(servingCount());
        std::vector<std::string> cut;
        for (size_t i = 0; i < count; ++i) {
            const size_t daemon = (first + i) % servingCount();
            if (daemons_[daemon].isDown)
                continue;
            std::erase_if(open_, [daemon](const auto &each) { return each.second.daemon == daemon; });
            for (const std::pair<const CallerId, std::string> &caller : daemons_[daemon].callers)
                cut.push_back(caller.second);
            daemons_[daemon].callers.clear();
            daemons_[daemon].isDown = true;
            if (kill.downtime.count == 0)
                startDaemon(daemon);
            else
                at(schedule_.now() + kill.downtime, [this, daemon] {
                    startDaemon(daemon);
                    list();
                });
        }
        for (const std::string &request : cut)
            returnLater(request);
        list();
    }

    bool isStoreAway() const
    {
        const DurationMs since = schedule_.now() - TimeMs{StartMs};
        return plan_.storeAway && since >= plan_.storeAway->first && since < plan_.storeAway->second;
    }

    void answerStoreCalls()
    {
        store_.faults.down = isStoreAway();
        for (const std::pair<size_t, StoreReply> &reply : store_.replies(schedule_.now())) {
            for (size_t i = 0; i < daemons_.size(); ++i) {
                if (members_[i].incarnation.value != reply.first || daemons_[i].isDown)
                    continue;
                daemons_[i].gateway->onStoreReply(reply.second, schedule_.now());
                takeActions(i);
            }
        }
    }

    bool areApart() const
    {
        return plan_.daemonsApartFrom && schedule_.now() >= TimeMs{StartMs} + *plan_.daemonsApartFrom;
    }

    // ---- The store and the reports ----

    void list()
    {
        if (isStoreAway())
            return;
        EndpointsRead read;
        read.askedAt = schedule_.now();
        for (const std::pair<const EndpointId, Engine> &each : engines_)
            read.entries.push_back(each.second.entry);
        for (size_t i = 0; i < daemons_.size(); ++i) {
            if (daemons_[i].isDown)
                continue;
            Gateway &gateway = *daemons_[i].gateway;
            gateway.onMembers(members_, schedule_.now());
            gateway.onConfiguration({configuration_, schedule_.now()}, schedule_.now());
            gateway.onEndpoints(read, schedule_.now());
            RolloutsKnown known;
            if (plan_.storesVersions)
                known.versions = stored_;
            gateway.onRollouts({known, schedule_.now()}, schedule_.now());
            takeActions(i);
        }
    }

    void tick()
    {
        answerStoreCalls();
        for (size_t i = 0; i < daemons_.size(); ++i) {
            if (daemons_[i].isDown)
                continue;
            daemons_[i].gateway->tick(schedule_.now());
            takeActions(i);
        }
    }

    void report()
    {
        at(schedule_.now() + std::max(ReportInterval, daemons_.front().gateway->peers().reportInterval()),
           [this] { report(); });
        if (areApart())
            return;
        for (size_t i = 0; i < servingCount(); ++i) {
            if (daemons_[i].isDown)
                continue;
            const PeerReport report = daemons_[i].gateway->report(true, schedule_.now());
            for (size_t other = 0; other < servingCount(); ++other) {
                if (other != i && !daemons_[other].isDown)
                    daemons_[other].gateway->onPeerReport(report, schedule_.now());
            }
        }
    }

    // ---- Callers ----

    void arrive()
    {
        if (schedule_.now() - TimeMs{StartMs} >= plan_.length)
            return;
        streams_.push_back({});
        ++result_.asked;
        ask(streams_.size() - 1, false);
        const double meanUs = 1e6 / (plan_.perSecond * static_cast<double>(servingCount()));
        pendingUs_ += random_.below(static_cast<uint64_t>(2 * meanUs));
        const DurationMs pause{static_cast<int64_t>(pendingUs_ / 1000)};
        pendingUs_ %= 1000;
        at(schedule_.now() + pause, [this] { arrive(); });
    }

    void ask(size_t stream, bool isResumption)
    {
        size_t daemon = random_.below(servingCount());
        for (size_t i = 0; i < servingCount() && daemons_[daemon].isDown; ++i)
            daemon = (daemon + 1) % servingCount();
        std::shared_ptr<CallerRequest> request = std::make_shared<CallerRequest>();
        const CallerId caller{++requestCount_};
        request->id = fmt::format("request-{}", caller.value);
        request->method = "POST";
        request->path = request->target = "/review/";
        request->host = "portal.example";
        request->body = fmt::format("stream-{}", stream);
        request->deadline = StreamDeadline;
        request->statesTokens = true;
        request->promptTokens = 1000;
        request->outputTokens = Events * 3;
        if (isResumption) {
            request->resumes = streams_[stream].firstId;
            request->resumeAfter = streams_[stream].lastEvent;
        }
        requests_[request->id] = {stream, isResumption, false};
        askedAt_.push_back(schedule_.now());
        if (daemons_[daemon].isDown)
            return returnLater(request->id);
        daemons_[daemon].callers[caller] = request->id;
        daemons_[daemon].gateway->onRequest({caller, request}, schedule_.now());
        takeActions(daemon);
    }

    void returnLater(const std::string &request)
    {
        const size_t stream = requests_[request].stream;
        if (streams_[stream].returns >= MaxReturns)
            return;
        ++streams_[stream].returns;
        at(schedule_.now() + ReturnTime, [this, stream] {
            const bool isResumption = streams_[stream].lastEvent.has_value();
            result_.takenUp += isResumption ? 1 : 0;
            ask(stream, isResumption);
        });
    }

    void received(const std::string &id, const std::string &version, uint64_t event)
    {
        Request &request = requests_[id];
        Stream &stream = streams_[request.stream];
        if (!std::exchange(request.hasEvents, true)) {
            result_.wentOn += request.isResumption ? 1 : 0;
            result_.begun += stream.firstId.empty() ? 1 : 0;
        }
        if (stream.firstId.empty()) {
            stream.firstId = id;
            stream.version = version;
        }
        stream.isMixed = stream.isMixed || stream.version != version;
        stream.lastEvent = event;
    }

    // ---- Actions of the daemons ----

    void takeActions(size_t daemon)
    {
        for (const GatewayAction &action : daemons_[daemon].gateway->takeActions()) {
            if (const SendAttempt *attempt = std::get_if<SendAttempt>(&action))
                send(daemon, *attempt);
            else if (const CancelSent *cancel = std::get_if<CancelSent>(&action))
                std::erase_if(open_, [&](const auto &each) {
                    return each.second.daemon == daemon && each.second.attempt == cancel->attempt;
                });
            else if (const AnswerCaller *answer = std::get_if<AnswerCaller>(&action))
                refused(daemon, *answer);
            else if (const EndCallerStream *stream = std::get_if<EndCallerStream>(&action))
                ended(daemon, stream->caller, stream->complete);
            else if (const ProbeEngine *probe = std::get_if<ProbeEngine>(&action))
                answerProbe(daemon, *probe);
            else if (const SendToPeer *word = std::get_if<SendToPeer>(&action))
                sendToPeer(daemon, *word);
        }
        for (const StoreCall &call : daemons_[daemon].gateway->takeStoreCalls()) {
            ++result_.storeCalls;
            store_.submit(members_[daemon].incarnation.value, call, schedule_.now());
            at(schedule_.now() + store_.faults.delay, [this] { answerStoreCalls(); });
        }
    }

    void refused(size_t daemon, const AnswerCaller &answer)
    {
        const auto found = daemons_[daemon].callers.find(answer.caller);
        if (found != daemons_[daemon].callers.end() && requests_[found->second].isResumption)
            ++result_.refusedResumptions[answer.body];
        ended(daemon, answer.caller, false);
    }

    void ended(size_t daemon, CallerId caller, bool isWhole)
    {
        const auto found = daemons_[daemon].callers.find(caller);
        if (found == daemons_[daemon].callers.end())
            return;
        const std::string request = found->second;
        daemons_[daemon].callers.erase(found);
        result_.whole += isWhole ? 1 : 0;
        result_.broken += !isWhole && requests_[request].hasArrived ? 1 : 0;
        if (!isWhole)
            returnLater(request);
    }

    void send(size_t daemon, const SendAttempt &attempt)
    {
        const uint64_t number = ++opened_;
        const auto engine = engines_.find(attempt.endpoint);
        open_[number]
            = {daemon, attempt.attempt, attempt.endpoint,
               engine == engines_.end() ? std::string() : engine->second.version, attempt.request->id};
        if (engine == engines_.end() || engine->second.isDead) {
            at(schedule_.now() + Hop, [this, number] {
                const auto found = open_.find(number);
                if (found == open_.end())
                    return;
                const Open open = found->second;
                open_.erase(found);
                daemons_[open.daemon].gateway->onConnectionFailed(
                    {open.attempt, false, ConnectFailure::Refused}, schedule_.now());
                takeActions(open.daemon);
            });
            return;
        }
        if (std::exchange(requests_[attempt.request->id].hasArrived, true))
            result_.retriedAt.push_back(schedule_.now());
        const uint64_t next = attempt.resumeAfter.value_or(0) + 1;
        at(schedule_.now() + FirstEventTime, [this, number, next] { respond(number, next, true); });
    }

    void respond(uint64_t number, uint64_t event, bool isFirst)
    {
        const auto found = open_.find(number);
        if (found == open_.end())
            return;
        const Open open = found->second;
        Gateway &gateway = *daemons_[open.daemon].gateway;
        if (isFirst && isReset()) {
            open_.erase(found);
            gateway.onConnectionFailed({open.attempt, true}, schedule_.now());
            return takeActions(open.daemon);
        }
        if (isFirst) {
            AttemptHead head;
            head.attempt = open.attempt;
            head.status = 200;
            head.eventStream = true;
            gateway.onHead(head, schedule_.now());
        }
        received(open.request, open.version, event);
        gateway.onData({open.attempt, fmt::format("id: {}\ndata: x\n\n", event)}, schedule_.now());
        if (event >= Events) {
            open_.erase(number);
            gateway.onEnd({open.attempt}, schedule_.now());
        } else {
            at(schedule_.now() + EventInterval, [this, number, event] { respond(number, event + 1, false); });
        }
        takeActions(open.daemon);
    }

    bool isReset()
    {
        const DurationMs since = schedule_.now() - TimeMs{StartMs};
        return plan_.resets && since >= plan_.resets->from && since < plan_.resets->until
            && random_.below(100) < plan_.resets->percent;
    }

    void answerProbe(size_t daemon, const ProbeEngine &probe)
    {
        const auto engine = engines_.find(probe.endpoint);
        EngineProbed probed;
        probed.endpoint = probe.endpoint;
        probed.answered = engine != engines_.end() && !engine->second.isDead;
        probed.process = probed.answered ? EndpointProcess::Running : EndpointProcess::Exited;
        probed.connect = probed.answered ? ConnectFailure::None : ConnectFailure::Refused;
        probed.afterConnectionFailure = probe.afterConnectionFailure;
        probed.relay = probe.relay;
        if (probed.answered)
            probed.start = engine->second.entry.start;
        const Gateway *asker = daemons_[daemon].gateway.get();
        at(schedule_.now() + Hop * 2, [this, daemon, probed, asker] {
            if (daemons_[daemon].gateway.get() != asker || daemons_[daemon].isDown)
                return;
            daemons_[daemon].gateway->onEngineProbed(probed, schedule_.now());
            takeActions(daemon);
        });
    }

    void sendToPeer(size_t daemon, const SendToPeer &word)
    {
        if (!std::holds_alternative<CrashNotice>(word.message)) {
            notices_ += std::holds_alternative<StreamOriginNotice>(word.message) ? 1 : 0;
            noteBytes_
                += std::visit([](const auto &each) { return encodeDatagram(each).size(); }, word.message);
        }
        if (areApart() || random_.below(100) < plan_.lostDatagrams)
            return;
        at(schedule_.now() + Hop, [this, daemon, word] { deliver(daemon, word); });
    }

    void deliver(size_t from, const SendToPeer &word)
    {
        if (daemons_[word.to.port].isDown)
            return;
        Gateway &gateway = *daemons_[word.to.port].gateway;
        const Address sender{"10.0.0.2", static_cast<uint16_t>(from)};
        if (const CrashNotice *crash = std::get_if<CrashNotice>(&word.message))
            gateway.onCrashNotice(*crash, schedule_.now());
        else if (const StreamOriginNotice *notice = std::get_if<StreamOriginNotice>(&word.message))
            gateway.onStreamOriginNotice(*notice, schedule_.now());
        else if (const StreamOriginQuery *query = std::get_if<StreamOriginQuery>(&word.message))
            gateway.onStreamOriginQuery(*query, sender, schedule_.now());
        else if (const StreamOriginReply *reply = std::get_if<StreamOriginReply>(&word.message))
            gateway.onStreamOriginReply(*reply, sender, schedule_.now());
        takeActions(word.to.port);
    }

    void evaluate()
    {
        for (const Stream &stream : streams_)
            result_.mixed += stream.isMixed ? 1 : 0;
        evaluateRetries();
        const double daemonSeconds
            = static_cast<double>(plan_.daemons) * static_cast<double>(plan_.length.count) / 1000;
        result_.noticesPerSecond = static_cast<double>(notices_) / daemonSeconds;
        result_.bytesPerSecond = static_cast<double>(noteBytes_) / daemonSeconds;
    }

    static double countBetween(const std::vector<TimeMs> &times, TimeMs after, TimeMs until)
    {
        const auto begin = std::upper_bound(times.begin(), times.end(), after);
        return static_cast<double>(std::upper_bound(begin, times.end(), until) - begin);
    }

    void evaluateRetries()
    {
        const GatewayRetryLimits &limits = plan_.retryLimits;
        for (TimeMs end : result_.retriedAt) {
            double asked = 0;
            for (const DurationMs back : {DurationMs{0}, limits.window / 2, limits.window})
                asked = std::max(asked, countBetween(askedAt_, end - back - limits.window, end - back));
            const double retried = countBetween(result_.retriedAt, end - limits.window, end);
            result_.retriesOfAllowed
                = std::max(result_.retriesOfAllowed, retried / (limits.ratio * asked + limits.slack));
        }
    }

    const VersionPlan plan_;
    Random random_;
    Schedule schedule_;
    FakeStore store_;
    std::shared_ptr<ServingConfiguration> configuration_;
    std::vector<EndpointId> order_;
    std::map<EndpointId, Engine> engines_;
    size_t enginesStarted_ = 0;
    std::vector<Daemon> daemons_;
    std::vector<MemberEntry> members_;
    uint64_t incarnations_ = 0;
    std::vector<Stream> streams_;
    std::map<std::string, Request> requests_;
    std::vector<TimeMs> askedAt_; ///< Of all requests.
    std::map<uint64_t, Open> open_;
    uint64_t opened_ = 0;
    uint64_t requestCount_ = 0;
    uint64_t pendingUs_ = 0;
    VersionRecord stored_;
    uint64_t notices_ = 0;
    uint64_t noteBytes_ = 0;
    VersionResult result_;
};

} // namespace

std::string VersionResult::text() const
{
    std::string out = fmt::format(
        "begun {} of {}, whole {}; taken up {}, went on {}, mixed {}; notices {:.2f}/s, {:.0f} B/s a daemon; "
        "broken {}, retries {}, at most {:.2f} of what is allowed, {} store calls",
        begun, asked, whole, takenUp, wentOn, mixed, noticesPerSecond, bytesPerSecond, broken,
        retriedAt.size(), retriesOfAllowed, storeCalls);
    for (const std::pair<const std::string, uint64_t> &reason : refusedResumptions)
        out += fmt::format("; {} {}", reason.second, reason.first);
    return out;
}

VersionResult playVersions(const VersionPlan &plan)
{
    return VersionLoad(plan).play();
}

} // namespace cranberry
