// The daemon's core, with the project's own protocol: a request that crashes each endpoint that starts to run
// it.

#include "onedaemon.h"

#include <doctest/doctest.h>

using namespace cranberry;

TEST_CASE(
    "a request that crashed three endpoints is sent to no further one, and its callers know when to return")
{
    // Each endpoint that starts to run the request crashes. Without a quarantine the request was retried at
    // six endpoints, and each further try of its caller crashed six more. Other callers must still be served.
    OneDaemon daemon;
    const CallerId first = daemon.submit("bad");
    daemon.failAttempts("bad", 100, {10000});
    CHECK(daemon.failedAttempts == 3);
    REQUIRE(daemon.refusals.contains(first));
    CHECK(daemon.refusals[first].outcome == Outcome::Unknown);
    CHECK(daemon.refusals[first].reason == RefusalReason::RequestQuarantined);
    CHECK(daemon.refusals[first].retryAfter.count > 0);
    const CallerId again = daemon.submit("bad");
    daemon.failAttempts("bad", 100, {5000});
    CHECK(daemon.failedAttempts == 3);
    REQUIRE(daemon.refusals.contains(again));
    CHECK(daemon.refusals[again].outcome == Outcome::NotRun);
    CHECK(daemon.refusals[again].retryAfter.count > 0);
    const CallerId other = daemon.submit("good");
    daemon.answerAll();
    CHECK(daemon.answered.contains(other));
}

TEST_CASE("a request whose endpoints crash on their own is answered")
{
    // Two endpoints crash, one after the other, while they have the request; the third one answers it. The
    // two crashes must not count against the next try, which meets one more.
    OneDaemon daemon;
    const CallerId first = daemon.submit("plain");
    daemon.failAttempts("plain", 2, {6000});
    CHECK(daemon.failedAttempts == 2);
    daemon.answerAll();
    CHECK(daemon.answered.contains(first));
    const CallerId second = daemon.submit("plain");
    daemon.failAttempts("plain", 1, {6000});
    CHECK(daemon.failedAttempts == 3);
    daemon.answerAll();
    CHECK(daemon.answered.contains(second));
}

TEST_CASE("failed connections are not counted as crashes")
{
    // The endpoints continue to run, as when a part of the network loses connections: the request is retried
    // as often as before, and a later try of it is accepted.
    OneDaemon daemon;
    daemon.phase = FailurePhase::AfterSend;
    const CallerId first = daemon.submit("plain");
    daemon.failAttempts("plain", 100, {20000});
    CHECK(daemon.failedAttempts == 6);
    CHECK(daemon.refusals[first].reason == RefusalReason::RetriesExhausted);
    const CallerId second = daemon.submit("plain");
    daemon.answerAll();
    CHECK(daemon.answered.contains(second));
}

TEST_CASE("requests that were taken over from other daemons are distinguished")
{
    // A leaving daemon hands its requests over. Endpoints crash on their own under three of them, one each;
    // no request had more than that one crash. A fourth request is taken over: it must be sent to an
    // endpoint.
    OneDaemon daemon;
    for (const char *body : {"first", "second", "third"}) {
        daemon.takeOver(body);
        daemon.failAttempts(body, 1, {2000});
    }
    REQUIRE(daemon.failedAttempts == 3);
    daemon.takeOver("fourth");
    daemon.failAttempts("fourth", 1, {2000});
    CHECK(daemon.failedAttempts == 4);
}

TEST_CASE("a request that crashed three endpoints is not sent on by the daemon that takes it over")
{
    OneDaemon daemon;
    daemon.submit("bad");
    daemon.failAttempts("bad", 100, {10000});
    REQUIRE(daemon.failedAttempts == 3);
    daemon.takeOver("bad");
    daemon.failAttempts("bad", 100, {5000});
    CHECK(daemon.failedAttempts == 3);
}
