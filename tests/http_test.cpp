#include "httpclient.h"
#include "httpserver.h"

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
