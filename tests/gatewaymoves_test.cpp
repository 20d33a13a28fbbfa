#include "gatewayfixture.h"

using namespace cranberry;

namespace {

constexpr const char *Model = "/review/1";
constexpr const char *PlainStream = "/draft/1";

/// A stream in full flow on an engine whose failure domain is taken back in two seconds.
struct LeavingStream {
    CallerId caller;
    AttemptId attempt;
    EndpointId source;
};

LeavingStream startLeavingStream(GatewayFixture &fixture, const std::string &path)
{
    fixture.configuration->services[0].engine->movesRuns = true;
    CallerRequest request = fixture.makeRequest(path);
    request.outputTokens = 300;
    LeavingStream out;
    out.caller = fixture.request(request);
    out.attempt = fixture.lastSent().attempt;
    out.source = fixture.lastSent().endpoint;
    fixture.head(out.attempt, 200, true);
    fixture.events(out.attempt, 1, 1);
    fixture.pass({100});
    fixture.events(out.attempt, 2, 3);
    for (EndpointEntry &entry : fixture.endpoints) {
        if (entry.id == out.source) {
            entry.leaving = true;
            entry.leavesAfter = DurationMs{2000};
        }
    }
    fixture.listEndpoints();
    fixture.pass({25});
    return out;
}

} // namespace

TEST_CASE_FIXTURE(GatewayFixture, "a stream that can't be resumed survives the reclaim of its engine")
{
    // The engine's failure domain is taken back; the stream would last longer than the notice. Its run is
    // stopped and its memory copied to another engine, where the same run goes on. The caller sees one whole
    // stream.
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].attempt == stream.attempt);
    events(stream.attempt, 4, 4);
    broken(stream.attempt);
    CHECK_FALSE(streamEnds.contains(stream.caller));
    gateway.onRunMoved({stream.attempt, MoveOutcome::Moved, "h1"}, now);
    drainActions();
    REQUIRE(sent.size() == 2);
    CHECK(lastSent().endpoint != stream.source);
    CHECK(lastSent().resumeAfter == 4);
    REQUIRE(lastSent().memory);
    CHECK(lastSent().memory->handle == "h1");
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 5, 100);
    end(lastSent().attempt);
    CHECK(streamEnds[stream.caller]);
}

TEST_CASE_FIXTURE(GatewayFixture, "requests that were refused still allow streams to be moved")
{
    // The store was away, and all keys were refused for seconds. Then an engine with many streams is
    // reclaimed. What may be sent again is measured by what callers sent; if only served requests counted,
    // most of the streams would be cut.
    configuration->services[0].engine->movesRuns = true;
    GatewaySettings bounds;
    bounds.repeats = {0.2, 8, {10000}};
    gateway.applyBounds(bounds);
    storeReachable = false;
    pass({5000});
    for (int i = 0; i < 400; ++i)
        request(Model);
    storeReachable = true;
    pass({1000});
    std::vector<AttemptId> attempts;
    for (int i = 0; i < 180; ++i) {
        request(PlainStream);
        attempts.push_back(lastSent().attempt);
        head(attempts.back(), 200, true);
        events(attempts.back(), 1, 1);
    }
    const EndpointId source = lastSent().endpoint;
    size_t running = 0;
    for (const SendAttempt &attempt : sent)
        running += attempt.endpoint == source ? 1 : 0;
    for (EndpointEntry &entry : endpoints) {
        if (entry.id == source) {
            entry.leaving = true;
            entry.leavesAfter = DurationMs{2000};
        }
    }
    listEndpoints();
    pass({200});
    CHECK(running >= 50);
    CHECK(moves.size() == running);
}

TEST_CASE_FIXTURE(GatewayFixture, "the last events of a moved run may come after its memory has arrived")
{
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    gateway.onRunMoved({stream.attempt, MoveOutcome::Moved, "h1"}, now);
    drainActions();
    CHECK(sent.size() == 1);
    events(stream.attempt, 4, 6);
    broken(stream.attempt);
    REQUIRE(sent.size() == 2);
    CHECK(lastSent().resumeAfter == 6);
}

TEST_CASE_FIXTURE(GatewayFixture, "a move without reply loses a stream that has stopped, and no other")
{
    // The reply to the move is lost. If the stream goes on, nothing has happened. If it has ended, the run
    // has stopped and its memory can't be named: the caller sees a broken stream, and nothing runs twice.
    const LeavingStream going = startLeavingStream(*this, PlainStream);
    gateway.onRunMoved({going.attempt, MoveOutcome::NoReply, {}}, now);
    events(going.attempt, 4, 5);
    CHECK(streamed[going.caller].find("id: 5") != std::string::npos);
    CHECK_FALSE(streamEnds.contains(going.caller));
    pass({25});
    REQUIRE(moves.size() == 2);
    broken(going.attempt);
    gateway.onRunMoved({going.attempt, MoveOutcome::NoReply, {}}, now);
    drainActions();
    REQUIRE(streamEnds.contains(going.caller));
    CHECK_FALSE(streamEnds[going.caller]);
    CHECK(sent.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "a reclaim during an outage of the store is learned from the engine")
{
    // The store is down when a failure domain gets its notice, so the list stays as it was. The stream's
    // engine is asked for its state, says that it leaves, and the stream is moved in time.
    configuration->services[0].engine->movesRuns = true;
    CallerRequest request = makeRequest(PlainStream);
    request.outputTokens = 600;
    this->request(request);
    const AttemptId attempt = lastSent().attempt;
    head(attempt, 200, true);
    uint64_t id = 1;
    storeReachable = false;
    for (int i = 0; i < 40; ++i, ++id) {
        events(attempt, id, id);
        pass({50});
    }
    REQUIRE(!probes.empty());
    CHECK(probes[0].endpoint == lastSent().endpoint);
    CHECK(moves.empty());
    gateway.onEngineProbed({lastSent().endpoint, {}, true, true, DurationMs{1500}}, now);
    events(attempt, id, id);
    pass({25});
    CHECK(moves.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "a resumable request that waits at a leaving engine is sent elsewhere in time")
{
    // The engine's queue is long, its notice short. A request that can be resumed leaves before the engine
    // does; one that can't may just have begun, and stays.
    const CallerId resumable = request(Model);
    const EndpointId first = lastSent().endpoint;
    for (EndpointEntry &entry : endpoints) {
        entry.leaving = entry.leaving || entry.id == first;
        entry.leavesAfter = DurationMs{2500};
    }
    listEndpoints();
    pass({1000});
    CHECK(sent.size() == 1);
    pass({700});
    REQUIRE(sent.size() == 2);
    CHECK(lastSent().endpoint != first);
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 1, 2);
    end(lastSent().attempt);
    CHECK(streamEnds[resumable]);
}

TEST_CASE_FIXTURE(GatewayFixture, "a move that finds no room tries another engine")
{
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    gateway.onRunMoved({stream.attempt, MoveOutcome::NoRoom, "h1"}, now);
    events(stream.attempt, 4, 4);
    pass({25});
    REQUIRE(moves.size() == 2);
    CHECK(moves[1].target != moves[0].target);
}

TEST_CASE_FIXTURE(GatewayFixture, "a moved run that its target does not take is not run anew")
{
    // The run was stopped and its memory copied. At the target's address another instance answers that it did
    // not run the request. But the request has run, at the source: sent to a third engine it would run twice.
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    broken(stream.attempt);
    gateway.onRunMoved({stream.attempt, MoveOutcome::Moved, "h1"}, now);
    drainActions();
    REQUIRE(sent.size() == 2);
    AttemptHead head;
    head.attempt = lastSent().attempt;
    head.status = 421;
    head.wrongInstance = true;
    gateway.onHead(head, now);
    drainActions();
    CHECK(sent.size() == 2);
    REQUIRE(streamEnds.contains(stream.caller));
    CHECK_FALSE(streamEnds[stream.caller]);
}

TEST_CASE_FIXTURE(GatewayFixture, "a stream that ends in time stays where it is")
{
    // Four events are left at 20 ms each; the engine serves for two seconds more.
    configuration->services[0].engine->movesRuns = true;
    CallerRequest request = makeRequest(PlainStream);
    request.outputTokens = 30;
    this->request(request);
    head(lastSent().attempt, 200, true);
    for (uint64_t id = 1; id <= 6; ++id) {
        events(lastSent().attempt, id, id);
        pass({25});
    }
    for (EndpointEntry &entry : endpoints)
        entry.leaving = entry.leaving || entry.id == lastSent().endpoint;
    listEndpoints();
    pass({100});
    CHECK(moves.empty());
}
