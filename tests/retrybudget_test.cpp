// Tests the retry budget of the daemon with the project's own interface when it is used up.

#include "onedaemon.h"

#include <doctest/doctest.h>

using namespace cranberry;

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
