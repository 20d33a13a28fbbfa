#include "daemon/safeguards.h"
#include "daemon/world.h"

#include <algorithm>
#include <xxhash.h>

namespace cranberry {

namespace {

constexpr DurationMs DefaultDeadline{120000};
constexpr DurationMs MaxQueueWait{5000};
constexpr size_t EntriesPerResponse = 3;
constexpr DurationMs NotReadyRetry{500};
constexpr DurationMs NoEndpointRetry{1000};
constexpr uint32_t DefaultMaxTokens = 256;

struct Admission {
    bool admitted = true;
    Refusal refusal;
};

Admission refused(RefusalReason reason, DurationMs retryAfter)
{
    return {false, {Outcome::NotRun, reason, retryAfter}};
}

bool dependenciesHaveSlots(const World &world, const Service &service)
{
    return std::all_of(service.dependsOn.begin(), service.dependsOn.end(), [&world](const ServiceName &name) {
        return world.endpoints.usableSlots(name, world.marks) > 0;
    });
}

// Predicts the queueing delay from the requests queued at this daemon and those it runs for the service.
DurationMs predictedWait(const World &world, const ServiceName &service, uint32_t slots)
{
    const uint32_t running = world.endpoints.running(service);
    const size_t ahead = world.queue.size() + running;
    if (ahead < slots)
        return {0};
    const double rounds = static_cast<double>(ahead - slots + 1) / slots;
    return {static_cast<int64_t>(rounds * world.meanAttemptMs)};
}

Admission admit(World &world, const RequestSpec &spec, RequestDigest digest, uint64_t work)
{
    if (!isReady(world))
        return refused(RefusalReason::NotReady, NotReadyRetry);
    const Organisation *organisation = world.configuration->findOrganisation(spec.organisation);
    if (!organisation)
        return refused(RefusalReason::UnknownOrganisation, {0});
    const Service *service = world.configuration->findService(spec.service);
    if (!service)
        return refused(RefusalReason::UnknownService, {0});
    const DurationMs quarantined = world.suspects.timeLeft(digest, world.now);
    if (quarantined.count > 0)
        return refused(RefusalReason::RequestQuarantined, quarantined);
    const uint32_t slots = world.endpoints.usableSlots(service->name, world.marks);
    if (slots == 0)
        return refused(RefusalReason::NoEndpoint, NoEndpointRetry);
    if (!dependenciesHaveSlots(world, *service))
        return refused(RefusalReason::DependencyShort, NoEndpointRetry);
    const DurationMs wait = predictedWait(world, service->name, slots);
    const DurationMs maxWait = spec.deadline.count > 0 ? std::min(spec.deadline, MaxQueueWait) : MaxQueueWait;
    if (wait > maxWait)
        return refused(RefusalReason::Overloaded, wait - maxWait / 2);
    const std::optional<DurationMs> limited
        = world.limits.take(*organisation, work, world.members.aliveCount() + 1, world.now);
    if (limited)
        return refused(RefusalReason::OrganisationLimit, *limited);
    return {};
}

uint64_t rendezvous(Incarnation member, const OrganisationName &organisation)
{
    return XXH3_64bits_withSeed(organisation.value.data(), organisation.value.size(), member.value);
}

// A request is idempotent only if its caller marked it so and the service is declared idempotent.
bool treatAsIdempotent(const World &world, const RequestSpec &spec)
{
    const Service *service = world.configuration ? world.configuration->findService(spec.service) : nullptr;
    return spec.idempotent && (!service || service->idempotent);
}

} // namespace

// A daemon that starts while the platform service is unreachable becomes ready when it knows live peers of
// two other failure domains and holds the highest configuration revision that they report.
bool isReady(const World &world)
{
    if (!world.configuration)
        return false;
    if (world.platformRead)
        return true;
    const std::vector<const Member *> alive = world.members.alive();
    const bool holdsHighest = std::all_of(alive.begin(), alive.end(), [&world](const Member *member) {
        return member->info.revision <= world.revision;
    });
    return holdsHighest && world.members.otherDomains() >= 2;
}

// Rendezvous hashing makes every daemon return the same few entry daemons for an organisation. Leaving
// daemons are skipped. Each further entry comes from an unused failure domain if one is left.
std::vector<Address> entriesFor(const World &world, const OrganisationName &organisation)
{
    std::vector<std::pair<uint64_t, const MemberInfo *>> ranked;
    if (!world.drain.active)
        ranked.emplace_back(rendezvous(world.self(), organisation), &world.members.self());
    for (const Member *member : world.members.alive()) {
        // A failure domain is drained as a whole: two of its daemons that don't know yet of each other's
        // drain would redirect a caller back and forth.
        if (world.drain.active && member->info.failureDomain == world.members.self().failureDomain)
            continue;
        if (!world.marks.isLeaving(member->info.incarnation) && !world.marks.isLeaving(member->info.instance))
            ranked.emplace_back(rendezvous(member->info.incarnation, organisation), &member->info);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<Address> out;
    std::vector<FailureDomainName> used;
    for (const bool onlyNewDomains : {true, false}) {
        for (const std::pair<uint64_t, const MemberInfo *> &entry : ranked) {
            const MemberInfo &info = *entry.second;
            const bool known = std::find(used.begin(), used.end(), info.failureDomain) != used.end();
            const bool taken = std::find(out.begin(), out.end(), info.callerAddress) != out.end();
            if (out.size() == EntriesPerResponse || taken || (onlyNewDomains && known))
                continue;
            out.push_back(info.callerAddress);
            used.push_back(info.failureDomain);
        }
    }
    return out;
}

void onCallerEntriesRequest(World &world, const CallerEntriesRequest &event)
{
    CallerEntriesReply answer{event.caller, entriesFor(world, event.organisation), world.entryListTtl, {}};
    if (event.wantsSession && !world.drain.active) {
        answer.session.registrar = world.self();
        answer.session.session = world.onceRegister.openSession();
    }
    world.actions.push_back(answer);
}

void refuseCaller(World &world, CallerId caller, const Refusal &refusal)
{
    world.counters.add(refusal.reason);
    world.actions.push_back(CallerRefused{caller, refusal});
}

void onCallerSubmit(World &world, const CallerSubmit &event)
{
    world.counters.add(Counter::Submitted);

    // Step 1. A draining daemon accepts no requests. It redirects the caller without stating an outcome.
    if (world.drain.active) {
        world.counters.add(Counter::SentToOtherDaemon);
        world.actions.push_back(CallerRedirected{event.caller, entriesFor(world, event.spec.organisation)});
        return;
    }

    // Step 2. Predict the work, compute the digest and check admission.
    const uint64_t work = predictedTokens(event.spec.prompt)
        + (event.spec.maxTokens ? event.spec.maxTokens : DefaultMaxTokens);
    const RequestDigest digest = digestOf(event.spec);
    const Admission admission = admit(world, event.spec, digest, work);
    if (!admission.admitted && !event.spec.key.isSet())
        return refuseCaller(world, event.caller, admission.refusal);

    RequestSpec spec = event.spec;
    spec.idempotent = treatAsIdempotent(world, spec) && !spec.key.isSet();
    if (spec.deadline.count <= 0)
        spec.deadline = DefaultDeadline;
    Request request;
    request.id = {world.self(), world.nextRequest++, {}};
    request.spec = std::make_shared<const RequestSpec>(std::move(spec));
    request.arrivedAt = world.now;
    request.deadlineAt = world.now + request.spec->deadline;
    request.workTokens = work;
    request.digest = digest;
    request.listeners.push_back({event.caller, 0, false});
    Request &stored = world.requests.try_emplace(request.id, std::move(request)).first->second;

    // Step 3. The register records the refusal of a keyed request, since its key may be running elsewhere.
    if (!admission.admitted)
        return giveUp(world, stored, admission.refusal);

    // Step 4. Copy the request to the witness and, in parallel, query the register or enqueue the request.
    const RequestId id = stored.id;
    sendWitnessCopy(world, stored);
    if (stored.spec->key.isSet()) {
        stored.once.acquire();
        queryRegister(world, stored);
        if (!isOn(Safeguard::RegisterBeforeDispatch))
            enqueue(world, stored);
    } else {
        enqueue(world, stored);
    }
    dispatchQueue(world);
    auto found = world.requests.find(id);
    if (found != world.requests.end())
        acceptIfSafe(world, found->second);
}

// Accepts only when the witness holds a copy. Otherwise a request is lost if the entry daemon crashes right
// after it accepted it. A copy at a daemon of another failure domain is sufficient against one crash or the
// loss of one domain.
void acceptIfSafe(World &world, Request &request)
{
    if (!request.witnessConfirmed && request.isOpen() && isOn(Safeguard::WitnessBeforeAccept))
        return;
    bool newlyAccepted = false;
    for (Listener &listener : request.listeners) {
        if (listener.accepted)
            continue;
        listener.accepted = true;
        newlyAccepted = true;
        world.actions.push_back(CallerAccepted{listener.caller, request.id});
    }
    if (newlyAccepted) {
        world.counters.add(Counter::Accepted);
        deliver(world, request);
    }
}

void deliver(World &world, Request &request)
{
    const bool ended = request.phase == RequestPhase::Ended;
    for (Listener &listener : request.listeners) {
        if (!listener.accepted)
            continue;
        if (listener.sent < request.text.size()) {
            world.actions.push_back(CallerData{listener.caller, listener.sent, request.lineage(),
                                               request.text.substr(listener.sent)});
            listener.sent = request.text.size();
        }
        if (ended)
            world.actions.push_back(CallerEnd{listener.caller, request.end});
    }
    if (ended) {
        world.counters.add(Counter::AnsweredFully, request.listeners.size());
        request.delivered = request.delivered || !request.listeners.empty();
        request.listeners.clear();
    }
}

void giveUp(World &world, Request &request, const Refusal &refusal)
{
    // Only the register can state "not run" for a key. Otherwise the caller could receive "not run" while a
    // duplicate waits in a paused entry daemon and runs later. Recording the refusal first is sufficient,
    // because every grant checks it.
    cancelAttempt(world, request);
    const bool needsRegister = refusal.outcome == Outcome::NotRun && !request.once.mayRefuseAtOnce();
    if (!needsRegister || !isOn(Safeguard::RecordRefusalBeforeReply))
        return endWithRefusal(world, request, refusal);
    request.pendingRefusal = refusal;
    request.once.refuse();
    request.registerQueries = 0;
    queryRegister(world, request);
}

void endWithRefusal(World &world, Request &request, const Refusal &refusal)
{
    cancelAttempt(world, request);
    request.phase = RequestPhase::GivenUp;
    request.refusal = refusal;
    request.endedAt = world.now;
    const std::vector<Listener> listeners = std::move(request.listeners);
    request.listeners.clear();
    for (const Listener &listener : listeners)
        refuseCaller(world, listener.caller, refusal);
    if (request.witness)
        sendTo(world, request.witness, WitnessDrop{request.id});
}

void onCallerResume(World &world, const CallerResume &event)
{
    world.counters.add(Counter::Resumed);
    auto found = world.requests.find(event.request);
    if (found == world.requests.end())
        return follow(world, event.caller, event.request, event.offset, event.lineage, true);
    Request &request = found->second;
    if (request.phase == RequestPhase::Moved)
        return follow(world, event.caller, request.holderRequest, event.offset, event.lineage, true);
    if (request.phase == RequestPhase::GivenUp)
        return refuseCaller(world, event.caller, request.refusal);

    Listener listener{event.caller, 0, false};
    listener.sent = std::min<uint64_t>(commonOffset(request.branches, event.lineage, event.offset),
                                       request.text.size());
    request.listeners.push_back(listener);
    acceptIfSafe(world, request);
}

// A caller that disconnects does not cancel its request, since it may reconnect and resume. A request that no
// caller resumes is given up at its deadline.
void onCallerDisconnected(World &world, const CallerDisconnected &event)
{
    world.followers.erase(event.caller);
    for (std::pair<const RequestId, Request> &entry : world.requests) {
        std::erase_if(entry.second.listeners,
                      [&event](const Listener &listener) { return listener.caller == event.caller; });
    }
}

} // namespace cranberry
