// Which of the requests that were at an endpoint when it ended is kept from further ones.

#include "gateway/endpoints/crashsuspects.h"

#include <doctest/doctest.h>

using namespace cranberry;

namespace {

constexpr RequestDigest Bad{1};

EndpointLoss loss(RequestDigest request, int endpoint, bool ranWell = false)
{
    return {request, {EndpointId{"engine-" + std::to_string(endpoint)}, {}}, ranWell};
}

} // namespace

TEST_CASE("the request that is there at each of three ends stands out among those beside it")
{
    // Three engines end, each with the same request and thirty others that were only there. One end is told
    // by several daemons and counts once.
    CrashSuspects suspects;
    const TimeMs now{1000};
    for (int end = 0; end < 3; ++end) {
        CHECK_FALSE(suspects.isQuarantined(Bad, now));
        for (uint64_t other = 0; other < 30; ++other)
            suspects.endedUnder(loss({100 + 30 * static_cast<uint64_t>(end) + other}, end), now);
        CHECK(suspects.endedUnder(loss(Bad, end), now) == (end == 2));
        CHECK_FALSE(suspects.endedUnder(loss(Bad, end), now));
    }
    CHECK(suspects.isQuarantined(Bad, now));
    CHECK(suspects.quarantined(10, now).size() == 1);
    CHECK(suspects.timeLeft(Bad, now).count > 0);
}

TEST_CASE("an answer clears a request, whatever ended under it before")
{
    // Some requests are asked for all the time with the same text. Engines end under them as under others,
    // but they are answered in between: they must never add up to a verdict.
    CrashSuspects suspects;
    const TimeMs now{1000};
    for (int end = 0; end < 20; ++end) {
        suspects.endedUnder(loss(Bad, end), now);
        if (end % 2 == 1)
            CHECK(suspects.answered(Bad, now));
        CHECK_FALSE(suspects.isQuarantined(Bad, now));
    }
    CHECK_FALSE(suspects.answered(Bad, now));
}

TEST_CASE("a request that ran well for a while counts half, and is caught later")
{
    // Most requests at an engine that ends have streamed for seconds; what ends an engine does so as it
    // begins. One that ends engines late in its run is caught all the same, after six.
    CrashSuspects suspects;
    const TimeMs now{1000};
    for (int end = 0; end < 5; ++end)
        suspects.endedUnder(loss(Bad, end, true), now);
    CHECK_FALSE(suspects.isQuarantined(Bad, now));
    suspects.endedUnder(loss(Bad, 5, true), now);
    CHECK(suspects.isQuarantined(Bad, now));
}

TEST_CASE("a verdict ends after ten minutes, and another daemon's is taken over with its own end")
{
    // The engines' software may have been mended meanwhile. A daemon that takes a verdict over from the store
    // must not begin the ten minutes anew.
    CrashSuspects suspects;
    const TimeMs now{1'000'000};
    CHECK(suspects.quarantine(Bad, now + DurationMs{5000}, now));
    CHECK_FALSE(suspects.quarantine(Bad, now + DurationMs{5000}, now));
    CHECK(suspects.timeLeft(Bad, now).count == 5000);
    CHECK_FALSE(suspects.isQuarantined(Bad, now + DurationMs{5000}));
    // An end by a clock that is far off does not last for years.
    CHECK(suspects.quarantine({2}, now + DurationMs{1'000'000'000}, now));
    CHECK(suspects.timeLeft({2}, now).count <= 600'000);
}

TEST_CASE("a verdict that an answer has refuted is not taken over again from an old list")
{
    // A stream that ran on while its request was put in quarantine ends whole. The store's list, read twice a
    // second, still names it.
    CrashSuspects suspects;
    const TimeMs now{1'000'000};
    for (int end = 0; end < 3; ++end)
        suspects.endedUnder(loss(Bad, end), now);
    const TimeMs until = suspects.quarantined(1, now).front().until;
    CHECK(suspects.answered(Bad, now + DurationMs{500}));
    CHECK_FALSE(suspects.quarantine(Bad, until, now + DurationMs{1000}));
    CHECK_FALSE(suspects.isQuarantined(Bad, now + DurationMs{1000}));
}

TEST_CASE("a million different requests take no more memory than a thousand, and free none from quarantine")
{
    // Engines end again and again, each time under other requests: a rack that loses power every few seconds,
    // or a caller who sends such requests on purpose. What is forgotten first are those with one end.
    CrashSuspects suspects;
    TimeMs now{1000};
    for (int end = 0; end < 3; ++end)
        suspects.endedUnder(loss(Bad, end), now);
    for (uint64_t other = 0; other < 1'000'000; ++other) {
        now = now + DurationMs{other % 10 == 0 ? 1 : 0};
        suspects.endedUnder(loss({100 + other}, static_cast<int>(other / 60)), now);
    }
    CHECK(suspects.size() <= 1024);
    CHECK(suspects.isQuarantined(Bad, now));
}
