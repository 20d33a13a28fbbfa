#include "daemon/io/endpointlink.h"
#include "io/httpclient.h"
#include "io/httpserver.h"

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

using namespace cranberry;

namespace {

constexpr int Requests = 6000;
constexpr int AtOnce = 24;
const Address serverAddress{"127.0.0.1", 16999};

} // namespace

// The callers open a connection, send a request, and wait a moment for its answer; none of them goes away.
// Late news of bytes that were already read must not pass for "the caller has gone": the connection would be
// closed without an answer.
TEST_CASE("a waiting caller is not taken for one that went away")
{
    boost::asio::io_context io;
    int closed = 0;
    HttpServer server(io, serverAddress, {}, [&io, &closed](const HttpExchangePtr &exchange) {
        exchange->onClosed([&closed] { ++closed; });
        std::shared_ptr<boost::asio::steady_timer> timer
            = std::make_shared<boost::asio::steady_timer>(io, std::chrono::milliseconds(1));
        timer->async_wait(
            [timer, exchange](const boost::system::error_code &) { exchange->respond(200, {}, "ok"); });
    });
    HttpClient client(io);
    int started = 0;
    int whole = 0;
    int done = 0;
    std::function<void()> next = [&] {
        if (started == Requests)
            return;
        ++started;
        HttpCall call;
        call.address = serverAddress;
        call.freshConnection = true;
        client.fetch(std::move(call), [&](const HttpResponse &response) {
            whole += response.failure == HttpFailure::None && response.body == "ok" ? 1 : 0;
            if (++done == Requests)
                io.stop();
            next();
        });
    };
    for (int i = 0; i < AtOnce; ++i)
        next();
    io.run();
    CHECK(closed == 0);
    CHECK(whole == Requests);
}

namespace {

/// What the endpoint link reports of a request whose connection the endpoint cuts, with or without its end.
FailurePhase phaseOfCut(bool endpointEnds)
{
    boost::asio::io_context io;
    std::unique_ptr<HttpServer> server;
    server = std::make_unique<HttpServer>(io, serverAddress, HttpServerLimits{},
                                          [&](const HttpExchangePtr &exchange) {
                                              if (exchange->request().target == "/health")
                                                  return exchange->respond(200, {}, "");
                                              if (endpointEnds)
                                                  server.reset();
                                              exchange->abort();
                                          });
    HttpClient client(io);
    std::optional<FailurePhase> phase;
    EndpointLink link(client, [&](const Event &event) {
        if (const EndpointFailed *failed = std::get_if<EndpointFailed>(&event))
            phase = failed->phase;
        io.stop();
    });
    StartAttempt attempt;
    attempt.attempt = {1};
    attempt.address = serverAddress;
    attempt.progressTimeout = {2000};
    std::shared_ptr<RequestSpec> spec = std::make_shared<RequestSpec>();
    spec->body = "{}";
    attempt.spec = spec;
    link.start(attempt);
    io.run_for(std::chrono::seconds(5));
    REQUIRE(phase);
    return *phase;
}

} // namespace

TEST_CASE("an endpoint that ends is told from one that cuts a connection")
{
    // Both look the same to the request that was there; only a new connection tells. Taken for an end, each
    // cut would count against the request; not seen as one, a request could end endpoint after endpoint.
    CHECK(phaseOfCut(true) == FailurePhase::Ended);
    CHECK(phaseOfCut(false) == FailurePhase::AfterSend);
}
