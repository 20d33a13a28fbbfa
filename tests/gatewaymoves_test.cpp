#include "gatewayfixture.h"

using namespace cranberry;

namespace {

constexpr const char *Model = "/review/1";
constexpr const char *PlainStream = "/draft/1";

/// A stream in progress on an engine whose failure domain is reclaimed in two seconds.
struct LeavingStream {
    CallerId caller;
    AttemptId attempt;
    EndpointId source;
};

LeavingStream startLeavingStream(GatewayFixture &fixture, const std::string &path)
{
    fixture.configuration->services[0].engine->migratesGenerations = true;
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
    // The failure domain is reclaimed before the stream would end. The generation is stopped, its KV cache is
    // copied to another engine, and the generation continues there. The caller receives one complete stream.
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].attempt == stream.attempt);
    events(stream.attempt, 4, 4);
    broken(stream.attempt);
    CHECK_FALSE(streamEnds.contains(stream.caller));
    gateway.onGenerationMigrated({stream.attempt, MigrationOutcome::Migrated, "h1"}, now);
    drainActions();
    REQUIRE(sent.size() == 2);
    CHECK(lastSent().endpoint != stream.source);
    CHECK(lastSent().resumeAfter == 4);
    REQUIRE(lastSent().migratedKvCache);
    CHECK(lastSent().migratedKvCache->handle == "h1");
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 5, 100);
    end(lastSent().attempt);
    CHECK(streamEnds[stream.caller]);
}

TEST_CASE_FIXTURE(GatewayFixture, "refused requests still count towards the retry budget for migrations")
{
    // The store was unreachable and all keys were refused for seconds; then an engine with many streams is
    // reclaimed. The retry budget is based on the requests received: if only served requests counted, most of
    // the streams would be cut off.
    configuration->services[0].engine->migratesGenerations = true;
    GatewaySettings bounds;
    bounds.retryLimits = {0.2, 8, {10000}};
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

TEST_CASE_FIXTURE(GatewayFixture, "the last events of a migrated generation may arrive after its KV cache")
{
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    gateway.onGenerationMigrated({stream.attempt, MigrationOutcome::Migrated, "h1"}, now);
    drainActions();
    CHECK(sent.size() == 1);
    events(stream.attempt, 4, 6);
    broken(stream.attempt);
    REQUIRE(sent.size() == 2);
    CHECK(lastSent().resumeAfter == 6);
}

TEST_CASE_FIXTURE(GatewayFixture, "a migration without reply loses only a stream that has stopped")
{
    // The reply to the migration is lost. If the stream continues, nothing has happened. If it has ended, the
    // generation has stopped and its KV cache cannot be located: the caller receives a broken stream, and the
    // request does not run twice.
    const LeavingStream going = startLeavingStream(*this, PlainStream);
    gateway.onGenerationMigrated({going.attempt, MigrationOutcome::NoReply, {}}, now);
    events(going.attempt, 4, 5);
    CHECK(streamed[going.caller].find("id: 5") != std::string::npos);
    CHECK_FALSE(streamEnds.contains(going.caller));
    pass({25});
    REQUIRE(moves.size() == 2);
    broken(going.attempt);
    gateway.onGenerationMigrated({going.attempt, MigrationOutcome::NoReply, {}}, now);
    drainActions();
    REQUIRE(streamEnds.contains(going.caller));
    CHECK_FALSE(streamEnds[going.caller]);
    CHECK(sent.size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "a reclaim during an outage of the store is learned from the engine")
{
    // The store is down when the reclaim notice arrives, so the endpoint list does not change. The engine of
    // the stream is probed, reports that it leaves, and the stream is migrated in time.
    configuration->services[0].engine->migratesGenerations = true;
    serveForWindow();
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
    // The engine has a long queue and a short notice. A resumable request is sent elsewhere before the engine
    // leaves; a request that cannot be resumed may just have started, and stays.
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

TEST_CASE_FIXTURE(GatewayFixture, "a migration rejected for lack of capacity tries another engine")
{
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    gateway.onGenerationMigrated({stream.attempt, MigrationOutcome::NoCapacity, "h1"}, now);
    events(stream.attempt, 4, 4);
    pass({25});
    REQUIRE(moves.size() == 2);
    CHECK(moves[1].target != moves[0].target);
}

TEST_CASE_FIXTURE(GatewayFixture, "a migrated generation rejected by its target is not started again")
{
    // The generation was stopped and its KV cache copied. At the address of the target another instance
    // answers that it did not run the request. But the request has run at the source: sent to a third engine,
    // it would run twice.
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    broken(stream.attempt);
    gateway.onGenerationMigrated({stream.attempt, MigrationOutcome::Migrated, "h1"}, now);
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

TEST_CASE_FIXTURE(GatewayFixture, "a stream that ends before its engine leaves is not migrated")
{
    // Four events remain at 20 ms each; the engine serves for two more seconds.
    configuration->services[0].engine->migratesGenerations = true;
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

// Guards against a stream that is lost although its source, stopped for a move that found no room, still
// holds it.
TEST_CASE_FIXTURE(GatewayFixture, "a generation that was stopped for a failed move goes on at its source")
{
    GatewaySettings bounds;
    bounds.retryLimits = {0.2, 8, {10000}};
    gateway.applyBounds(bounds);
    serveForWindow();
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    broken(stream.attempt);
    SUBCASE("its target had no room")
    {
        gateway.onGenerationMigrated({stream.attempt, MigrationOutcome::NoCapacity, "h1"}, now);
        drainActions();
    }
    SUBCASE("its target refuses the handle")
    {
        gateway.onGenerationMigrated({stream.attempt, MigrationOutcome::Migrated, "h1"}, now);
        drainActions();
        AttemptHead refusal;
        refusal.attempt = lastSent().attempt;
        refusal.status = 503;
        refusal.notExecuted = true;
        gateway.onHead(refusal, now);
        drainActions();
    }
    CHECK(lastSent().endpoint == stream.source);
    REQUIRE(lastSent().migratedKvCache);
    CHECK(lastSent().migratedKvCache->handle == "h1");
    CHECK(lastSent().resumeAfter == 3);
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 4, 100);
    end(lastSent().attempt);
    CHECK(streamEnds[stream.caller]);
}

// Guards against a request that reaches an engine that has restarted or whose time is over.
TEST_CASE_FIXTURE(GatewayFixture, "a stopped generation does not return to a source that is about to exit")
{
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    broken(stream.attempt);
    pass({1900});
    gateway.onGenerationMigrated({stream.attempt, MigrationOutcome::NoCapacity, "h1"}, now);
    drainActions();
    CHECK(sent.size() == 1);
    REQUIRE(streamEnds.contains(stream.caller));
    CHECK_FALSE(streamEnds[stream.caller]);
}
