// What becomes of requests when the process that read them is asked to stop, in virtual time.

#include "common/random.h"
#include "gatewayfixture.h"

#include <algorithm>

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

    /// A stream with a first event after `first` and one event each `interval`; returns whether it ended whole.
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
};

constexpr Phase Phases[] = {
    {"awaits the start", &StoppingFixture::awaitingStart, false},
    {"queued", &StoppingFixture::queued, false},
    {"awaits the end of a rest", &StoppingFixture::awaitingRest, false},
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
            const DurationMs age{static_cast<int64_t>(25 * random.below(80))};
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

// Guards against streams that are taken after the signal although all before them lasted longer than the time left.
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
