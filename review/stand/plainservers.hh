// Servers of a plain service, each at its own port, which work for a fixed time on each request.
#pragma once

#include "world.hh"

#include <map>
#include <vector>

namespace review {

class PlainServers
{
public:
    PlainServers(Platform &platform, uint16_t firstPort, int count, int64_t workMs)
        : platform_(platform), firstPort_(firstPort), workMs_(workMs)
    {
        for (int i = 0; i < count; ++i) {
            const uint16_t port = static_cast<uint16_t>(firstPort + i);
            servers_.push_back(std::make_unique<cranberry::HttpServer>(
                io, Address{"127.0.0.1", port}, cranberry::HttpServerLimits{},
                [this, i](const HttpExchangePtr &exchange) { onRequest(i, exchange); }));
        }
        publish();
    }

    /// Runs that began, by request id, and the tenant that the server was told.
    std::map<std::string, std::string> runs;

private:
    static std::string idOf(int number) { return fmt::format("p-{}", number); }

    void publish()
    {
        ++seq_;
        for (size_t i = 0; i < servers_.size(); ++i) {
            const int number = static_cast<int>(i);
            platform_.put("servers/" + idOf(number),
                          {{"Service", "svc-plain"},
                           {"Address", fmt::format("127.0.0.1:{}", firstPort_ + number)},
                           {"Zone", "zone-a"},
                           {"Version", "v1"},
                           {"ColdRemainingMs", 0},
                           {"Slots", 6},
                           {"State", "ready"},
                           {"Seq", seq_}});
        }
        after(1000, [this] { publish(); });
    }

    void onRequest(int number, const HttpExchangePtr &exchange)
    {
        const cranberry::HttpRequest &request = exchange->request();
        const std::string id = cranberry::headerOf(request.headers, "X-Request-Id");
        HttpHeaders headers{{"X-Request-Id", id}, {"Keep-Alive", "timeout=5"}};
        if (cranberry::headerOf(request.headers, "X-Expect-Instance") != idOf(number))
            return exchange->respond(421, headers, "");
        runs[id] = cranberry::headerOf(request.headers, "X-Tenant");
        record("server {} runs {} for tenant '{}'", idOf(number), id, runs[id]);
        headers.push_back({"X-Server-Stamp", "stamp-" + idOf(number)});
        after(workMs_, [exchange, headers, id] { exchange->respond(200, headers, "answer to " + id); });
    }

    Platform &platform_;
    uint16_t firstPort_;
    int64_t workMs_;
    std::vector<std::unique_ptr<cranberry::HttpServer>> servers_;
    int64_t seq_ = 0;
};

} // namespace review
