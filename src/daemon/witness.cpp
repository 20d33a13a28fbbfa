#include "daemon/safeguards.h"
#include "daemon/world.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr DurationMs WitnessTimeout{60};
constexpr DurationMs FetchTimeout{250};
constexpr uint32_t MaxFetchTimeouts = 3;
constexpr uint32_t MaxRedirectsAtOnce = 4;
constexpr DurationMs FollowTimeout{8000}; ///< Longer than suspecting a member and claiming its request take.
constexpr size_t FetchBytes = 256U << 10;
constexpr DurationMs WitnessRetention{600000};

// Returns the owner itself while it is alive, because it keeps its open requests during a drain even after
// its register moved; otherwise the daemon that its register moved to.
Incarnation currentOwner(const World &world, Incarnation owner)
{
    return world.members.isAlive(owner) ? owner : world.marks.resolve(owner);
}

RequestCopy copyOf(const World &world, const Request &request, CopyPurpose purpose)
{
    RequestCopy copy;
    copy.purpose = purpose;
    copy.request = request.id;
    copy.spec = *request.spec;
    copy.spec.prompt.clear(); // The body contains it as well; a second copy would double the size.
    copy.spec.deadline = std::max(DurationMs{1}, request.deadlineAt - world.now);
    copy.branches = request.branches;
    return copy;
}

// Makes this daemon the owner. The new generation may diverge from the earlier text at the end of this copy,
// so it gets its own lineage.
void takeOver(World &world, const RequestCopy &copy, Incarnation from)
{
    Request request;
    request.id = copy.request;
    RequestSpec spec = copy.spec;
    if (spec.prompt.empty())
        spec.prompt = spec.body;
    request.spec = std::make_shared<const RequestSpec>(std::move(spec));
    request.arrivedAt = world.now;
    request.deadlineAt = world.now + copy.spec.deadline;
    request.workTokens = predictedTokens(request.spec->prompt) + copy.spec.maxTokens;
    request.digest = digestOf(*request.spec);
    request.text = copy.text;
    request.generatedTokens = copy.generatedTokens;
    request.branches = copy.branches;
    request.movedFrom = from;
    Request &stored = world.requests.try_emplace(request.id, std::move(request)).first->second;
    if (copy.ended) {
        stored.phase = RequestPhase::Ended;
        stored.end = copy.end;
        stored.endedAt = world.now;
        return;
    }
    stored.branches.push_back({world.random.next() | 1, copy.text.size()});
    world.counters.add(Counter::TakenOver);
    sendWitnessCopy(world, stored);
    if (stored.spec->key.isSet()) {
        stored.once.acquire();
        queryRegister(world, stored);
    } else {
        enqueue(world, stored);
        dispatchQueue(world);
    }
}

void sendFetch(World &world, Follower &follower)
{
    follower.queriedAt = world.now;
    follower.tag = world.nextFetchTag++;
    sendTo(world, follower.queriedDaemon,
           Fetch{follower.tag, follower.request, follower.offset, follower.lineage, follower.claim,
                 follower.unknownAt});
}

void endFollower(World &world, CallerId caller, const Refusal &refusal)
{
    world.followers.erase(caller);
    refuseCaller(world, caller, refusal);
}

FetchReply replyFor(const Request &request, const Fetch &fetch)
{
    FetchReply reply;
    reply.tag = fetch.tag;
    if (request.phase == RequestPhase::Moved) {
        reply.state = FetchState::OwnedBy;
        reply.owner = request.successor;
        reply.request = request.holderRequest;
        return reply;
    }
    if (request.phase == RequestPhase::GivenUp) {
        reply.state = FetchState::Refused;
        reply.refusal = request.refusal;
        return reply;
    }
    reply.offset = std::min<uint64_t>(commonOffset(request.branches, fetch.lineage, fetch.offset),
                                      request.text.size());
    reply.lineage = request.lineage();
    reply.text = request.text.substr(reply.offset, FetchBytes);
    const bool reachesEnd = reply.offset + reply.text.size() == request.text.size();
    const bool ended = request.phase == RequestPhase::Ended && reachesEnd;
    reply.state = ended ? FetchState::Ended : FetchState::Open;
    reply.end = request.end;
    return reply;
}

// The witness takes the request over only if the owner on record is not alive.
FetchReply replyAsWitness(World &world, const Fetch &fetch)
{
    FetchReply reply;
    reply.tag = fetch.tag;
    auto record = world.witnessRecords.find(fetch.request);
    if (record == world.witnessRecords.end() || !fetch.claim)
        return reply;
    const Incarnation owner = currentOwner(world, record->second.owner);
    if (owner != world.self() && owner != fetch.notAt && world.members.isAlive(owner)) {
        reply.state = FetchState::OwnedBy;
        reply.owner = owner;
        reply.request = fetch.request;
        return reply;
    }
    RequestCopy copy = record->second.copy;
    copy.spec.deadline
        = std::max(DurationMs{1}, copy.spec.deadline - (world.now - record->second.receivedAt));
    world.witnessRecords.erase(record);
    if (!copy.spec.idempotent && !copy.spec.key.isSet()) {
        reply.state = FetchState::Refused;
        reply.refusal = {Outcome::Unknown, RefusalReason::OwnerGone, DurationMs{0}};
        return reply;
    }
    world.counters.add(Counter::Claimed);
    takeOver(world, copy, {});
    return replyFor(world.requests.at(fetch.request), fetch);
}

// The owner does not reply: claims the request at its witness, or ends with outcome Unknown if the witness is
// not alive either.
void claimAtWitness(World &world, CallerId caller)
{
    Follower &follower = world.followers.at(caller);
    const Incarnation witness = world.marks.resolve(follower.request.witness);
    follower.claim = true;
    follower.misses = 0;
    follower.queriedDaemon = witness;
    if (!witness || (witness != world.self() && !world.members.isAlive(witness)))
        return endFollower(world, caller, {Outcome::Unknown, RefusalReason::OwnerGone, DurationMs{0}});
    if (witness != world.self())
        return sendFetch(world, follower);
    follower.tag = world.nextFetchTag++;
    const Fetch fetch{follower.tag, follower.request,  follower.offset, follower.lineage,
                      true,         follower.unknownAt};
    const FetchReply reply = replyAsWitness(world, fetch);
    if (!world.requests.contains(fetch.request))
        return onFetchReply(world, world.self(), reply);
    world.followers.erase(caller);
    onCallerResume(world, {caller, fetch.request, fetch.offset, fetch.lineage});
}

void tickFollower(World &world, CallerId caller)
{
    Follower &follower = world.followers.at(caller);
    const bool dead
        = follower.queriedDaemon != world.self() && !world.members.isAlive(follower.queriedDaemon);
    if (dead && !follower.claim)
        return claimAtWitness(world, caller);
    if (world.now - follower.queriedAt < FetchTimeout)
        return;
    if (world.now - follower.progressAt > FollowTimeout)
        return endFollower(world, caller, {Outcome::Unknown, RefusalReason::OwnerGone, DurationMs{0}});
    follower.redirects = 0;
    if (!follower.claim && ++follower.misses >= MaxFetchTimeouts)
        return claimAtWitness(world, caller);
    sendFetch(world, follower);
}

} // namespace

// A request is accepted only once another daemon holds its copy, unless this daemon knows no other live one.
void sendWitnessCopy(World &world, Request &request)
{
    const Incarnation named = world.marks.resolve(request.id.witness);
    const Member *witness
        = request.witnessQueries == 0 && named != world.self() ? world.members.find(named) : nullptr;
    if (!witness || !world.members.isAlive(named))
        witness = pickRemoteMember(world, {});
    ++request.witnessQueries;
    request.witnessQueriedAt = world.now;
    if (!witness) {
        world.counters.add(Counter::WitnessMissing);
        request.witnessConfirmed = true;
        return;
    }
    request.witness = witness->info.incarnation;
    request.id.witness = request.witness;
    sendTo(world, request.witness, copyOf(world, request, CopyPurpose::Witness));
}

void sendHandover(World &world, Request &request, Incarnation to)
{
    RequestCopy copy = copyOf(world, request, CopyPurpose::Handover);
    copy.text = request.text;
    copy.generatedTokens = request.generatedTokens;
    copy.ended = request.phase == RequestPhase::Ended;
    copy.end = request.end;
    request.lastSentAt = world.now;
    sendTo(world, to, std::move(copy));
}

void onRequestCopy(World &world, Incarnation from, const RequestCopy &copy)
{
    const bool known = world.requests.contains(copy.request);
    if (copy.purpose == CopyPurpose::Witness) {
        if (!known)
            world.witnessRecords.insert_or_assign(
                copy.request, WitnessRecord{copy, copy.owner ? copy.owner : from, world.now});
    } else if (!known) {
        // A leaving daemon takes no request over. It sends no acknowledgement, so the sender chooses another.
        if (world.drain.active)
            return;
        world.witnessRecords.erase(copy.request);
        takeOver(world, copy, from);
    }
    sendTo(world, from, CopyAck{copy.purpose, copy.request});
}

void onCopyAck(World &world, Incarnation from, const CopyAck &ack)
{
    auto found = world.requests.find(ack.request);
    if (found == world.requests.end()) {
        if (world.drain.active)
            world.witnessRecords.erase(ack.request); // The successor has stored the forwarded copy.
        return;
    }
    Request &request = found->second;
    if (ack.purpose == CopyPurpose::Witness) {
        if (from != request.witness || request.witnessConfirmed)
            return;
        request.witnessConfirmed = true;
        return acceptIfSafe(world, request);
    }
    if (request.phase != RequestPhase::Moving && request.phase != RequestPhase::Ended)
        return;
    if (request.phase == RequestPhase::Ended && !world.drain.active)
        return;
    request.phase = RequestPhase::Moved;
    request.successor = from;
    request.holderRequest = request.id;
    request.endedAt = world.now;
    world.counters.add(Counter::HandedOver);
    const Member *successor = world.members.find(from);
    for (const Listener &listener : request.listeners)
        world.actions.push_back(
            CallerMoved{listener.caller, request.id, successor ? successor->info.callerAddress : Address{}});
    request.listeners.clear();
}

void follow(World &world, CallerId caller, const RequestId &request, uint64_t offset, uint64_t lineage,
            bool accepted)
{
    Follower follower;
    follower.caller = caller;
    follower.request = request;
    follower.offset = offset;
    follower.lineage = lineage;
    follower.progressAt = world.now;
    follower.queriedDaemon = currentOwner(world, request.owner);
    world.followers[caller] = follower;
    if (!accepted)
        world.actions.push_back(CallerAccepted{caller, request});
    const bool canFetch
        = follower.queriedDaemon != world.self() && world.members.isAlive(follower.queriedDaemon);
    if (canFetch)
        sendFetch(world, world.followers[caller]);
    else
        claimAtWitness(world, caller);
}

void onFetch(World &world, Incarnation from, const Fetch &fetch)
{
    auto found = world.requests.find(fetch.request);
    FetchReply reply
        = found != world.requests.end() ? replyFor(found->second, fetch) : replyAsWitness(world, fetch);
    if (from != world.self())
        sendTo(world, from, std::move(reply));
}

void onFetchReply(World &world, Incarnation from, const FetchReply &reply)
{
    auto found = std::find_if(
        world.followers.begin(), world.followers.end(),
        [&reply](const std::pair<const CallerId, Follower> &entry) { return entry.second.tag == reply.tag; });
    if (found == world.followers.end() || found->second.queriedDaemon != from)
        return;
    Follower &follower = found->second;
    const CallerId caller = follower.caller;
    follower.tag = 0;
    switch (reply.state) {
    case FetchState::Open:
    case FetchState::Ended:
        follower.misses = 0;
        follower.redirects = 0;
        follower.progressAt = world.now;
        follower.claim = false;
        follower.unknownAt = {};
        if (!reply.text.empty() || reply.offset != follower.offset)
            world.actions.push_back(CallerData{caller, reply.offset, reply.lineage, reply.text});
        follower.offset = reply.offset + reply.text.size();
        follower.lineage = reply.lineage;
        follower.queriedAt = world.now + TickInterval - FetchTimeout;
        if (reply.state == FetchState::Ended) {
            world.actions.push_back(CallerEnd{caller, reply.end});
            world.counters.add(Counter::AnsweredFully);
            world.followers.erase(found);
        }
        break;
    case FetchState::Refused:
        endFollower(world, caller, reply.refusal);
        break;
    case FetchState::OwnedBy:
        follower.request = reply.request;
        if (reply.owner == world.self()) {
            const Follower copy = follower;
            world.followers.erase(found);
            onCallerResume(world, {caller, copy.request, copy.offset, copy.lineage});
            break;
        }
        follower.claim = false;
        follower.queriedDaemon = reply.owner;
        // Bounds the redirects at once: two daemons that name each other as owner would otherwise make this
        // daemon query them in a tight loop.
        if (++follower.redirects <= MaxRedirectsAtOnce)
            sendFetch(world, follower);
        break;
    case FetchState::NotFound:
        if (follower.claim)
            endFollower(world, caller, {Outcome::Unknown, RefusalReason::RequestNotFound, DurationMs{0}});
        else {
            follower.unknownAt = from;
            claimAtWitness(world, caller);
        }
        break;
    }
}

void onNotHere(World &world, const NotHere &notice)
{
    world.members.markGone(notice.gone);
}

void tickWitness(World &world)
{
    for (std::pair<const RequestId, Request> &entry : world.requests) {
        Request &request = entry.second;
        if (request.isOpen() && !request.witnessConfirmed
            && world.now - request.witnessQueriedAt > WitnessTimeout) {
            sendWitnessCopy(world, request);
            acceptIfSafe(world, request);
        }
    }
    std::vector<CallerId> callers;
    for (const std::pair<const CallerId, Follower> &entry : world.followers)
        callers.push_back(entry.first);
    for (const CallerId &caller : callers) {
        if (world.followers.contains(caller))
            tickFollower(world, caller);
    }
    std::erase_if(world.witnessRecords, [&world](const std::pair<const RequestId, WitnessRecord> &entry) {
        return world.now - entry.second.receivedAt > WitnessRetention;
    });
}

} // namespace cranberry
