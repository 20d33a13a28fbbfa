#pragma once

#include "daemon/messages.h"
#include "io/httpclient.h"

#include <map>

namespace cranberry {

/// Runs attempts at endpoints over HTTP. Model engines get OpenAI chat-completion requests; requests to plain
/// services are forwarded unchanged.
class EndpointLink
{
public:
    using Sink = std::function<void(Event)>;

    EndpointLink(HttpClient &http, Sink sink) : http_(http), sink_(std::move(sink)) { }

    void start(const StartAttempt &attempt);
    void cancel(AttemptId attempt);

private:
    struct Running;

    void onHead(Running &running, int status, const HttpHeaders &headers);
    void onData(Running &running, const char *data, size_t size);
    void onLine(Running &running, const std::string &line);
    void onDone(const std::shared_ptr<Running> &running, HttpFailure failure);
    void askAfterBreak(const std::shared_ptr<Running> &running);

    HttpClient &http_;
    Sink sink_;
    std::map<AttemptId, std::shared_ptr<Running>> running_;
};

/// Returns the request body for an engine. It asks for a streamed response; if the attempt has a `prefix`, it
/// makes the engine continue that text through the published continue_final_message field.
std::string engineBody(const StartAttempt &attempt);

} // namespace cranberry
