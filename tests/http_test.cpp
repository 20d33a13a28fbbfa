#include "daemon/io/endpointlink.h"
#include "io/httpclient.h"
#include "io/httpserver.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace cranberry;

namespace {

constexpr int Requests = 6000;
constexpr int ConcurrentRequests = 24;
const Address serverAddress{"127.0.0.1", 16999};

} // namespace

// Each caller opens a connection, sends a request and waits for the response. Guards against a late readiness
// event for bytes that were already read being mistaken for the caller's close: the server would close the
// connection without a response.
TEST_CASE("a waiting caller is not mistaken for one that closed its connection")
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
    int completed = 0;
    int done = 0;
    std::function<void()> next = [&] {
        if (started == Requests)
            return;
        ++started;
        HttpCall call;
        call.address = serverAddress;
        call.freshConnection = true;
        client.fetch(std::move(call), [&](const HttpResponse &response) {
            completed += response.failure == HttpFailure::None && response.body == "ok" ? 1 : 0;
            if (++done == Requests)
                io.stop();
            next();
        });
    };
    for (int i = 0; i < ConcurrentRequests; ++i)
        next();
    io.run();
    CHECK(closed == 0);
    CHECK(completed == Requests);
}

namespace {

/// Returns the failure phase that the endpoint link reports when the endpoint aborts the connection, either
/// because its process exits or while it continues to run.
FailurePhase failurePhaseAfterAbort(bool endpointExits)
{
    boost::asio::io_context io;
    std::unique_ptr<HttpServer> server;
    server = std::make_unique<HttpServer>(io, serverAddress, HttpServerLimits{},
                                          [&](const HttpExchangePtr &exchange) {
                                              if (exchange->request().target == "/health")
                                                  return exchange->respond(200, {}, "");
                                              if (endpointExits)
                                                  server.reset();
                                              exchange->abort();
                                          });
    HttpClient client(io);
    std::optional<FailurePhase> phase;
    EndpointLink link(client, nullptr, [&](const Event &event) {
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

namespace {

struct EngineResult {
    std::string text;
    bool isWhole = false;
};

/// Returns what the endpoint link makes of an engine's complete response with these bytes.
EngineResult resultOfEngineStream(const std::string &stream)
{
    boost::asio::io_context io;
    HttpServer server(io, serverAddress, {}, [&stream](const HttpExchangePtr &exchange) {
        exchange->respond(200, {{"Content-Type", "text/event-stream"}}, stream);
    });
    HttpClient client(io);
    EngineResult out;
    EndpointLink link(client, nullptr, [&](const Event &event) {
        if (const EndpointData *data = std::get_if<EndpointData>(&event)) {
            out.text += data->text;
            return;
        }
        out.isWhole = std::holds_alternative<EndpointEnd>(event);
        io.stop();
    });
    StartAttempt attempt;
    attempt.attempt = {1};
    attempt.address = serverAddress;
    attempt.progressTimeout = {2000};
    attempt.kind = ServiceKind::Model;
    std::shared_ptr<RequestSpec> spec = std::make_shared<RequestSpec>();
    spec->body = "{}";
    attempt.spec = spec;
    link.start(attempt);
    io.run_for(std::chrono::seconds(5));
    return out;
}

} // namespace

// Guards against an answer that lacks a piece and ends as complete, since a damaged event was passed over.
TEST_CASE("an engine's stream with a damaged event or an error is not complete")
{
    const std::string first = R"(data: {"choices":[{"delta":{"content":"a"}}]})";
    const std::string last = R"(data:{"choices":[{"delta":{"content":"c"}}]})";
    const std::string end = "\n\n" + last + "\n\ndata: [DONE]\n\n";
    for (const char *damaged : {R"(data: {"choices":[{"delta":{"content":"b"}}])", "data: 7", "data: \"b\"",
                                R"(data: {"error":{"message":"out of memory"}})"}) {
        const EngineResult result = resultOfEngineStream(fmt::format("{}\n\n{}{}", first, damaged, end));
        CHECK_MESSAGE(!result.isWhole, damaged);
        CHECK(result.text == "a");
    }
    for (const char *harmless : {": still here", "event: more", "data:", "data: {}", "id: 7"}) {
        const EngineResult result = resultOfEngineStream(fmt::format("{}\n\n{}{}", first, harmless, end));
        CHECK_MESSAGE(result.isWhole, harmless);
        CHECK(result.text == "ac");
    }
}

TEST_CASE("an endpoint crash is distinguished from an aborted connection")
{
    // Both look the same on the request's connection; only a new connection shows the difference. If an abort
    // were taken for a crash, it would count towards the request's quarantine; if a crash were missed, one
    // request could crash endpoint after endpoint.
    CHECK(failurePhaseAfterAbort(true) == FailurePhase::EndpointExited);
    CHECK(failurePhaseAfterAbort(false) == FailurePhase::AfterSend);
}

namespace {

/// Sends `begin` on each connection and then bytes without end, until the client closes.
class EndlessServer
{
public:
    EndlessServer(boost::asio::io_context &io, std::string begin)
        : acceptor_(io, {boost::asio::ip::make_address(serverAddress.host), serverAddress.port}),
          begin_(std::move(begin)), filler_(64U << 10, 'a')
    {
        accept();
    }

    size_t sent = 0;
    bool isClosed = false;

private:
    using Socket = boost::asio::ip::tcp::socket;
    void accept()
    {
        acceptor_.async_accept([this](boost::system::error_code code, Socket socket) {
            if (!code)
                write(std::make_shared<Socket>(std::move(socket)), begin_);
        });
    }
    void write(const std::shared_ptr<Socket> &socket, const std::string &bytes)
    {
        boost::asio::async_write(*socket, boost::asio::buffer(bytes),
                                 [this, socket](boost::system::error_code code, size_t size) {
                                     sent += size;
                                     isClosed = isClosed || code.failed();
                                     if (!code)
                                         write(socket, filler_);
                                 });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    std::string begin_;
    std::string filler_;
};

} // namespace

// Guards against memory that grows, and calls that never end, with an endpoint that does not stop sending.
TEST_CASE("bytes without end fail the call and close its connection")
{
    constexpr size_t MaxSent = 64U << 20;
    const std::vector<std::string> begins
        = {"",
           "HTTP/1.1 ",
           "HTTP/1.1 200 OK\r\nX-Name: ",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ",
           "HTTP/1.1 200 OK\r\n\r\n",
           "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"};
    for (const std::string &begin : begins) {
        CAPTURE(begin);
        boost::asio::io_context io;
        EndlessServer server(io, begin);
        HttpClient client(io);
        std::optional<HttpFailure> failure;
        size_t kept = 0;
        HttpCall call;
        call.address = serverAddress;
        client.fetch(std::move(call), [&](const HttpResponse &response) {
            failure = response.failure;
            kept = response.body.size();
        });
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!server.isClosed && std::chrono::steady_clock::now() < until)
            io.run_one_for(std::chrono::milliseconds(100));
        REQUIRE(failure);
        CHECK(*failure == HttpFailure::Interrupted);
        CHECK(server.isClosed);
        CHECK(server.sent <= MaxSent);
        CHECK(kept <= MaxSent / 4);
    }
}

// Guards against a caller that ends the process: the HTTP library throws for a TRACE request with a body.
TEST_CASE("requests with any method, with and without a body, end as such")
{
    boost::asio::io_context io;
    size_t handled = 0;
    HttpServer server(io, serverAddress, {}, [&handled](const HttpExchangePtr &exchange) {
        ++handled;
        exchange->respond(200, {}, exchange->request().body);
    });
    HttpClient client(io);
    size_t ended = 0;
    size_t refused = 0;
    const std::vector<std::string> methods
        = {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "X"};
    for (const std::string &method : methods) {
        for (const std::string &body : {std::string(), std::string("body")}) {
            HttpCall call;
            call.address = serverAddress;
            call.request = {method, "/", {}, body};
            call.totalTimeout = {1000};
            client.fetch(std::move(call), [&](const HttpResponse &response) {
                refused += response.status == 400 ? 1 : 0;
                if (++ended == 2 * methods.size())
                    io.stop();
            });
        }
    }
    io.run_for(std::chrono::seconds(10));
    CHECK(ended == 2 * methods.size());
    CHECK(refused == 1);
    CHECK(handled == 2 * methods.size() - 1);
}

namespace {

/// Answers each request at once and never closes a connection.
class KeepingServer
{
public:
    KeepingServer(boost::asio::io_context &io, const std::string &headers)
        : acceptor_(io, {boost::asio::ip::make_address(serverAddress.host), serverAddress.port}),
          answer_("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + headers + "\r\n")
    {
        accept();
    }

    size_t open = 0;

private:
    struct Connection {
        boost::asio::ip::tcp::socket socket;
        std::array<char, 1024> bytes{};
    };
    void accept()
    {
        acceptor_.async_accept([this](boost::system::error_code code, boost::asio::ip::tcp::socket socket) {
            if (code)
                return;
            ++open;
            read(std::make_shared<Connection>(Connection{std::move(socket)}));
            accept();
        });
    }
    void read(const std::shared_ptr<Connection> &connection)
    {
        connection->socket.async_read_some(boost::asio::buffer(connection->bytes),
                                           [this, connection](boost::system::error_code code, size_t) {
                                               if (code) {
                                                   --open;
                                                   return;
                                               }
                                               boost::asio::write(connection->socket,
                                                                  boost::asio::buffer(answer_));
                                               read(connection);
                                           });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    std::string answer_;
};

/// Returns how many connections are open so long after three requests at the same time.
std::vector<size_t> openConnections(const std::string &headers, const std::vector<int> &afterMs)
{
    boost::asio::io_context io;
    KeepingServer server(io, headers);
    HttpClient client(io);
    for (int i = 0; i < 3; ++i) {
        HttpCall call;
        call.address = serverAddress;
        client.fetch(std::move(call), [](const HttpResponse &) {});
    }
    std::vector<size_t> open;
    const auto start = std::chrono::steady_clock::now();
    for (const int ms : afterMs) {
        io.run_until(start + std::chrono::milliseconds(ms));
        io.restart();
        open.push_back(server.open);
    }
    return open;
}

} // namespace

// Guards against descriptors that are used up by connections which nobody uses any more.
TEST_CASE("a connection that is not used again is closed when its keep-alive ends")
{
    CHECK(openConnections("Keep-Alive: timeout=2\r\n", {600, 2000}) == std::vector<size_t>{3, 0});
    CHECK(openConnections("", {2000, 4000}) == std::vector<size_t>{3, 0});
}

namespace {

/// Sends one request byte for byte, and returns what came back until the server closed.
std::string rawResponse(boost::asio::io_context &io, const std::string &text)
{
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address(serverAddress.host), serverAddress.port});
    boost::asio::async_write(socket, boost::asio::buffer(text), [](boost::system::error_code, size_t) {});
    std::string received;
    bool isClosed = false;
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(received),
                            [&isClosed](boost::system::error_code, size_t) { isClosed = true; });
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!isClosed && std::chrono::steady_clock::now() < until)
        io.run_one_for(std::chrono::milliseconds(100));
    return received;
}

} // namespace

// Guards against memory that grows with a line that has no end: the body's limit does not apply to it.
TEST_CASE("lines of a chunked body that don't end are refused at the header's limit")
{
    const std::string endless(64U << 10, 'a');
    for (const std::string &begin :
         {"0\r\nX-Trailer: " + endless, "1;" + endless, std::string(64U << 10, '0')}) {
        boost::asio::io_context io;
        HttpServer server(io, serverAddress, {}, [](const HttpExchangePtr &) { FAIL("was handled"); });
        const std::string response
            = rawResponse(io, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + begin);
        CHECK(response.starts_with("HTTP/1.1 431"));
        CHECK(server.counters().tooLarge == 1);
    }
}

// Guards against bodies that are taken for nothing, and against responses that a reset discards.
TEST_CASE("a request that its header refuses gets its response before its body is read")
{
    boost::asio::io_context io;
    HttpServerShare share;
    share.checkHead = [](const HttpRequest &head) -> HeadVerdict {
        if (head.target == "/known")
            return {};
        return {[](const HttpExchangePtr &exchange) { exchange->respond(404, {}, "unknown"); }, {}};
    };
    HttpServer server(
        io, serverAddress, {},
        [](const HttpExchangePtr &exchange) { exchange->respond(200, {}, exchange->request().body); }, share);
    const std::string length = " HTTP/1.1\r\nConnection: close\r\nContent-Length: 1000000\r\n";
    CHECK(rawResponse(io, "POST /other" + length + "\r\nbegin").starts_with("HTTP/1.1 404"));
    CHECK(
        rawResponse(io, "POST /other" + length + "Expect: 100-continue\r\n\r\n").starts_with("HTTP/1.1 404"));
    CHECK(server.counters().unreadBodies == 2);
    const std::string whole = rawResponse(
        io, "POST /known" + length + "Expect: 100-continue\r\n\r\n" + std::string(1000000, 'b'));
    CHECK(whole.starts_with("HTTP/1.1 100"));
    CHECK(whole.find("HTTP/1.1 200") != std::string::npos);
    CHECK(whole.size() > 1000000);
}

// Guards against a body that is kept several times, or counted after its last copy has gone.
TEST_CASE("a body exists once, and its bytes are free when the last copy ends")
{
    constexpr size_t Size = 1U << 20;
    boost::asio::io_context io;
    HttpServerShare share;
    share.bytes = std::make_shared<ByteBudget>(8 * Size);
    Body kept;
    HttpServer server(
        io, serverAddress, {},
        [&kept](const HttpExchangePtr &exchange) {
            kept = exchange->request().body;
            CHECK(&kept.text() == &exchange->request().body.text());
            exchange->respond(200, {}, "");
        },
        share);
    const std::string head = "POST / HTTP/1.1\r\nConnection: close\r\n";
    for (const std::string &body : {fmt::format("Content-Length: {}\r\n\r\n", Size) + std::string(Size, 'b'),
                                    fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n", Size)
                                        + std::string(Size, 'b') + "\r\n0\r\n\r\n"}) {
        rawResponse(io, head + body);
        CHECK(kept.size() == Size);
        CHECK(share.bytes->used() >= Size);
        CHECK(share.bytes->used() < 2 * Size);
        kept = {};
        for (int i = 0; i < 100 && share.bytes->used() > 0; ++i)
            io.run_one_for(std::chrono::milliseconds(100)); // Until the connection is closed.
        CHECK(share.bytes->used() == 0);
    }
}

// Guards against memory that clients hold by reading nothing: what was stuck first may have been small.
TEST_CASE("a client that does not read its response gives way")
{
    constexpr size_t Size = 1U << 20;
    boost::asio::io_context io;
    HttpServerShare share;
    share.bytes = std::make_shared<ByteBudget>(2 * Size);
    HttpExchangePtr open;
    bool isClosed = false;
    HttpServer server(
        io, serverAddress, {},
        [&](const HttpExchangePtr &exchange) {
            open = exchange;
            exchange->onClosed([&isClosed] { isClosed = true; });
            exchange->beginStream(200, {});
        },
        share);
    boost::asio::ip::tcp::socket client(io);
    client.connect({boost::asio::ip::make_address(serverAddress.host), serverAddress.port});
    boost::asio::write(client, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    while (!open)
        io.run_one_for(std::chrono::milliseconds(100));
    while (open->pendingBytes() < Size + Size / 4) {
        open->write(std::string(4000, 's'));
        io.poll();
    }
    ByteClaim other(share.bytes, "other");
    const TimeMs later = HttpServer::now() + ByteBudget::MinSlowTime;
    CHECK(other.growTo(Size, nullptr, later));
    CHECK(isClosed);
    CHECK(open->closeCause() == CloseCause::GaveWay);
}

namespace {

using ClientSocket = boost::asio::ip::tcp::socket;

/// A server that keeps its newest exchange open, and one client that has sent a request.
struct ServedClient {
    explicit ServedClient(HttpServerShare share = {}, HttpServerLimits limits = {})
        : server(
            io, serverAddress, limits, [this](const HttpExchangePtr &exchange) { onRequest(exchange); },
            std::move(share)),
          client(io)
    {
        client.connect({boost::asio::ip::make_address(serverAddress.host), serverAddress.port});
        send("GET / HTTP/1.1\r\n\r\n");
        while (!open)
            io.run_one_for(std::chrono::milliseconds(100));
    }

    void send(const std::string &bytes) { boost::asio::write(client, boost::asio::buffer(bytes)); }
    /// More than the sockets' buffers take.
    void beginUnreadStream()
    {
        open->beginStream(200, {});
        while (!isClosed && open->pendingBytes() < 4000) {
            open->write(std::string(64U << 10, 's'));
            io.poll();
        }
    }
    CloseCause causeOfClose()
    {
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!isClosed && std::chrono::steady_clock::now() < until)
            io.run_one_for(std::chrono::milliseconds(100));
        CHECK(isClosed);
        return open->closeCause();
    }

    void onRequest(const HttpExchangePtr &exchange)
    {
        open = exchange;
        open->onClosed([this] { isClosed = true; });
    }

    boost::asio::io_context io;
    HttpExchangePtr open;
    bool isClosed = false;
    HttpServer server;
    ClientSocket client;
};

HttpServerShare shareOf(size_t bytes)
{
    HttpServerShare share;
    share.bytes = std::make_shared<ByteBudget>(bytes);
    return share;
}

} // namespace

// Guards against a close by the server that is told as one by its client, and the reverse.
TEST_CASE("a connection that closes while it is served tells who closed it, and why")
{
    SUBCASE("the client closes")
    {
        ServedClient served;
        CHECK(served.open->closeCause() == CloseCause::NoRequest);
        served.client.close();
        CHECK(served.causeOfClose() == CloseCause::ClientClosed);
    }
    SUBCASE("the client closes its sending side")
    {
        ServedClient served;
        served.client.shutdown(ClientSocket::shutdown_send);
        CHECK(served.causeOfClose() == CloseCause::ClientClosed);
    }
    SUBCASE("the client resets the connection")
    {
        ServedClient served;
        served.client.set_option(boost::asio::socket_base::linger(true, 0));
        served.client.close();
        CHECK(served.causeOfClose() == CloseCause::ClientReset);
    }
    SUBCASE("a write fails")
    {
        ServedClient served;
        served.send("ahead");
        served.io.run_for(std::chrono::milliseconds(20)); // The close is seen by the write alone.
        served.client.set_option(boost::asio::socket_base::linger(true, 0));
        served.client.close();
        served.open->beginStream(200, {});
        served.open->write("event");
        CHECK(served.causeOfClose() == CloseCause::ClientReset);
    }
    SUBCASE("the client does not read for the write timeout")
    {
        HttpServerLimits limits;
        limits.writeTimeout = DurationMs{50};
        ServedClient served({}, limits);
        served.beginUnreadStream();
        CHECK(served.causeOfClose() == CloseCause::WriteTimedOut);
    }
    SUBCASE("too much of the response is unread")
    {
        constexpr size_t Size = 1U << 20;
        ServedClient served(shareOf(Size));
        served.open->beginStream(200, {});
        served.open->write(std::string(16 * Size, 's'));
        CHECK(served.causeOfClose() == CloseCause::UnsentBytes);
    }
    SUBCASE("bytes sent ahead have no room")
    {
        ServedClient served(shareOf(ByteBudget::SmallClaim));
        served.send("GET / HTTP/1.1\r\n\r\n");
        CHECK(served.causeOfClose() == CloseCause::NoRoomAhead);
    }
    SUBCASE("a new connection takes its place")
    {
        HttpServerShare share;
        share.maxConnections = 1;
        ServedClient served(std::move(share));
        served.beginUnreadStream();
        served.io.run_for(std::chrono::milliseconds(2 * ByteBudget::MinSlowTime.count));
        ClientSocket other(served.io);
        other.connect({boost::asio::ip::make_address(serverAddress.host), serverAddress.port});
        CHECK(served.causeOfClose() == CloseCause::MadeRoom);
    }
    SUBCASE("the handler aborts it")
    {
        ServedClient served;
        served.open->abort();
        CHECK(served.causeOfClose() == CloseCause::Aborted);
    }
}

TEST_CASE(
    "a reply that stalls gives way to others, and a call without room for its reply ends as interrupted")
{
    // Servers that stop within their replies would hold all of the room that a process has for replies.
    boost::asio::io_context io;
    static constexpr size_t Size = 200U << 10;
    const ByteBudgetPtr replies = std::make_shared<ByteBudget>(2 * Size);
    HttpServer server(io, serverAddress, {}, [](const HttpExchangePtr &exchange) {
        exchange->beginStream(200, {});
        exchange->write(std::string(Size, 'r'));
        if (exchange->request().target == "/whole")
            exchange->finish();
    });
    HttpClient client(io, replies);
    std::vector<std::string> ends;
    const auto fetch = [&](const std::string &target) {
        HttpCall call;
        call.address = serverAddress;
        call.request = {"GET", target, {}, {}};
        call.maxBodyBytes = Size;
        client.fetch(std::move(call), [&ends, target](const HttpResponse &response) {
            const bool isWhole = response.failure == HttpFailure::None && response.body.size() == Size;
            ends.push_back(target + (isWhole ? " whole" : " interrupted"));
        });
    };
    fetch("/stalls");
    io.run_for(std::chrono::milliseconds(2 * ByteBudget::MinSlowTime.count));
    CHECK(ends.empty());
    CHECK(replies->used() == Size);
    fetch("/whole");
    io.run_for(std::chrono::milliseconds(500));
    CHECK(ends == std::vector<std::string>{"/stalls interrupted", "/whole whole"});
    CHECK(replies->used() == 0);
    ByteClaim all(replies);
    all.set(2 * Size, HttpServer::now());
    fetch("/whole");
    io.run_for(std::chrono::milliseconds(500));
    CHECK(ends.back() == "/whole interrupted");
    CHECK(ends.size() == 3);
}

namespace {

enum class ServerEnd : uint8_t {
    Close, ///< A reset, too, if the request was not read to its end.
    Reset,
    HalfClose, ///< Closes its own side and reads no further.
    HalfCloseThenReset
};

/// Sends `answer` on each connection once the begin of a request has come, and ends the connection so.
class CutServer
{
public:
    CutServer(boost::asio::io_context &io, std::string answer, ServerEnd end, DurationMs endsAfter = {0})
        : acceptor_(io, {boost::asio::ip::make_address(serverAddress.host), serverAddress.port}), timer_(io),
          answer_(std::move(answer)), end_(end), endsAfter_(endsAfter)
    {
        acceptor_.async_accept([this](boost::system::error_code code, Socket socket) {
            if (!code)
                respond(std::make_shared<Socket>(std::move(socket)));
        });
    }

private:
    using Socket = boost::asio::ip::tcp::socket;
    void respond(const std::shared_ptr<Socket> &socket)
    {
        socket->async_read_some(boost::asio::buffer(request_), [this, socket](auto, size_t) {
            boost::asio::async_write(*socket, boost::asio::buffer(answer_), [this, socket](auto, size_t) {
                timer_.expires_after(std::chrono::milliseconds(endsAfter_.count));
                timer_.async_wait([this, socket](auto) { end(socket); });
            });
        });
    }
    void end(const std::shared_ptr<Socket> &socket)
    {
        if (end_ == ServerEnd::HalfClose || end_ == ServerEnd::HalfCloseThenReset)
            socket->shutdown(Socket::shutdown_send);
        if (end_ == ServerEnd::HalfClose) {
            halfClosed_ = socket;
            return;
        }
        if (end_ != ServerEnd::Close)
            socket->set_option(boost::asio::socket_base::linger(true, 0));
        socket->close();
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    std::string answer_;
    ServerEnd end_;
    DurationMs endsAfter_;
    std::shared_ptr<Socket> halfClosed_;
    std::array<char, 4096> request_;
};

HttpResponse responseTo(const HttpRequest &request, const std::string &answer, ServerEnd end,
                        DurationMs endsAfter = {0})
{
    boost::asio::io_context io;
    CutServer server(io, answer, end, endsAfter);
    HttpClient client(io);
    std::optional<HttpResponse> received;
    HttpCall call;
    call.address = serverAddress;
    call.request = request;
    client.fetch(std::move(call), [&](const HttpResponse &response) {
        received = response;
        io.stop();
    });
    io.run_for(std::chrono::seconds(10));
    REQUIRE(received);
    return *received;
}

HttpResponse responseTo(const std::string &answer, bool resets, const std::string &method = "GET")
{
    return responseTo({method, "/", {}, {}}, answer, resets ? ServerEnd::Reset : ServerEnd::Close);
}

} // namespace

// Guards against an answer that was cut short and is taken for whole, by any caller of the client: attempts,
// relays, peers, the store, duties, the platform.
TEST_CASE("an answer with framing that is cut at any byte fails its call")
{
    const std::string answers[]
        = {"HTTP/1.1 200 OK\r\nX-Name: value\r\nContent-Length: 5\r\n\r\nwhole",
           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Name: value\r\n\r\nwhole",
           "HTTP/1.1 200 OK\nX-Name: value\nContent-Length: 5\n\nwhole",
           "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n"};
    for (const std::string &answer : answers) {
        for (size_t cut = 0; cut < answer.size(); ++cut) {
            CAPTURE(answer.substr(0, cut));
            CHECK(responseTo(answer.substr(0, cut), false).failure != HttpFailure::None);
            CHECK(responseTo(answer.substr(0, cut), true).failure != HttpFailure::None);
        }
    }
    CHECK(responseTo(answers[0], false).body == "whole");
    CHECK(responseTo(answers[5], false).body == "whole");
    CHECK(responseTo("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole", false).failure
          != HttpFailure::None);
    CHECK(responseTo("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nwhole", false).failure
          != HttpFailure::None);
    CHECK(responseTo("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nwhole", false).failure
          != HttpFailure::None);
    CHECK(responseTo("HTTP/1.1 204 No Content\r\n\r\n", false).failure == HttpFailure::None);
    CHECK(responseTo("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", false).failure
          == HttpFailure::None);
}

namespace {

constexpr int Fails = 0;

/// An answer byte for byte, and the status of the response that it is; `Fails` if it is none.
struct AnswerCase {
    std::string bytes;
    int status;
    std::string body = "whole";
};

std::string answerWith(const std::string &status, const std::string &lines, const std::string &body = "whole")
{
    return fmt::format("HTTP/1.1 {} Reason\r\n{}\r\n{}", status, lines, body);
}

const std::string fiveBytes = "Content-Length: 5\r\n";
const std::string chunkedField = "Transfer-Encoding: chunked\r\n";
const std::string inChunks = "5\r\nwhole\r\n0\r\n\r\n";

void checkAnswers(const std::vector<AnswerCase> &cases)
{
    for (const AnswerCase &each : cases) {
        CAPTURE(each.bytes);
        const HttpResponse response = responseTo(each.bytes, false);
        CHECK((response.failure == HttpFailure::None) == (each.status != Fails));
        if (each.status == Fails)
            continue;
        CHECK(response.status == each.status);
        CHECK(response.body == each.body);
        CHECK(headerOf(response.headers, "X-Interim").empty());
    }
}

} // namespace

// Guards against a number that is no status and is taken for an answer's.
TEST_CASE("an answer has a status from 100 to 599")
{
    for (const char *status : {"000", "001", "007", "099", "600", "700", "999"})
        checkAnswers({{answerWith(status, fiveBytes), Fails}, {answerWith(status, ""), Fails}});
    for (const int status : {200, 201, 299, 400, 404, 500, 599})
        checkAnswers({{answerWith(std::to_string(status), fiveBytes), status}});
    for (const char *status : {"20", "2000", "-20", "2x0", "+20", "0x1", "", " 200"})
        checkAnswers({{answerWith(status, fiveBytes), Fails}});
}

// Guards against an interim response that is taken for the answer, and against a lost answer behind one.
TEST_CASE("the answer is the first response that is not interim")
{
    const std::string answer = answerWith("200", fiveBytes);
    const std::string chunked = answerWith("201", chunkedField, inChunks);
    for (const char *status : {"100", "102", "103", "199"}) {
        const std::string interim = answerWith(status, "X-Interim: 1\r\n", "");
        checkAnswers({{interim, Fails},
                      {interim + interim, Fails},
                      {interim + answer.substr(0, answer.size() - 1), Fails},
                      {interim + answer, 200},
                      {fmt::format("{}{}{}", interim, interim, chunked), 201},
                      {interim + answerWith("204", "", ""), 204, ""}});
    }
    const std::string interim = answerWith("103", "X-Interim: 1\r\n", "");
    std::string endless;
    while (endless.size() <= 256U << 10)
        endless += interim;
    checkAnswers({{endless + answer, Fails}, {endless.substr(0, 1000 * interim.size()) + answer, 200}});
    const std::string switching = answerWith("101", "Upgrade: other\r\nConnection: Upgrade\r\n", "");
    checkAnswers({{switching, Fails}, {switching + answer, Fails}, {answer, 200}});
}

// Guards against a body that is passed on with its coding left in it and the field that names the coding
// removed.
TEST_CASE("an answer has no transfer coding but chunked")
{
    for (const char *codings :
         {"chunked, chunked", "chunked, identity", "identity", "xchunked", "chun ked", "gzip",
          "gzip, chunked", "chunked;q=1", "chunked;", "chunked gzip", "\"chunked\"", ""}) {
        const std::string field = fmt::format("Transfer-Encoding: {}\r\n", codings);
        checkAnswers({{answerWith("200", field, inChunks), Fails},
                      {answerWith("200", field + fiveBytes), Fails},
                      {answerWith("500", field, inChunks), Fails}});
    }
    const std::string gzip = "Transfer-Encoding: gzip\r\n";
    checkAnswers({{answerWith("200", gzip + chunkedField, inChunks), Fails},
                  {answerWith("200", chunkedField + gzip, inChunks), Fails},
                  {answerWith("200", chunkedField + fiveBytes, inChunks), Fails},
                  {answerWith("200", fiveBytes + chunkedField, inChunks), Fails},
                  {answerWith("200", chunkedField, inChunks), 200},
                  {answerWith("500", "transfer-encoding:  Chunked \r\n", inChunks), 500},
                  {answerWith("200", "Content-Encoding: gzip\r\n"), 200}});
    for (const char *list : {", chunked,", ",chunked", "chunked,", "chunked ,", "\t, ,\tCHUNKED\t, ,"})
        checkAnswers({{answerWith("200", fmt::format("Transfer-Encoding: {}\r\n", list), inChunks), 200}});
}

// Guards against a line that becomes part of the value before it: a server's stamp would be another one.
TEST_CASE("an answer whose head has a folded line is none")
{
    for (const char *folded : {" Content-Length: 4", "\tX-Other: 1", " more", " ", "\t", " \t more"}) {
        const std::string line = fmt::format("{}\r\n", folded);
        checkAnswers(
            {{answerWith("200", fmt::format("X-Server-Stamp: 1\r\n{}{}", line, fiveBytes)), Fails},
             {answerWith("200", fmt::format("{}X-Server-Stamp: 1\r\n{}", fiveBytes, line)), Fails},
             {answerWith("200", line + fiveBytes), Fails},
             {answerWith("103", "X-Interim: 1\r\n" + line, "") + answerWith("200", fiveBytes), Fails}});
    }
    checkAnswers({{answerWith("200", "X-Server-Stamp: \t 1 \r\n" + fiveBytes), 200},
                  {answerWith("200", fiveBytes, " \tabc"), 200, " \tabc"},
                  {answerWith("200", "", "\r\n abc"), 200, "\r\n abc"}});
    // Between two reads of the client.
    for (size_t size = 4030; size < 4070; ++size) {
        const std::string lines = fmt::format("X-Name: {}\r\nX-Server-Stamp: 1\r\n", std::string(size, 'a'));
        checkAnswers({{answerWith("200", fmt::format("{} more\r\n{}", lines, fiveBytes)), Fails},
                      {answerWith("200", lines + fiveBytes), 200}});
    }
}

// Guards against a line that is passed on, or a body that is framed by it, although its name is none.
TEST_CASE("an answer whose head has a field without a proper name is none")
{
    std::vector<std::string> lines = {": 1", "X-Name"};
    for (const char byte : {' ', '\t', '\0', '\x01', '\x0b', '\x1f', '\x7f', '\xff', '\r', '('}) {
        for (const char *around :
             {"X-{}Name: 1", "X-Name{}: 1", "{}X-Name: 1", "Content-Length{}: 4", "Content{}-Length: 4",
              "Transfer-Encoding{}: chunked", "Transfer{}-Encoding: chunked"})
            lines.push_back(fmt::format(fmt::runtime(around), byte));
    }
    for (const std::string &line : lines)
        checkAnswers(
            {{answerWith("200", fmt::format("{}\r\n{}", line, fiveBytes)), Fails},
             {answerWith("200", fmt::format("{}{}\r\n", fiveBytes, line)), Fails},
             {answerWith("200", line + "\r\n"), Fails},
             {answerWith("200", chunkedField, fmt::format("5\r\nwhole\r\n0\r\n{}\r\n\r\n", line)), Fails}});
    checkAnswers({{answerWith("200", "X-!#$%&'*+.^_`|~Name: 1\r\n" + fiveBytes), 200},
                  {answerWith("200", chunkedField, "5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n"), 200}});
}

// Guards against a body that is framed by something that is no number, and against bytes that are no reason
// or value.
TEST_CASE("an answer with a length, a size of a chunk or a value that is none fails")
{
    for (const char *length : {"+5", "-1", "0x5", "5x", "5, 6", "5;", "5 6", "99999999999999999999"})
        checkAnswers({{answerWith("200", fmt::format("Content-Length: {}\r\n", length)), Fails}});
    for (const char *size : {"-5", "0x5", "+5", "5g", "", "fffffffffffffffff"})
        checkAnswers(
            {{answerWith("200", chunkedField, fmt::format("{}\r\nwhole\r\n0\r\n\r\n", size)), Fails}});
    checkAnswers({{answerWith("200", chunkedField, "5\r\nwhole0\r\n\r\n"), Fails},
                  {answerWith("200", chunkedField, "005\r\nwhole\r\n0\r\n\r\n"), 200}});
    for (const char byte : {'\0', '\x01', '\x1f', '\x7f', '\r'}) {
        checkAnswers({{answerWith("200", fmt::format("X-Name: a{}b\r\n{}", byte, fiveBytes)), Fails},
                      {fmt::format("HTTP/1.1 200 O{}K\r\n{}\r\nwhole", byte, fiveBytes), Fails}});
    }
    for (const char *version : {"HTTP/1.7", "HTTP/2", "HTTP/11", "http/1.1", "HTTP 1.1", "ICY"})
        checkAnswers({{fmt::format("{} 200 OK\r\n{}\r\nwhole", version, fiveBytes), Fails}});
}

// Guards against a part of an answer that is taken for whole: a reset that meets the write of the request
// leaves the read an end of file.
TEST_CASE("an answer without framing whose connection is reset while the request is written is not whole")
{
    const HttpRequest upload{"POST", "/", {}, std::string(12U << 20, 'b')};
    const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nwhole";
    const std::string framed = answerWith("200", fiveBytes);
    const std::string chunked = answerWith("200", chunkedField, inChunks);
    for (const int afterMs : {0, 0, 0, 0, 0, 0, 1, 3, 10, 50, 300}) {
        CAPTURE(afterMs);
        const DurationMs after{afterMs};
        for (const ServerEnd end : {ServerEnd::Reset, ServerEnd::Close}) {
            CHECK(responseTo(upload, unframed, end, after).failure == HttpFailure::Interrupted);
            CHECK(responseTo(upload, framed.substr(0, framed.size() - 1), end, after).failure
                  == HttpFailure::Interrupted);
            CHECK(responseTo(upload, chunked.substr(0, chunked.size() - 1), end, after).failure
                  == HttpFailure::Interrupted);
            CHECK(responseTo(upload, framed, end, after).body == "whole");
            CHECK(responseTo(upload, framed, end, after).failure == HttpFailure::None);
            CHECK(responseTo(upload, chunked, end, after).failure == HttpFailure::None);
        }
        for (const ServerEnd end : {ServerEnd::HalfClose, ServerEnd::HalfCloseThenReset}) {
            CHECK(responseTo(upload, unframed, end, after).failure == HttpFailure::None);
            CHECK(responseTo(upload, unframed, end, after).body == "whole");
        }
    }
}

// Guards against calls that wait for a body that does not come: a HEAD request gets the length of a GET.
TEST_CASE("the response to HEAD ends with its header")
{
    const HttpResponse response = responseTo("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", false, "HEAD");
    CHECK(response.failure == HttpFailure::None);
    CHECK(response.body.empty());
}

namespace {

using IoHandler = std::function<void(boost::asio::io_context &, const HttpExchangePtr &)>;

/// All bytes of a response whose handler is `handler`, and how its connection ended.
std::pair<std::string, boost::system::error_code> bytesFrom(const IoHandler &handler)
{
    boost::asio::io_context io;
    const HttpServer server(io, serverAddress, {},
                            [&](const HttpExchangePtr &exchange) { handler(io, exchange); });
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address(serverAddress.host), serverAddress.port});
    boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    std::string received;
    boost::system::error_code end;
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(received),
                            [&](boost::system::error_code code, size_t) {
                                end = code;
                                io.stop();
                            });
    io.run_for(std::chrono::seconds(10));
    return {received, end};
}

} // namespace

// Guards against a length or a last chunk that vouches for an end which nobody knows, and against an ordinary
// close where the end is known to be missing.
TEST_CASE("a response that ends with its connection states no end, and is reset if it breaks off")
{
    const auto [answer, answerEnd]
        = bytesFrom([](boost::asio::io_context &, const HttpExchangePtr &exchange) {
              exchange->endWithConnection();
              exchange->respond(200, {}, "as it came");
          });
    CHECK(answer == "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nas it came");
    CHECK(answerEnd == boost::asio::error::eof);
    const auto [stream, streamEnd]
        = bytesFrom([](boost::asio::io_context &, const HttpExchangePtr &exchange) {
              exchange->endWithConnection();
              exchange->beginStream(200, {});
              exchange->write("event");
              exchange->finish();
          });
    CHECK(stream == "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nevent");
    CHECK(streamEnd == boost::asio::error::eof);
    const auto [late, lateEnd] = bytesFrom([](boost::asio::io_context &io, const HttpExchangePtr &exchange) {
        exchange->endWithConnection();
        exchange->beginStream(200, {});
        exchange->write("event");
        const std::shared_ptr<boost::asio::steady_timer> timer
            = std::make_shared<boost::asio::steady_timer>(io, std::chrono::milliseconds(50));
        timer->async_wait([timer, exchange](const boost::system::error_code &) { exchange->finish(); });
    });
    CHECK(late == stream);
    CHECK(lateEnd == boost::asio::error::eof);
    const auto [broken, brokenEnd]
        = bytesFrom([](boost::asio::io_context &, const HttpExchangePtr &exchange) {
              exchange->endWithConnection();
              exchange->beginStream(200, {});
              exchange->write("eve");
              exchange->abort();
          });
    CHECK(brokenEnd == boost::asio::error::connection_reset);
}
