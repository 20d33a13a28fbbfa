#include "engineload.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <set>

namespace cranberry {

namespace {

constexpr int64_t StartMs = 100'000;
constexpr DurationMs Step{5};
constexpr DurationMs TickPace{25};
constexpr DurationMs ListPace{500};
constexpr DurationMs AfterTheLast{15000}; ///< For what still runs at the end.
constexpr DurationMs EventPace{50};
/// From the begin of a run that ends its engine to that end.
constexpr DurationMs CrashDelay{60};
/// An engine that ended is named by the list for so long.
constexpr DurationMs StaysListed{3600};
constexpr uint64_t EndsBeforeSettling = 3;
constexpr uint64_t EndsBeforeSettlingOfParts = 5;
constexpr uint64_t InnerPartTokens = 50;
constexpr const char *GuiltyPart = "guilty-";
constexpr const char *CrashingBody = "crashing";

struct Reading {
    size_t daemon = 0;
    AttemptId attempt;
    double tokensLeft = 0;
    uint64_t outputTokens = 0;
    std::vector<PromptPart> shared;
    uint32_t urgency = 5;
    uint64_t nextEvent = 1;
    bool crashes = false;
    TimeMs readyAt{}; ///< End of its transfer.
    EndpointId fetchedFrom{};
    double fetchedTokens = 0;
};

struct Stream {
    size_t daemon = 0;
    AttemptId attempt;
    TimeMs nextAt;
    TimeMs endsAt;
    uint64_t nextEvent = 1;
    bool hasHead = false;
    uint64_t tokensLeft = 0; ///< Of uneven engines.
};

/// One engine: reads first come, first served; streams side by side.
struct Engine {
    EndpointEntry entry;
    std::deque<Reading> queue;
    std::vector<Stream> streams;
    std::list<PromptPart> cache; ///< Newest first.
    bool gone = false;
    std::optional<TimeMs> crashesAt;
    bool keepsId = false; ///< When it ends, it starts again under its id.
    std::optional<TimeMs> endedAt; ///< Its process. The list names it for some seconds more.
    bool restarted = false; ///< Another one has taken its place.
    size_t index = 0;
    double stepEndsMs = 0; ///< Of an uneven engine's running step; 0: none runs.
    double stepTokens = 0; ///< Prefill in that step.
    TimeMs stallsAt; ///< Begin of its next stall.
    std::optional<EnginesLimited> limit; ///< It names one now.
    std::map<size_t, TimeMs> told; ///< Daemons that have had such an answer, since when.
    TimeMs linkFreeAt;
    std::deque<TimeMs> counted; ///< Arrivals of the newest window, from daemons that were told.

    bool holds(const std::string &id) const
    {
        return std::any_of(cache.begin(), cache.end(),
                           [&id](const PromptPart &part) { return part.id == id; });
    }
};

struct Word {
    size_t from = 0;
    size_t to = 0;
    SendToPeer told;
};

/// An attempt at an engine that refused the connection.
struct Unsent {
    size_t daemon = 0;
    AttemptId attempt;
    bool isRelayed = false;
};

struct Asked {
    const LoadKind *kind = nullptr;
    TimeMs at;
    CallerRequestPtr request;
    std::optional<TimeMs> firstAt;
    bool isRepeat = false;
    TimeMs lastAt; ///< Of the newest event.
    DurationMs longestPause;
    bool hasReturned = false;
};

class Load
{
public:
    explicit Load(const LoadPlan &plan) : plan_(plan), random_(plan.seed)
    {
        configure();
        addEngines(plan.engines);
        for (size_t i = 0; i < plan.daemons; ++i)
            startDaemon(i);
    }

    LoadResult play()
    {
        const TimeMs start = now_;
        TimeMs ticked = now_;
        TimeMs listed;
        TimeMs reported = now_;
        for (const LoadKind &kind : plan_.kinds) {
            for (size_t i = 0; i < sources_; ++i)
                nextArrival_.push_back(now_ + pause(kind, sourceRate(i, {0})));
        }
        while (now_ < start + plan_.length + AfterTheLast) {
            now_ = now_ + Step;
            if (now_ - listed >= ListPace) {
                listed = now_;
                list(now_ - start);
            }
            if (now_ - start < plan_.length)
                arrive(now_ - start);
            for (Engine &engine : engines_)
                plan_.uneven ? runSteps(engine) : run(engine);
            endByThemselves(now_ - start);
            nameLimits(now_ - start);
            endEngines();
            restartEngines();
            reply();
            comeBack();
            if (now_ - ticked >= TickPace) {
                ticked = now_;
                for (size_t i = 0; i < daemons_.size(); ++i) {
                    daemons_[i]->tick(now_);
                    takeActions(i);
                }
            }
            if (now_ - reported >= plan_.reportPace) {
                reported = now_;
                report();
            }
        }
        for (const EnginesLimited &limit : plan_.limits)
            result_.limited.expected += limit.perSecond * static_cast<double>(limit.count)
                * static_cast<double>((limit.until - limit.from).count) / 1000;
        for (std::pair<const std::string, KindResult> &entry : result_.kinds)
            std::sort(entry.second.firstMs.begin(), entry.second.firstMs.end());
        result_.ejections = log_.count("engine_ejected");
        countSoundParts();
        for (const boost::json::object &line : log_.lines) {
            if (line.at("event") == "engine_ejected")
                ++result_.ejectionsOf[std::string(line.at("endpoint").as_string())];
        }
        return result_;
    }

private:
    void addEngines(size_t count)
    {
        for (size_t end = engines_.size() + count; engines_.size() < end;) {
            const size_t i = engines_.size();
            Engine engine;
            engine.index = i;
            engine.entry.id.value = fmt::format("engine-{}", i);
            engine.entry.service.value = "model";
            engine.entry.address = {"10.0.0.1", static_cast<uint16_t>(1000 + i)};
            engine.entry.failureDomain.value = fmt::format("domain-{}", i % 4);
            engine.entry.slots = plan_.engine.slots;
            engines_.push_back(std::move(engine));
        }
    }

    void configure()
    {
        configuration_ = std::make_shared<ServingConfiguration>();
        configuration_->version = 1;
        for (const LoadKind &kind : plan_.kinds) {
            Route route;
            route.name = kind.name;
            route.host = "portal.example";
            route.prefix = "/" + kind.name + "/";
            route.kind = RouteKind::Streaming;
            route.targets.push_back({ServiceName{"model"}, 1});
            route.timeout = kind.deadline;
            route.latencyTarget = kind.target;
            route.gapTarget = plan_.gapTarget;
            route.priority = kind.priority;
            route.resumable = kind.resumable;
            route.attempts = kind.resumable ? 2 : 1;
            route.anonymous = plan_.organisations.empty();
            configuration_->routes.push_back(route);
        }
        ServedService model;
        model.name.value = "model";
        model.engine = EngineFigures{plan_.engine.slots, plan_.engine.cacheTokens, 5};
        model.engine->kvBytesPerToken = plan_.transfers.kvBytes;
        model.engine->linkMbps = plan_.transfers.linkMbps;
        configuration_->services = {model};
        for (const LoadOrganisation &each : plan_.organisations) {
            ServedOrganisation organisation;
            organisation.name.value = each.name;
            organisation.keys = {each.name};
            organisation.countsTokens = true;
            organisation.ratePerSecond = each.ratePerSecond;
            organisation.burst = each.burst;
            configuration_->organisations.push_back(organisation);
        }
        configuration_->index();
    }

    void startDaemon(size_t i)
    {
        GatewaySettings settings;
        settings.instance.value = fmt::format("entry-{}", i);
        settings.incarnation.value = i + 1;
        settings.failureDomain.value = fmt::format("domain-{}", i % 4);
        settings.retryLimits = {0.2, 40, {10000}};
        settings.quotaTolerance = plan_.quotaTolerance;
        settings.seed = plan_.seed + i;
        daemons_.push_back(std::make_unique<Gateway>(settings, log_));
        MemberEntry member;
        member.instance = settings.instance;
        member.incarnation = settings.incarnation;
        member.peerAddress = {"10.0.0.2", static_cast<uint16_t>(i)};
        member.serving = plan_.allServe;
        members_.push_back(member);
        requests_.emplace_back();
    }

    void list(DurationMs since)
    {
        const bool announced = plan_.enginesLost > 0 && since >= plan_.lossAt - plan_.lossNotice;
        const bool over = plan_.enginesLost > 0 && since >= plan_.lossAt;
        for (size_t i = 0; i < plan_.enginesLost; ++i) {
            engines_[i].entry.leaving = announced;
            engines_[i].entry.leavesAfter = plan_.lossNotice;
            if (over && !std::exchange(engines_[i].gone, true))
                breakAll(engines_[i]);
        }
        if (since >= plan_.addedAt && !std::exchange(added_, true))
            addEngines(plan_.enginesAdded);
        EndpointsRead read;
        read.askedAt = now_;
        for (Engine &engine : engines_) {
            engine.gone = engine.gone || (engine.endedAt && now_ - *engine.endedAt > StaysListed);
            if (!engine.gone)
                read.entries.push_back(engine.entry);
        }
        for (size_t i = 0; i < daemons_.size(); ++i) {
            daemons_[i]->onMembers(members_, now_);
            daemons_[i]->onConfiguration({configuration_, now_}, now_);
            daemons_[i]->onEndpoints(read, now_);
            takeActions(i);
        }
    }

    void breakAll(Engine &engine)
    {
        for (const Reading &reading : std::exchange(engine.queue, {}))
            daemons_[reading.daemon]->onConnectionFailed({reading.attempt, true}, now_);
        for (const Stream &stream : std::exchange(engine.streams, {}))
            daemons_[stream.daemon]->onConnectionFailed({stream.attempt, true}, now_);
    }

    // All that it had breaks at once, and nobody listens there any more.
    void endEngines()
    {
        for (size_t i = 0; i < engines_.size(); ++i) {
            if (!engines_[i].crashesAt || now_ < *engines_[i].crashesAt || engines_[i].endedAt)
                continue;
            failTransfers(engines_[i].entry.id);
            if (engines_[i].keepsId) {
                restartUnderId(engines_[i]);
                continue;
            }
            engines_[i].endedAt = now_;
            const bool isOfParts = plan_.crashing && plan_.crashing->guiltyParts > 0;
            if (++result_.crashing.enginesEnded
                == (isOfParts ? EndsBeforeSettlingOfParts * plan_.crashing->guiltyParts : EndsBeforeSettling))
                settlesFrom_ = now_;
            result_.mostAtAnEnd
                = std::max(result_.mostAtAnEnd, engines_[i].queue.size() + engines_[i].streams.size());
            breakAll(engines_[i]);
            for (size_t daemon = 0; daemon < daemons_.size(); ++daemon)
                takeActions(daemon);
        }
    }

    void restartUnderId(Engine &engine)
    {
        engine.crashesAt.reset();
        engine.cache.clear();
        engine.entry.start.unixMs = now_.count;
        breakAll(engine);
        for (size_t daemon = 0; daemon < daemons_.size(); ++daemon)
            takeActions(daemon);
    }

    void endByThemselves(DurationMs since)
    {
        for (const EnginesEnd &ends : plan_.ends) {
            if (since != ends.at)
                continue;
            for (size_t i = ends.first; i < ends.first + ends.count; ++i) {
                engines_[i].crashesAt = now_;
                engines_[i].keepsId = ends.keepsId;
            }
        }
    }

    void nameLimits(DurationMs since)
    {
        for (const EnginesLimited &limit : plan_.limits) {
            if (since != limit.from && since != limit.until)
                continue;
            for (size_t i = limit.first; i < limit.first + limit.count; ++i) {
                engines_[i].limit = since == limit.from ? std::optional<EnginesLimited>(limit) : std::nullopt;
                engines_[i].told.clear();
            }
        }
    }

    void countArrival(Engine &engine, size_t daemon)
    {
        if (!engine.limit)
            return;
        const EnginesLimited &limit = *engine.limit;
        const TimeMs namedAt = TimeMs{StartMs} + limit.from;
        ++result_.limited.got;
        const auto told = engine.told.find(daemon);
        if (told == engine.told.end() || now_ - told->second < LimitTellTime)
            return;
        engine.counted.push_back(now_);
        while (now_ - engine.counted.front() >= LimitWindow)
            engine.counted.pop_front();
        if (now_ - namedAt < LimitSettleTime)
            return;
        const double seconds = static_cast<double>(LimitWindow.count) / 1000;
        result_.limited.most = std::max(result_.limited.most, engine.counted.size());
        if (static_cast<double>(engine.counted.size()) > 1.5 * limit.perSecond * seconds + 5)
            ++result_.limited.beyond;
    }

    void restartEngines()
    {
        const size_t count = engines_.size();
        for (size_t i = 0; i < count; ++i) {
            if (!engines_[i].endedAt || engines_[i].restarted
                || now_ - *engines_[i].endedAt < plan_.restartTime)
                continue;
            engines_[i].restarted = true;
            Engine next;
            next.entry = engines_[i].entry;
            next.entry.id.value = fmt::format("engine-{}", engines_.size());
            engines_.push_back(std::move(next));
        }
    }

    // What daemons hear a moment after they asked, sent or told.
    void reply()
    {
        for (const Asked &asked : std::exchange(repeats_, {}))
            askAgain(asked);
        for (const Unsent &unsent : std::exchange(unsent_, {})) {
            daemons_[unsent.daemon]->onConnectionFailed(
                {unsent.attempt, false, ConnectFailure::Refused,
                 unsent.isRelayed ? RelayFailure::EndpointUnreached : RelayFailure::None},
                now_);
            takeActions(unsent.daemon);
        }
        for (const std::pair<size_t, EndpointId> &probe : std::exchange(pathProbes_, {})) {
            const bool ended = engineOf(probe.second).endedAt.has_value();
            daemons_[probe.first]->onEndpointConnected(
                {probe.second, ended ? ConnectFailure::Refused : ConnectFailure::None, true}, now_);
            takeActions(probe.first);
        }
        for (const Word &word : std::exchange(words_, {})) {
            deliver(word);
            takeActions(word.to);
        }
        for (const std::pair<size_t, ProbeEngine> &probe : std::exchange(probes_, {})) {
            const bool ended = engineOf(probe.second.endpoint).endedAt.has_value();
            EngineProbed probed;
            probed.endpoint = probe.second.endpoint;
            probed.relay = probe.second.relay;
            probed.answered = !ended;
            probed.process = ended ? EndpointProcess::Exited : EndpointProcess::Running;
            probed.afterConnectionFailure = true;
            daemons_[probe.first]->onEngineProbed(probed, now_);
            takeActions(probe.first);
        }
    }

    // All engines here have one version, so where streams began does not matter.
    static bool hasNoEffectHere(const SendToPeer &word)
    {
        return std::holds_alternative<StreamOriginNotice>(word.message)
            || std::holds_alternative<StreamOriginQuery>(word.message)
            || std::holds_alternative<StreamOriginReply>(word.message)
            || std::holds_alternative<UsageNotice>(word.message);
    }

    void tell(size_t from, const SendToPeer &word)
    {
        if (hasNoEffectHere(word))
            return;
        if (random_.below(100) >= plan_.lostNotices)
            words_.push_back({from, word.to.port, word});
    }

    void deliver(const Word &word)
    {
        Gateway &daemon = *daemons_[word.to];
        const auto &message = word.told.message;
        if (const CrashNotice *notice = std::get_if<CrashNotice>(&message))
            daemon.onCrashNotice(*notice, now_);
        else if (const LimitNotice *limits = std::get_if<LimitNotice>(&message))
            daemon.onLimitNotice(*limits, now_);
        else if (const LimitShareRequest *ask = std::get_if<LimitShareRequest>(&message))
            daemon.onLimitShareRequest(*ask, members_[word.from].peerAddress, now_);
        else if (const LimitShareGrant *grant = std::get_if<LimitShareGrant>(&message))
            daemon.onLimitGrant(*grant, now_);
        else if (const QuotaRequest *units = std::get_if<QuotaRequest>(&message))
            daemon.onQuotaRequest(*units, members_[word.from].peerAddress);
        else if (const QuotaTransfer *transfer = std::get_if<QuotaTransfer>(&message))
            daemon.onQuotaTransfer(*transfer, now_);
    }

    Engine &engineOf(const EndpointId &id)
    {
        return *std::find_if(engines_.begin(), engines_.end(),
                             [&id](const Engine &each) { return each.entry.id == id; });
    }

    void report()
    {
        for (size_t i = 0; i < daemons_.size(); ++i) {
            PeerReport report = daemons_[i]->report(true, now_);
            for (size_t other = 0; other < daemons_.size(); ++other) {
                if (other != i)
                    daemons_[other]->onPeerReport(report, now_);
            }
        }
    }

    double uniform() { return (static_cast<double>(random_.below(1'000'000)) + 0.5) / 1'000'000; }
    double exponential(double mean) { return -mean * std::log(uniform()); }
    DurationMs pause(const LoadKind &kind, double rate)
    {
        return {static_cast<int64_t>(exponential(1000.0 / (kind.perSecond * rate)))};
    }
    // Requests without a key have one source, else each organisation is one.
    double sourceRate(size_t source, DurationMs since) const
    {
        if (plan_.organisations.empty())
            return 1;
        const LoadOrganisation &each = plan_.organisations[source];
        return each.part * (since >= each.from && since < each.until ? each.factor : 1);
    }

    void arrive(DurationMs since)
    {
        for (size_t k = 0; k < plan_.kinds.size(); ++k) {
            for (size_t i = 0; i < sources_; ++i) {
                TimeMs &next = nextArrival_[k * sources_ + i];
                while (next <= now_) {
                    ask(plan_.kinds[k], plan_.organisations.empty() ? "" : plan_.organisations[i].name);
                    next = next + pause(plan_.kinds[k], sourceRate(i, since));
                }
            }
        }
        const bool isCrashTime
            = plan_.crashing && since >= plan_.crashing->from && since < plan_.crashing->until;
        if (isCrashTime && now_ >= nextCrashing_) {
            nextCrashing_ = now_ + plan_.crashing->pause;
            for (size_t i = 0; i < plan_.crashing->atOnce; ++i)
                askCrashing(plan_.kinds.back());
        }
    }

    void askCrashing(const LoadKind &kind)
    {
        std::shared_ptr<CallerRequest> request = std::make_shared<CallerRequest>(newRequest(kind));
        if (plan_.crashing->guiltyParts > 0) {
            addParts(kind, 200, *request);
            addGuiltyPart(*request);
        } else {
            request->body = CrashingBody;
            request->parts = {{request->id, 200}};
            request->promptTokens = 200;
        }
        request->outputTokens = kind.outputTokens;
        const size_t daemon = random_.below(daemons_.size());
        crashingCallers_.insert({daemon, CallerId{callers_}});
        ++result_.crashing.asked;
        daemons_[daemon]->onRequest({CallerId{callers_}, request}, now_);
        takeActions(daemon);
    }

    void countSoundParts()
    {
        std::set<std::string> guilty;
        for (size_t i = 0; plan_.crashing && i < plan_.crashing->guiltyParts; ++i)
            guilty.insert(toText(partDigestOf(ServiceName{"model"}, fmt::format("{}{}", GuiltyPart, i))));
        std::set<std::string> sound;
        for (const boost::json::object &line : log_.lines) {
            if (line.at("event").as_string() == "request_quarantined" && line.at("is_part").as_bool()
                && !guilty.contains(std::string(line.at("digest").as_string())))
                sound.insert(std::string(line.at("digest").as_string()));
        }
        result_.crashing.soundParts = sound.size();
    }

    void addGuiltyPart(CallerRequest &request)
    {
        if (plan_.crashing->isAlone)
            request.parts.erase(request.parts.begin(), std::prev(request.parts.end()));
        const size_t place = random_.below(request.parts.size());
        const std::string id = fmt::format("{}{}", GuiltyPart, random_.below(plan_.crashing->guiltyParts));
        request.parts.insert(request.parts.begin() + static_cast<std::ptrdiff_t>(place),
                             {id, InnerPartTokens});
        request.promptTokens = 0;
        for (const PromptPart &part : request.parts)
            request.promptTokens += part.tokens;
    }

    void addParts(const LoadKind &kind, uint64_t own, CallerRequest &request)
    {
        if (kind.sharedTokens > 0)
            request.parts.push_back(
                {fmt::format("{}-{}", kind.name, random_.below(kind.things)), kind.sharedTokens});
        for (size_t i = 0; i < kind.innerParts; ++i)
            request.parts.push_back(
                {fmt::format("{}-{}-{}", kind.name, i, random_.below(kind.things)), InnerPartTokens});
        request.parts.push_back({request.id, own});
        request.promptTokens = kind.sharedTokens + kind.innerParts * InnerPartTokens + own;
    }

    static bool isCrashing(const CallerRequest &request)
    {
        return request.body == CrashingBody
            || std::any_of(request.parts.begin(), request.parts.end(),
                           [](const PromptPart &part) { return part.id.starts_with(GuiltyPart); });
    }

    CallerRequest newRequest(const LoadKind &kind)
    {
        CallerRequest request;
        request.id = fmt::format("request-{}", ++callers_);
        request.method = "POST";
        request.path = request.target = "/" + kind.name + "/";
        request.host = "portal.example";
        request.body = request.id;
        request.deadline = kind.deadline;
        request.statesTokens = true;
        return request;
    }

    void ask(const LoadKind &kind, const std::string &organisation)
    {
        std::shared_ptr<CallerRequest> request = std::make_shared<CallerRequest>(newRequest(kind));
        request->key = organisation;
        const CallerId caller{callers_};
        const uint64_t own = 1 + static_cast<uint64_t>(exponential(kind.ownTokens));
        addParts(kind, own, *request);
        request->outputTokens
            = 1 + static_cast<uint64_t>(exponential(static_cast<double>(kind.outputTokens)));
        const size_t daemon = random_.below(daemons_.size());
        requests_[daemon][caller] = {&kind, now_, request, std::nullopt, false, {}, {}, false};
        count(requests_[daemon][caller], [](KindResult &result) { ++result.asked; });
        daemons_[daemon]->onRequest({caller, request}, now_);
        takeActions(daemon);
    }

    template <typename Change>
    void count(const Asked &asked, Change change)
    {
        change(result_.kinds[asked.kind->name]);
        if (!asked.request->key.empty())
            change(result_.organisations[asked.request->key]);
    }

    // Callers that were refused and return now.
    void comeBack()
    {
        while (!returns_.empty() && returns_.begin()->first <= now_) {
            const Asked asked = returns_.begin()->second;
            returns_.erase(returns_.begin());
            askAgain(asked);
        }
    }

    // True if the caller waits as it was told and returns.
    bool returnsLater(const Asked &asked, const AnswerCaller &answer)
    {
        const std::string text = headerOf(answer.headers, "Retry-After");
        if (!plan_.callersReturn || asked.hasReturned || text.empty())
            return false;
        const DurationMs after{static_cast<int64_t>(1000 * std::stod(text))};
        if (after > (asked.at + asked.kind->deadline - now_) / 3)
            return false;
        Asked again = asked;
        again.hasReturned = true;
        count(asked, [](KindResult &result) { ++result.returned; });
        returns_.emplace(now_ + after, again);
        return true;
    }

    // The same text under another id, at any daemon.
    void askAgain(Asked asked)
    {
        std::shared_ptr<CallerRequest> request = std::make_shared<CallerRequest>(*asked.request);
        if (asked.hasReturned)
            request->deadline = asked.kind->deadline - (now_ - asked.at);
        const CallerId caller{++callers_};
        request->id = fmt::format("request-{}", caller.value);
        asked.request = request;
        asked.isRepeat = asked.isRepeat || !asked.hasReturned;
        const size_t daemon = random_.below(daemons_.size());
        requests_[daemon][caller] = asked;
        daemons_[daemon]->onRequest({caller, request}, now_);
        takeActions(daemon);
    }

    // True if the caller comes again instead.
    bool comesAgain(const Asked &asked)
    {
        if (!plan_.callersRepeat || asked.isRepeat)
            return false;
        repeats_.push_back(asked);
        return true;
    }

    void takeActions(size_t daemon)
    {
        answerDraws(*daemons_[daemon], store_, now_);
        for (const GatewayAction &action : daemons_[daemon]->takeActions()) {
            if (const SendToPeer *word = std::get_if<SendToPeer>(&action))
                tell(daemon, *word);
            else if (const ProbeEngine *probe = std::get_if<ProbeEngine>(&action))
                probes_.emplace_back(daemon, *probe);
            else if (const ProbePath *path = std::get_if<ProbePath>(&action))
                pathProbes_.emplace_back(daemon, path->endpoint);
            else if (const SendAttempt *attempt = std::get_if<SendAttempt>(&action))
                receive(daemon, *attempt);
            else if (const CancelSent *cancel = std::get_if<CancelSent>(&action))
                forget(daemon, cancel->attempt);
            else if (const AnswerCaller *answer = std::get_if<AnswerCaller>(&action))
                refuse(daemon, *answer);
            else if (const CallerStreamData *data = std::get_if<CallerStreamData>(&action))
                noteEvent(daemon, data->caller);
            else if (const EndCallerStream *end = std::get_if<EndCallerStream>(&action))
                finish(daemon, *end);
        }
    }

    void receive(size_t daemon, const SendAttempt &attempt)
    {
        Engine *engine = &engineOf(attempt.endpoint);
        if (engine->endedAt) {
            unsent_.push_back({daemon, attempt.attempt, attempt.relay.has_value()});
            return;
        }
        countArrival(*engine, daemon);
        if (plan_.uneven && isSlowed(*engine))
            ++result_.sentWhileSlow[engine->index];
        Reading reading{
            daemon, attempt.attempt, 0, attempt.request->outputTokens, {}, attempt.urgency.value_or(5)};
        reading.nextEvent = attempt.resumeAfter.value_or(0) + 1;
        reading.crashes = isCrashing(*attempt.request);
        if (reading.crashes) {
            ++result_.crashing.sent;
            result_.crashing.sentLate += settlesFrom_ && now_ - *settlesFrom_ > SettleTime ? 1 : 0;
        }
        if (attempt.fetchFrom)
            transfer(*engine, attempt, reading);
        for (const PromptPart &part : attempt.request->parts) {
            const bool isShared = part.id != attempt.request->id;
            if (isShared)
                reading.shared.push_back(part);
            if (isShared && engine->holds(part.id))
                continue;
            reading.tokensLeft += static_cast<double>(part.tokens);
            result_.tokensRead += part.tokens;
            result_.sharedRead += isShared ? part.tokens : 0;
            const bool elsewhere = isShared
                && std::any_of(engines_.begin(), engines_.end(),
                               [&](const Engine &each) { return !each.gone && each.holds(part.id); });
            result_.sharedReadAgain += elsewhere ? part.tokens : 0;
        }
        // Of equal urgency first come, first served; what is being read is not interrupted.
        auto place = engine->queue.end();
        while (place != engine->queue.begin() && std::prev(place) != engine->queue.begin()
               && std::prev(place)->urgency > reading.urgency)
            --place;
        engine->queue.insert(place, reading);
        for (const PromptPart &part : reading.shared)
            keep(*engine, part);
    }

    // Moves what the source holds of the prompt beyond the engine's own cache. Links carry one transfer at a
    // time.
    void transfer(Engine &engine, const SendAttempt &attempt, Reading &reading)
    {
        const auto source = std::find_if(engines_.begin(), engines_.end(), [&](const Engine &each) {
            return each.entry.address == *attempt.fetchFrom && !each.gone && !each.endedAt;
        });
        ++result_.fetches;
        for (const PromptPart &part : attempt.request->parts) {
            const bool isLocal = engine.holds(part.id);
            if (!isLocal && (source == engines_.end() || !source->holds(part.id)))
                break;
            reading.fetchedTokens += isLocal ? 0 : static_cast<double>(part.tokens);
            keep(engine, part);
        }
        if (reading.fetchedTokens == 0) {
            ++result_.fetchesInVain;
            return;
        }
        const double bytes = reading.fetchedTokens * plan_.transfers.kvBytes;
        result_.bytesMoved += bytes;
        const bool isNear = source->entry.failureDomain == engine.entry.failureDomain;
        const double ms = 3 + bytes * 8 / 1000 / plan_.transfers.linkMbps * (isNear ? 1 : 2);
        const bool isLate = random_.below(100) < plan_.transfers.latePercent;
        reading.fetchedFrom = source->entry.id;
        reading.readyAt = std::max({now_, source->linkFreeAt, engine.linkFreeAt})
            + DurationMs{static_cast<int64_t>(ms)} + (isLate ? plan_.transfers.lateBy : DurationMs{0});
        source->linkFreeAt = engine.linkFreeAt = reading.readyAt;
    }

    // Engines whose source ended prefill what it has not sent.
    void failTransfers(const EndpointId &source)
    {
        for (Engine &engine : engines_) {
            for (Reading &reading : engine.queue) {
                if (reading.fetchedFrom != source || reading.readyAt <= now_)
                    continue;
                reading.readyAt = now_;
                reading.tokensLeft += reading.fetchedTokens;
                ++result_.fetchesFailed;
                result_.tokensRead += static_cast<uint64_t>(reading.fetchedTokens);
                result_.sharedRead += static_cast<uint64_t>(reading.fetchedTokens);
            }
        }
    }

    void keep(Engine &engine, const PromptPart &part)
    {
        std::erase_if(engine.cache, [&](const PromptPart &each) { return each.id == part.id; });
        engine.cache.push_front(part);
        uint64_t sum = 0;
        for (auto each = engine.cache.begin(); each != engine.cache.end(); ++each) {
            sum += each->tokens;
            if (sum > plan_.engine.cacheTokens) {
                engine.cache.erase(each, engine.cache.end());
                break;
            }
        }
    }

    void forget(size_t daemon, AttemptId attempt)
    {
        const auto isIt = [&](const auto &each) { return each.daemon == daemon && each.attempt == attempt; };
        for (Engine &engine : engines_) {
            std::erase_if(engine.queue, isIt);
            std::erase_if(engine.streams, isIt);
        }
    }

    void run(Engine &engine)
    {
        double left = plan_.engine.tokensPerMs * static_cast<double>(Step.count);
        while (left > 0) {
            const auto next = std::find_if(engine.queue.begin(), engine.queue.end(),
                                           [this](const Reading &each) { return each.readyAt <= now_; });
            if (next == engine.queue.end())
                break;
            Reading &reading = *next;
            const double read = std::min(left, reading.tokensLeft);
            reading.tokensLeft -= read;
            left -= read;
            if (reading.tokensLeft > 0)
                break;
            const TimeMs first = now_ + DurationMs{static_cast<int64_t>(plan_.engine.baseMs)};
            const double lengthMs = plan_.engine.tokenMs * static_cast<double>(reading.outputTokens);
            const DurationMs before = EventPace * static_cast<int64_t>(reading.nextEvent - 1);
            const DurationMs length = std::max(DurationMs{static_cast<int64_t>(lengthMs)} - before, Step);
            if (reading.crashes)
                engine.crashesAt = std::min(now_ + CrashDelay, engine.crashesAt.value_or(now_ + CrashDelay));
            // One that ends the engine brings nothing before that.
            const TimeMs firstAt = reading.crashes ? now_ + plan_.length : first;
            engine.streams.push_back(
                {reading.daemon, reading.attempt, firstAt, firstAt + length, reading.nextEvent});
            engine.queue.erase(next);
        }
        stream(engine);
    }

    bool isSlowed(const Engine &engine) const
    {
        const UnevenEngines &uneven = *plan_.uneven;
        const DurationMs since = now_ - TimeMs{StartMs};
        return engine.index >= uneven.slowFirst && engine.index < uneven.slowFirst + uneven.slowCount
            && since >= uneven.slowFrom && since < uneven.slowUntil;
    }

    // How much longer than the model's a step of the engine takes that begins now.
    double stepFactor(Engine &engine)
    {
        const UnevenEngines &uneven = *plan_.uneven;
        double factor = 1 / uneven.speeds[engine.index % uneven.speeds.size()];
        if (isSlowed(engine))
            factor *= uneven.slowFactor;
        if (uneven.stallingEvery == 0 || engine.index % uneven.stallingEvery != 1)
            return factor;
        if (now_ >= engine.stallsAt + uneven.stallLength)
            engine.stallsAt = now_
                + DurationMs{static_cast<int64_t>(
                    stallRandom_.below(static_cast<uint64_t>(uneven.stallPause.count * 2)))};
        return now_ >= engine.stallsAt ? factor * uneven.stallFactor : factor;
    }

    // One step for the whole batch: a chunk of prefill, and one token of each stream.
    void runSteps(Engine &engine)
    {
        while (engine.stepEndsMs <= static_cast<double>(now_.count)) {
            if (engine.stepEndsMs > 0)
                endStep(engine);
            if (engine.queue.empty() && engine.streams.empty()) {
                engine.stepEndsMs = 0;
                return;
            }
            const double begin = std::max(engine.stepEndsMs, static_cast<double>(now_.count - Step.count));
            engine.stepTokens = 0;
            for (const Reading &reading : engine.queue)
                engine.stepTokens += reading.tokensLeft;
            engine.stepTokens = std::min(engine.stepTokens, static_cast<double>(plan_.uneven->chunkTokens));
            const double ms = plan_.engine.tokenMs + engine.stepTokens / plan_.engine.tokensPerMs;
            engine.stepEndsMs = begin + ms * stepFactor(engine);
        }
    }

    void endStep(Engine &engine)
    {
        double left = std::exchange(engine.stepTokens, 0);
        std::vector<Stream> due;
        for (Stream &each : engine.streams) {
            each.tokensLeft -= std::min<uint64_t>(each.tokensLeft, 1);
            each.endsAt = each.tokensLeft == 0 ? now_ : now_ + plan_.length;
            if (each.tokensLeft == 0 || each.tokensLeft % plan_.uneven->tokensPerEvent == 0)
                due.push_back(each);
        }
        while (!engine.queue.empty() && engine.queue.front().tokensLeft <= left) {
            const Reading &reading = engine.queue.front();
            left -= reading.tokensLeft;
            engine.streams.push_back({reading.daemon, reading.attempt, now_, now_ + plan_.length,
                                      reading.nextEvent, false, reading.outputTokens});
            due.push_back(engine.streams.back());
            engine.queue.pop_front();
        }
        if (!engine.queue.empty())
            engine.queue.front().tokensLeft -= left;
        for (const Stream &each : due)
            sendEvent(engine, each);
    }

    void stream(Engine &engine)
    {
        std::vector<Stream> due;
        for (Stream &each : engine.streams) {
            if (each.nextAt <= now_)
                due.push_back(each);
        }
        for (const Stream &each : due)
            sendEvent(engine, each);
    }

    void sendEvent(Engine &engine, const Stream &each)
    {
        Gateway &gateway = *daemons_[each.daemon];
        if (!each.hasHead) {
            AttemptHead head;
            head.attempt = each.attempt;
            head.status = 200;
            head.eventStream = true;
            if (engine.limit && random_.below(100) >= engine.limit->silentAnswers) {
                head.limit = RequestRate{engine.limit->perSecond};
                engine.told.try_emplace(each.daemon, now_);
            }
            gateway.onHead(head, now_);
        }
        gateway.onData({each.attempt, fmt::format("id: {}\ndata: x\n\n", each.nextEvent)}, now_);
        const auto isIt = [&](const Stream &other) {
            return other.daemon == each.daemon && other.attempt == each.attempt;
        };
        if (now_ >= each.endsAt) {
            std::erase_if(engine.streams, isIt);
            gateway.onEnd({each.attempt}, now_);
        } else {
            const auto stream = std::find_if(engine.streams.begin(), engine.streams.end(), isIt);
            if (stream != engine.streams.end()) {
                ++stream->nextEvent;
                stream->hasHead = true;
                stream->nextAt = std::min(now_ + EventPace, std::max(stream->endsAt, now_ + Step));
            }
        }
        takeActions(each.daemon);
    }

    void noteEvent(size_t daemon, CallerId caller)
    {
        const auto asked = requests_[daemon].find(caller);
        if (asked == requests_[daemon].end())
            return;
        if (asked->second.firstAt)
            asked->second.longestPause = std::max(asked->second.longestPause, now_ - asked->second.lastAt);
        asked->second.lastAt = now_;
        if (asked->second.firstAt)
            return;
        asked->second.firstAt = now_;
        result_.kinds[asked->second.kind->name].firstMs.push_back((now_ - asked->second.at).count);
    }

    void refuse(size_t daemon, const AnswerCaller &answer)
    {
        const bool mayComeBack = answer.status == 503 && !headerOf(answer.headers, "Retry-After").empty();
        if (crashingCallers_.contains({daemon, answer.caller})) {
            result_.crashing.refused += mayComeBack ? 1 : 0;
            return;
        }
        result_.refusedAsSuspects += answer.body.find("quarantined") == std::string::npos ? 0 : 1;
        const auto asked = requests_[daemon].find(answer.caller);
        if (asked == requests_[daemon].end())
            return;
        if (answer.status == 502 && comesAgain(asked->second)) {
            requests_[daemon].erase(asked);
            return;
        }
        if (answer.status == 429)
            count(asked->second, [](KindResult &result) { ++result.overLimit; });
        if (!returnsLater(asked->second, answer)) {
            const int64_t afterMs = (now_ - asked->second.at).count;
            const uint64_t again = asked->second.hasReturned ? 1 : 0;
            count(asked->second, [&](KindResult &result) {
                ++result.refused;
                result.refusedAgain += again;
                result.longestRefusalMs = std::max(result.longestRefusalMs, afterMs);
            });
        }
        requests_[daemon].erase(asked);
    }

    void finish(size_t daemon, const EndCallerStream &end)
    {
        const auto asked = requests_[daemon].find(end.caller);
        if (asked == requests_[daemon].end())
            return;
        if (!end.complete && comesAgain(asked->second)) {
            requests_[daemon].erase(asked);
            return;
        }
        const bool isFirstLate = !asked->second.firstAt
            || *asked->second.firstAt - asked->second.at > asked->second.kind->target;
        const bool isPauseLong = plan_.gapTarget.count > 0 && asked->second.longestPause > plan_.gapTarget;
        count(asked->second, [&](KindResult &result) {
            if (!end.complete) {
                ++result.broken;
            } else if (isFirstLate || isPauseLong) {
                ++result.late;
                ++(!isPauseLong ? result.lateFirst : isFirstLate ? result.lateBoth : result.latePause);
            } else {
                ++result.inTime;
            }
        });
        requests_[daemon].erase(asked);
    }

    const LoadPlan plan_;
    FakeStore store_{1};
    Random random_;
    Random stallRandom_{7}; ///< So that callers ask the same whatever the engines do.
    RecordingLog log_;
    TimeMs now_{StartMs};
    std::shared_ptr<ServingConfiguration> configuration_;
    std::vector<Engine> engines_;
    std::vector<std::unique_ptr<Gateway>> daemons_;
    std::vector<MemberEntry> members_;
    std::vector<std::map<CallerId, Asked>> requests_;
    const size_t sources_ = std::max<size_t>(plan_.organisations.size(), 1);
    std::vector<TimeMs> nextArrival_; ///< By kind, then by source.
    std::multimap<TimeMs, Asked> returns_;
    TimeMs nextCrashing_;
    std::set<std::pair<size_t, CallerId>> crashingCallers_;
    std::optional<TimeMs> settlesFrom_;
    std::vector<Unsent> unsent_;
    std::vector<Asked> repeats_;
    std::vector<std::pair<size_t, ProbeEngine>> probes_;
    std::vector<std::pair<size_t, EndpointId>> pathProbes_;
    std::vector<Word> words_; ///< Between daemons, under way.
    bool added_ = false;
    uint64_t callers_ = 0;
    LoadResult result_;
};

} // namespace

int64_t KindResult::firstAt(double quantile) const
{
    if (firstMs.empty())
        return 0;
    const size_t at = static_cast<size_t>(quantile * static_cast<double>(firstMs.size()));
    return firstMs[std::min(at, firstMs.size() - 1)];
}

KindResult LoadResult::total() const
{
    KindResult sum;
    for (const std::pair<const std::string, KindResult> &entry : kinds) {
        sum.asked += entry.second.asked;
        sum.inTime += entry.second.inTime;
        sum.late += entry.second.late;
        sum.lateFirst += entry.second.lateFirst;
        sum.latePause += entry.second.latePause;
        sum.lateBoth += entry.second.lateBoth;
        sum.refused += entry.second.refused;
        sum.broken += entry.second.broken;
    }
    return sum;
}

std::string LoadResult::text() const
{
    std::string out = fmt::format("tokens read {}, of shared parts {}, again {}\n", tokensRead, sharedRead,
                                  sharedReadAgain);
    out += fmt::format("fetches {}, in vain {}, failed {}, GB moved {:.1f}\n", fetches, fetchesInVain,
                       fetchesFailed, bytesMoved / 1e9);
    out += fmt::format("crashing: asked {} sent {} late {} engines ended {} refused {} sound parts {}; "
                       "others taken for it {}, "
                       "most at one end {}\n",
                       crashing.asked, crashing.sent, crashing.sentLate, crashing.enginesEnded,
                       crashing.refused, crashing.soundParts, refusedAsSuspects, mostAtAnEnd);
    out += fmt::format("limited: got {} of {}, most in a window {}, beyond {}\n", limited.got,
                       limited.expected, limited.most, limited.beyond);
    out += fmt::format("ejections {}\n", ejections);
    for (const std::pair<const size_t, uint64_t> &sent : sentWhileSlow)
        out += fmt::format("engine {} got {} while slow\n", sent.first, sent.second);
    for (const std::pair<const std::string, KindResult> &entry : kinds) {
        const KindResult &kind = entry.second;
        out += fmt::format("{}: asked {} in time {} late {} (first {} pause {} both {}) refused {} broken {} "
                           "first ms p50 {} p99 {}\n",
                           entry.first, kind.asked, kind.inTime, kind.late, kind.lateFirst, kind.latePause,
                           kind.lateBoth, kind.refused, kind.broken, kind.firstAt(0.5), kind.firstAt(0.99));
    }
    for (const std::pair<const std::string, KindResult> &entry : organisations) {
        const KindResult &each = entry.second;
        out += fmt::format(
            "organisation {}: asked {} in time {} late {} refused {} broken {}; over limit {}, "
            "returned {}, refused again {}, longest refusal ms {}\n",
            entry.first, each.asked, each.inTime, each.late, each.refused, each.broken, each.overLimit,
            each.returned, each.refusedAgain, each.longestRefusalMs);
    }
    return out;
}

LoadResult playLoad(const LoadPlan &plan)
{
    return Load(plan).play();
}

} // namespace cranberry
