// The daemon with the project's own interface: a request that ends each endpoint that begins to run it.

#include "onedaemon.h"

#include <doctest/doctest.h>

using namespace cranberry;

TEST_CASE(
    "a request that ended three endpoints is sent to no further one, and its callers know when to return")
{
    // Each endpoint that begins to run the request ends. It was repeated at six, and each new try of its
    // caller took six more. Others that ask meanwhile are served.
    OneDaemon daemon;
    const CallerId first = daemon.submit("bad");
    daemon.failAttempts("bad", 100, {10000});
    CHECK(daemon.failed == 3);
    REQUIRE(daemon.refusals.contains(first));
    CHECK(daemon.refusals[first].outcome == Outcome::Unknown);
    CHECK(daemon.refusals[first].reason == RefusalReason::RequestQuarantined);
    CHECK(daemon.refusals[first].retryAfter.count > 0);
    const CallerId again = daemon.submit("bad");
    daemon.failAttempts("bad", 100, {5000});
    CHECK(daemon.failed == 3);
    REQUIRE(daemon.refusals.contains(again));
    CHECK(daemon.refusals[again].outcome == Outcome::NotRun);
    CHECK(daemon.refusals[again].retryAfter.count > 0);
    const CallerId other = daemon.submit("good");
    daemon.answerAll();
    CHECK(daemon.answered.contains(other));
}

TEST_CASE("a request whose endpoints end by themselves is answered")
{
    // Two endpoints end, one after the other, while they have the request; the third one answers it. The two
    // ends must not count against its next try, which meets one more.
    OneDaemon daemon;
    const CallerId first = daemon.submit("plain");
    daemon.failAttempts("plain", 2, {6000});
    CHECK(daemon.failed == 2);
    daemon.answerAll();
    CHECK(daemon.answered.contains(first));
    const CallerId second = daemon.submit("plain");
    daemon.failAttempts("plain", 1, {6000});
    CHECK(daemon.failed == 3);
    daemon.answerAll();
    CHECK(daemon.answered.contains(second));
}

TEST_CASE("connections that break are no ends")
{
    // The endpoints run on, as when a part of the network loses connections: the request is repeated as often
    // as before, and a later try of it is taken.
    OneDaemon daemon;
    daemon.phase = FailurePhase::AfterSend;
    const CallerId first = daemon.submit("plain");
    daemon.failAttempts("plain", 100, {20000});
    CHECK(daemon.failed == 6);
    CHECK(daemon.refusals[first].reason == RefusalReason::RetriesExhausted);
    const CallerId second = daemon.submit("plain");
    daemon.answerAll();
    CHECK(daemon.answered.contains(second));
}

TEST_CASE("requests that were taken over from other daemons are told apart")
{
    // A leaving daemon hands its requests over. Endpoints end by themselves under three of them, one each;
    // none of them ended more than that one. A fourth request is taken over: it must be sent to an endpoint.
    OneDaemon daemon;
    for (const char *body : {"first", "second", "third"}) {
        daemon.takeOver(body);
        daemon.failAttempts(body, 1, {2000});
    }
    REQUIRE(daemon.failed == 3);
    daemon.takeOver("fourth");
    daemon.failAttempts("fourth", 1, {2000});
    CHECK(daemon.failed == 4);
}

TEST_CASE("a request that ended three endpoints is not sent on by the daemon that takes it over")
{
    OneDaemon daemon;
    daemon.submit("bad");
    daemon.failAttempts("bad", 100, {10000});
    REQUIRE(daemon.failed == 3);
    daemon.takeOver("bad");
    daemon.failAttempts("bad", 100, {5000});
    CHECK(daemon.failed == 3);
}
