#include "daemon/io/endpointlink.h"

#include "common/fields.h"

#include <array>
#include <boost/json.hpp>

namespace json = boost::json;

namespace cranberry {

namespace {

/// An endpoint whose process runs accepts a connection within milliseconds. An endpoint on an unresponsive
/// instance does not count as exited, and its callers should not wait for the probe.
constexpr DurationMs BreakQuestionTimeout{200};

} // namespace

struct EndpointLink::Running {
    AttemptId id;
    Address address;
    uint64_t call = 0;
    bool model = false;
    EndpointEnd end;
    std::string buffer;
    std::string text; ///< Text collected from one read and passed on in one event.
    uint32_t tokens = 0; ///< Number of tokens in `text`.
    bool whole = false; ///< The engine's end marker, [DONE], was received.
    bool saidNotRun = false;
    bool repeatable = false;
};

std::string engineBody(const StartAttempt &attempt)
{
    json::error_code code;
    json::value body = json::parse(attempt.spec->body, code);
    if (code || !body.is_object())
        return attempt.spec->body;
    json::object &object = body.as_object();
    object["stream"] = true;
    object["stream_options"] = json::object{{"include_usage", true}};
    object["priority"] = attempt.spec->workClass == WorkClass::Interactive ? 0 : 1;
    if (attempt.prefix.empty())
        return json::serialize(body);
    json::value *messages = object.if_contains("messages");
    if (messages && messages->is_array())
        messages->as_array().push_back(json::object{{"role", "assistant"}, {"content", attempt.prefix}});
    object["continue_final_message"] = true;
    object["add_generation_prompt"] = false;
    if (attempt.spec->maxTokens > attempt.prefixTokens)
        object["max_tokens"] = attempt.spec->maxTokens - attempt.prefixTokens;
    return json::serialize(body);
}

void EndpointLink::start(const StartAttempt &attempt)
{
    std::shared_ptr<Running> running = std::make_shared<Running>();
    running->id = attempt.attempt;
    running->address = attempt.address;
    running->end.attempt = attempt.attempt;
    running->model = attempt.kind == ServiceKind::Model;
    running->repeatable = attempt.spec->idempotent;
    HttpCall call;
    call.address = attempt.address;
    call.progressTimeout = attempt.progressTimeout;
    call.freshConnection = !attempt.spec->idempotent;
    if (running->model)
        call.request
            = {"POST", "/v1/chat/completions", {{"Content-Type", "application/json"}}, engineBody(attempt)};
    else
        call.request = {attempt.spec->method,
                        attempt.spec->path,
                        {{"Content-Type", "application/json"}},
                        attempt.spec->body};
    HttpCallbacks callbacks;
    callbacks.onHead
        = [this, running](int status, const HttpHeaders &headers) { onHead(*running, status, headers); };
    callbacks.onData = [this, running](const char *data, size_t size) { onData(*running, data, size); };
    callbacks.onDone = [this, running](HttpFailure failure) { onDone(running, failure); };
    running_[attempt.attempt] = running;
    running->call = http_.start(std::move(call), std::move(callbacks));
}

void EndpointLink::cancel(AttemptId attempt)
{
    auto found = running_.find(attempt);
    if (found == running_.end())
        return;
    http_.cancel(found->second->call);
    running_.erase(found);
}

void EndpointLink::onHead(Running &running, int status, const HttpHeaders &headers)
{
    running.end.status = status;
    running.end.contentType = headerOf(headers, "Content-Type");
    running.saidNotRun = status == 503 && headerOf(headers, "X-Not-Run") == "true";
    if (status != 200)
        running.model = false; // Error bodies are passed on unchanged.
}

void EndpointLink::onData(Running &running, const char *data, size_t size)
{
    if (running.saidNotRun)
        return;
    if (!running.model) {
        running.text.append(data, size);
        return;
    }
    running.buffer.append(data, size);
    size_t start = 0;
    for (size_t end = running.buffer.find('\n'); end != std::string::npos;
         end = running.buffer.find('\n', start)) {
        onLine(running, running.buffer.substr(start, end - start));
        start = end + 1;
    }
    running.buffer.erase(0, start);
    if (running.text.empty())
        return;
    EndpointData event{running.id, std::move(running.text), running.tokens};
    running.text.clear();
    running.tokens = 0;
    sink_(std::move(event));
}

void EndpointLink::onLine(Running &running, const std::string &line)
{
    constexpr size_t PrefixSize = 6;
    if (!line.starts_with("data: "))
        return;
    if (line.compare(PrefixSize, 6, "[DONE]") == 0) {
        running.whole = true;
        return;
    }
    constexpr size_t ScratchBytes = 4096;
    std::array<unsigned char, ScratchBytes> scratch;
    json::monotonic_resource memory(scratch.data(), scratch.size());
    json::error_code code;
    const json::value chunk = json::parse(json::string_view(line).substr(PrefixSize), code, &memory);
    if (code || !chunk.is_object())
        return;
    const json::value *usage = chunk.as_object().if_contains("usage");
    if (usage && usage->is_object()) {
        const json::value *details = usage->as_object().if_contains("prompt_tokens_details");
        const json::value *cached
            = details && details->is_object() ? details->as_object().if_contains("cached_tokens") : nullptr;
        running.end.cachedTokens = wholeNumber<uint32_t>(cached).value_or(running.end.cachedTokens);
    }
    const json::value *choices = chunk.as_object().if_contains("choices");
    if (!choices || !choices->is_array() || choices->as_array().empty()
        || !choices->as_array().front().is_object())
        return;
    const json::object &choice = choices->as_array().front().as_object();
    const json::value *delta = choice.if_contains("delta");
    const json::value *content
        = delta && delta->is_object() ? delta->as_object().if_contains("content") : nullptr;
    if (content && content->is_string()) {
        running.text.append(content->as_string().data(), content->as_string().size());
        ++running.tokens;
    }
    const json::value *reason = choice.if_contains("finish_reason");
    if (reason && reason->is_string())
        running.end.finishReason = std::string(reason->as_string());
}

// A stream is complete only with the engine's end marker; without this check, a connection that is closed
// cleanly in the middle of a response would look like a short response.
void EndpointLink::onDone(const std::shared_ptr<Running> &done, HttpFailure failure)
{
    Running &running = *done;
    running_.erase(running.id);
    const bool cut = running.model && !running.whole;
    const bool failed = running.repeatable && running.end.status >= 500;
    if (running.saidNotRun && failure == HttpFailure::None)
        return sink_(EndpointFailed{running.id, FailurePhase::SaidNotRun});
    if (!mayHaveArrived(failure))
        return sink_(EndpointFailed{running.id, FailurePhase::NotSent});
    if (failure == HttpFailure::ProgressTimeout)
        return sink_(EndpointFailed{running.id, FailurePhase::Silent});
    if (failure == HttpFailure::Interrupted || cut)
        return askAfterBreak(done);
    if (failed)
        return sink_(EndpointFailed{running.id, FailurePhase::AfterSend});
    if (!running.text.empty())
        sink_(EndpointData{running.id, running.text, 0});
    sink_(running.end);
}

// Probes whether the endpoint's process exited or only the connection failed. A request that crashes one
// endpoint after another must not be retried, but a request whose connection failed must be.
void EndpointLink::askAfterBreak(const std::shared_ptr<Running> &running)
{
    HttpCall call;
    call.address = running->address;
    call.request = {"GET", "/health", {}, {}};
    call.freshConnection = true;
    call.connectTimeout = BreakQuestionTimeout;
    call.progressTimeout = BreakQuestionTimeout;
    call.totalTimeout = BreakQuestionTimeout;
    HttpCallbacks callbacks;
    callbacks.onDone = [this, id = running->id](HttpFailure failure) {
        running_.erase(id);
        const bool ended = failure == HttpFailure::Refused;
        sink_(EndpointFailed{id, ended ? FailurePhase::Ended : FailurePhase::AfterSend});
    };
    running_[running->id] = running;
    running->call = http_.start(std::move(call), std::move(callbacks));
}

} // namespace cranberry
