#include "gateway/io/clocksource.h"
#include "gateway/io/connectfailure.h"
#include "gateway/io/endpointrelay.h"
#include "gatewayfixture.h"
#include "io/socketoptions.h"

#include <boost/asio/io_context.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace cranberry;

namespace {

const Address relayAddress{"127.0.0.1", 16990};
constexpr uint16_t FirstEndpointPort = 16991;
constexpr int EndpointCount = 3;
constexpr size_t BudgetBytes = 4U << 20;

int optionOf(int socket, int name)
{
    int value = 0;
    socklen_t size = sizeof value;
    ::getsockopt(socket, IPPROTO_TCP, name, &value, &size);
    return value;
}

/// A relay before three endpoints of one service, of which those in `listening` run.
class RelayFixture
{
public:
    RelayFixture(const std::set<int> &listening, const HttpHandler &handler) : gateway_(settings(), log_)
    {
        std::shared_ptr<ServingConfiguration> configuration = std::make_shared<ServingConfiguration>();
        configuration->version = 1;
        configuration->index();
        gateway_.onConfiguration({configuration, steadyNow()}, steadyNow());
        EndpointsRead read;
        read.askedAt = steadyNow();
        for (int i = 0; i < EndpointCount; ++i) {
            EndpointEntry entry;
            entry.id.value = "endpoint-" + std::to_string(i);
            entry.service.value = "plain";
            entry.address = {"127.0.0.1", static_cast<uint16_t>(FirstEndpointPort + i)};
            read.entries.push_back(entry);
            if (listening.contains(i))
                servers_.push_back(
                    std::make_unique<HttpServer>(io_, entry.address, HttpServerLimits{}, handler));
        }
        gateway_.onEndpoints(read, steadyNow());
    }

    struct Reply {
        HttpResponse response;
        std::optional<RelayOutcome> outcome;
    };
    Reply ask(const HttpRequest &request, const std::string &endpoint, bool isProbe = false)
    {
        HttpCall call;
        call.address = relayAddress;
        call.request = request;
        addRelayHeaders(call.request, EndpointId{endpoint}, isProbe);
        Reply reply;
        client_.fetch(std::move(call), [&](const HttpResponse &response) {
            reply = {response, relayOutcomeOf(response.headers)};
            io_.stop();
        });
        run();
        return reply;
    }
    void run()
    {
        io_.restart();
        io_.run_for(std::chrono::seconds(3));
    }

    boost::asio::io_context io_;
    RecordingLog log_;
    Gateway gateway_;
    std::vector<std::unique_ptr<HttpServer>> servers_;
    HttpClient endpoints_{io_};
    HttpClient client_{io_};
    EndpointRelay relay_{endpoints_, gateway_, [this] { gateway_.takeActions(); }};
    HttpServer relayServer_{io_, relayAddress, EndpointRelay::limitsFor({}),
                            [this](const HttpExchangePtr &exchange) { relay_.onRequest(exchange); },
                            relay_.share(std::make_shared<ByteBudget>(BudgetBytes))};

private:
    static GatewaySettings settings()
    {
        GatewaySettings settings;
        settings.instance.value = "entry-1";
        return settings;
    }
};

const HttpRequest request{
    "PUT", "/a/b?c=d", {{"X-Request-Id", "r1"}, {"Cranberry-Relay-Endpoint", "forged"}}, "body"};

} // namespace

TEST_CASE("a relay passes request and response on unchanged")
{
    HttpRequest seen;
    RelayFixture fixture({0, 1, 2}, [&seen](const HttpExchangePtr &exchange) {
        seen = exchange->request();
        exchange->beginStream(206, {{"X-Request-Id", "r1"}, {"Cranberry-Relay-Outcome", "forged"}});
        exchange->write("one ");
        exchange->write("two");
        exchange->finish();
    });
    const RelayFixture::Reply reply = fixture.ask(request, "endpoint-1");
    CHECK(seen.method == "PUT");
    CHECK(seen.target == "/a/b?c=d");
    CHECK(seen.body == "body");
    CHECK(headerOf(seen.headers, "X-Request-Id") == "r1");
    CHECK(headerOf(seen.headers, "Cranberry-Relay-Endpoint").empty());
    CHECK(reply.response.failure == HttpFailure::None);
    CHECK(reply.response.status == 206);
    CHECK(reply.response.body == "one two");
    CHECK(reply.outcome == RelayOutcome::Reached);
    CHECK(headerOf(withoutRelayHeaders(reply.response.headers), "Cranberry-Relay-Outcome").empty());
}

// Guards against requests that are lost because the relay has no memory for them: nothing was sent to an
// endpoint.
TEST_CASE("a relay that refuses a request before it reads it says that it did not accept it")
{
    RelayFixture fixture({0}, [](const HttpExchangePtr &exchange) { exchange->respond(200, {}, ""); });
    HttpRequest large = request;
    large.body = std::string(EndpointRelay::limitsFor({}).maxBodyBytes, 'b');
    const RelayFixture::Reply reply = fixture.ask(large, "endpoint-0");
    CHECK(reply.outcome == RelayOutcome::Unavailable);
    CHECK(relayFailureOf(reply.response.failure, reply.outcome) == RelayFailure::Unavailable);
}

TEST_CASE("a response that ends with its connection is known as such behind a relay")
{
    const HttpHeaders fromRelay{{"Transfer-Encoding", "chunked"},
                                {"Cranberry-Relay-Outcome", "reached"},
                                {"Cranberry-Relay-Unframed", "1"}};
    CHECK(!isFramed(withoutRelayHeaders(fromRelay)));
    CHECK(isFramed(withoutRelayHeaders({{"Transfer-Encoding", "chunked"}})));
    RelayFixture fixture({0, 1, 2},
                         [](const HttpExchangePtr &exchange) { exchange->respond(200, {}, "whole"); });
    CHECK(isFramed(withoutRelayHeaders(fixture.ask(request, "endpoint-1").response.headers)));
}

// Guards against "not run" for a request that an endpoint may have run, and the reverse.
TEST_CASE("a relay tells what it could not send from what may have run")
{
    RelayFixture fixture({0}, [](const HttpExchangePtr &exchange) { exchange->abort(); });
    RelayFixture::Reply reply = fixture.ask(request, "endpoint-1");
    CHECK(reply.outcome == RelayOutcome::EndpointUnreached);
    CHECK(relayFailureOf(reply.response.failure, reply.outcome) == RelayFailure::EndpointUnreached);
    reply = fixture.ask(request, "endpoint-0");
    CHECK_FALSE(reply.outcome);
    CHECK(relayFailureOf(reply.response.failure, reply.outcome) == RelayFailure::None);
    reply = fixture.ask(request, "endpoint-7");
    CHECK(reply.outcome == RelayOutcome::Unavailable);
    CHECK(relayFailureOf(HttpFailure::Refused, std::nullopt) == RelayFailure::Unavailable);
    CHECK(fixture.relay_.openCalls() == 0);
}

// Guards against an endpoint that was reached and passes for out of reach, since it broke off later.
TEST_CASE("only failures before a connection was established are failures to connect")
{
    CHECK(connectFailureOf(HttpFailure::Refused) == ConnectFailure::Refused);
    CHECK(connectFailureOf(HttpFailure::NotSent) == ConnectFailure::TimedOut);
    CHECK(connectFailureOf(HttpFailure::Interrupted) == ConnectFailure::None);
    CHECK(connectFailureOf(HttpFailure::None) == ConnectFailure::None);
}

// Guards against a crash that is reported by a daemon that reaches no endpoint itself.
TEST_CASE("a relay calls an endpoint exited only if it reaches another one")
{
    const HttpHandler answer = [](const HttpExchangePtr &exchange) { exchange->respond(200, {}, "ok"); };
    CHECK(RelayFixture({0, 2}, answer).ask(request, "endpoint-1", true).outcome
          == RelayOutcome::EndpointExited);
    CHECK(RelayFixture({}, answer).ask(request, "endpoint-1", true).outcome
          == RelayOutcome::EndpointUnreached);
}

// Guards against a crash that passes for unknown, since the endpoint that was to confirm it crashed, too.
TEST_CASE("a relay confirms the crashes of all but one of a service's endpoints")
{
    RelayFixture fixture({0}, [](const HttpExchangePtr &exchange) { exchange->respond(200, {}, "ok"); });
    for (int i = 0; i < 20; ++i) {
        CAPTURE(i);
        CHECK(fixture.ask(request, i % 2 == 0 ? "endpoint-1" : "endpoint-2", true).outcome
              == RelayOutcome::EndpointExited);
    }
    CHECK(fixture.log_.count("endpoints_unreached") == 0);
}

// Guards against endpoints that work on for callers that have gone.
TEST_CASE("a relay closes its connection when the asking daemon closes")
{
    bool isClosed = false;
    RelayFixture *running = nullptr;
    RelayFixture fixture({1}, [&](const HttpExchangePtr &exchange) {
        exchange->onClosed([&] {
            isClosed = true;
            running->io_.stop();
        });
        running->client_.cancel(1);
    });
    running = &fixture;
    HttpCall call;
    call.address = relayAddress;
    call.request = request;
    addRelayHeaders(call.request, EndpointId{"endpoint-1"}, false);
    CHECK(fixture.client_.start(std::move(call), {}) == 1);
    fixture.run();
    CHECK(isClosed);
    CHECK(fixture.relay_.openCalls() == 0);
}

// Guards against a TCP_USER_TIMEOUT that ends connections sooner or later than their keep-alive probes would.
TEST_CASE("the user time-out of a socket equals the time in which its keep-alive probes give up")
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(socket >= 0);
    setSocketOptions(socket);
    const int probesMs = 1000
        * (optionOf(socket, TCP_KEEPIDLE) + optionOf(socket, TCP_KEEPINTVL) * optionOf(socket, TCP_KEEPCNT));
    CHECK(optionOf(socket, TCP_USER_TIMEOUT) == probesMs);
    ::close(socket);
}
