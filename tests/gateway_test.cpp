#include "gatewayfixture.h"

using namespace cranberry;

namespace {

constexpr const char *Model = "/review/1";
constexpr const char *PlainStream = "/draft/1";
constexpr const char *Order = "/order/1";
constexpr const char *LookUp = "/lookup/1";

} // namespace

TEST_CASE_FIXTURE(GatewayFixture, "a plain call is forwarded and its response returned")
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

TEST_CASE_FIXTURE(GatewayFixture, "requests that arrive before the first read of the store wait for it")
{
    // After all daemons were killed, callers reconnect as soon as the port is open, before the first reads of
    // the store complete. They are served after these reads. If the store stays unreachable, they are refused
    // with Retry-After long before their deadline.
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

TEST_CASE_FIXTURE(GatewayFixture, "a request that its header refuses is known before its body is read")
{
    // Bodies that are taken for requests which can't be served fill the memory that others need.
    const auto examine = [this](const std::string &path, const std::string &key) {
        CallerRequest head = makeRequest(path);
        head.key = key;
        return gateway.examineHead(std::make_shared<CallerRequest>(head), now);
    };
    CHECK(!examine(Order, "key-a").isRefused);
    CHECK(examine(Order, "key-a").organisation.value == "a");
    CHECK(examine(Order, "no such key").isRefused);
    CHECK(examine("/unknown/1", "key-a").isRefused);
    gateway.refuseByHead({{77}, std::make_shared<CallerRequest>(makeRequest("/unknown/1"))}, now);
    // Also one that is no longer refused: it has no body that could be sent.
    gateway.refuseByHead({{78}, std::make_shared<CallerRequest>(makeRequest(Order))}, now);
    drainActions();
    CHECK(statusOf({77}) == 404);
    CHECK(statusOf({78}) == 503);
    CHECK(sent.empty());
    CHECK(gateway.isIdle());
    startAgain();
    CHECK(!examine("/unknown/1", "key-a").isRefused); // The store may know the route.
}

TEST_CASE_FIXTURE(GatewayFixture, "unknown routes and keys are final only while the configuration is fresh")
{
    // A caller uses a route or key that was just added, and this daemon does not know it yet since it can't
    // read the store. 404 or 401 would be wrong and final; 503 makes the caller retry.
    CHECK(statusOf(request("/unknown/1")) == 404);
    CHECK(statusOf(request(Order, "no such key")) == 401);
    storeReachable = false;
    pass({2000});
    CHECK(statusOf(request("/unknown/1")) == 503);
    CHECK(statusOf(request(Order, "no such key")) == 503);
    CHECK(sent.empty());
}

// Guards against the final refusal of a valid key because a store restored from an older copy lacks the
// version that added the key.
TEST_CASE_FIXTURE(GatewayFixture,
                  "unknown keys and routes are not refused finally while a restored store may lack a version")
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

TEST_CASE_FIXTURE(GatewayFixture,
                  "a daemon that can't read the store stops accepting keys before one may have been removed")
{
    // A key is removed while this daemon can't read the store, and callers still use the key. Five seconds
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
    // All slots of the plain service are taken and the request waits. Its key is removed in the meantime.
    // When a slot gets free, the request is checked again and refused.
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
    // Reads overlap, and the reply with the older version arrives after the newer one. The route added by the
    // newer version stays.
    std::shared_ptr<ServingConfiguration> next = makeConfiguration(5);
    next->routes[3].prefix = "/added/";
    configure(next);
    std::shared_ptr<ServingConfiguration> old = makeConfiguration(4);
    old->index();
    gateway.onConfiguration({old, now}, now);
    request("/added/1");
    CHECK(sent.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "a non-idempotent call is sent once, and its outcome is unknown after a failure")
{
    // The connection fails after the request was written, so the request may have run. The caller gets 502,
    // which leaves the outcome open, and the request is not sent again.
    const CallerId caller = request(Order);
    broken(lastSent().attempt);
    CHECK(sent.size() == 1);
    CHECK(statusOf(caller) == 502);
}

TEST_CASE_FIXTURE(GatewayFixture, "a call that was not run is sent to another endpoint, whatever its kind")
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

TEST_CASE_FIXTURE(GatewayFixture, "503 is never sent after an attempt that may have run")
{
    // The connection to the first endpoint fails, and the second states that it did not run the call. The
    // first may have run it, so the response must not state that it was not run.
    const CallerId caller = request(LookUp);
    broken(lastSent().attempt);
    REQUIRE(sent.size() == 2);
    head(lastSent().attempt, 503, false, true);
    CHECK(statusOf(caller) == 502);
}

TEST_CASE_FIXTURE(GatewayFixture, "a 503 without the statement that the call was not run is not forwarded")
{
    // Forwarded to the caller, the 503 would state that the call was not run.
    const CallerId caller = request(Order);
    head(lastSent().attempt, 503, false);
    end(lastSent().attempt);
    CHECK(statusOf(caller) == 502);
}

TEST_CASE_FIXTURE(GatewayFixture, "a response to another request is not forwarded")
{
    // A late response to an earlier request arrives on the connection of this one.
    const CallerId caller = request(Order);
    AttemptHead head;
    head.attempt = lastSent().attempt;
    head.status = 200;
    head.matchesRequest = false;
    gateway.onHead(head, now);
    drainActions();
    CHECK(statusOf(caller) == 502);
    CHECK(cancelled.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "an idempotent call is retried at another endpoint")
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

TEST_CASE_FIXTURE(GatewayFixture, "a connection that could not be established costs no attempt")
{
    const CallerId caller = request(Order);
    broken(lastSent().attempt, false);
    REQUIRE(sent.size() == 2);
    broken(lastSent().attempt, false);
    CHECK(statusOf(caller) == 503);
}

TEST_CASE_FIXTURE(GatewayFixture, "a stream is forwarded by complete events")
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
    // The endpoint ends its response cleanly, but in the middle of an event. The caller must see an
    // interrupted stream.
    const CallerId caller = request(PlainStream);
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 1, 3);
    data(lastSent().attempt, "id: 4\nda");
    end(lastSent().attempt);
    REQUIRE(streamEnds.contains(caller));
    CHECK_FALSE(streamEnds[caller]);
    CHECK(sent.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "a resumable stream continues at another endpoint without gap or repetition")
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

TEST_CASE_FIXTURE(GatewayFixture, "a resumed stream that skips an event is cut off")
{
    // The second endpoint continues one event too late. Forwarding that would hide the gap; the caller must
    // see an interrupted stream instead.
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

TEST_CASE_FIXTURE(GatewayFixture, "the request of a caller that disconnects is cancelled")
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

// Guards against a connection that the daemon closed and that its log puts down to the caller.
TEST_CASE_FIXTURE(GatewayFixture, "a closed connection is told with its cause, and by whom")
{
    for (size_t i = 0; i < static_cast<size_t>(CloseCause::Count); ++i) {
        const CloseCause cause = static_cast<CloseCause>(i);
        const CallerId caller = request(Model);
        head(lastSent().attempt, 200, true);
        events(lastSent().attempt, 1, 2);
        gateway.onCallerGone({caller, cause}, now);
        drainActions();
        const boost::json::object &line = log.lines.back();
        CHECK(line.at("event").as_string() == "caller_gone");
        CHECK(line.at("cause").as_string() == toText(cause));
        CHECK(line.at("closed_by").as_string() == (isByClient(cause) ? "caller" : "gateway"));
        CHECK(line.at("phase").as_string() == "streaming");
        CHECK(line.at("events").to_number<uint64_t>() == 2);
        CHECK(line.at("attempt").to_number<uint64_t>() == lastSent().attempt.value);
        CHECK(gateway.counters().of(cause) == 1);
        const std::string counter
            = std::string("connections_closed_total{cause=\"") + toText(cause) + "\"} 1";
        CHECK(prometheusText(gateway.counters()).find(counter) != std::string::npos);
    }
}

// Guards against a last line of a request that an endpoint ran which is thinned out like a refusal's.
TEST_CASE_FIXTURE(GatewayFixture, "the last line of a lost request has its own priority")
{
    const CallerId byCaller = request(Order);
    gateway.onCallerGone({byCaller, CloseCause::ClientReset}, now);
    CHECK(log.priorityOf("caller_gone") == LogPriority::Ordinary);
    const CallerId byGateway = request(Order);
    gateway.onCallerGone({byGateway, CloseCause::GaveWay}, now);
    CHECK(log.priorityOf("caller_gone") == LogPriority::Lost);

    request(PlainStream);
    const AttemptId stream = lastSent().attempt;
    head(stream, 200, true);
    events(stream, 1, 1);
    broken(stream);
    CHECK(log.priorityOf("stream_broken") == LogPriority::Lost);

    request(Order);
    broken(lastSent().attempt);
    CHECK(log.lines.back().at("status").to_number<int>() == 502);
    CHECK(log.priorityOf("refused") == LogPriority::Lost);

    const CallerId unknown = request("/nowhere/1");
    CHECK(statusOf(unknown) == 404);
    CHECK(log.priorityOf("refused") == LogPriority::Failure);

    for (int i = 0; i < 4; ++i)
        request(Order);
    const CallerId waiting = request(Order);
    gateway.onCallerGone({waiting, CloseCause::MadeRoom}, now);
    CHECK(log.priorityOf("caller_gone") == LogPriority::Ordinary);
}

TEST_CASE_FIXTURE(GatewayFixture, "a leaving endpoint gets no new requests")
{
    endpoints[3].leaving = true;
    listEndpoints();
    for (int i = 0; i < 3; ++i)
        request(Order);
    REQUIRE(sent.size() == 2);
    CHECK(sent[0].endpoint.value == "p2");
    CHECK(sent[1].endpoint.value == "p2");
    // An outdated entry without the leaving flag does not make it available again.
    endpoints[3].leaving = false;
    listEndpoints();
    CHECK(sent.size() == 2);
}

TEST_CASE_FIXTURE(
    GatewayFixture,
    "endpoints whose entries expired in a store outage are used until they had time to register again")
{
    // The store was unreachable, and its endpoint list is empty afterwards, since all entries expired in the
    // meantime. The endpoints still run and are used for about two seconds; those still missing then are
    // removed.
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

TEST_CASE_FIXTURE(GatewayFixture,
                  "an endpoint missing from the list is removed at once if the store was reachable")
{
    endpoints.erase(endpoints.begin() + 3);
    listEndpoints();
    request(Order);
    CHECK(lastSent().endpoint.value == "p2");
}

TEST_CASE_FIXTURE(GatewayFixture, "the final response is sent when the route's timeout ends")
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

TEST_CASE_FIXTURE(GatewayFixture, "a request that cannot meet its deadline is refused at once")
{
    // Responses take 1 s, four requests are served in parallel, and callers wait 1.5 s. The fifth to tenth
    // request can still be served; those behind them are refused at once with Retry-After, not at their
    // deadline.
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

TEST_CASE_FIXTURE(GatewayFixture, "requests may time out in the same tick")
{
    // A stream and a queued call time out in the same tick in which the configuration gets too old. The end
    // of the stream processes the queue, which refuses the call; then the call's own timeout is processed.
    // Guards against access to an exchange that is already finished.
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

TEST_CASE_FIXTURE(GatewayFixture, "a queued request is refused when the last endpoint leaves")
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

TEST_CASE_FIXTURE(GatewayFixture,
                  "a leaving daemon continues to serve, but starts no stream that it could not finish")
{
    // The daemon is asked to stop. New requests are still served, streams as long as the newest ones were
    // short. Three seconds later a new stream is refused with 503 and a short Retry-After, since its caller
    // uses an outdated entry answer.
    for (int i = 0; i < 8; ++i) {
        request(Model);
        head(lastSent().attempt, 200, true);
        events(lastSent().attempt, 1, 2);
        end(lastSent().attempt);
    }
    sent.clear();
    gateway.startLeaving(now, DurationMs{8000});
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

TEST_CASE_FIXTURE(GatewayFixture, "a leaving daemon accepts no call that its exit could cut off")
{
    // A caller with an outdated entry answer connects shortly before the process exits. Its non-idempotent
    // call would be sent and cut off, with an unknown outcome. If it is refused, the caller retries at
    // another daemon.
    gateway.startLeaving(now, DurationMs{8000});
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
                  "requests with a shared prompt go to one endpoint, and to others when it is busy")
{
    CallerRequest shared = makeRequest(Model);
    shared.promptTokens = 17000;
    shared.parts = {{"manual", 13000}, {"own", 4000}};
    request(shared);
    const EndpointId preferred = lastSent().endpoint;
    for (int i = 0; i < 2; ++i) {
        shared.id = "next-" + std::to_string(i);
        request(shared);
        CHECK(lastSent().endpoint == preferred);
    }
    bool spilled = false;
    for (int i = 0; i < 10; ++i) {
        shared.id = "more-" + std::to_string(i);
        shared.parts.back().id = "own-" + std::to_string(i);
        request(shared);
        spilled = spilled || lastSent().endpoint != preferred;
    }
    CHECK(spilled);
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "a shared prompt leaves its preferred endpoint for a lasting queue, not for a short one")
{
    // Another daemon has just sent a large prompt to the engine that caches a shared part. The engine
    // finishes its prefill before the next report. The part moves to another engine only if the queue lasts,
    // since that costs a second prefill.
    CallerRequest shared = makeRequest(Model);
    shared.promptTokens = 14000;
    shared.parts = {{"manual", 13000}, {"own", 1000}};
    request(shared);
    const EndpointId preferred = lastSent().endpoint;
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 1, 1);
    gateway.onMembers({{{"entry-2"}, {2}, {"south"}, {}, {}}}, now);
    pass({200});
    PeerReport report;
    report.incarnation.value = 2;
    report.loads = {{{preferred, {}}, 1, 20'000}};
    report.sequence = 1;
    gateway.onPeerReport(report, now);
    pass({25});
    shared.id = "second";
    request(shared);
    CHECK(lastSent().endpoint == preferred);
    for (int i = 0; i < 5; ++i) {
        ++report.sequence;
        gateway.onPeerReport(report, now);
        pass({200});
    }
    shared.id = "third";
    request(shared);
    CHECK(lastSent().endpoint != preferred);
}

TEST_CASE_FIXTURE(GatewayFixture, "a silent engine gets no new requests, and resumable streams leave it")
{
    // An engine stops sending in the middle of its streams, without a TCP reset, and accepts no connections.
    // A resumable stream continues from another engine after a pause; one that can't be resumed waits, since
    // the engine may come back.
    const CallerId resumable = request(Model);
    const EndpointId silent = lastSent().endpoint;
    for (const EndpointEntry &entry : endpoints)
        pathOutcomes[entry.id] = entry.id == silent ? ConnectFailure::TimedOut : ConnectFailure::None;
    const AttemptId first = lastSent().attempt;
    head(first, 200, true);
    events(first, 1, 2);
    CallerId fixed;
    AttemptId fixedAttempt;
    while (fixedAttempt.value == 0) {
        fixed = request(PlainStream);
        if (lastSent().endpoint == silent)
            fixedAttempt = lastSent().attempt;
    }
    head(fixedAttempt, 200, true);
    events(fixedAttempt, 1, 1);
    const size_t before = sent.size();
    pass({600});
    CHECK(sent.size() == before);
    pass({200});
    REQUIRE(sent.size() == before + 1);
    CHECK(lastSent().endpoint != silent);
    CHECK(lastSent().resumeAfter == 2);
    CHECK_FALSE(streamEnds.contains(fixed));
    for (int i = 0; i < 6; ++i) {
        request(Model);
        CHECK(lastSent().endpoint != silent);
    }
    events(fixedAttempt, 2, 2);
    end(fixedAttempt);
    CHECK(streamEnds[fixed]);
    CHECK_FALSE(streamEnds.contains(resumable));
}

TEST_CASE_FIXTURE(GatewayFixture, "a stream at a pausing engine is not cut when the retry budget is used up")
{
    // Engines are overloaded: events arrive a second apart, and the retry budget is used up. A stream that
    // left its engine would end at once, although its remaining events are still to come.
    GatewaySettings none;
    none.retryLimits = {0, 0, {10000}};
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

TEST_CASE_FIXTURE(GatewayFixture, "a standby daemon next to a single serving one has no share of the retries")
{
    // One daemon serves, and this standby daemon has a single caller. If both used the whole slack, a failing
    // service would get twice the allowed retries.
    gateway.onMembers({{{"entry-1"}, {1}, {"north"}, {}, {"10.0.0.1", 90}, 1, false},
                       {{"entry-2"}, {2}, {"south"}, {}, {"10.0.0.2", 90}, 1, true}},
                      now);
    pass({12000});
    storeReachable = false; // No retries can be drawn from the pool.
    request(Model);
    broken(lastSent().attempt);
    pass({500});
    CHECK(gateway.counters().of(GatewayRetry::Broken) == 0);
    CHECK(gateway.counters().of(GatewayCount::RetriesDenied) == 1);
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "a daemon does not take its engines for silent after a pause of its own process")
{
    // The instance is suspended for three seconds. The engines' events wait in its socket buffers and are
    // read only after the first tick. Streams must not be resumed elsewhere because of that.
    request(Model);
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 1, 2);
    pass({100});
    now = now + DurationMs{3000};
    pass({300});
    CHECK(sent.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "serving daemons share the retries, standby daemons get none")
{
    // 9 of 40 daemons have all the callers. With equal shares for all 40, most streams of a reclaimed failure
    // domain would be cut although most of the total budget is unused.
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
    pass({12000});
    storeReachable = false; // No retries can be drawn from the pool.
    for (int i = 0; i < 10; ++i) {
        request(Model);
        broken(lastSent().attempt);
    }
    // 0.45 x 40 / 9 daemons
    CHECK(gateway.counters().of(GatewayRetry::Broken) == 2);
    members[0].cores = 0.1;
    members[0].serving = false;
    gateway.onMembers(members, now);
    CHECK(gateway.callerAddresses({members[0].callerAddress, 0.1}, 0, now).addresses.size() == 8);
    pass({500});
    for (int i = 0; i < 10; ++i) {
        request(Model);
        broken(lastSent().attempt);
    }
    CHECK(gateway.counters().of(GatewayRetry::Broken) == 2);
}

TEST_CASE_FIXTURE(GatewayFixture, "a refused late request does not delay those behind it")
{
    // All engines are busy. A large request whose prefill alone exceeds its deadline is refused. A late
    // request behind it still has seconds left. Guards against counting the large request as ahead of it,
    // which refused it together with the large one although an engine became free soon after.
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
    const CallerId tooLarge = request(large);
    pass({25});
    CHECK(statusOf(tooLarge) == 503);
    CHECK(statusOf(small) == 0);
    head(sent[0].attempt, 200, true);
    events(sent[0].attempt, 1, 34);
    end(sent[0].attempt);
    pass({25});
    REQUIRE(sent.size() == 4);
    CHECK(lastSent().request->path == "/draft/1");
}

// Guards against keys that nobody checks any more after the last one was taken away.
TEST_CASE("a configuration that names nobody accepts no key, one without the field asks for none")
{
    GatewayFixture fixture;
    std::shared_ptr<ServingConfiguration> nobody = fixture.makeConfiguration(2);
    nobody->organisations.clear();
    nobody->namesOrganisations = true;
    nobody->index();
    fixture.configure(nobody);
    CHECK(fixture.statusOf(fixture.request("/lookup/a", "key-a")) == 401);
    CHECK(fixture.statusOf(fixture.request("/lookup/a", "never-held")) == 401);
    CHECK(fixture.log.count("keys_not_required") == 0);
    std::shared_ptr<ServingConfiguration> open = fixture.makeConfiguration(3);
    open->organisations.clear();
    open->namesOrganisations = false;
    open->index();
    fixture.configure(open);
    const size_t before = fixture.sent.size();
    fixture.request("/lookup/a", "never-held");
    CHECK(fixture.sent.size() == before + 1);
    CHECK(fixture.log.count("keys_not_required") == 1);
}
