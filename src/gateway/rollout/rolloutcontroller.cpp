#include "gateway/rollout/rolloutcontroller.h"

#include "gateway/rollout/rolloutview.h"

#include <algorithm>
#include <fmt/format.h>

namespace cranberry {

namespace {

/// Min duration of a trial, whatever duration the order states.
constexpr DurationMs MinTrialTime{4000};
/// Part of the planned trial for which the target's processes must have run: they start after the order.
constexpr double WatchedTrialPart = 0.75;
/// Time for all daemons to learn of the stage, to send the requests that fill an endpoint, and to observe
/// their outcome.
constexpr DurationMs LoadingTime{3000};
/// Time in which most running requests of the other endpoints end; reserved at the end of the
/// roll-out.
constexpr DurationMs EmptyingTime{4300};
/// All daemons have learned of a stage within this time.
constexpr DurationMs StagePropagationTime{1500};
/// Requests that just left a daemon's queue are included in its reports after this time.
constexpr DurationMs EmptyConfirmTime{600};
/// Min ratio of target endpoints to other endpoints; with fewer, the target cannot carry their load.
constexpr double MinEndpointRatio = 0.7;
/// A trial without enough answers after this multiple of the ordered duration is rolled back.
constexpr int64_t MaxDurationFactor = 2;
constexpr DurationMs CallTimeout{1500};
constexpr DurationMs RetryPause{300};

/// Shares of the operator bounds that a trial may use. The rest is reserved for a version that turns bad
/// while requests move to it.
constexpr double TrialShareFactor = 0.5;
constexpr double TrialSlackFactor = 0.4;
constexpr double LoadBoundsFactor = 0.3;
/// Requests to send per slot to fill a batch for a while, since some end before the others begin.
constexpr double LoadRequestsPerSlot = 1.6;
constexpr double MaxTrialShare = 0.3;
/// Share of the bound to use while the request rate of the service is unknown.
constexpr double UnknownRateShareFactor = 0.6;

} // namespace

void RolloutController::tick(const Leadership &leadership, const StoreSync::Rollouts &rollouts,
                             const std::map<ServiceName, RolloutObservations> &observations, int64_t wallMs,
                             TimeMs now)
{
    if (!leadership.held) {
        services_.clear();
        calls_.clear();
        return;
    }
    std::map<ServiceName, const RolloutOrder *> orders;
    for (const RolloutOrder &order : rollouts.known.orders)
        orders[order.service] = &order;
    for (const std::pair<const ServiceName, RolloutObservations> &each : observations) {
        RolloutProgress &service = services_[each.first];
        if (now < service.nextAt)
            continue;
        const auto order = orders.find(each.first);
        const auto known = rollouts.known.records.find(each.first);
        const RolloutRecord *record = known == rollouts.known.records.end() ? nullptr : &known->second;
        const bool isNew
            = order != orders.end() && (!record || !belongsTo(*record, *order->second, rollouts.known.era));
        if (isNew && !each.second.isKnownService) {
            refuse(*order->second, service);
            continue;
        }
        // A store restored from an older copy may hold an order that was superseded since.
        if (isNew && rollouts.mayBeStale)
            continue;
        if (!isNew && !record)
            continue;
        RolloutRecord wanted = isNew
            ? createRecord(*order->second, record, each.second, rollouts.known.era, wallMs)
            : nextRecord(*record, each.second, service, wallMs, now);
        if (!isNew && order != orders.end()) {
            wanted.order = order->second->revision;
            wanted.era = rollouts.known.era;
        }
        const auto stored = rollouts.stored.find(each.first);
        if (stored == rollouts.stored.end() || stored->second.text != recordText(wanted))
            write(wanted, each.second, stored == rollouts.stored.end() ? 0 : stored->second.revision,
                  leadership, service, now);
    }
}

void RolloutController::refuse(const RolloutOrder &order, RolloutProgress &service)
{
    if (std::exchange(service.refusedOrder, order.revision) != order.revision)
        log_.write(LogPriority::Failure, "rollout_refused",
                   {{"field", "service"},
                    {"service", order.service.value},
                    {"target", order.target.value},
                    {"why", "the configuration has no such service"}});
}

RolloutRecord RolloutController::createRecord(const RolloutOrder &order, const RolloutRecord *before,
                                              const RolloutObservations &observations, uint64_t era,
                                              int64_t wallMs) const
{
    RolloutRecord out;
    out.service = order.service;
    out.target = order.target;
    out.duration = order.duration;
    out.order = order.revision;
    out.era = era;
    out.beganWallMs = out.stageWallMs = wallMs;
    out.share = trialShare(order, observations);
    out.loadRequests = loadRequests(order, observations);
    out.why = "ordered";
    if (before) {
        out.barred = before->barred;
        if (before->stage != RolloutStage::Completed)
            out.barred.insert(before->target);
        out.barred.erase(order.target);
    }
    return out;
}

double RolloutController::trialShare(const RolloutOrder &order, const RolloutObservations &observations) const
{
    const double requests = observations.requestsPerSecond * static_cast<double>(order.duration.count) / 1000;
    if (requests < 1)
        return UnknownRateShareFactor * bounds_.exposeShare;
    return std::min(TrialShareFactor * bounds_.exposeShare
                        + TrialSlackFactor * bounds_.exposeSlack / requests,
                    MaxTrialShare);
}

uint32_t RolloutController::loadRequests(const RolloutOrder &order,
                                         const RolloutObservations &observations) const
{
    const double requests = observations.requestsPerSecond * static_cast<double>(order.duration.count) / 1000;
    const double bound = bounds_.exposeShare * requests + bounds_.exposeSlack;
    return static_cast<uint32_t>(
        std::min(LoadRequestsPerSlot * observations.slotsPerTarget, LoadBoundsFactor * bound));
}

DurationMs RolloutController::timeToMove(const RolloutRecord &record)
{
    return MovingTime + EmptyingTime + (record.loadRequests > 0 ? LoadingTime : DurationMs{0});
}

// What a version's processes did before they were replaced shows nothing of what the new ones do when they
// are older than those were.
bool RolloutController::isTargetWatched(const RolloutRecord &record, const RolloutObservations &observations)
{
    const double planned = static_cast<double>((record.duration - timeToMove(record)).count);
    const DurationMs needed{std::max(static_cast<int64_t>(WatchedTrialPart * planned), MinTrialTime.count)};
    return observations.targetAge >= needed;
}

bool RolloutController::mayMove(const RolloutRecord &record, const RolloutObservations &observations,
                                int64_t wallMs) const
{
    const int64_t movesAt = record.beganWallMs + (record.duration - timeToMove(record)).count;
    if (wallMs < std::max(movesAt, record.stageWallMs + MinTrialTime.count))
        return false;
    if (observations.targetEndpoints < MinEndpointRatio * observations.otherEndpoints
        || !isTargetWatched(record, observations))
        return false;
    // With so few requests a bad version stays within the bounds even if it gets all of them.
    const double others
        = static_cast<double>(observations.figures.othersAnswers + observations.figures.answers);
    return observations.isProven
        || (others < bounds_.exposeSlack && wallMs > record.beganWallMs + record.duration.count);
}

RolloutRecord RolloutController::nextRecord(const RolloutRecord &record,
                                            const RolloutObservations &observations, RolloutProgress &service,
                                            int64_t wallMs, TimeMs now) const
{
    if (isDecided(record.stage))
        return record;
    const auto to = [&](RolloutStage stage, std::string why) {
        RolloutRecord out = record;
        out.stage = stage;
        out.stageWallMs = wallMs;
        out.why = std::move(why);
        if (stage == RolloutStage::RolledBack)
            out.barred.insert(record.target);
        if (stage == RolloutStage::Completed)
            out.barred.insert(observations.otherVersions.begin(), observations.otherVersions.end());
        return out;
    };
    const int64_t inStage = wallMs - record.stageWallMs;
    const int64_t endsAt = record.beganWallMs + record.duration.count;
    if (observations.isBad) {
        const VersionEvaluator::Figures &seen = observations.figures;
        return to(RolloutStage::RolledBack,
                  fmt::format("{} of {} answers bad on {}, {} of {} elsewhere", seen.bad, seen.answers,
                              seen.route.empty() ? "all routes" : seen.route, seen.othersBad,
                              seen.othersAnswers));
    }
    if (observations.runningElsewhere > 0)
        service.emptySince = {};
    else if (service.emptySince.count == 0)
        service.emptySince = now;
    switch (record.stage) {
    case RolloutStage::Starting:
        if (observations.targetEndpoints > 0)
            return to(RolloutStage::Trial, "the target takes requests");
        if (wallMs > endsAt)
            return to(RolloutStage::RolledBack, "no endpoint of the target came");
        return record;
    case RolloutStage::Trial:
        if (mayMove(record, observations, wallMs) && record.loadRequests > 0)
            return to(RolloutStage::Loading, "as good as the others so far");
        if (mayMove(record, observations, wallMs))
            return to(RolloutStage::Moving, "as good as the others");
        if (wallMs > record.beganWallMs + record.duration.count * MaxDurationFactor)
            return to(RolloutStage::RolledBack, "too few answers or endpoints, or not as good");
        return record;
    case RolloutStage::Loading:
        return inStage > LoadingTime.count && isTargetWatched(record, observations)
            ? to(RolloutStage::Moving, "as good as the others")
            : record;
    case RolloutStage::Moving:
        return inStage > MovingTime.count ? to(RolloutStage::Emptying, "all new requests go to the target")
                                          : record;
    default: {
        const bool isEmpty = service.emptySince.count != 0 && now - service.emptySince > EmptyConfirmTime
            && inStage > (StagePropagationTime + EmptyConfirmTime).count && observations.targetEndpoints > 0;
        return isEmpty ? to(RolloutStage::Completed, "the others have ended what they had") : record;
    }
    }
}

void RolloutController::write(const RolloutRecord &record, const RolloutObservations &observations,
                              uint64_t storedRevision, const Leadership &leadership, RolloutProgress &service,
                              TimeMs now)
{
    service.nextAt = now + CallTimeout + RetryPause;
    boost::json::object fields{{"service", record.service.value},
                               {"target", record.target.value},
                               {"stage", toText(record.stage)},
                               {"why", record.why},
                               {"share", record.share},
                               {"target_endpoints", observations.targetEndpoints},
                               {"target_age_ms", observations.targetAge.count},
                               {"other_endpoints", observations.otherEndpoints},
                               {"running_elsewhere", observations.runningElsewhere}};
    addFigures(observations.figures, fields);
    log_.write(LogPriority::State, "rollout_stage", std::move(fields));
    StoreCall call;
    call.id = nextCall_++;
    call.verb = StoreVerb::Write;
    const std::string key = RolloutKeyPrefix + record.service.value;
    call.conditions = {{StoreSpace::Control, key, storedRevision}, leadership.leaderCondition};
    call.puts.push_back({StoreSpace::Control, key, recordText(record), 0});
    call.rolloutStatus = RolloutStatus{record.service, record.target, record.stage};
    call.timeout = CallTimeout;
    calls_[call.id] = record;
    storeCalls_.push_back(std::move(call));
}

// After a conflict the next read of the store returns the stored record.
void RolloutController::onStoreReply(const StoreReply &reply, TimeMs now)
{
    const auto found = calls_.find(reply.id);
    if (found == calls_.end())
        return;
    const RolloutRecord record = found->second;
    calls_.erase(found);
    services_[record.service].nextAt
        = now + (reply.outcome == StoreOutcome::Done ? DurationMs{0} : RetryPause);
    if (reply.outcome == StoreOutcome::Done)
        written_.push_back({record, reply.revision});
}

} // namespace cranberry
