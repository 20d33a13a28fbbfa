#include "simulation.h"

#include <algorithm>
#include <fmt/format.h>

namespace harness {

std::string Simulation::configurationText(uint32_t slots) const
{
    std::string endpoints[2];
    for (size_t i = 0; i < endpoints_.size(); ++i) {
        const Endpoint &endpoint = endpoints_[i].endpoint;
        std::string &list = endpoints[i % 2];
        list += fmt::format(
            R"({}{{"name":"{}","instance":"{}","failureDomain":"{}","address":"{}","slots":{}}})",
            list.empty() ? "" : ",", endpoint.name.value, endpoint.instance.value,
            endpoint.failureDomain.value, toText(endpoint.address), slots);
    }
    return fmt::format(R"({{"failureDomains":["leioa","zamudio","deusto","barakaldo"],"services":[)"
                       R"({{"name":"redactor","kind":"model","progressTimeoutMs":800,"endpoints":[{}]}},)"
                       R"({{"name":"portal","kind":"plain","progressTimeoutMs":800,"endpoints":[{}]}}],)"
                       R"("organisations":[{{"name":"diputacion"}}]}})",
                       endpoints[0], endpoints[1]);
}

void Simulation::build()
{
    for (size_t i = 0; i < 8; ++i) {
        FakeEndpoint fake;
        fake.endpoint.name = {fmt::format("endpoint-{}", i)};
        fake.endpoint.instance = {fmt::format("instance-{}", i)};
        fake.endpoint.failureDomain = {Domains[(i / 2) % Domains.size()]};
        fake.endpoint.address = {"10.0.0.1", static_cast<uint16_t>(i + 1)};
        endpoints_.push_back(fake);
    }
    stored_ = {{++storeRevision_}, configurationText(8), {"first"}};
    accepted_ = stored_.revision;
    std::vector<Address> seeds;
    for (size_t i = 0; i < DaemonCount; ++i)
        seeds.push_back({"10.0.1.1", static_cast<uint16_t>(i + 1)});
    for (size_t i = 0; i < DaemonCount; ++i) {
        DaemonOptions identity;
        identity.member = {{random_.next() | 1},
                           {fmt::format("entry-{}", i)},
                           {Domains[i % Domains.size()]},
                           {"10.0.2.1", static_cast<uint16_t>(i + 1)},
                           seeds[i],
                           1,
                           {0}};
        identity.seeds = seeds;
        identity.drainLimit = {8000};
        identity.seed = random_.next();
        Node node;
        node.info = identity.member;
        node.daemon = std::make_unique<Daemon>(identity);
        nodes_.push_back(std::move(node));
    }
    for (size_t i = 0; i < DaemonCount; ++i) {
        at(now_ + DurationMs{static_cast<int64_t>(i)}, [this, i] { tick(i); });
        at(now_ + DurationMs{10}, [this, i] { pollPlatform(i); });
    }
    // Jobs start when everybody knows everybody.
    for (size_t i = 0; i < scenario_.jobs.size(); ++i) {
        report_.jobs.push_back({scenario_.jobs[i], JobEnd::Open, RefusalReason::NotReady, {}, false});
        at(scenario_.jobs[i].startsAt, [this, i] { startJob(i); });
    }
    for (size_t i = 0; i < scenario_.changes.size(); ++i) {
        at(scenario_.changes[i], [this, i] {
            const std::string id = fmt::format("change-{}", i);
            const size_t node = liveEntry(i * 3);
            changeConfiguration(node, id,
                                std::make_shared<ConfigurationChange>(id, configurationText(9 + i),
                                                                      std::nullopt, now_ + DurationMs{6000}));
        });
    }
    after(DurationMs{100}, [this] { watchCallers(); });
}

void Simulation::tick(size_t index)
{
    Node &node = nodes_[index];
    if (!node.up || node.ended)
        return;
    if (now_ >= node.frozenUntil) {
        wake(index);
        enter(index, Tick{});
    }
    after(TickInterval, [this, index] { tick(index); });
}

bool Simulation::isStep(const Event &event) const
{
    const PeerInbound *peer = std::get_if<PeerInbound>(&event);
    if (peer)
        return !std::holds_alternative<Gossip>(peer->message);
    return !std::holds_alternative<Tick>(event) && !std::holds_alternative<ConfigurationReceived>(event);
}

void Simulation::deliver(size_t index, Incarnation life, Event event)
{
    Node &node = nodes_[index];
    if (!node.up || node.ended || node.info.incarnation != life)
        return;
    bool drop = false;
    if (isStep(event)) {
        const uint64_t step = report_.steps++;
        for (const FaultAt &fault : faults_) {
            if (fault.at == step)
                inject(fault.fault, index, event, drop);
        }
    }
    if (drop || !node.up)
        return;
    if (now_ < node.frozenUntil) {
        node.inbox.push_back(std::move(event));
        return;
    }
    wake(index);
    enter(index, event);
}

// What waited in the sockets of a frozen daemon comes first, in its order.
void Simulation::wake(size_t index)
{
    std::vector<Event> late;
    late.swap(nodes_[index].inbox);
    for (const Event &event : late)
        enter(index, event);
}

void Simulation::enter(size_t index, const Event &event)
{
    Node &node = nodes_[index];
    if (!node.up || node.ended)
        return;
    const std::vector<Action> actions = node.daemon->step(now_, event);
    for (const Action &action : actions)
        perform(index, action);
    const Revision revision = node.daemon->world().revision;
    if (revision < node.seen)
        breach(fmt::format("daemon {} went back from revision {} to {}", index, node.seen.value,
                           revision.value));
    node.seen = revision;
}

void Simulation::perform(size_t index, const Action &action)
{
    if (const SendPeer *send = std::get_if<SendPeer>(&action))
        return sendPeer(index, *send);
    if (const StartAttempt *start = std::get_if<StartAttempt>(&action))
        return startWork(index, *start);
    if (const CancelAttempt *cancel = std::get_if<CancelAttempt>(&action)) {
        for (const WorkPtr &work : works_) {
            if (work->daemon == index && work->start.attempt == cancel->attempt)
                work->open = false;
        }
        return;
    }
    if (const QueryPlatform *ask = std::get_if<QueryPlatform>(&action))
        return askPlatform(index, ask->question);
    if (std::holds_alternative<Stopped>(action)) {
        nodes_[index].stopped = true;
        after(StopGrace, [this, index] { endProcess(index); });
        return;
    }
    const Action copy = action;
    after(Hop, [this, copy] { onCallerAction(copy); });
}

void Simulation::sendPeer(size_t from, const SendPeer &send)
{
    for (size_t to = 0; to < nodes_.size(); ++to) {
        Node &node = nodes_[to];
        if (node.info.peerAddress != send.address || to == from)
            continue;
        if (now_ < node.cutUntil || now_ < nodes_[from].cutUntil)
            return;
        const PeerInbound event{nodes_[from].info.incarnation, send.to, send.message};
        const Incarnation life = node.info.incarnation;
        after(Hop, [this, to, life, event] {
            if (now_ >= nodes_[to].cutUntil)
                deliver(to, life, event);
        });
    }
}

// The process ends; what it still has open with callers is cut.
void Simulation::endProcess(size_t index)
{
    nodes_[index].ended = true;
    for (size_t i = 0; i < callers_.size(); ++i) {
        if (!callers_[i].connected || callers_[i].entry != index || callers_[i].done)
            continue;
        breach(fmt::format("the stop of daemon {} cut off job {}", index, callers_[i].job));
        callers_[i].connected = false;
        after(CallerPause, [this, i] { reconnect(i); });
    }
}

// ---- Endpoints. Each run of a prompt writes another text, as sampling engines do: "<body>/<index>.<run> ".
// ----

void Simulation::startWork(size_t index, const StartAttempt &start)
{
    size_t endpoint = 0;
    while (endpoints_[endpoint].endpoint.name != start.endpoint)
        ++endpoint;
    FakeEndpoint &fake = endpoints_[endpoint];
    if (fake.leavingSince) {
        const DurationMs since = now_ - *fake.leavingSince;
        report_.lastWorkAfterNotice = std::max(report_.lastWorkAfterNotice, since);
        // Nothing can be told to a daemon that is cut off or frozen; its limit starts when it is back.
        const TimeMs backAt
            = std::max({*fake.leavingSince, nodes_[index].cutUntil, nodes_[index].frozenUntil});
        if (now_ - backAt > LeavingLimit)
            breach(fmt::format("new work at a leaving endpoint {} ms after its notice", since.count));
    }
    const Incarnation life = nodes_[index].info.incarnation;
    if (!fake.up) {
        after(Hop, [this, index, life, start] {
            deliver(index, life, EndpointFailed{start.attempt, FailurePhase::NotSent});
        });
        return;
    }
    WorkPtr work = std::make_shared<Work>();
    work->daemon = index;
    work->life = life;
    work->start = start;
    work->endpoint = endpoint;
    work->run = nextRun_++;
    work->next = start.prefixTokens;
    works_.push_back(work);
    after(Hop, [this, work] {
        if (!work->open)
            return;
        ++report_.runs[work->start.spec->body];
        workOn(work);
    });
}

void Simulation::workOn(const WorkPtr &work)
{
    const StartAttempt &start = work->start;
    if (!work->open || !endpoints_[work->endpoint].up)
        return;
    const bool model = start.kind == ServiceKind::Model;
    after(model ? TokenEvery : PlainWork, [this, work, model] {
        const StartAttempt &start = work->start;
        if (!work->open || !endpoints_[work->endpoint].up)
            return;
        if (work->silent)
            return;
        const std::string &body = start.spec->body;
        const bool last = !model || work->next + 1 >= start.spec->maxTokens;
        const std::string text
            = model ? fmt::format("{}/{}.{} ", body, work->next, work->run) : fmt::format("done {}", body);
        ++work->next;
        report_.generatedTokens += model ? 1 : 0;
        deliver(work->daemon, work->life, EndpointData{start.attempt, text, 1});
        if (!last)
            return workOn(work);
        work->open = false;
        deliver(work->daemon, work->life,
                EndpointEnd{start.attempt, 200, "text/plain", model ? "stop" : "", 0});
    });
}

// ---- Platform ----

void Simulation::askPlatform(size_t index, const OnceQuery &question)
{
    const Incarnation life = nodes_[index].info.incarnation;
    after(Hop * 2, [this, index, life, question] {
        const PlatformOnceReply silent{{question.request, question.action, {}}, false};
        if (now_ < platformDownUntil_)
            return after(DurationMs{500}, [this, index, life, silent] { deliver(index, life, silent); });
        const OnceAnswer answer = applyOnce(bareRecords_[question.key.bare], question, life);
        if (loseAnswers_ > 0) {
            --loseAnswers_;
            return after(DurationMs{500}, [this, index, life, silent] { deliver(index, life, silent); });
        }
        const PlatformOnceReply reply{{question.request, question.action, answer}, true};
        after(Hop * 2, [this, index, life, reply] { deliver(index, life, reply); });
    });
}

void Simulation::readPlatform(size_t index)
{
    if (now_ < platformDownUntil_)
        return deliver(index, nodes_[index].info.incarnation, PlatformUnreachable{});
    // The answer is on its way while another write may happen: what arrives may be old.
    const ConfigurationReceived seen{stored_.revision, stored_.text};
    const DurationMs way{static_cast<int64_t>(2 + random_.below(150))};
    after(way, [this, index, seen] { deliver(index, nodes_[index].info.incarnation, seen); });
}

void Simulation::pollPlatform(size_t index)
{
    if (!nodes_[index].up)
        return;
    readPlatform(index);
    for (const FakeEndpoint &fake : endpoints_) {
        // The list lags, and only one daemon reads it in time.
        if (fake.leavingSince && index == liveEntry(0) && now_ - *fake.leavingSince > DurationMs{300})
            deliver(index, nodes_[index].info.incarnation, LeavingNotice{fake.endpoint.instance, Notice});
    }
    after(DurationMs{400}, [this, index] { pollPlatform(index); });
}

void Simulation::changeConfiguration(size_t index, const std::string &id,
                                     const std::shared_ptr<ConfigurationChange> &change)
{
    if (!nodes_[index].up || nodes_[index].stopped)
        return;
    const DurationMs again{static_cast<int64_t>(3 + random_.below(5))};
    switch (change->step()) {
    case ConfigurationChange::Step::Read:
        if (now_ < platformDownUntil_)
            change->onReadFailed(now_);
        else
            change->onRead(stored_);
        break;
    case ConfigurationChange::Step::Write: {
        const StoredConfiguration next = change->toWrite();
        if (now_ < platformDownUntil_) {
            change->onWritten(ConfigurationChange::WriteResult::ReplyLost, {}, now_);
        } else if (next.revision != stored_.revision) {
            change->onWritten(ConfigurationChange::WriteResult::NotApplied, stored_.revision, now_);
        } else {
            stored_ = next;
            stored_.revision = {++storeRevision_};
            if (loseAnswers_ > 0) {
                --loseAnswers_;
                change->onWritten(ConfigurationChange::WriteResult::ReplyLost, {}, now_);
            } else {
                change->onWritten(ConfigurationChange::WriteResult::Applied, stored_.revision, now_);
            }
        }
        break;
    }
    case ConfigurationChange::Step::Confirm:
        readPlatform(index);
        change->onConfirm(isConfirmed(nodes_[index].daemon->world(), change->revision()), now_);
        break;
    case ConfigurationChange::Step::Done:
        judgeChange(index, id, *change);
        return;
    }
    after(again, [this, index, id, change] { changeConfiguration(index, id, change); });
}

// What the operator is told has to be so: "accepted" is held in two other failure domains at that moment,
// "conflict" was never written.
void Simulation::judgeChange(size_t index, const std::string &id, const ConfigurationChange &change)
{
    const bool written
        = std::find(stored_.changes.begin(), stored_.changes.end(), id) != stored_.changes.end();
    if (change.finalOutcome() == ConfigurationChange::ChangeOutcome::Conflict && written)
        breach(fmt::format("change {} was told a conflict, and is in force", id));
    if (change.finalOutcome() != ConfigurationChange::ChangeOutcome::Accepted)
        return;
    accepted_ = std::max(accepted_, change.revision());
    std::set<FailureDomainName> domains;
    for (const Node &node : nodes_) {
        if (node.seen >= change.revision() && node.info.failureDomain != nodes_[index].info.failureDomain)
            domains.insert(node.info.failureDomain);
    }
    if (!written || domains.size() < 2)
        breach(fmt::format("change {} was accepted with {} other failure domains holding it", id,
                           domains.size()));
}

Report Simulation::run()
{
    build();
    const TimeMs end = TimeMs{1000} + scenario_.lasts;
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
        auto first = queue_.begin();
        now_ = first->first.first;
        const std::function<void()> action = std::move(first->second);
        queue_.erase(first);
        action();
    }
    judge();
    return std::move(report_);
}

} // namespace harness
