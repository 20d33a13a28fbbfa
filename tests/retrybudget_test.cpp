// The budget of retries of the daemon with the project's own interface, when it is empty.

#include "onedaemon.h"

#include <doctest/doctest.h>

using namespace cranberry;

TEST_CASE("streams of engines that fall silent at once all go on elsewhere, also when the budget is empty")
{
    // Forty streams lose their engines in the same moment, and the budget holds twenty retries. The others
    // were given up as "unknown", though their callers had a minute left. They wait instead: other requests
    // that are answered fill the budget again.
    OneDaemon daemon;
    daemon.phase = FailurePhase::Silent;
    std::vector<CallerId> callers;
    callers.reserve(40);
    for (int i = 0; i < 40; ++i)
        callers.push_back(daemon.submit("stream"));
    daemon.failAttempts("stream", 40, {20});
    REQUIRE(daemon.failed == 40);
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
