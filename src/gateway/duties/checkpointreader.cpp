#include "gateway/duties/checkpointreader.h"

#include "gateway/duties/checkpointwriter.h"

namespace cranberry {

namespace {

/// Time after the start in which a checkpoint is used. Later, the refill has made up for the low start.
constexpr DurationMs UseTime{4000};
/// Leaves time for a repeat of the read and of the mark within `UseTime`.
constexpr DurationMs CallTimeout{1000};
constexpr uint32_t MaxAttempts = 2;

} // namespace

void CheckpointReader::tick(const Situation &situation, const std::vector<DaemonIdentity> &heard, TimeMs now)
{
    if (!startedAt_)
        startedAt_ = now;
    if (step_ == Step::Done)
        return;
    daemon_.era = situation.era;
    daemon_.wallMs = situation.wallMs;
    daemon_.startedWallMs = situation.wallMs - (now - *startedAt_).count;
    daemon_.heard = heard;
    const bool mayUse = now - *startedAt_ < UseTime;
    if (step_ == Step::Start && situation.era != 0
        && ((situation.isListedServing && mayUse) || situation.leads))
        return read();
    if (step_ != Step::AwaitingProof)
        return;
    if (!mayUse)
        return reject(CheckpointFault::Unproven);
    if (const CheckpointFault fault = checkUse(*checkpoint_, mark_, daemon_); fault != CheckpointFault::None)
        return reject(fault);
    if (!wereKilled(*checkpoint_, daemon_))
        return;
    const bool isMarked
        = mark_ && mark_->era == daemon_.era && mark_->checkpointWallMs == checkpoint_->wallMs;
    if (isMarked)
        use();
    else
        mark();
}

void CheckpointReader::send(StoreCall call)
{
    ++attempts_;
    call.id = openCall_ = nextCall_++;
    call.timeout = CallTimeout;
    storeCalls_.push_back(std::move(call));
}

void CheckpointReader::read()
{
    step_ = Step::Reading;
    StoreCall call;
    call.verb = StoreVerb::List;
    call.space = StoreSpace::Archive;
    call.prefix = CheckpointKeyPrefix;
    send(std::move(call));
}

void CheckpointReader::mark()
{
    step_ = Step::Marking;
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.conditions = {{StoreSpace::Archive, CheckpointKey, revision_},
                       {StoreSpace::Archive, CheckpointMarkKey, markRevision_}};
    const CheckpointMark mark{daemon_.era, checkpoint_->wallMs, daemon_.wallMs};
    call.puts.push_back({StoreSpace::Archive, CheckpointMarkKey, markText(mark), 0});
    send(std::move(call));
}

void CheckpointReader::onStoreReply(const StoreReply &reply, TimeMs now)
{
    if (reply.id != openCall_ || step_ == Step::Done)
        return;
    openCall_ = 0;
    const bool isLate = !startedAt_ || now - *startedAt_ >= UseTime;
    const bool hasReply = reply.outcome == StoreOutcome::Done || reply.outcome == StoreOutcome::Conflict;
    if (!hasReply && attempts_ < MaxAttempts && (!isLate || step_ == Step::Reading))
        return step_ == Step::Reading ? read() : mark();
    if (!hasReply || (isLate && step_ == Step::Marking))
        return reject(CheckpointFault::NoReply);
    if (step_ == Step::Reading)
        onRead(reply, isLate);
    else
        onMarked(reply);
}

void CheckpointReader::onRead(const StoreReply &reply, bool isLate)
{
    attempts_ = 0;
    bool isThere = false;
    for (const StoreItem &item : reply.items) {
        if (item.key == CheckpointKey) {
            isThere = true;
            revision_ = item.revision;
            checkpoint_ = checkpointFromText(item.value);
        } else if (item.key == CheckpointMarkKey) {
            markRevision_ = item.revision;
            mark_ = markFromText(item.value);
        }
    }
    if (!isThere) {
        step_ = Step::Done;
        return;
    }
    if (!checkpoint_)
        return reject(CheckpointFault::Unreadable);
    step_ = isLate ? Step::Done : Step::AwaitingProof;
}

// After a conflict another daemon has marked it, or the store holds another checkpoint.
void CheckpointReader::onMarked(const StoreReply &reply)
{
    if (reply.outcome == StoreOutcome::Done)
        return use();
    for (const StoreItem &item : reply.items) {
        if (item.key == CheckpointKey && item.revision != revision_)
            return reject(CheckpointFault::Superseded);
        if (item.key == CheckpointMarkKey)
            mark_ = markFromText(item.value);
    }
    const bool isMarked
        = mark_ && mark_->era == daemon_.era && mark_->checkpointWallMs == checkpoint_->wallMs;
    const CheckpointFault fault = checkUse(*checkpoint_, mark_, daemon_);
    if (isMarked && fault == CheckpointFault::None)
        return use();
    reject(fault == CheckpointFault::None ? CheckpointFault::Used : fault);
}

void CheckpointReader::use()
{
    step_ = Step::Done;
    counters_.add(GatewayCount::CheckpointsUsed);
    log_.write(LogPriority::State, "quota_checkpoint_used",
               {{"age_ms", daemon_.wallMs - checkpoint_->wallMs}, {"daemons", checkpoint_->daemons.size()}});
    usable_ = std::move(checkpoint_);
}

void CheckpointReader::reject(CheckpointFault fault)
{
    step_ = Step::Done;
    counters_.add(GatewayCount::CheckpointsRejected);
    log_.write(LogPriority::State, "quota_checkpoint_rejected", {{"why", toText(fault)}});
}

} // namespace cranberry
