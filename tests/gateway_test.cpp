#include "gatewayfixture.h"

using namespace cranberry;

namespace {

constexpr const char *Model = "/review/1";
constexpr const char *PlainStream = "/draft/1";
constexpr const char *Order = "/order/1";
constexpr const char *LookUp = "/lookup/1";

} // namespace

TEST_CASE_FIXTURE(GatewayFixture, "a plain call is passed on and its answer returned")
{
    const CallerId caller = request(Order);
    REQUIRE(sent.size() == 1);
    CHECK(lastSent().organisation.value == "a");
    CHECK(lastSent().remaining.count == 1500);
    head(lastSent().attempt, 200, false);
    data(lastSent().attempt, "whole");
    CHECK(statusOf(caller) == 0);
    end(lastSent().attempt);
    CHECK(statusOf(caller) == 200);
    CHECK(answers[caller].body == "whole");
    CHECK(gateway.isIdle());
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "requests that meet a daemon at its start wait for its first look at the store")
{
    // All daemons were killed. Callers come back in the moment in which the port is open again, before the
    // first reads of the store are answered. They are served a little later. If the store stays away they are
    // told so, with a time to come back, long before their own time is over.
    startAgain();
    const CallerId early = request(Order);
    CHECK(sent.empty());
    CHECK(statusOf(early) == 0);
    configure(makeConfiguration(1));
    CHECK(sent.empty());
    listEndpoints();
    CHECK(sent.size() == 1);

    startAgain();
    storeReachable = false;
    const CallerId refused = request(Order);
    pass({300});
    CHECK(statusOf(refused) == 503);
    CHECK(!headerOfAnswer(refused, "Retry-After").empty());
    CHECK(gateway.isIdle());
}

TEST_CASE_FIXTURE(GatewayFixture, "unknown routes and keys are final only while the configuration is fresh")
{
    // A caller uses a route or a key that was just added. This daemon was cut off from the store and does not
    // know it yet. "404" or "401" would be wrong and final; "503, come back" is true.
    CHECK(statusOf(request("/unknown/1")) == 404);
    CHECK(statusOf(request(Order, "no such key")) == 401);
    storeReachable = false;
    pass({2000});
    CHECK(statusOf(request("/unknown/1")) == 503);
    CHECK(statusOf(request(Order, "no such key")) == 503);
    CHECK(sent.empty());
}

// Guards against a valid key that is refused for good, since an older store lacks the version that added it.
TEST_CASE_FIXTURE(GatewayFixture,
                  "no key and no route is unknown for good while an older store may lack a version")
{
    gateway.onEndpoints({endpoints, now, 1}, now);
    REQUIRE(statusOf(request(Order, "key-new")) == 401);
    gateway.onEndpoints({endpoints, now, 2}, now);
    const CallerId early = request(Order, "key-new");
    CHECK(statusOf(early) == 503);
    CHECK_FALSE(headerOfAnswer(early, "Retry-After").empty());
    CHECK(statusOf(request("/added/1")) == 503);
    pass({6000});
    CHECK(statusOf(request(Order, "key-new")) == 401);
    CHECK(statusOf(request("/added/1")) == 404);
}

TEST_CASE_FIXTURE(GatewayFixture, "a daemon cut off from the store stops serving keys before one may be dead")
{
    // A key is removed while this daemon can't read the store. Its callers go on using the key. Five seconds
    // after the removal no request with it may run anywhere, so the daemon refuses all keys before that.
    storeReachable = false;
    pass({4000});
    request(Order);
    CHECK(sent.size() == 1);
    pass({800});
    const CallerId late = request(Order);
    CHECK(sent.size() == 1);
    CHECK(statusOf(late) == 503);
    CHECK(!headerOfAnswer(late, "Retry-After").empty());
    CHECK_FALSE(gateway.isReady(now));
}

TEST_CASE_FIXTURE(GatewayFixture, "a key removed while its request is queued is not used")
{
    // All places of the plain service are taken, the request waits. Its key is removed meanwhile. When a
    // place gets free, the request is judged again and refused.
    for (int i = 0; i < 4; ++i)
        request(Order);
    const CallerId waiting = request(Order);
    REQUIRE(sent.size() == 4);
    std::shared_ptr<ServingConfiguration> next = makeConfiguration(2);
    next->organisations[0].keys = {"key-b"};
    configure(next);
    head(sent[0].attempt, 200, false);
    end(sent[0].attempt);
    CHECK(sent.size() == 4);
    CHECK(statusOf(waiting) == 401);
}

TEST_CASE_FIXTURE(GatewayFixture, "an older configuration never replaces a newer one")
{
    // Reads overlap: an answer with the older version arrives after the newer one. The route that the newer
    // one added stays.
    std::shared_ptr<ServingConfiguration> next = makeConfiguration(5);
    next->routes[3].prefix = "/added/";
    configure(next);
    std::shared_ptr<ServingConfiguration> old = makeConfiguration(4);
    old->index();
    gateway.onConfiguration({old, now}, now);
    request("/added/1");
    CHECK(sent.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "a call that must not be repeated is sent once, and its outcome is unknown")
{
    // The endpoint's connection breaks after the request was written: it may have run. The caller gets 502,
    // which promises nothing, and the request goes nowhere else.
    const CallerId caller = request(Order);
    broken(lastSent().attempt);
    CHECK(sent.size() == 1);
    CHECK(statusOf(caller) == 502);
}

TEST_CASE_FIXTURE(GatewayFixture, "a call that was not run goes to another endpoint, whatever its kind")
{
    const CallerId caller = request(Order);
    const EndpointId first = lastSent().endpoint;
    head(lastSent().attempt, 503, false, true);
    REQUIRE(sent.size() == 2);
    CHECK(lastSent().endpoint != first);
    head(lastSent().attempt, 503, false, true);
    CHECK(statusOf(caller) == 503);
    CHECK(!headerOfAnswer(caller, "Retry-After").empty());
}

TEST_CASE_FIXTURE(GatewayFixture, "not run is never said after an attempt that may have run")
{
    // The first endpoint breaks off an idempotent call, the second states that it did not run it. The first
    // one may have run it: the answer must not promise otherwise.
    const CallerId caller = request(LookUp);
    broken(lastSent().attempt);
    REQUIRE(sent.size() == 2);
    head(lastSent().attempt, 503, false, true);
    CHECK(statusOf(caller) == 502);
}

TEST_CASE_FIXTURE(GatewayFixture, "a refusal that the endpoint did not state to be one is not passed on")
{
    // An endpoint answers 503 without stating that the call was not run. Passed on, it would promise that.
    const CallerId caller = request(Order);
    head(lastSent().attempt, 503, false);
    end(lastSent().attempt);
    CHECK(statusOf(caller) == 502);
}

TEST_CASE_FIXTURE(GatewayFixture, "an answer that belongs to another request is not passed on")
{
    // A late answer to an earlier request arrives where this one's is due.
    const CallerId caller = request(Order);
    AttemptHead head;
    head.attempt = lastSent().attempt;
    head.status = 200;
    head.ownAnswer = false;
    gateway.onHead(head, now);
    drainActions();
    CHECK(statusOf(caller) == 502);
    CHECK(cancelled.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "an idempotent call is repeated at another endpoint")
{
    const CallerId caller = request(LookUp);
    const EndpointId first = lastSent().endpoint;
    head(lastSent().attempt, 200, false);
    data(lastSent().attempt, "half");
    broken(lastSent().attempt);
    REQUIRE(sent.size() == 2);
    CHECK(lastSent().endpoint != first);
    head(lastSent().attempt, 200, false);
    data(lastSent().attempt, "whole");
    end(lastSent().attempt);
    CHECK(statusOf(caller) == 200);
    CHECK(answers[caller].body == "whole");
}

TEST_CASE_FIXTURE(GatewayFixture, "a connection that was never had costs no attempt")
{
    const CallerId caller = request(Order);
    broken(lastSent().attempt, false);
    REQUIRE(sent.size() == 2);
    broken(lastSent().attempt, false);
    CHECK(statusOf(caller) == 503);
}

TEST_CASE_FIXTURE(GatewayFixture, "a stream is passed on by whole events")
{
    const CallerId caller = request(PlainStream);
    head(lastSent().attempt, 200, true);
    data(lastSent().attempt, "id: 1\ndata: a");
    CHECK(streamed[caller].empty());
    data(lastSent().attempt, "\n\nid: 2\n");
    CHECK(streamed[caller] == "id: 1\ndata: a\n\n");
    data(lastSent().attempt, "data: b\n\n");
    end(lastSent().attempt);
    CHECK(streamed[caller] == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(streamEnds[caller]);
}

TEST_CASE_FIXTURE(GatewayFixture, "a stream that stops in the middle of an event must not look complete")
{
    // The endpoint ends its answer cleanly, but in the middle of an event. The caller must see a broken
    // stream.
    const CallerId caller = request(PlainStream);
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 1, 3);
    data(lastSent().attempt, "id: 4\nda");
    end(lastSent().attempt);
    REQUIRE(streamEnds.contains(caller));
    CHECK_FALSE(streamEnds[caller]);
    CHECK(sent.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "a resumable stream goes on at another endpoint without gap or repetition")
{
    const CallerId caller = request(Model);
    const EndpointId first = lastSent().endpoint;
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 1, 3);
    broken(lastSent().attempt);
    REQUIRE(sent.size() == 2);
    CHECK(lastSent().endpoint != first);
    CHECK(lastSent().resumeAfter == 3);
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 4, 5);
    end(lastSent().attempt);
    CHECK(streamEnds[caller]);
    CHECK(streamed[caller].find("id: 5") != std::string::npos);
}

TEST_CASE_FIXTURE(GatewayFixture, "a resumed stream that leaves an event out is cut off")
{
    // The second endpoint goes on one event too late. Passing that on would join two pieces that don't belong
    // together; the caller must see a broken stream instead.
    const CallerId caller = request(Model);
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 1, 3);
    broken(lastSent().attempt);
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 5, 5);
    REQUIRE(streamEnds.contains(caller));
    CHECK_FALSE(streamEnds[caller]);
    CHECK(streamed[caller].find("id: 5") == std::string::npos);
}

TEST_CASE_FIXTURE(GatewayFixture, "a caller that leaves takes its work along")
{
    const CallerId running = request(Order);
    gateway.onCallerGone({running}, now);
    drainActions();
    CHECK(cancelled.size() == 1);
    for (int i = 0; i < 4; ++i)
        request(Order);
    const CallerId waiting = request(Order);
    gateway.onCallerGone({waiting}, now);
    head(sent[1].attempt, 200, false);
    end(sent[1].attempt);
    CHECK(sent.size() == 5);
}

TEST_CASE_FIXTURE(GatewayFixture, "an endpoint that leaves gets no new work")
{
    endpoints[3].leaving = true;
    listEndpoints();
    for (int i = 0; i < 3; ++i)
        request(Order);
    REQUIRE(sent.size() == 2);
    CHECK(sent[0].endpoint.value == "p2");
    CHECK(sent[1].endpoint.value == "p2");
    // An older word that it is ready does not bring it back.
    endpoints[3].leaving = false;
    listEndpoints();
    CHECK(sent.size() == 2);
}

TEST_CASE_FIXTURE(GatewayFixture, "entries that lapsed with the store serve until they had time to come back")
{
    // The store was away; when it is back, its list is empty, since all entries lapsed meanwhile. The
    // endpoints are alive. They go on serving for about two seconds; what is missing after that is gone.
    storeReachable = false;
    pass({3000});
    const std::vector<EndpointEntry> alive = std::exchange(endpoints, {});
    storeReachable = true;
    pass({500});
    request(Order);
    CHECK(sent.size() == 1);
    endpoints = {alive[0]};
    pass({2500});
    CHECK(statusOf(request(Order)) == 503);
    request(Model);
    CHECK(lastSent().endpoint.value == "m1");
}

TEST_CASE_FIXTURE(GatewayFixture, "an entry missing from an uninterrupted list is gone at once")
{
    endpoints.erase(endpoints.begin() + 3);
    listEndpoints();
    request(Order);
    CHECK(lastSent().endpoint.value == "p2");
}

TEST_CASE_FIXTURE(GatewayFixture, "the final answer is there when the route's time is over")
{
    const CallerId sentCaller = request(Order);
    for (int i = 0; i < 3; ++i)
        request(Order);
    const CallerId waiting = request(Order);
    pass({1500});
    CHECK(statusOf(sentCaller) == 504);
    CHECK(statusOf(waiting) == 503);
    CHECK(cancelled.size() == 4);
}

TEST_CASE_FIXTURE(GatewayFixture, "a request that can't be served in its time is refused at once")
{
    // Answers take a second, four are served side by side, and callers have one and a half. The fifth to
    // tenth can still be served; those behind them are told at once, with a time to come back, not when their
    // time is over.
    for (int i = 0; i < 4; ++i)
        request(Order);
    pass({1000});
    for (int i = 0; i < 4; ++i) {
        head(sent[static_cast<size_t>(i)].attempt, 200, false);
        end(sent[static_cast<size_t>(i)].attempt);
    }
    std::vector<CallerId> callers(14);
    for (CallerId &caller : callers)
        caller = request(Order);
    CHECK(sent.size() == 8);
    CHECK(statusOf(callers[8]) == 0);
    CHECK(statusOf(callers[13]) == 503);
    CHECK(!headerOfAnswer(callers[13], "Retry-After").empty());
}

TEST_CASE_FIXTURE(GatewayFixture, "requests that time out in the same tick don't trip over each other")
{
    // A stream and a queued call reach their time in the same tick, in which the configuration gets too old,
    // too. The end of the stream looks through the queue and refuses the call; then it is the call's turn to
    // time out.
    storeReachable = false;
    CallerRequest stream = makeRequest(PlainStream);
    stream.deadline = DurationMs{4750};
    const CallerId first = request(stream);
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 1, 1);
    pass({3250});
    for (int i = 0; i < 4; ++i)
        request(Order);
    const CallerId waiting = request(Order);
    pass({1500});
    CHECK_FALSE(streamEnds[first]);
    CHECK(statusOf(waiting) == 503);
}

TEST_CASE_FIXTURE(GatewayFixture, "a queued request is refused when the last endpoint goes")
{
    for (int i = 0; i < 4; ++i)
        request(Order);
    const CallerId waiting = request(Order);
    CHECK(statusOf(waiting) == 0);
    endpoints[3].leaving = true;
    endpoints[4].leaving = true;
    listEndpoints();
    CHECK(statusOf(waiting) == 503);
}

TEST_CASE_FIXTURE(GatewayFixture, "a leaving daemon serves on, but starts no stream that it could not finish")
{
    // The daemon is told to stop. Callers that still come are served; three seconds later a new stream is
    // refused with "not run, elsewhere now", since it could be cut by the end of the process.
    gateway.startLeaving(now, now + DurationMs{7300});
    CHECK_FALSE(gateway.isReady(now));
    request(Model);
    CHECK(sent.size() == 1);
    pass({3100});
    const CallerId late = request(Model);
    CHECK(statusOf(late) == 503);
    CHECK(headerOfAnswer(late, "Retry-After") == "0.05");
    request(LookUp);
    CHECK(sent.size() == 2);
}

TEST_CASE_FIXTURE(GatewayFixture, "a leaving daemon takes no call that its end could cut off")
{
    // The daemon is told to stop. A caller whose entry answer is old comes milliseconds before the process
    // ends. Its call would be sent and cut off with it, and must not be repeated: refused, it runs elsewhere
    // at once.
    gateway.startLeaving(now, now + DurationMs{7300});
    pass({5700});
    request(Order);
    REQUIRE(sent.size() == 1);
    pass({200});
    const CallerId late = request(Order);
    CHECK(sent.size() == 1);
    CHECK(statusOf(late) == 503);
    CHECK(headerOfAnswer(late, "Retry-After") == "0.05");
    pass({1390});
    CHECK(gateway.isIdle());
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "requests of one shared prompt go to one endpoint, and spill when it is busy")
{
    CallerRequest shared = makeRequest(Model);
    shared.promptTokens = 17000;
    shared.parts = {{"manual", 13000}, {"own", 4000}};
    request(shared);
    const EndpointId home = lastSent().endpoint;
    for (int i = 0; i < 2; ++i) {
        shared.id = "next-" + std::to_string(i);
        request(shared);
        CHECK(lastSent().endpoint == home);
    }
    bool spilled = false;
    for (int i = 0; i < 10; ++i) {
        shared.id = "more-" + std::to_string(i);
        shared.parts.back().id = "own-" + std::to_string(i);
        request(shared);
        spilled = spilled || lastSent().endpoint != home;
    }
    CHECK(spilled);
}

TEST_CASE_FIXTURE(GatewayFixture, "a shared prompt leaves its home for a lasting queue, not for a moment's")
{
    // Another daemon has just sent a large prompt to the engine that holds a shared part. The engine will
    // have read it when the next report comes. Only if queues stay long does the part move, since it is then
    // read a second time.
    CallerRequest shared = makeRequest(Model);
    shared.promptTokens = 14000;
    shared.parts = {{"manual", 13000}, {"own", 1000}};
    request(shared);
    const EndpointId home = lastSent().endpoint;
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 1, 1);
    gateway.onMembers({{{"entry-2"}, {2}, {"south"}, {}, {}}}, now);
    pass({200});
    PeerReport report;
    report.incarnation.value = 2;
    report.loads = {{{home, {}}, 1, 20'000}};
    report.sequence = 1;
    gateway.onPeerReport(report, now);
    pass({25});
    shared.id = "second";
    request(shared);
    CHECK(lastSent().endpoint == home);
    for (int i = 0; i < 5; ++i) {
        ++report.sequence;
        gateway.onPeerReport(report, now);
        pass({200});
    }
    shared.id = "third";
    request(shared);
    CHECK(lastSent().endpoint != home);
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "an engine that falls silent gets no new work, and resumable streams leave it")
{
    // An engine goes dark in the middle of its streams: no reset, nothing. The caller of a resumable stream
    // sees a pause and then the rest from another engine; one that can't be resumed waits, since the engine
    // may be back.
    const CallerId resumable = request(Model);
    const EndpointId dark = lastSent().endpoint;
    const AttemptId first = lastSent().attempt;
    head(first, 200, true);
    events(first, 1, 2);
    CallerId fixed;
    AttemptId fixedAttempt;
    while (fixedAttempt.value == 0) {
        fixed = request(PlainStream);
        if (lastSent().endpoint == dark)
            fixedAttempt = lastSent().attempt;
    }
    head(fixedAttempt, 200, true);
    events(fixedAttempt, 1, 1);
    const size_t before = sent.size();
    pass({600});
    CHECK(sent.size() == before);
    pass({200});
    REQUIRE(sent.size() == before + 1);
    CHECK(lastSent().endpoint != dark);
    CHECK(lastSent().resumeAfter == 2);
    CHECK_FALSE(streamEnds.contains(fixed));
    for (int i = 0; i < 6; ++i) {
        request(Model);
        CHECK(lastSent().endpoint != dark);
    }
    events(fixedAttempt, 2, 2);
    end(fixedAttempt);
    CHECK(streamEnds[fixed]);
    CHECK_FALSE(streamEnds.contains(resumable));
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "a stream at an engine that pauses is not cut when no repeat is left for it")
{
    // Engines are overloaded: events come a second apart, and all repeats are used up. A stream that left its
    // engine for that would end there and then, though the rest is still to come.
    GatewaySettings none;
    none.repeats = {0, 0, {10000}};
    gateway.applyBounds(none);
    const CallerId caller = request(Model);
    const AttemptId attempt = lastSent().attempt;
    head(attempt, 200, true);
    events(attempt, 1, 2);
    pass({1500});
    CHECK_FALSE(streamEnds.contains(caller));
    events(attempt, 3, 4);
    end(attempt);
    REQUIRE(streamEnds.contains(caller));
    CHECK(streamEnds[caller]);
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "one that stands by beside a single one that serves has no repeats to spare")
{
    // One daemon serves, this one has a stray caller. If both took the whole slack, a failing service would
    // get twice the repeats that the operators allow.
    gateway.onMembers({{{"entry-1"}, {1}, {"north"}, {}, {"10.0.0.1", 90}, 1, false},
                       {{"entry-2"}, {2}, {"south"}, {}, {"10.0.0.2", 90}, 1, true}},
                      now);
    pass({4000});
    request(Model);
    broken(lastSent().attempt);
    CHECK(gateway.counters().of(GatewayRetry::Broken) == 0);
}

TEST_CASE_FIXTURE(GatewayFixture, "a daemon that stood still itself does not take its engines for silent")
{
    // The instance is suspended for three seconds. The engines' events wait in its sockets; they are read
    // only after the first tick. Streams must not be moved for that.
    request(Model);
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 1, 2);
    pass({100});
    now = now + DurationMs{3000};
    pass({300});
    CHECK(sent.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "the daemons that serve share the repeats, those that stand by have none to spare")
{
    // Nine of forty daemons have all the callers. With an equal share of the repeats that all may make, most
    // streams of a reclaimed failure domain would be cut although the budget of all is hardly used. One that
    // stands by has a stray caller at most; it repeats by the ratio.
    std::vector<MemberEntry> members;
    for (uint64_t i = 1; i <= 40; ++i) {
        const std::string name = "entry-" + std::to_string(i);
        const Address address{"10.0.0.9", static_cast<uint16_t>(i)};
        members.push_back({{name}, {i}, {"south"}, address, address, i <= 9 ? 0.5 : 0.1, i <= 9});
    }
    gateway.onMembers(members, now);
    for (uint64_t i = 2; i <= 40; ++i) {
        PeerReport report;
        report.incarnation.value = i;
        report.sequence = 1;
        report.ready = true;
        gateway.onPeerReport(report, now);
    }
    CHECK(gateway.callerAddresses({members[0].callerAddress, 0.5}, 0, now).addresses.size() == 9);
    for (int i = 0; i < 10; ++i) {
        request(Model);
        broken(lastSent().attempt);
    }
    // 0.75 x (0.2 x 10 requests + 0.8 x 40 / 9 daemons)
    CHECK(gateway.counters().of(GatewayRetry::Broken) == 4);
    members[0].cores = 0.1;
    members[0].serving = false;
    gateway.onMembers(members, now);
    CHECK(gateway.callerAddresses({members[0].callerAddress, 0.1}, 0, now).addresses.size() == 8);
    for (int i = 0; i < 10; ++i) {
        request(Model);
        broken(lastSent().attempt);
    }
    // 0.75 x 0.2 x 20 requests, the four before included
    CHECK(gateway.counters().of(GatewayRetry::Broken) == 4);
}

TEST_CASE_FIXTURE(GatewayFixture, "a late request that is refused does not hold up those behind it")
{
    // All engines are taken. A large request that the engines could not read in its time even alone is
    // refused. One behind it, late as well, has seconds left: counted as waiting for the large one, it was
    // refused in the same moment, though an engine came free soon after.
    configuration->services[0].engine->slots = 1;
    configuration->routes[1].priority = 1;
    configure(configuration);
    for (int i = 0; i < 3; ++i)
        request(Model);
    REQUIRE(sent.size() == 3);
    const CallerId small = request("/draft/1");
    pass({1000});
    CallerRequest large = makeRequest(Model);
    large.promptTokens = 3'000'000;
    const CallerId hopeless = request(large);
    pass({25});
    CHECK(statusOf(hopeless) == 503);
    CHECK(statusOf(small) == 0);
    head(sent[0].attempt, 200, true);
    events(sent[0].attempt, 1, 34);
    end(sent[0].attempt);
    pass({25});
    REQUIRE(sent.size() == 4);
    CHECK(lastSent().request->path == "/draft/1");
}
