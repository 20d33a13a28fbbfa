#pragma once

#include "io/commandline.h"
#include "io/httpserver.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <map>

namespace standin {

using cranberry::HttpExchangePtr;

/// Common base of all stand-ins: one thread, an HTTP server, a line-based log, and faults that can be set at
/// run time.
class Standin
{
public:
    Standin(const char *program, int argc, const char **argv);

    /// Returns false if the program must exit with exitCode().
    bool ok() const { return ok_; }
    int exitCode() const { return exitCode_; }
    void serve(cranberry::HttpHandler handler); ///< Serves requests until SIGTERM or SIGINT.

    boost::asio::io_context &io() { return io_; }
    const std::string &name() const { return name_; }
    cranberry::Address address() const; ///< The address given by --listen.
    void log(const std::string &line); ///< Appends to the --log file, which the checker reads.
    int64_t nowMs() const;
    void after(int64_t ms, std::function<void()> action);

    /// Returns the value of a fault, or 0 if it is not set. POST /fault?name=N&value=V sets it.
    int64_t fault(const std::string &name) const;

private:
    void onRequest(const HttpExchangePtr &exchange);

    boost::asio::io_context io_;
    std::string name_;
    std::string listen_;
    std::string logFile_;
    std::map<std::string, int64_t> faults_;
    cranberry::HttpHandler handler_;
    bool ok_ = false;
    int exitCode_ = 0;
};

boost::json::value parsed(const std::string &text);
void respondJson(const HttpExchangePtr &exchange, int status, const boost::json::value &body,
                 cranberry::HttpHeaders headers = {});

} // namespace standin
