#include "common/random.h"
#include "io/httpserver.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace cranberry;

namespace {

using Strings = std::vector<std::string>;

const Address serverAddress{"127.0.0.1", 16998};
/// Stands in the body of each request, and must not run.
const std::string hiddenRequest = "POST /hidden HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";

std::string inChunks(const std::string &text)
{
    return fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", text.size(), text);
}

std::string requestText(const std::string &version, const Strings &lines, const std::string &body)
{
    std::string out = "POST /outer HTTP/" + version + "\r\nHost: a\r\n";
    for (const std::string &line : lines)
        out += line + "\r\n";
    return out + "\r\n" + body;
}

struct WireOutcome {
    std::vector<HttpRequest> handled;
    std::string response; ///< All bytes until the server closed.
    uint64_t badRequests = 0;

    size_t responses() const
    {
        size_t count = 0;
        for (size_t at = response.find("HTTP/1.1 "); at != std::string::npos;
             at = response.find("HTTP/1.1 ", at + 1))
            ++count;
        return count;
    }
    bool isRefused() const
    {
        return handled.empty() && badRequests == 1 && responses() == 1
            && response.starts_with("HTTP/1.1 400");
    }
    bool hasRun(const std::string &body) const
    {
        return handled.size() == 1 && handled.front().target == "/outer"
            && handled.front().body.text() == body;
    }
};

/// Sends `text` byte for byte on one connection, then closes its own side.
WireOutcome outcomeOf(const std::string &text)
{
    boost::asio::io_context io;
    WireOutcome out;
    HttpServer server(io, serverAddress, {}, [&out](const HttpExchangePtr &exchange) {
        out.handled.push_back(exchange->request());
        exchange->respond(200, {}, "");
    });
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address(serverAddress.host), serverAddress.port});
    boost::asio::write(socket, boost::asio::buffer(text));
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(out.response),
                            [&io](boost::system::error_code, size_t) { io.stop(); });
    io.run_for(std::chrono::seconds(10));
    out.badRequests = server.counters().badRequests;
    return out;
}

std::string codingLine(const std::string &value)
{
    return "Transfer-Encoding: " + value;
}

} // namespace

// Guards against a body that runs as a request of its own, since its end was looked for in the wrong place.
TEST_CASE("a request whose end can't be told is refused, and nothing behind its head is read")
{
    const std::vector<Strings> unknown = {{"gzip"},
                                          {"identity"},
                                          {""},
                                          {"\"chunked\""},
                                          {"chunked;q=1"},
                                          {"chunked, identity"},
                                          {"chunked, chunked"},
                                          {"gzip, chunked"},
                                          {"chunked", "identity"},
                                          {"identity", "chunked"},
                                          {"chunked", "chunked"},
                                          {"chunked", ""}};
    const std::string length = fmt::format("Content-Length: {}", hiddenRequest.size());
    for (const Strings &values : unknown) {
        Strings lines;
        for (const std::string &value : values)
            lines.push_back(codingLine(value));
        Strings withLength = lines;
        withLength.push_back(length);
        CAPTURE(values);
        for (const std::string version : {"1.1", "1.0"}) {
            CAPTURE(version);
            CHECK(outcomeOf(requestText(version, lines, hiddenRequest)).isRefused());
            CHECK(outcomeOf(requestText(version, withLength, hiddenRequest)).isRefused());
        }
    }
    const std::string chunks = inChunks(hiddenRequest);
    CHECK(outcomeOf(requestText("1.0", {codingLine("chunked")}, chunks)).isRefused());
    CHECK(outcomeOf(requestText("1.1", {codingLine("chunked"), length}, chunks)).isRefused());
    CHECK(outcomeOf(requestText("1.1", {length, codingLine("chunked")}, chunks)).isRefused());
}

TEST_CASE("a request with a length or in chunks runs with its whole body")
{
    const std::string length = fmt::format("Content-Length: {}", hiddenRequest.size());
    for (const std::string version : {"1.1", "1.0"})
        CHECK(outcomeOf(requestText(version, {length}, hiddenRequest)).hasRun(hiddenRequest));
    for (const std::string value : {"chunked", "Chunked", "chunked,", ", chunked", "\tchunked "}) {
        CAPTURE(value);
        const WireOutcome outcome
            = outcomeOf(requestText("1.1", {codingLine(value)}, inChunks(hiddenRequest)));
        CHECK(outcome.hasRun(hiddenRequest));
    }
    CHECK(outcomeOf(requestText("1.1", {}, "")).hasRun(""));
}

namespace {

/// Draws heads that state a length or a coding in odd ways: fields doubled, listed, cut, in any case and
/// order.
class RandomHead
{
public:
    explicit RandomHead(uint64_t seed) : random_(seed) { }

    std::string request()
    {
        Strings lines = {"X-Model: m", "Accept: */*"};
        const bool hasLength = random_.below(3) == 0;
        if (hasLength)
            lines.push_back(field("Content-Length", fmt::format("{}", body().size())));
        const uint64_t codings = hasLength ? random_.below(2) : 1 + random_.below(2);
        for (uint64_t i = 0; i < codings; ++i)
            lines.push_back(field("Transfer-Encoding", list()));
        for (size_t i = lines.size(); i > 1; --i)
            std::swap(lines[i - 1], lines[random_.below(i)]);
        return requestText(random_.below(4) == 0 ? "1.0" : "1.1", lines, body());
    }

private:
    const std::string &body()
    {
        if (body_.empty())
            body_ = random_.below(2) == 0 ? hiddenRequest : inChunks(hiddenRequest);
        return body_;
    }
    std::string field(const std::string &name, const std::string &value)
    {
        constexpr std::array Blanks = {" ", "", "\t", "  "};
        return inAnyCase(name) + ":" + Blanks.at(random_.below(Blanks.size())) + value;
    }
    std::string list()
    {
        std::string out = element();
        for (uint64_t left = random_.below(3); left > 0; --left)
            out += (random_.below(2) == 0 ? "," : ", ") + element();
        return out;
    }
    std::string element()
    {
        constexpr std::array Codings = {"chunked", "chunked", "chunked", "identity", "gzip", "", "x"};
        constexpr std::array Parameters = {"", "", "", "", ";", ";q=1", " ;a=\"chunked\""};
        const std::string coding = Codings.at(random_.below(Codings.size()));
        const std::string cut = random_.below(6) == 0 ? coding.substr(0, coding.size() / 2) : coding;
        return inAnyCase(cut) + Parameters.at(random_.below(Parameters.size()));
    }
    std::string inAnyCase(std::string text)
    {
        if (random_.below(4) != 0)
            return text;
        for (char &c : text)
            c = static_cast<char>(random_.below(2) == 0 ? std::toupper(c) : std::tolower(c));
        return text;
    }

    Random random_;
    std::string body_;
};

} // namespace

// Guards against heads that the table above does not name.
TEST_CASE("of a request with a random head the whole body arrives, or nothing")
{
    constexpr uint64_t Heads = 1500;
    uint64_t run = 0;
    for (uint64_t seed = 1; seed <= Heads; ++seed) {
        const std::string text = RandomHead(seed).request();
        const WireOutcome outcome = outcomeOf(text);
        const std::string sent = text.substr(text.find("\r\n\r\n") + 4);
        CAPTURE(seed);
        CAPTURE(text);
        const bool isWhole
            = outcome.hasRun(sent) || (outcome.hasRun(hiddenRequest) && sent == inChunks(hiddenRequest));
        run += isWhole ? 1 : 0;
        CHECK((isWhole || outcome.isRefused()));
    }
    CHECK(run > Heads / 20);
    CHECK(run < Heads);
}

// Guards against fields that stand behind a body and pass for those of the head: what was decided by the
// head, as the tenant or the route, would not hold for them.
TEST_CASE("fields behind a chunked body are none of the request's")
{
    const Strings names
        = {"X-New",    "Connection", "Expect",      "Authorization", "X-Expect-Instance", "X-Hold",
           "X-Pin-Ms", "Kv-From",    "X-Kv-Backup", "X-Tenant",      "X-Deadline-Ms"};
    std::string trailer = "X-Model: other\r\n";
    for (const std::string &name : names)
        trailer += name + ": close\r\n";
    const std::string text
        = requestText("1.1", {"X-Model: m", codingLine("chunked"), "Trailer: X-Model, X-New"},
                      "4\r\nbody\r\n0\r\n" + trailer + "\r\n");
    const WireOutcome outcome = outcomeOf(text + requestText("1.1", {"Content-Length: 0"}, ""));
    REQUIRE(outcome.handled.size() == 2);
    CHECK(outcome.handled.front().body.text() == "body");
    CHECK(headerOf(outcome.handled.front().headers, "X-Model") == "m");
    for (const std::string &name : names) {
        CAPTURE(name);
        CHECK(headerOf(outcome.handled.front().headers, name).empty());
    }
}
