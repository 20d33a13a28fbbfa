#include "caller.h"

#include "daemon/io/jsonread.h"
#include "tokens.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace json = boost::json;

namespace cranberry {

namespace {

constexpr uint32_t MaxRetries = 40;
constexpr DurationMs ReconnectDelay{150};

json::value parsed(const std::string &text)
{
    json::value value = parseOrNull(text);
    return value.is_object() ? value : json::value(json::object());
}

Address addressOf(const std::string &location)
{
    constexpr size_t SchemeSize = 7; // "http://"
    const std::string rest = location.size() > SchemeSize ? location.substr(SchemeSize) : "";
    return addressFromText(rest.substr(0, rest.find('/'))).value_or(Address{});
}

} // namespace

const char *toText(JobOutcome outcome)
{
    constexpr std::array<const char *, 5> Names = {"whole", "wrong", "notRun", "unknown", "gaveUp"};
    return Names[static_cast<size_t>(outcome)];
}

CallerClient::CallerClient(boost::asio::io_context &io, HttpClient &http, std::vector<Address> entries,
                           Job job, CompletionHandler done)
    : io_(io), http_(http), entries_(std::move(entries)), job_(std::move(job)), onComplete_(std::move(done))
{ }

int64_t CallerClient::nowMs() const
{
    const std::chrono::steady_clock::duration now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void CallerClient::start()
{
    startedAt_ = nowMs();
    entryIndex_ = job_.number % entries_.size();
    submit();
}

const Address &CallerClient::nextEntry()
{
    return entries_[entryIndex_++ % entries_.size()];
}

void CallerClient::submit()
{
    HttpRequest request;
    request.method = "POST";
    request.headers = {{"Content-Type", "application/json"},
                       {"X-Organisation", job_.organisation},
                       {"X-Deadline-Ms", std::to_string(job_.deadline.count)},
                       {"X-Attempt", std::to_string(attempt_)}};
    if (!job_.key.empty())
        request.headers.push_back({"Idempotency-Key", job_.key});
    if (!job_.session.empty())
        request.headers.push_back({"X-Session", job_.session});
    if (job_.nonIdempotent)
        request.headers.push_back({"X-Non-Idempotent", "true"});
    if (job_.chat) {
        request.target = "/v1/chat/completions";
        const json::object message{{"role", "user"}, {"content", job_.prompt}};
        request.body = json::serialize(
            json::object{{"model", job_.service}, {"stream", true}, {"messages", json::array{message}}});
    } else {
        request.target = "/v1/services/" + job_.service + job_.path;
        request.body = job_.prompt;
    }
    sendRequest(nextEntry(), std::move(request));
}

void CallerClient::resume(const Address &entry)
{
    ++result_.resumes;
    HttpRequest request;
    request.target = "/v1/requests/" + result_.requestId;
    if (job_.chat)
        request.headers = {{"Accept", "text/event-stream"}, {"Last-Event-ID", lastEventId_}};
    sendRequest(entry, std::move(request));
}

void CallerClient::sendRequest(const Address &entry, HttpRequest request)
{
    ++result_.connections;
    entry_ = entry;
    status_ = 0;
    body_.clear();
    buffer_.clear();
    movedTo_.clear();
    errorBody_.clear();
    sawAnswerSummary_ = false;
    sawDone_ = false;
    HttpCall call;
    call.address = entry;
    call.request = std::move(request);
    call.progressTimeout = {job_.chat ? 4000 : 12000};
    call.freshConnection = true;
    HttpCallbacks callbacks;
    callbacks.onHead = [self = shared_from_this()](int status, const HttpHeaders &headers) {
        self->onHead(status, headers);
    };
    callbacks.onData
        = [self = shared_from_this()](const char *data, size_t size) { self->onData(data, size); };
    callbacks.onDone = [self = shared_from_this()](HttpFailure failure) { self->onDone(failure); };
    http_.start(std::move(call), std::move(callbacks));
}

void CallerClient::onHead(int status, const HttpHeaders &headers)
{
    status_ = status;
    headers_ = headers;
    const std::string id = headerOf(headers, "X-Request-Id");
    if (!id.empty())
        result_.requestId = id;
}

void CallerClient::onData(const char *data, size_t size)
{
    const bool stream = headerOf(headers_, "Content-Type").starts_with("text/event-stream");
    if (!stream) {
        body_.append(data, size);
        return;
    }
    buffer_.append(data, size);
    for (size_t end = buffer_.find("\n\n"); end != std::string::npos; end = buffer_.find("\n\n")) {
        const std::string event = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        onEvent(event);
    }
}

// Truncates the received text to the event's offset, then appends: a resumed stream may repeat text.
void CallerClient::onEvent(const std::string &event)
{
    const size_t data = event.find("data: ");
    if (data == std::string::npos)
        return;
    const std::string payload = event.substr(data + 6);
    if (payload == "[DONE]") {
        sawDone_ = true;
        return;
    }
    const json::value value = parsed(payload);
    if (value.as_object().contains("moved")) {
        movedTo_ = stringField(value.at("moved"), "location");
        return;
    }
    if (value.as_object().contains("error")) {
        errorBody_ = json::serialize(value.at("error"));
        return;
    }
    if (value.as_object().contains("answer")) {
        expectedDigest_ = stringField(value.at("answer"), "digest");
        expectedLength_ = numberField(value.at("answer"), "length");
        sawAnswerSummary_ = true;
        return;
    }
    if (result_.text.empty() && result_.firstToken.count == 0)
        result_.firstToken = {std::max<int64_t>(1, nowMs() - startedAt_)};
    const uint64_t offset = numberField(value, "offset");
    result_.text.resize(std::min<size_t>(result_.text.size(), offset));
    result_.text += stringField(value.at("choices").as_array().front().at("delta"), "content");
    if (event.starts_with("id: "))
        lastEventId_ = event.substr(4, event.find('\n') - 4);
}

void CallerClient::onDone(HttpFailure failure)
{
    if (finished_)
        return;
    const bool hasId = !result_.requestId.empty();

    // Step 1: the request was redirected, or its stream was moved to another entry.
    if (failure == HttpFailure::None && (status_ == 307 || status_ == 303 || !movedTo_.empty())) {
        ++result_.redirectsFollowed;
        const Address target = addressOf(movedTo_.empty() ? headerOf(headers_, "Location") : movedTo_);
        if (status_ == 307)
            return scheduleRetry({1}, [self = shared_from_this()] { self->submit(); });
        return scheduleRetry({1}, [self = shared_from_this(), target] { self->resume(target); });
    }
    // Step 2: a final error, or the complete answer.
    if (failure == HttpFailure::None && (status_ >= 400 || !errorBody_.empty()))
        return onRefused();
    if (failure == HttpFailure::None && status_ == 200 && (!job_.chat || sawDone_))
        return verifyAnswer();
    // Step 3: the connection failed or timed out. Resumes by request id if there is one, otherwise sends the
    // job again if a retry is safe.
    if (++failedConnections_ > MaxRetries)
        return finish(JobOutcome::GaveUp, "connections");
    if (hasId)
        return scheduleRetry(ReconnectDelay,
                             [self = shared_from_this()] { self->resume(self->nextEntry()); });
    if (job_.nonIdempotent && job_.key.empty() && mayHaveArrived(failure))
        return finish(JobOutcome::Unknown, "connectionBrokenWithoutKey");
    scheduleRetry(ReconnectDelay, [self = shared_from_this()] { self->submit(); });
}

void CallerClient::onRefused()
{
    const json::value refusal = parsed(errorBody_.empty() ? body_ : errorBody_);
    const std::string outcome = stringField(refusal, "outcome");
    const std::string reason = stringField(refusal, "reason");
    ++result_.refusals;
    if (outcome != "notRun")
        return finish(JobOutcome::Unknown, reason);
    const int64_t wait = static_cast<int64_t>(numberField(refusal, "retryAfterMs"));
    const bool inTime = nowMs() - startedAt_ + wait < job_.deadline.count;
    if (wait <= 0 || !inTime || result_.refusals > MaxRetries)
        return finish(JobOutcome::NotRun, reason);
    ++attempt_;
    scheduleRetry({wait}, [self = shared_from_this()] { self->submit(); });
}

void CallerClient::verifyAnswer()
{
    if (!job_.chat) {
        result_.text = body_;
        expectedDigest_ = headerOf(headers_, "X-Answer-Digest");
        expectedLength_ = std::strtoull(headerOf(headers_, "X-Answer-Length").c_str(), nullptr, 10);
        sawAnswerSummary_ = true;
    }
    const std::string digest = fmt::format("{:016x}", digestOf(result_.text));
    if (!sawAnswerSummary_ || expectedLength_ != result_.text.size() || digest != expectedDigest_)
        return finish(JobOutcome::Wrong, "digest");
    const bool isExpectedAnswer = job_.chat
        ? result_.text == standin::expectedAnswer(job_.prompt + "\n", job_.expectedTokens)
        : result_.text.find(job_.prompt) != std::string::npos;
    finish(isExpectedAnswer ? JobOutcome::Complete : JobOutcome::Wrong,
           isExpectedAnswer ? "" : "anotherAnswer");
}

void CallerClient::finish(JobOutcome outcome, const std::string &reason)
{
    finished_ = true;
    result_.outcome = outcome;
    result_.reason = reason;
    result_.entry = entry_;
    result_.total = {nowMs() - startedAt_};
    onComplete_(job_, result_);
}

void CallerClient::scheduleRetry(DurationMs wait, std::function<void()> action)
{
    if (nowMs() - startedAt_ > job_.deadline.count + 5000)
        return finish(JobOutcome::GaveUp, "deadline");
    std::shared_ptr<boost::asio::steady_timer> timer
        = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(wait.count));
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &) { action(); });
}

} // namespace cranberry
