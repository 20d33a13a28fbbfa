#pragma once

#include "common/httpfields.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace cranberry {

/// One request and its response. All calls on the io_context's thread.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;
    virtual void respond(int status, const HttpHeaders &headers, const std::string &body) = 0;
    /// Starts a chunked response; then any number of write, then finish.
    virtual void beginStream(int status, const HttpHeaders &headers) = 0;
    virtual void write(const std::string &data) = 0;
    virtual void finish() = 0;
    virtual void abort() = 0; ///< Closes the connection without an end mark.
    /// Called once if the other end goes away before the response is whole.
    virtual void onClosed(std::function<void()> callback) = 0;
    virtual size_t pendingBytes() const = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePtr)>;

struct HttpServerLimits {
    uint32_t maxHeaderBytes = 16U << 10;
    uint32_t maxBodyBytes = 4U << 20;
    DurationMs readTimeout{10000}; ///< From the first byte of a request to its last.
    DurationMs idleTimeout{10000}; ///< Between requests.
    bool answersTimeouts = false; ///< A request that takes too long gets 408; else its connection is closed.
};

/// Requests that never reached the handler, by cause.
struct HttpServerCounters {
    uint64_t connections = 0;
    uint64_t badRequests = 0;
    uint64_t tooLarge = 0;
    uint64_t timeouts = 0;
    size_t open = 0; ///< Connections now.
};

/// HTTP/1.1 server by Boost.Beast, hidden behind plain types since Beast is slow to compile.
class HttpServer
{
public:
    /// Listens at once; throws boost::system::system_error if the address can't be had.
    HttpServer(boost::asio::io_context &io, const Address &address, const HttpServerLimits &limits,
               HttpHandler handler);
    ~HttpServer();

    const HttpServerCounters &counters() const;
    void stopAccepting();
    /// In force from the next request of each connection on.
    void setLimits(const HttpServerLimits &limits);
    /// From now on every response says "Connection: close", so that callers leave without losing a request.
    void closeAfterResponses();
    size_t openConnections() const;

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

private:
    friend class HttpConnection;
    struct Listener;
    std::shared_ptr<Listener> listener_;
};

} // namespace cranberry
