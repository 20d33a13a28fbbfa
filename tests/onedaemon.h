#pragma once

#include "daemon/daemon.h"

#include <set>
#include <string>
#include <vector>

namespace cranberry {

/// One daemon with the project's own interface, alone, with its callers and endpoints that answer or fail by
/// order.
class OneDaemon
{
public:
    OneDaemon();

    CallerId submit(const std::string &body);
    /// Another daemon hands a request over to this one.
    void takeOver(const std::string &body);
    /// Lets time pass; so many attempts for `body`, at most, fail as `phase` says. The others go on.
    void failAttempts(const std::string &body, size_t most, DurationMs duration);
    void answerAll();

    std::map<CallerId, Refusal> refusals;
    std::set<CallerId> answered;
    size_t failed = 0; ///< Attempts.
    FailurePhase phase = FailurePhase::Ended;

private:
    static RequestSpec specOf(const std::string &body);
    void step(const Event &event);

    TimeMs now_{100'000};
    Daemon daemon_;
    std::vector<StartAttempt> started_;
    uint64_t callers_ = 0;
    uint64_t copies_ = 0;
};

} // namespace cranberry
