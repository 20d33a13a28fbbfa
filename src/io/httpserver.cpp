#include "io/httpserver.h"

#include "io/httpconnection.h"
#include "io/httpserialise.h"
#include "io/socketoptions.h"
#include "io/steadyclock.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <cerrno>
#include <chrono>
#include <fmt/format.h>
#include <sys/socket.h>

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

namespace cranberry {

namespace {

constexpr int ListenBacklog
    = 1024; ///< A full queue drops SYNs, which clients retransmit only after a second.
/// Pause before the next try to accept while the process has no descriptor left.
constexpr std::chrono::milliseconds AcceptPause{50};
/// Time for the client to close the connection after the last response. Closing a socket with unread bytes
/// would reset the connection and discard a response that is still in transit.
constexpr std::chrono::seconds LingerTimeout{1};
constexpr size_t ReadBytes = 4U << 10;
constexpr size_t BodyReadBytes = 16U << 10; ///< Fewer system calls for a body of some size.
/// What a connection needs besides its requests; unsent bytes up to half of it are not counted in addition.
constexpr size_t ConnectionBytes = 16U << 10;
/// A header stands in the parser, the request, the attempt and the client's message.
constexpr size_t HeadCopies = 4;
/// The system's receive buffer does not grow beyond this while nothing is read.
constexpr size_t UnreadBytes = 64U << 10;
/// Within this many bytes a request has made progress; a smaller one as a whole.
constexpr size_t ProgressBytes = ByteBudget::SmallClaim;

/// Text of a body with its claim, which ends with the last copy of the body.
struct ClaimedText {
    std::string text;
    ByteClaim claim;
};

} // namespace

// ---- Accepting ----

HttpListener::HttpListener(asio::io_context &io, const HttpServerLimits &limits, HttpHandler handler,
                           HttpServerShare share)
    : limits(limits), handler(std::move(handler)), share(std::move(share)), io_(io), acceptor_(io),
      acceptTimer_(io)
{
    if (!this->share.bytes)
        this->share.bytes = std::make_shared<ByteBudget>(std::numeric_limits<size_t>::max());
}

void HttpListener::listen(const Address &address)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(HttpAcceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(ListenBacklog);
    accept();
}

void HttpListener::stop()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    acceptTimer_.cancel();
}

void HttpListener::accept()
{
    acceptor_.async_accept(io_,
                           [self = shared_from_this()](boost::system::error_code code, HttpSocket socket) {
                               self->onAccepted(code, std::move(socket));
                           });
}

void HttpListener::onAccepted(boost::system::error_code code, HttpSocket socket)
{
    if (code == asio::error::operation_aborted || !acceptor_.is_open())
        return;
    const bool lacksDescriptors = code == asio::error::no_descriptors
        || code == boost::system::errc::too_many_files_open_in_system || code == asio::error::no_buffer_space
        || code == asio::error::no_memory;
    // The connection stays in the queue and would be reported again at once.
    if (lacksDescriptors && !closeOneConnection())
        return acceptLater();
    if (!code && (connections.size() < share.maxConnections || closeOneConnection())) {
        ++counters.connections;
        HttpConnection::start(std::move(socket), shared_from_this());
    } else if (!code) {
        ++counters.noConnection;
    }
    accept();
}

void HttpListener::acceptLater()
{
    acceptTimer_.expires_after(AcceptPause);
    acceptTimer_.async_wait([self = shared_from_this()](boost::system::error_code code) {
        if (!code && self->acceptor_.is_open())
            self->accept();
    });
}

// Closes the connection that has waited for a request for the longest time, else the one whose request
// arrives, or whose response is read, most slowly. Returns false if there is none.
bool HttpListener::closeOneConnection()
{
    const TimeMs now = HttpServer::now();
    HttpConnection *longestIdle = nullptr;
    HttpConnection *slowest = nullptr;
    for (HttpConnection *each : connections) {
        if (each->idleSince() && (!longestIdle || *each->idleSince() < *longestIdle->idleSince()))
            longestIdle = each;
        if (each->slowSince() && now - *each->slowSince() >= ByteBudget::MinSlowTime
            && (!slowest || *each->slowSince() < *slowest->slowSince()))
            slowest = each;
    }
    HttpConnection *chosen = longestIdle ? longestIdle : slowest;
    if (!chosen)
        return false;
    ++counters.noConnection;
    chosen->close(CloseCause::MadeRoom);
    return true;
}

// ---- A connection ----

void HttpConnection::start(HttpSocket socket, const std::shared_ptr<HttpListener> &listener)
{
    const std::shared_ptr<HttpConnection> connection
        = std::make_shared<HttpConnection>(std::move(socket), listener);
    if (connection->connection_.growTo(ConnectionBytes, connection.get(), HttpServer::now()))
        return connection->readNext();
    ++listener->counters.noMemory;
    connection->close(CloseCause::NoRequest);
}

HttpConnection::HttpConnection(HttpSocket socket, std::shared_ptr<HttpListener> listener)
    : stream_(std::move(socket)), readTimer_(stream_.get_executor()), listener_(std::move(listener)),
      counters_(listener_->counters), budget_(*listener_->share.bytes), connection_(listener_->share.bytes),
      head_(listener_->share.bytes), unsent_(listener_->share.bytes), unread_(listener_->share.bytes)
{
    listener_->connections.insert(this);
    setSocketOptions(stream_.socket().native_handle());
}

HttpConnection::~HttpConnection()
{
    listener_->connections.erase(this);
    budget_.clearYielding(*this);
}

// ---- Reading ----

void HttpConnection::readNext()
{
    const HttpServerLimits &limits = listener_->limits;
    phase_ = Phase::Idle;
    request_ = {};
    head_.release();
    unread_.release();
    parser_.emplace();
    parser_->header_limit(limits.maxHeaderBytes);
    parser_->body_limit(limits.maxBodyBytes);
    parser_->eager(false);
    if (buffer_.size() > 0)
        return beginRequest();
    if (buffer_.capacity() > ReadBytes)
        buffer_.shrink_to_fit();
    idleSince_ = HttpServer::now();
    stream_.expires_after(std::chrono::milliseconds(limits.idleTimeout.count));
    read(ReadBytes);
}

void HttpConnection::read(size_t size)
{
    stream_.async_read_some(
        buffer_.prepare(size),
        [self = shared_from_this()](ErrorCode code, size_t received) { self->onBytes(code, received); });
}

void HttpConnection::onBytes(ErrorCode code, size_t size)
{
    buffer_.commit(size);
    switch (phase_) {
    case Phase::Idle:
        return code ? close(CloseCause::NoRequest) : beginRequest();
    case Phase::Reading:
        budget_.clearYielding(*this);
        bytesSinceProgress_ += size;
        if (bytesSinceProgress_ >= ProgressBytes) {
            bytesSinceProgress_ = 0;
            slowSince_ = HttpServer::now();
        }
        return code ? onReadFailed(code) : parse();
    case Phase::GivingWay:
        return refuseForMemory(0);
    case Phase::Serving:
    case Phase::Lingering:
    case Phase::Closed:
        return;
    }
}

void HttpConnection::beginRequest()
{
    phase_ = Phase::Reading;
    idleSince_.reset();
    finished_ = chunked_ = endsWithConnection_ = readTimedOut_ = isHeadChecked_ = false;
    keepAlive_ = true;
    body_ = {};
    bytesSinceProgress_ = 0;
    stream_.expires_never();
    parse();
}

// Gives the parser what was received, each byte of it after there is room for what becomes of it.
void HttpConnection::parse()
{
    while (!parser_->is_done()) {
        const bool wasHeaderDone = parser_->is_header_done();
        if (wasHeaderDone && !growBody())
            return;
        if (buffer_.size() == 0)
            return awaitBytes();
        ErrorCode code;
        const size_t used = parser_->put(buffer_.data(), code);
        buffer_.consume(used);
        if (code && code != http::error::need_more)
            return onMalformed(code);
        if (!wasHeaderDone && parser_->is_header_done()) {
            if (!onHeader(used))
                return;
        } else if (code || used == 0) {
            return awaitBytes();
        }
    }
    onRequest();
}

// Returns false if the request was refused. The parser adds the fields behind a chunked body to those of the
// head, for which nobody has decided anything; so the head is read here, and only here.
bool HttpConnection::onHeader(size_t size)
{
    request_ = parsedHead();
    keepAlive_ = parser_->get().keep_alive();
    if (!isFramingAgreed()) {
        ++counters_.badRequests;
        refuse(400, "a body comes with a length or in chunks");
        return false;
    }
    parser_->eager(true);
    if (!head_.growTo(size * HeadCopies, this, HttpServer::now())) {
        refuseForMemory(0);
        return false;
    }
    const boost::optional<uint64_t> length = parser_->content_length();
    if (length && *length > buffer_.size() && !parser_->is_done())
        return admitBody();
    return true;
}

// Returns whether the parser will end the request where its head says. For a transfer coding that it does not
// know it expects no body, and the caller's body would be read, and run, as the next request.
bool HttpConnection::isFramingAgreed() const
{
    constexpr unsigned int Http10 = 10;
    const bool isHttp10 = parser_->get().version() == Http10;
    switch (requestFramingOf(request_.headers, isHttp10)) {
    case RequestFraming::None:
        return !parser_->chunked() && !parser_->content_length();
    case RequestFraming::Length:
        return !parser_->chunked() && parser_->content_length();
    case RequestFraming::Chunks:
        return parser_->chunked();
    case RequestFraming::Unsupported:
        break;
    }
    return false;
}

// Decides on a request whose body is still to come. Nothing is bought for one that can't be served; an
// announced body gets all of its room now, so that one that is begun can be completed.
bool HttpConnection::admitBody()
{
    isHeadChecked_ = true;
    const HttpServerShare &share = listener_->share;
    HeadVerdict verdict;
    if (share.checkHead)
        verdict = share.checkHead(request_);
    if (verdict.refuse) {
        ++counters_.unreadBodies;
        endReading();
        keepAlive_ = false;
        verdict.refuse(shared_from_this());
        return false;
    }
    const size_t received = body_.bytes();
    const size_t announced = parser_->content_length().value_or(0) * share.copiesOfBody;
    const size_t claim = std::max(announced, received);
    body_ = ByteClaim(share.bytes, std::move(verdict.owner));
    if (!body_.growTo(claim, this, HttpServer::now())) {
        refuseForMemory(claim);
        return false;
    }
    if (boost::algorithm::iequals(headerOf(request_.headers, "Expect"), "100-continue"))
        sendContinue();
    return true;
}

// Nothing else is being written, so these few bytes fit the socket's buffer.
void HttpConnection::sendContinue()
{
    constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    ErrorCode ignored;
    stream_.socket().non_blocking(true, ignored);
    stream_.socket().send(asio::buffer(Continue), 0, ignored);
}

// Claims the room that the received bytes may need in the body, whose length may not be known.
bool HttpConnection::growBody()
{
    std::string &text = parser_->get().body();
    const size_t needed = text.size() + buffer_.size();
    if (needed <= text.capacity() || parser_->content_length())
        return true;
    const size_t limit = listener_->limits.maxBodyBytes;
    const size_t capacity = std::max(std::min(2 * text.capacity(), limit), std::min(needed, limit));
    const size_t claim = capacity * listener_->share.copiesOfBody;
    if (!body_.growTo(claim, this, HttpServer::now())) {
        refuseForMemory(claim);
        return false;
    }
    text.reserve(capacity);
    return true;
}

void HttpConnection::awaitBytes()
{
    const bool isHeaderDone = parser_->is_header_done();
    // What waits to be parsed is part of a header, or of a line of a chunked body.
    if (buffer_.size() >= listener_->limits.maxHeaderBytes) {
        ++counters_.tooLarge;
        return refuse(431, "too large");
    }
    if (isHeaderDone && !isHeadChecked_ && !admitBody())
        return;
    if (!slowSince_)
        slowSince_ = HttpServer::now();
    const TimedPart part = isHeaderDone ? TimedPart::Body : TimedPart::Header;
    if (std::exchange(timedPart_, part) != part)
        startReadTimer();
    budget_.setYielding(*this, *slowSince_);
    read(isHeaderDone ? BodyReadBytes : ReadBytes);
}

// The header and the body have the read timeout each, so that a slow header does not leave too little time
// for a long body. Uses a separate timer: the stream's own expiry would close the socket, and no 408 could be
// sent.
void HttpConnection::startReadTimer()
{
    readTimer_.expires_after(std::chrono::milliseconds(listener_->limits.readTimeout.count));
    readTimer_.async_wait([self = shared_from_this()](ErrorCode code) {
        if (code || self->phase_ != Phase::Reading)
            return;
        self->readTimedOut_ = true;
        self->stream_.cancel();
    });
}

void HttpConnection::onReadFailed(ErrorCode code)
{
    if (readTimedOut_) {
        ++counters_.timeouts;
        if (!listener_->limits.respondsToTimeouts)
            return close(CloseCause::NoRequest);
        return refuse(408, "the request took too long to arrive");
    }
    if (code != asio::error::eof)
        return close(CloseCause::NoRequest);
    parser_->put_eof(code);
    if (code && code != http::error::end_of_stream)
        return onMalformed(code);
    close(CloseCause::NoRequest);
}

void HttpConnection::onMalformed(ErrorCode code)
{
    if (code == http::error::body_limit || code == http::error::header_limit) {
        ++counters_.tooLarge;
        return refuse(code == http::error::body_limit ? 413 : 431, "too large");
    }
    ++counters_.badRequests;
    refuse(400, "malformed HTTP: " + code.message());
}

// Ends the reading of a request: what it holds is free for others.
void HttpConnection::endReading()
{
    phase_ = Phase::Serving;
    if (std::exchange(timedPart_, TimedPart::None) != TimedPart::None)
        readTimer_.cancel();
    budget_.clearYielding(*this);
    slowSince_.reset();
    parser_.reset();
    body_.release();
}

HttpRequest HttpConnection::parsedHead() const
{
    const http::request<http::string_body> &message = parser_->get();
    HttpRequest out;
    out.method = std::string(message.method_string());
    out.target = std::string(message.target());
    for (const http::fields::value_type &field : message)
        out.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    return out;
}

void HttpConnection::onRequest()
{
    std::string text = std::move(parser_->get().body());
    if (parser_->get().method() == http::verb::trace && !text.empty()) {
        ++counters_.badRequests;
        return refuse(400, "a TRACE request has no body");
    }
    if (body_.bytes() == 0)
        body_ = ByteClaim(listener_->share.bytes);
    if (!body_.growTo(text.size() * listener_->share.copiesOfBody, this, HttpServer::now()))
        return refuseForMemory(text.size());
    if (!text.empty()) {
        const std::shared_ptr<ClaimedText> claimed
            = std::make_shared<ClaimedText>(ClaimedText{std::move(text), std::move(body_)});
        request_.body = Body(std::shared_ptr<const std::string>(claimed, &claimed->text));
    }
    endReading();
    watchClose();
    listener_->handler(shared_from_this());
}

// ---- Giving way, refusing ----

size_t HttpConnection::heldBytes() const
{
    return head_.bytes() + body_.bytes() + unsent_.bytes();
}

void HttpConnection::giveWay()
{
    if (phase_ != Phase::Reading)
        return close(CloseCause::GaveWay);
    // Its read is under way and uses the buffer.
    endReading();
    head_.release();
    phase_ = Phase::GivingWay;
    stream_.cancel();
}

// Refuses a request for which there is no room; `claim` is what its body needs.
void HttpConnection::refuseForMemory(size_t claim)
{
    ++counters_.noMemory;
    if (!budget_.canEverFit(claim))
        return refuse(413, "larger than this process has room for");
    const double retryAfter = static_cast<double>(listener_->share.retryAfter.count) / 1000;
    refuse(503, {{"Retry-After", fmt::format("{}", retryAfter)}}, "overloaded", "no room for the request");
}

void HttpConnection::refuse(int status, const std::string &why)
{
    refuse(status, {}, "badRequest", why);
}

void HttpConnection::refuse(int status, HttpHeaders headers, const std::string &reason,
                            const std::string &why)
{
    endReading();
    keepAlive_ = false;
    finished_ = false;
    headers.push_back({"Content-Type", "application/json"});
    const HttpHeaders &ofServer = listener_->share.refusalHeaders;
    headers.insert(headers.end(), ofServer.begin(), ofServer.end());
    respond(status, headers, R"({"outcome":"notRun","reason":")" + reason + R"(","message":")" + why + "\"}");
}

// ---- Responding ----

template <typename Message>
void HttpConnection::setHeaders(Message &message, const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers)
        message.insert(header.name, header.value);
    // At the bound of connections, a client that sends its next requests ahead makes room for others.
    const bool makesRoom
        = buffer_.size() > 0 && listener_->connections.size() >= listener_->share.maxConnections;
    keepAlive_ = keepAlive_ && !listener_->closeAfterResponses && !makesRoom;
    message.keep_alive(keepAlive_);
}

void HttpConnection::respond(int status, const HttpHeaders &headers, const std::string &body)
{
    http::response<http::string_body> message{static_cast<http::status>(status), 11};
    setHeaders(message, headers);
    message.body() = body;
    if (!endsWithConnection_)
        message.prepare_payload();
    out_ += serialised(message, false);
    finish();
}

void HttpConnection::beginStream(int status, const HttpHeaders &headers)
{
    http::response<http::empty_body> message{static_cast<http::status>(status), 11};
    setHeaders(message, headers);
    chunked_ = !endsWithConnection_;
    message.chunked(chunked_);
    out_ += serialised(message, true);
    flush();
}

void HttpConnection::endWithConnection()
{
    endsWithConnection_ = true;
    keepAlive_ = false;
    setResetsOnClose(true);
}

// A caller takes an ordinary close for the end of a response without framing, also one by the system when the
// process is killed. A reset can't be taken for it.
void HttpConnection::setResetsOnClose(bool resets)
{
    ErrorCode ignored;
    stream_.socket().set_option(asio::socket_base::linger(resets, 0), ignored);
}

void HttpConnection::write(const std::string &data)
{
    if (phase_ == Phase::Closed || data.empty())
        return;
    if (chunked_)
        append(out_, http::make_chunk(asio::buffer(data)));
    else
        out_ += data;
    flush();
}

void HttpConnection::finish()
{
    if (phase_ == Phase::Closed)
        return;
    if (chunked_)
        append(out_, http::make_chunk_last());
    finished_ = true;
    if (!busy_ && out_.empty())
        return endResponse();
    flush();
}

// A readable socket without data means that the caller closed the connection. An event of an earlier request
// says nothing: what it was for has been read.
void HttpConnection::watchClose()
{
    const uint64_t request = ++requests_;
    stream_.socket().async_wait(HttpSocket::wait_read, [self = shared_from_this(), request](ErrorCode code) {
        if (code || self->finished_ || self->phase_ != Phase::Serving || self->requests_ != request)
            return;
        if (const std::optional<CloseCause> cause = self->causeToClose())
            self->close(*cause);
    });
}

// Of a readable socket: a client that has gone, or one whose bytes sent ahead have no room.
std::optional<CloseCause> HttpConnection::causeToClose()
{
    ErrorCode ignored;
    if (stream_.socket().available(ignored) > 0) {
        return unread_.growTo(UnreadBytes, this, HttpServer::now()) ? std::nullopt
                                                                    : std::optional(CloseCause::NoRoomAhead);
    }
    char byte = 0;
    const bool isReset = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
        && errno == ECONNRESET;
    return isReset ? CloseCause::ClientReset : CloseCause::ClientClosed;
}

// Returns false if the connection was closed because its client leaves too much unread.
bool HttpConnection::accountUnsent()
{
    const size_t pending = pendingBytes();
    if (pending <= ConnectionBytes / 2 && unsent_.bytes() == 0)
        return true;
    unsent_.set(pending, HttpServer::now());
    if (phase_ != Phase::Closed && budget_.used() > budget_.limit() && pending > ByteBudget::SmallClaim)
        close(CloseCause::UnsentBytes);
    return phase_ != Phase::Closed;
}

void HttpConnection::flush()
{
    if (phase_ == Phase::Closed || !accountUnsent() || out_.empty())
        return;
    if (!std::exchange(busy_, true)) {
        writing_.swap(out_);
        writeStartedAt_ = HttpServer::now();
        stream_.expires_after(std::chrono::milliseconds(listener_->limits.writeTimeout.count));
        asio::async_write(stream_, asio::buffer(writing_),
                          [self = shared_from_this()](ErrorCode code, size_t) { self->onWritten(code); });
    }
    if (unsent_.bytes() > 0)
        budget_.setYielding(*this, writeStartedAt_);
}

void HttpConnection::onWritten(ErrorCode code)
{
    busy_ = false;
    writing_.clear();
    if (writing_.capacity() > ConnectionBytes / 4)
        writing_.shrink_to_fit();
    budget_.clearYielding(*this);
    if (code == boost::beast::error::timeout)
        return close(CloseCause::WriteTimedOut);
    if (code)
        return close(CloseCause::ClientReset);
    if (phase_ == Phase::Closed)
        return;
    if (!out_.empty())
        return flush();
    unsent_.release();
    if (!finished_) {
        stream_.expires_never();
        return;
    }
    endResponse();
}

// All of the response is written.
void HttpConnection::endResponse()
{
    onClosed_ = nullptr;
    ErrorCode ignored;
    stream_.socket().cancel(ignored);
    if (keepAlive_)
        return readNext();
    if (std::exchange(endsWithConnection_, false))
        setResetsOnClose(false);
    stream_.socket().shutdown(HttpSocket::shutdown_send, ignored);
    stream_.expires_after(LingerTimeout);
    phase_ = Phase::Lingering;
    request_ = {};
    head_.release();
    buffer_.clear();
    buffer_.shrink_to_fit();
    idleSince_ = HttpServer::now();
    linger();
}

// Reads on for a while: a client that is still sending sees a reset in place of the response otherwise.
void HttpConnection::linger()
{
    buffer_.clear();
    stream_.async_read_some(buffer_.prepare(ReadBytes),
                            [self = shared_from_this()](ErrorCode code, size_t size) {
                                self->lingeredBytes_ += size;
                                if (code || self->lingeredBytes_ > self->listener_->limits.maxBodyBytes)
                                    self->close(CloseCause::NoRequest);
                                else
                                    self->linger();
                            });
}

// The only place at which a connection closes.
void HttpConnection::close(CloseCause cause)
{
    if (phase_ == Phase::Closed)
        return;
    closeCause_ = cause;
    if (phase_ == Phase::Reading || phase_ == Phase::GivingWay)
        endReading();
    phase_ = Phase::Closed;
    idleSince_.reset();
    budget_.clearYielding(*this);
    listener_->connections.erase(this);
    ErrorCode ignored;
    if (!endsWithConnection_) // A shutdown would look like the end of such a response.
        stream_.socket().shutdown(HttpSocket::shutdown_both, ignored);
    stream_.close();
    for (ByteClaim *claim : {&connection_, &head_, &unsent_, &unread_})
        claim->release();
    const std::function<void()> callback = std::move(onClosed_);
    onClosed_ = nullptr;
    if (callback)
        callback();
}

// ---- The server ----

HttpServer::HttpServer(asio::io_context &io, const Address &address, const HttpServerLimits &limits,
                       HttpHandler handler, HttpServerShare share)
    : listener_(std::make_shared<HttpListener>(io, limits, std::move(handler), std::move(share)))
{
    listener_->listen(address);
}

TimeMs HttpServer::now()
{
    return steadyTime();
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
    return listener_->connections.size();
}

size_t HttpServer::unwrittenResponses() const
{
    const std::set<HttpConnection *> &all = listener_->connections;
    return static_cast<size_t>(std::count_if(
        all.begin(), all.end(), [](const HttpConnection *each) { return each->hasUnwrittenResponse(); }));
}

void HttpServer::stopAccepting()
{
    listener_->stop();
}

} // namespace cranberry
