#include "simulation.h"

#include <algorithm>
#include <fmt/format.h>

namespace harness {

void Simulation::killDaemon(size_t index)
{
    nodes_[index].up = false;
    for (const WorkPtr &work : works_) {
        if (work->daemon == index)
            work->open = false;
    }
    for (size_t i = 0; i < callers_.size(); ++i) {
        if (callers_[i].connected && callers_[i].entry == index && !callers_[i].done) {
            callers_[i].connected = false;
            after(CallerPause, [this, i] { reconnect(i); });
        }
    }
}

void Simulation::reclaimDaemon(size_t index)
{
    Node &node = nodes_[index];
    if (!node.up || node.reclaimedAt)
        return;
    node.reclaimedAt = now_;
    deliver(index, node.info.incarnation, LeavingNotice{node.info.instance, Notice});
    after(Notice, [this, index] {
        if (!nodes_[index].stopped)
            killDaemon(index);
    });
}

void Simulation::reclaimEndpoint(size_t index)
{
    if (endpoints_[index].leavingSince)
        return;
    endpoints_[index].leavingSince = now_;
    after(Notice, [this, index] { killEndpoint(index); });
}

void Simulation::killEndpoint(size_t index)
{
    endpoints_[index].up = false;
    for (const WorkPtr &work : works_) {
        if (work->endpoint != index || !work->open)
            continue;
        work->open = false;
        after(Hop, [this, work] {
            deliver(work->daemon, work->life, EndpointFailed{work->start.attempt, FailurePhase::AfterSend});
        });
    }
}

void Simulation::inject(Fault fault, size_t index, Event &event, bool &drop)
{
    Node &node = nodes_[index];
    const bool fromPeer = std::holds_alternative<PeerInbound>(event);
    const size_t endpoint = random_.below(endpoints_.size());
    switch (fault) {
    case Fault::LoseMessage:
        drop = fromPeer;
        break;
    case Fault::DoubleMessage:
        if (fromPeer)
            after(DurationMs{30},
                  [this, index, life = node.info.incarnation, event] { deliver(index, life, event); });
        break;
    case Fault::DelayMessage:
        if (fromPeer) {
            drop = true;
            after(DurationMs{300},
                  [this, index, life = node.info.incarnation, event] { deliver(index, life, event); });
        }
        break;
    case Fault::KillDaemon:
        killDaemon(index);
        break;
    case Fault::FreezeShort:
        node.frozenUntil = now_ + DurationMs{1000};
        break;
    case Fault::FreezeLong:
        node.frozenUntil = now_ + DurationMs{4000};
        break;
    case Fault::CutOff:
        node.cutUntil = now_ + DurationMs{2000};
        break;
    case Fault::DrainPlanned:
        enter(index, DrainRequested{});
        break;
    case Fault::ReclaimDaemon:
        reclaimDaemon(index);
        break;
    case Fault::ReclaimThenKill:
        reclaimDaemon(index);
        after(DurationMs{900}, [this, index] { killDaemon(index); });
        break;
    case Fault::ReclaimSuccessorToo:
        reclaimDaemon(index);
        after(DurationMs{700}, [this, index] {
            const Incarnation successor = nodes_[index].daemon->world().drain.successor;
            for (size_t i = 0; i < nodes_.size(); ++i) {
                if (nodes_[i].info.incarnation == successor)
                    reclaimDaemon(i);
            }
        });
        break;
    case Fault::ReclaimDomain:
        for (size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i].info.failureDomain == node.info.failureDomain)
                reclaimDaemon(i);
        }
        for (size_t i = 0; i < endpoints_.size(); ++i) {
            if (endpoints_[i].endpoint.failureDomain == node.info.failureDomain)
                reclaimEndpoint(i);
        }
        break;
    case Fault::ReclaimEndpoint:
        reclaimEndpoint(endpoint);
        break;
    case Fault::KillEndpoint:
        killEndpoint(endpoint);
        break;
    case Fault::SilentEndpoint:
        for (const WorkPtr &work : works_) {
            if (!work->open)
                continue;
            work->silent = true;
            after(work->start.progressTimeout, [this, work] {
                if (work->open)
                    deliver(work->daemon, work->life,
                            EndpointFailed{work->start.attempt, FailurePhase::Silent});
                work->open = false;
            });
        }
        break;
    case Fault::PlatformDown:
        platformDownUntil_ = now_ + DurationMs{3000};
        break;
    case Fault::PlatformLosesAnswer:
        loseAnswers_ = 1;
        break;
    case Fault::None:
    case Fault::Count:
        break;
    }
}

// ---- Judgement ----

void Simulation::judge()
{
    const bool quiet = std::all_of(faults_.begin(), faults_.end(),
                                   [](const FaultAt &fault) { return isAnnounced(fault.fault); });
    for (size_t i = 0; i < report_.jobs.size(); ++i) {
        const JobState &state = report_.jobs[i];
        const uint32_t runs = report_.runs[state.job.body];
        const bool once = state.job.kind != JobKind::Chat && state.job.kind != JobKind::LookUp;
        if (state.end == JobEnd::Open)
            breach(fmt::format("job {} has no final answer", i));
        if (once && runs > 1)
            breach(fmt::format("job {} ran {} times", i, runs));
        if (state.end == JobEnd::NotRun && runs > 0)
            breach(fmt::format("job {} was told not run, and ran", i));
        if (state.end == JobEnd::Whole && runs == 0)
            breach(fmt::format("job {} was answered, and never ran", i));
        const bool mustBeWhole = !once || quiet;
        if (mustBeWhole && state.end != JobEnd::Whole && state.end != JobEnd::Open)
            breach(fmt::format("job {} was lost: {} {}", i,
                               state.end == JobEnd::Unknown ? "unknown" : "not run",
                               cranberry::toText(state.reason)));
    }
    for (size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].up && !nodes_[i].stopped && nodes_[i].daemon->world().revision < accepted_)
            breach(fmt::format("daemon {} never got the accepted revision", i));
    }
    if (stored_.revision < accepted_)
        breach("an accepted configuration was lost");
}

} // namespace harness
