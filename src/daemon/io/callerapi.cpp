#include "daemon/io/callerapi.h"

#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>

namespace json = boost::json;

namespace cranberry {

namespace {

constexpr DurationMs KeepAliveInterval{1000};
constexpr size_t MaxPendingBytes = 8U << 20; ///< Slower readers are disconnected; they may resume.
constexpr const char *RequestsPath = "/v1/requests/";
constexpr const char *ServicesPath = "/v1/services/";

uint64_t parseHex(const std::string &text)
{
    uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}

uint64_t parseNumber(const std::string &text, uint64_t fallback)
{
    uint64_t value = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), value);
    return text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size() ? fallback
                                                                                               : value;
}

// Formats a session as "<registrar>.<session>", the form in which /v1/entries returns it.
std::string sessionText(const OnceKey &key)
{
    return fmt::format("{:016x}.{}", key.registrar.value, key.session);
}

json::array addressList(const std::vector<Address> &addresses)
{
    json::array out;
    for (const Address &address : addresses)
        out.emplace_back(toText(address));
    return out;
}

json::object refusalBody(const Refusal &refusal)
{
    return {{"outcome", toText(refusal.outcome)},
            {"reason", toText(refusal.reason)},
            {"retryAfterMs", refusal.retryAfter.count}};
}

int httpStatus(const Refusal &refusal)
{
    if (refusal.outcome == Outcome::Unknown)
        return refusal.reason == RefusalReason::RequestNotFound ? 404 : 502;
    switch (refusal.reason) {
    case RefusalReason::UnknownOrganisation:
        return 403;
    case RefusalReason::UnknownService:
        return 404;
    case RefusalReason::BadRequest:
        return 400;
    case RefusalReason::OrganisationLimit:
        return 429;
    case RefusalReason::KeyRefused:
        return 409;
    case RefusalReason::DeadlinePassed:
        return 504;
    default:
        return 503;
    }
}

HttpHeaders jsonHeaders()
{
    return {{"Content-Type", "application/json"}};
}

void respondRefusal(HttpExchange &exchange, const Refusal &refusal, const std::string &message)
{
    json::object body = refusalBody(refusal);
    if (!message.empty())
        body["message"] = message;
    HttpHeaders headers = jsonHeaders();
    if (refusal.retryAfter.count > 0)
        headers.push_back({"Retry-After", std::to_string((refusal.retryAfter.count + 999) / 1000)});
    exchange.respond(httpStatus(refusal), headers, json::serialize(body));
}

// Fills the fields that all requests share from the headers. Returns an error message, or an empty string.
std::string parseCommonHeaders(const HttpHeaders &headers, RequestSpec &spec)
{
    constexpr uint64_t Invalid = ~0ULL;
    spec.organisation.value = headerOf(headers, "X-Organisation");
    if (spec.organisation.value.empty())
        return "header X-Organisation is missing";
    const uint64_t deadline = parseNumber(headerOf(headers, "X-Deadline-Ms"),
                                          headerOf(headers, "X-Deadline-Ms").empty() ? 0 : Invalid);
    if (deadline > 86'400'000)
        return "header X-Deadline-Ms must be a number of milliseconds up to a day";
    spec.deadline = {static_cast<int64_t>(deadline)};
    if (headerOf(headers, "X-Class") == "batch")
        spec.workClass = WorkClass::Batch;
    spec.idempotent = headerOf(headers, "X-Non-Idempotent") != "true";
    const std::string attempt = headerOf(headers, "X-Attempt");
    spec.attempt = static_cast<uint32_t>(parseNumber(attempt, 1));

    const std::string session = headerOf(headers, "X-Session");
    const std::string key = headerOf(headers, "Idempotency-Key");
    if (session.empty()) {
        // Bare keys are scoped by organisation, so that equal keys of two organisations don't collide.
        if (!key.empty())
            spec.key.bare = spec.organisation.value + "/" + key;
        return {};
    }
    const size_t dot = session.find('.');
    spec.key.registrar = {parseHex(session.substr(0, dot))};
    spec.key.session = dot == std::string::npos ? 0 : parseNumber(session.substr(dot + 1), 0);
    spec.key.sequence = parseNumber(key, 0);
    if (!spec.key.registrar || spec.key.session == 0)
        return "header X-Session is not one that /v1/entries gave out";
    if (spec.key.sequence == 0)
        return "with X-Session, header Idempotency-Key must be a number from 1 on";
    return {};
}

// Reads the model, the options and the text of all messages, which is used for prefix matching. Returns an
// error message, or an empty string.
std::string parseChatBody(const std::string &body, RequestSpec &spec)
{
    json::error_code code;
    const json::value value = json::parse(body, code);
    if (code)
        return "body is not JSON: " + code.message();
    const json::object *object = value.if_object();
    const json::value *model = object ? object->if_contains("model") : nullptr;
    const json::value *messages = object ? object->if_contains("messages") : nullptr;
    if (!model || !model->is_string())
        return "body.model must be the name of a service";
    if (!messages || !messages->is_array() || messages->as_array().empty())
        return "body.messages must be an array of messages";
    for (const json::value &message : messages->as_array()) {
        const json::object *fields = message.if_object();
        const json::value *content = fields ? fields->if_contains("content") : nullptr;
        if (!content || !content->is_string())
            return "body.messages: each must have a content of text";
        spec.prompt += std::string(content->as_string()) + "\n";
    }
    spec.service.value = std::string(model->as_string());
    const json::value *stream = object->if_contains("stream");
    spec.stream = stream && stream->is_bool() && stream->as_bool();
    const json::value *maxTokens = object->if_contains("max_tokens");
    if (maxTokens
        && (!maxTokens->is_int64() || maxTokens->as_int64() < 1 || maxTokens->as_int64() > 1'000'000))
        return "body.max_tokens must be a whole number from 1 to 1000000";
    spec.maxTokens = maxTokens ? static_cast<uint32_t>(maxTokens->as_int64()) : 0;
    return {};
}

std::string digestText(uint64_t digest)
{
    return fmt::format("{:016x}", digest);
}

// Formats the JSON directly, because this is the hot path of streaming: building a JSON tree for each token
// took a third of its time.
std::string chunkEvent(const std::string &requestId, const CallerData &data)
{
    return fmt::format(
        "id: {:x}:{}\ndata: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"offset\":{},"
        "\"choices\":[{{\"index\":0,\"delta\":{{\"content\":{}}},\"finish_reason\":null}}]}}\n\n",
        data.lineage, data.offset + data.text.size(), requestId, data.offset,
        json::serialize(json::string_view(data.text)));
}

std::string finalEvents(const std::string &requestId, const AnswerEnd &end)
{
    const json::object chunk{
        {"id", requestId},
        {"object", "chat.completion.chunk"},
        {"choices",
         json::array{
             json::object{{"index", 0}, {"delta", json::object{}}, {"finish_reason", end.finishReason}}}},
        {"answer", json::object{{"length", end.length}, {"digest", digestText(end.digest)}}}};
    return fmt::format("data: {}\n\ndata: [DONE]\n\n", json::serialize(chunk));
}

} // namespace

CallerApi::CallerApi(Sink sink, Clock clock) : sink_(std::move(sink)), clock_(std::move(clock)) { }

CallerApi::Caller &CallerApi::open(const HttpExchangePtr &exchange, bool stream)
{
    const CallerId id{nextCaller_++};
    Caller &caller = callers_[id];
    caller.id = id;
    caller.exchange = exchange;
    caller.stream = stream;
    caller.arrivedAt = clock_();
    caller.lastWrite = caller.arrivedAt;
    exchange->onClosed([this, id] {
        if (callers_.erase(id))
            sink_(CallerDisconnected{id});
    });
    return caller;
}

CallerApi::Caller *CallerApi::find(CallerId id)
{
    auto found = callers_.find(id);
    return found == callers_.end() ? nullptr : &found->second;
}

void CallerApi::close(CallerId id)
{
    callers_.erase(id);
}

void CallerApi::onRequest(const HttpExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request();
    const HttpTarget target = parseTarget(request.target);
    if (target.path == "/v1/entries" && request.method == "GET")
        return entries(exchange, target);
    if (target.path == "/v1/chat/completions" && request.method == "POST")
        return submitChat(exchange);
    if (target.path.starts_with(RequestsPath) && request.method == "GET")
        return resume(exchange, target);
    if (target.path.starts_with(ServicesPath))
        return submitPlain(exchange, request.target.substr(std::string(ServicesPath).size()));
    exchange->respond(404, jsonHeaders(),
                      R"({"outcome":"notRun","reason":"badRequest","message":"no such path"})");
}

void CallerApi::entries(const HttpExchangePtr &exchange, const HttpTarget &target)
{
    const Caller &caller = open(exchange, false);
    const bool wantsSession = headerOf(target.query, "session") == "true";
    sink_(CallerEntriesRequest{caller.id, {headerOf(target.query, "organisation")}, wantsSession});
}

void CallerApi::submitChat(const HttpExchangePtr &exchange)
{
    RequestSpec spec;
    std::string problem = parseCommonHeaders(exchange->request().headers, spec);
    if (problem.empty())
        problem = parseChatBody(exchange->request().body, spec);
    if (!problem.empty())
        return respondRefusal(*exchange, {Outcome::NotRun, RefusalReason::BadRequest, {}}, problem);
    spec.body = exchange->request().body;
    const Caller &caller = open(exchange, spec.stream);
    sink_(CallerSubmit{caller.id, std::move(spec)});
}

void CallerApi::submitPlain(const HttpExchangePtr &exchange, const std::string &path)
{
    RequestSpec spec;
    const std::string problem = parseCommonHeaders(exchange->request().headers, spec);
    if (!problem.empty())
        return respondRefusal(*exchange, {Outcome::NotRun, RefusalReason::BadRequest, {}}, problem);
    const size_t slash = path.find_first_of("/?");
    spec.service.value = path.substr(0, slash);
    spec.path = slash == std::string::npos ? "/" : path.substr(slash);
    spec.method = exchange->request().method;
    spec.body = exchange->request().body;
    spec.idempotent = spec.idempotent || spec.method == "GET";
    spec.maxTokens = 1;
    const Caller &caller = open(exchange, false);
    sink_(CallerSubmit{caller.id, std::move(spec)});
}

// SSE clients send the Last-Event-ID header ("<lineage>:<offset>") automatically when they reconnect.
void CallerApi::resume(const HttpExchangePtr &exchange, const HttpTarget &target)
{
    const std::string idText = target.path.substr(std::string(RequestsPath).size());
    const std::optional<RequestId> id = requestIdFromText(idText);
    if (!id)
        return respondRefusal(*exchange, {Outcome::NotRun, RefusalReason::BadRequest, {}},
                              "not a request id: " + idText);
    const bool stream
        = headerOf(exchange->request().headers, "Accept").find("event-stream") != std::string::npos;
    const std::string lastEventId = headerOf(exchange->request().headers, "Last-Event-ID");
    const size_t colon = lastEventId.find(':');
    CallerResume event{{}, *id, 0, 0};
    if (stream && colon != std::string::npos) {
        event.lineage = parseHex(lastEventId.substr(0, colon));
        event.offset = parseNumber(lastEventId.substr(colon + 1), 0);
    }
    Caller &caller = open(exchange, stream);
    caller.requestId = idText;
    event.caller = caller.id;
    sink_(event);
}

void CallerApi::beginStream(Caller &caller)
{
    if (caller.streamStarted)
        return;
    caller.streamStarted = true;
    caller.exchange->beginStream(200,
                                 {{"Content-Type", "text/event-stream"},
                                  {"Cache-Control", "no-store"},
                                  {"X-Request-Id", caller.requestId}});
}

void CallerApi::handle(const CallerAccepted &action)
{
    Caller *caller = find(action.caller);
    if (!caller)
        return;
    caller->requestId = toText(action.request);
    if (caller->stream)
        beginStream(*caller);
}

void CallerApi::handle(const CallerData &action)
{
    Caller *caller = find(action.caller);
    if (!caller)
        return;
    const TimeMs now = clock_();
    if (!caller->receivedText)
        latencies_.firstToken(now - caller->arrivedAt);
    else
        latencies_.betweenTokens(now - caller->lastWrite);
    caller->receivedText = true;
    caller->lastWrite = now;
    if (caller->stream) {
        beginStream(*caller);
        caller->exchange->write(chunkEvent(caller->requestId, action));
        if (caller->exchange->pendingBytes() > MaxPendingBytes)
            caller->exchange->abort();
        return;
    }
    caller->text.resize(std::min<size_t>(caller->text.size(), action.offset));
    caller->text += action.text;
}

void CallerApi::handle(const CallerEnd &action)
{
    Caller *caller = find(action.caller);
    if (!caller)
        return;
    latencies_.fullResponse(clock_() - caller->arrivedAt);
    const AnswerEnd &end = action.end;
    if (caller->stream && end.status == 200) {
        beginStream(*caller);
        caller->exchange->write(finalEvents(caller->requestId, end));
        caller->exchange->finish();
        return close(action.caller);
    }
    HttpHeaders headers = {{"X-Request-Id", caller->requestId}};
    if (end.isUnframed) {
        caller->exchange->endWithConnection();
    } else {
        headers.push_back({"X-Answer-Length", std::to_string(end.length)});
        headers.push_back({"X-Answer-Digest", digestText(end.digest)});
    }
    if (end.finishReason.empty()) {
        headers.push_back(
            {"Content-Type", end.contentType.empty() ? "application/octet-stream" : end.contentType});
        caller->exchange->respond(end.status, headers, caller->text);
        return close(action.caller);
    }
    headers.push_back({"Content-Type", "application/json"});
    const json::object message{{"role", "assistant"}, {"content", caller->text}};
    const json::object body{
        {"id", caller->requestId},
        {"object", "chat.completion"},
        {"choices",
         json::array{json::object{{"index", 0}, {"message", message}, {"finish_reason", end.finishReason}}}},
        {"answer", json::object{{"length", end.length}, {"digest", digestText(end.digest)}}}};
    caller->exchange->respond(200, headers, json::serialize(body));
    close(action.caller);
}

void CallerApi::handle(const CallerRefused &action)
{
    Caller *caller = find(action.caller);
    if (!caller)
        return;
    if (caller->streamStarted) {
        // [DONE] is left out, so that the caller can tell that the response is incomplete.
        const json::object error{{"error", refusalBody(action.refusal)}};
        caller->exchange->write(fmt::format("event: error\ndata: {}\n\n", json::serialize(error)));
        caller->exchange->finish();
    } else {
        respondRefusal(*caller->exchange, action.refusal, "");
    }
    close(action.caller);
}

void CallerApi::handle(const CallerMoved &action)
{
    Caller *caller = find(action.caller);
    if (!caller)
        return;
    const std::string id = toText(action.request);
    const std::string location = fmt::format("http://{}{}{}", toText(action.address), RequestsPath, id);
    if (caller->streamStarted) {
        const json::object moved{{"moved", json::object{{"requestId", id}, {"location", location}}}};
        caller->exchange->write(fmt::format("event: moved\ndata: {}\n\n", json::serialize(moved)));
        caller->exchange->finish();
    } else {
        caller->exchange->respond(303, {{"Location", location}, {"X-Request-Id", id}}, "");
    }
    close(action.caller);
}

void CallerApi::handle(const CallerRedirected &action)
{
    Caller *caller = find(action.caller);
    if (!caller)
        return;
    const json::object body{{"elsewhere", addressList(action.entries)}};
    if (action.entries.empty()) {
        respondRefusal(*caller->exchange, {Outcome::NotRun, RefusalReason::NotReady, DurationMs{1000}}, "");
    } else {
        const std::string location
            = fmt::format("http://{}{}", toText(action.entries.front()), caller->exchange->request().target);
        HttpHeaders headers = jsonHeaders();
        headers.push_back({"Location", location});
        caller->exchange->respond(307, headers, json::serialize(body));
    }
    close(action.caller);
}

void CallerApi::handle(const CallerEntriesReply &action)
{
    Caller *caller = find(action.caller);
    if (!caller)
        return;
    json::object body{{"entries", addressList(action.entries)}, {"keepMs", action.ttl.count}};
    if (action.session.registrar)
        body["session"] = sessionText(action.session);
    caller->exchange->respond(200, jsonHeaders(), json::serialize(body));
    close(action.caller);
}

void CallerApi::tick()
{
    const TimeMs now = clock_();
    for (std::pair<const CallerId, Caller> &entry : callers_) {
        Caller &caller = entry.second;
        if (!caller.streamStarted || now - caller.lastWrite < KeepAliveInterval)
            continue;
        caller.lastWrite = now;
        caller.exchange->write(": waiting\n\n");
    }
}

} // namespace cranberry
