#pragma once

#include "io/httplistener.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace cranberry {

/// One connection of a server; serves its requests sequentially. Private to the server's source files.
///
/// Each part of a request has an end: the header and each line of a chunked body that of the header's limit,
/// the body its own limit, and all of it the room in the process's byte budget. What is read and not yet
/// complete, and what the client does not read, gives way to others when the budget is used up.
class HttpConnection : public HttpExchange,
                       public ByteHolder,
                       public std::enable_shared_from_this<HttpConnection>
{
public:
    static void start(HttpSocket socket, const std::shared_ptr<HttpListener> &listener);

    HttpConnection(HttpSocket socket, std::shared_ptr<HttpListener> listener);
    ~HttpConnection() override;

    const HttpRequest &request() const override { return request_; }
    void respond(int status, const HttpHeaders &headers, const std::string &body) override;
    void beginStream(int status, const HttpHeaders &headers) override;
    void endWithConnection() override;
    void write(const std::string &data) override;
    void finish() override;
    void close(CloseCause cause) override;
    void onClosed(std::function<void()> callback) override { onClosed_ = std::move(callback); }
    CloseCause closeCause() const override { return closeCause_; }
    size_t pendingBytes() const override { return out_.size() + writing_.size(); }
    bool hasUnwrittenResponse() const { return finished_ && phase_ != Phase::Closed && pendingBytes() > 0; }

    size_t heldBytes() const override;
    size_t heldFor(const std::string &owner) const override { return body_.bytesOf(owner); }
    void giveWay() override;
    /// Since when it waits for a request, or for the client to close it.
    const std::optional<TimeMs> &idleSince() const { return idleSince_; }
    /// Since when neither the request that is being read nor the write under way has made progress.
    std::optional<TimeMs> slowSince() const { return busy_ ? std::optional(writeStartedAt_) : slowSince_; }

private:
    enum class Phase : uint8_t {
        Idle, ///< Waits for the first byte of a request.
        Reading,
        GivingWay, ///< Was reading; responds once its read is cancelled.
        Serving, ///< The handler has the request, or a refusal is being written.
        Lingering, ///< Waits for the client to close.
        Closed
    };
    enum class TimedPart : uint8_t { None, Header, Body }; ///< What the read timeout applies to.
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using ErrorCode = boost::beast::error_code;

    void readNext();
    void read(size_t size);
    void onBytes(ErrorCode code, size_t size);
    void beginRequest();
    void parse();
    bool onHeader(size_t size);
    bool isFramingAgreed() const;
    bool admitBody();
    void sendContinue();
    bool growBody();
    void awaitBytes();
    void onReadFailed(ErrorCode code);
    void onMalformed(ErrorCode code);
    void onRequest();
    void startReadTimer();
    void endReading();
    HttpRequest parsedHead() const;
    void refuseForMemory(size_t claim);
    void refuse(int status, const std::string &why);
    void refuse(int status, HttpHeaders headers, const std::string &reason, const std::string &why);
    template <typename Message>
    void setHeaders(Message &message, const HttpHeaders &headers);
    void watchClose();
    std::optional<CloseCause> causeToClose();
    bool accountUnsent();
    void flush();
    void onWritten(ErrorCode code);
    void endResponse();
    void linger();
    void setResetsOnClose(bool resets);

    HttpStream stream_;
    HttpTimer readTimer_;
    bool readTimedOut_ = false;
    std::shared_ptr<HttpListener> listener_;
    HttpServerCounters &counters_; ///< Owned by the listener.
    ByteBudget &budget_; ///< Owned by the listener.
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    HttpRequest request_;
    std::string out_;
    std::string writing_;
    std::function<void()> onClosed_;

    ByteClaim connection_; ///< For the connection itself and its small buffers.
    ByteClaim head_;
    ByteClaim body_; ///< Until the body is complete; then it belongs to the body.
    ByteClaim unsent_;
    ByteClaim unread_; ///< Bytes of further requests in the socket, while this one is served.

    Phase phase_ = Phase::Idle;
    CloseCause closeCause_ = CloseCause::NoRequest;
    std::optional<TimeMs> idleSince_;
    std::optional<TimeMs> slowSince_; ///< Of the request that is being read.
    TimeMs writeStartedAt_; ///< Start of the newest write.
    size_t bytesSinceProgress_ = 0;
    size_t lingeredBytes_ = 0;
    uint64_t requests_ = 0; ///< That reached the handler.
    TimedPart timedPart_ = TimedPart::None;
    bool isHeadChecked_ = false;
    bool busy_ = false;
    bool finished_ = false;
    bool chunked_ = false;
    bool endsWithConnection_ = false; ///< The response has no framing of its own.
    bool keepAlive_ = true;
};

} // namespace cranberry
