// Tests retries of the daemon with the project's own interface: when the retry budget is used up, and when
// the service has a single endpoint.

#include "onedaemon.h"

#include <doctest/doctest.h>

using namespace cranberry;

namespace {

constexpr const char *StreamText = "stream";

void submitMany(OneDaemon &daemon, size_t count)
{
    for (size_t i = 0; i < count; ++i)
        daemon.submit(StreamText);
}

// The endpoints answer whatever they get, for `seconds`.
void answerFor(OneDaemon &daemon, int seconds)
{
    for (int i = 0; i < 10 * seconds; ++i) {
        daemon.pass(DurationMs{100});
        daemon.answerAll();
    }
}

} // namespace

TEST_CASE(
    "streams of engines that fall silent at once all continue elsewhere, even if the retry budget is used up")
{
    // 40 streams lose their engines at once, and the budget holds 20 retries. Guards against giving up the
    // other 20 as "unknown" although their callers have a minute left. They wait instead, since successful
    // requests refill the budget.
    OneDaemon daemon;
    daemon.phase = FailurePhase::Silent;
    std::vector<CallerId> callers;
    callers.reserve(40);
    for (int i = 0; i < 40; ++i)
        callers.push_back(daemon.submit("stream"));
    daemon.failAttempts("stream", 40, {20});
    REQUIRE(daemon.failedAttempts == 40);
    for (int round = 0; round < 30; ++round) {
        for (int i = 0; i < 10; ++i)
            daemon.submit("other");
        daemon.failAttempts("none", 0, {1000});
        daemon.answerAll();
    }
    for (const CallerId caller : callers) {
        CHECK_FALSE(daemon.refusals.contains(caller));
        CHECK(daemon.answered.contains(caller));
    }
}

// Guards against streams of silent engines that wait until their deadlines, because the retry budget is empty
// and no further request succeeds that would refill it.
TEST_CASE("streams that fall silent at once all continue elsewhere when no other request is left")
{
    for (const size_t count : {1U, 21U, 30U, 60U}) {
        CAPTURE(count);
        OneDaemon daemon;
        daemon.phase = FailurePhase::Silent;
        submitMany(daemon, count);
        daemon.failAttempts(StreamText, count, TickInterval);
        REQUIRE(daemon.failedAttempts == count);
        answerFor(daemon, 50);
        CHECK(daemon.refusals.empty());
        CHECK(daemon.answered.size() == count);
    }
}

// Guards against retries that multiply the load while every attempt fails.
TEST_CASE("endpoints that all fail get no more retries than the burst and the minimum per second")
{
    constexpr size_t Count = 60;
    constexpr size_t Burst = 20;
    constexpr size_t Seconds = 30;
    OneDaemon daemon;
    daemon.phase = FailurePhase::Silent;
    submitMany(daemon, Count);
    daemon.failAttempts(StreamText, SIZE_MAX, DurationMs{static_cast<int64_t>(1000 * Seconds)});
    CHECK(daemon.failedAttempts > Count + Burst);
    CHECK(daemon.failedAttempts <= Count + Burst + Seconds);
}

// Guards against a retry that waits until its deadline because it avoids the only endpoint of its service.
TEST_CASE("a request whose only endpoint failed once is retried there")
{
    for (const FailurePhase phase : {FailurePhase::Silent, FailurePhase::NotSent, FailurePhase::SaidNotRun,
                                     FailurePhase::AfterSend, FailurePhase::EndpointExited}) {
        CAPTURE(static_cast<int>(phase));
        OneDaemon daemon(DurationMs{120000}, 1);
        daemon.phase = phase;
        const CallerId caller = daemon.submit(StreamText);
        daemon.failAttempts(StreamText, 1, TickInterval);
        REQUIRE(daemon.failedAttempts == 1);
        answerFor(daemon, 5);
        CHECK(daemon.answered.contains(caller));
    }
}

// Guards against a retry at the endpoint that failed while another one serves.
TEST_CASE("a retry avoids the endpoint that failed while the service has another one")
{
    OneDaemon daemon(DurationMs{120000}, 2);
    daemon.phase = FailurePhase::Silent;
    daemon.submit(StreamText);
    daemon.failAttempts(StreamText, 3, DurationMs{20000});
    REQUIRE(daemon.failedEndpoints.size() == 3);
    CHECK(daemon.failedEndpoints[0] != daemon.failedEndpoints[1]);
    CHECK(daemon.failedEndpoints[1] != daemon.failedEndpoints[2]);
}
