// Parts of the review's stand-ins: the platform's store, servers and a clock, on the project's HTTP server
// and the store state of its own stand-in.
#pragma once

#include "io/base64.h"
#include "io/httpclient.h"
#include "io/httpserver.h"
#include "standins/storestate.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <dirent.h>
#include <fmt/format.h>
#include <functional>
#include <memory>

namespace review {

namespace asio = boost::asio;
namespace json = boost::json;
using cranberry::Address;
using cranberry::HttpExchangePtr;
using cranberry::HttpHeaders;

inline asio::io_context io;

inline int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline const int64_t startMs = steadyMs();

inline int64_t nowMs()
{
    return steadyMs() - startMs;
}

inline void after(int64_t ms, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(io, std::chrono::milliseconds(ms));
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &code) {
        if (!code)
            action();
    });
}

inline std::FILE *recordFile = nullptr;

template <typename... Values>
void record(fmt::format_string<Values...> text, Values &&...values)
{
    fmt::print(recordFile, "{:6} ", nowMs());
    fmt::print(recordFile, text, std::forward<Values>(values)...);
    fmt::print(recordFile, "\n");
}

inline json::value parsed(const std::string &text)
{
    json::error_code code;
    json::value value = json::parse(text, code);
    return code ? json::value(json::object()) : value;
}

/// The platform's store and, at the same address, its receiver of duties.
class Platform
{
public:
    Platform(uint16_t port, const json::object &configuration)
        : server_(io, Address{"127.0.0.1", port}, cranberry::HttpServerLimits{},
                  [this](const HttpExchangePtr &exchange) { onRequest(exchange); })
    {
        put("op/config", configuration);
    }

    void put(const std::string &key, const json::object &value)
    {
        store_.put(key, cranberry::base64Encoded(json::serialize(value)));
    }
    void remove(const std::string &key) { store_.remove(key); }
    /// While it is silent, calls get no response, and servers can't write.
    void setSilent(bool silent) { silent_ = silent; }
    bool isSilent() const { return silent_; }

private:
    void onRequest(const HttpExchangePtr &exchange)
    {
        if (silent_)
            return; // The connection stays open and returns nothing further.
        const cranberry::HttpRequest &request = exchange->request();
        const cranberry::HttpTarget target = cranberry::parseTarget(request.target);
        const json::value body = parsed(request.body);
        const uint64_t lease
            = std::strtoull(target.path.substr(target.path.rfind('/') + 1).c_str(), nullptr, 10);
        if (target.path == "/kv-range")
            return reply(exchange,
                         store_.list(cranberry::headerOf(target.query, "Prefix"),
                                     cranberry::headerOf(target.query, "After"), nowMs()));
        if (target.path == "/kv-txn")
            return reply(exchange, store_.write(body.as_object(), nowMs()));
        if (target.path == "/kv-lease")
            return reply(exchange, store_.grantLease(body.at("TtlMs").to_number<int64_t>(), nowMs()));
        if (target.path.starts_with("/kv-keep/"))
            return reply(exchange, store_.renewLease(lease, nowMs()));
        if (target.path.starts_with("/kv-lease-end/"))
            return reply(exchange, store_.revokeLease(lease));
        exchange->respond(200, {}, ""); // A duty.
    }

    static void reply(const HttpExchangePtr &exchange, const standin::KeyValueReply &reply)
    {
        exchange->respond(reply.status, {{"Content-Type", "application/json"}}, json::serialize(reply.body));
    }

    standin::StoreState store_;
    bool silent_ = false;
    cranberry::HttpServer server_;
};

inline int openDescriptors(int pid)
{
    int count = 0;
    DIR *directory = opendir(fmt::format("/proc/{}/fd", pid).c_str());
    if (!directory)
        return -1;
    while (readdir(directory))
        ++count;
    closedir(directory);
    return count - 2;
}

} // namespace review
