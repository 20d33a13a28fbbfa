// Endpoints that ask this daemon for a rest, or say that they leave, in their responses.

#include "gatewayfixture.h"

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
        const EndpointId endpoint = lastSent().endpoint;
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
