#include "gatewayfixture.h"

#include <array>
#include <fmt/format.h>

using namespace cranberry;

namespace {

constexpr uint64_t AllEvents = 20;
constexpr uint64_t EventsAtEnd = 4; ///< That the source has sent when its stream ends.

enum class Cut : uint8_t { LastChunk, Close, CloseInsideEvent, ChunksWithoutEnd, Reset };
enum class Reply : uint8_t { Handle, Ended, InProgress, NoRoomWithHandle, NoRoom, None };
enum class Moment : uint8_t { EndFirst, ReplyFirst, EndLate };

constexpr std::array Cuts
    = {Cut::LastChunk, Cut::Close, Cut::CloseInsideEvent, Cut::ChunksWithoutEnd, Cut::Reset};
constexpr std::array Replies
    = {Reply::Handle, Reply::Ended, Reply::InProgress, Reply::NoRoomWithHandle, Reply::NoRoom, Reply::None};
constexpr std::array Moments = {Moment::EndFirst, Moment::ReplyFirst, Moment::EndLate};

/// One way in which a stream that is to be moved ends at its source.
struct Cell {
    Cut cut = Cut::LastChunk;
    Reply reply = Reply::None;
    Moment moment = Moment::EndFirst;
    bool isResumable = false;
    bool endedItself = false; ///< The generation was complete; else it was stopped.

    bool isClean() const { return cut == Cut::LastChunk || cut == Cut::Close; }
    uint64_t total() const
    {
        if (!endedItself)
            return AllEvents;
        return isClean() ? EventsAtEnd : EventsAtEnd + 1;
    }
    /// A stopped stream has no last chunk, and some replies say themselves which of the two it was.
    bool isPossible() const
    {
        if (reply == Reply::Handle || reply == Reply::NoRoomWithHandle)
            return !endedItself;
        return reply == Reply::Ended || cut == Cut::LastChunk ? endedItself : true;
    }
    std::string text() const
    {
        return fmt::format("cut {} reply {} moment {} resumable {} ended itself {}", static_cast<int>(cut),
                           static_cast<int>(reply), static_cast<int>(moment), isResumable, endedItself);
    }
};

/// Plays one cell: an engine that leaves, and engines that continue whatever is sent to them.
class CellPlay : public GatewayFixture
{
public:
    explicit CellPlay(const Cell &cell) : cell_(cell) { }

    CallerId play()
    {
        GatewaySettings bounds;
        bounds.retryLimits = {0.2, 8, {10000}};
        gateway.applyBounds(bounds);
        configuration->services[0].engine->migratesGenerations = true;
        serveForWindow();
        CallerRequest wanted = makeRequest(cell_.isResumable ? "/review/1" : "/draft/1");
        wanted.outputTokens = 300;
        const CallerId caller = request(wanted);
        source_ = lastSent().attempt;
        AttemptHead first;
        first.attempt = source_;
        first.status = 200;
        first.eventStream = true;
        first.isUnframed = cell_.cut == Cut::Close || cell_.cut == Cut::CloseInsideEvent;
        gateway.onHead(first, now);
        events(source_, 1, 1);
        pass({100});
        events(source_, 2, 3);
        for (EndpointEntry &entry : endpoints) {
            if (entry.id == lastSent().endpoint) {
                entry.leaving = true;
                entry.leavesAfter = DurationMs{2000};
            }
        }
        listEndpoints();
        pass({25});
        REQUIRE(moves.size() == 1);
        replyToMove(MigrationOutcome::Migrated, "h1", 3);
        REQUIRE(moves.back().step == MigrationStep::Stop);
        repliedMoves_ = moves.size();
        endAndReply();
        for (int step = 0; step < 200 && !streamEnds.contains(caller); ++step) {
            serve();
            pass({25});
        }
        return caller;
    }

private:
    void endAndReply()
    {
        if (cell_.moment == Moment::EndFirst)
            endSource();
        reply(cell_.reply);
        if (cell_.moment == Moment::EndFirst)
            return;
        if (cell_.moment == Moment::EndLate)
            serve();
        endSource();
    }

    void endSource()
    {
        events(source_, EventsAtEnd, EventsAtEnd);
        if (cell_.cut == Cut::CloseInsideEvent)
            data(source_, "id: 5\nda");
        if (cell_.cut == Cut::ChunksWithoutEnd || cell_.cut == Cut::Reset)
            broken(source_);
        else
            end(source_);
    }

    void reply(Reply reply)
    {
        constexpr std::array Outcomes
            = {MigrationOutcome::Migrated,   MigrationOutcome::NoSuchGeneration, MigrationOutcome::Refused,
               MigrationOutcome::NoCapacity, MigrationOutcome::NoCapacity,       MigrationOutcome::NoReply};
        const bool hasHandle = reply == Reply::Handle || reply == Reply::NoRoomWithHandle;
        replyToMove(Outcomes.at(static_cast<size_t>(reply)), hasHandle ? "h1" : "");
    }

    // The engine that is asked again to stop the generation no longer knows it.
    void serve()
    {
        for (; repliedMoves_ < moves.size(); ++repliedMoves_)
            reply(Reply::Ended);
        for (; repliedProbes_ < probes.size(); ++repliedProbes_) {
            const ProbeEngine probe = probes[repliedProbes_];
            gateway.onEngineProbed(
                {probe.endpoint, {}, true, false, {}, EndpointProcess::Running, probe.afterConnectionFailure},
                now);
            drainActions();
        }
        for (; servedAttempts_ < sent.size(); ++servedAttempts_) {
            const SendAttempt next = sent[servedAttempts_];
            head(next.attempt, 200, true);
            events(next.attempt, next.resumeAfter.value_or(0) + 1, cell_.total());
            end(next.attempt);
        }
    }

    Cell cell_;
    AttemptId source_;
    size_t repliedMoves_ = 0;
    size_t repliedProbes_ = 0;
    size_t servedAttempts_ = 1;
};

std::string eventsUpTo(uint64_t last)
{
    std::string out;
    for (uint64_t id = 1; id <= last; ++id)
        out += fmt::format("id: {}\ndata: {}\n\n", id, id);
    return out;
}

} // namespace

// Guards against a stream that ends as complete before its last event because this system has stopped its
// generation, and against one that is lost with the reply.
TEST_CASE("a stream that was asked to stop reaches its caller whole, whatever its end and the reply")
{
    size_t played = 0;
    for (size_t i = 0; i < Cuts.size() * Replies.size() * Moments.size() * 4; ++i) {
        const Cell cell{Cuts.at(i % Cuts.size()), Replies.at(i / 5 % Replies.size()),
                        Moments.at(i / 30 % Moments.size()), i / 90 % 2 == 1, i / 180 == 1};
        if (!cell.isPossible())
            continue;
        ++played;
        CAPTURE(cell.text());
        CellPlay play(cell);
        const CallerId caller = play.play();
        REQUIRE(play.streamEnds.contains(caller));
        const std::string received = play.streamed[caller];
        CHECK(eventsUpTo(cell.total()).starts_with(received));
        CHECK(play.streamEnds.at(caller));
        CHECK(received == eventsUpTo(cell.total()));
    }
    CHECK(played > 200);
}

/// Begins a stream on a route that may be resumed, and brings its first events.
struct BegunStream {
    CallerId caller;
    SendAttempt first;
};

static BegunStream beginStream(GatewayFixture &fixture, uint64_t events, bool isUnframed = false)
{
    fixture.serveForWindow();
    BegunStream out;
    out.caller = fixture.request("/review/1");
    out.first = fixture.lastSent();
    AttemptHead head;
    head.attempt = out.first.attempt;
    head.status = 200;
    head.eventStream = true;
    head.isUnframed = isUnframed;
    fixture.gateway.onHead(head, fixture.now);
    fixture.events(out.first.attempt, 1, events);
    return out;
}

static AttemptHead streamHead(AttemptId attempt, bool isUnframed)
{
    AttemptHead out;
    out.attempt = attempt;
    out.status = 200;
    out.eventStream = true;
    out.isUnframed = isUnframed;
    return out;
}

// Guards against a stream that ends as complete because the endpoint that is to continue it sends nothing.
TEST_CASE_FIXTURE(GatewayFixture, "an unframed continuation without an event is no end of the stream")
{
    const BegunStream stream = beginStream(*this, 3, true);
    broken(stream.first.attempt);
    REQUIRE(sent.back().resumeAfter == 3);
    const SendAttempt second = lastSent();
    gateway.onHead(streamHead(second.attempt, true), now);
    end(second.attempt);
    gateway.onEngineProbed({second.endpoint, {}, true, false, {}, EndpointProcess::Running, true}, now);
    drainActions();
    REQUIRE(streamEnds.contains(stream.caller));
    CHECK_FALSE(streamEnds.at(stream.caller));
}

// Guards against a moved stream that ends as complete at the target before the events that its source had
// made.
TEST_CASE_FIXTURE(GatewayFixture, "a moved stream has at least the events that its source made")
{
    configuration->services[0].engine->migratesGenerations = true;
    CallerRequest wanted = makeRequest("/draft/1");
    wanted.outputTokens = 300;
    const CallerId caller = request(wanted);
    const SendAttempt source = lastSent();
    head(source.attempt, 200, true);
    events(source.attempt, 1, 3);
    for (EndpointEntry &entry : endpoints) {
        if (entry.id == source.endpoint) {
            entry.leaving = true;
            entry.leavesAfter = DurationMs{2000};
        }
    }
    listEndpoints();
    pass({25});
    REQUIRE(moves.size() == 1);
    replyToMove(MigrationOutcome::Migrated, "h1", 3);
    broken(source.attempt);
    replyToMove(MigrationOutcome::Migrated, "h1", 6);
    REQUIRE(sent.size() == 2);
    head(lastSent().attempt, 200, true);
    uint64_t last = 0;
    SUBCASE("the target brings none") { }
    SUBCASE("it brings some of them")
    {
        last = 5;
    }
    SUBCASE("it brings all of them")
    {
        last = 6;
    }
    events(lastSent().attempt, 4, last);
    end(lastSent().attempt);
    REQUIRE(streamEnds.contains(caller));
    CHECK(streamEnds.at(caller) == (last == 6));
}

// Guards against an end that is believed of a process that another one has replaced.
TEST_CASE_FIXTURE(GatewayFixture, "the end of an unframed response of a replaced process is not believed")
{
    for (EndpointEntry &entry : endpoints)
        entry.start.unixMs = 1000;
    listEndpoints();
    const auto replaceAll = [this] {
        for (EndpointEntry &entry : endpoints)
            ++entry.start.unixMs;
        listEndpoints();
    };
    const BegunStream stream = beginStream(*this, 3, true);
    replaceAll();
    end(stream.first.attempt);
    CHECK_FALSE(streamEnds.contains(stream.caller));
    CHECK(lastSent().resumeAfter == 3);

    const CallerId order = request("/order/1");
    AttemptHead answer = streamHead(lastSent().attempt, true);
    answer.eventStream = false;
    gateway.onHead(answer, now);
    data(lastSent().attempt, "half of an ans");
    replaceAll();
    end(lastSent().attempt);
    CHECK(statusOf(order) == 502);
}

// Guards against a gap where a stream goes on after its first event: one event alone does not tell the next
// one's id.
TEST_CASE_FIXTURE(GatewayFixture, "a continuation begins at the service's usual next event")
{
    const CallerId usual = request("/review/1");
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 1, 4);
    end(lastSent().attempt);
    REQUIRE(streamEnds.at(usual));
    const BegunStream stream = beginStream(*this, 1);
    broken(stream.first.attempt);
    REQUIRE(lastSent().resumeAfter == 1);
    head(lastSent().attempt, 200, true);
    SUBCASE("one event too far")
    {
        events(lastSent().attempt, 3, 4);
        CHECK(streamed[stream.caller] == eventsUpTo(1));
        REQUIRE(streamEnds.contains(stream.caller));
        CHECK_FALSE(streamEnds.at(stream.caller));
    }
    SUBCASE("the next event")
    {
        events(lastSent().attempt, 2, 4);
        end(lastSent().attempt);
        CHECK(streamed[stream.caller] == eventsUpTo(4));
        CHECK(streamEnds.at(stream.caller));
    }
}

// Guards against a gap where a caller resumes a stream and the endpoint goes on too far.
TEST_CASE_FIXTURE(GatewayFixture, "a caller's resumption begins at the event after its last one")
{
    serveForWindow();
    const CallerRequest begun = makeRequest("/review/1");
    request(begun);
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 1, 4);
    end(lastSent().attempt);
    CallerRequest again = makeRequest("/review/1");
    again.resumeAfter = 3;
    again.resumes = begun.id;
    const size_t before = sent.size();
    const CallerId caller = request(again);
    pass({300});
    REQUIRE(sent.size() == before + 1);
    const SendAttempt first = lastSent();
    head(first.attempt, 200, true);
    events(first.attempt, 5, 6);
    CHECK(streamed[caller].empty());
    CHECK(cancelled.back() == first.attempt);
}

// Guards against a service whose streams count in steps of their own: none of them is cut for that.
TEST_CASE_FIXTURE(GatewayFixture,
                  "a service without a usual step between events has continuations of any step")
{
    for (const char *second : {"id: 2\ndata: 2\n\n", "id: 7\ndata: 7\n\n"}) {
        request("/review/1");
        head(lastSent().attempt, 200, true);
        events(lastSent().attempt, 1, 1);
        data(lastSent().attempt, second);
        end(lastSent().attempt);
    }
    const BegunStream stream = beginStream(*this, 1);
    broken(stream.first.attempt);
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 3, 3);
    events(lastSent().attempt, 5, 5);
    end(lastSent().attempt);
    CHECK(streamEnds.at(stream.caller));
}

// Guards against two runs that are joined: without ids nobody knows which events the caller has.
TEST_CASE_FIXTURE(GatewayFixture, "a stream of events without ids is not continued elsewhere")
{
    serveForWindow();
    configuration->services[0].engine->migratesGenerations = true;
    CallerRequest wanted = makeRequest("/review/1");
    wanted.outputTokens = 300;
    const CallerId caller = request(wanted);
    const SendAttempt first = lastSent();
    const size_t before = sent.size();
    head(first.attempt, 200, true);
    data(first.attempt, ": a comment\n\n");
    SUBCASE("events without ids")
    {
        data(first.attempt, "data: a\n\ndata: b\n\n");
        for (EndpointEntry &entry : endpoints)
            entry.leaving = entry.leaving || entry.id == first.endpoint;
        listEndpoints();
        pass({100});
        CHECK(moves.empty());
        broken(first.attempt);
        CHECK(sent.size() == before);
        REQUIRE(streamEnds.contains(caller));
        CHECK_FALSE(streamEnds.at(caller));
    }
    SUBCASE("a comment is no event")
    {
        events(first.attempt, 1, 2);
        broken(first.attempt);
        CHECK(sent.size() == before + 1);
        CHECK(lastSent().resumeAfter == 2);
    }
}
