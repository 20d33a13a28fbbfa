// Case 3: the time from SIGTERM to SIGKILL changes in the settings, and a daemon is stopped later on.
//
// Usage: grace PORT RECORD TROUBLE SETTINGS PID [SETTINGS PID]...: daemon N, from 0, listens from PORT + 20 N on
// (callers, readiness, directory); the store is at PORT + 200, servers from PORT + 210 on.

#include "plainservers.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <random>

using namespace review;

namespace {

constexpr int64_t OldGraceS = 8;
constexpr int64_t NewGraceS = 6;
constexpr int64_t ChangeMs = 5000;
constexpr int64_t StopMs = 10000;
constexpr int64_t EndMs = StopMs + NewGraceS * 1000 + 4000;
constexpr int64_t DeadlineMs = 1000;
constexpr int64_t RequestGapMs = 15;

struct Daemon {
    std::string settings;
    pid_t pid = 0;
    uint16_t port = 0;
};

std::vector<Daemon> daemons;
std::vector<uint16_t> addresses; ///< Of the last response of the directory.
std::vector<std::unique_ptr<cranberry::HttpClient>> clients;

std::string readText(const std::string &file)
{
    std::ifstream in(file);
    return {std::istreambuf_iterator<char>(in), {}};
}

// As the platform does when a bound changes: the settings file anew, and SIGHUP.
void changeSettings()
{
    for (const Daemon &daemon : daemons) {
        std::string text = readText(daemon.settings);
        const std::string before = fmt::format("\"stopGraceSeconds\": {}", OldGraceS);
        const size_t at = text.find(before);
        if (at == std::string::npos)
            continue;
        text.replace(at, before.size(), fmt::format("\"stopGraceSeconds\": {}", NewGraceS));
        std::ofstream(daemon.settings) << text;
    }
    record("settings: GraceS {} becomes {}; SIGHUP", OldGraceS, NewGraceS);
    kill(daemons[0].pid, SIGHUP);
}

// Callers ask again when TtlS is over, and keep the last response if they get none with addresses.
void resolve()
{
    cranberry::HttpCall call;
    call.address = {"127.0.0.1", static_cast<uint16_t>(daemons[0].port + 2)};
    call.request = {"GET", "/resolve?Name=desk.example&Region=r&Zone=zone-a", {}, ""};
    call.totalTimeout = {1000};
    clients[0]->fetch(std::move(call), [](const cranberry::HttpResponse &response) {
        const bool isAnswer = response.failure == cranberry::HttpFailure::None;
        const json::value body = parsed(response.body);
        const json::value *list = body.is_object() ? body.as_object().if_contains("Addresses") : nullptr;
        int64_t ttlMs = 1000;
        if (isAnswer && list && !list->as_array().empty()) {
            addresses.clear();
            for (const json::value &each : list->as_array()) {
                const std::string text(each.as_string());
                addresses.push_back(static_cast<uint16_t>(std::atoi(text.substr(text.find(':') + 1).c_str())));
            }
            ttlMs = body.at("TtlS").to_number<int64_t>() * 1000;
        }
        record("directory: {} {}", isAnswer ? response.status : 0, response.body);
        after(ttlMs, resolve);
    });
}

struct Sent {
    uint16_t to = 0;
    int64_t at = 0;
    int64_t endedAt = -1;
    int status = 0; ///< 0: the connection ended without a complete answer.
};

std::map<std::string, Sent> sent;

void sendRequest(std::mt19937 &random)
{
    const std::string id = fmt::format("order-{}", sent.size() + 1);
    const uint16_t to = addresses[random() % addresses.size()];
    sent[id] = {to, nowMs()};
    cranberry::HttpCall call;
    call.address = {"127.0.0.1", to};
    call.request = {"POST",
                    "/order/1",
                    {{"Host", "desk.example"},
                     {"X-Request-Id", id},
                     {"Authorization", "Bearer key-a"},
                     {"X-Deadline-Ms", fmt::format("{}", DeadlineMs)}},
                    "x"};
    call.totalTimeout = {DeadlineMs + 500};
    call.freshConnection = true;
    clients[1]->fetch(std::move(call), [id](const cranberry::HttpResponse &response) {
        Sent &request = sent[id];
        request.endedAt = nowMs();
        request.status = response.failure == cranberry::HttpFailure::None ? response.status : 0;
        record("request {} sent {} to port {}: {}", id, request.at, request.to,
               request.status ? fmt::format("answered {}", request.status) : "connection ended without an answer");
    });
}

// LOST: passed on to a server, and the connection ends without a complete answer; not counted are requests sent within
// 3 s of SIGTERM at which the server was still at work in the last sixth of GraceS, and those past their deadline.
int judge(const PlainServers &servers)
{
    int lost = 0;
    int judged = 0;
    for (const std::pair<const std::string, Sent> &each : sent) {
        const Sent &request = each.second;
        if (request.to != daemons[0].port || request.at < StopMs)
            continue;
        ++judged;
        const bool isPastDeadline = request.endedAt < 0 || request.endedAt >= request.at + DeadlineMs;
        const bool isExcused = request.at <= StopMs + 3000 || isPastDeadline;
        if (request.status == 0 && !isExcused && servers.runs.contains(each.first)) {
            ++lost;
            record("LOST: {} sent {} ms after SIGTERM ran at a server, its connection ended at {} ms without an answer",
                   each.first, request.at - StopMs, request.endedAt - StopMs);
        }
    }
    const std::string verdict = fmt::format("requests to the stopped daemon after SIGTERM {}, lost {}: rule {}",
                                            judged, lost, lost > 0 ? "BROKEN" : "held");
    record("{}", verdict);
    fmt::print("{}\n", verdict);
    return judged == 0 ? 2 : lost > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 6)
        return 2;
    const uint16_t base = static_cast<uint16_t>(std::atoi(argv[1]));
    recordFile = std::fopen(argv[2], "w");
    const bool trouble = std::string(argv[3]) != "0";
    for (int i = 4; i + 1 < argc; i += 2)
        daemons.push_back(
            {argv[i], std::atoi(argv[i + 1]), static_cast<uint16_t>(base + 20 * (static_cast<int>(i) - 4) / 2)});
    const json::object configuration = parsed(R"({"Version": 1,
      "Routes": [{"Name": "order", "Host": "desk.example", "Prefix": "/order/", "Kind": "non_idempotent",
        "TimeoutMs": 1000, "TargetLatencyMs": 150, "Priority": 2, "Service": "svc-plain", "Attempts": 1}],
      "Services": [{"Name": "svc-plain", "MaxConnections": 96}],
      "Limits": {"MaxHeaderBytes": 8192, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 1000, "IdleTimeoutMs": 15000},
      "Tenants": [{"Name": "org-a", "ApiKeys": ["key-a"], "RatePerS": 0, "Burst": 0}]})")
                                           .as_object();
    Platform platform(static_cast<uint16_t>(base + 200), configuration);
    PlainServers servers(platform, static_cast<uint16_t>(base + 210), 4, 200);
    clients.push_back(std::make_unique<cranberry::HttpClient>(io));
    clients.push_back(std::make_unique<cranberry::HttpClient>(io));
    if (trouble)
        after(ChangeMs, changeSettings);
    after(ChangeMs - 1000, resolve);
    std::mt19937 random(1);
    std::function<void()> request = [&] {
        if (nowMs() > StopMs + NewGraceS * 1000 + 300)
            return;
        if (!addresses.empty())
            sendRequest(random);
        after(RequestGapMs, request);
    };
    after(ChangeMs + 1000, request);
    // Without the change GraceS stays as it was.
    const int64_t grace = trouble ? NewGraceS : OldGraceS;
    after(StopMs, [] {
        record("SIGTERM to daemon 0");
        kill(daemons[0].pid, SIGTERM);
    });
    after(StopMs + grace * 1000, [] {
        record("GraceS is over: SIGKILL to daemon 0");
        kill(daemons[0].pid, SIGKILL);
    });
    int code = 2;
    after(EndMs, [&] {
        code = judge(servers);
        io.stop();
    });
    io.run();
    std::fclose(recordFile);
    std::fflush(stdout);
    std::_Exit(code);
}
