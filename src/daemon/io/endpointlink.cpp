#include "daemon/io/endpointlink.h"

#include "common/fields.h"
#include "daemon/io/logging.h"
#include "io/httpserver.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace json = boost::json;

namespace cranberry {

namespace {

/// An endpoint whose process runs accepts a connection within milliseconds. An endpoint on an unresponsive
/// instance does not count as exited, and its callers should not wait for the probe.
constexpr DurationMs HealthProbeTimeout{200};
/// Bytes that are held for each byte of a text: a string grows to twice its size.
constexpr size_t TextCopies = 2;
/// The core keeps a stream's text, and so does a caller that gets it as a whole.
constexpr size_t StreamCopies = 2 * TextCopies;

} // namespace

struct EndpointLink::ActiveAttempt {
    AttemptId id;
    Address address;
    uint64_t call = 0;
    bool model = false;
    std::string method; ///< Of the request.
    EndpointEnd end;
    std::string buffer; ///< The line that is not complete yet.
    std::string text; ///< Collected, and not passed on yet.
    size_t passedOn = 0; ///< Bytes of the text that the core has, with those of earlier attempts.
    size_t resentBytes = 0; ///< Of the request's body, if it holds text of earlier attempts.
    ByteClaim claim; ///< For all of these.
    uint32_t tokens = 0; ///< Number of tokens in `text`.
    bool sawEndMarker = false; ///< The engine's end marker, [DONE], was received.
    bool reportedNotRun = false;
    bool retryable = false;

    size_t copies() const { return model ? StreamCopies : TextCopies; }
    size_t keptBytes() const { return copies() * (passedOn + text.size() + buffer.size()) + resentBytes; }
};

std::string engineBody(const StartAttempt &attempt)
{
    json::error_code code;
    json::value body = json::parse(attempt.spec->body.text(), code);
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
    const ActiveAttemptPtr active = std::make_shared<ActiveAttempt>();
    active->id = attempt.attempt;
    active->address = attempt.address;
    active->end.attempt = attempt.attempt;
    active->model = attempt.kind == ServiceKind::Model;
    active->passedOn = attempt.prefix.size();
    active->claim = ByteClaim(bytes_);
    active->method = attempt.spec->method;
    active->retryable = attempt.spec->idempotent;
    HttpCall call;
    call.address = attempt.address;
    call.progressTimeout = attempt.progressTimeout;
    call.freshConnection = !attempt.spec->idempotent;
    if (active->model)
        call.request
            = {"POST", "/v1/chat/completions", {{"Content-Type", "application/json"}}, engineBody(attempt)};
    else
        call.request = {attempt.spec->method,
                        attempt.spec->path,
                        {{"Content-Type", "application/json"}},
                        attempt.spec->body};
    if (!attempt.prefix.empty()) {
        active->resentBytes = call.request.body.size();
        active->claim.set(active->keptBytes(), HttpServer::now());
    }
    HttpCallbacks callbacks;
    callbacks.onHead
        = [this, active](int status, const HttpHeaders &headers) { onHead(*active, status, headers); };
    // Holds the attempt, which may end here, and its callbacks with it.
    callbacks.onData
        = [this, active](const char *data, size_t size) { onData(ActiveAttemptPtr(active), data, size); };
    callbacks.onDone = [this, active](HttpFailure failure) { onDone(active, failure); };
    activeAttempts_[attempt.attempt] = active;
    active->call = http_.start(std::move(call), std::move(callbacks));
}

void EndpointLink::cancel(AttemptId attempt)
{
    auto found = activeAttempts_.find(attempt);
    if (found == activeAttempts_.end())
        return;
    http_.cancel(found->second->call);
    end(attempt);
}

// What the core keeps of the text is counted a few ticks later.
void EndpointLink::end(AttemptId attempt)
{
    const auto found = activeAttempts_.find(attempt);
    ended_.push_back(std::move(found->second->claim));
    activeAttempts_.erase(found);
}

void EndpointLink::onHead(ActiveAttempt &active, int status, const HttpHeaders &headers)
{
    active.end.status = status;
    active.end.contentType = headerOf(headers, "Content-Type");
    active.reportedNotRun = status == 503 && headerOf(headers, "X-Not-Run") == "true";
    if (status != 200)
        active.model = false; // Error bodies are passed on unchanged.
    // A stream of an engine has an end marker.
    active.end.isUnframed = !active.model && endsWithConnection(active.method, status, headers);
}

void EndpointLink::onData(const ActiveAttemptPtr &active, const char *data, size_t size)
{
    if (active->reportedNotRun)
        return;
    if (!active->claim.growTo(active->keptBytes() + active->copies() * size, nullptr, HttpServer::now()))
        return giveUp(*active);
    if (active->model)
        onModelData(*active, data, size);
    else
        active->text.append(data, size);
}

void EndpointLink::giveUp(const ActiveAttempt &active)
{
    ++noRoom_;
    logChange("answerTooLarge", "endpoint={} bytes={}", toText(active.address), active.claim.bytes());
    cancelAsFailed(active.id);
}

void EndpointLink::cancelAsFailed(AttemptId attempt)
{
    cancel(attempt);
    sink_(EndpointFailed{attempt, FailurePhase::AfterSend});
}

void EndpointLink::onModelData(ActiveAttempt &active, const char *data, size_t size)
{
    active.buffer.append(data, size);
    size_t start = 0;
    bool isReadable = true;
    for (size_t end = active.buffer.find('\n'); isReadable && end != std::string::npos;
         end = active.buffer.find('\n', start)) {
        isReadable = onLine(active, std::string_view(active.buffer).substr(start, end - start));
        start = end + 1;
    }
    active.buffer.erase(0, start);
    passText(active);
    if (!isReadable && activeAttempts_.contains(active.id))
        onUnreadable(active);
}

void EndpointLink::passText(ActiveAttempt &active)
{
    if (active.text.empty())
        return;
    active.passedOn += active.text.size();
    EndpointData event{active.id, std::move(active.text), active.tokens};
    active.text.clear();
    active.tokens = 0;
    sink_(std::move(event));
}

// What the line would have added is missing, so what follows does not continue the text.
void EndpointLink::onUnreadable(const ActiveAttempt &active)
{
    logChange("unreadableEvent", "endpoint={} bytes={}", toText(active.address), active.passedOn);
    cancelAsFailed(active.id);
}

bool EndpointLink::onLine(ActiveAttempt &active, std::string_view line)
{
    constexpr std::string_view DataField = "data:";
    if (!line.starts_with(DataField))
        return true;
    line.remove_prefix(DataField.size());
    line.remove_prefix(std::min(line.find_first_not_of(" \r"), line.size()));
    if (line.starts_with("[DONE]"))
        active.sawEndMarker = true;
    if (line.empty() || active.sawEndMarker)
        return true;
    constexpr size_t ScratchBytes = 4096;
    std::array<unsigned char, ScratchBytes> scratch;
    json::monotonic_resource memory(scratch.data(), scratch.size());
    json::error_code code;
    const json::value chunk = json::parse(json::string_view(line), code, &memory);
    if (code || !chunk.is_object() || chunk.as_object().contains("error"))
        return false;
    const json::value *usage = chunk.as_object().if_contains("usage");
    if (usage && usage->is_object()) {
        const json::value *details = usage->as_object().if_contains("prompt_tokens_details");
        const json::value *cached
            = details && details->is_object() ? details->as_object().if_contains("cached_tokens") : nullptr;
        active.end.cachedTokens = wholeNumber<uint32_t>(cached).value_or(active.end.cachedTokens);
    }
    const json::value *choices = chunk.as_object().if_contains("choices");
    if (!choices || !choices->is_array() || choices->as_array().empty()
        || !choices->as_array().front().is_object())
        return true;
    const json::object &choice = choices->as_array().front().as_object();
    const json::value *delta = choice.if_contains("delta");
    const json::value *content
        = delta && delta->is_object() ? delta->as_object().if_contains("content") : nullptr;
    if (content && content->is_string()) {
        active.text.append(content->as_string().data(), content->as_string().size());
        ++active.tokens;
    }
    const json::value *reason = choice.if_contains("finish_reason");
    if (reason && reason->is_string())
        active.end.finishReason = std::string(reason->as_string());
    return true;
}

// A stream is complete only with the engine's end marker; without this check, a connection that is closed
// cleanly in the middle of a response would look like a short response.
void EndpointLink::onDone(const ActiveAttemptPtr &finished, HttpFailure failure)
{
    ActiveAttempt &active = *finished;
    end(active.id);
    const bool truncated = active.model && !active.sawEndMarker;
    const bool serverError = active.retryable && active.end.status >= 500;
    if (active.reportedNotRun && failure == HttpFailure::None)
        return sink_(EndpointFailed{active.id, FailurePhase::SaidNotRun});
    if (!mayHaveArrived(failure))
        return sink_(EndpointFailed{active.id, FailurePhase::NotSent});
    if (failure == HttpFailure::ProgressTimeout)
        return sink_(EndpointFailed{active.id, FailurePhase::Silent});
    if (failure == HttpFailure::Interrupted || truncated)
        return probeEndpoint(finished, false);
    if (serverError)
        return sink_(EndpointFailed{active.id, FailurePhase::AfterSend});
    if (active.end.isUnframed)
        return probeEndpoint(finished, true);
    pass(active);
}

void EndpointLink::pass(ActiveAttempt &active)
{
    if (!active.text.empty())
        sink_(EndpointData{active.id, std::move(active.text), 0});
    sink_(active.end);
}

// Probes whether the endpoint's process exited or only the connection failed. A request that crashes one
// endpoint after another must not be retried, but a request whose connection failed must be.
//
// A response without framing ends with its connection, as it also does when the process exits. If that runs,
// it is passed on as it came.
void EndpointLink::probeEndpoint(const ActiveAttemptPtr &active, bool mayBeWhole)
{
    HttpCall call;
    call.address = active->address;
    call.request = {"GET", "/health", {}, {}};
    call.freshConnection = true;
    call.connectTimeout = HealthProbeTimeout;
    call.progressTimeout = HealthProbeTimeout;
    call.totalTimeout = HealthProbeTimeout;
    HttpCallbacks callbacks;
    callbacks.onDone = [this, active, mayBeWhole](HttpFailure failure) {
        end(active->id);
        if (mayBeWhole && failure == HttpFailure::None)
            return pass(*active);
        const bool exited = failure == HttpFailure::Refused;
        sink_(EndpointFailed{active->id, exited ? FailurePhase::EndpointExited : FailurePhase::AfterSend});
    };
    activeAttempts_[active->id] = active;
    active->call = http_.start(std::move(call), std::move(callbacks));
}

} // namespace cranberry
