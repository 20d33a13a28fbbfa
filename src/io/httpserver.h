#pragma once

#include "common/httpfields.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace cranberry {

/// One request and its response. All member functions must be called on the io_context's thread.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;
    virtual void respond(int status, const HttpHeaders &headers, const std::string &body) = 0;
    /// Starts a chunked response; any number of write() calls and one finish() follow.
    virtual void beginStream(int status, const HttpHeaders &headers) = 0;
    virtual void write(const std::string &data) = 0;
    virtual void finish() = 0;
    virtual void abort() = 0; ///< Closes the connection without the last chunk.
    /// `callback` is called once if the connection closes before the response is complete.
    virtual void onClosed(std::function<void()> callback) = 0;
    /// Bytes of the response that are not yet written to the socket.
    virtual size_t pendingBytes() const = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePtr)>;

struct HttpServerLimits {
    uint32_t maxHeaderBytes = 16U << 10;
    uint32_t maxBodyBytes = 4U << 20;
    DurationMs readTimeout{10000}; ///< For the header and for the body of a request, each.
    DurationMs idleTimeout{10000}; ///< Maximum time between two requests of a connection.
    bool respondsToTimeouts = false; ///< Responds with 408 after the read timeout, instead of only closing.
};

/// Counts connections, and by cause the requests that did not reach the handler.
struct HttpServerCounters {
    uint64_t connections = 0;
    uint64_t badRequests = 0;
    uint64_t tooLarge = 0;
    uint64_t timeouts = 0;
    size_t open = 0; ///< Connections that are open now.
};

/// HTTP/1.1 server on Boost.Beast. The interface does not expose Beast's types, since Beast is slow to
/// compile.
class HttpServer
{
public:
    /// Starts to listen; throws boost::system::system_error if it can't bind to `address`.
    HttpServer(boost::asio::io_context &io, const Address &address, const HttpServerLimits &limits,
               HttpHandler handler);
    ~HttpServer();

    const HttpServerCounters &counters() const;
    void stopAccepting();
    /// Takes effect with the next request of each connection.
    void setLimits(const HttpServerLimits &limits);
    /// Adds "Connection: close" to every further response, so that callers reconnect elsewhere without losing
    /// a request.
    void closeAfterResponses();
    size_t openConnections() const;
    /// Returns the number of complete responses of which bytes are not yet written to the socket.
    size_t unwrittenResponses() const;

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

private:
    friend class HttpConnection;
    struct Listener;
    std::shared_ptr<Listener> listener_;
};

} // namespace cranberry
