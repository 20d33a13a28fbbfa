// The daemon with the project's own interface: a request that ends each endpoint that begins to run it.

#include "daemon.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace cranberry;

namespace {

constexpr size_t EndpointCount = 8;

std::string configurationText()
{
    std::string endpoints;
    for (size_t i = 0; i < EndpointCount; ++i)
        endpoints += fmt::format(
            R"({}{{"name":"endpoint-{}","instance":"instance-{}","failureDomain":"leioa","address":"10.0.0.1:{}","slots":8}})",
            i == 0 ? "" : ",", i, i, i + 1);
    return fmt::format(
        R"({{"failureDomains":["leioa"],"services":[{{"name":"redactor","kind":"model",)"
        R"("progressTimeoutMs":800,"endpoints":[{}]}}],"organisations":[{{"name":"diputacion"}}]}})",
        endpoints);
}

/// One daemon alone, its callers, and endpoints that end under what they are sent.
class OneDaemon
{
public:
    OneDaemon() : daemon_(identity())
    {
        step(Tick{});
        step(ConfigurationSeen{{1}, configurationText()});
    }

    CallerId submit(const std::string &body)
    {
        CallerSubmit submit;
        submit.caller = {++callers_};
        submit.spec.organisation = {"diputacion"};
        submit.spec.service = {"redactor"};
        submit.spec.body = body;
        submit.spec.prompt = body;
        submit.spec.maxTokens = 20;
        step(submit);
        return submit.caller;
    }
    /// Lets time pass; so many attempts for `body`, at most, end their endpoint. The others go on.
    void endAttempts(const std::string &body, size_t most, DurationMs duration)
    {
        const size_t before = ends;
        for (const TimeMs until = now_ + duration; now_ < until;) {
            now_ = now_ + TickInterval;
            step(Tick{});
            for (const StartAttempt &attempt : std::exchange(started_, {})) {
                if (attempt.spec->body != body || ends - before == most) {
                    started_.push_back(attempt);
                    continue;
                }
                ++ends;
                step(EndpointFailed{attempt.attempt, phase});
            }
        }
    }
    void answerAll()
    {
        for (const StartAttempt &attempt : std::exchange(started_, {})) {
            EndpointEnd end;
            end.attempt = attempt.attempt;
            end.status = 200;
            step(end);
        }
    }

    std::map<CallerId, Refusal> refusals;
    std::set<CallerId> answered;
    size_t ends = 0;
    FailurePhase phase = FailurePhase::Ended;

private:
    static Identity identity()
    {
        Identity out;
        out.member.incarnation = {7};
        out.member.instance = {"entry-0"};
        out.member.failureDomain = {"leioa"};
        return out;
    }

    void step(const Event &event)
    {
        for (const Action &action : daemon_.step(now_, event)) {
            if (const StartAttempt *attempt = std::get_if<StartAttempt>(&action))
                started_.push_back(*attempt);
            else if (const CallerRefused *refused = std::get_if<CallerRefused>(&action))
                refusals[refused->caller] = refused->refusal;
            else if (const CallerEnd *end = std::get_if<CallerEnd>(&action))
                answered.insert(end->caller);
        }
    }

    TimeMs now_{100'000};
    Daemon daemon_;
    std::vector<StartAttempt> started_;
    uint64_t callers_ = 0;
};

} // namespace

TEST_CASE(
    "a request that ended three endpoints is sent to no further one, and its callers know when to return")
{
    // Each endpoint that begins to run the request ends. It was repeated at six, and each new try of its
    // caller took six more. Others that ask meanwhile are served.
    OneDaemon daemon;
    const CallerId first = daemon.submit("bad");
    daemon.endAttempts("bad", 100, {10000});
    CHECK(daemon.ends == 3);
    REQUIRE(daemon.refusals.contains(first));
    CHECK(daemon.refusals[first].outcome == Outcome::Unknown);
    CHECK(daemon.refusals[first].reason == RefusalReason::RequestQuarantined);
    CHECK(daemon.refusals[first].retryAfter.count > 0);
    const CallerId again = daemon.submit("bad");
    daemon.endAttempts("bad", 100, {5000});
    CHECK(daemon.ends == 3);
    REQUIRE(daemon.refusals.contains(again));
    CHECK(daemon.refusals[again].outcome == Outcome::NotRun);
    CHECK(daemon.refusals[again].retryAfter.count > 0);
    const CallerId other = daemon.submit("good");
    daemon.answerAll();
    CHECK(daemon.answered.contains(other));
}

TEST_CASE("a request whose endpoints end by themselves is answered")
{
    // Two endpoints end, one after the other, while they have the request; the third one answers it. The two
    // ends must not count against its next try, which meets one more.
    OneDaemon daemon;
    const CallerId first = daemon.submit("plain");
    daemon.endAttempts("plain", 2, {6000});
    CHECK(daemon.ends == 2);
    daemon.answerAll();
    CHECK(daemon.answered.contains(first));
    const CallerId second = daemon.submit("plain");
    daemon.endAttempts("plain", 1, {6000});
    CHECK(daemon.ends == 3);
    daemon.answerAll();
    CHECK(daemon.answered.contains(second));
}

TEST_CASE("connections that break are no ends")
{
    // The endpoints run on, as when a part of the network loses connections: the request is repeated as often
    // as before, and a later try of it is taken.
    OneDaemon daemon;
    daemon.phase = FailurePhase::AfterSend;
    const CallerId first = daemon.submit("plain");
    daemon.endAttempts("plain", 100, {20000});
    CHECK(daemon.ends == 6);
    CHECK(daemon.refusals[first].reason == RefusalReason::RetriesExhausted);
    const CallerId second = daemon.submit("plain");
    daemon.answerAll();
    CHECK(daemon.answered.contains(second));
}
