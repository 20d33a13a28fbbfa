#include "simulation.h"

#include <fmt/format.h>

namespace harness {

size_t Simulation::liveEntry(size_t start) const
{
    for (size_t i = 0; i < nodes_.size(); ++i) {
        const size_t entry = (start + i) % nodes_.size();
        const Node &node = nodes_[entry];
        if (node.up && !node.stopped)
            return entry;
    }
    return start % nodes_.size();
}

void Simulation::startJob(size_t number)
{
    const Job &job = scenario_.jobs[number];
    OnceKey key;
    if (job.kind == JobKind::OnceSession) {
        // The session was had earlier, from a daemon of another failure domain than the first entry's.
        // A daemon that drains gives out none, and the caller asks the next.
        for (size_t i = 0; i < nodes_.size() && !key.registrar; ++i) {
            const size_t registrar = liveEntry(job.firstEntry + 1 + i);
            Daemon &daemon = *nodes_[registrar].daemon;
            const std::vector<Action> actions
                = daemon.step(now_, CallerEntriesRequest{{nextCaller_++}, {"diputacion"}, true});
            key = std::get<CallerEntriesReply>(actions.front()).session;
        }
        key.sequence = 1;
    } else if (job.kind == JobKind::OnceBare) {
        key.bare = job.body;
    }
    for (const bool mirror : {false, true}) {
        if (mirror && !job.doubled)
            continue;
        Caller caller;
        caller.job = number;
        caller.entry = liveEntry(job.firstEntry + (mirror ? 3 : 0));
        caller.key = key;
        caller.mirror = mirror;
        callers_.push_back(caller);
        submit(callers_.size() - 1);
    }
}

void Simulation::submit(size_t number)
{
    Caller &caller = callers_[number];
    const Job &job = scenario_.jobs[caller.job];
    RequestSpec spec;
    spec.organisation = {"diputacion"};
    spec.service = {job.kind == JobKind::Chat ? "redactor" : "portal"};
    spec.body = job.body;
    spec.prompt = job.body;
    spec.maxTokens = job.tokens;
    spec.stream = job.kind == JobKind::Chat;
    spec.idempotent = job.kind == JobKind::Chat || job.kind == JobKind::LookUp;
    spec.key = caller.key;
    spec.attempt = caller.attempt;
    spec.deadline = Deadline;
    connect(number, CallerSubmit{{}, spec});
}

void Simulation::connect(size_t number, Event event)
{
    Caller &caller = callers_[number];
    caller.id = {nextCaller_++};
    byId_[caller.id] = number;
    caller.lastHeard = now_;
    const Node &node = nodes_[caller.entry];
    if (!node.up || node.stopped) {
        caller.connected = false;
        after(CallerPause, [this, number] { reconnect(number); });
        return;
    }
    caller.connected = true;
    if (CallerSubmit *submitted = std::get_if<CallerSubmit>(&event))
        submitted->caller = caller.id;
    if (CallerResume *resumed = std::get_if<CallerResume>(&event))
        resumed->caller = caller.id;
    const size_t entry = caller.entry;
    const Incarnation life = node.info.incarnation;
    after(Hop, [this, entry, life, event] { deliver(entry, life, event); });
}

// The connection broke or went silent: read on by id at another entry, or send again what may be sent again.
void Simulation::reconnect(size_t number)
{
    Caller &caller = callers_[number];
    if (caller.done || caller.connected)
        return;
    if (++caller.tries > CallerTries)
        return;
    caller.entry = liveEntry(caller.entry + 1);
    if (caller.request)
        return connect(number, CallerResume{{}, *caller.request, caller.text.size(), caller.lineage});
    if (scenario_.jobs[caller.job].kind == JobKind::OnceUnmarked)
        return finish(caller, JobEnd::Unknown, RefusalReason::EndpointFailed);
    submit(number);
}

void Simulation::watchCallers()
{
    for (size_t i = 0; i < callers_.size(); ++i) {
        Caller &caller = callers_[i];
        if (caller.done || !caller.connected || now_ - caller.lastHeard < CallerSilence)
            continue;
        const size_t entry = caller.entry;
        const Node &node = nodes_[entry];
        const bool frozen = now_ < node.frozenUntil;
        if (!frozen) {
            caller.lastHeard = now_; // Heartbeats come.
            continue;
        }
        caller.connected = false;
        deliver(entry, node.info.incarnation, CallerDisconnected{caller.id});
        reconnect(i);
    }
    after(DurationMs{100}, [this] { watchCallers(); });
}

void Simulation::finish(Caller &caller, JobEnd end, RefusalReason reason)
{
    caller.done = true;
    caller.connected = false;
    JobState &state = report_.jobs[caller.job];
    if (caller.mirror && end != JobEnd::Wrong)
        return;
    state.end = end;
    state.reason = reason;
    state.endedAt = now_;
}

// The whole, as a caller may check it: length, digest, and all tokens of its own answer in order.
void Simulation::judgeText(Caller &caller, const AnswerEnd &end)
{
    const Job &job = scenario_.jobs[caller.job];
    bool right = end.length == caller.text.size() && end.digest == digestOf(caller.text);
    if (job.kind == JobKind::Chat) {
        size_t at = 0;
        for (uint32_t i = 0; i < job.tokens && right; ++i) {
            right = caller.text.compare(at, job.body.size(), job.body) == 0
                && caller.text.compare(at + job.body.size(), fmt::format("/{}.", i).size(),
                                       fmt::format("/{}.", i))
                    == 0;
            at = caller.text.find(' ', at) + 1;
        }
        right = right && at == caller.text.size();
    } else {
        right = right && caller.text == "done " + job.body;
    }
    if (!right)
        breach(fmt::format("job {} got a wrong answer: {}", caller.job, caller.text.substr(0, 200)));
    finish(caller, right ? JobEnd::Whole : JobEnd::Wrong, RefusalReason::NotReady);
}

void Simulation::onCallerAction(const Action &action)
{
    struct Reader {
        Simulation &simulation;

        Caller *find(CallerId id) const
        {
            auto found = simulation.byId_.find(id);
            if (found == simulation.byId_.end())
                return nullptr;
            Caller &caller = simulation.callers_[found->second];
            if (caller.id != id || !caller.connected || caller.done)
                return nullptr;
            caller.lastHeard = simulation.now_;
            return &caller;
        }
        void operator()(const CallerAccepted &a) const
        {
            if (Caller *caller = find(a.caller)) {
                caller->request = a.request;
                simulation.report_.jobs[caller->job].accepted = true;
            }
        }
        void operator()(const CallerData &a) const
        {
            Caller *caller = find(a.caller);
            if (!caller)
                return;
            if (a.offset > caller->text.size())
                simulation.breach(fmt::format("job {} has a gap at {}", caller->job, a.offset));
            caller->text.resize(std::min<size_t>(caller->text.size(), a.offset));
            caller->text += a.text;
            caller->lineage = a.lineage;
        }
        void operator()(const CallerEnd &a) const
        {
            if (Caller *caller = find(a.caller))
                simulation.judgeText(*caller, a.end);
        }
        void operator()(const CallerRefused &a) const
        {
            Caller *caller = find(a.caller);
            if (!caller)
                return;
            const size_t number = static_cast<size_t>(caller - simulation.callers_.data());
            if (a.refusal.outcome == Outcome::Unknown)
                return simulation.finish(*caller, JobEnd::Unknown, a.refusal.reason);
            if (a.refusal.retryAfter.count <= 0 || ++caller->tries > CallerTries)
                return simulation.finish(*caller, JobEnd::NotRun, a.refusal.reason);
            caller->connected = false;
            caller->request.reset();
            caller->text.clear();
            caller->lineage = 0;
            ++caller->attempt;
            Simulation *self = &simulation;
            simulation.after(a.refusal.retryAfter, [self, number] {
                self->callers_[number].entry = self->liveEntry(self->callers_[number].entry + 1);
                self->submit(number);
            });
        }
        void operator()(const CallerMoved &a) const
        {
            Caller *caller = find(a.caller);
            if (!caller)
                return;
            const size_t number = static_cast<size_t>(caller - simulation.callers_.data());
            caller->request = a.request;
            for (size_t i = 0; i < simulation.nodes_.size(); ++i) {
                if (simulation.nodes_[i].info.callerAddress == a.address)
                    caller->entry = i;
            }
            simulation.connect(number, CallerResume{{}, a.request, caller->text.size(), caller->lineage});
        }
        void operator()(const CallerRedirected &a) const
        {
            Caller *caller = find(a.caller);
            if (!caller || a.entries.empty())
                return;
            const size_t number = static_cast<size_t>(caller - simulation.callers_.data());
            for (size_t i = 0; i < simulation.nodes_.size(); ++i) {
                if (simulation.nodes_[i].info.callerAddress == a.entries.front())
                    caller->entry = i;
            }
            // Once straight on, then with a pause, as docs/CALLERS.md asks.
            Simulation *self = &simulation;
            const DurationMs pause = caller->tries == 0 ? Hop : CallerPause;
            caller->connected = false;
            if (++caller->tries < CallerTries)
                simulation.after(pause, [self, number] { self->submit(number); });
        }
        void operator()(const CallerEntriesReply &) const { }
        void operator()(const ConfigurationInForce &) const { }
        void operator()(const Stopped &) const { }
        void operator()(const SendPeer &) const { }
        void operator()(const StartAttempt &) const { }
        void operator()(const CancelAttempt &) const { }
        void operator()(const QueryPlatform &) const { }
    };
    std::visit(Reader{*this}, action);
}

} // namespace harness
