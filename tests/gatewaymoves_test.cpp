#include "gatewayfixture.h"

#include <algorithm>

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

/// Replies that the copy is at the target, upon which the generation is asked to stop.
void copyAndStop(GatewayFixture &fixture)
{
    REQUIRE(fixture.moves.back().step == MigrationStep::Copy);
    fixture.replyToMove(MigrationOutcome::Migrated, "h1");
    REQUIRE(fixture.moves.back().step == MigrationStep::Stop);
}

/// Checks that the stream was continued at that engine from the copy, and lets it end there.
void checkContinued(GatewayFixture &fixture, const LeavingStream &stream, const EndpointId &at,
                    uint64_t after)
{
    const SendAttempt next = fixture.lastSent();
    CHECK(next.endpoint == at);
    CHECK(next.resumeAfter == after);
    REQUIRE(next.migratedKvCache);
    CHECK(next.migratedKvCache->handle == "h1");
    fixture.head(next.attempt, 200, true);
    fixture.events(next.attempt, after + 1, 100);
    fixture.end(next.attempt);
    REQUIRE(fixture.streamEnds.contains(stream.caller));
    CHECK(fixture.streamEnds[stream.caller]);
}

/// The engine of the newest attempt says that it did not run it.
void rejectLast(GatewayFixture &fixture, int status)
{
    AttemptHead head;
    head.attempt = fixture.lastSent().attempt;
    head.status = status;
    head.wrongInstance = status == 421;
    head.notExecuted = status != 421;
    fixture.gateway.onHead(head, fixture.now);
    fixture.drainActions();
}

} // namespace

TEST_CASE_FIXTURE(GatewayFixture, "a stream that can't be resumed survives the reclaim of its engine")
{
    // The failure domain is reclaimed before the stream would end. Its KV cache is copied to another engine,
    // the generation is stopped, and continues there. The caller receives one complete stream.
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].attempt == stream.attempt);
    copyAndStop(*this);
    REQUIRE(moves.size() == 2);
    events(stream.attempt, 4, 4);
    broken(stream.attempt);
    CHECK_FALSE(streamEnds.contains(stream.caller));
    replyToMove(MigrationOutcome::Migrated, "h1");
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
    copyAndStop(*this);
    replyToMove(MigrationOutcome::Migrated, "h1");
    CHECK(sent.size() == 1);
    events(stream.attempt, 4, 6);
    broken(stream.attempt);
    REQUIRE(sent.size() == 2);
    CHECK(lastSent().resumeAfter == 6);
}

// Guards against a stream that was stopped for a move and is lost with the reply that names its memory.
TEST_CASE_FIXTURE(GatewayFixture, "a generation is not asked to stop before its copy can be named")
{
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    MigrationOutcome outcome = MigrationOutcome::NoReply;
    SUBCASE("no reply") { }
    SUBCASE("the engine is not reached")
    {
        outcome = MigrationOutcome::Unreached;
    }
    SUBCASE("an earlier call is in progress")
    {
        outcome = MigrationOutcome::Refused;
    }
    for (uint64_t id = 4; id <= 90; ++id) {
        events(stream.attempt, id, id);
        pass({25});
        if (id % 8 == 0)
            replyToMove(outcome);
    }
    CHECK(moves.size() > 4);
    CHECK(std::all_of(moves.begin(), moves.end(),
                      [](const MigrateGeneration &move) { return move.step == MigrationStep::Copy; }));
    end(stream.attempt);
    REQUIRE(streamEnds.contains(stream.caller));
    CHECK(streamEnds[stream.caller]);
    CHECK(sent.size() == 1);
}

// Guards against a stream that waits for a reply that is late or lost, although its copy is known.
TEST_CASE_FIXTURE(GatewayFixture, "a stopped generation goes on from its copy without a reply")
{
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    copyAndStop(*this);
    const EndpointId target = sent.front().endpoint == endpoints[0].id ? endpoints[1].id : endpoints[0].id;
    SUBCASE("the source closes the stream")
    {
        broken(stream.attempt);
    }
    SUBCASE("the reply is lost, and the source closes the stream later")
    {
        replyToMove(MigrationOutcome::NoReply);
        events(stream.attempt, 4, 4);
        pass({300});
        broken(stream.attempt);
    }
    SUBCASE("a call is in progress")
    {
        broken(stream.attempt);
        replyToMove(MigrationOutcome::Refused);
    }
    CHECK(sent.size() == 1);
    CHECK_FALSE(streamEnds.contains(stream.caller));
    pass({200});
    REQUIRE(sent.size() == 2);
    CHECK(moves.front().target == moves.back().target);
    CHECK(gateway.counters().of(GatewayCount::MovesWithoutReply) == 1);
    checkContinued(*this, stream, lastSent().endpoint, *lastSent().resumeAfter);
    CHECK(lastSent().endpoint != stream.source);
    CHECK((lastSent().endpoint == target || lastSent().endpoint == endpoints[2].id));
}

// Guards against a reply that is lost once: the engine is asked again, and names the copy.
TEST_CASE_FIXTURE(GatewayFixture, "a call to an engine whose reply is lost is made again")
{
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    pass({450});
    REQUIRE(moves.size() == 2);
    CHECK(moves[1].step == MigrationStep::Copy);
    CHECK(moves[1].target == moves[0].target);
    SUBCASE("the second call is answered")
    {
        replyToMove(MigrationOutcome::Migrated, "h1");
        REQUIRE(moves.size() == 3);
    }
    SUBCASE("the first one is answered late, and the second one not at all")
    {
        replyTo(MigrateGeneration(moves[0]), MigrationOutcome::Migrated, "h1");
        REQUIRE(moves.size() == 3);
        replyTo(MigrateGeneration(moves[1]), MigrationOutcome::NoReply);
    }
    SUBCASE("both are answered")
    {
        replyTo(MigrateGeneration(moves[1]), MigrationOutcome::Migrated, "h1");
        replyTo(MigrateGeneration(moves[0]), MigrationOutcome::Migrated, "h1");
        REQUIRE(moves.size() == 3);
    }
    CHECK(moves[2].step == MigrationStep::Stop);
    replyToMove(MigrationOutcome::Migrated, "h1", 3);
    broken(stream.attempt);
    REQUIRE(sent.size() == 2);
    checkContinued(*this, stream, lastSent().endpoint, 3);
}

// Guards against a copy behind others that is given up and begun anew at target after target.
TEST_CASE_FIXTURE(GatewayFixture,
                  "a copy that takes long is waited for while the engine says that it is made")
{
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    CHECK(moves.front().timeout.count >= 1200);
    const size_t first = moves.size();
    for (uint64_t id = 4; id < 12; ++id) {
        pass({425});
        replyToMove(MigrationOutcome::Refused);
        events(stream.attempt, id, id);
    }
    CHECK(moves.size() == first + 8);
    for (const MigrateGeneration &move : moves)
        CHECK(move.target == moves.front().target);
    replyTo(MigrateGeneration(moves.front()), MigrationOutcome::Migrated, "h1");
    CHECK(moves.back().step == MigrationStep::Stop);
}

// Guards against a stream that is lost although the reply with the handle of its copy is under way.
TEST_CASE_FIXTURE(GatewayFixture, "a stream that breaks off while its copy is made goes on from the copy")
{
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    broken(stream.attempt);
    CHECK_FALSE(streamEnds.contains(stream.caller));
    pass({25});
    SUBCASE("the reply comes, and its engine is gone")
    {
        replyToMove(MigrationOutcome::Migrated, "h1", 3);
        pass({200});
        REQUIRE(sent.size() == 2);
        checkContinued(*this, stream, lastSent().endpoint, 3);
    }
    SUBCASE("the reply comes, and its engine stops it")
    {
        replyToMove(MigrationOutcome::Migrated, "h1", 3);
        replyToMove(MigrationOutcome::Migrated, "h1", 3);
        REQUIRE(sent.size() == 2);
        checkContinued(*this, stream, lastSent().endpoint, 3);
    }
    SUBCASE("there is no room")
    {
        replyToMove(MigrationOutcome::NoCapacity);
        pass({25});
        REQUIRE(streamEnds.contains(stream.caller));
        CHECK_FALSE(streamEnds[stream.caller]);
    }
    SUBCASE("the reply does not come")
    {
        pass({200});
        REQUIRE(streamEnds.contains(stream.caller));
        CHECK_FALSE(streamEnds[stream.caller]);
    }
}

// Guards against a stream that waits for its deadline at an engine that sends nothing more, its copy known.
TEST_CASE("a generation whose engine is gone or not reached when asked to stop goes on from its copy")
{
    enum class Silence : uint8_t { Unreached, Refused, Unlisted, Replaced, EndMissing };
    for (const char *path : {Model, PlainStream}) {
        for (const Silence silence : {Silence::Unreached, Silence::Refused, Silence::Unlisted,
                                      Silence::Replaced, Silence::EndMissing}) {
            CAPTURE(path);
            CAPTURE(static_cast<int>(silence));
            GatewayFixture fixture;
            fixture.serveForWindow();
            const LeavingStream stream = startLeavingStream(fixture, path);
            copyAndStop(fixture);
            if (silence == Silence::EndMissing)
                fixture.replyToMove(MigrationOutcome::NoSuchGeneration);
            if (silence == Silence::Unreached || silence == Silence::Unlisted)
                fixture.pathOutcomes[stream.source] = ConnectFailure::TimedOut;
            if (silence == Silence::Refused)
                fixture.pathOutcomes[stream.source] = ConnectFailure::Refused;
            if (silence == Silence::Replaced) {
                for (EndpointEntry &each : fixture.endpoints)
                    each.start.unixMs = each.id == stream.source ? 1000 : 0;
                fixture.listEndpoints();
            }
            if (silence == Silence::Unlisted) {
                std::erase_if(fixture.endpoints,
                              [&](const EndpointEntry &each) { return each.id == stream.source; });
                fixture.listEndpoints();
            }
            fixture.pass({4000});
            REQUIRE(fixture.sent.size() == 2);
            checkContinued(fixture, stream, fixture.lastSent().endpoint, 3);
        }
    }
}

// Guards against a stream that waits for a reply that nobody will give.
TEST_CASE_FIXTURE(GatewayFixture, "a stream whose engine was never asked to stop ends by itself")
{
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    copyAndStop(*this);
    replyToMove(MigrationOutcome::Unreached);
    end(stream.attempt);
    REQUIRE(streamEnds.contains(stream.caller));
    CHECK(streamEnds[stream.caller]);
    CHECK(releases.size() == 1);
}

// Guards against a stream with all its events that is broken off at its deadline for want of a reply.
TEST_CASE_FIXTURE(GatewayFixture, "a stream that has its end is complete at its deadline")
{
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    copyAndStop(*this);
    for (uint64_t id = 4; now + DurationMs{25} < TimeMs{100'000} + DurationMs{12'000}; ++id) {
        events(stream.attempt, id, id);
        pass({25});
    }
    replyToMove(MigrationOutcome::NoReply);
    end(stream.attempt);
    pass({100});
    REQUIRE(streamEnds.contains(stream.caller));
    CHECK(streamEnds[stream.caller]);
}

// Guards against an unframed stream that ended by itself and is taken for one that was stopped.
TEST_CASE_FIXTURE(GatewayFixture, "an unframed stream that ends while it is copied is not stopped any more")
{
    configuration->services[0].engine->migratesGenerations = true;
    CallerRequest wanted = makeRequest(PlainStream);
    wanted.outputTokens = 300;
    const CallerId caller = request(wanted);
    const SendAttempt first = lastSent();
    AttemptHead begun;
    begun.attempt = first.attempt;
    begun.status = 200;
    begun.eventStream = true;
    begun.isUnframed = true;
    gateway.onHead(begun, now);
    events(first.attempt, 1, 3);
    for (EndpointEntry &entry : endpoints) {
        entry.leaving = entry.leaving || entry.id == first.endpoint;
        entry.leavesAfter = DurationMs{2000};
    }
    listEndpoints();
    pass({25});
    REQUIRE(moves.size() == 1);
    end(first.attempt);
    CHECK_FALSE(streamEnds.contains(caller));
    replyToMove(MigrationOutcome::Migrated, "h1", 3);
    CHECK(moves.size() == 1);
    CHECK(releases.size() == 1);
    gateway.onEngineProbed({first.endpoint, {}, true, true, DurationMs{1500}, EndpointProcess::Running, true},
                           now);
    drainActions();
    pass({200});
    CHECK(sent.size() == 1);
    REQUIRE(streamEnds.contains(caller));
    CHECK(streamEnds[caller]);
}

// Guards against copies that find no room and use up the retries of streams that could still be moved.
TEST_CASE_FIXTURE(GatewayFixture, "a copy that could not be made costs no retry")
{
    GatewaySettings bounds;
    bounds.retryLimits = {0, 2, {10000}};
    gateway.applyBounds(bounds);
    serveForWindow();
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    REQUIRE(moves.size() == 1);
    replyToMove(MigrationOutcome::NoCapacity);
    pass({50});
    REQUIRE(moves.size() == 2);
    CHECK(moves[1].step == MigrationStep::Copy);
    copyAndStop(*this);
    broken(stream.attempt);
    replyToMove(MigrationOutcome::Migrated, "h1");
    REQUIRE(sent.size() == 2);
    checkContinued(*this, stream, lastSent().endpoint, 3);
}

// Guards against a run that is stopped for a target that has lost its copy.
TEST_CASE_FIXTURE(GatewayFixture, "a generation whose target restarts is copied to another one")
{
    for (EndpointEntry &entry : endpoints)
        entry.start.unixMs = 1000;
    listEndpoints();
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    REQUIRE(moves.size() == 1);
    for (EndpointEntry &entry : endpoints) {
        if (entry.address == moves[0].target)
            ++entry.start.unixMs;
    }
    listEndpoints();
    replyToMove(MigrationOutcome::Migrated, "h1");
    pass({50});
    REQUIRE(moves.size() == 2);
    CHECK(moves[1].step == MigrationStep::Copy);
    CHECK(moves[1].target != moves[0].target);
    CHECK_FALSE(streamEnds.contains(stream.caller));
}

// Guards against a copy that takes memory and a slot of its engine although nobody will continue it.
TEST_CASE_FIXTURE(GatewayFixture, "a copy that nobody continues is freed")
{
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    copyAndStop(*this);
    SUBCASE("the generation had ended, as its engine says")
    {
        replyToMove(MigrationOutcome::NoSuchGeneration);
        end(stream.attempt);
        CHECK(streamEnds[stream.caller]);
    }
    SUBCASE("its stream has its end, and no reply says otherwise")
    {
        end(stream.attempt);
        CHECK_FALSE(streamEnds.contains(stream.caller));
        pass({1250});
        REQUIRE(streamEnds.contains(stream.caller));
        CHECK(streamEnds[stream.caller]);
    }
    SUBCASE("its caller has gone")
    {
        gateway.onCallerGone({stream.caller}, now);
        drainActions();
    }
    CHECK(sent.size() == 1);
    REQUIRE(releases.size() == 1);
    CHECK(releases[0].kvCache.handle == "h1");
    CHECK(releases[0].sourceId == stream.source);
}

// Guards against a stream that is lost when its engine loses it while it is asked to stop.
TEST_CASE_FIXTURE(GatewayFixture, "a generation that its engine does not know any more goes on from its copy")
{
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    copyAndStop(*this);
    replyToMove(MigrationOutcome::NoSuchGeneration);
    broken(stream.attempt);
    REQUIRE(sent.size() == 2);
    checkContinued(*this, stream, lastSent().endpoint, 3);
    CHECK(releases.empty());
}

// Guards against a stream that is resumed elsewhere, with its prompt read again, while its copy arrives.
TEST_CASE_FIXTURE(GatewayFixture, "a stopped generation is not taken for a silent one")
{
    serveForWindow();
    const LeavingStream stream = startLeavingStream(*this, Model);
    copyAndStop(*this);
    pass({900});
    CHECK(sent.size() == 1);
    replyToMove(MigrationOutcome::Migrated, "h1");
    broken(stream.attempt);
    REQUIRE(sent.size() == 2);
    checkContinued(*this, stream, lastSent().endpoint, 3);
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
    replyToMove(MigrationOutcome::NoCapacity);
    events(stream.attempt, 4, 4);
    pass({25});
    REQUIRE(moves.size() == 2);
    CHECK(moves[1].step == MigrationStep::Copy);
    CHECK(moves[1].target != moves[0].target);
}

// Guards against a run that is started a second time, and against one that is lost although its source holds
// it.
TEST_CASE_FIXTURE(
    GatewayFixture,
    "a migrated generation whose target was replaced goes on at its source, and is not started again")
{
    // At the address of the target another instance answers that it did not run the request.
    GatewaySettings bounds;
    bounds.retryLimits = {0.2, 8, {10000}};
    gateway.applyBounds(bounds);
    serveForWindow();
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    copyAndStop(*this);
    broken(stream.attempt);
    replyToMove(MigrationOutcome::Migrated, "h1");
    REQUIRE(sent.size() == 2);
    rejectLast(*this, 421);
    REQUIRE(sent.size() == 3);
    SUBCASE("the source continues it")
    {
        checkContinued(*this, stream, stream.source, 3);
    }
    SUBCASE("the source refuses it as well")
    {
        CHECK(lastSent().endpoint == stream.source);
        rejectLast(*this, 503);
        REQUIRE(streamEnds.contains(stream.caller));
        CHECK_FALSE(streamEnds[stream.caller]);
    }
    CHECK(sent.size() == 3);
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
    copyAndStop(*this);
    broken(stream.attempt);
    SUBCASE("its target had no room for what the copy lacked")
    {
        replyToMove(MigrationOutcome::NoCapacity, "h1");
    }
    SUBCASE("the copy is complete")
    {
        replyToMove(MigrationOutcome::Migrated, "h1");
    }
    SUBCASE("no reply came")
    {
        pass({200});
    }
    REQUIRE(sent.size() == 2);
    CHECK(lastSent().endpoint != stream.source);
    rejectLast(*this, 503);
    REQUIRE(sent.size() == 3);
    checkContinued(*this, stream, stream.source, 3);
}

// Guards against a request that reaches an engine that has restarted or whose time is over.
TEST_CASE_FIXTURE(GatewayFixture, "a stopped generation does not return to a source that is about to exit")
{
    const LeavingStream stream = startLeavingStream(*this, PlainStream);
    copyAndStop(*this);
    pass({1300});
    replyToMove(MigrationOutcome::NoCapacity, "h1");
    broken(stream.attempt);
    REQUIRE(sent.size() == 2);
    pass({600});
    rejectLast(*this, 503);
    CHECK(sent.size() == 2);
    REQUIRE(streamEnds.contains(stream.caller));
    CHECK_FALSE(streamEnds[stream.caller]);
}
