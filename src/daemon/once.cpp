#include "daemon/safeguards.h"
#include "daemon/world.h"

namespace cranberry {

namespace {

constexpr DurationMs QueryInterval{100};
constexpr uint32_t MaxQueries = 15;

OnceQuery queryOf(const World &world, const Request &request, OnceAction action)
{
    const Incarnation movedFrom = request.movedFrom == world.self() ? Incarnation{} : request.movedFrom;
    return {action, request.spec->key, request.spec->attempt, request.id, movedFrom};
}

void sendQuery(World &world, const Request &request, OnceAction action)
{
    const OnceQuery query = queryOf(world, request, action);
    if (query.key.isBare()) {
        world.actions.push_back(QueryPlatform{query});
        return;
    }
    const Incarnation registrar = world.marks.resolve(query.key.registrar);
    if (registrar == world.self()) {
        const OnceReply reply{request.id, action, world.onceRegister.answer(query, world.self())};
        if (action != OnceAction::Finish)
            onOnceReply(world, reply);
        return;
    }
    sendTo(world, registrar, query);
}

void concludeUnknown(World &world, Request &request, RefusalReason reason)
{
    request.once.giveUp();
    endWithRefusal(world, request, {Outcome::Unknown, reason, DurationMs{0}});
}

// Another request holds the key, so the callers of this request follow that one's answer. If the key is held
// by this same request at a daemon that is gone, it is unknown whether it ran there.
void followHolder(World &world, Request &request, const OnceAnswer &answer)
{
    if (answer.request == request.id)
        return concludeUnknown(world, request, RefusalReason::OwnerGone);
    const std::vector<Listener> listeners = std::move(request.listeners);
    request.listeners.clear();
    request.phase = RequestPhase::Moved;
    request.successor = answer.holder;
    request.holderRequest = answer.request;
    request.endedAt = world.now;
    for (const Listener &listener : listeners) {
        RequestId holder = answer.request;
        if (world.requests.contains(holder) && answer.holder == world.self())
            onCallerResume(world, {listener.caller, holder, 0, 0});
        else
            follow(world, listener.caller, holder, 0, 0, false);
    }
}

} // namespace

void queryRegister(World &world, Request &request)
{
    request.phase = RequestPhase::AwaitingRegister;
    request.lastSentAt = world.now;
    ++request.registerQueries;
    const bool refusing = request.once.phase() == OnceAttempt::Phase::Refusing;
    sendQuery(world, request, refusing ? OnceAction::Refuse : OnceAction::Acquire);
}

void onOnceQuery(World &world, Incarnation from, const OnceQuery &query)
{
    const OnceAnswer answer = world.onceRegister.answer(query, from);
    if (query.action != OnceAction::Finish)
        sendTo(world, from, OnceReply{query.request, query.action, answer});
}

void onOnceReply(World &world, const OnceReply &reply)
{
    auto found = world.requests.find(reply.request);
    if (found == world.requests.end() || !found->second.once.waitsForRegister())
        return;
    Request &request = found->second;
    const bool refusing = request.once.phase() == OnceAttempt::Phase::Refusing;
    if (refusing != (reply.action == OnceAction::Refuse))
        return; // A late reply to an earlier query.

    if (reply.answer.verdict == OnceVerdict::Sealed) {
        if (!reply.answer.holder)
            return; // The successor is not confirmed yet; tickOnce queries again.
        addMark(world, {MarkKind::DaemonMoved, {}, request.spec->key.registrar, reply.answer.holder}, {});
        queryRegister(world, request);
        return;
    }
    request.once.answered(reply.answer.verdict);
    switch (request.once.phase()) {
    case OnceAttempt::Phase::Granted:
        enqueue(world, request);
        dispatchQueue(world);
        break;
    case OnceAttempt::Phase::Elsewhere:
        followHolder(world, request, reply.answer);
        break;
    case OnceAttempt::Phase::Refused:
        endWithRefusal(world, request,
                       refusing ? request.pendingRefusal
                                : Refusal{Outcome::NotRun, RefusalReason::KeyRefused, DurationMs{0}});
        break;
    case OnceAttempt::Phase::Unknown:
        concludeUnknown(world, request, RefusalReason::KeyUnknown);
        break;
    default:
        break;
    }
}

void onPlatformOnceReply(World &world, const PlatformOnceReply &event)
{
    if (event.known)
        onOnceReply(world, event.reply);
}

void reportFinished(World &world, const Request &request)
{
    if (request.spec->key.isSet() && !request.spec->key.isBare())
        sendQuery(world, request, OnceAction::Finish);
}

// Never infers from a timeout whether a request ran. Without a reply from the register, the request is not
// dispatched and its outcome is reported as unknown.
void tickOnce(World &world, Request &request)
{
    if (!request.once.waitsForRegister()
        || world.now - request.lastSentAt < QueryInterval * (1 + request.registerQueries / 4))
        return;
    const Incarnation registrar = world.marks.resolve(request.spec->key.registrar);
    const Member *member = world.members.find(registrar);
    const bool gone = !request.spec->key.isBare() && registrar != world.self() && member && member->gone;
    if (gone)
        concludeUnknown(world, request, RefusalReason::KeyUnknown);
    else if (request.registerQueries >= MaxQueries)
        concludeUnknown(world, request,
                        request.spec->key.isBare() ? RefusalReason::PlatformSilent
                                                   : RefusalReason::RegisterSilent);
    else
        queryRegister(world, request);
}

} // namespace cranberry
