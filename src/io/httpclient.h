#pragma once

#include "common/httpfields.h"
#include "io/bytebudget.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace cranberry {

enum class HttpFailure : uint8_t {
    None,
    Refused, ///< The peer's host refused the connection, since no process listens there; no byte was sent.
    NotSent, ///< No connection was established for another reason; no byte was sent.
    Interrupted, ///< The connection failed or the response was malformed after sending had begun.
    ProgressTimeout ///< No byte was received for the progress timeout, or the total timeout expired.
};

/// Returns whether the server may have read part of the request.
constexpr bool mayHaveArrived(HttpFailure failure)
{
    return failure != HttpFailure::Refused && failure != HttpFailure::NotSent;
}

struct HttpCall {
    Address address;
    HttpRequest request;
    DurationMs connectTimeout{1000};
    DurationMs progressTimeout{5000}; ///< Maximum time between two received bytes.
    /// Never reuses an idle connection. The server may have closed it already, and that failure can't be
    /// distinguished from one after the request was read.
    bool freshConnection = false;
    DurationMs totalTimeout{0}; ///< Limit for the complete call; 0 means none.
    size_t maxBodyBytes = 0; ///< A longer response body fails the call; 0 means no limit.
    /// Resets the connection (RST) when the call fails or is cancelled: after a normal close, bytes that are
    /// still in transit could arrive seconds later.
    bool resetOnAbort = false;
};

struct HttpCallbacks {
    std::function<void()> onConnected; ///< A new connection was established; not called for a reused one.
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(const char *data, size_t size)> onData;
    std::function<void(HttpFailure failure)> onDone; ///< Called once, unless cancelled.
};

/// A complete response, for calls that don't stream.
struct HttpResponse {
    HttpFailure failure = HttpFailure::None;
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// HTTP/1.1 client on Boost.Beast with a pool of idle connections, which are closed at the end of the
/// keep-alive that the server stated, at most a minute, or after 3 s. Until then the io_context has work. All
/// member functions must be called on the io_context's thread.
///
/// A head that is no response fails its call, interim responses are passed over (`responseKindOf`), and a
/// response without framing ends only where its server closed the connection in order.
///
/// Servers may send bytes without end. What a call keeps besides its body has a bound; the bodies that
/// `fetch` collects have one each, and one sum for all calls.
class HttpClient
{
public:
    /// `replies`: for the bodies that `fetch` collects; null: their sum has no bound.
    explicit HttpClient(boost::asio::io_context &io, ByteBudgetPtr replies = nullptr);
    ~HttpClient();

    uint64_t start(HttpCall call, HttpCallbacks callbacks);
    void cancel(uint64_t call); ///< No callback is called afterwards.
    /// Collects the body, up to `maxBodyBytes` of the call, or `MaxFetchedBody`. A longer one, or one for
    /// which the budget has no room, ends the call as Interrupted.
    void fetch(HttpCall call, std::function<void(const HttpResponse &)> onDone);
    void closeIdle(const Address &address); ///< Closes the connections that are not in use.
    /// Opens a connection and keeps it idle for a later call. `onDone` gets None, Refused or NotSent.
    void connect(const Address &address, DurationMs timeout, std::function<void(HttpFailure)> onDone);

    /// For the largest replies: pages of a store.
    static constexpr size_t MaxFetchedBody = 16U << 20;

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace cranberry
