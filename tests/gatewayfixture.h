#pragma once

#include "fakestore.h"
#include "gateway/gateway.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace cranberry {

/// Keeps the decisions, so that a test can ask why.
class RecordingLog : public DecisionLog
{
public:
    void write(LogPriority weight, const char *event, boost::json::object fields) override
    {
        fields["event"] = event;
        lines.push_back(std::move(fields));
        priorities.push_back(weight);
    }
    size_t count(const std::string &event) const;

    /// Returns the priority of the newest line of this event.
    LogPriority priorityOf(const std::string &event) const;

    std::vector<boost::json::object> lines;
    std::vector<LogPriority> priorities; ///< Of each of `lines`.
};

/// Carries out a daemon's draws of retries at once.
void answerDraws(Gateway &gateway, FakeStore &store, TimeMs now);

/// A gateway with one model service (three engines) and one plain service (two endpoints), in virtual time.
///
/// Routes: /review/ streams and can be resumed, /draft/ streams and can't, /order/ is not idempotent,
/// /lookup/ is. The key "key-a" belongs to organisation "a".
class GatewayFixture
{
public:
    GatewayFixture();
    /// A daemon that has just started: it has not read the store yet.
    void startAgain();

    std::shared_ptr<ServingConfiguration> makeConfiguration(uint64_t version) const;
    void configure(const std::shared_ptr<ServingConfiguration> &configuration);
    void listEndpoints();
    /// Lists this daemon as the only one that serves, and lets so much time pass that it has its share of the
    /// retries.
    void serveForWindow();
    /// Lets time pass: confirms configuration and endpoints each half second, as the store does, unless cut
    /// off.
    void pass(DurationMs duration);

    CallerId request(const std::string &path, const std::string &key = "key-a");
    CallerId request(const CallerRequest &request);
    CallerRequest makeRequest(const std::string &path) const;

    // What endpoints do with the newest attempt, or with a given one.
    void head(AttemptId attempt, int status, bool eventStream, bool notExecuted = false);
    void events(AttemptId attempt, uint64_t first, uint64_t last);
    void data(AttemptId attempt, const std::string &bytes);
    void end(AttemptId attempt);
    void broken(AttemptId attempt, bool sent = true);
    /// Replies to the newest call to copy a generation's KV cache, or to a given one.
    void replyToMove(MigrationOutcome outcome, const std::string &handle = "",
                     std::optional<uint64_t> eventsMade = std::nullopt);
    void replyTo(const MigrateGeneration &call, MigrationOutcome outcome, const std::string &handle = "",
                 std::optional<uint64_t> eventsMade = std::nullopt);
    /// It says so when it is asked after a break: nobody listens there.
    void endpointEnded(const EndpointId &endpoint);

    // What came out.
    std::vector<SendAttempt> sent;
    std::vector<AttemptId> cancelled;
    std::vector<MigrateGeneration> moves;
    std::vector<ReleaseKvCache> releases;
    std::vector<ProbeEngine> probes;
    std::vector<Address> closed; ///< Addresses to which the idle connections were closed.
    std::vector<std::pair<Address, QuotaRequest>> asks;
    std::map<CallerId, AnswerCaller> answers;
    std::map<CallerId, ResponseFraming> streamFramings;
    std::map<CallerId, std::string> streamed;
    std::map<CallerId, bool> streamEnds; ///< True: whole.

    const SendAttempt &lastSent() const { return sent.back(); }
    int statusOf(CallerId caller) const;
    std::string headerOfAnswer(CallerId caller, const std::string &name) const;
    void drainActions();

    RecordingLog log;
    TimeMs now{100'000};
    Gateway gateway;
    std::vector<EndpointEntry> endpoints;
    std::shared_ptr<ServingConfiguration> configuration;
    bool storeReachable = true;
    /// Outcome of probes of the paths to endpoints; those to other ones stay open.
    std::map<EndpointId, ConnectFailure> pathOutcomes;
    FakeStore store{1};

private:
    uint64_t nextCaller_ = 1;
};

} // namespace cranberry
