// Stand-in for the platform: a key-value service with etcd's published v3 JSON interface (range, txn, watch,
// lease), and a cloud with a lagging instance list and reclaim notices. Faults: down, silent, slowMs,
// loseTxnAnswers (the next N writes are executed but not answered), silentWatch (watches stay open but send
// no events), listLagMs (delay until the instance list shows a state).

#include "standin.h"

#include <fmt/format.h>
#include <list>
#include <map>

namespace json = boost::json;

namespace standin {

namespace {

struct Entry {
    std::string value; ///< Base64 text, stored as received.
    uint64_t modRevision = 0;
};

struct Instance {
    std::string state = "live";
    int64_t noticeMs = 0;
    int64_t stateSinceMs = 0;
};

class PlatformStandin
{
public:
    explicit PlatformStandin(Standin &standin) : standin_(standin) { }

    void onRequest(const HttpExchangePtr &exchange)
    {
        const cranberry::HttpTarget target = cranberry::parseTarget(exchange->request().target);
        const json::value body = parsed(exchange->request().body);
        ++calls_[target.path];
        if (target.path == "/v3/kv/range")
            return range(exchange, body);
        if (target.path == "/v3/kv/txn")
            return txn(exchange, body);
        if (target.path == "/v3/watch")
            return watch(exchange);
        if (target.path == "/v3/lease/grant")
            return leaseGrant(exchange, body);
        if (target.path == "/cloud/instances")
            return instances(exchange);
        if (target.path == "/cloud/reclaim")
            return reclaim(exchange, target);
        if (target.path == "/calls")
            return calls(exchange);
        respondJson(exchange, 404, json::object{{"error", "no such path"}});
    }

private:
    json::object header() const { return {{"revision", std::to_string(revision_)}}; }

    static std::string textField(const json::value &value, const char *name)
    {
        const json::object *object = value.if_object();
        const json::value *field = object ? object->if_contains(name) : nullptr;
        return field && field->is_string() ? std::string(field->as_string()) : std::string();
    }

    void range(const HttpExchangePtr &exchange, const json::value &body)
    {
        json::object answer{{"header", header()}};
        auto found = entries_.find(textField(body, "key"));
        if (found != entries_.end()) {
            answer["kvs"]
                = json::array{json::object{{"key", found->first},
                                           {"value", found->second.value},
                                           {"mod_revision", std::to_string(found->second.modRevision)}}};
            answer["count"] = "1";
        }
        respondJson(exchange, 200, answer);
    }

    bool comparisonHolds(const json::value &compare) const
    {
        auto found = entries_.find(textField(compare, "key"));
        const uint64_t actual = found == entries_.end() ? 0 : found->second.modRevision;
        return std::to_string(actual) == textField(compare, "mod_revision");
    }

    void put(const json::value &request)
    {
        const std::string key = textField(request, "key");
        entries_[key] = {textField(request, "value"), revision_};
        standin_.log(fmt::format("put revision={} bytes={}", revision_, entries_[key].value.size()));
    }

    void txn(const HttpExchangePtr &exchange, const json::value &body)
    {
        const json::object &object = body.as_object();
        bool succeeded = true;
        if (const json::value *compare = object.if_contains("compare")) {
            for (const json::value &one : compare->as_array())
                succeeded = succeeded && comparisonHolds(one);
        }
        const json::value *operations = object.if_contains(succeeded ? "success" : "failure");
        if (operations && !operations->as_array().empty()) {
            ++revision_;
            for (const json::value &one : operations->as_array())
                put(one.at("request_put"));
            notifyWatches();
        }
        if (succeeded && loseAnswer())
            return exchange->abort();
        respondJson(exchange, 200, json::object{{"header", header()}, {"succeeded", succeeded}});
    }

    bool loseAnswer()
    {
        if (lostAnswers_ >= standin_.fault("loseTxnAnswers"))
            return false;
        ++lostAnswers_;
        return true;
    }

    void watch(const HttpExchangePtr &exchange)
    {
        exchange->beginStream(200, {{"Content-Type", "application/json"}});
        exchange->write(
            json::serialize(json::object{{"result", json::object{{"header", header()}, {"created", true}}}})
            + "\n");
        watches_.push_back(exchange);
        const std::weak_ptr<cranberry::HttpExchange> weak = exchange;
        exchange->onClosed([this, weak] {
            watches_.remove_if([&weak](const HttpExchangePtr &one) { return one == weak.lock(); });
        });
    }

    void notifyWatches()
    {
        if (standin_.fault("silentWatch"))
            return;
        const json::object event{
            {"result",
             json::object{{"header", header()}, {"events", json::array{json::object{{"type", "PUT"}}}}}}};
        for (const HttpExchangePtr &exchange : std::list<HttpExchangePtr>(watches_))
            exchange->write(json::serialize(event) + "\n");
    }

    void leaseGrant(const HttpExchangePtr &exchange, const json::value &body)
    {
        ++revision_;
        respondJson(exchange, 200,
                    json::object{{"header", header()},
                                 {"ID", std::to_string(revision_)},
                                 {"TTL", textField(body, "TTL")}});
    }

    void instances(const HttpExchangePtr &exchange)
    {
        json::array list;
        for (const std::pair<const std::string, Instance> &entry : instances_) {
            const bool visible = standin_.nowMs() - entry.second.stateSinceMs >= standin_.fault("listLagMs");
            const int64_t remainingNoticeMs
                = entry.second.noticeMs - (standin_.nowMs() - entry.second.stateSinceMs);
            list.push_back(json::object{{"name", entry.first},
                                        {"state", visible ? entry.second.state : "live"},
                                        {"noticeMs", std::max<int64_t>(remainingNoticeMs, 0)}});
        }
        respondJson(exchange, 200, json::object{{"instances", list}});
    }

    void reclaim(const HttpExchangePtr &exchange, const cranberry::HttpTarget &target)
    {
        const std::string name = cranberry::headerOf(target.query, "instance");
        const std::string notice = cranberry::headerOf(target.query, "noticeMs");
        instances_[name] = {"leaving", std::strtoll(notice.c_str(), nullptr, 10), standin_.nowMs()};
        standin_.log(fmt::format("reclaim instance={} noticeMs={}", name, notice));
        exchange->respond(200, {}, "ok\n");
    }

    void calls(const HttpExchangePtr &exchange)
    {
        json::object counts;
        for (const std::pair<const std::string, uint64_t> &entry : calls_)
            counts[entry.first] = entry.second;
        respondJson(exchange, 200, counts);
    }

    Standin &standin_;
    std::map<std::string, Entry> entries_;
    std::map<std::string, Instance> instances_;
    std::map<std::string, uint64_t> calls_;
    std::list<HttpExchangePtr> watches_;
    uint64_t revision_ = 1;
    int64_t lostAnswers_ = 0;
};

} // namespace

} // namespace standin

int main(int argc, const char **argv)
{
    standin::Standin standin("standin-platform", argc, argv);
    if (!standin.ok())
        return standin.exitCode();
    standin::PlatformStandin platform(standin);
    standin.serve([&platform](const standin::HttpExchangePtr &exchange) { platform.onRequest(exchange); });
    return 0;
}
