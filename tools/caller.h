#pragma once

#include "io/httpclient.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <set>

namespace cranberry {

/// A request that a caller wants answered.
struct Job {
    uint64_t number = 0;
    bool chat = true;
    std::string organisation;
    std::string service;
    std::string prompt; ///< Chat: the message. Plain: the body.
    std::string path; ///< Plain only.
    uint32_t expectedTokens = 0; ///< Chat: length of the stand-in's answer, to check it.
    bool nonIdempotent = false;
    std::string key; ///< Idempotency-Key; within a session a sequence number.
    std::string session;
    DurationMs deadline{60000};
};

enum class JobOutcome : uint8_t { Complete, Wrong, NotRun, Unknown, GaveUp };

struct JobResult {
    JobOutcome outcome = JobOutcome::GaveUp;
    std::string reason;
    std::string requestId;
    std::string text;
    uint32_t connections = 0;
    uint32_t resumes = 0;
    uint32_t redirectsFollowed = 0;
    uint32_t refusals = 0;
    DurationMs firstToken;
    DurationMs total;
    Address entry; ///< Entry of the last connection.
};

const char *toText(JobOutcome outcome);

/// Implements the caller described in docs/CALLERS.md: requests the entries, sends the job, follows
/// redirects, resumes after failed connections, retries after the requested delay, and checks the complete
/// answer.
class CallerClient : public std::enable_shared_from_this<CallerClient>
{
public:
    using CompletionHandler = std::function<void(const Job &, const JobResult &)>;

    CallerClient(boost::asio::io_context &io, HttpClient &http, std::vector<Address> entries, Job job,
                 CompletionHandler done);
    void start();

private:
    void submit();
    void resume(const Address &entry);
    void sendRequest(const Address &entry, HttpRequest request);
    void onHead(int status, const HttpHeaders &headers);
    void onData(const char *data, size_t size);
    void onEvent(const std::string &event);
    void onDone(HttpFailure failure);
    void onRefused();
    void verifyAnswer();
    void finish(JobOutcome outcome, const std::string &reason);
    void scheduleRetry(DurationMs wait, std::function<void()> action);
    const Address &nextEntry();
    int64_t nowMs() const;

    boost::asio::io_context &io_;
    HttpClient &http_;
    std::vector<Address> entries_;
    Job job_;
    CompletionHandler onComplete_;
    JobResult result_;
    Address entry_;
    size_t entryIndex_ = 0;
    uint32_t attempt_ = 1;
    uint32_t failedConnections_ = 0;
    int64_t startedAt_ = 0;
    bool finished_ = false;

    int status_ = 0;
    HttpHeaders headers_;
    std::string body_;
    std::string buffer_;
    std::string lastEventId_;
    std::string expectedDigest_;
    uint64_t expectedLength_ = 0;
    bool sawAnswerSummary_ = false;
    bool sawDone_ = false;
    std::string movedTo_;
    std::string errorBody_;
};

} // namespace cranberry
