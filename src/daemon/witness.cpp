#include "daemon/safeguards.h"
#include "daemon/world.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr DurationMs WitnessPatience{60};
constexpr DurationMs FetchPatience{250};
constexpr uint32_t MaxFetchMisses = 3;
constexpr uint32_t MaxRedirectsAtOnce = 4;
constexpr DurationMs FollowPatience{8000}; ///< Longer than suspecting a member and claiming its request take.
constexpr size_t FetchBytes = 256U << 10;
constexpr DurationMs WitnessKeep{600000};

// Returns the owner itself while it is alive, because it keeps its open requests during a drain even after
// its register moved; otherwise the daemon that its register moved to.
Incarnation ownerNow(const World &world, Incarnation owner)
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
    askWitness(world, stored);
    if (stored.spec->key.isSet()) {
        stored.once.ask();
        askRegister(world, stored);
    } else {
        enqueue(world, stored);
        runQueue(world);
    }
}

void sendFetch(World &world, Follower &follower)
{
    follower.askedAt = world.now;
    follower.tag = world.nextTag++;
    sendTo(world, follower.asking,
           Fetch{follower.tag, follower.request, follower.offset, follower.lineage, follower.claim,
                 follower.notAt});
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
        reply.request = request.heldBy;
        return reply;
    }
    if (request.phase == RequestPhase::Given) {
        reply.state = FetchState::Refused;
        reply.refusal = request.refusal;
        return reply;
    }
    reply.offset = std::min<uint64_t>(commonOffset(request.branches, fetch.lineage, fetch.offset),
                                      request.text.size());
    reply.lineage = request.lineage();
    reply.text = request.text.substr(reply.offset, FetchBytes);
    const bool whole = reply.offset + reply.text.size() == request.text.size();
    const bool ended = request.phase == RequestPhase::Ended && whole;
    reply.state = ended ? FetchState::Ended : FetchState::Open;
    reply.end = request.end;
    return reply;
}

// The witness takes the request over only if the owner on record is not alive.
FetchReply replyAsWitness(World &world, const Fetch &fetch)
{
    FetchReply reply;
    reply.tag = fetch.tag;
    auto record = world.witnessed.find(fetch.request);
    if (record == world.witnessed.end() || !fetch.claim)
        return reply;
    const Incarnation owner = ownerNow(world, record->second.owner);
    if (owner != world.self() && owner != fetch.notAt && world.members.isAlive(owner)) {
        reply.state = FetchState::OwnedBy;
        reply.owner = owner;
        reply.request = fetch.request;
        return reply;
    }
    RequestCopy copy = record->second.copy;
    copy.spec.deadline
        = std::max(DurationMs{1}, copy.spec.deadline - (world.now - record->second.receivedAt));
    world.witnessed.erase(record);
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
void turnToWitness(World &world, CallerId caller)
{
    Follower &follower = world.followers.at(caller);
    const Incarnation witness = world.marks.resolve(follower.request.witness);
    follower.claim = true;
    follower.misses = 0;
    follower.asking = witness;
    if (!witness || (witness != world.self() && !world.members.isAlive(witness)))
        return endFollower(world, caller, {Outcome::Unknown, RefusalReason::OwnerGone, DurationMs{0}});
    if (witness != world.self())
        return sendFetch(world, follower);
    follower.tag = world.nextTag++;
    const Fetch fetch{follower.tag, follower.request, follower.offset, follower.lineage,
                      true,         follower.notAt};
    const FetchReply reply = replyAsWitness(world, fetch);
    if (!world.requests.contains(fetch.request))
        return onFetchReply(world, world.self(), reply);
    world.followers.erase(caller);
    onCallerResume(world, {caller, fetch.request, fetch.offset, fetch.lineage});
}

void tickFollower(World &world, CallerId caller)
{
    Follower &follower = world.followers.at(caller);
    const bool dead = follower.asking != world.self() && !world.members.isAlive(follower.asking);
    if (dead && !follower.claim)
        return turnToWitness(world, caller);
    if (world.now - follower.askedAt < FetchPatience)
        return;
    if (world.now - follower.progressAt > FollowPatience)
        return endFollower(world, caller, {Outcome::Unknown, RefusalReason::OwnerGone, DurationMs{0}});
    follower.redirects = 0;
    if (!follower.claim && ++follower.misses >= MaxFetchMisses)
        return turnToWitness(world, caller);
    sendFetch(world, follower);
}

} // namespace

// A request is accepted only once another daemon holds its copy, unless this daemon knows no other live one.
void askWitness(World &world, Request &request)
{
    const Incarnation named = world.marks.resolve(request.id.witness);
    const Member *witness
        = request.witnessAsks == 0 && named != world.self() ? world.members.find(named) : nullptr;
    if (!witness || !world.members.isAlive(named))
        witness = pickElsewhere(world, {});
    ++request.witnessAsks;
    request.witnessAskedAt = world.now;
    if (!witness) {
        world.counters.add(Counter::WitnessMissing);
        request.witnessed = true;
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
    request.askedAt = world.now;
    sendTo(world, to, std::move(copy));
}

void onRequestCopy(World &world, Incarnation from, const RequestCopy &copy)
{
    const bool known = world.requests.contains(copy.request);
    if (copy.purpose == CopyPurpose::Witness) {
        if (!known)
            world.witnessed.insert_or_assign(copy.request,
                                             WitnessRecord{copy, copy.owner ? copy.owner : from, world.now});
    } else if (!known) {
        // A leaving daemon takes no request over. It sends no acknowledgement, so the sender chooses another.
        if (world.drain.active)
            return;
        world.witnessed.erase(copy.request);
        takeOver(world, copy, from);
    }
    sendTo(world, from, CopyAck{copy.purpose, copy.request});
}

void onCopyAck(World &world, Incarnation from, const CopyAck &ack)
{
    auto found = world.requests.find(ack.request);
    if (found == world.requests.end()) {
        if (world.drain.active)
            world.witnessed.erase(ack.request); // The successor has stored the forwarded copy.
        return;
    }
    Request &request = found->second;
    if (ack.purpose == CopyPurpose::Witness) {
        if (from != request.witness || request.witnessed)
            return;
        request.witnessed = true;
        return acceptIfSafe(world, request);
    }
    if (request.phase != RequestPhase::Moving && request.phase != RequestPhase::Ended)
        return;
    if (request.phase == RequestPhase::Ended && !world.drain.active)
        return;
    request.phase = RequestPhase::Moved;
    request.successor = from;
    request.heldBy = request.id;
    request.endedAt = world.now;
    world.counters.add(Counter::HandedOver);
    const Member *successor = world.members.find(from);
    for (const Listener &listener : request.listeners)
        world.out.push_back(
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
    follower.asking = ownerNow(world, request.owner);
    world.followers[caller] = follower;
    if (!accepted)
        world.out.push_back(CallerAccepted{caller, request});
    const bool askable = follower.asking != world.self() && world.members.isAlive(follower.asking);
    if (askable)
        sendFetch(world, world.followers[caller]);
    else
        turnToWitness(world, caller);
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
    if (found == world.followers.end() || found->second.asking != from)
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
        follower.notAt = {};
        if (!reply.text.empty() || reply.offset != follower.offset)
            world.out.push_back(CallerData{caller, reply.offset, reply.lineage, reply.text});
        follower.offset = reply.offset + reply.text.size();
        follower.lineage = reply.lineage;
        follower.askedAt = world.now + TickInterval - FetchPatience;
        if (reply.state == FetchState::Ended) {
            world.out.push_back(CallerEnd{caller, reply.end});
            world.counters.add(Counter::AnsweredWhole);
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
        follower.asking = reply.owner;
        // Bounds the redirects at once: two daemons that name each other as owner would otherwise make this
        // daemon query them in a tight loop.
        if (++follower.redirects <= MaxRedirectsAtOnce)
            sendFetch(world, follower);
        break;
    case FetchState::NotFound:
        if (follower.claim)
            endFollower(world, caller, {Outcome::Unknown, RefusalReason::RequestNotFound, DurationMs{0}});
        else {
            follower.notAt = from;
            turnToWitness(world, caller);
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
        if (request.isOpen() && !request.witnessed && world.now - request.witnessAskedAt > WitnessPatience) {
            askWitness(world, request);
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
    std::erase_if(world.witnessed, [&world](const std::pair<const RequestId, WitnessRecord> &entry) {
        return world.now - entry.second.receivedAt > WitnessKeep;
    });
}

} // namespace cranberry
