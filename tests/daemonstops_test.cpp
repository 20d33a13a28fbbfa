// What becomes of requests when cranberryd is asked to stop, in virtual time.

#include "harness.h"
#include "onedaemon.h"

#include <doctest/doctest.h>

using namespace cranberry;

namespace {

constexpr DurationMs DrainLimit{3000};
constexpr size_t AllSlots = 64; ///< Of OneDaemon's endpoints.

} // namespace

// Guards against streams that are generated twice: handed over only in the tick that ends them, a lost
// message has their witness begin again.
TEST_CASE("a planned stop hands over what outlasts it, also if a message is lost")
{
    harness::Scenario scenario;
    scenario.name = "one long stream";
    constexpr uint32_t Tokens = 860; // 8.6 s; the drains of the harness last 8 s.
    scenario.jobs = {{harness::JobKind::Chat, TimeMs{4000}, 0, "long", Tokens, false}};
    const uint64_t before = harness::run(harness::Scenario{}, harness::Fault::None, 0, 1).steps;
    const harness::FaultAt drain{harness::Fault::DrainPlanned, before + 5};
    const uint64_t steps = harness::run(scenario, {drain}, 1).steps;
    for (uint64_t lost = before + 700; lost < steps; ++lost) {
        const harness::Report report
            = harness::run(scenario, {drain, {harness::Fault::LoseMessage, lost}}, 1);
        CAPTURE(lost);
        CHECK(report.breaches.empty());
        CHECK(report.generatedTokens <= Tokens + 3);
    }
}

// Guards against callers that are told "unknown", and so must not repeat their work, for requests that never
// left.
TEST_CASE("at the end of a stop what was never sent is reported as not run")
{
    OneDaemon daemon(DrainLimit);
    std::vector<CallerId> callers;
    for (size_t i = 0; i < AllSlots + 4; ++i)
        callers.push_back(daemon.submit("work " + std::to_string(i), false));
    daemon.drain({});
    daemon.pass(DrainLimit + TickInterval);
    CHECK(daemon.stopped);
    for (size_t i = 0; i < callers.size(); ++i) {
        CAPTURE(i);
        REQUIRE(daemon.refusals.contains(callers[i]));
        CHECK(daemon.refusals[callers[i]].outcome == (i < AllSlots ? Outcome::Unknown : Outcome::NotRun));
    }
}

// Guards against an operator's second signal that closes connections without a word.
TEST_CASE("a stop at once ends all requests with a final response")
{
    OneDaemon daemon(DrainLimit);
    const CallerId caller = daemon.submit("work", false);
    daemon.drain({});
    daemon.pass(TickInterval);
    daemon.drain(DurationMs{0});
    daemon.pass(TickInterval);
    CHECK(daemon.stopped);
    CHECK(daemon.refusals.contains(caller));
}
