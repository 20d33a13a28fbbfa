#include "daemon/io/adminapi.h"

#include "daemon/io/logging.h"
#include "daemon/io/server.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace cranberry {

namespace {

constexpr DurationMs ChangeLimit{8000};
constexpr DurationMs RepeatPause{100};
constexpr const char *ChangesPath = "/admin/changes/";

void respondJson(const HttpExchangePtr &exchange, int status, const json::value &body)
{
    exchange->respond(status, {{"Content-Type", "application/json"}}, json::serialize(body));
}

const char *phaseName(RequestPhase phase)
{
    constexpr std::array<const char *, 8> Names
        = {"asking", "queued", "running", "waiting", "moving", "moved", "ended", "given"};
    return Names[static_cast<size_t>(phase)];
}

// Returns an error message if the configuration text is invalid, otherwise an empty string.
std::string checkText(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseConfiguration(text));
            return std::string();
        },
        [](const FieldError &error) { return toText(error); }, [] { return std::string("can't be read"); });
}

} // namespace

struct AdminApi::Running {
    Running(HttpExchangePtr exchange, ConfigurationChange change, std::string id)
        : exchange(std::move(exchange)), change(std::move(change)), id(std::move(id))
    { }

    HttpExchangePtr exchange;
    ConfigurationChange change;
    std::string id;
};

void AdminApi::onRequest(const HttpExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request();
    const HttpTarget target = parseTarget(request.target);
    const bool get = request.method == "GET";
    if (target.path == "/healthz")
        return exchange->respond(200, {}, "ok\n");
    if (target.path == "/readyz") {
        const World &world = server_.daemon_.world();
        const bool ready = isReady(world) && !world.drain.active;
        return exchange->respond(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
    }
    if (target.path == "/metrics")
        return exchange->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, server_.metrics());
    if (target.path == "/admin/configuration" && get)
        return getConfiguration(exchange);
    if (target.path == "/admin/configuration" && request.method == "PUT")
        return putConfiguration(exchange, target);
    if (target.path == "/admin/diff" && request.method == "POST")
        return diff(exchange);
    if (target.path.starts_with(ChangesPath) && get)
        return getChange(exchange, target.path.substr(std::string(ChangesPath).size()));
    if (target.path == "/admin/status" && get)
        return getStatus(exchange);
    if (target.path == "/admin/requests" && get)
        return getRequests(exchange);
    if (target.path == "/admin/drain" && request.method == "POST")
        return drain(exchange, target);
    respondJson(exchange, 404, json::object{{"error", "no such path"}});
}

void AdminApi::getConfiguration(const HttpExchangePtr &exchange)
{
    const World &world = server_.daemon_.world();
    respondJson(exchange, 200,
                json::object{{"revision", world.revision.value}, {"text", world.configurationText}});
}

void AdminApi::diff(const HttpExchangePtr &exchange)
{
    const std::string wrong = checkText(exchange->request().body);
    if (!wrong.empty())
        return exchange->respond(400, {}, wrong + "\n");
    std::string out;
    for (const std::string &line :
         diffConfigurations(server_.daemon_.world().configurationText, exchange->request().body))
        out += line + "\n";
    exchange->respond(200, {{"Content-Type", "text/plain"}}, out);
}

void AdminApi::putConfiguration(const HttpExchangePtr &exchange, const HttpTarget &target)
{
    const std::string id = headerOf(target.query, "change");
    const std::string base = headerOf(target.query, "base");
    if (id.empty())
        return respondJson(exchange, 400, json::object{{"error", "query field change is missing"}});
    const std::string wrong = checkText(exchange->request().body);
    if (!wrong.empty())
        return respondJson(exchange, 400, json::object{{"error", wrong}});
    std::optional<Revision> revision;
    if (!base.empty())
        revision = Revision{std::strtoull(base.c_str(), nullptr, 10)};
    advance(std::make_shared<Running>(
        exchange, ConfigurationChange(id, exchange->request().body, revision, server_.now() + ChangeLimit),
        id));
}

// Performs the next step of the change, passes the result to it and continues until it is done or waits for
// confirmation.
void AdminApi::advance(const RunningPtr &running)
{
    ConfigurationChange &change = running->change;
    switch (change.step()) {
    case ConfigurationChange::Step::Read:
        server_.platform_.readConfiguration([this,
                                             running](const std::optional<StoredConfiguration> &stored) {
            if (stored) {
                running->change.onRead(*stored);
                return advance(running);
            }
            running->change.onReadFailed(server_.now());
            std::shared_ptr<boost::asio::steady_timer> timer = std::make_shared<boost::asio::steady_timer>(
                server_.io_, std::chrono::milliseconds(RepeatPause.count));
            timer->async_wait(
                [this, running, timer](const boost::system::error_code &) { advance(running); });
        });
        break;
    case ConfigurationChange::Step::Write:
        server_.platform_.writeConfiguration(
            change.toWrite(), [this, running](ConfigurationChange::Write outcome, Revision revision) {
                running->change.onWritten(outcome, revision, server_.now());
                advance(running);
            });
        break;
    case ConfigurationChange::Step::Confirm:
        server_.platform_.readConfiguration([this](const std::optional<StoredConfiguration> &stored) {
            if (stored)
                server_.post(ConfigurationSeen{stored->revision, stored->text});
        });
        confirming_.push_back(running);
        break;
    case ConfigurationChange::Step::Done:
        finish(running);
        break;
    }
}

void AdminApi::tick()
{
    const TimeMs now = server_.now();
    std::list<RunningPtr> waiting;
    waiting.swap(confirming_);
    for (const RunningPtr &running : waiting) {
        running->change.onConfirm(isConfirmed(server_.daemon_.world(), running->change.revision()), now);
        if (running->change.step() == ConfigurationChange::Step::Done)
            finish(running);
        else
            confirming_.push_back(running);
    }
}

void AdminApi::finish(const RunningPtr &running)
{
    const ConfigurationChange &change = running->change;
    json::object body{{"change", running->id}, {"revision", change.revision().value}};
    switch (change.verdict()) {
    case ConfigurationChange::Verdict::Accepted:
        body["verdict"] = "accepted";
        logChange("configurationAccepted", "change={} revision={}", running->id, change.revision().value);
        return respondJson(running->exchange, 200, body);
    case ConfigurationChange::Verdict::Conflict:
        body["verdict"] = "conflict";
        return respondJson(running->exchange, 409, body);
    case ConfigurationChange::Verdict::Unconfirmed:
        body["verdict"] = "unconfirmed";
        return respondJson(running->exchange, 202, body);
    case ConfigurationChange::Verdict::Unsettled:
        body["verdict"] = "unsettled";
        return respondJson(running->exchange, 504, body);
    }
}

void AdminApi::getChange(const HttpExchangePtr &exchange, const std::string &id)
{
    server_.platform_.readConfiguration([exchange, id](const std::optional<StoredConfiguration> &stored) {
        if (!stored)
            return respondJson(exchange, 504, json::object{{"change", id}, {"verdict", "unsettled"}});
        const bool found
            = std::find(stored->changes.begin(), stored->changes.end(), id) != stored->changes.end();
        respondJson(exchange, 200,
                    json::object{{"change", id},
                                 {"verdict", found ? "accepted" : "notAccepted"},
                                 {"revision", stored->revision.value}});
    });
}

void AdminApi::getStatus(const HttpExchangePtr &exchange)
{
    const World &world = server_.daemon_.world();
    json::array members;
    std::vector<const MemberInfo *> infos = {&world.members.self()};
    for (const Member *member : world.members.alive())
        infos.push_back(&member->info);
    for (const MemberInfo *info : infos) {
        members.push_back(json::object{{"instance", info->instance.value},
                                       {"failureDomain", info->failureDomain.value},
                                       {"callers", toText(info->callerAddress)},
                                       {"revision", info->revision.value},
                                       {"leaving", world.marks.isLeaving(info->incarnation)}});
    }
    json::array endpoints;
    for (const EndpointState &state : world.endpoints.all()) {
        endpoints.push_back(json::object{{"name", state.endpoint.name.value},
                                         {"service", state.service.value},
                                         {"running", state.running},
                                         {"leaving", world.marks.isLeaving(state.endpoint.instance)}});
    }
    respondJson(exchange, 200,
                json::object{{"instance", world.members.self().instance.value},
                             {"ready", isReady(world)},
                             {"draining", world.drain.active},
                             {"revision", world.revision.value},
                             {"members", std::move(members)},
                             {"endpoints", std::move(endpoints)}});
}

void AdminApi::getRequests(const HttpExchangePtr &exchange)
{
    const World &world = server_.daemon_.world();
    json::array requests;
    for (const std::pair<const RequestId, Request> &entry : world.requests) {
        const Request &request = entry.second;
        requests.push_back(json::object{{"id", toText(request.id)},
                                        {"phase", phaseName(request.phase)},
                                        {"organisation", request.spec->organisation.value},
                                        {"service", request.spec->service.value},
                                        {"endpoint", request.endpoint.value},
                                        {"ageMs", (world.now - request.arrivedAt).count},
                                        {"bytes", request.text.size()}});
    }
    respondJson(exchange, 200, json::object{{"requests", std::move(requests)}});
}

void AdminApi::drain(const HttpExchangePtr &exchange, const HttpTarget &target)
{
    const std::string notice = headerOf(target.query, "noticeMs");
    std::optional<DurationMs> duration;
    if (!notice.empty())
        duration = DurationMs{std::strtoll(notice.c_str(), nullptr, 10)};
    logChange("draining", "instance={} planned={}", server_.settings_.instance.value, !duration);
    server_.post(DrainRequested{duration});
    respondJson(exchange, 202, json::object{{"draining", true}});
}

} // namespace cranberry
