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

/// How a daemon is brought up; all that the core needs of its settings.
struct Identity {
    MemberInfo member;
    std::vector<Address> seeds;
    DurationMs entryKeep{5000};
    DurationMs answerKeep{30000};
    DurationMs drainLimit{120000};
    uint64_t seed = 1;
};

constexpr DurationMs TickInterval{20};

/// A running drain of this daemon.
struct Drain {
    bool active = false;
    TimeMs handoverAt; ///< From here on open requests move to the successor.
    TimeMs endsAt;
    Incarnation successor;
    TimeMs successorChosenAt;
    TimeMs successorAskedAt;
    bool registerMoved = false;
    TimeMs witnessedSentAt;
    TimeMs quietSince;
    bool stopped = false;
};

/// All state of one daemon. Systems (the functions in the files named below) run over it; nothing here
/// opens a socket, reads a clock or starts a thread.
struct World {
    explicit World(const Identity &identity)
        : entryKeep(identity.entryKeep), answerKeep(identity.answerKeep), drainLimit(identity.drainLimit),
          random(identity.seed), members(identity.member, identity.seeds),
          onceRegister(identity.member.incarnation)
    { }

    Incarnation self() const { return members.self().incarnation; }

    DurationMs entryKeep;
    DurationMs answerKeep;
    DurationMs drainLimit;
    TimeMs now;
    Random random;

    Membership members;
    MarkTable marks;
    TimeMs holdUntil; ///< No new attempts before this: the process was paused.
    TimeMs gossipAt; ///< Next round.
    uint64_t gossipRounds = 0;
    uint64_t marksUnequal = 0; ///< Rounds in which a peer's marks differed.

    ConfigurationPtr configuration;
    std::string configurationText;
    Revision revision;
    bool platformRead = false;

    EndpointTable endpoints;
    OrganisationLimits limits;
    RetryBudget retries;
    CrashSuspects suspects;
    OnceRegister onceRegister;
    std::unordered_map<RequestId, Request> requests;
    std::unordered_map<RequestId, WitnessRecord> witnessed;
    std::map<CallerId, Follower> followers;
    std::map<AttemptId, RequestId> attempts;
    std::deque<RequestId> queue; ///< Requests that wait for a slot, oldest first.
    uint64_t nextRequest = 1;
    uint64_t nextAttempt = 1;
    uint64_t nextTag = 1;
    double serviceMs = 100; ///< Moving mean of an attempt's duration.

    Drain drain;
    Counters counters;
    std::vector<Action> out;
};

void sendTo(World &world, Incarnation to, PeerMessage message);

// submit.cpp: callers' requests in, answers and refusals out.
void onCallerSubmit(World &world, const CallerSubmit &event);
void onCallerResume(World &world, const CallerResume &event);
void onCallerGone(World &world, const CallerGone &event);
void onCallerEntries(World &world, const CallerEntries &event);
bool isReady(const World &world);
std::vector<Address> entriesFor(const World &world, const OrganisationName &organisation);
void refuseCaller(World &world, CallerId caller, const Refusal &refusal);
/// Ends the request without an answer; asks its register first where "not run" needs that.
void giveUp(World &world, Request &request, const Refusal &refusal);
/// The final word, told to all listeners at once.
void conclude(World &world, Request &request, const Refusal &refusal);
void deliver(World &world, Request &request);
void acceptIfSafe(World &world, Request &request);

// dispatch.cpp: the choice of endpoints, attempts and their ends.
void runQueue(World &world);
void enqueue(World &world, Request &request);
void onEndpointData(World &world, const EndpointData &event);
void onEndpointEnd(World &world, const EndpointEnd &event);
void onEndpointFailed(World &world, const EndpointFailed &event);
void cancelAttempt(World &world, Request &request);
void tickRequests(World &world);
void moveOffEndpoint(World &world, const InstanceName &instance, DurationMs notice);

// once.cpp: the entry's side of at-most-once.
void askRegister(World &world, Request &request);
void onOnceQuestion(World &world, Incarnation from, const OnceQuestion &question);
void onOnceReply(World &world, const OnceReply &reply);
void onPlatformOnceReply(World &world, const PlatformOnceReply &event);
void noteFinished(World &world, const Request &request);
void tickOnce(World &world, Request &request);

// witness.cpp: copies of accepted requests, and reading an answer that another daemon owns.
void askWitness(World &world, Request &request);
void sendHandover(World &world, Request &request, Incarnation to);
void onRequestCopy(World &world, Incarnation from, const RequestCopy &copy);
void onCopyAck(World &world, Incarnation from, const CopyAck &ack);
void follow(World &world, CallerId caller, const RequestId &request, uint64_t offset, uint64_t lineage,
            bool accepted);
void onFetch(World &world, Incarnation from, const Fetch &fetch);
void onFetchReply(World &world, Incarnation from, const FetchReply &reply);
void onNotHere(World &world, const NotHere &notice);
void tickWitness(World &world);

// drain.cpp: planned stops and reclaims of this daemon.
void startDrain(World &world, std::optional<DurationMs> notice);
void tickDrain(World &world);
void onRegisterTransfer(World &world, Incarnation from, const RegisterTransfer &transfer);
void onRegisterTransferAck(World &world, Incarnation from);

// gossip.cpp: members, marks and the configuration's way between daemons.
void tickGossip(World &world);
void onGossip(World &world, Incarnation from, const Gossip &gossip);
void addMark(World &world, const Mark &mark, DurationMs notice);
void onConfiguration(World &world, Revision revision, const std::string &text);
void onConfigurationHave(World &world, Incarnation from, const ConfigurationHave &have);
/// A live member that does not leave, other than `except`; of another failure domain if there is one, else
/// nullptr.
const Member *pickElsewhere(World &world, Incarnation except);
/// True if this daemon is one of the few of its failure domain that read the platform for all.
bool isWatcher(const World &world);
/// True if daemons in enough other failure domains hold `revision`.
bool isConfirmed(const World &world, Revision revision);

} // namespace cranberry
