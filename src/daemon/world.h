#pragma once

#include "common/random.h"
#include "daemon/budgets.h"
#include "daemon/configuration.h"
#include "daemon/counters.h"
#include "daemon/membership.h"
#include "daemon/messages.h"
#include "daemon/onceregister.h"
#include "daemon/request.h"
#include "daemon/routing.h"
#include "gateway/endpoints/crashsuspects.h"

#include <deque>
#include <map>

namespace cranberry {

/// The settings that the core of a daemon needs at its start.
struct DaemonOptions {
    MemberInfo member;
    std::vector<Address> seeds;
    DurationMs entryListTtl{5000};
    DurationMs answerRetention{30000};
    DurationMs drainLimit{120000};
    uint64_t seed = 1;
};

constexpr DurationMs TickInterval{20};

/// State of this daemon's own drain.
struct Drain {
    bool active = false;
    TimeMs handoverAt; ///< From this time on, open requests are handed over to the successor.
    TimeMs endsAt;
    Incarnation successor;
    TimeMs successorChosenAt;
    TimeMs registerSentAt;
    bool registerMoved = false;
    TimeMs witnessCopiesSentAt;
    TimeMs idleSince;
    bool stopped = false;
};

/// The complete state of one daemon. The functions below operate on it; none of them opens a socket, reads a
/// clock or starts a thread.
struct World {
    explicit World(const DaemonOptions &options)
        : entryListTtl(options.entryListTtl), answerRetention(options.answerRetention),
          drainLimit(options.drainLimit), random(options.seed), members(options.member, options.seeds),
          onceRegister(options.member.incarnation)
    { }

    Incarnation self() const { return members.self().incarnation; }

    DurationMs entryListTtl;
    DurationMs answerRetention;
    DurationMs drainLimit;
    TimeMs now;
    Random random;

    Membership members;
    MarkTable marks;
    TimeMs dispatchPausedUntil; ///< No attempt starts before this time, because the process was paused.
    TimeMs nextGossipAt; ///< Time of the next gossip round.
    uint64_t gossipRounds = 0;
    uint64_t markDigestMismatches
        = 0; ///< Consecutive messages whose digest of the marks differed from this daemon's.

    ConfigurationPtr configuration;
    std::string configurationText;
    Revision revision;
    bool platformRead = false;

    EndpointTable endpoints;
    OrganisationLimits limits;
    RetryBudget retryBudget;
    CrashSuspects suspects;
    OnceRegister onceRegister;
    std::unordered_map<RequestId, Request> requests;
    std::unordered_map<RequestId, WitnessRecord> witnessRecords;
    std::map<CallerId, Follower> followers;
    std::map<AttemptId, RequestId> attempts;
    std::deque<RequestId> queue; ///< Requests that wait for a free slot, oldest first.
    uint64_t nextRequest = 1;
    uint64_t nextAttempt = 1;
    uint64_t nextFetchTag = 1;
    double meanAttemptMs = 100; ///< Moving average of the attempts' durations.

    Drain drain;
    Counters counters;
    std::vector<Action> actions;
};

void sendTo(World &world, Incarnation to, PeerMessage message);

// submit.cpp: accepts callers' requests and sends answers and refusals back.
void onCallerSubmit(World &world, const CallerSubmit &event);
void onCallerResume(World &world, const CallerResume &event);
void onCallerDisconnected(World &world, const CallerDisconnected &event);
void onCallerEntriesRequest(World &world, const CallerEntriesRequest &event);
bool isReady(const World &world);
std::vector<Address> entriesFor(const World &world, const OrganisationName &organisation);
void refuseCaller(World &world, CallerId caller, const Refusal &refusal);
/// Ends the request without an answer. Keyed work is first refused at its register where reporting "not run"
/// requires it.
void giveUp(World &world, Request &request, const Refusal &refusal);
/// Ends the request and sends the refusal to all its listeners.
void endWithRefusal(World &world, Request &request, const Refusal &refusal);
void deliver(World &world, Request &request);
void acceptIfSafe(World &world, Request &request);

// dispatch.cpp: selects endpoints, starts attempts and handles their results.
void dispatchQueue(World &world);
void enqueue(World &world, Request &request);
/// Returns the bytes of the answers that are kept, and of other daemons' copies; without those of attempts
/// that run.
size_t keptAnswerBytes(const World &world);
void onEndpointData(World &world, const EndpointData &event);
void onEndpointEnd(World &world, const EndpointEnd &event);
void onEndpointFailed(World &world, const EndpointFailed &event);
void cancelAttempt(World &world, Request &request);
void tickRequests(World &world);
void moveOffEndpoint(World &world, const InstanceName &instance, DurationMs notice);

// once.cpp: the at-most-once protocol as the entry runs it.
void queryRegister(World &world, Request &request);
void onOnceQuery(World &world, Incarnation from, const OnceQuery &question);
void onOnceReply(World &world, const OnceReply &reply);
void onPlatformOnceReply(World &world, const PlatformOnceReply &event);
void reportFinished(World &world, const Request &request);
void tickOnce(World &world, Request &request);

// witness.cpp: copies of accepted requests, and reading the answer of a request that another daemon owns.
void sendWitnessCopy(World &world, Request &request);
void sendHandover(World &world, Request &request, Incarnation to);
void onRequestCopy(World &world, Incarnation from, const RequestCopy &copy);
void onCopyAck(World &world, Incarnation from, const CopyAck &ack);
void follow(World &world, CallerId caller, const RequestId &request, uint64_t offset, uint64_t lineage,
            bool accepted);
void onFetch(World &world, Incarnation from, const Fetch &fetch);
void onFetchReply(World &world, Incarnation from, const FetchReply &reply);
void onNotHere(World &world, const NotHere &notice);
void tickWitness(World &world);

// drain.cpp: planned stops of this daemon and reclaims of its instance.
void startDrain(World &world, std::optional<DurationMs> notice);
void tickDrain(World &world);
void onRegisterTransfer(World &world, Incarnation from, const RegisterTransfer &transfer);
void onRegisterTransferAck(World &world, Incarnation from);

// gossip.cpp: exchanges members, marks and the configuration between daemons.
void tickGossip(World &world);
void onGossip(World &world, Incarnation from, const Gossip &gossip);
void addMark(World &world, const Mark &mark, DurationMs notice);
void onConfiguration(World &world, Revision revision, const std::string &text);
void onConfigurationHave(World &world, Incarnation from, const ConfigurationHave &have);
/// Picks a random live member that is not leaving and is not `except`, preferably in another failure domain.
/// Returns nullptr if there is none.
const Member *pickRemoteMember(World &world, Incarnation except);
/// True if this daemon is one of the few in its failure domain that poll the platform for all others.
bool isWatcher(const World &world);
/// True if this daemon and daemons in enough other failure domains hold `revision` or a later one.
bool isConfirmed(const World &world, Revision revision);

} // namespace cranberry
