#pragma once

#include "io/httpserver.h"
#include "io/httpsocket.h"

#include <set>

namespace cranberry {

class HttpConnection;

/// The accepting socket of a server and what its connections share. Private to the server's source files.
class HttpListener : public std::enable_shared_from_this<HttpListener>
{
public:
    HttpListener(boost::asio::io_context &io, const HttpServerLimits &limits, HttpHandler handler,
                 HttpServerShare share);

    void listen(const Address &address);
    void stop();

    HttpServerLimits limits;
    HttpHandler handler;
    HttpServerShare share; ///< Has a byte budget.
    HttpServerCounters counters;
    std::set<HttpConnection *> connections; ///< Those that are open.
    bool closeAfterResponses = false;

private:
    void accept();
    void onAccepted(boost::system::error_code code, HttpSocket socket);
    void acceptLater();
    bool closeOneConnection();

    boost::asio::io_context &io_;
    HttpAcceptor acceptor_;
    HttpTimer acceptTimer_;
};

} // namespace cranberry
