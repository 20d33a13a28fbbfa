#include "io/httpclient.h"

#include "io/httpserialise.h"
#include "io/httpsocket.h"
#include "io/socketoptions.h"
#include "io/steadyclock.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdlib>
#include <cstring>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

namespace cranberry {

namespace {

constexpr size_t MaxIdlePerAddress = 64;
/// Idle limit for servers that don't send a Keep-Alive timeout; well below the usual server defaults.
constexpr std::chrono::milliseconds DefaultIdleLimit{3000};
/// Subtracted from the server's Keep-Alive timeout, so that no request is sent while the server closes the
/// connection.
constexpr std::chrono::milliseconds IdleMargin{1000};
/// Idle limit for servers that state a longer Keep-Alive timeout: a descriptor is not held for hours.
constexpr std::chrono::seconds MaxIdleLimit{60};
/// Interval at which idle connections are checked.
constexpr std::chrono::milliseconds IdleCheckInterval{500};
constexpr size_t ReadBytes = 4U << 10;
/// Bytes that wait to be parsed: a status line, a chunk's size line or trailers that don't end fail the call
/// instead of filling the memory. As many calls as there are descriptors may each keep that much.
constexpr size_t MaxUnparsedBytes = 16U << 10;
/// Of interim responses: a server that sends them without end has no answer.
constexpr size_t MaxInterimBytes = 256U << 10;

using StreamPtr = std::unique_ptr<HttpStream>;

struct IdleConnection {
    StreamPtr stream;
    std::chrono::steady_clock::time_point idleSince;
    std::chrono::milliseconds idleLimit;

    /// Returns whether its time is not over and the server has not closed it.
    bool isUsable(std::chrono::steady_clock::time_point now) const
    {
        return now - idleSince < idleLimit && isReusable(stream->socket().native_handle());
    }
};

std::chrono::milliseconds toChrono(DurationMs duration)
{
    return std::chrono::milliseconds(duration.count);
}

// Parses "Keep-Alive: timeout=5" (integer seconds) and subtracts the margin.
std::chrono::milliseconds idleLimitOf(const HttpHeaders &headers)
{
    const std::string text = headerOf(headers, "Keep-Alive");
    const size_t start = text.find("timeout=");
    if (start == std::string::npos)
        return DefaultIdleLimit;
    const std::chrono::seconds stated{
        std::strtol(text.c_str() + start + std::strlen("timeout="), nullptr, 10)};
    return std::clamp(stated, std::chrono::seconds(0), MaxIdleLimit) - IdleMargin;
}

HttpFailure connectFailureOf(beast::error_code code)
{
    if (!code)
        return HttpFailure::None;
    return code == asio::error::connection_refused ? HttpFailure::Refused : HttpFailure::NotSent;
}

class ClientCall;

} // namespace

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
    State(asio::io_context &io, ByteBudgetPtr replies)
        : io(io), replies(std::move(replies)), idleTimer(io) { }

    StreamPtr takeIdle(const Address &address);
    void putIdle(const Address &address, StreamPtr stream, std::chrono::milliseconds limit);
    void checkIdleLater();
    void cancel(uint64_t call);

    asio::io_context &io;
    ByteBudgetPtr replies; ///< Null: no bound.
    HttpTimer idleTimer;
    bool isTimerSet = false;
    std::map<Address, std::vector<IdleConnection>> idle;
    std::map<uint64_t, std::shared_ptr<ClientCall>> calls;
    uint64_t next = 1;
};

namespace {

/// One request on one connection.
class ClientCall : public std::enable_shared_from_this<ClientCall>
{
public:
    using KeepConnection = std::function<void(StreamPtr, std::chrono::milliseconds)>;

    ClientCall(HttpCall call, HttpCallbacks callbacks, std::function<void()> onFinished,
               KeepConnection keepConnection)
        : call_(std::move(call)), callbacks_(std::move(callbacks)), onFinished_(std::move(onFinished)),
          keepConnection_(std::move(keepConnection))
    {
        head_ = headOf(call_);
        awaitHead();
        if (call_.totalTimeout.count > 0)
            deadline_ = std::chrono::steady_clock::now() + toChrono(call_.totalTimeout);
        chunk_.resize(ReadBytes);
    }

    void startOnIdle(StreamPtr idleStream)
    {
        stream_ = std::move(idleStream);
        write();
    }

    void connect(asio::io_context &io)
    {
        stream_ = std::make_unique<HttpStream>(io);
        beast::error_code code;
        const asio::ip::address ip = asio::ip::make_address(call_.address.host, code);
        if (code) {
            asio::post(io, [self = shared_from_this()] { self->done(HttpFailure::NotSent); });
            return;
        }
        expireAfter(call_.connectTimeout);
        stream_->async_connect(
            tcp::endpoint(ip, call_.address.port),
            [self = shared_from_this()](beast::error_code error) { self->onConnected(error); });
    }

    void cancel()
    {
        finished_ = true;
        callbacks_ = {};
        closeConnection();
    }

private:
    void expireAfter(DurationMs timeout)
    {
        const std::chrono::steady_clock::time_point at = std::chrono::steady_clock::now() + toChrono(timeout);
        stream_->expires_at(deadline_ ? std::min(at, *deadline_) : at);
    }

    // Also cancels a pending write.
    void closeConnection()
    {
        if (!stream_)
            return;
        beast::error_code ignored;
        if (call_.resetOnAbort)
            stream_->socket().set_option(asio::socket_base::linger(true, 0), ignored);
        stream_->close();
    }

    void onConnected(beast::error_code code)
    {
        if (finished_)
            return;
        if (code)
            return done(connectFailureOf(code));
        setSocketOptions(stream_->socket().native_handle());
        if (callbacks_.onConnected)
            callbacks_.onConnected();
        if (!finished_)
            write();
    }

    static std::string headOf(const HttpCall &call)
    {
        http::request<http::empty_body> message;
        message.version(11);
        message.method_string(call.request.method);
        message.target(call.request.target);
        if (headerOf(call.request.headers, "Host").empty())
            message.set(http::field::host, toText(call.address));
        for (const HttpHeader &header : call.request.headers)
            message.insert(header.name, header.value);
        // `prepare_payload` throws for methods that have no body.
        const http::verb method = message.method();
        const bool usuallyHasBody = method == http::verb::post || method == http::verb::put
            || method == http::verb::options || method == http::verb::patch;
        if (usuallyHasBody || !call.request.body.empty())
            message.content_length(call.request.body.size());
        return serialised(message, true);
    }

    void awaitHead()
    {
        parser_.emplace();
        parser_->body_limit(boost::none);
        parser_->skip(call_.request.method == "HEAD"); // A length in its response is that of a GET.
    }

    void write()
    {
        expireAfter(call_.progressTimeout);
        const std::string &body = call_.request.body.text();
        const std::array<asio::const_buffer, 2> message{asio::buffer(head_), asio::buffer(body)};
        asio::async_write(*stream_, message, [self = shared_from_this()](beast::error_code code, size_t) {
            self->onWritten(code);
        });
        // Reads at once: an endpoint may respond before it has received the complete body. A failed write
        // also makes the read fail, or leaves it an end of file.
        read();
    }

    void onWritten(beast::error_code code)
    {
        writeResult_ = code;
        if (isAtEndOfFile_ && !finished_)
            onEndOfFile();
    }

    void read()
    {
        if (buffer_.size() == MaxUnparsedBytes)
            return done(HttpFailure::Interrupted);
        expireAfter(call_.progressTimeout);
        stream_->async_read_some(
            buffer_.prepare(std::min(ReadBytes, MaxUnparsedBytes - buffer_.size())),
            [self = shared_from_this()](beast::error_code code, size_t size) { self->onRead(code, size); });
    }

    void onRead(beast::error_code code, size_t size)
    {
        if (finished_)
            return;
        buffer_.commit(size);
        if (code == asio::error::eof && parser_->got_some())
            return onEndOfFile();
        if (code)
            return done(failureOf(code));
        parse();
    }

    // A socket reports that its connection is lost only once. If a write takes the report, the read sees an
    // end of file, as behind a response that its server ended. So the write's result is awaited; one that has
    // not failed by then is ended by closing the socket.
    void onEndOfFile()
    {
        if (!writeResult_) {
            isAtEndOfFile_ = true;
            return closeConnection();
        }
        if (hasLostConnection())
            return done(HttpFailure::Interrupted);
        beast::error_code code;
        parser_->put_eof(code);
        return code ? done(failureOf(code)) : onResponseComplete();
    }

    // EPIPE: the server closed its side in order, and then refused the rest of the request.
    bool hasLostConnection() const
    {
        const bool isOwnClose = isAtEndOfFile_
            && (*writeResult_ == asio::error::operation_aborted
                || *writeResult_ == asio::error::bad_descriptor);
        return *writeResult_ && *writeResult_ != asio::error::broken_pipe && !isOwnClose;
    }

    void parse()
    {
        while (!finished_ && !parser_->is_done()) {
            if (buffer_.size() == 0)
                return read();
            const bool wasHeaderDone = parser_->is_header_done();
            parser_->get().body().data = chunk_.data();
            parser_->get().body().size = chunk_.size();
            beast::error_code code;
            const size_t used = parser_->put(buffer_.data(), code);
            if (!wasHeaderDone)
                noteHead({static_cast<const char *>(buffer_.data().data()), used});
            buffer_.consume(used);
            if (code == http::error::need_more)
                return read();
            if (code && code != http::error::need_buffer)
                return done(failureOf(code));
            if (wasHeaderDone)
                passBody(chunk_.size() - parser_->get().body().size);
            else if (parser_->is_header_done())
                onHead();
        }
        if (!finished_)
            onResponseComplete();
    }

    // The parser takes whole fields, each with the lines that are folded into it.
    void noteHead(std::string_view lines)
    {
        headBytes_ += lines.size();
        isFolded_ = isFolded_ || hasFoldedLine(lines);
    }

    // The one place that decides whether a head is passed on.
    void onHead()
    {
        const int status = static_cast<int>(parser_->get().result_int());
        HttpHeaders headers;
        for (const http::fields::value_type &field : parser_->get())
            headers.push_back({std::string(field.name_string()), std::string(field.value())});
        switch (isFolded_ ? ResponseKind::Malformed : responseKindOf(status, headers)) {
        case ResponseKind::Malformed:
            return done(HttpFailure::Interrupted);
        case ResponseKind::Interim:
            return headBytes_ > MaxInterimBytes ? done(HttpFailure::Interrupted) : awaitHead();
        case ResponseKind::Final:
            return passHead(status, headers);
        }
    }

    void passHead(int status, const HttpHeaders &headers)
    {
        idleLimit_ = idleLimitOf(headers);
        if (callbacks_.onHead)
            callbacks_.onHead(status, headers);
    }

    void passBody(size_t size)
    {
        received_ += size;
        if (call_.maxBodyBytes > 0 && received_ > call_.maxBodyBytes)
            return done(HttpFailure::Interrupted);
        if (size > 0 && callbacks_.onData)
            callbacks_.onData(chunk_.data(), size);
    }

    static HttpFailure failureOf(beast::error_code code)
    {
        return code == beast::error::timeout ? HttpFailure::ProgressTimeout : HttpFailure::Interrupted;
    }

    bool isWritten() const { return writeResult_ && !*writeResult_; }

    void onResponseComplete()
    {
        // Bytes after the response belong to no request, so the connection can't be reused.
        if (parser_->get().keep_alive() && buffer_.size() == 0 && isWritten())
            keepConnection_(std::move(stream_), idleLimit_);
        done(HttpFailure::None);
    }

    void done(HttpFailure failure)
    {
        if (finished_)
            return;
        finished_ = true;
        closeConnection();
        const HttpCallbacks callbacks = std::move(callbacks_);
        onFinished_();
        if (callbacks.onDone)
            callbacks.onDone(failure);
    }

    HttpCall call_;
    HttpCallbacks callbacks_;
    std::function<void()> onFinished_;
    KeepConnection keepConnection_;
    StreamPtr stream_;
    std::string head_; ///< Of the request.
    std::optional<http::response_parser<http::buffer_body>> parser_; ///< Always set; one for each head.
    beast::flat_buffer buffer_{MaxUnparsedBytes};
    std::vector<char> chunk_;
    size_t received_ = 0; ///< Bytes of the body.
    size_t headBytes_ = 0; ///< Of all interim heads and the final one.
    bool isFolded_ = false; ///< One of these heads has a folded line.
    std::optional<std::chrono::steady_clock::time_point> deadline_;
    std::chrono::milliseconds idleLimit_ = DefaultIdleLimit;
    std::optional<beast::error_code> writeResult_; ///< Of the request; unset while it is being written.
    bool isAtEndOfFile_ = false; ///< Waits for the write's result.
    bool finished_ = false;
};

} // namespace

StreamPtr HttpClient::State::takeIdle(const Address &address)
{
    const auto found = idle.find(address);
    while (found != idle.end() && !found->second.empty()) {
        IdleConnection last = std::move(found->second.back());
        found->second.pop_back();
        if (last.isUsable(std::chrono::steady_clock::now()))
            return std::move(last.stream);
    }
    return nullptr;
}

void HttpClient::State::putIdle(const Address &address, StreamPtr stream, std::chrono::milliseconds limit)
{
    std::vector<IdleConnection> &idleConnections = idle[address];
    stream->expires_never();
    if (idleConnections.size() < MaxIdlePerAddress)
        idleConnections.push_back({std::move(stream), std::chrono::steady_clock::now(), limit});
    checkIdleLater();
}

// Connections that are not used again, and those that the server closed, hold descriptors: after enough
// replaced servers none would be left for callers.
void HttpClient::State::checkIdleLater()
{
    if (std::exchange(isTimerSet, true))
        return;
    idleTimer.expires_after(IdleCheckInterval);
    idleTimer.async_wait([weak = weak_from_this()](beast::error_code code) {
        const std::shared_ptr<State> state = weak.lock();
        if (code || !state)
            return;
        state->isTimerSet = false;
        const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
        for (std::pair<const Address, std::vector<IdleConnection>> &each : state->idle)
            std::erase_if(each.second, [now](const IdleConnection &one) { return !one.isUsable(now); });
        std::erase_if(state->idle, [](const std::pair<const Address, std::vector<IdleConnection>> &each) {
            return each.second.empty();
        });
        if (!state->idle.empty())
            state->checkIdleLater();
    });
}

HttpClient::HttpClient(asio::io_context &io, ByteBudgetPtr replies)
    : state_(std::make_shared<State>(io, std::move(replies)))
{ }

HttpClient::~HttpClient()
{
    for (const std::pair<const uint64_t, std::shared_ptr<ClientCall>> &entry : state_->calls)
        entry.second->cancel();
}

uint64_t HttpClient::start(HttpCall call, HttpCallbacks callbacks)
{
    const uint64_t id = state_->next++;
    const Address address = call.address;
    const bool fresh = call.freshConnection;
    std::weak_ptr<State> weak = state_;
    std::shared_ptr<ClientCall> running = std::make_shared<ClientCall>(
        std::move(call), std::move(callbacks),
        [weak, id] {
            if (std::shared_ptr<State> state = weak.lock())
                state->calls.erase(id);
        },
        [weak, address](StreamPtr stream, std::chrono::milliseconds limit) {
            if (std::shared_ptr<State> state = weak.lock())
                state->putIdle(address, std::move(stream), limit);
        });
    state_->calls[id] = running;
    StreamPtr idleStream = fresh ? nullptr : state_->takeIdle(address);
    if (idleStream)
        running->startOnIdle(std::move(idleStream));
    else
        running->connect(state_->io);
    return id;
}

void HttpClient::State::cancel(uint64_t call)
{
    const auto found = calls.find(call);
    if (found == calls.end())
        return;
    const std::shared_ptr<ClientCall> running = found->second;
    calls.erase(found);
    running->cancel();
}

void HttpClient::cancel(uint64_t call)
{
    state_->cancel(call);
}

void HttpClient::closeIdle(const Address &address)
{
    state_->idle.erase(address);
}

void HttpClient::connect(const Address &address, DurationMs timeout, std::function<void(HttpFailure)> onDone)
{
    beast::error_code code;
    const asio::ip::address ip = asio::ip::make_address(address.host, code);
    if (code) {
        asio::post(state_->io, [onDone = std::move(onDone)] { onDone(HttpFailure::NotSent); });
        return;
    }
    std::shared_ptr<HttpStream> stream = std::make_shared<HttpStream>(state_->io);
    stream->expires_after(toChrono(timeout));
    stream->async_connect(tcp::endpoint(ip, address.port),
                          [stream, address, weak = std::weak_ptr<State>(state_),
                           onDone = std::move(onDone)](beast::error_code error) {
                              const std::shared_ptr<State> state = weak.lock();
                              if (!state)
                                  return;
                              if (!error) {
                                  setSocketOptions(stream->socket().native_handle());
                                  state->putIdle(address, std::make_unique<HttpStream>(std::move(*stream)),
                                                 DefaultIdleLimit);
                              }
                              onDone(connectFailureOf(error));
                          });
}

namespace {

/// A response that is being collected. Servers that answer many calls without end would fill the memory of
/// their caller together, so its bytes are of the client's budget, and the slow ones give way.
class FetchedResponse : public ByteHolder
{
public:
    using Receiver = std::function<void(const HttpResponse &)>;

    FetchedResponse(ByteBudgetPtr budget, size_t maxBytes, Receiver onDone)
        : budget_(std::move(budget)), claim_(budget_), maxBytes_(maxBytes), startedAt_(steadyTime()),
          onDone_(std::move(onDone))
    { }
    ~FetchedResponse() override
    {
        if (budget_)
            budget_->clearYielding(*this);
    }

    size_t heldBytes() const override { return claim_.bytes(); }
    size_t heldFor(const std::string &) const override { return 0; }
    void giveWay() override
    {
        free();
        cancel_();
    }

    /// Set once; ends the call without its callbacks, and reports the failure later.
    void setCancel(std::function<void()> cancel) { cancel_ = std::move(cancel); }
    void setHead(int status, const HttpHeaders &headers)
    {
        response_.status = status;
        response_.headers = headers;
    }
    void append(const char *data, size_t size)
    {
        const size_t needed = response_.body.size() + size;
        if (needed > response_.body.capacity()) {
            const size_t capacity = std::min(std::max(2 * response_.body.capacity(), needed), maxBytes_);
            if (!claim_.growTo(capacity, this, steadyTime()))
                return giveWay();
            response_.body.reserve(capacity);
        }
        response_.body.append(data, size);
        if (budget_)
            budget_->setYielding(*this, startedAt_);
    }
    void finish(HttpFailure failure)
    {
        response_.failure = failure;
        if (budget_)
            budget_->clearYielding(*this);
        onDone_(response_);
    }

private:
    void free()
    {
        response_ = {};
        response_.body.shrink_to_fit();
        claim_.release();
        budget_->clearYielding(*this);
    }

    ByteBudgetPtr budget_; ///< Null: no bound.
    ByteClaim claim_;
    size_t maxBytes_;
    TimeMs startedAt_;
    HttpResponse response_;
    Receiver onDone_;
    std::function<void()> cancel_;
};

} // namespace

void HttpClient::fetch(HttpCall call, std::function<void(const HttpResponse &)> onDone)
{
    call.maxBodyBytes = call.maxBodyBytes > 0 ? call.maxBodyBytes : MaxFetchedBody;
    const std::shared_ptr<FetchedResponse> response
        = std::make_shared<FetchedResponse>(state_->replies, call.maxBodyBytes, std::move(onDone));
    HttpCallbacks callbacks;
    callbacks.onHead
        = [response](int status, const HttpHeaders &headers) { response->setHead(status, headers); };
    // Holds the response: the call may end here, and its callbacks with it.
    callbacks.onData
        = [response](const char *data, size_t size) { std::shared_ptr(response)->append(data, size); };
    callbacks.onDone = [response](HttpFailure failure) { response->finish(failure); };
    const uint64_t id = start(std::move(call), std::move(callbacks));
    response->setCancel([weak = std::weak_ptr<State>(state_), id, waiting = std::weak_ptr(response)] {
        const std::shared_ptr<State> state = weak.lock();
        const std::shared_ptr<FetchedResponse> given = waiting.lock();
        if (!state || !given)
            return;
        asio::post(state->io, [weak, given] {
            if (weak.lock())
                given->finish(HttpFailure::Interrupted);
        });
        state->cancel(id);
    });
}

} // namespace cranberry
