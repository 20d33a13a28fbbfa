#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <chrono>

namespace cranberry {

/// Sockets and timers of the HTTP client and server. They run on an io_context and nothing else: with
/// executors of any type their sources take longer to compile.
using HttpExecutor = boost::asio::io_context::executor_type;
using HttpSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, HttpExecutor>;
using HttpAcceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, HttpExecutor>;
using HttpStream = boost::beast::basic_stream<boost::asio::ip::tcp, HttpExecutor>;
using HttpTimer
    = boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                        boost::asio::wait_traits<std::chrono::steady_clock>, HttpExecutor>;

} // namespace cranberry
