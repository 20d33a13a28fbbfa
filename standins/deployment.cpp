// Stand-in for a deployment on the users' platform in one process: its key-value store, three engines, two
// plain services and the receiver of the leader tasks. The store and the receiver listen at --listen;
// endpoint N, counted from 0, listens N + 1 ports above it.
//
// Control requests:
//   POST /configure stores the body as the operator's configuration.
//   POST /rollout?service=S&target=V&seconds=N orders a roll-out.
//   POST /replace?endpoint=N&version=V replaces the Nth endpoint by a new one with another id; without
//   version it keeps the version. POST /restart?endpoint=N restarts it under the same id.
//   POST /leave?endpoint=ID&ms=N announces that an endpoint leaves.
//   POST /spoil?endpoint=ID&entry=TEXT stores TEXT as the endpoint's entry until called without an entry.
//   POST /limit?endpoint=N&perSecond=TEXT makes the Nth endpoint send that rate limit with its responses,
//   until called without perSecond.
//   POST /rest?endpoint=N&seconds=TEXT makes the Nth endpoint turn all requests away and ask for a rest of
//   that time, until called without seconds. POST /sayleaving?endpoint=N makes it say in all responses that
//   it leaves. POST /copy saves a copy of the store, POST /return restores it as the next era.
//
// Faults of the store and the receiver: down, silent, slowMs. Faults of the store: loseReplies (the next N
// writes are executed but not answered).
// Faults of all endpoints: tokens, tokenMs (a stream's length and interval), workMs, full (answers "not
// executed"), dropAnswers (the next N calls run, then their connections are closed), cutAfter (the next
// stream is cut in the middle of an event after N events), newFails (endpoints of another version than the
// first answer 500), advertiseOffset (endpoints are listed at ports this much higher, where a proxy listens),
// answerBytes (plain responses are padded to this size).
// A request whose body is "crash", or whose prompt has a part "bad0", crashes the endpoint that runs it, with
// all its other requests; the endpoint returns under another id after crashMs.

#include "io/base64.h"
#include "standin.h"
#include "storestate.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <fmt/format.h>
#include <set>

namespace json = boost::json;
using cranberry::base64Encoded;
using cranberry::headerOf;

namespace standin {

namespace {

constexpr int EndpointCount = 5;
constexpr int FirstPlainEndpoint = 3; ///< Endpoints before this one are engines.
constexpr int64_t PublishIntervalMs = 500;
constexpr const char *FirstVersion = "v1";
constexpr int64_t OrphanExpiryMs = 1500;
constexpr int64_t CrashDelayMs = 60;
constexpr int64_t DefaultCrashDowntimeMs = 1500;

int64_t positiveOr(int64_t value, int64_t fallback)
{
    return value > 0 ? value : fallback;
}

class Deployment
{
public:
    Deployment(Standin &standin, const cranberry::Address &base) : standin_(standin), base_(base)
    {
        servers_.resize(EndpointCount);
        for (int i = 0; i < EndpointCount; ++i)
            listen(i);
        startedAtMs_.fill(wallMs());
        publishPeriodically();
    }

    void onStoreRequest(const HttpExchangePtr &exchange)
    {
        const cranberry::HttpRequest &request = exchange->request();
        const cranberry::HttpTarget target = cranberry::parseTarget(request.target);
        const json::value body = parsed(request.body);
        const std::string lastSegment = target.path.substr(target.path.rfind('/') + 1);
        const uint64_t leaseId = std::strtoull(lastSegment.c_str(), nullptr, 10);
        if (target.path == "/kv-range")
            return respondFromStore(exchange,
                                    store_.list(headerOf(target.query, "Prefix"),
                                                headerOf(target.query, "After"), standin_.nowMs()));
        if (target.path == "/kv-txn")
            return write(exchange, body.as_object());
        if (target.path == "/kv-lease")
            return respondFromStore(
                exchange, store_.grantLease(body.at("TtlMs").to_number<int64_t>(), standin_.nowMs()));
        if (target.path.starts_with("/kv-keep/"))
            return respondFromStore(exchange, store_.renewLease(leaseId, standin_.nowMs()));
        if (target.path.starts_with("/kv-lease-end/"))
            return respondFromStore(exchange, store_.revokeLease(leaseId));
        if (target.path == "/usage" || target.path == "/scale") {
            standin_.log(fmt::format("duty {} holder={} token={} {}", target.path,
                                     headerOf(request.headers, "X-Duty-Holder"),
                                     headerOf(request.headers, "X-Fence-Token"), request.body.text()));
            return exchange->respond(200, {}, "");
        }
        if (target.path == "/configure") {
            store_.put("op/config", base64Encoded(request.body.text()));
            return exchange->respond(200, {}, "");
        }
        if (target.path == "/leave") {
            leaving_[headerOf(target.query, "endpoint")]
                = standin_.nowMs() + std::strtoll(headerOf(target.query, "ms").c_str(), nullptr, 10);
            publish();
            return exchange->respond(200, {}, "");
        }
        if (target.path == "/restart") {
            restart(std::strtoull(headerOf(target.query, "endpoint").c_str(), nullptr, 10));
            return exchange->respond(200, {}, "");
        }
        if (target.path == "/spoil") {
            entryOverrides_[headerOf(target.query, "endpoint")] = headerOf(target.query, "entry");
            publish();
            return exchange->respond(200, {}, "");
        }
        if (target.path == "/copy") {
            store_.saveCopy();
            return exchange->respond(200, {}, "");
        }
        if (target.path == "/return") {
            store_.restoreCopy();
            standin_.log(fmt::format("returned era={}", store_.era()));
            standin_.after(OrphanExpiryMs, [this] { removeOrphanedEntries(); });
            return exchange->respond(200, {}, "");
        }
        if (target.path == "/replace") {
            const size_t index = std::strtoull(headerOf(target.query, "endpoint").c_str(), nullptr, 10);
            if (index < EndpointCount && !headerOf(target.query, "version").empty())
                versions_[index] = headerOf(target.query, "version");
            replace(index);
            return exchange->respond(200, {}, "");
        }
        if (target.path == "/limit") {
            const size_t index = std::strtoull(headerOf(target.query, "endpoint").c_str(), nullptr, 10);
            if (index < EndpointCount)
                limits_[index] = headerOf(target.query, "perSecond");
            return exchange->respond(200, {}, "");
        }
        if (target.path == "/rest" || target.path == "/sayleaving") {
            const size_t index = std::strtoull(headerOf(target.query, "endpoint").c_str(), nullptr, 10);
            if (index < EndpointCount && target.path == "/rest")
                rests_[index] = headerOf(target.query, "seconds");
            else if (index < EndpointCount)
                saysLeaving_[index] = true;
            return exchange->respond(200, {}, "");
        }
        if (target.path == "/rollout") {
            const std::string service = headerOf(target.query, "service");
            const json::object rolloutOrder{
                {"Service", service},
                {"Target", headerOf(target.query, "target")},
                {"DurationS", std::strtoll(headerOf(target.query, "seconds").c_str(), nullptr, 10)}};
            store_.put("op/rollout/" + service, base64Encoded(json::serialize(rolloutOrder)));
            return exchange->respond(200, {}, "");
        }
        exchange->respond(404, {}, "");
    }

private:
    void listen(int index)
    {
        const cranberry::Address address{base_.host, static_cast<uint16_t>(base_.port + 1 + index)};
        servers_[static_cast<size_t>(index)] = std::make_unique<cranberry::HttpServer>(
            standin_.io(), address, cranberry::HttpServerLimits{},
            [this, index](const HttpExchangePtr &exchange) { onEndpointRequest(index, exchange); });
    }

    // Closes the endpoint's port and connections. Its entry stays in the store, as that of a crashed process.
    void crash(int index)
    {
        standin_.log(fmt::format("crash endpoint={}", idOf(index)));
        servers_[static_cast<size_t>(index)].reset();
        for (const std::weak_ptr<cranberry::HttpExchange> &each : std::exchange(openExchanges_[index], {})) {
            if (const HttpExchangePtr exchange = each.lock())
                exchange->abort();
        }
        standin_.after(positiveOr(standin_.fault("crashMs"), DefaultCrashDowntimeMs), [this, index] {
            listen(index);
            replace(static_cast<size_t>(index));
        });
    }

    void respondFromStore(const HttpExchangePtr &exchange, const KeyValueReply &reply) const
    {
        respondJson(exchange, reply.status, reply.body, {{"Store-Era", std::to_string(store_.era())}});
    }

    // Removes the entries of replaced endpoints that the restored copy contains: no process renews them.
    void removeOrphanedEntries()
    {
        std::set<std::string> present;
        for (int i = 0; i < EndpointCount; ++i)
            present.insert("servers/" + idOf(i));
        for (const std::string &key : store_.keys("servers/")) {
            if (!present.contains(key))
                store_.remove(key);
        }
    }

    void write(const HttpExchangePtr &exchange, const json::object &body)
    {
        const KeyValueReply reply = store_.write(body, standin_.nowMs());
        if (lostReplies_ < standin_.fault("loseReplies")) {
            ++lostReplies_;
            return exchange->abort();
        }
        respondFromStore(exchange, reply);
    }

    std::string idOf(int index) const
    {
        const uint32_t replacements = replacements_[static_cast<size_t>(index)];
        return replacements == 0 ? fmt::format("i-{}", index) : fmt::format("i-{}.{}", index, replacements);
    }
    void replace(size_t index)
    {
        if (index >= replacements_.size())
            return;
        store_.remove("servers/" + idOf(static_cast<int>(index)));
        ++replacements_[index];
        startedAtMs_[index] = wallMs();
        publish();
    }
    // Restarts the process under the same id: running requests are lost and a planned leave is cancelled.
    void restart(size_t index)
    {
        if (index >= replacements_.size())
            return;
        startedAtMs_[index] = std::max(wallMs(), startedAtMs_[index] + 1);
        leaving_.erase(idOf(static_cast<int>(index)));
        publish();
    }
    static int64_t wallMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }
    static bool isEngine(int index) { return index < FirstPlainEndpoint; }

    void publishPeriodically()
    {
        publish();
        standin_.after(PublishIntervalMs, [this] { publishPeriodically(); });
    }

    void publish()
    {
        for (int i = 0; i < EndpointCount; ++i) {
            if (!servers_[static_cast<size_t>(i)])
                continue;
            const auto leaving = leaving_.find(idOf(i));
            json::object entry{
                {"Service", isEngine(i) ? "svc-model" : "svc-plain"},
                {"Address",
                 fmt::format("{}:{}", base_.host, base_.port + 1 + i + standin_.fault("advertiseOffset"))},
                {"Zone", fmt::format("zone-{}", i % 2)},
                {"Version", versions_[static_cast<size_t>(i)]},
                {"ColdRemainingMs", 0},
                {"born", startedAtMs_[static_cast<size_t>(i)]},
                {"Slots", isEngine(i) ? 64 : 6},
                {"State", leaving == leaving_.end() ? "ready" : "draining"},
                {"Seq", ++sequence_}};
            if (leaving != leaving_.end())
                entry["leaves_ms"] = std::max<int64_t>(leaving->second - standin_.nowMs(), 0);
            const auto entryOverride = entryOverrides_.find(idOf(i));
            const bool isRegularEntry
                = entryOverride == entryOverrides_.end() || entryOverride->second.empty();
            store_.put("servers/" + idOf(i),
                       base64Encoded(isRegularEntry ? json::serialize(entry) : entryOverride->second));
        }
    }

    void onEndpointRequest(int index, const HttpExchangePtr &exchange)
    {
        const cranberry::HttpRequest &request = exchange->request();
        const std::string id = headerOf(request.headers, "X-Request-Id");
        const std::string expected = headerOf(request.headers, "X-Expect-Instance");
        if (!servers_[static_cast<size_t>(index)])
            return exchange->abort(); // On a connection kept open from before the crash.
        if (!expected.empty() && expected != idOf(index))
            return exchange->respond(421, {{"X-Instance-Id", idOf(index)}}, "");
        if (id.empty())
            return exchange->respond(400, {{"X-Not-Executed", "1"}}, "");
        if (standin_.fault("full"))
            return exchange->respond(503, {{"X-Not-Executed", "1"}, {"X-Request-Id", id}}, "");
        if (const std::string &rest = rests_[static_cast<size_t>(index)]; !rest.empty()) {
            standin_.log(fmt::format("turned_away id={} endpoint={}", id, idOf(index)));
            return exchange->respond(
                503, {{"X-Not-Executed", "1"}, {"X-Request-Id", id}, {"Retry-After", rest}}, "");
        }
        if (standin_.fault("newFails") && versions_[static_cast<size_t>(index)] != FirstVersion) {
            standin_.log(fmt::format("failed id={} endpoint={}", id, idOf(index)));
            return exchange->respond(500, {{"X-Request-Id", id}, {"X-Server-Stamp", "stamp"}}, "");
        }
        standin_.log(fmt::format("run id={} endpoint={} organisation={} key={} deadline={} after={} body={}",
                                 id, idOf(index), headerOf(request.headers, "X-Tenant"),
                                 headerOf(request.headers, "Authorization"),
                                 headerOf(request.headers, "X-Deadline-Ms"),
                                 headerOf(request.headers, "Last-Event-Id"), request.body.size()));
        cranberry::HttpHeaders headers{{"X-Request-Id", id}, {"X-Server-Stamp", "stamp-" + idOf(index)}};
        const std::string &limit = limits_[static_cast<size_t>(index)];
        if (!limit.empty())
            headers.push_back({"Server-Limit", limit});
        if (saysLeaving_[static_cast<size_t>(index)])
            headers.push_back({"Server-Leaving", "1"});
        openExchanges_[index].push_back(exchange);
        std::erase_if(openExchanges_[index],
                      [](const std::weak_ptr<cranberry::HttpExchange> &each) { return each.expired(); });
        const std::string prompt = headerOf(request.headers, "X-Prompt-Prefix");
        if (request.body == "crash" || prompt.find("bad0:") != std::string::npos)
            return standin_.after(CrashDelayMs, [this, index, id = idOf(index)] {
                if (idOf(index) == id && servers_[static_cast<size_t>(index)])
                    crash(index);
            });
        if (isEngine(index))
            return stream(exchange, headers);
        standin_.after(positiveOr(standin_.fault("workMs"), 5), [this, exchange, headers, id] {
            if (droppedAnswers_ < standin_.fault("dropAnswers")) {
                ++droppedAnswers_;
                return exchange->abort();
            }
            std::string body = "answer to " + id;
            body.resize(std::max(body.size(), static_cast<size_t>(standin_.fault("answerBytes"))), '.');
            exchange->respond(200, headers, body);
        });
    }

    void stream(const HttpExchangePtr &exchange, cranberry::HttpHeaders headers)
    {
        headers.push_back({"Content-Type", "text/event-stream"});
        const std::string after = headerOf(exchange->request().headers, "Last-Event-Id");
        std::shared_ptr<bool> isClosed = std::make_shared<bool>(false);
        exchange->onClosed([isClosed] { *isClosed = true; });
        exchange->beginStream(200, headers);
        streamNextToken(exchange, isClosed, std::strtoll(after.c_str(), nullptr, 10) + 1);
    }

    void streamNextToken(const HttpExchangePtr &exchange, const std::shared_ptr<bool> &isClosed, int64_t id)
    {
        standin_.after(positiveOr(standin_.fault("tokenMs"), 5), [this, exchange, isClosed, id] {
            if (*isClosed)
                return;
            if (standin_.fault("cutAfter") > 0 && id > standin_.fault("cutAfter") && !wasStreamCut_) {
                wasStreamCut_ = true;
                exchange->write(fmt::format("id: {}\nda", id));
                standin_.log(fmt::format("cut id={}", headerOf(exchange->request().headers, "X-Request-Id")));
                return standin_.after(20, [exchange] { exchange->abort(); });
            }
            exchange->write(fmt::format("id: {}\ndata: token {}\n\n", id, id));
            if (id >= positiveOr(standin_.fault("tokens"), 10)) {
                standin_.log(
                    fmt::format("done id={}", headerOf(exchange->request().headers, "X-Request-Id")));
                return exchange->finish();
            }
            streamNextToken(exchange, isClosed, id + 1);
        });
    }

    Standin &standin_;
    cranberry::Address base_;
    StoreState store_;
    std::vector<std::unique_ptr<cranberry::HttpServer>> servers_;
    std::map<int, std::vector<std::weak_ptr<cranberry::HttpExchange>>> openExchanges_; ///< By endpoint index.
    std::map<std::string, int64_t> leaving_;
    std::array<uint32_t, EndpointCount> replacements_ = {}; ///< By endpoint index.
    std::array<int64_t, EndpointCount> startedAtMs_ = {};
    std::array<std::string, EndpointCount> versions_
        = {FirstVersion, FirstVersion, FirstVersion, FirstVersion, FirstVersion};
    std::array<std::string, EndpointCount> limits_; ///< Rate limit per second; empty: none.
    std::array<std::string, EndpointCount> rests_; ///< Rest in seconds; empty: none.
    std::array<bool, EndpointCount> saysLeaving_ = {};
    std::map<std::string, std::string> entryOverrides_; ///< By endpoint id: text that replaces its entry.
    uint64_t sequence_ = 0;
    int64_t lostReplies_ = 0;
    int64_t droppedAnswers_ = 0;
    bool wasStreamCut_ = false;
};

} // namespace

} // namespace standin

int main(int argc, const char **argv)
{
    standin::Standin standin("standin-deployment", argc, argv);
    if (!standin.ok())
        return standin.exitCode();
    standin::Deployment deployment(standin, standin.address());
    standin.serve(
        [&deployment](const standin::HttpExchangePtr &exchange) { deployment.onStoreRequest(exchange); });
    return 0;
}
