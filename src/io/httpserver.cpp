#include "io/httpserver.h"

#include "io/socketoptions.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <optional>
#include <set>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

namespace cranberry {

namespace {

constexpr std::chrono::seconds WriteTimeout{20};
/// Time for the client to close the connection after the last response. Closing a socket with unread bytes
/// would reset the connection and discard a response that is still in transit.
constexpr std::chrono::seconds LingerTimeout{1};
constexpr size_t ReadBytes = 4U << 10;
constexpr int ListenBacklog
    = 1024; ///< A full queue drops SYNs, which clients retransmit only after a second.

template <typename Buffers>
void append(std::string &out, const Buffers &buffers)
{
    for (auto it = asio::buffer_sequence_begin(buffers); it != asio::buffer_sequence_end(buffers); ++it) {
        const asio::const_buffer buffer(*it);
        out.append(static_cast<const char *>(buffer.data()), buffer.size());
    }
}

// Serialises a complete message, or only the header of a chunked one, with Beast's serializer.
template <typename Body>
std::string serialised(http::response<Body> &message, bool headerOnly)
{
    std::string out;
    http::response_serializer<Body> serializer(message);
    serializer.split(headerOnly);
    beast::error_code code;
    while (!code && !(headerOnly ? serializer.is_header_done() : serializer.is_done())) {
        size_t used = 0;
        serializer.next(code, [&out, &used](beast::error_code &, const auto &buffers) {
            append(out, buffers);
            used = beast::buffer_bytes(buffers);
        });
        serializer.consume(used);
    }
    return out;
}

} // namespace

class HttpConnection;

struct HttpServer::Listener : std::enable_shared_from_this<HttpServer::Listener> {
    Listener(asio::io_context &io, const HttpServerLimits &limits, HttpHandler handler)
        : io(io), acceptor(io), limits(limits), handler(std::move(handler))
    { }

    void listen(const Address &address)
    {
        const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(ListenBacklog);
        accept();
    }
    void accept();

    asio::io_context &io;
    tcp::acceptor acceptor;
    HttpServerLimits limits;
    HttpHandler handler;
    HttpServerCounters counters;
    std::set<const HttpConnection *> connections;
    bool closeAfterResponses = false;
};

/// One connection; serves its requests sequentially.
class HttpConnection : public HttpExchange, public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(tcp::socket socket, std::shared_ptr<HttpServer::Listener> listener)
        : stream_(std::move(socket)), readTimer_(stream_.get_executor()), listener_(std::move(listener)),
          counters_(listener_->counters)
    {
        ++counters_.open;
        listener_->connections.insert(this);
        setSocketOptions(stream_.socket().native_handle());
    }

    ~HttpConnection() override
    {
        --counters_.open;
        listener_->connections.erase(this);
    }

    void readNext()
    {
        const HttpServerLimits &limits = listener_->limits;
        parser_.emplace();
        parser_->header_limit(limits.maxHeaderBytes);
        parser_->body_limit(limits.maxBodyBytes);
        if (buffer_.size() > 0)
            return readRequest();
        stream_.expires_after(std::chrono::milliseconds(limits.idleTimeout.count));
        stream_.async_read_some(buffer_.prepare(ReadBytes),
                                [self = shared_from_this()](beast::error_code code, size_t size) {
                                    if (code)
                                        return self->close();
                                    self->buffer_.commit(size);
                                    self->readRequest();
                                });
    }

    const HttpRequest &request() const override { return request_; }

    void respond(int status, const HttpHeaders &headers, const std::string &body) override
    {
        http::response<http::string_body> message{static_cast<http::status>(status), 11};
        setHeaders(message, headers);
        message.body() = body;
        message.prepare_payload();
        out_ += serialised(message, false);
        finish();
    }

    void beginStream(int status, const HttpHeaders &headers) override
    {
        http::response<http::empty_body> message{static_cast<http::status>(status), 11};
        setHeaders(message, headers);
        message.chunked(true);
        out_ += serialised(message, true);
        chunked_ = true;
        flush();
    }

    void write(const std::string &data) override
    {
        if (closed_ || data.empty())
            return;
        append(out_, http::make_chunk(asio::buffer(data)));
        flush();
    }

    void finish() override
    {
        if (closed_)
            return;
        if (chunked_)
            append(out_, http::make_chunk_last());
        finished_ = true;
        flush();
    }

    void abort() override { close(); }
    void onClosed(std::function<void()> callback) override { onClosed_ = std::move(callback); }
    size_t pendingBytes() const override { return out_.size() + writing_.size(); }
    bool hasUnwrittenResponse() const { return finished_ && !closed_ && pendingBytes() > 0; }

private:
    // The read timeout applies to the header and the body separately, so that a slow header does not leave
    // too little time for a long body.
    void readRequest()
    {
        startReadTimer();
        http::async_read_header(stream_, buffer_, *parser_,
                                [self = shared_from_this()](beast::error_code code, size_t) {
                                    if (code || self->parser_->is_done())
                                        return self->onRead(code);
                                    self->readBody();
                                });
    }

    void readBody()
    {
        startReadTimer();
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](beast::error_code code, size_t) { self->onRead(code); });
    }

    // Uses a separate timer: the stream's own expiry would close the socket, and no 408 could be sent.
    void startReadTimer()
    {
        stream_.expires_never();
        readTimedOut_ = false;
        readTimer_.expires_after(std::chrono::milliseconds(listener_->limits.readTimeout.count));
        readTimer_.async_wait([self = shared_from_this()](beast::error_code code) {
            if (code)
                return;
            self->readTimedOut_ = true;
            self->stream_.cancel();
        });
    }

    template <typename Message>
    void setHeaders(Message &message, const HttpHeaders &headers)
    {
        for (const HttpHeader &header : headers)
            message.insert(header.name, header.value);
        keepAlive_ = keepAlive_ && !listener_->closeAfterResponses;
        message.keep_alive(keepAlive_);
    }

    void onRead(beast::error_code code)
    {
        if (code == http::error::body_limit || code == http::error::header_limit) {
            ++counters_.tooLarge;
            return refuse(code == http::error::body_limit ? 413 : 431, "too large");
        }
        readTimer_.cancel();
        if (code && readTimedOut_) {
            ++counters_.timeouts;
            if (!listener_->limits.respondsToTimeouts)
                return close();
            return refuse(408, "the request took too long to arrive");
        }
        if (code && code != http::error::end_of_stream
            && code.category() == http::make_error_code(http::error::bad_method).category()) {
            ++counters_.badRequests;
            return refuse(400, "malformed HTTP: " + code.message());
        }
        if (code)
            return close();
        http::request<http::string_body> message = parser_->release();
        if (message.method() == http::verb::trace && !message.body().empty()) {
            ++counters_.badRequests;
            return refuse(400, "a TRACE request has no body");
        }
        request_ = {};
        request_.method = std::string(message.method_string());
        request_.target = std::string(message.target());
        for (const http::fields::value_type &field : message)
            request_.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        request_.body = std::move(message.body());
        keepAlive_ = message.keep_alive();
        finished_ = false;
        chunked_ = false;
        stream_.expires_never();
        watchClose();
        listener_->handler(shared_from_this());
    }

    void refuse(int status, const std::string &why)
    {
        keepAlive_ = false;
        finished_ = false;
        respond(status, {{"Content-Type", "application/json"}},
                "{\"outcome\":\"notRun\",\"reason\":\"badRequest\",\"message\":\"" + why + "\"}");
    }

    // A readable socket without data means that the caller closed the connection.
    void watchClose()
    {
        stream_.socket().async_wait(tcp::socket::wait_read,
                                    [self = shared_from_this()](beast::error_code code) {
                                        if (code || self->finished_ || self->closed_)
                                            return;
                                        beast::error_code ignored;
                                        if (self->stream_.socket().available(ignored) == 0)
                                            self->close();
                                    });
    }

    void flush()
    {
        if (busy_ || closed_ || out_.empty())
            return;
        busy_ = true;
        writing_.swap(out_);
        stream_.expires_after(WriteTimeout);
        asio::async_write(
            stream_, asio::buffer(writing_),
            [self = shared_from_this()](beast::error_code code, size_t) { self->onWritten(code); });
    }

    void onWritten(beast::error_code code)
    {
        busy_ = false;
        writing_.clear();
        if (code)
            return close();
        if (!out_.empty())
            return flush();
        if (!finished_) {
            stream_.expires_never();
            return;
        }
        onClosed_ = nullptr;
        beast::error_code ignored;
        stream_.socket().cancel(ignored);
        if (keepAlive_)
            return readNext();
        stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
        stream_.expires_after(LingerTimeout);
        linger();
    }

    void linger()
    {
        buffer_.clear();
        stream_.async_read_some(buffer_.prepare(ReadBytes),
                                [self = shared_from_this()](beast::error_code code, size_t) {
                                    if (code)
                                        self->close();
                                    else
                                        self->linger();
                                });
    }

    void close()
    {
        if (closed_)
            return;
        closed_ = true;
        beast::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
        stream_.close();
        const std::function<void()> callback = std::move(onClosed_);
        onClosed_ = nullptr;
        if (callback)
            callback();
    }

    beast::tcp_stream stream_;
    asio::steady_timer readTimer_;
    bool readTimedOut_ = false;
    std::shared_ptr<HttpServer::Listener> listener_;
    HttpServerCounters &counters_; ///< Owned by the listener.
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    HttpRequest request_;
    std::string out_;
    std::string writing_;
    std::function<void()> onClosed_;
    bool busy_ = false;
    bool closed_ = false;
    bool finished_ = false;
    bool chunked_ = false;
    bool keepAlive_ = true;
};

void HttpServer::Listener::accept()
{
    acceptor.async_accept(io, [self = shared_from_this()](beast::error_code code, tcp::socket socket) {
        if (code == asio::error::operation_aborted || !self->acceptor.is_open())
            return;
        if (!code) {
            ++self->counters.connections;
            std::make_shared<HttpConnection>(std::move(socket), self)->readNext();
        }
        self->accept();
    });
}

HttpServer::HttpServer(asio::io_context &io, const Address &address, const HttpServerLimits &limits,
                       HttpHandler handler)
    : listener_(std::make_shared<Listener>(io, limits, std::move(handler)))
{
    listener_->listen(address);
}

HttpServer::~HttpServer()
{
    stopAccepting();
}

const HttpServerCounters &HttpServer::counters() const
{
    return listener_->counters;
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    listener_->limits = limits;
}

void HttpServer::closeAfterResponses()
{
    listener_->closeAfterResponses = true;
}

size_t HttpServer::openConnections() const
{
    return listener_->counters.open;
}

size_t HttpServer::unwrittenResponses() const
{
    const std::set<const HttpConnection *> &all = listener_->connections;
    return static_cast<size_t>(std::count_if(
        all.begin(), all.end(), [](const HttpConnection *each) { return each->hasUnwrittenResponse(); }));
}

void HttpServer::stopAccepting()
{
    beast::error_code ignored;
    listener_->acceptor.close(ignored);
}

} // namespace cranberry
