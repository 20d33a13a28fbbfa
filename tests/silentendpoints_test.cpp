#include "gateway/endpoints/silentendpoints.h"
#include "gatewayfixture.h"

#include <algorithm>

using namespace cranberry;

namespace {

constexpr const char *Resumable = "/review/1";
constexpr const char *NotResumable = "/draft/1";
constexpr uint64_t AllEvents = 20;
const SilentEndpoints::Path direct{{"endpoint-1"}, {}};
const SilentEndpoints::Path relayed{{"endpoint-1"}, Address{"10.0.0.9", 90}};

/// A stream that has had some events from an engine, which then sends nothing.
class SilentStream : public GatewayFixture
{
public:
    void begin(const char *path, bool migrates)
    {
        configuration->services[0].engine->migratesGenerations = migrates;
        for (const EndpointEntry &entry : endpoints)
            pathOutcomes[entry.id] = ConnectFailure::None;
        serveForWindow();
        CallerRequest wanted = makeRequest(path);
        wanted.outputTokens = 300;
        caller = request(wanted);
        attempt = lastSent().attempt;
        engine = lastSent().endpoint;
        head(attempt, 200, true);
        events(attempt, 1, 3);
    }

    /// The engine says that it leaves; the generation is copied, and asked to stop.
    void copyAndAskToStop()
    {
        for (EndpointEntry &entry : endpoints) {
            if (entry.id == engine) {
                entry.leaving = true;
                entry.leavesAfter = DurationMs{2000};
            }
        }
        listEndpoints();
        pass({25});
        REQUIRE(moves.size() == 1);
        replyToMove(MigrationOutcome::Migrated, "h1", 3);
        REQUIRE(moves.back().step == MigrationStep::Stop);
    }

    /// Nothing was sent to another engine, and the stream ends as complete at its own.
    void checkWholeAtSource()
    {
        CHECK(sent.size() == 1);
        CHECK(cancelled.empty());
        events(attempt, 4, AllEvents);
        end(attempt);
        if (!moves.empty())
            replyToMove(MigrationOutcome::NoSuchGeneration);
        pass({1500});
        REQUIRE(streamEnds.contains(caller));
        CHECK(streamEnds.at(caller));
        CHECK(sent.size() == 1);
    }

    /// It was sent to another engine, from the copy if there is one, and ends as complete there.
    void checkWholeElsewhere(const std::string &handle, RunEndProof proof)
    {
        REQUIRE(sent.size() == 2);
        CHECK(cancelled.size() <= 1);
        CHECK(lastSent().endpoint != engine);
        CHECK(lastSent().resumeAfter == 3);
        CHECK((lastSent().migratedKvCache ? lastSent().migratedKvCache->handle : "") == handle);
        CHECK(gateway.counters().of(proof) == 1);
        CHECK(log.count("run_left") == 1);
        head(lastSent().attempt, 200, true);
        events(lastSent().attempt, 4, AllEvents);
        end(lastSent().attempt);
        REQUIRE(streamEnds.contains(caller));
        CHECK(streamEnds.at(caller));
    }

    CallerId caller;
    AttemptId attempt;
    EndpointId engine;
};

} // namespace

using Reach = SilentEndpoints::Reach;

TEST_CASE("a path is reached or not by the newest connection since it fell silent")
{
    SilentEndpoints endpoints;
    endpoints.record(direct, false);
    CHECK(endpoints.reachOf(direct) == Reach::Unknown); // Not silent yet.
    CHECK(endpoints.takeDueProbes({direct, relayed}, {1000}).size() == 2);
    CHECK(endpoints.takeDueProbes({direct, relayed}, {1500}).empty());
    endpoints.record(direct, false);
    CHECK(endpoints.reachOf(direct) == Reach::Unreached);
    CHECK(endpoints.reachOf(relayed) == Reach::Unknown);
    CHECK(endpoints.takeDueProbes({direct, relayed}, {1700}).size() == 2);
    CHECK(endpoints.reachOf(direct) == Reach::Unreached);
    endpoints.record(direct, true);
    CHECK(endpoints.reachOf(direct) == Reach::Reached);
    endpoints.record(direct, false);
    CHECK(endpoints.takeDueProbes({}, {1800}).empty());
    CHECK(endpoints.reachOf(direct) == Reach::Unknown); // It has sent something.
}

// Guards against an engine that hangs and runs out of connections: each daemon with a stream there probes it,
// and keeps the connection open for a while.
TEST_CASE("a path that is reached is probed less and less, one that is not as often as at first")
{
    for (const bool isReached : {true, false}) {
        CAPTURE(isReached);
        SilentEndpoints endpoints;
        std::vector<TimeMs> probedAt;
        for (TimeMs now{0}; now < TimeMs{12000}; now = now + DurationMs{25}) {
            if (endpoints.takeDueProbes({direct}, now).empty())
                continue;
            endpoints.record(direct, isReached);
            probedAt.push_back(now);
        }
        REQUIRE(probedAt.size() >= 3);
        CHECK(probedAt[1] - probedAt[0] <= DurationMs{600});
        CHECK(probedAt.size() == (isReached ? 5 : 20));
        endpoints.record(direct, false);
        endpoints.takeDueProbes({direct}, {20000});
        CHECK(endpoints.takeDueProbes({direct}, {20600}).size() == 1); // Not reached any more: often again.
    }
}

// Guards against two endpoints that work on one stream: the one before was silent, was taken for dead, and
// kept the run when its connection was closed.
TEST_CASE("a stream stays at a silent endpoint that is reached and can't be asked to stop it")
{
    for (const char *path : {Resumable, NotResumable}) {
        CAPTURE(path);
        SilentStream stream;
        stream.begin(path, false);
        stream.pass({6000});
        stream.checkWholeAtSource();
    }
}

// The same, where the engine is asked to stop the run, and leaves each call unanswered.
TEST_CASE("a stream stays at a silent engine that is reached and does not say that it has stopped it")
{
    for (const bool leaves : {false, true}) {
        for (const MigrationOutcome outcome : {MigrationOutcome::NoReply, MigrationOutcome::Refused}) {
            CAPTURE(leaves);
            CAPTURE(static_cast<int>(outcome));
            SilentStream stream;
            stream.begin(Resumable, true);
            if (leaves)
                stream.copyAndAskToStop();
            for (int i = 0; i < 6; ++i) {
                stream.pass({1000});
                REQUIRE_FALSE(stream.moves.empty());
                stream.replyToMove(outcome);
            }
            CHECK(stream.moves.size() > 4);
            stream.checkWholeAtSource();
        }
    }
}

// Guards against a stream that waits at an engine that could say at once that it has stopped it.
TEST_CASE("a stream leaves a silent engine that says that it has stopped it, or does not know it")
{
    SilentStream stream;
    stream.begin(Resumable, true);
    stream.pass({800});
    REQUIRE(stream.moves.size() == 1);
    CHECK(stream.sent.size() == 1);
    SUBCASE("it has stopped it")
    {
        stream.replyToMove(MigrationOutcome::Migrated, "h1", 3);
        REQUIRE(stream.moves.back().step == MigrationStep::Stop);
        stream.replyToMove(MigrationOutcome::Migrated, "h1", 3);
        SUBCASE("and closes it")
        {
            stream.broken(stream.attempt);
        }
        SUBCASE("and its end does not come")
        {
            stream.pass({1500});
        }
        stream.checkWholeElsewhere("h1", RunEndProof::SaidStopped);
    }
    SUBCASE("it closes it, and the reply is lost")
    {
        stream.replyToMove(MigrationOutcome::Migrated, "h1", 3);
        stream.broken(stream.attempt);
        stream.pass({200});
        stream.checkWholeElsewhere("h1", RunEndProof::StreamClosed);
    }
    SUBCASE("it does not know it")
    {
        stream.replyToMove(MigrationOutcome::NoSuchGeneration);
        stream.checkWholeElsewhere("", RunEndProof::SaidUnknown);
    }
    SUBCASE("it is not reached any more")
    {
        stream.pathOutcomes[stream.engine] = ConnectFailure::Refused;
        stream.pass({600});
        stream.checkWholeElsewhere("", RunEndProof::Unreached);
    }
}

// Guards against a run that is stopped although its engine is at work again.
TEST_CASE_FIXTURE(SilentStream, "a stream that goes on before its copy is made is not stopped")
{
    begin(Resumable, true);
    pass({800});
    REQUIRE(moves.size() == 1);
    events(attempt, 4, 5);
    pass({25});
    replyToMove(MigrationOutcome::Migrated, "h1", 5);
    CHECK(moves.size() == 1);
    CHECK(sent.size() == 1);
    events(attempt, 6, AllEvents);
    end(attempt);
    REQUIRE(streamEnds.contains(caller));
    CHECK(streamEnds.at(caller));
}

// Guards against an engine that answers again after a hang and is not asked any more.
TEST_CASE("a leaving engine that answers after a hang is still asked to stop its run")
{
    for (const char *path : {Resumable, NotResumable}) {
        CAPTURE(path);
        SilentStream stream;
        stream.begin(path, true);
        stream.copyAndAskToStop();
        stream.pass({5000});
        const size_t calls = stream.moves.size();
        CHECK(calls < 10);
        stream.pass({3500});
        REQUIRE(stream.moves.size() > calls);
        CHECK(stream.sent.size() == 1);
        stream.replyToMove(MigrationOutcome::Migrated, "h1", 3);
        stream.broken(stream.attempt);
        stream.checkWholeElsewhere("h1", RunEndProof::SaidStopped);
    }
}
