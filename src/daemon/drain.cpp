#include "daemon/safeguards.h"
#include "daemon/world.h"

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

constexpr int64_t HandoverDelayPercent = 40;
constexpr DurationMs FinalAnswerReserve{300}; ///< Reserved at the end of a notice for sending final replies.
/// Reserved at the end of a planned drain for handing requests over: enough for three successors in turn.
constexpr DurationMs HandoverReserve{1000};
constexpr DurationMs SuccessorTimeout{300};
constexpr DurationMs CopyRetryInterval{150};
constexpr DurationMs IdleBeforeStop{800}; ///< Time for the marks to reach the other daemons.

// Chooses another successor. Called again while none has confirmed the register, and afterwards only if the
// successor must be replaced.
bool chooseSuccessor(World &world)
{
    const Member *successor = pickRemoteMember(world, world.drain.successor);
    if (!successor)
        return false;
    world.drain.successor = successor->info.incarnation;
    world.drain.successorChosenAt = world.now;
    return true;
}

void transferRegister(World &world)
{
    Drain &drain = world.drain;
    if (drain.registerMoved)
        return;
    const bool due = !drain.successor || world.now - drain.registerSentAt > SuccessorTimeout;
    if (!due || !chooseSuccessor(world))
        return;
    drain.registerSentAt = world.now;
    sendTo(world, drain.successor, RegisterTransfer{world.onceRegister.seal()});
}

// True if the successor is leaving, is not alive, or has left a copy unacknowledged past the timeout: it may
// have crashed without being suspected yet.
bool needsAnotherSuccessor(const World &world)
{
    const Drain &drain = world.drain;
    if (world.marks.isLeaving(drain.successor) || !world.members.isAlive(drain.successor))
        return true;
    const bool waiting = std::any_of(world.requests.begin(), world.requests.end(),
                                     [](const std::pair<const RequestId, Request> &entry) {
                                         return entry.second.phase == RequestPhase::Moving;
                                     });
    return waiting && world.now - std::max(drain.successorChosenAt, drain.handoverAt) > SuccessorTimeout;
}

bool mustMove(const Request &request)
{
    if (request.phase == RequestPhase::Ended)
        return !request.delivered;
    return request.phase < RequestPhase::Moving && (request.spec->idempotent || request.once.mayMove());
}

void redirectFollowers(World &world)
{
    const Member *successor = world.members.find(world.drain.successor);
    if (!successor)
        return;
    for (const std::pair<const CallerId, Follower> &entry : world.followers)
        world.actions.push_back(
            CallerMoved{entry.first, entry.second.request, successor->info.callerAddress});
    world.followers.clear();
}

// Hands the requests that this daemon cannot finish over to the successor. The grant of keyed work moves at
// its register when the successor queries it; from now on this daemon never dispatches that work.
void handOver(World &world)
{
    for (std::pair<const RequestId, Request> &entry : world.requests) {
        Request &request = entry.second;
        if (mustMove(request) && request.phase != RequestPhase::Ended) {
            cancelAttempt(world, request);
            request.once.move();
            request.phase = RequestPhase::Moving;
            sendHandover(world, request, world.drain.successor);
        } else if (mustMove(request) || request.phase == RequestPhase::Moving) {
            if (world.now - request.lastSentAt > CopyRetryInterval)
                sendHandover(world, request, world.drain.successor);
        }
    }
    redirectFollowers(world);
}

// Forwards the witness copies to the successor, to which the DaemonMoved mark directs later fetches.
// Otherwise a request is lost if its owner crashes and its witness leaves before a caller fetches the
// request.
void forwardWitnessCopies(World &world)
{
    Drain &drain = world.drain;
    if (!drain.registerMoved || world.now - drain.witnessCopiesSentAt < CopyRetryInterval)
        return;
    drain.witnessCopiesSentAt = world.now;
    const Incarnation successor = world.onceRegister.successor();
    for (const std::pair<const RequestId, WitnessRecord> &entry : world.witnessRecords) {
        RequestCopy copy = entry.second.copy;
        copy.owner = entry.second.owner;
        copy.spec.deadline
            = std::max(DurationMs{1}, copy.spec.deadline - (world.now - entry.second.receivedAt));
        if (copy.owner != successor)
            sendTo(world, successor, std::move(copy));
    }
}

bool hasOpenWork(const World &world)
{
    const bool open = std::any_of(world.requests.begin(), world.requests.end(),
                                  [](const std::pair<const RequestId, Request> &entry) {
                                      return entry.second.isOpen() || mustMove(entry.second);
                                  });
    return open || !world.followers.empty();
}

// Redirects the callers to the witness, which executes the request itself once this daemon is gone.
bool leaveToWitness(World &world, Request &request)
{
    const Member *witness = world.members.find(request.witness);
    if (!request.spec->idempotent || !request.witnessConfirmed || !witness)
        return false;
    cancelAttempt(world, request);
    for (const Listener &listener : request.listeners)
        world.actions.push_back(CallerMoved{listener.caller, request.id, witness->info.callerAddress});
    request.listeners.clear();
    request.phase = RequestPhase::Moved;
    request.successor = request.witness;
    request.holderRequest = request.id;
    request.endedAt = world.now;
    return true;
}

// Only unkeyed work that never left this daemon, and never was at another one, has certainly not run.
Outcome finalOutcome(const Request &request)
{
    const bool neverSent = request.once.mayRefuseAtOnce() && !request.possiblyRan && !request.attempt.value
        && request.phase != RequestPhase::Moving && !request.movedFrom.value && request.text.empty()
        && !(request.spec->idempotent && request.witness.value);
    return neverSent ? Outcome::NotRun : Outcome::Unknown;
}

// Ends the requests that are still open when the notice expires and no successor acknowledged them.
// Idempotent work is left to its witness; for the rest the callers receive its outcome instead of a broken
// connection.
void endOpenRequests(World &world)
{
    std::vector<RequestId> open;
    for (const std::pair<const RequestId, Request> &entry : world.requests) {
        if (entry.second.isOpen())
            open.push_back(entry.first);
    }
    for (const RequestId &id : open) {
        Request &request = world.requests.at(id);
        if (!leaveToWitness(world, request))
            endWithRefusal(world, request, {finalOutcome(request), RefusalReason::OwnerGone, DurationMs{0}});
    }
}

// Ends the callers that read answers of other daemons and could not be redirected.
void endFollowers(World &world)
{
    redirectFollowers(world);
    for (const std::pair<const CallerId, Follower> &entry : std::exchange(world.followers, {}))
        refuseCaller(world, entry.first, {Outcome::Unknown, RefusalReason::OwnerGone, DurationMs{0}});
}

void stop(World &world)
{
    if (world.drain.stopped)
        return;
    world.drain.stopped = true;
    world.actions.push_back(Stopped{});
}

} // namespace

void startDrain(World &world, std::optional<DurationMs> notice)
{
    Drain &drain = world.drain;
    const DurationMs limit
        = notice ? std::max(DurationMs{0}, *notice - FinalAnswerReserve) : world.drainLimit;
    const TimeMs endsAt = world.now + limit;
    if (drain.active && endsAt >= drain.endsAt)
        return;
    drain.active = true;
    drain.endsAt = endsAt;
    drain.handoverAt = notice ? world.now + *notice * HandoverDelayPercent / 100
                              : endsAt - std::min(HandoverReserve, limit / 2);
    drain.idleSince = world.now;
    addMark(world, {MarkKind::DaemonLeaving, {}, world.self(), {}}, {});
    world.nextGossipAt = world.now; // Sends the mark at once instead of at the next round.
    transferRegister(world);
}

void tickDrain(World &world)
{
    Drain &drain = world.drain;
    if (!drain.active || drain.stopped)
        return;
    transferRegister(world);
    forwardWitnessCopies(world);
    if (drain.registerMoved && needsAnotherSuccessor(world))
        chooseSuccessor(world); // For requests only: the DaemonMoved mark of the register is written once.
    if (world.now >= drain.handoverAt && world.now < drain.endsAt && drain.successor
        && isOn(Safeguard::HandoverOnReclaim))
        handOver(world);

    const bool alone = world.members.aliveCount() == 0;
    if (hasOpenWork(world) || (!drain.registerMoved && !alone))
        drain.idleSince = world.now;
    if (world.now >= drain.endsAt) {
        endOpenRequests(world);
        endFollowers(world);
    }
    if (world.now >= drain.endsAt || world.now - drain.idleSince >= IdleBeforeStop)
        stop(world);
}

void onRegisterTransfer(World &world, Incarnation from, const RegisterTransfer &transfer)
{
    if (world.onceRegister.isSealed())
        return; // Entries adopted after the seal would be lost. Without a reply, the sender chooses another.
    world.onceRegister.adopt(transfer.sessions);
    sendTo(world, from, RegisterTransferAck{});
}

void onRegisterTransferAck(World &world, Incarnation from)
{
    Drain &drain = world.drain;
    if (!drain.active || drain.registerMoved || from != drain.successor)
        return;
    drain.registerMoved = true;
    world.onceRegister.moveTo(from);
    addMark(world, {MarkKind::DaemonMoved, {}, world.self(), from}, {});
}

} // namespace cranberry
