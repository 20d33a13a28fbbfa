// Tests the retry budget of the daemon with the project's own interface when it is used up.

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
