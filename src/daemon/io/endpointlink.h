#pragma once

#include "daemon/messages.h"
#include "io/httpclient.h"

#include <map>

namespace cranberry {

/// Attempts at endpoints: model engines in the OpenAI chat-completions form, plain services as they are.
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

/// The body for an engine: streamed, and going on from `prefix` by the published continue_final_message
/// field.
std::string engineBody(const StartAttempt &attempt);

} // namespace cranberry
