// Endpoints that crash under their requests, and failed connections that only look like a crash.

#include "gatewayfixture.h"

using namespace cranberry;

namespace {

constexpr const char *Review = "/review/1";
constexpr const char *Draft = "/draft/1";

RequestDigest digestOfRequest(const std::string &organisation, const CallerRequest &request)
{
    return digestOf({organisation}, request.path, request.body);
}

} // namespace

TEST_CASE_FIXTURE(GatewayFixture, "an endpoint that crashes is recorded once, with the requests that it had")
{
    // An engine's process exits under two streams: both connections fail at once, and a new one is refused.
    // The log must state that the engine crashed and which requests it had, so that operators need not infer
    // it from interrupted attempts.
    endpoints = {endpoints[0]};
    listEndpoints();
    request(Review);
    request(Draft);
    head(sent[0].attempt, 200, true);
    events(sent[0].attempt, 1, 3);
    pass({100});
    broken(sent[0].attempt);
    broken(sent[1].attempt);
    REQUIRE(probes.size() == 1);
    CHECK(probes[0].afterConnectionFailure);
    endpointEnded(probes[0].endpoint);
    CHECK(log.count("endpoint_ended") == 1);
    CHECK(log.count("lost_with_endpoint") == 2);
    CHECK(gateway.counters().of(GatewayCount::EndpointsEnded) == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "a failed connection is not recorded as a crash of its endpoint")
{
    // One connection is reset while the engine continues; another engine's instance does not reply, as behind
    // a network partition. Neither has crashed. The reply to an older probe, which asked whether an engine
    // leaves, says nothing about a later interruption.
    request(Review);
    broken(sent[0].attempt);
    gateway.onEngineProbed({sent[0].endpoint, {}, true, false, {}, EndpointProcess::Running}, now);
    CHECK(gateway.counters().of(GatewayCount::EndpointsOutlivedBreaks) == 0);
    gateway.onEngineProbed({sent[0].endpoint, {}, true, false, {}, EndpointProcess::Running, true}, now);
    CHECK(gateway.counters().of(GatewayCount::EndpointsOutlivedBreaks) == 1);
    request(Draft);
    const SendAttempt silent = lastSent();
    broken(silent.attempt);
    gateway.onEngineProbed({silent.endpoint, {}, false, false, {}, EndpointProcess::Unknown, true}, now);
    CHECK(gateway.counters().of(GatewayCount::BreaksUnexplained) == 1);
    CHECK(log.count("endpoint_ended") == 0);
}

TEST_CASE_FIXTURE(GatewayFixture, "a daemon that knows no other one takes its own partition for no crash")
{
    // After an outage of the store no daemon is listed for a while. A daemon that is partitioned then and
    // whose old connection breaks would suspect the requests that it had there.
    request(Review);
    const EndpointId connected = sent[0].endpoint;
    const auto refuse = [this](const EndpointId &id, bool isProbe) {
        EndpointConnected event{id, ConnectFailure::Refused};
        event.isProbe = isProbe;
        gateway.onEndpointConnected(event, now);
        drainActions();
    };
    std::vector<EndpointId> others;
    for (const EndpointEntry &entry : endpoints) {
        if (entry.service.value == "model" && entry.id != connected)
            others.push_back(entry.id);
    }
    refuse(others.at(0), false);
    refuse(others.at(1), false);
    refuse(others.at(0), true);
    REQUIRE(log.count("endpoints_unreached") == 1);
    broken(sent[0].attempt);
    endpointEnded(connected);
    CHECK(log.count("endpoint_ended") == 0);
    CHECK(gateway.counters().of(GatewayCount::BreaksUnexplained) == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "an endpoint that answers with a later start time has crashed before")
{
    // The process exits and is restarted at once under its name: whatever answers there now is another
    // incarnation.
    for (EndpointEntry &entry : endpoints)
        entry.start.unixMs = 1000;
    listEndpoints();
    request(Draft);
    broken(sent[0].attempt);
    gateway.onEngineProbed({sent[0].endpoint, {2000}, true, false, {}, EndpointProcess::Running, true}, now);
    CHECK(gateway.counters().of(GatewayCount::EndpointsEnded) == 1);
}

TEST_CASE("retries of one request have the same digest, other requests have others")
{
    // A caller's retries differ in id, headers and query, but must be recognized as the same request. Another
    // path, body or organisation is another request.
    CallerRequest request;
    request.id = "1";
    request.path = "/review/1";
    request.target = "/review/1?try=1";
    request.body = "body";
    const RequestDigest digest = digestOfRequest("a", request);
    CallerRequest again = request;
    again.id = "2";
    again.target = "/review/1?try=2";
    again.forwarded.push_back({"X-Try", "2"});
    CHECK(digestOfRequest("a", again) == digest);
    CHECK(digestOfRequest("b", request) != digest);
    again.path = "/review/2";
    CHECK(digestOfRequest("a", again) != digest);
    again = request;
    again.body = "other";
    CHECK(digestOfRequest("a", again) != digest);
    CHECK(requestDigestFromText(toText(digest)) == digest);
    CHECK_FALSE(requestDigestFromText("0000000000000000"));
    CHECK_FALSE(requestDigestFromText("xyz"));
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "a response that ends with its connection is complete only if its endpoint still runs")
{
    // Guards against streams and answers that a crash cut off and that look complete.
    const auto unframed = [this](bool isStream) {
        AttemptHead head;
        head.attempt = lastSent().attempt;
        head.status = 200;
        head.eventStream = isStream;
        head.isUnframed = true;
        gateway.onHead(head, now);
    };
    const CallerId stream = request("/review/1");
    const SendAttempt first = lastSent();
    unframed(true);
    events(first.attempt, 1, 3);
    end(first.attempt);
    CHECK(streamEnds.count(stream) == 0);
    REQUIRE(probes.size() == 1);
    SUBCASE("it runs")
    {
        gateway.onEngineProbed({first.endpoint, {}, true, false, {}, EndpointProcess::Running, true}, now);
        drainActions();
        CHECK(streamEnds.at(stream));
    }
    SUBCASE("it crashed")
    {
        endpointEnded(first.endpoint);
        CHECK(streamEnds.count(stream) == 0);
        CHECK(lastSent().endpoint != first.endpoint);
        CHECK(lastSent().resumeAfter == 3);
    }
    SUBCASE("it does not reply")
    {
        gateway.onEngineProbed({first.endpoint,
                                {},
                                false,
                                false,
                                {},
                                EndpointProcess::Unknown,
                                true,
                                false,
                                ConnectFailure::TimedOut},
                               now);
        drainActions();
        CHECK(streamEnds.count(stream) == 0);
        CHECK(lastSent().resumeAfter == 3);
    }
    SUBCASE("it accepts the connection and resets it")
    {
        gateway.onEngineProbed({first.endpoint, {}, false, false, {}, EndpointProcess::Closed, true}, now);
        drainActions();
        CHECK(streamEnds.count(stream) == 0);
        REQUIRE(probes.size() == 2);
        CHECK(probes[1].afterConnectionFailure);
        REQUIRE(probes[1].isRepeat);
        SUBCASE("and does so again: it has too many connections")
        {
            gateway.onEngineProbed(
                {first.endpoint, {}, false, false, {}, EndpointProcess::Closed, true, true}, now);
            drainActions();
            CHECK(streamEnds.at(stream));
        }
        SUBCASE("and nobody listens any more: the sockets of a killed process are closed one by one")
        {
            endpointEnded(first.endpoint);
            CHECK(streamEnds.count(stream) == 0);
            CHECK(lastSent().endpoint != first.endpoint);
            CHECK(lastSent().resumeAfter == 3);
        }
    }
    SUBCASE("it accepts the connection and says nothing")
    {
        gateway.onEngineProbed({first.endpoint, {}, false, false, {}, EndpointProcess::Unknown, true}, now);
        drainActions();
        CHECK(streamEnds.count(stream) == 0);
        CHECK(lastSent().resumeAfter == 3);
    }
    const CallerId order = request("/order/1");
    const SendAttempt sentOrder = lastSent();
    unframed(false);
    data(sentOrder.attempt, "half of an ans");
    end(sentOrder.attempt);
    CHECK(statusOf(order) == 0);
    endpointEnded(sentOrder.endpoint);
    CHECK(statusOf(order) == 502);
}

// Guards against a short answer that its caller takes for whole: an endpoint that runs on may have closed the
// connection in the middle of its answer.
TEST_CASE_FIXTURE(GatewayFixture, "a response without framing reaches its caller without framing")
{
    const auto head = [this](bool isStream, bool isUnframed) {
        AttemptHead out;
        out.attempt = lastSent().attempt;
        out.status = 200;
        out.eventStream = isStream;
        out.isUnframed = isUnframed;
        gateway.onHead(out, now);
    };
    const auto endpointRunsOn = [this] {
        gateway.onEngineProbed({lastSent().endpoint, {}, true, false, {}, EndpointProcess::Running, true},
                               now);
        drainActions();
    };
    const CallerId order = request("/order/1");
    head(false, true);
    data(lastSent().attempt, "half of an ans");
    end(lastSent().attempt);
    endpointRunsOn();
    CHECK(answers.at(order).framing == ResponseFraming::EndsWithConnection);
    CHECK(answers.at(order).body == "half of an ans");

    const CallerId framed = request("/order/1");
    head(false, false);
    end(lastSent().attempt);
    CHECK(answers.at(framed).framing == ResponseFraming::Stated);

    const CallerId stream = request("/review/1");
    head(true, true);
    events(lastSent().attempt, 1, 3);
    CHECK(streamFramings.at(stream) == ResponseFraming::EndsWithConnection);

    // Its caller has been told of chunks, and the endpoint that goes on states no end.
    const CallerId resumed = request("/review/1");
    head(true, false);
    events(lastSent().attempt, 1, 3);
    gateway.onConnectionFailed({lastSent().attempt, true}, now);
    drainActions();
    head(true, true);
    events(lastSent().attempt, 4, 6);
    end(lastSent().attempt);
    endpointRunsOn();
    CHECK(streamFramings.at(resumed) == ResponseFraming::Stated);
    CHECK_FALSE(streamEnds.at(resumed));
}

TEST_CASE_FIXTURE(GatewayFixture, "a stream that ends inside an event is resumed, whatever its framing")
{
    request("/review/1");
    const SendAttempt first = lastSent();
    AttemptHead head;
    head.attempt = first.attempt;
    head.status = 200;
    head.eventStream = head.isUnframed = true;
    gateway.onHead(head, now);
    data(first.attempt, "id: 1\ndata: 1\n\nid: 2\nda");
    end(first.attempt);
    CHECK(lastSent().attempt != first.attempt);
    CHECK(lastSent().resumeAfter == 1);
}
