#pragma once

#include "daemon/configchange.h"
#include "daemon/daemon.h"

#include <functional>
#include <map>
#include <set>

namespace harness {

using namespace cranberry;

/// A fault to put in when the step with this number is about to be taken.
enum class Fault : uint8_t {
    None,
    LoseMessage,
    DoubleMessage,
    DelayMessage,
    KillDaemon,
    FreezeShort, ///< Woken before the others suspect it.
    FreezeLong, ///< Woken long after the others gave it up.
    CutOff, ///< No messages to or from its peers for a while.
    DrainPlanned,
    ReclaimDaemon,
    ReclaimThenKill, ///< Dies in the middle of its notice.
    ReclaimSuccessorToo,
    ReclaimDomain, ///< All daemons and endpoints of one failure domain.
    ReclaimEndpoint,
    KillEndpoint,
    SilentEndpoint, ///< Its open connections go silent for good.
    PlatformDown,
    PlatformLosesAnswer,
    Count
};

const char *toText(Fault fault);
/// Faults that were announced, with time enough: nothing at all may be lost under them.
bool isAnnounced(Fault fault);

/// How a scenario is to be used in the matrix.
constexpr uint64_t EveryStep = 1;

enum class JobKind : uint8_t { Chat, LookUp, OnceSession, OnceBare, OnceUnmarked };

struct Job {
    JobKind kind = JobKind::Chat;
    TimeMs startsAt;
    size_t firstEntry = 0;
    std::string body; ///< Distinct for each job.
    uint32_t tokens = 20;
    bool doubled = false; ///< Sent to a second entry at the same moment with the same key.
};

enum class JobEnd : uint8_t { Open, Whole, Wrong, NotRun, Unknown };

struct JobState {
    Job job;
    JobEnd end = JobEnd::Open;
    RefusalReason reason = RefusalReason::NotReady;
    TimeMs endedAt;
    bool accepted = false;
};

struct Scenario {
    const char *name = "";
    std::vector<Job> jobs;
    std::vector<TimeMs> changes; ///< Operators' changes of configuration, each by another operator.
    DurationMs lasts{14000};
    uint64_t stride = EveryStep; ///< Faults are put in at each stride-th step.
};

/// What a run showed. Broken properties are told in words.
struct Report {
    uint64_t steps = 0;
    std::vector<JobState> jobs;
    std::vector<std::string> breaches;
    std::map<std::string, uint32_t> runs; ///< Executions of each body at the endpoints.
    DurationMs lastWorkAfterNotice; ///< Latest new work at a leaving endpoint.
    uint64_t generatedTokens = 0; ///< By all endpoints together.
};

/// Runs the scenario in virtual time on eight cores of four failure domains, with fakes for callers,
/// endpoints and the platform. `fault` is put in at step `at`: the at-th delivered message that is neither a
/// tick nor gossip.
Report run(const Scenario &scenario, Fault fault, uint64_t at, uint64_t seed);

/// Two faults in one run.
struct FaultAt {
    Fault fault = Fault::None;
    uint64_t at = 0;
};
Report run(const Scenario &scenario, const std::vector<FaultAt> &faults, uint64_t seed);

const std::vector<Scenario> &scenarios();

} // namespace harness
