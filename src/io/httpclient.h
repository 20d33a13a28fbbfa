#pragma once

#include "common/httpfields.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace cranberry {

enum class HttpFailure : uint8_t {
    None,
    Refused, ///< The far end is up, but nobody listens there: no byte left.
    NotSent, ///< The connection was never had for another reason: no byte left.
    Broken, ///< Anything after that.
    Silent ///< Nothing came for the progress timeout.
};

/// Whether the far end may have read some of the request.
constexpr bool mayHaveArrived(HttpFailure failure)
{
    return failure != HttpFailure::Refused && failure != HttpFailure::NotSent;
}

struct HttpCall {
    Address address;
    HttpRequest request;
    DurationMs connectTimeout{1000};
    DurationMs progressTimeout{5000}; ///< Longest time between two bytes.
    /// Never on a kept connection. Those may have been closed at the far end already, and then the failure
    /// can't be told from one after the request was read.
    bool freshConnection = false;
    DurationMs totalTimeout{0}; ///< For all of the call; 0: none.
    /// Resets the connection when the call is given up: a plain close would leave bytes on their way that may
    /// still arrive seconds later.
    bool resetWhenGivenUp = false;
};

struct HttpCallbacks {
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(const char *data, size_t size)> onData;
    std::function<void(HttpFailure failure)> onDone; ///< Called once, unless cancelled.
};

/// A whole response, for calls that don't stream.
struct HttpResponse {
    HttpFailure failure = HttpFailure::None;
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// HTTP/1.1 client by Boost.Beast with kept connections. All calls on the io_context's thread.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &io);
    ~HttpClient();

    uint64_t start(HttpCall call, HttpCallbacks callbacks);
    void cancel(uint64_t call); ///< No callback follows.
    void fetch(HttpCall call, std::function<void(const HttpResponse &)> onDone);

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace cranberry
