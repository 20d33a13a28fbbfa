// Requests that end each engine that begins to run them, and requests that only were there.
//
// Users saw engines stop answering one after the other, dozens in a quarter of a minute, and requests of all
// kinds on them cut. One request of one caller was among those open at each engine when it ended, 35 to 110
// ms after it had begun to run there. Each daemon repeated it at once at a second engine, and each time the
// caller came back, to any daemon, nothing was known of the engines it had ended.

#include "engineload.h"

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
