#include "daemon/io/adminapi.h"

#include "daemon/io/logging.h"
#include "daemon/io/server.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace cranberry {

namespace {

constexpr DurationMs ChangeTimeout{8000};
constexpr DurationMs ReadRetryInterval{100};
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
std::string configurationError(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseConfiguration(text));
            return std::string();
        },
        [](const FieldError &error) { return toText(error); }, [] { return std::string("can't be read"); });
}

} // namespace

struct AdminApi::PendingChange {
    PendingChange(HttpExchangePtr exchange, ConfigurationChange change, std::string id)
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
    const bool isGet = request.method == "GET";
    if (target.path == "/healthz")
        return exchange->respond(200, {}, "ok\n");
    if (target.path == "/readyz") {
        const World &world = server_.daemon_.world();
        const bool ready = isReady(world) && !world.drain.active;
        return exchange->respond(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
    }
    if (target.path == "/metrics")
        return exchange->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, server_.metrics());
    if (target.path == "/admin/configuration" && isGet)
        return getConfiguration(exchange);
    if (target.path == "/admin/configuration" && request.method == "PUT")
        return putConfiguration(exchange, target);
    if (target.path == "/admin/diff" && request.method == "POST")
        return diff(exchange);
    if (target.path.starts_with(ChangesPath) && isGet)
        return getChange(exchange, target.path.substr(std::string(ChangesPath).size()));
    if (target.path == "/admin/status" && isGet)
        return getStatus(exchange);
    if (target.path == "/admin/requests" && isGet)
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
    const std::string problem = configurationError(exchange->request().body);
    if (!problem.empty())
        return exchange->respond(400, {}, problem + "\n");
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
    const std::string problem = configurationError(exchange->request().body);
    if (!problem.empty())
        return respondJson(exchange, 400, json::object{{"error", problem}});
    std::optional<Revision> revision;
    if (!base.empty())
        revision = Revision{std::strtoull(base.c_str(), nullptr, 10)};
    advance(std::make_shared<PendingChange>(
        exchange, ConfigurationChange(id, exchange->request().body, revision, server_.now() + ChangeTimeout),
        id));
}

// Performs the next step of the change, passes the result to it and continues until it is done or waits for
// confirmation.
void AdminApi::advance(const PendingChangePtr &pending)
{
    ConfigurationChange &change = pending->change;
    switch (change.step()) {
    case ConfigurationChange::Step::Read:
        server_.platform_.readConfiguration([this,
                                             pending](const std::optional<StoredConfiguration> &stored) {
            if (stored) {
                pending->change.onRead(*stored);
                return advance(pending);
            }
            pending->change.onReadFailed(server_.now());
            std::shared_ptr<boost::asio::steady_timer> timer = std::make_shared<boost::asio::steady_timer>(
                server_.io_, std::chrono::milliseconds(ReadRetryInterval.count));
            timer->async_wait(
                [this, pending, timer](const boost::system::error_code &) { advance(pending); });
        });
        break;
    case ConfigurationChange::Step::Write:
        server_.platform_.writeConfiguration(
            change.toWrite(), [this, pending](ConfigurationChange::WriteResult outcome, Revision revision) {
                pending->change.onWritten(outcome, revision, server_.now());
                advance(pending);
            });
        break;
    case ConfigurationChange::Step::Confirm:
        server_.platform_.readConfiguration([this](const std::optional<StoredConfiguration> &stored) {
            if (stored)
                server_.post(ConfigurationReceived{stored->revision, stored->text});
        });
        awaitingConfirmation_.push_back(pending);
        break;
    case ConfigurationChange::Step::Done:
        finish(pending);
        break;
    }
}

void AdminApi::tick()
{
    const TimeMs now = server_.now();
    std::list<PendingChangePtr> waiting;
    waiting.swap(awaitingConfirmation_);
    for (const PendingChangePtr &pending : waiting) {
        pending->change.onConfirm(isConfirmed(server_.daemon_.world(), pending->change.revision()), now);
        if (pending->change.step() == ConfigurationChange::Step::Done)
            finish(pending);
        else
            awaitingConfirmation_.push_back(pending);
    }
}

void AdminApi::finish(const PendingChangePtr &pending)
{
    const ConfigurationChange &change = pending->change;
    json::object body{{"change", pending->id}, {"revision", change.revision().value}};
    switch (change.finalOutcome()) {
    case ConfigurationChange::ChangeOutcome::Accepted:
        body["verdict"] = "accepted";
        logChange("configurationAccepted", "change={} revision={}", pending->id, change.revision().value);
        return respondJson(pending->exchange, 200, body);
    case ConfigurationChange::ChangeOutcome::Conflict:
        body["verdict"] = "conflict";
        return respondJson(pending->exchange, 409, body);
    case ConfigurationChange::ChangeOutcome::Unconfirmed:
        body["verdict"] = "unconfirmed";
        return respondJson(pending->exchange, 202, body);
    case ConfigurationChange::ChangeOutcome::Unsettled:
        body["verdict"] = "unsettled";
        return respondJson(pending->exchange, 504, body);
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
