// Endpoints that ask this daemon for a rest, or say that they leave, in their responses.

#include "gatewayfixture.h"

#include "gateway/endpoints/endpointrest.h"
#include "platform/requests.h"

using namespace cranberry;

namespace {

/// Two plain endpoints, p1 and p2, whose responses come as they do on the wire.
class RestFixture : public GatewayFixture
{
public:
    RestFixture() { serveForWindow(); }

    /// Answers the newest attempt.
    void answer(int status, const HttpHeaders &headers) { answer(SendAttempt(lastSent()), status, headers); }
    void answer(const SendAttempt &attempt, int status, HttpHeaders headers)
    {
        headers.push_back({"X-Request-Id", attempt.request->id});
        headers.push_back({"Content-Length", "0"});
        if (status == 503)
            headers.push_back({"X-Not-Executed", "1"});
        gateway.onHead(platform::decodeHead(attempt.attempt, *attempt.request, status, headers), now);
        drainActions();
        if (status == 200)
            end(attempt.attempt);
    }
    /// Sends requests for so long, as many at a time as both endpoints take well, and answers them all.
    size_t sentTo(const EndpointId &endpoint, DurationMs duration)
    {
        size_t count = 0;
        for (const TimeMs until = now + duration; now < until; pass({50})) {
            const size_t before = sent.size();
            for (int i = 0; i < 10; ++i)
                request("/lookup/1");
            for (size_t i = before; i < sent.size(); ++i) {
                count += sent[i].endpoint == endpoint ? 1 : 0;
                answer(SendAttempt(sent[i]), 200, {});
            }
        }
        return count;
    }
    EndpointId turnedAway(const HttpHeaders &headers)
    {
        request("/lookup/1");
        EndpointId endpoint = lastSent().endpoint;
        answer(503, headers);
        answer(200, {});
        return endpoint;
    }
};

} // namespace

TEST_CASE_FIXTURE(RestFixture, "an endpoint that asks for a rest gets no request until it ends")
{
    const EndpointId endpoint = turnedAway({{"Retry-After", "3"}});
    CHECK(sentTo(endpoint, {2900}) == 0);
    CHECK(sentTo(endpoint, {2000}) > 0);
}

TEST_CASE_FIXTURE(RestFixture,
                  "an endpoint that says that it leaves gets no further request, whatever the list says")
{
    request("/lookup/1");
    const EndpointId endpoint = lastSent().endpoint;
    answer(200, {{"Server-Leaving", "1"}});
    CHECK(sentTo(endpoint, {4000}) == 0);
}

TEST_CASE_FIXTURE(RestFixture,
                  "only a time in seconds is a rest; anything else is neither obeyed nor an error")
{
    const std::vector<std::pair<std::string, bool>> values{{"0.5", true},
                                                           {"1", true},
                                                           {"1e9", false},
                                                           {"99999999999999999999", true},
                                                           {"0", false},
                                                           {"-1", false},
                                                           {"", false},
                                                           {"soon", false},
                                                           {"Fri, 04 Dec 2026 05:25:04 GMT", false},
                                                           {"nan", false}};
    for (const std::pair<std::string, bool> &value : values) {
        const EndpointNotice notice
            = platform::decodeNotice(503, {{"X-Not-Executed", "1"}, {"Retry-After", value.first}});
        INFO(value.first);
        CHECK((notice.rest && notice.rest->count > 0) == value.second);
        CHECK(notice.restError.has_value() == (!value.second && value.first != "0"));
    }
    CHECK_FALSE(platform::decodeNotice(503, {{"Retry-After", "3"}}).rest); // Of something on the way.
    CHECK_FALSE(platform::decodeNotice(429, {{"X-Not-Executed", "1"}, {"Retry-After", "3"}}).rest);
    const HttpHeaders twice{{"X-Not-Executed", "1"}, {"Retry-After", "3"}, {"Retry-After", "4"}};
    CHECK_FALSE(platform::decodeNotice(503, twice).rest);
}

TEST_CASE_FIXTURE(RestFixture, "an endpoint that asks for no time is avoided as after any rejection")
{
    const FleetEndpoint &endpoint = *gateway.fleet().find(turnedAway({{"Retry-After", "0"}}));
    CHECK(endpoint.failuresInRow == 1);
    CHECK(endpoint.avoidUntil > now);
}

TEST_CASE("a shorter rest that is asked for later does not end a longer one, and a very long one ends")
{
    EndpointRest rest;
    rest.begin({3000}, {0}, {1000});
    rest.begin({500}, {0}, {1500});
    CHECK(rest.isResting({3999}));
    CHECK_FALSE(rest.isResting({4000}));
    rest.begin({1'000'000'000'000}, {0}, {5000});
    CHECK(rest.endsAt() == TimeMs{5000} + EndpointRest::MaxDuration);
}

TEST_CASE_FIXTURE(RestFixture, "requests return one, two, four at a time after a rest")
{
    const EndpointId endpoint = turnedAway({{"Retry-After", "1"}});
    pass({1500});
    std::vector<size_t> open;
    for (int round = 0; round < 2; ++round) {
        const size_t before = sent.size();
        for (int i = 0; i < 10; ++i)
            request("/lookup/1");
        open.push_back(0);
        const size_t after = sent.size();
        for (size_t i = before; i < after; ++i)
            open.back() += sent[i].endpoint == endpoint ? 1 : 0;
        for (size_t i = before; i < sent.size(); ++i)
            answer(SendAttempt(sent[i]), 200, {});
    }
    CHECK(open == std::vector<size_t>{1, 2}); // It has two slots.
}

TEST_CASE_FIXTURE(
    RestFixture,
    "while all endpoints rest, a request waits if the rest is short, and is refused at once if not")
{
    const auto turnAllAway = [this](const char *seconds) {
        request("/lookup/1");
        answer(503, {{"Retry-After", seconds}});
        answer(503, {{"Retry-After", seconds}});
    };
    turnAllAway("0.4");
    const size_t before = sent.size();
    const CallerId waiting = request("/lookup/1");
    pass({300});
    CHECK(sent.size() == before);
    pass({400});
    CHECK(sent.size() > before);
    CHECK_FALSE(answers.contains(waiting));
    for (size_t i = before; i < sent.size(); ++i)
        answer(SendAttempt(sent[i]), 200, {});
    CHECK(statusOf(waiting) == 200);
    turnAllAway("20");
    const CallerId refused = request("/lookup/1");
    CHECK(statusOf(refused) == 503);
    CHECK(std::stod(headerOfAnswer(refused, "Retry-After")) >= 20);
}

TEST_CASE_FIXTURE(RestFixture, "a new process of an endpoint needs no rest, and does not leave")
{
    for (EndpointEntry &entry : endpoints)
        entry.start.unixMs = 1;
    listEndpoints();
    const EndpointId endpoint = turnedAway({{"Retry-After", "30"}, {"Server-Leaving", "1"}});
    CHECK(sentTo(endpoint, {500}) == 0);
    for (EndpointEntry &entry : endpoints)
        entry.start.unixMs = 2;
    listEndpoints();
    CHECK(sentTo(endpoint, {500}) > 0);
}

TEST_CASE_FIXTURE(RestFixture,
                  "this daemon carries nothing for others to an endpoint at rest, or once one has left")
{
    const EndpointId endpoint = turnedAway({{"Retry-After", "3"}});
    CHECK(gateway.wantsNothing(endpoint, now));
    CHECK_FALSE(gateway.wantsNothing(endpoint, now + DurationMs{4000}));
    gateway.onRelayedNotice(endpoint, {std::nullopt, std::nullopt, true}, now);
    CHECK(gateway.wantsNothing(endpoint, now + DurationMs{4000}));
}

TEST_CASE_FIXTURE(RestFixture, "an engine that says that it leaves while it streams has its streams migrated")
{
    configuration->services[0].engine->migratesGenerations = true;
    configure(configuration);
    CallerRequest stream = makeRequest("/draft/1");
    stream.outputTokens = 600;
    request(stream);
    const SendAttempt attempt = lastSent();
    gateway.onHead(platform::decodeHead(attempt.attempt, *attempt.request, 200,
                                        {{"X-Request-Id", attempt.request->id},
                                         {"Content-Type", "text/event-stream"},
                                         {"Transfer-Encoding", "chunked"},
                                         {"Server-Leaving", "1"}}),
                   now);
    for (uint64_t id = 1; id < 10; ++id) {
        events(attempt.attempt, id, id);
        pass({100});
    }
    // One move, whose call has no reply and is made again.
    REQUIRE(moves.size() >= 1);
    CHECK(moves.size() <= 4);
    for (const MigrateGeneration &move : moves) {
        CHECK(move.attempt == attempt.attempt);
        CHECK(move.target == moves[0].target);
        CHECK(move.step == MigrationStep::Copy);
    }
    replyToMove(MigrationOutcome::Migrated, "h1");
    CHECK(moves.back().step == MigrationStep::Stop);
}
