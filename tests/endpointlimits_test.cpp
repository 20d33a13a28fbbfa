// Endpoints that state in their answers how many requests per second they take from all daemons together.
#include "engineload.h"

#include "gateway/peers/peerdatagrams.h"

#include <algorithm>

using namespace cranberry;

namespace {

constexpr Incarnation Self{7};
const EndpointIncarnation engine{EndpointId{"m1"}, {}};
const Address otherDaemon{"10.0.0.2", 2};
const Address thirdDaemon{"10.0.0.2", 3};

/// Nine engines with a load of three requests a second each, sent through `daemons` daemons; `limited`
/// engines state a limit.
LoadPlan limitedPlan(size_t daemons, size_t limited, double perSecond, uint64_t seed)
{
    LoadPlan plan;
    plan.kinds = {{"review", 9.86, 13'300, 65, 3720, 120, {1200}, {12000}, 0, true},
                  {"check", 7.98, 6300, 79, 2890, 52, {2000}, {6000}, 1, false},
                  {"draft", 11.1, 350, 111, 1110, 172, {2500}, {12000}, 2, true}};
    plan.engines = 9;
    plan.daemons = daemons;
    plan.allServe = true;
    plan.limits = {{0, limited, {5000}, {25000}, perSecond}};
    plan.seed = seed;
    return plan;
}

/// A limiter with a stated limit, in virtual time.
class LimiterFixture
{
public:
    /// Advances the time; returns the number of requests that the coordinator granted to other daemons.
    uint32_t pass(DurationMs duration)
    {
        uint32_t granted = 0;
        const TimeMs until = now + duration;
        while (now < until) {
            now = now + DurationMs{25};
            limiter.setCoordinator(coordinates, now);
            for (const EndpointLimiter::Grant &share : limiter.grantShares(engine, Self, now)) {
                granted += share.grant.requests;
                shares.push_back(share);
            }
        }
        return granted;
    }
    void stateLimit(double perSecond) { limiter.stated.updateFromAnswer(RequestRate{perSecond}, now, now); }

    EndpointLimiter limiter;
    TimeMs now{100'000};
    bool coordinates = true;
    std::vector<EndpointLimiter::Grant> shares;
};

/// A single daemon with limits on its two plain endpoints.
class LimitedGatewayFixture : public GatewayFixture
{
public:
    LimitedGatewayFixture()
    {
        MemberEntry self;
        self.instance.value = "entry-1";
        members = {self};
        gateway.onMembers(members, now);
    }

    /// Answers the attempt in place of its endpoint, with or without a limit.
    void answer(const SendAttempt &attempt, std::optional<RequestRate> limit, int status = 200)
    {
        AttemptHead answered;
        answered.attempt = attempt.attempt;
        answered.status = status;
        answered.limit = limit;
        answered.wrongInstance = status == 421;
        answered.notExecuted = status == 429;
        gateway.onHead(answered, now);
        gateway.onEnd({attempt.attempt}, now);
        drainActions();
    }

    /// Makes both plain endpoints state a limit.
    void limitPlain(double perSecond)
    {
        request("/lookup/1");
        request("/lookup/2");
        REQUIRE(sent.size() == 2);
        REQUIRE(sent[0].endpoint != sent[1].endpoint);
        answer(sent[0], RequestRate{perSecond});
        answer(sent[1], RequestRate{perSecond});
        sent.clear();
    }

    CallerId lookUp(DurationMs deadline)
    {
        CallerRequest lookup = makeRequest("/lookup/3");
        lookup.deadline = deadline;
        return request(lookup);
    }

    std::vector<MemberEntry> members;
};

} // namespace

// ---- Load on many daemons ----

// Guards against exceeding the limit of an overloaded engine because daemons ignore it.
TEST_CASE("engines that state a limit get no more than that from all daemons together")
{
    for (const size_t daemons : {size_t{1}, size_t{2}, size_t{6}, size_t{19}}) {
        for (const uint64_t seed : {1U, 2U, 3U}) {
            const LoadResult result = playLoad(limitedPlan(daemons, 2, 1, seed));
            INFO("daemons " << daemons << " seed " << seed << "\n" << result.text());
            CHECK(result.limited.beyond == 0);
        }
    }
}

// Guards against overloading the other engines with the load that limited engines don't take.
TEST_CASE("callers are served as before when two engines of nine state a limit")
{
    for (const uint64_t seed : {1U, 2U, 3U}) {
        const LoadResult result = playLoad(limitedPlan(6, 2, 1, seed));
        INFO("seed " << seed << "\n" << result.text());
        CHECK(result.total().inTimeShare() > 0.98);
        CHECK(result.total().refused == 0);
    }
}

// Guards against keeping limits by leaving endpoints unused, because each daemon's share is too small.
TEST_CASE("where all engines state limits, their rate is used with any number of daemons")
{
    for (const size_t daemons : {size_t{1}, size_t{6}, size_t{19}, size_t{71}}) {
        const LoadResult result = playLoad(limitedPlan(daemons, 9, 2, 1));
        INFO("daemons " << daemons << "\n" << result.text());
        CHECK(result.limited.beyond == 0);
        CHECK(static_cast<double>(result.limited.got) > 0.8 * result.limited.expected);
    }
}

// Guards against lost datagrams that let an endpoint get too many requests, or none.
TEST_CASE("a limit holds while a third of the datagrams between daemons is lost")
{
    for (const uint64_t seed : {1U, 2U, 3U}) {
        LoadPlan plan = limitedPlan(6, 9, 2, seed);
        plan.lostNotices = 33;
        const LoadResult result = playLoad(plan);
        INFO("seed " << seed << "\n" << result.text());
        CHECK(result.limited.beyond == 0);
        CHECK(static_cast<double>(result.limited.got) > 0.6 * result.limited.expected);
    }
}

// ---- A single limiter ----

// Guards against a coordinator that grants more than the endpoint's rate plus the small burst that it may
// save up.
TEST_CASE_FIXTURE(LimiterFixture, "a coordinator grants the rate and no more")
{
    stateLimit(2);
    uint32_t granted = 0;
    for (uint64_t number = 1; number <= 100; ++number) {
        limiter.onShareRequest(otherDaemon, {engine, number, 50}, now);
        granted += pass({100});
    }
    CHECK(granted >= 18);
    CHECK(granted <= 22);
}

// Guards against one daemon that gets all grants while the others' callers are refused.
TEST_CASE_FIXTURE(LimiterFixture, "waiting daemons are served in turn, the coordinator among them")
{
    stateLimit(2);
    for (uint64_t number = 1; number <= 60; ++number) {
        limiter.onShareRequest(otherDaemon, {engine, number, 50}, now);
        limiter.onShareRequest(thirdDaemon, {engine, number, 1}, now);
        limiter.setQueuedRequests(50);
        pass({100});
        if (limiter.maySend(now))
            limiter.sent(now);
    }
    std::map<Address, uint32_t> granted;
    for (const EndpointLimiter::Grant &share : shares)
        granted[share.to] += share.grant.requests;
    CHECK(granted[otherDaemon] >= 3);
    CHECK(granted[otherDaemon] <= 5);
    CHECK(granted[thirdDaemon] >= 3);
}

// Guards against two daemons that both grant the full rate while the coordinator changes.
TEST_CASE_FIXTURE(LimiterFixture, "a new coordinator waits until all earlier grants have expired")
{
    coordinates = false;
    stateLimit(5);
    pass({5000});
    coordinates = true;
    limiter.onShareRequest(otherDaemon, {engine, 1, 50}, now);
    pass({25});
    CHECK_FALSE(limiter.maySend(now));
    uint32_t granted = 0;
    for (uint64_t number = 1; number <= 19; ++number) {
        limiter.onShareRequest(otherDaemon, {engine, number, 50}, now);
        granted += pass({100});
    }
    CHECK(granted == 0);
    for (uint64_t number = 20; number <= 30; ++number) {
        limiter.onShareRequest(otherDaemon, {engine, number, 50}, now);
        granted += pass({100});
    }
    CHECK(granted > 0);
}

// Guards against a daemon that was paused, is no longer the coordinator, and still uses its saved grants.
TEST_CASE_FIXTURE(LimiterFixture, "a coordinator that was paused starts anew")
{
    stateLimit(5);
    pass({3000});
    REQUIRE(limiter.maySend(now));
    now = now + DurationMs{4000};
    pass({25});
    CHECK_FALSE(limiter.maySend(now));
}

// Guards against grants that are used twice, or long after the coordinator has granted the next ones.
TEST_CASE_FIXTURE(LimiterFixture, "a grant is used once, and in time")
{
    coordinates = false;
    stateLimit(1);
    pass({25});
    CHECK_FALSE(limiter.maySend(now));
    limiter.setQueuedRequests(3);
    const std::optional<LimitShareRequest> ask = limiter.dueShareRequest(engine, now);
    REQUIRE(ask);
    CHECK(ask->waiting == 3);
    CHECK_FALSE(limiter.dueShareRequest(engine, now));
    const LimitShareGrant grant{engine, {9}, ask->number, 1, 1, 4};
    limiter.applyGrant(grant, now);
    limiter.applyGrant(grant, now);
    CHECK(limiter.waiting(now) == 4);
    REQUIRE(limiter.maySend(now));
    limiter.sent(now);
    CHECK_FALSE(limiter.maySend(now));
    limiter.applyGrant({engine, {9}, ask->number, 2, 1, 4}, now);
    now = now + DurationMs{600};
    CHECK_FALSE(limiter.maySend(now));
    limiter.applyGrant({engine, {9}, ask->number, 3, 1, 4}, now);
    CHECK_FALSE(limiter.maySend(now));
}

// Guards against an older answer that lifts a limit and brings back the load of all daemons at once.
TEST_CASE_FIXTURE(LimiterFixture,
                  "only an answer to a request that was sent after a limit was stated lifts it")
{
    const TimeMs before = now;
    now = now + DurationMs{100};
    stateLimit(1);
    CHECK_FALSE(limiter.stated.updateFromAnswer(std::nullopt, before, now + DurationMs{50}));
    CHECK(limiter.stated.limit());
    for (int i = 0; i < 4; ++i)
        CHECK(limiter.stated.updateFromAnswer(std::nullopt, now + DurationMs{10}, now + DurationMs{50}));
    CHECK_FALSE(limiter.stated.limit());
    // What another daemon learned before that does not restore the limit.
    CHECK_FALSE(
        limiter.stated.updateFromPeer({engine, RequestRate{1}, 0, {80}, {500}}, now + DurationMs{60}));
    CHECK(limiter.stated.updateFromPeer({engine, RequestRate{2}, 0, {1}, {1}}, now + DurationMs{60}));
    CHECK(limiter.stated.limit() == RequestRate{2});
}

// Guards against answers that omit the limit by chance and bring back the load of all daemons at once.
TEST_CASE_FIXTURE(LimiterFixture,
                  "a limit is lifted step by step, and the next answer that states it restores it")
{
    stateLimit(1);
    for (const double perSecond : {2.0, 4.0, 8.0}) {
        now = now + DurationMs{500};
        limiter.stated.updateFromAnswer(std::nullopt, now, now);
        CHECK(limiter.stated.perSecond() == perSecond);
    }
    stateLimit(1);
    CHECK(limiter.stated.perSecond() == 1);
    EndpointLimiter other;
    now = now + DurationMs{500};
    limiter.stated.updateFromAnswer(std::nullopt, now, now);
    now = now + DurationMs{1};
    CHECK(other.stated.updateFromPeer(limiter.stated.toUpdate(engine, now), now));
    CHECK(other.stated.perSecond() == 2);
}

// Guards against kinds of answers, for instance failures, that never state the limit.
TEST_CASE("a limit holds though one answer in seven does not state it")
{
    for (const uint64_t seed : {1U, 2U, 3U}) {
        LoadPlan plan = limitedPlan(6, 9, 1, seed);
        plan.limits[0].silentAnswers = 14;
        const LoadResult result = playLoad(plan);
        INFO("seed " << seed << "\n" << result.text());
        CHECK(result.limited.beyond == 0);
    }
}

// Guards against an endpoint with a zero limit that never gets a request, and so can never state that it has
// recovered.
TEST_CASE_FIXTURE(LimiterFixture, "an endpoint with a zero limit still gets an occasional request")
{
    stateLimit(0);
    uint32_t tries = 0;
    for (int i = 0; i < 200; ++i) {
        pass({100});
        if (limiter.maySend(now)) {
            limiter.sent(now);
            ++tries;
        }
    }
    CHECK(tries >= 3);
    CHECK(tries <= 4);
}

// Guards against a daemon that lost the first updates on a limit and exceeds it.
TEST_CASE_FIXTURE(LimiterFixture, "peers are notified of a limit at once, again, and reminded")
{
    stateLimit(1);
    std::vector<int64_t> toldAfter;
    const TimeMs start = now;
    while (now < start + DurationMs{12500}) {
        if (limiter.stated.isUpdateDue(limiter.isCoordinator(), now))
            toldAfter.push_back((now - start).count);
        pass({25});
    }
    CHECK(toldAfter == std::vector<int64_t>{0, 300, 600, 5600, 10600});
}

// Guards against daemons that disagree on the coordinator of an endpoint, and one that coordinates all of
// them.
TEST_CASE("all daemons choose the same coordinator, and coordinators are evenly distributed")
{
    std::vector<MemberEntry> members(18);
    std::vector<const MemberEntry *> forward;
    for (size_t i = 0; i < members.size(); ++i) {
        members[i].incarnation.value = 1000 + i;
        forward.push_back(&members[i]);
    }
    const std::vector<const MemberEntry *> backward(forward.rbegin(), forward.rend());
    std::map<Incarnation, int> load;
    for (int i = 0; i < 240; ++i) {
        const EndpointIncarnation endpoint{EndpointId{"i-" + std::to_string(i)}, {}};
        const MemberEntry *coordinator = coordinatorOf(endpoint, forward);
        REQUIRE(coordinator);
        CHECK(coordinator == coordinatorOf(endpoint, backward));
        ++load[coordinator->incarnation];
    }
    for (const std::pair<const Incarnation, int> &each : load)
        CHECK(each.second < 30);
    CHECK(coordinatorOf(engine, {}) == nullptr);
}

// ---- A single daemon ----

// Guards against callers that wait until their deadline for endpoints that can't take them in time.
TEST_CASE_FIXTURE(LimitedGatewayFixture,
                  "what limited endpoints can't take before its deadline is refused at once")
{
    limitPlain(1);
    pass({1000});
    size_t refused = 0;
    std::vector<CallerId> callers;
    callers.reserve(12);
    for (int i = 0; i < 12; ++i)
        callers.push_back(lookUp({1500}));
    pass({25});
    for (const CallerId caller : callers) {
        if (statusOf(caller) == 0)
            continue;
        ++refused;
        CHECK(statusOf(caller) == 503);
        CHECK(answers[caller].body.find("endpoints_limited") != std::string::npos);
        CHECK_FALSE(headerOfAnswer(caller, "Retry-After").empty());
    }
    CHECK(refused >= 6);
    CHECK(refused < 12);
    // The others are sent before their deadlines.
    pass({1475});
    CHECK(sent.size() + refused == 12);
}

// Guards against a limit that is never lifted: answers without a limit end it.
TEST_CASE_FIXTURE(LimitedGatewayFixture, "answers without a limit lift it")
{
    limitPlain(1);
    pass({2000});
    for (int round = 0; round < 4; ++round) {
        lookUp({1500});
        lookUp({1500});
        pass({500});
        REQUIRE(sent.size() == 2);
        answer(sent[0], std::nullopt);
        answer(sent[1], std::nullopt);
        sent.clear();
    }
    for (int i = 0; i < 4; ++i)
        lookUp({1500});
    CHECK(sent.size() == 4);
}

// Guards against exceeding the limit of an endpoint that is full: it rejects requests before it looks at its
// limit.
TEST_CASE_FIXTURE(LimitedGatewayFixture, "rejections without a limit do not lift it")
{
    limitPlain(3);
    std::vector<const FleetEndpoint *> limited;
    for (const std::pair<const EndpointId, FleetEndpoint> &each : gateway.fleet().all()) {
        if (each.second.limiter.stated.limit())
            limited.push_back(&each.second);
    }
    REQUIRE(limited.size() == 2);
    size_t rejections = 0;
    for (int round = 0; round < 8; ++round) {
        pass({2000});
        lookUp({1500});
        for (const SendAttempt &attempt : std::exchange(sent, {})) {
            answer(attempt, std::nullopt, 429);
            ++rejections;
        }
    }
    CHECK(rejections >= 8);
    for (const FleetEndpoint *endpoint : limited)
        CHECK(endpoint->limiter.stated.perSecond() == 3);
}

// Guards against the limit of another endpoint that has taken over the address.
TEST_CASE_FIXTURE(LimitedGatewayFixture, "an answer of another instance does not set this one's limit")
{
    request("/lookup/1");
    answer(sent[0], RequestRate{1}, 421);
    CHECK_FALSE(gateway.fleet().find(sent[0].endpoint)->limiter.stated.limit());
}

// Guards against a limit that outlives its process.
TEST_CASE_FIXTURE(LimitedGatewayFixture, "an endpoint that restarts under its name has no limit")
{
    limitPlain(1);
    for (EndpointEntry &entry : endpoints)
        entry.start.unixMs = 5;
    listEndpoints();
    for (int i = 0; i < 4; ++i)
        lookUp({1500});
    CHECK(sent.size() == 4);
}

// Guards against retries that bypass the limit.
TEST_CASE_FIXTURE(LimitedGatewayFixture, "a retry goes to no limited endpoint without a grant")
{
    request("/lookup/1");
    request("/lookup/2");
    REQUIRE(sent.size() == 2);
    answer(sent[0], RequestRate{0.5});
    broken(sent[1].attempt);
    CHECK(sent.size() == 2);
}

// Guards against generations that migrate from a reclaimed engine to a limited one without a grant.
TEST_CASE_FIXTURE(LimitedGatewayFixture,
                  "a generation migrates to a limited engine only with a grant, counted once")
{
    configuration->services[0].engine->migratesGenerations = true;
    for (int i = 0; i < 12; ++i) {
        CallerRequest draft = makeRequest("/draft/1");
        draft.outputTokens = 300;
        request(draft);
    }
    for (const SendAttempt &attempt : std::vector<SendAttempt>(sent)) {
        AttemptHead begun;
        begun.attempt = attempt.attempt;
        begun.status = 200;
        begun.eventStream = true;
        if (attempt.endpoint.value != "m1")
            begun.limit = RequestRate{0.5};
        gateway.onHead(begun, now);
        events(attempt.attempt, 1, 3);
    }
    const auto atFirst = std::count_if(
        sent.begin(), sent.end(), [](const SendAttempt &attempt) { return attempt.endpoint.value == "m1"; });
    REQUIRE(atFirst > 3);
    // Time for each of the two to save up one grant, while the streams continue.
    for (uint64_t event = 4; event <= 6; ++event) {
        pass({600});
        for (const SendAttempt &attempt : std::vector<SendAttempt>(sent))
            events(attempt.attempt, event, event);
    }
    pass({600});
    for (EndpointEntry &entry : endpoints) {
        if (entry.id.value != "m1")
            continue;
        entry.leaving = true;
        entry.leavesAfter = DurationMs{1500};
    }
    listEndpoints();
    pass({25});
    REQUIRE(moves.size() == 2);
    const size_t before = sent.size();
    for (const MigrateGeneration &copy : std::vector<MigrateGeneration>(moves)) {
        replyTo(copy, MigrationOutcome::Migrated, "h1");
        CHECK(moves.back().step == MigrationStep::Stop);
        CHECK(moves.back().attempt == copy.attempt);
        broken(copy.attempt);
        replyToMove(MigrationOutcome::Migrated, "h1");
    }
    CHECK(sent.size() == before + 2);
    pass({500});
    CHECK(std::count_if(moves.begin(), moves.end(),
                        [](const MigrateGeneration &move) { return move.step == MigrationStep::Copy; })
          == 2);
}

// Guards against limit messages that are altered by the encoding, or that crash the process.
TEST_CASE("limit messages are encoded and decoded, and malformed ones are rejected")
{
    const LimitNotice notice{
        {{engine, RequestRate{1.1}, 2, {250}, {900}}, {engine, std::nullopt, 0, {0}, {0}}}};
    const std::optional<PeerDatagram> read = decodeDatagram(encodeDatagram(notice));
    REQUIRE(read);
    const LimitNotice *decoded = std::get_if<LimitNotice>(&*read);
    REQUIRE(decoded);
    REQUIRE(decoded->updates.size() == 2);
    CHECK(decoded->updates[0].endpoint == engine);
    CHECK(decoded->updates[0].limit == RequestRate{1.1});
    CHECK(decoded->updates[0].responsesWithoutLimit == 2);
    CHECK(decoded->updates[0].age == DurationMs{250});
    CHECK(decoded->updates[0].knownFor == DurationMs{900});
    CHECK_FALSE(decoded->updates[1].limit);
    const std::optional<PeerDatagram> ask = decodeDatagram(encodeDatagram(LimitShareRequest{engine, 4, 2}));
    REQUIRE((ask && std::get_if<LimitShareRequest>(&*ask)));
    CHECK(std::get_if<LimitShareRequest>(&*ask)->waiting == 2);
    const std::optional<PeerDatagram> grant
        = decodeDatagram(encodeDatagram(LimitShareGrant{engine, {9}, 4, 11, 1, 3}));
    REQUIRE((grant && std::get_if<LimitShareGrant>(&*grant)));
    CHECK(std::get_if<LimitShareGrant>(&*grant)->number == 11);
    for (
        const char *bad :
        {R"({"kind":"limits"})", R"({"kind":"limits","words":[["i"]]})",
         R"({"kind":"limits","words":[["i",0,"x",0,0,0]]})", R"({"kind":"limitAsk","endpoint":"i"})",
         R"({"kind":"limitGrant","endpoint":"i","start":0,"id":1,"ask":1,"number":1,"requests":-1,"waiting":0})"})
        CHECK_FALSE(decodeDatagram(bad));
}
