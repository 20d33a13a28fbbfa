#include "daemon/safeguards.h"
#include "daemon/world.h"

namespace cranberry {

namespace {

constexpr DurationMs AskAgainAfter{100};
constexpr uint32_t MaxAsks = 15;

OnceQuestion questionOf(const World &world, const Request &request, OnceAction action)
{
    const Incarnation movedFrom = request.movedFrom == world.self() ? Incarnation{} : request.movedFrom;
    return {action, request.spec->key, request.spec->attempt, request.id, movedFrom};
}

void sendQuestion(World &world, const Request &request, OnceAction action)
{
    const OnceQuestion question = questionOf(world, request, action);
    if (question.key.isBare()) {
        world.out.push_back(AskPlatform{question});
        return;
    }
    const Incarnation registrar = world.marks.resolve(question.key.registrar);
    if (registrar == world.self()) {
        const OnceReply reply{request.id, action, world.onceRegister.answer(question, world.self())};
        if (action != OnceAction::Finish)
            onOnceReply(world, reply);
        return;
    }
    sendTo(world, registrar, question);
}

void endUnknown(World &world, Request &request, RefusalReason reason)
{
    request.once.giveUp();
    conclude(world, request, {Outcome::Unknown, reason, DurationMs{0}});
}

// Another request holds the key, so the callers of this request follow that one's answer. If the key is held
// by this same request at a daemon that is gone, it is unknown whether it ran there.
void followHolder(World &world, Request &request, const OnceAnswer &answer)
{
    if (answer.request == request.id)
        return endUnknown(world, request, RefusalReason::OwnerGone);
    const std::vector<Listener> listeners = std::move(request.listeners);
    request.listeners.clear();
    request.phase = RequestPhase::Moved;
    request.successor = answer.holder;
    request.heldBy = answer.request;
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

void askRegister(World &world, Request &request)
{
    request.phase = RequestPhase::Asking;
    request.askedAt = world.now;
    ++request.asks;
    const bool refusing = request.once.phase() == OnceAttempt::Phase::Refusing;
    sendQuestion(world, request, refusing ? OnceAction::Refuse : OnceAction::Acquire);
}

void onOnceQuestion(World &world, Incarnation from, const OnceQuestion &question)
{
    const OnceAnswer answer = world.onceRegister.answer(question, from);
    if (question.action != OnceAction::Finish)
        sendTo(world, from, OnceReply{question.request, question.action, answer});
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
        askRegister(world, request);
        return;
    }
    request.once.answered(reply.answer.verdict);
    switch (request.once.phase()) {
    case OnceAttempt::Phase::Granted:
        enqueue(world, request);
        runQueue(world);
        break;
    case OnceAttempt::Phase::Elsewhere:
        followHolder(world, request, reply.answer);
        break;
    case OnceAttempt::Phase::Refused:
        conclude(world, request,
                 refusing ? request.pendingRefusal
                          : Refusal{Outcome::NotRun, RefusalReason::KeyRefused, DurationMs{0}});
        break;
    case OnceAttempt::Phase::Unknown:
        endUnknown(world, request, RefusalReason::KeyUnknown);
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

void noteFinished(World &world, const Request &request)
{
    if (request.spec->key.isSet() && !request.spec->key.isBare())
        sendQuestion(world, request, OnceAction::Finish);
}

// Never infers from a timeout whether a request ran. Without a reply from the register, the request is not
// dispatched and its outcome is reported as unknown.
void tickOnce(World &world, Request &request)
{
    if (!request.once.waitsForRegister()
        || world.now - request.askedAt < AskAgainAfter * (1 + request.asks / 4))
        return;
    const Incarnation registrar = world.marks.resolve(request.spec->key.registrar);
    const Member *member = world.members.find(registrar);
    const bool gone = !request.spec->key.isBare() && registrar != world.self() && member && member->gone;
    if (gone)
        endUnknown(world, request, RefusalReason::KeyUnknown);
    else if (request.asks >= MaxAsks)
        endUnknown(world, request,
                   request.spec->key.isBare() ? RefusalReason::PlatformSilent
                                              : RefusalReason::RegisterSilent);
    else
        askRegister(world, request);
}

} // namespace cranberry
