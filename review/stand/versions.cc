// Case 2: a model server that is idle crashes and starts again under its id with another software version
// while the store is down; then callers come whose prompts that server has at hand.
//
// Usage: versions PORT RECORD TROUBLE: daemon N, from 0 to 2, listens from PORT + 20 N on; the store is at
// PORT + 200, servers from PORT + 210 on.

#include "world.hh"

#include <map>
#include <set>
#include <vector>

using namespace review;

namespace {

constexpr int Daemons = 3;
constexpr int Servers = 6;
constexpr int Slots = 48;
constexpr int Pieces = 40; ///< Of a stream, one in 60 ms.
constexpr int64_t PieceMs = 60;
constexpr int64_t DeadlineMs = 12000;
constexpr int64_t RequestGapMs = 60;
constexpr int64_t StoreDownMs = 8000;
constexpr int64_t StoreDownForMs = 4500;
constexpr int64_t CrashMs = StoreDownMs + 150;
constexpr int64_t DowntimeMs = 500;
constexpr int64_t SecondCrashMs = StoreDownMs + 5000;
constexpr int64_t ReturnOfCallersMs = StoreDownMs + 1000;
constexpr int64_t LearnUntilMs
    = 5000; ///< Until then each shared part of a prompt is sent, and its server seen.
constexpr int64_t LastRequestMs = StoreDownMs + 6000;
constexpr int Parts = 12;
constexpr int64_t EndMs = LastRequestMs + DeadlineMs;
constexpr int MixedAllowed = 2; ///< "More than two streams".

uint16_t base = 0;
std::unique_ptr<Platform> platform;

int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct Server {
    std::string id;
    uint16_t port = 0;
    std::string version = "v1";
    int64_t born = unixMs();
    std::unique_ptr<cranberry::HttpServer> http;
    std::map<void *, std::weak_ptr<cranberry::HttpExchange>> connections;
    int running = 0;
    int64_t seq = 0;

    bool isUp() const { return http != nullptr; }

    void publish()
    {
        if (!isUp() || platform->isSilent())
            return;
        platform->put("servers/" + id,
                      {{"Service", "svc-model"},
                       {"Address", fmt::format("127.0.0.1:{}", port)},
                       {"Zone", "zone-0"},
                       {"Version", version},
                       {"ColdRemainingMs", 0},
                       {"Slots", Slots},
                       {"State", "ready"},
                       {"born", born},
                       {"Seq", ++seq}});
    }
};

std::vector<std::shared_ptr<Server>> servers;
std::map<std::string, std::map<std::string, int>> runsOfPart; ///< By server, until LearnUntilMs.
std::string crashed; ///< Server that crashes.

void streamPiece(const std::shared_ptr<Server> &server, int64_t life, const HttpExchangePtr &exchange,
                 const std::shared_ptr<bool> &closed, int number)
{
    if (*closed || server->born != life)
        return;
    exchange->write(
        fmt::format("id: {}\ndata: piece {} made by {} {}\n\n", number, number, server->id, server->version));
    if (number < Pieces)
        return after(PieceMs, [=] { streamPiece(server, life, exchange, closed, number + 1); });
    *closed = true;
    --server->running;
    exchange->finish();
}

void onServerRequest(const std::shared_ptr<Server> &server, const HttpExchangePtr &exchange)
{
    const cranberry::HttpRequest &request = exchange->request();
    server->connections[exchange.get()] = exchange;
    if (request.target == "/report") {
        const json::object report{{"Stage", "prefill_decode"},
                                  {"Busy", false},
                                  {"Seq", 0},
                                  {"Queued", 0},
                                  {"Active", server->running},
                                  {"KvUsed", 0},
                                  {"KvTotal", 444000},
                                  {"Handles", 0},
                                  {"State", "ready"},
                                  {"born", server->born},
                                  {"Models", json::array{}}};
        record("server {} {} reports", server->id, server->version);
        return exchange->respond(200, {{"Content-Type", "application/json"}}, json::serialize(report));
    }
    const std::string id = cranberry::headerOf(request.headers, "X-Request-Id");
    HttpHeaders headers{{"X-Request-Id", id}, {"Keep-Alive", "timeout=5"}};
    if (cranberry::headerOf(request.headers, "X-Expect-Instance") != server->id)
        return exchange->respond(421, headers, "");
    if (server->running >= Slots) {
        headers.push_back({"X-Not-Executed", "1"});
        return exchange->respond(503, headers, "");
    }
    ++server->running;
    const std::string from = cranberry::headerOf(request.headers, "Last-Event-Id");
    const std::string prompt = cranberry::headerOf(request.headers, "X-Prompt-Prefix");
    if (nowMs() < LearnUntilMs)
        ++runsOfPart[prompt.substr(0, prompt.find(':'))][server->id];
    record("server {} {} runs {} after event {}", server->id, server->version, id, from.empty() ? "0" : from);
    headers.push_back({"X-Server-Stamp", "stamp-" + server->id});
    headers.push_back({"Content-Type", "text/event-stream"});
    const std::shared_ptr<bool> closed = std::make_shared<bool>(false);
    const int64_t life = server->born;
    exchange->onClosed([server, closed, life] {
        if (!std::exchange(*closed, true) && server->born == life)
            --server->running;
    });
    exchange->beginStream(200, headers);
    const int next = std::atoi(from.c_str()) + 1;
    after(PieceMs, [=] { streamPiece(server, life, exchange, closed, next); });
}

void listen(const std::shared_ptr<Server> &server)
{
    std::weak_ptr<Server> weak = server;
    server->http = std::make_unique<cranberry::HttpServer>(
        io, Address{"127.0.0.1", server->port}, cranberry::HttpServerLimits{},
        [weak](const HttpExchangePtr &exchange) {
            if (const std::shared_ptr<Server> found = weak.lock())
                onServerRequest(found, exchange);
        });
    server->publish();
}

std::shared_ptr<Server> serverOf(const std::string &id)
{
    for (const std::shared_ptr<Server> &server : servers) {
        if (server->id == id)
            return server;
    }
    return servers.front();
}

// The process ends: its port and its connections are closed, its entry stays.
void crash(const std::shared_ptr<Server> &server)
{
    record("server {} {} crashes with {} streams", server->id, server->version, server->running);
    server->http.reset();
    for (const auto &each : std::exchange(server->connections, {})) {
        if (const HttpExchangePtr connection = each.second.lock())
            connection->abort();
    }
    server->running = 0;
}

void restart(const std::shared_ptr<Server> &server, const std::string &version)
{
    server->version = version;
    server->born = unixMs();
    listen(server);
    record("server {} starts again under its id, version {}", server->id, server->version);
}

struct Sent {
    int64_t at = 0;
    bool isComplete = false;
    std::set<std::string> versions;
    std::set<std::string> makers;
};

std::map<std::string, Sent> sent;

std::string homeOf(const std::string &part)
{
    std::string home;
    int most = 0;
    for (const std::pair<const std::string, int> &each : runsOfPart[part]) {
        if (each.second > most) {
            most = each.second;
            home = each.first;
        }
    }
    return home;
}

std::string partOf(int number)
{
    return fmt::format("{:x}", 0xa0 + number % Parts);
}

// At first callers ask about all parts. Then nobody asks about those of one server, until it has crashed and
// is back.
std::string nextPart(int number)
{
    if (nowMs() >= ReturnOfCallersMs && number % 4 == 0)
        return partOf(0); // One in four is about one thing then.
    const bool avoids = nowMs() >= LearnUntilMs && nowMs() < ReturnOfCallersMs;
    for (int i = 0; i < Parts; ++i) {
        const std::string part = partOf(number + i);
        if (!avoids || homeOf(part) != crashed)
            return part;
    }
    return partOf(number);
}

void sendRequest(cranberry::HttpClient &client)
{
    const int number = static_cast<int>(sent.size()) + 1;
    const std::string id = fmt::format("s{}", number);
    sent[id].at = nowMs();
    cranberry::HttpCall call;
    call.address = {"127.0.0.1", static_cast<uint16_t>(base + 20 * (number % Daemons))};
    call.request
        = {"POST",
           "/review/1",
           {{"Host", "desk.example"},
            {"X-Request-Id", id},
            {"Authorization", "Bearer key-a"},
            {"X-Deadline-Ms", fmt::format("{}", DeadlineMs)},
            {"X-Token-Count", "14500,120"},
            {"X-Prompt-Prefix", fmt::format("{}:13300,{:x}:1200", nextPart(number), 0x1000 + number)}},
           "x"};
    call.totalTimeout = {DeadlineMs};
    call.progressTimeout = {DeadlineMs};
    client.fetch(std::move(call), [id](const cranberry::HttpResponse &response) {
        Sent &request = sent[id];
        request.isComplete = response.failure == cranberry::HttpFailure::None && response.status == 200;
        for (size_t at = response.body.find("made by "); at != std::string::npos;
             at = response.body.find("made by ", at + 1)) {
            const size_t space = response.body.find(' ', at + 8);
            const size_t end = response.body.find('\n', at);
            if (end == std::string::npos)
                break;
            request.makers.insert(response.body.substr(at + 8, end - at - 8));
            request.versions.insert(response.body.substr(space + 1, end - space - 1));
        }
        std::string makers;
        for (const std::string &each : request.makers)
            makers += " " + each;
        record("stream {} sent {}: {} {}, made by{}", id, request.at, response.status,
               request.isComplete ? "complete" : "incomplete", makers);
    });
}

json::object configuration()
{
    return parsed(R"({"Version": 1,
      "Routes": [{"Name": "review", "Host": "desk.example", "Prefix": "/review/", "Kind": "streaming",
        "TimeoutMs": 12000, "TargetLatencyMs": 2500, "Priority": 2, "Service": "svc-model", "Attempts": 2,
        "CanResume": true, "GapTargetMs": 500}],
      "Services": [{"Name": "svc-model", "MaxConnections": 700,
        "Engine": {"Slots": 48, "KvCapacityTokens": 444000, "Stride": 6}}],
      "Limits": {"MaxHeaderBytes": 8192, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 1000, "IdleTimeoutMs": 15000},
      "Tenants": [{"Name": "org-a", "ApiKeys": ["key-a"], "Unit": "token_stream", "PlainTokens": 200,
        "RatePerS": 10000000, "Burst": 10000000}]})")
        .as_object();
}

int judge()
{
    int complete = 0;
    int mixed = 0;
    for (const std::pair<const std::string, Sent> &each : sent) {
        complete += each.second.isComplete ? 1 : 0;
        if (each.second.versions.size() > 1) {
            ++mixed;
            record("ORDER: stream {} holds events of two versions", each.first);
        }
    }
    const std::string verdict
        = fmt::format("streams {}, complete {}, with events of two versions {}: rule {}", sent.size(),
                      complete, mixed, mixed > MixedAllowed ? "BROKEN" : "held");
    record("{}", verdict);
    fmt::print("{}\n", verdict);
    return complete * 2 < static_cast<int>(sent.size()) ? 2 : mixed > MixedAllowed ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return 2;
    base = static_cast<uint16_t>(std::atoi(argv[1]));
    recordFile = std::fopen(argv[2], "w");
    const bool trouble = std::string(argv[3]) != "0";
    platform = std::make_unique<Platform>(static_cast<uint16_t>(base + 200), configuration());
    for (int i = 0; i < Servers; ++i) {
        servers.push_back(std::make_shared<Server>());
        servers.back()->id = fmt::format("m-{}", i);
        servers.back()->port = static_cast<uint16_t>(base + 210 + i);
        listen(servers.back());
    }
    std::function<void()> beat = [&] {
        for (const std::shared_ptr<Server> &server : servers)
            server->publish();
        after(1200, beat);
    };
    beat();
    cranberry::HttpClient client(io);
    std::function<void()> request = [&] {
        sendRequest(client);
        if (nowMs() < LastRequestMs)
            after(RequestGapMs, request);
    };
    after(2500, request);
    after(LearnUntilMs, [] {
        crashed = homeOf(partOf(0));
        record("the server with part {} is {}", partOf(0), crashed);
    });
    if (trouble) {
        after(StoreDownMs, [] {
            record("the store is down: silent");
            platform->setSilent(true);
        });
        after(StoreDownMs + StoreDownForMs, [] {
            record("the store is back");
            platform->setSilent(false);
        });
        after(CrashMs, [] { crash(serverOf(crashed)); });
        after(SecondCrashMs, [] { crash(serverOf(crashed)); });
        after(CrashMs + DowntimeMs, [] { restart(serverOf(crashed), "v2"); });
    }
    int code = 2;
    after(EndMs, [&code] {
        code = judge();
        io.stop();
    });
    io.run();
    std::fclose(recordFile);
    std::fflush(stdout);
    std::_Exit(code);
}
