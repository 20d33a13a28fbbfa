#pragma once

#include "daemon/daemon.h"

#include <set>
#include <string>
#include <vector>

namespace cranberry {

/// A single daemon core without peers, with simulated callers, and endpoints that complete or fail as the
/// test requests.
class OneDaemon
{
public:
    explicit OneDaemon(DurationMs drainLimit = DurationMs{120000}, size_t endpoints = 8);

    CallerId submit(const std::string &body, bool idempotent = true);
    void drain(std::optional<DurationMs> notice) { step(DrainRequested{notice}); }
    void pass(DurationMs duration);
    /// Delivers a handover of a request from another daemon.
    void takeOver(const std::string &body);
    /// Advances the time by `duration` and fails up to `maxFailures` attempts for `body` with `phase`. The
    /// other attempts stay open.
    void failAttempts(const std::string &body, size_t maxFailures, DurationMs duration);
    void answerAll();

    std::map<CallerId, Refusal> refusals;
    std::set<CallerId> answered;
    bool stopped = false; ///< The daemon has asked for the end of its process.
    size_t failedAttempts = 0; ///< Number of attempts failed so far.
    std::vector<EndpointName> failedEndpoints; ///< Where they ran, in order.
    FailurePhase phase = FailurePhase::EndpointExited;

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
