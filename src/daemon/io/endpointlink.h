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
    struct ActiveAttempt;

    void onHead(ActiveAttempt &active, int status, const HttpHeaders &headers);
    void onData(ActiveAttempt &active, const char *data, size_t size);
    void onLine(ActiveAttempt &active, const std::string &line);
    void onDone(const std::shared_ptr<ActiveAttempt> &active, HttpFailure failure);
    void probeEndpoint(const std::shared_ptr<ActiveAttempt> &active);

    HttpClient &http_;
    Sink sink_;
    std::map<AttemptId, std::shared_ptr<ActiveAttempt>> activeAttempts_;
};

/// Returns the request body for an engine. It asks for a streamed response; if the attempt has a `prefix`, it
/// makes the engine continue that text through the published continue_final_message field.
std::string engineBody(const StartAttempt &attempt);

} // namespace cranberry
