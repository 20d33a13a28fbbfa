// What becomes of requests when the process that read them is asked to stop, in virtual time.

#include "common/random.h"
#include "gateway/requests/departure.h"
#include "gateway/requests/streamdurations.h"
#include "gatewayfixture.h"

using namespace cranberry;

namespace {

constexpr DurationMs Grace{8000};
constexpr DurationMs LongDeadline{20000};

class StoppingFixture : public GatewayFixture
{
public:
    StoppingFixture()
    {
        for (Route &route : configuration->routes)
            route.timeout = LongDeadline;
        configure(configuration);
    }

    CallerId longRequest(const std::string &path)
    {
        CallerRequest out = makeRequest(path);
        out.deadline = LongDeadline;
        return request(out);
    }

    // Phases of a request; each returns the caller that is in it.
    CallerId awaitingStart()
    {
        startAgain();
        storeReachable = false;
        return longRequest("/lookup/1");
    }
    CallerId queued()
    {
        for (int i = 0; i < 4; ++i)
            longRequest("/order/1");
        return longRequest("/lookup/1");
    }
    CallerId awaitingRest()
    {
        for (const EndpointEntry &entry : endpoints) {
            EngineProbed probed;
            probed.endpoint = entry.id;
            probed.answered = true;
            probed.notice.rest = DurationMs{9000};
            gateway.onEngineProbed(probed, now);
        }
        drainActions();
        return longRequest("/lookup/1");
    }
    CallerId awaitingOrigin()
    {
        gateway.onMembers({{{"entry-1"}, {1}, {"north"}, {}, {"10.0.0.1", 90}, 1, true},
                           {{"entry-2"}, {2}, {"south"}, {}, {"10.0.0.2", 90}, 1, true}},
                          now);
        CallerRequest out = makeRequest("/review/1");
        out.resumeAfter = 3;
        out.resumes = "begun-elsewhere";
        return request(out);
    }
    CallerId awaitingDraw()
    {
        GatewaySettings none;
        none.retryLimits = {0, 0, {10000}};
        gateway.applyBounds(none);
        storeReachable = false;
        return sentAgain();
    }
    CallerId sentOnce() { return longRequest("/order/1"); }
    CallerId sentWithoutEvent()
    {
        const CallerId caller = longRequest("/draft/1");
        head(lastSent().attempt, 200, true);
        return caller;
    }
    CallerId halfAnswered()
    {
        const CallerId caller = longRequest("/lookup/1");
        head(lastSent().attempt, 200, false);
        data(lastSent().attempt, "half");
        return caller;
    }
    CallerId sentAgain()
    {
        const CallerId caller = longRequest("/lookup/1");
        broken(lastSent().attempt);
        return caller;
    }

    /// Plays a stream with an event each `interval` after the first; returns whether it ended whole.
    bool playStream(DurationMs first, DurationMs interval, uint64_t count)
    {
        const size_t before = sent.size();
        const CallerId caller = request("/draft/1");
        if (sent.size() == before)
            return false;
        const AttemptId attempt = lastSent().attempt;
        head(attempt, 200, true);
        pass(first);
        events(attempt, 1, 1);
        for (uint64_t id = 2; id <= count; ++id) {
            pass(interval);
            events(attempt, id, id);
        }
        end(attempt);
        return streamEnds.contains(caller) && streamEnds[caller];
    }
};

struct Phase {
    const char *name;
    CallerId (StoppingFixture::*enter)();
    bool mayHaveRun;
    int64_t maxTicks = 80; ///< Its age when the signal comes; most end by themselves later than that.
};

constexpr Phase Phases[] = {
    {"awaits the start", &StoppingFixture::awaitingStart, false, 9},
    {"queued", &StoppingFixture::queued, false},
    {"awaits the end of a rest", &StoppingFixture::awaitingRest, false},
    {"awaits the stream's origin", &StoppingFixture::awaitingOrigin, false, 7},
    {"awaits a draw of retries", &StoppingFixture::awaitingDraw, true, 15},
    {"sent", &StoppingFixture::sentOnce, true},
    {"sent, no event yet", &StoppingFixture::sentWithoutEvent, true},
    {"half answered", &StoppingFixture::halfAnswered, true},
    {"sent again", &StoppingFixture::sentAgain, true},
};

} // namespace

// Guards against an exit that closes connections whose callers have received nothing.
TEST_CASE("a request of any phase gets a final response before its daemon exits")
{
    Random random(1);
    for (const Phase &phase : Phases) {
        for (int draw = 0; draw < 8; ++draw) {
            StoppingFixture fixture;
            const CallerId caller = (fixture.*phase.enter)();
            const DurationMs age{
                static_cast<int64_t>(25 * random.below(static_cast<uint64_t>(phase.maxTicks)))};
            fixture.pass(age);
            fixture.gateway.startLeaving(fixture.now, Grace);
            fixture.pass(fixture.gateway.departure()->answersDueAt - fixture.now);
            CAPTURE(std::string(phase.name));
            CAPTURE(age.count);
            const int status = fixture.statusOf(caller);
            CHECK(status != 0);
            CHECK((status == 503) != phase.mayHaveRun);
        }
    }
}

// Guards against streams that are taken although all before them lasted longer than the time that is left.
TEST_CASE("a stream that is taken after the signal ends before the exit")
{
    Random random(2);
    for (int draw = 0; draw < 40; ++draw) {
        StoppingFixture fixture;
        const DurationMs first{static_cast<int64_t>(25 * random.below(120))};
        const DurationMs interval{static_cast<int64_t>(25 * (1 + random.below(6)))};
        const uint64_t count = 34; // 100 tokens, three an event
        for (int i = 0; i < 10; ++i)
            REQUIRE(fixture.playStream(first, interval, count));
        fixture.gateway.startLeaving(fixture.now, Grace);
        fixture.pass({static_cast<int64_t>(25 * random.below(120))});
        const size_t before = fixture.sent.size();
        const bool isWhole = fixture.playStream(first, interval, count);
        CAPTURE(first.count);
        CAPTURE(interval.count);
        const bool wasTaken = fixture.sent.size() > before;
        const bool isInTime = isWhole && fixture.now <= fixture.gateway.departure()->answersDueAt;
        CHECK((!wasTaken || isInTime));
    }
}

// Guards against streams that are taken by a daemon that can't know how long they last.
TEST_CASE("a stopping daemon that has seen few streams takes none")
{
    StoppingFixture fixture;
    for (int i = 0; i < 7; ++i)
        REQUIRE(fixture.playStream(DurationMs{100}, DurationMs{25}, 4));
    const size_t before = fixture.sent.size();
    fixture.gateway.startLeaving(fixture.now, Grace);
    CHECK(fixture.statusOf(fixture.request("/draft/1")) == 503);
    CHECK(fixture.sent.size() == before);
}

// Guards against callers that are sent away by a daemon with time enough: most streams are short.
TEST_CASE("a stopping daemon takes streams that end long before its exit")
{
    StoppingFixture fixture;
    for (int i = 0; i < 10; ++i)
        REQUIRE(fixture.playStream(DurationMs{100}, DurationMs{25}, 34));
    fixture.gateway.startLeaving(fixture.now, Grace);
    fixture.pass({1000});
    CHECK(fixture.playStream(DurationMs{100}, DurationMs{25}, 34));
}

// Guards against predictions from the time before engines became slow: no stream has ended since.
TEST_CASE("requests that wait long for their first event show that streams take longer now")
{
    StoppingFixture fixture;
    for (int i = 0; i < 10; ++i)
        REQUIRE(fixture.playStream(DurationMs{100}, DurationMs{25}, 34));
    for (int i = 0; i < 10; ++i)
        fixture.longRequest("/draft/1");
    fixture.pass({6500});
    fixture.gateway.startLeaving(fixture.now, Grace);
    fixture.pass({500});
    const CallerId caller = fixture.longRequest("/draft/1");
    CHECK(fixture.statusOf(caller) == 503);
}

// Guards against a stream that is cut since its engine pauses, by a repeat that is refused only afterwards.
TEST_CASE("a stopping daemon keeps to a pausing engine if nothing else would end in time")
{
    StoppingFixture fixture;
    fixture.serveForWindow();
    const CallerId caller = fixture.longRequest("/review/1");
    const AttemptId attempt = fixture.lastSent().attempt;
    fixture.head(attempt, 200, true);
    fixture.events(attempt, 1, 2);
    fixture.gateway.startLeaving(fixture.now, Grace);
    fixture.pass({3000});
    CHECK_FALSE(fixture.streamEnds.contains(caller));
    fixture.events(attempt, 3, 4);
    fixture.end(attempt);
    CHECK(fixture.streamEnds[caller]);
}

// Guards against a margin that is longer than a short grace.
TEST_CASE("the last answers and the exit lie in the last sixth of any grace")
{
    for (const int64_t ms : {300, 1000, 3000, 8000, 60000}) {
        const Departure departure = departureOf(TimeMs{50}, DurationMs{ms});
        CHECK(departure.answersDueAt > TimeMs{50} + DurationMs{ms * 5 / 6});
        CHECK(departure.exitsAt > departure.answersDueAt);
        CHECK(departure.exitsAt < TimeMs{50} + DurationMs{ms});
    }
}

// Guards against predictions from few streams, from those of another hour, or from a single slow one.
TEST_CASE("a stream's duration is predicted by what most of the newest took")
{
    StreamDurations durations;
    const ServiceName service{"model"};
    for (int64_t i = 1; i <= 10; ++i) {
        CHECK(durations.estimate(service, {}, TimeMs{1000}).has_value() == (i > 8));
        durations.record(service, {TimeMs{1000}, DurationMs{100 * i}, DurationMs{30 * i}, 4, 8});
    }
    const std::optional<StreamEstimate> estimate = durations.estimate(service, {}, TimeMs{1000});
    REQUIRE(estimate);
    CHECK(estimate->firstEvent == DurationMs{800});
    CHECK(estimate->eventMs == doctest::Approx(80));
    CHECK(estimate->events == 4);
    CHECK(estimate->usedShare == doctest::Approx(0.5));
    const std::vector<DurationMs> waiting(10, DurationMs{5000});
    CHECK(durations.estimate(service, waiting, TimeMs{1000})->firstEvent == DurationMs{5000});
    const std::vector<DurationMs> justSent(64, DurationMs{20});
    CHECK(durations.estimate(service, justSent, TimeMs{1000})->firstEvent == DurationMs{800});
    CHECK_FALSE(durations.estimate(service, {}, TimeMs{61500}));
}

// Guards against an exit of which the log doesn't tell what it cut off and when that came.
TEST_CASE("a stream that is open at the exit has a line, also if it came before the signal was handled")
{
    StoppingFixture fixture;
    const TimeMs signalledAt = fixture.now;
    fixture.pass({500});
    fixture.longRequest("/draft/1");
    fixture.head(fixture.lastSent().attempt, 200, true);
    fixture.pass({200});
    fixture.events(fixture.lastSent().attempt, 1, 3);
    fixture.gateway.startLeaving(signalledAt, Grace);
    fixture.pass({1000});
    fixture.gateway.logOpenAtExit(fixture.now);
    boost::json::object line = fixture.log.lines.back();
    CHECK(line["event"] == "open_at_exit");
    CHECK(line["phase"] == "streaming");
    CHECK(line["phase_ms"] == 1000);
    CHECK(line["after_ms"] == 1200);
    CHECK(line["arrived_after_signal_ms"] == 500);
    CHECK(line["events"] == 3);
    CHECK(line["stream_began"] == true);
    CHECK(fixture.gateway.sinceSignal().at("taken") == 1);
}

// Guards against an exit with so many open requests that their lines displace the others.
TEST_CASE("the lines of open requests are bounded")
{
    StoppingFixture fixture;
    fixture.awaitingStart();
    for (int i = 0; i < 59; ++i)
        fixture.longRequest("/lookup/1");
    fixture.gateway.logOpenAtExit(fixture.now);
    CHECK(fixture.log.count("open_at_exit") == 50);
    CHECK(fixture.log.lines.back()["count"] == 10);
}

// Guards against final responses of which neither log nor counters tell that they are due to the exit.
TEST_CASE("requests that end for the exit are counted by phase")
{
    StoppingFixture fixture;
    fixture.queued();
    fixture.pass({100});
    fixture.gateway.startLeaving(fixture.now, Grace);
    fixture.pass({1000});
    fixture.longRequest("/lookup/1");
    CHECK(fixture.log.lines.back()["phase"] == "arrived");
    fixture.pass(fixture.gateway.departure()->answersDueAt - fixture.now);
    const GatewayCounters &counters = fixture.gateway.counters();
    CHECK(counters.endedForExitIn(ExchangePhase::Arrived) == 1);
    CHECK(counters.endedForExitIn(ExchangePhase::Queued) == 1);
    CHECK(counters.endedForExitIn(ExchangePhase::Sent) == 4);
    const boost::json::object since = fixture.gateway.sinceSignal();
    CHECK(since.at("last_answer_ms").as_int64() >= 7334);
    CHECK(since.at("last_answer_ms").as_int64() < 7667);
    CHECK(since.at("refused") == boost::json::object{{"leaving", 1}});
}

// Guards against streams that break off during a stop without a word why they were not resumed.
TEST_CASE("a repeat that would not end before the exit is denied in the log")
{
    StoppingFixture fixture;
    fixture.longRequest("/review/1");
    fixture.head(fixture.lastSent().attempt, 200, true);
    fixture.events(fixture.lastSent().attempt, 1, 3);
    fixture.gateway.startLeaving(fixture.now, Grace);
    fixture.broken(fixture.lastSent().attempt);
    CHECK(std::any_of(fixture.log.lines.begin(), fixture.log.lines.end(), [](boost::json::object &line) {
        return line["event"] == "repeat_denied" && line["reason"] == "leaving";
    }));
}
