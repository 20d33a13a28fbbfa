#pragma once

#include "common/closecause.h"
#include "common/httpfields.h"
#include "io/bytebudget.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <limits>
#include <memory>

namespace cranberry {

class HttpListener;

/// One request and its response. All member functions must be called on the io_context's thread.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;
    virtual void respond(int status, const HttpHeaders &headers, const std::string &body) = 0;
    /// Starts a chunked response; any number of write() calls and one finish() follow.
    virtual void beginStream(int status, const HttpHeaders &headers) = 0;
    /// The response, which is still to begin, states no length and has no chunks: it ends with its
    /// connection. If it is not completed, the connection is reset, also when the process ends.
    virtual void endWithConnection() = 0;
    virtual void write(const std::string &data) = 0;
    virtual void finish() = 0;
    /// Closes the connection without the last chunk.
    virtual void close(CloseCause cause) = 0;
    void abort() { close(CloseCause::Aborted); }
    /// `callback` is called once if the connection closes before the response is complete.
    virtual void onClosed(std::function<void()> callback) = 0;
    /// Why the connection closed; NoRequest while it is open.
    virtual CloseCause closeCause() const = 0;
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
    DurationMs writeTimeout{20000}; ///< For each write of a response.
};

/// What the header of a request decides before its body is read.
struct HeadVerdict {
    HttpHandler refuse; ///< Responds in place of the handler; null: the body is read.
    std::string owner; ///< Whose bytes the body counts as.
};

/// The part of its process's memory and descriptors that a server may use.
struct HttpServerShare {
    ByteBudgetPtr bytes; ///< Null: no bound.
    size_t maxConnections = std::numeric_limits<size_t>::max();
    size_t copiesOfBody = 1; ///< How often the handler's process keeps a body.
    /// Called for requests of which a part of the body is still to come. Null: every body is read.
    std::function<HeadVerdict(const HttpRequest &head)> checkHead;
    DurationMs retryAfter{1000}; ///< For requests that are refused for lack of memory.
    HttpHeaders refusalHeaders; ///< Of all responses that the server gives itself.
};

/// Counts connections, and by cause the requests that did not reach the handler.
struct HttpServerCounters {
    uint64_t connections = 0;
    uint64_t badRequests = 0;
    uint64_t tooLarge = 0;
    uint64_t timeouts = 0;
    uint64_t noMemory = 0; ///< Refused, or given up for others, because the byte budget was used up.
    uint64_t unreadBodies = 0; ///< Refused by their header, before their body was read.
    uint64_t noConnection = 0; ///< Connections closed to make room for new ones, or not accepted.
};

/// HTTP/1.1 server on Boost.Beast. The interface does not expose Beast's types, since Beast is slow to
/// compile.
class HttpServer
{
public:
    /// Starts to listen; throws boost::system::system_error if it can't bind to `address`.
    HttpServer(boost::asio::io_context &io, const Address &address, const HttpServerLimits &limits,
               HttpHandler handler, HttpServerShare share = {});
    ~HttpServer();

    /// The clock of the byte budget.
    static TimeMs now();

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
    std::shared_ptr<HttpListener> listener_;
};

} // namespace cranberry
