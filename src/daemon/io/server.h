#pragma once

#include "daemon/daemon.h"
#include "daemon/io/callerapi.h"
#include "daemon/io/endpointlink.h"
#include "daemon/io/peerlink.h"
#include "daemon/io/platform.h"
#include "daemon/settings.h"
#include "io/processlimits.h"

#include <boost/asio/signal_set.hpp>
#include <deque>

namespace cranberry {

/// A running cranberryd: the core and its I/O adapters, on one thread.
class Server
{
public:
    explicit Server(Settings settings);
    ~Server();

    /// Serves until the daemon is drained. Returns the exit code of the process.
    int run();

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

private:
    friend class AdminApi;

    TimeMs now() const;
    void post(Event event);
    void perform(const Action &action);
    void tick();
    void onSignal();
    std::string metrics() const;
    void stop();
    void exitWhenWritten(TimeMs latest);

    Settings settings_;
    boost::asio::io_context io_;
    boost::asio::steady_timer timer_;
    boost::asio::signal_set signals_;
    Daemon daemon_;
    ProcessLimits processLimits_;
    ByteBudgetPtr bytes_; ///< What this process keeps for its clients, answers of endpoints included.
    ByteClaim keptAnswers_; ///< Of requests whose attempts have ended.
    ByteBudgetPtr platformReplies_;
    HttpClient http_;
    Platform platform_;
    EndpointLink endpoints_;
    CallerApi callers_;
    std::unique_ptr<PeerLink> peers_;
    std::unique_ptr<HttpServer> callerServer_;
    std::unique_ptr<HttpServer> adminServer_;
    std::unique_ptr<class AdminApi> admin_;
    std::deque<Event> pendingEvents_;
    bool processingEvents_ = false;
    bool hasStopped_ = false; ///< stop() was called; the second time it waits for no caller.
    bool stopsNow_ = false; ///< A signal has come during the drain.
    uint64_t ticks_ = 0;
};

} // namespace cranberry
