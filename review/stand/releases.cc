// Case 1: releases of a service, one server after the other, under a wave of traffic that stays the same.
//
// Usage: releases PORT PID RECORD TROUBLE: the daemon listens from PORT on; the store is at PORT + 10,
// servers from PORT + 100 on.

#include "world.hh"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace review;

namespace {

constexpr int Servers = 8;
constexpr int Slots = 64;
constexpr int WaveRequests = Servers * Slots; ///< At once, each second: what the servers' slots take.
constexpr int64_t WaveMs = 1000;
constexpr int Newcomers = 120; ///< Callers who come after the releases, each with a connection of its own.
constexpr int64_t NewcomerGapMs = 20;
constexpr int64_t ReleaseGapMs = 1000;
constexpr int Releases = 17; ///< Each replaces half of the servers, one at a time.
constexpr int64_t DrainMs = 2000;
constexpr int64_t TimeoutMs = 4000;
constexpr int64_t DeadlineMs = 6000;
constexpr int64_t GraceMs = 500; ///< The rule's half a second.
constexpr int64_t FirstWaveMs = 3000;
constexpr int64_t FirstReleaseMs = 5600; ///< Between two waves.
constexpr int64_t NewcomersFromMs = FirstReleaseMs + Releases * (Servers / 2) * ReleaseGapMs;

uint16_t base = 0;
std::unique_ptr<Platform> platform;
int runs = 0;
int rejected = 0;

struct Server {
    std::string id;
    uint16_t port = 0;
    std::unique_ptr<cranberry::HttpServer> http;
    std::map<void *, std::weak_ptr<cranberry::HttpExchange>> connections;
    int running = 0;
    int64_t seq = 0;
    bool leaving = false;
    bool gone = false;

    void publish()
    {
        if (!gone)
            platform->put("servers/" + id,
                          {{"Service", "svc-model"},
                           {"Address", fmt::format("127.0.0.1:{}", port)},
                           {"Zone", "zone-a"},
                           {"Version", "v1"},
                           {"ColdRemainingMs", 0},
                           {"Slots", Slots},
                           {"State", leaving ? "draining" : "ready"},
                           {"Seq", ++seq}});
    }

    // Its process ends: the port and all connections are closed.
    void end()
    {
        gone = true;
        platform->remove("servers/" + id);
        http.reset();
        for (const auto &each : connections) {
            if (const HttpExchangePtr connection = each.second.lock())
                connection->abort();
        }
        connections.clear();
        record("server {} ends", id);
    }
};

std::vector<std::shared_ptr<Server>> servers;

void streamPiece(const std::shared_ptr<Server> &server, const HttpExchangePtr &exchange,
                 const std::shared_ptr<bool> &closed, int number)
{
    if (*closed)
        return;
    exchange->write(fmt::format("id: {}\ndata: piece {}\n\n", number, number));
    if (number < 5)
        return after(50, [=] { streamPiece(server, exchange, closed, number + 1); });
    *closed = true;
    --server->running;
    exchange->finish();
}

void onServerRequest(const std::shared_ptr<Server> &server, const HttpExchangePtr &exchange)
{
    const cranberry::HttpRequest &request = exchange->request();
    const std::string id = cranberry::headerOf(request.headers, "X-Request-Id");
    HttpHeaders headers{{"X-Request-Id", id}, {"Keep-Alive", "timeout=5"}};
    server->connections[exchange.get()] = exchange;
    if (cranberry::headerOf(request.headers, "X-Expect-Instance") != server->id)
        return exchange->respond(421, headers, "");
    if (server->running >= Slots) {
        ++rejected;
        headers.push_back({"X-Not-Executed", "1"});
        return exchange->respond(503, headers, "");
    }
    ++runs;
    ++server->running;
    headers.push_back({"X-Server-Stamp", "stamp-" + server->id});
    headers.push_back({"Content-Type", "text/event-stream"});
    if (server->leaving)
        headers.push_back({"Connection", "close"});
    const std::shared_ptr<bool> closed = std::make_shared<bool>(false);
    exchange->onClosed([server, closed] {
        if (!std::exchange(*closed, true))
            --server->running;
    });
    exchange->beginStream(200, headers);
    after(50, [=] { streamPiece(server, exchange, closed, 1); });
}

void startServer()
{
    const std::shared_ptr<Server> server = std::make_shared<Server>();
    server->id = fmt::format("i-{}", servers.size());
    server->port = static_cast<uint16_t>(base + 100 + servers.size());
    cranberry::HttpServerLimits limits;
    limits.idleTimeout = {5000}; // As its Keep-Alive header says.
    std::weak_ptr<Server> weak = server;
    server->http = std::make_unique<cranberry::HttpServer>(
        io, Address{"127.0.0.1", server->port}, limits, [weak](const HttpExchangePtr &exchange) {
            if (const std::shared_ptr<Server> found = weak.lock())
                onServerRequest(found, exchange);
        });
    servers.push_back(server);
    server->publish();
    record("server {} starts at port {}", server->id, server->port);
}

// The new server starts first, the old one drains.
void replaceServer(size_t number)
{
    startServer();
    const std::shared_ptr<Server> old = servers[number];
    after(200, [old] {
        old->leaving = true;
        old->publish();
        record("server {} drains", old->id);
    });
    after(200 + DrainMs + 500, [old] { old->end(); });
}

struct Sent {
    int64_t at = 0;
    int64_t answeredAfter = -1;
    bool isNewcomer = false;
};

std::map<int, Sent> sent;
std::map<std::string, int> outcomes;

// Callers of the wave use the connections that they keep; a newcomer opens one.
void sendRequest(cranberry::HttpClient &client, bool isNewcomer)
{
    const int number = static_cast<int>(sent.size()) + 1;
    sent[number] = {nowMs(), -1, isNewcomer};
    cranberry::HttpCall call;
    call.address = {"127.0.0.1", base};
    call.request = {"POST",
                    "/draft/1",
                    {{"Host", "desk.example"},
                     {"X-Request-Id", fmt::format("r{}", number)},
                     {"Authorization", "Bearer key-a"},
                     {"X-Deadline-Ms", fmt::format("{}", DeadlineMs)},
                     {"X-Token-Count", "100,15"}},
                    "x"};
    call.freshConnection = isNewcomer;
    call.totalTimeout = {DeadlineMs + 1000};
    call.progressTimeout = {DeadlineMs + 1000};
    client.fetch(std::move(call), [number, isNewcomer](const cranberry::HttpResponse &response) {
        const int64_t took = nowMs() - sent[number].at;
        const bool isAnswer = response.failure == cranberry::HttpFailure::None;
        if (isAnswer)
            sent[number].answeredAfter = took;
        ++outcomes[(isNewcomer ? "newcomer " : "kept ")
                   + (isAnswer ? fmt::format("{}", response.status) : "no answer")];
        record("request r{} sent {} {} after {} ms", number, sent[number].at,
               isAnswer ? fmt::format("answered {}", response.status) : "unanswered", took);
    });
}

void every(int64_t ms, const std::function<void()> &action)
{
    action();
    after(ms, [ms, action] { every(ms, action); });
}

json::object configuration()
{
    return parsed(R"({"Version": 1,
      "Routes": [{"Name": "draft", "Host": "desk.example", "Prefix": "/draft/", "Kind": "streaming",
        "TimeoutMs": 4000, "TargetLatencyMs": 1200, "Priority": 1, "Service": "svc-model", "Attempts": 1,
        "CanResume": false, "GapTargetMs": 500}],
      "Services": [{"Name": "svc-model", "MaxConnections": 360,
        "Engine": {"Slots": 64, "KvCapacityTokens": 543422, "Stride": 3}}],
      "Limits": {"MaxHeaderBytes": 8192, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 1000, "IdleTimeoutMs": 15000},
      "Tenants": [{"Name": "org-a", "ApiKeys": ["key-a"], "Unit": "token_stream", "PlainTokens": 200,
        "RatePerS": 100000000, "Burst": 100000000}]})")
        .as_object();
}

int judge()
{
    int judged = 0;
    int unanswered = 0;
    int late = 0;
    for (const std::pair<const int, Sent> &each : sent) {
        const Sent &request = each.second;
        if (!request.isNewcomer)
            continue;
        ++judged;
        const bool inTime = request.answeredAfter >= 0 && request.answeredAfter <= TimeoutMs;
        const bool inGrace = request.answeredAfter >= 0 && request.answeredAfter <= TimeoutMs + GraceMs;
        unanswered += inTime ? 0 : 1;
        late += inGrace ? 0 : 1;
    }
    const bool isBroken = unanswered > 0 && late * 2 > unanswered;
    const std::string verdict
        = fmt::format("newcomers {}, unanswered at TimeoutMs {}, still unanswered {} ms later {}: rule {}",
                      judged, unanswered, GraceMs, late, isBroken ? "BROKEN" : "held");
    record("{}", verdict);
    fmt::print("{}\n", verdict);
    return judged < Newcomers ? 2 : isBroken ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5)
        return 2;
    base = static_cast<uint16_t>(std::atoi(argv[1]));
    const int pid = std::atoi(argv[2]);
    recordFile = std::fopen(argv[3], "w");
    const bool trouble = std::string(argv[4]) != "0";
    platform = std::make_unique<Platform>(static_cast<uint16_t>(base + 10), configuration());
    for (int i = 0; i < Servers; ++i)
        startServer();
    every(1000, [] {
        for (const std::shared_ptr<Server> &server : servers)
            server->publish();
    });
    std::vector<std::unique_ptr<cranberry::HttpClient>> pools; // Each keeps 64 connections.
    for (int i = 0; i < WaveRequests / 64; ++i)
        pools.push_back(std::make_unique<cranberry::HttpClient>(io));
    cranberry::HttpClient newcomers(io);
    const int64_t lastWave = NewcomersFromMs + Newcomers * NewcomerGapMs;
    std::function<void()> wave = [&] {
        if (nowMs() >= lastWave)
            return;
        for (int i = 0; i < WaveRequests; ++i)
            sendRequest(*pools[static_cast<size_t>(i / 64)], false);
        after(WaveMs, wave);
    };
    after(FirstWaveMs, wave);
    for (int i = 0; i < Newcomers; ++i)
        after(NewcomersFromMs + i * NewcomerGapMs, [&newcomers] { sendRequest(newcomers, true); });
    if (trouble) {
        for (int i = 0; i < Releases * Servers / 2; ++i)
            after(FirstReleaseMs + i * ReleaseGapMs, [i] { replaceServer(static_cast<size_t>(i)); });
    }
    cranberry::HttpClient prober(io);
    every(1000, [&] {
        cranberry::HttpCall call;
        call.address = {"127.0.0.1", static_cast<uint16_t>(base + 1)};
        call.request = {"GET", "/ready", {}, ""};
        call.totalTimeout = {1000};
        prober.fetch(std::move(call), [](const cranberry::HttpResponse &response) {
            record("ready: {}",
                   response.failure == cranberry::HttpFailure::None ? fmt::format("{}", response.status)
                                                                    : "no answer");
        });
    });
    every(2000, [pid] {
        std::string text;
        for (const std::pair<const std::string, int> &each : std::exchange(outcomes, {}))
            text += fmt::format(" {}: {}", each.first, each.second);
        record("descriptors of the daemon {}, runs {}, rejected {}, sent {}, outcomes{}",
               openDescriptors(pid), runs, rejected, sent.size(), text);
    });
    int code = 2;
    after(lastWave + DeadlineMs + 2000, [&code] {
        code = judge();
        io.stop();
    });
    io.run();
    std::fclose(recordFile);
    std::fflush(stdout);
    std::_Exit(code);
}
