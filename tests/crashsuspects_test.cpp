// Which of the requests that were open at a crashed endpoint is quarantined.

#include "gateway/endpoints/crashsuspects.h"

#include <doctest/doctest.h>

using namespace cranberry;

namespace {

constexpr RequestDigest Bad{1};

EndpointCrash crashOf(RequestDigest request, int endpoint, bool hadStreamed = false)
{
    return {request, {EndpointId{"engine-" + std::to_string(endpoint)}, {}}, hadStreamed};
}

} // namespace

TEST_CASE("the request that was open at each of three crashes stands out among the others")
{
    // Three engines crash, each with the same request and thirty unrelated ones. A crash that is reported by
    // several daemons counts once.
    CrashSuspects suspects;
    const TimeMs now{1000};
    for (int end = 0; end < 3; ++end) {
        CHECK_FALSE(suspects.isQuarantined(Bad, now));
        for (uint64_t other = 0; other < 30; ++other)
            suspects.recordCrash(crashOf({100 + 30 * static_cast<uint64_t>(end) + other}, end), now);
        CHECK(suspects.recordCrash(crashOf(Bad, end), now) == (end == 2));
        CHECK_FALSE(suspects.recordCrash(crashOf(Bad, end), now));
    }
    CHECK(suspects.isQuarantined(Bad, now));
    CHECK(suspects.quarantined(10, now).size() == 1);
    CHECK(suspects.timeLeft(Bad, now).count > 0);
}

TEST_CASE("an answer clears a request, whatever crashed under it before")
{
    // Some requests with identical text are sent all the time. Engines crash under them as under others, but
    // they are answered in between: their crashes must never add up to a quarantine.
    CrashSuspects suspects;
    const TimeMs now{1000};
    for (int end = 0; end < 20; ++end) {
        suspects.recordCrash(crashOf(Bad, end), now);
        if (end % 2 == 1)
            CHECK(suspects.recordAnswer(Bad, now));
        CHECK_FALSE(suspects.isQuarantined(Bad, now));
    }
    CHECK_FALSE(suspects.recordAnswer(Bad, now));
}

TEST_CASE("a request that had streamed for a while counts half, and is quarantined later")
{
    // Most requests at a crashing engine have streamed for seconds, while the cause of a crash usually has
    // just started. A request that crashes engines late in its generation is still quarantined, after six
    // crashes.
    CrashSuspects suspects;
    const TimeMs now{1000};
    for (int end = 0; end < 5; ++end)
        suspects.recordCrash(crashOf(Bad, end, true), now);
    CHECK_FALSE(suspects.isQuarantined(Bad, now));
    suspects.recordCrash(crashOf(Bad, 5, true), now);
    CHECK(suspects.isQuarantined(Bad, now));
}

TEST_CASE("a quarantine expires after ten minutes, and one from another daemon keeps its own expiry")
{
    // The engines' software may have been fixed meanwhile. A daemon that adopts a quarantine from the store
    // must not start the ten minutes anew.
    CrashSuspects suspects;
    const TimeMs now{1'000'000};
    CHECK(suspects.quarantine(Bad, now + DurationMs{5000}, now));
    CHECK_FALSE(suspects.quarantine(Bad, now + DurationMs{5000}, now));
    CHECK(suspects.timeLeft(Bad, now).count == 5000);
    CHECK_FALSE(suspects.isQuarantined(Bad, now + DurationMs{5000}));
    // An expiry time from a clock that is far off does not last for years.
    CHECK(suspects.quarantine({2}, now + DurationMs{1'000'000'000}, now));
    CHECK(suspects.timeLeft({2}, now).count <= 600'000);
}

TEST_CASE("a quarantine that an answer has refuted is not adopted again from an old list")
{
    // A stream that continued while its request was quarantined completes. The store's list, read twice a
    // second, still contains the request.
    CrashSuspects suspects;
    const TimeMs now{1'000'000};
    for (int end = 0; end < 3; ++end)
        suspects.recordCrash(crashOf(Bad, end), now);
    const TimeMs until = suspects.quarantined(1, now).front().until;
    CHECK(suspects.recordAnswer(Bad, now + DurationMs{500}));
    CHECK_FALSE(suspects.quarantine(Bad, until, now + DurationMs{1000}));
    CHECK_FALSE(suspects.isQuarantined(Bad, now + DurationMs{1000}));
}

TEST_CASE(
    "a million different requests take no more memory than a thousand, and release none from quarantine")
{
    // Engines crash again and again, each time under other requests: a rack that loses power every few
    // seconds, or a caller who sends such requests on purpose. Requests with a single crash are evicted
    // first.
    CrashSuspects suspects;
    TimeMs now{1000};
    for (int end = 0; end < 3; ++end)
        suspects.recordCrash(crashOf(Bad, end), now);
    for (uint64_t other = 0; other < 1'000'000; ++other) {
        now = now + DurationMs{other % 10 == 0 ? 1 : 0};
        suspects.recordCrash(crashOf({100 + other}, static_cast<int>(other / 60)), now);
    }
    CHECK(suspects.size() <= 1024);
    CHECK(suspects.isQuarantined(Bad, now));
}
