#include "io/httpserver.h"

#include "io/httpconnection.h"
#include "io/httplistener.h"

#include <algorithm>
#include <chrono>

namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;

namespace cranberry {

namespace {

constexpr int ListenBacklog
    = 1024; ///< A full queue drops SYNs, which clients retransmit only after a second.
/// Pause before the next try to accept while the process has no descriptor left.
constexpr std::chrono::milliseconds AcceptPause{50};

} // namespace

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
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
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
    acceptor_.async_accept(io_, [self = shared_from_this()](boost::system::error_code code, Socket socket) {
        self->onAccepted(code, std::move(socket));
    });
}

void HttpListener::onAccepted(boost::system::error_code code, Socket socket)
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
    chosen->abort();
    return true;
}

HttpServer::HttpServer(asio::io_context &io, const Address &address, const HttpServerLimits &limits,
                       HttpHandler handler, HttpServerShare share)
    : listener_(std::make_shared<HttpListener>(io, limits, std::move(handler), std::move(share)))
{
    listener_->listen(address);
}

TimeMs HttpServer::now()
{
    const std::chrono::steady_clock::duration sinceEpoch
        = std::chrono::steady_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()};
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
