// Requests that end each engine that begins to run them, and requests that only were there.
//
// Users saw engines stop answering one after the other, dozens in a quarter of a minute, and requests of all
// kinds on them cut. One request of one caller was among those open at each engine when it ended, 35 to 110
// ms after it had begun to run there. Each daemon repeated it at once at a second engine, and each time the
// caller came back, to any daemon, nothing was known of the engines it had ended.

#include "engineload.h"

#include <array>
#include <utility>

using namespace cranberry;

namespace {

constexpr const char *Review = "/review/1";
constexpr DurationMs RestartTime{3500};

/// Engines that end with what they have, and come back under other names.
class CrashFixture : public GatewayFixture
{
public:
    CrashFixture()
    {
        for (uint16_t i = 4; i <= 6; ++i) {
            EndpointEntry entry = endpoints[0];
            entry.id.value = "m" + std::to_string(i);
            entry.address.port = static_cast<uint16_t>(10 + i);
            endpoints.push_back(entry);
        }
        listEndpoints();
    }

    /// The same caller and body each time, under another id.
    CallerId askAgain()
    {
        CallerRequest again = makeRequest(Review);
        again.body = "one and the same";
        return request(again);
    }

    RequestDigest digestOfFirst() const
    {
        return digestOf({"a"}, sent.front().request->path, sent.front().request->body);
    }

    /// The engine of the newest attempt ends, and another one takes its place.
    void crash()
    {
        const SendAttempt attempt = lastSent();
        broken(attempt.attempt);
        endpointEnded(attempt.endpoint);
        for (EndpointEntry &entry : endpoints) {
            if (entry.id == attempt.endpoint)
                entry.id.value += "x";
        }
    }
};

std::vector<LoadKind> kinds()
{
    return {{"plan", 8, 5400, 88, 6600, 380, {1000}, {15000}, 1, true},
            {"chat", 25, 200, 130, 630, 290, {500}, {15000}, 0, true}};
}

/// Nine engines that carry the load with ease, six daemons.
LoadPlan crashPlan(uint64_t seed)
{
    LoadPlan plan;
    plan.kinds = kinds();
    plan.engines = 9;
    plan.daemons = 6;
    plan.seed = seed;
    return plan;
}

} // namespace

TEST_CASE_FIXTURE(CrashFixture, "a request that ended three engines is sent to none any more")
{
    // The caller's first try ends two engines, its second one a third. Then each further engine is one that
    // others lose their answers at: the caller is told at once that the request was not run.
    askAgain();
    crash();
    REQUIRE(sent.size() == 2);
    crash();
    pass({500});
    askAgain();
    REQUIRE(sent.size() == 3);
    crash();
    pass(RestartTime);
    const size_t before = sent.size();
    const CallerId again = askAgain();
    CHECK(sent.size() == before);
    CHECK(statusOf(again) == 503);
    CHECK_FALSE(headerOfAnswer(again, "Retry-After").empty());
}

TEST_CASE("engines that one request ends are few, whichever daemon it comes to")
{
    // Four times a second the request comes to one of six daemons. Sent on each time, it ended 68 engines of
    // others' requests in a minute; three and what was under way at the third are not to be helped.
    for (const uint64_t seed : {1U, 2U, 3U}) {
        LoadPlan plan = crashPlan(seed);
        plan.crashing = CrashingRequest{};
        const LoadResult result = playLoad(plan);
        INFO("seed " << seed << "\n" << result.text());
        CHECK(result.crashing.sentLate <= 3);
        CHECK(result.crashing.enginesEnded <= 6);
        CHECK(result.crashing.refused > result.crashing.asked / 2);
        CHECK(static_cast<double>(result.refusedAsSuspects)
              < 0.005 * static_cast<double>(result.total().asked));
    }
}

TEST_CASE("many tries at once, and datagrams that are lost, end few engines more")
{
    // The request comes to all daemons in the same moment, again while the first tries still run, and half of
    // what daemons tell each other is lost. What runs at the verdict is not to be helped; later tries are.
    for (const uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
        LoadPlan plan = crashPlan(seed);
        plan.crashing = CrashingRequest{};
        plan.crashing->atOnce = 6;
        plan.lostNotices = 50;
        plan.callersRepeat = true;
        const LoadResult result = playLoad(plan);
        INFO("seed " << seed << "\n" << result.text());
        CHECK(result.crashing.sentLate <= 3);
        CHECK(result.crashing.enginesEnded <= plan.engines);
        CHECK(static_cast<double>(result.refusedAsSuspects)
              < 0.005 * static_cast<double>(result.total().asked));
    }
}

TEST_CASE("requests on engines that end by themselves are served")
{
    // A rack loses three engines with some 60 requests each, a second rack follows a second later, and a
    // third one after that: all nine engines, each back after 0.9 s. The callers whose streams broke come
    // again. None of their requests ended an engine; none may be taken for one that did.
    for (const uint64_t seed : {1U, 2U, 3U}) {
        LoadPlan plan = crashPlan(seed);
        plan.kinds = {{"chat", 300, 200, 130, 630, 290, {500}, {15000}, 0, true}};
        plan.length = {14000};
        plan.restartTime = {900};
        plan.ends = {{0, 3, {8000}}, {3, 3, {9000}}, {6, 3, {10000}}};
        plan.callersRepeat = true;
        const LoadResult result = playLoad(plan);
        INFO("seed " << seed << "\n" << result.text());
        CHECK(result.mostAtAnEnd >= 60);
        CHECK(result.refusedAsSuspects == 0);
    }
}

TEST_CASE("one engine that ends by itself costs none of its callers the answer")
{
    // One of nine engines ends with some fifty requests; the others have room. The streams go on elsewhere.
    for (const uint64_t seed : {1U, 2U, 3U}) {
        LoadPlan plan = crashPlan(seed);
        plan.kinds = {{"chat", 200, 200, 130, 630, 290, {500}, {15000}, 0, true}};
        plan.length = {14000};
        plan.ends = {{0, 1, {8000}}};
        plan.callersRepeat = true;
        const LoadResult result = playLoad(plan);
        INFO("seed " << seed << "\n" << result.text());
        CHECK(result.mostAtAnEnd >= 40);
        CHECK(result.refusedAsSuspects == 0);
        CHECK(result.total().broken == 0);
        CHECK(result.total().refused == 0);
    }
}

TEST_CASE_FIXTURE(CrashFixture, "what must not be repeated is kept from further endpoints as well")
{
    // A call that may run once only ends a plain endpoint: its caller can't know whether it ran, and gets 502
    // at once. It comes again and ends two more. The fourth try is not sent: 503 says so truly.
    const auto order = [this] {
        CallerRequest again = makeRequest("/order/1");
        again.body = "one and the same";
        return request(again);
    };
    for (int end = 0; end < 3; ++end) {
        const CallerId caller = order();
        crash();
        CHECK(statusOf(caller) == 502);
        pass(RestartTime);
    }
    const size_t before = sent.size();
    const CallerId again = order();
    CHECK(sent.size() == before);
    CHECK(statusOf(again) == 503);
    // The third try, when its endpoint had ended, and the fourth.
    CHECK(gateway.counters().of(GatewayRefusal::Quarantined) == 2);
}

TEST_CASE_FIXTURE(CrashFixture, "tries that wait at engines when the verdict falls are taken back")
{
    // The request waits at two more engines while a third one ends under it. Both are still free of it: the
    // tries are cancelled there, and their callers know at once that the outcome is not certain.
    std::array<CallerId, 4> callers;
    for (CallerId &caller : callers)
        caller = askAgain();
    gateway.onCrashNotice({{{digestOfFirst(), {EndpointId{"x1"}, {}}, false},
                            {digestOfFirst(), {EndpointId{"x2"}, {}}, false},
                            {digestOfFirst(), {EndpointId{"x3"}, {}}, false}},
                           {},
                           {}},
                          now);
    drainActions();
    CHECK(cancelled.size() == 4);
    for (const CallerId caller : callers) {
        CHECK(statusOf(caller) == 502);
        CHECK_FALSE(headerOfAnswer(caller, "Retry-After").empty());
    }
}

TEST_CASE_FIXTURE(CrashFixture,
                  "a stream that is resumed, or moved, does not carry its request to another engine")
{
    // A stream runs when its request is put in quarantine by what other daemons saw. Its engine is to leave:
    // the stream is not moved. Its engine ends: it is not resumed, and the caller's own try to resume is
    // refused.
    configuration->services[0].engine->movesRuns = true;
    const CallerId caller = askAgain();
    const SendAttempt first = lastSent();
    head(first.attempt, 200, true);
    events(first.attempt, 1, 3);
    const QuarantinedRequest listed{digestOfFirst(), (now + DurationMs{60000}).count};
    gateway.onQuarantine({listed}, VerdictSource::Store, now);
    drainActions();
    CHECK_FALSE(streamEnds.contains(caller));
    for (EndpointEntry &entry : endpoints) {
        if (entry.id == first.endpoint) {
            entry.leaving = true;
            entry.leavesAfter = DurationMs{1000};
        }
    }
    listEndpoints();
    pass({500});
    CHECK(moves.empty());
    broken(first.attempt);
    CHECK(sent.size() == 1);
    CHECK(streamEnds.contains(caller));
    CallerRequest resumed = makeRequest(Review);
    resumed.body = "one and the same";
    resumed.resumeAfter = 3;
    const CallerId again = request(resumed);
    CHECK(sent.size() == 1);
    CHECK(statusOf(again) == 503);
}

TEST_CASE_FIXTURE(CrashFixture,
                  "an engine that leaves, and one that only lost connections, put nobody under suspicion")
{
    // Engines of a failure domain that is taken back end with what could not be moved; resets cut connections
    // of engines that go on. The same request may be there many times.
    for (int i = 0; i < 5; ++i) {
        askAgain();
        const SendAttempt attempt = lastSent();
        broken(attempt.attempt);
        gateway.onEngineProbed({attempt.endpoint, {}, true, false, {}, EndpointProcess::Runs, true}, now);
        pass({1000});
    }
    for (int i = 0; i < 5; ++i) {
        askAgain();
        const SendAttempt attempt = lastSent();
        for (EndpointEntry &entry : endpoints) {
            if (entry.id == attempt.endpoint)
                entry.leaving = true;
        }
        listEndpoints();
        broken(attempt.attempt);
        endpointEnded(attempt.endpoint);
        for (EndpointEntry &entry : endpoints) {
            if (std::exchange(entry.leaving, false))
                entry.id.value += "x";
        }
        pass({1000});
    }
    const size_t before = sent.size();
    askAgain();
    CHECK(sent.size() == before + 1);
}
