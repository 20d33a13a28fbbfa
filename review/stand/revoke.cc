// Case 3: the only tenant's key is taken away, with its tenant.
//
// Usage: revoke PORT RECORD TROUBLE: the daemon listens from PORT on; the store is at PORT + 200, servers
// from PORT + 210 on.

#include "plainservers.hh"

using namespace review;

namespace {

constexpr int64_t ChangeMs = 5000;
constexpr int64_t RevokeMs = 5000;
constexpr int64_t EndMs = 16000;
constexpr int64_t RequestGapMs = 50;

struct Sent {
    std::string key;
    int64_t at = 0;
    int status = 0;
};

std::map<std::string, Sent> sent;

json::object configuration(int version, const json::array &tenants)
{
    json::object out = parsed(R"({
      "Routes": [{"Name": "order", "Host": "desk.example", "Prefix": "/order/", "Kind": "non_idempotent",
        "TimeoutMs": 1000, "TargetLatencyMs": 150, "Priority": 2, "Service": "svc-plain", "Attempts": 1}],
      "Services": [{"Name": "svc-plain", "MaxConnections": 96}],
      "Limits": {"MaxHeaderBytes": 8192, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 1000, "IdleTimeoutMs": 15000}})")
                           .as_object();
    out["Version"] = version;
    out["Tenants"] = tenants;
    return out;
}

void sendRequest(cranberry::HttpClient &client, uint16_t port, const std::string &key)
{
    const std::string id = fmt::format("{}-{}", key, sent.size() + 1);
    sent[id] = {key, nowMs()};
    cranberry::HttpCall call;
    call.address = {"127.0.0.1", port};
    call.request = {"POST",
                    "/order/1",
                    {{"Host", "desk.example"},
                     {"X-Request-Id", id},
                     {"Authorization", "Bearer " + key},
                     {"X-Deadline-Ms", "1000"}},
                    "x"};
    call.totalTimeout = {1500};
    client.fetch(std::move(call), [id](const cranberry::HttpResponse &response) {
        sent[id].status = response.failure == cranberry::HttpFailure::None ? response.status : 0;
        record("request {} sent {}: answered {}", id, sent[id].at, sent[id].status);
    });
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return 2;
    const uint16_t base = static_cast<uint16_t>(std::atoi(argv[1]));
    recordFile = std::fopen(argv[2], "w");
    const bool trouble = std::string(argv[3]) != "0";
    const json::array tenants{json::object{{"Name", "org-a"}, {"ApiKeys", json::array{"key-a"}}}};
    Platform platform(static_cast<uint16_t>(base + 200), configuration(1, tenants));
    PlainServers servers(platform, static_cast<uint16_t>(base + 210), 4, 30);
    cranberry::HttpClient client(io);
    if (trouble)
        after(ChangeMs, [&] {
            platform.put("op/config", configuration(2, {}));
            record("the store acknowledges version 2: key-a is taken away with org-a, no tenant is left");
        });
    std::function<void()> request = [&] {
        sendRequest(client, base, "key-a");
        sendRequest(client, base, "key-never");
        if (nowMs() < EndMs - 2000)
            after(RequestGapMs, request);
    };
    after(3000, request);
    int code = 2;
    after(EndMs, [&] {
        int revoked = 0;
        int unknown = 0;
        int served = 0;
        for (const std::pair<const std::string, Sent> &each : sent) {
            const bool ran = servers.runs.contains(each.first);
            const bool isLate = trouble && each.second.at > ChangeMs + RevokeMs + 10;
            revoked += ran && isLate && each.second.key == "key-a" ? 1 : 0;
            unknown += ran && each.second.key == "key-never" ? 1 : 0;
            served += ran && each.second.at < ChangeMs ? 1 : 0;
        }
        const std::string verdict = fmt::format(
            "ran before the change {}; ran with a key taken away over RevokeMs before {}; ran with a key "
            "that no configuration held {}: rule {}",
            served, revoked, unknown, revoked + unknown > 0 ? "BROKEN" : "held");
        record("{}", verdict);
        fmt::print("{}\n", verdict);
        code = served == 0 ? 2 : revoked + unknown > 0 ? 1 : 0;
        io.stop();
    });
    io.run();
    std::fclose(recordFile);
    std::fflush(stdout);
    std::_Exit(code);
}
