#include "standin.h"

#include <fmt/format.h>
#include <fstream>
#include <map>

namespace json = boost::json;

namespace standin {

Standin::Standin(const char *program, int argc, const char **argv)
{
    cranberry::CommandLine line(program, "[OPTION...]");
    line.addText("listen", 'l', listen_, "address to listen on (required)", "IP:PORT");
    line.addText("name", 'n', name_, "name in the log", "NAME");
    line.addText("log", 'o', logFile_, "file to append one line to for each event", "FILE");
    ok_ = line.parse(argc, argv);
    exitCode_ = line.exitCode();
    if (ok_ && !cranberry::addressFromText(listen_)) {
        exitCode_ = line.fail("--listen must be IP:PORT");
        ok_ = false;
    }
}

cranberry::Address Standin::address() const
{
    return cranberry::addressFromText(listen_).value_or(cranberry::Address{});
}

void Standin::serve(cranberry::HttpHandler handler)
{
    handler_ = std::move(handler);
    cranberry::HttpServerLimits limits;
    limits.maxBodyBytes = 16U << 20;
    limits.readTimeout = {60000};
    limits.idleTimeout = {60000};
    cranberry::HttpServer server(io_, address(), limits,
                                 [this](const HttpExchangePtr &exchange) { onRequest(exchange); });
    boost::asio::signal_set signals(io_, SIGTERM, SIGINT);
    signals.async_wait([this](const boost::system::error_code &, int) { io_.stop(); });
    io_.run();
}

void Standin::onRequest(const HttpExchangePtr &exchange)
{
    const cranberry::HttpTarget target = cranberry::parseTarget(exchange->request().target);
    if (target.path == "/fault") {
        faults_[cranberry::headerOf(target.query, "name")]
            = std::strtoll(cranberry::headerOf(target.query, "value").c_str(), nullptr, 10);
        return exchange->respond(200, {}, "ok\n");
    }
    if (fault("down"))
        return exchange->abort();
    if (fault("silent"))
        return; // The connection stays open without a response.
    if (fault("slowMs"))
        return after(fault("slowMs"), [this, exchange] { handler_(exchange); });
    handler_(exchange);
}

void Standin::log(const std::string &line)
{
    if (logFile_.empty())
        return;
    std::ofstream(logFile_, std::ios::app) << fmt::format("{} {} {}\n", nowMs(), name_, line);
}

int64_t Standin::nowMs() const
{
    const std::chrono::system_clock::duration now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void Standin::after(int64_t ms, std::function<void()> action)
{
    std::shared_ptr<boost::asio::steady_timer> timer
        = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(ms));
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &code) {
        if (!code)
            action();
    });
}

int64_t Standin::fault(const std::string &name) const
{
    auto found = faults_.find(name);
    return found == faults_.end() ? 0 : found->second;
}

json::value parsed(const std::string &text)
{
    json::error_code code;
    json::value value = json::parse(text, code);
    return code ? json::value(json::object()) : value;
}

void respondJson(const HttpExchangePtr &exchange, int status, const json::value &body,
                 cranberry::HttpHeaders headers)
{
    headers.push_back({"Content-Type", "application/json"});
    exchange->respond(status, headers, json::serialize(body));
}

} // namespace standin
