#pragma once

#include "daemon/messages.h"
#include "io/httpclient.h"

#include <map>

namespace cranberry {

/// Runs attempts at endpoints over HTTP. Model engines get OpenAI chat-completion requests; requests to plain
/// services are forwarded unchanged.
///
/// An attempt's text is kept until its request is answered. Its bytes are of the process's budget, and an
/// attempt for whose text there is no room fails: an endpoint may answer without end.
class EndpointLink
{
public:
    using Sink = std::function<void(Event)>;

    EndpointLink(HttpClient &http, ByteBudgetPtr bytes, Sink sink)
        : http_(http), bytes_(std::move(bytes)), sink_(std::move(sink))
    { }

    void start(const StartAttempt &attempt);
    void cancel(AttemptId attempt);
    /// Releases the claims of attempts that have ended, once their text is counted where it is kept.
    void releaseEnded() { ended_.clear(); }
    /// Returns the number of attempts that failed for lack of room.
    uint64_t noRoom() const { return noRoom_; }

private:
    struct ActiveAttempt;
    using ActiveAttemptPtr = std::shared_ptr<ActiveAttempt>;

    void onHead(ActiveAttempt &active, int status, const HttpHeaders &headers);
    void onData(const ActiveAttemptPtr &active, const char *data, size_t size);
    void onModelData(ActiveAttempt &active, const char *data, size_t size);
    void giveUp(const ActiveAttempt &active);
    void end(AttemptId attempt);
    /// Returns false if the line is damaged or says that the engine failed.
    bool onLine(ActiveAttempt &active, std::string_view line);
    void passText(ActiveAttempt &active);
    void onUnreadable(const ActiveAttempt &active);
    void cancelAsFailed(AttemptId attempt);
    void onDone(const ActiveAttemptPtr &active, HttpFailure failure);
    void probeEndpoint(const ActiveAttemptPtr &active, bool mayBeWhole);
    void pass(ActiveAttempt &active);

    HttpClient &http_;
    ByteBudgetPtr bytes_;
    Sink sink_;
    std::map<AttemptId, ActiveAttemptPtr> activeAttempts_;
    std::vector<ByteClaim> ended_;
    uint64_t noRoom_ = 0;
};

/// Returns the request body for an engine. It asks for a streamed response; if the attempt has a `prefix`, it
/// makes the engine continue that text through the published continue_final_message field.
std::string engineBody(const StartAttempt &attempt);

} // namespace cranberry
