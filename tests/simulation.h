#pragma once

#include "harness.h"

#include <memory>

namespace harness {

constexpr size_t DaemonCount = 8;
constexpr std::array<const char *, 4> Domains = {"leioa", "zamudio", "deusto", "barakaldo"};
constexpr DurationMs Hop{1};
constexpr DurationMs Notice{2000};
constexpr DurationMs TokenEvery{10};
constexpr DurationMs PlainWork{15};
constexpr DurationMs StopGrace{50};
constexpr DurationMs CallerSilence{1500};
constexpr DurationMs CallerPause{60};
constexpr DurationMs LeavingLimit{2000};
constexpr uint32_t CallerTries = 60;
constexpr DurationMs Deadline{9000};

struct FakeEndpoint {
    Endpoint endpoint;
    bool up = true;
    std::optional<TimeMs> leavingSince;
};

/// One attempt that an endpoint works on.
struct Work {
    size_t daemon = 0;
    Incarnation life;
    StartAttempt start;
    size_t endpoint = 0;
    uint32_t next = 0;
    uint32_t run = 0;
    bool open = true;
    bool silent = false;
};

using WorkPtr = std::shared_ptr<Work>;

struct Node {
    std::unique_ptr<Daemon> daemon;
    MemberInfo info;
    bool up = true;
    bool stopped = false; ///< Takes no connections; ends a moment later.
    bool ended = false;
    TimeMs frozenUntil;
    TimeMs cutUntil;
    std::optional<TimeMs> reclaimedAt;
    std::vector<Event> inbox; ///< What arrives while frozen.
    Revision seen;
};

/// A caller as docs/CALLERS.md describes it, at the level of events.
struct Caller {
    size_t job = 0;
    size_t entry = 0;
    CallerId id;
    bool connected = false;
    std::optional<RequestId> request;
    std::string text;
    uint64_t lineage = 0;
    OnceKey key;
    uint32_t attempt = 1;
    uint32_t tries = 0;
    TimeMs lastHeard;
    bool mirror = false; ///< The second sending of a doubled job: its end is not the job's.
    bool done = false;
};

/// One run in virtual time: daemons' cores, their network, and fakes around them. Its functions stand in
/// simulation.cpp (daemons, endpoints, platform), simulation_callers.cpp and simulation_faults.cpp (faults
/// and judgement).
class Simulation
{
public:
    Simulation(const Scenario &scenario, std::vector<FaultAt> faults, uint64_t seed)
        : scenario_(scenario), faults_(std::move(faults)), random_(seed)
    { }

    Report run();

private:
    void build();
    std::string configurationText(uint32_t slots) const;
    void at(TimeMs time, std::function<void()> action)
    {
        queue_.emplace(std::pair(time, ++sequence_), std::move(action));
    }
    void after(DurationMs wait, std::function<void()> action) { at(now_ + wait, std::move(action)); }

    // Delivery to daemons.
    bool isStep(const Event &event) const;
    void deliver(size_t node, Incarnation life, Event event);
    void wake(size_t node);
    void enter(size_t node, const Event &event);
    void perform(size_t node, const Action &action);
    void tick(size_t node);

    // Fakes.
    void endProcess(size_t index);
    void sendPeer(size_t from, const SendPeer &send);
    void startWork(size_t node, const StartAttempt &start);
    void workOn(const WorkPtr &work);
    void askPlatform(size_t node, const OnceQuery &question);
    void readPlatform(size_t node);
    void pollPlatform(size_t node);
    void changeConfiguration(size_t node, const std::string &id,
                             const std::shared_ptr<ConfigurationChange> &change);

    void judgeChange(size_t node, const std::string &id, const ConfigurationChange &change);

    // Callers.
    void startJob(size_t job);
    void submit(size_t caller);
    void connect(size_t caller, Event event);
    void reconnect(size_t caller);
    void onCallerAction(const Action &action);
    void watchCallers();
    void finish(Caller &caller, JobEnd end, RefusalReason reason);
    void judgeText(Caller &caller, const AnswerEnd &end);
    size_t liveEntry(size_t start) const;

    // Faults.
    void inject(Fault fault, size_t node, Event &event, bool &drop);
    void killDaemon(size_t node);
    void reclaimDaemon(size_t node);
    void reclaimEndpoint(size_t endpoint);
    void killEndpoint(size_t endpoint);

    void breach(std::string text) { report_.breaches.push_back(std::move(text)); }
    void judge();

    const Scenario &scenario_;
    std::vector<FaultAt> faults_;
    Random random_;
    TimeMs now_{1000};
    uint64_t sequence_ = 0;
    std::multimap<std::pair<TimeMs, uint64_t>, std::function<void()>> queue_;
    std::vector<Node> nodes_;
    std::vector<FakeEndpoint> endpoints_;
    std::vector<WorkPtr> works_;
    std::vector<Caller> callers_;
    std::map<CallerId, size_t> byId_;
    uint64_t nextCaller_ = 1;
    uint32_t nextRun_ = 1;
    StoredConfiguration stored_;
    uint64_t storeRevision_ = 0;
    Revision accepted_;
    std::map<std::string, OnceRecord> bareRecords_;
    TimeMs platformDownUntil_;
    uint32_t loseAnswers_ = 0;
    bool platformWasFaulty_ = false;
    Report report_;
};

} // namespace harness
