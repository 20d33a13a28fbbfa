// Ticks and replies of the store sync. Reads are in storereads.cpp, the lease and the leadership in
// storelease.cpp, freshness queries to peers in storequeries.cpp.

#include "gateway/store/storesync.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Maximum number of open reads of one kind: they overlap while the store is slow, but must not pile up.
constexpr size_t MaxOverlappingReads = 4;
/// The lease is renewed at a third of its time, so two renewals may be lost.
constexpr int64_t RenewalsPerLease = 3;

} // namespace

StoreSync::StoreSync(const StoreSyncSettings &settings, DecisionLog &log)
    : settings_(settings), log_(log), random_(settings.seed)
{ }

void StoreSync::send(StoreCall call, OpenCall open, TimeMs now)
{
    call.id = nextCall_++;
    open.sentAt = now;
    open_[call.id] = std::move(open);
    calls_.push_back(std::move(call));
}

bool StoreSync::tooManyOpen(Purpose purpose) const
{
    size_t count = 0;
    for (const std::pair<const uint64_t, OpenCall> &entry : open_)
        count += entry.second.purpose == purpose ? 1 : 0;
    return count >= (isRead(purpose) && isStoreReader_ ? MaxOverlappingReads : 1);
}

DurationMs StoreSync::jitter(DurationMs limit)
{
    return {static_cast<int64_t>(random_.below(static_cast<uint64_t>(limit.count)))};
}

void StoreSync::tick(TimeMs now)
{
    if (!started_) {
        started_ = true;
        startedAt_ = now;
        // An earlier incarnation of this daemon may have led until just now: waits until its lease has
        // expired.
        campaignAt_ = settings_.firstStart ? now : now + campaignPause();
        viewConfirmed_ = settings_.firstStart;
    }
    tickEra(now);
    recordTrouble(now);
    logListAge(now);
    if (source_ && now >= queryAt_)
        querySource(now);
    queryAnotherIfLate(now);
    readIfDue(now);
    if (leavesFrom_ && !leaving_)
        leaveIfReplaced(now);
    if (leaving_)
        return;
    nameItselfIfAlone(now);
    const bool mayRenew
        = lease_ == 0 || !leaderIsSelf_ || hearsStore(now) || now >= leaseValidUntil_ + settings_.leaseTime;
    const Purpose purpose = lease_ == 0 ? Purpose::Grant : Purpose::Renew;
    if (now >= renewAt_ && mayRenew && !tooManyOpen(purpose)) {
        renewAt_ = now + settings_.leaseTime / RenewalsPerLease;
        StoreCall call;
        call.verb = lease_ == 0 ? StoreVerb::GrantLease : StoreVerb::RenewLease;
        call.lease = lease_;
        call.leaseTime = settings_.leaseTime;
        call.timeout = WriteTimeout;
        send(call, {purpose, now, now, {}, lease_}, now);
    }
    if (lease_ != 0 && !registered_ && now >= registerAt_ && !tooManyOpen(Purpose::Register))
        registerSelf(now);
    const bool knowsShared = newestControl_ >= startedAt_ && controlEra_ == era_;
    if (now >= quarantineWriteAt_ && knowsShared && storeLacksQuarantine_
        && !tooManyOpen(Purpose::Quarantine))
        writeQuarantine(now);
    if (leaderIsSelf_ && now >= versionsWriteAt_ && knowsShared && lacksVersions()
        && !tooManyOpen(Purpose::Versions))
        writeVersions(now);
    if (lease_ != 0 && mayCampaign(now) && knowsShared && !tooManyOpen(Purpose::Campaign)
        && now < leaseValidUntil_ && hearsStore(now))
        campaign(now);
}

void StoreSync::onReply(StoreReply reply, TimeMs now)
{
    checkEra(reply, now);
    if (reply.outcome != StoreOutcome::NoReply)
        heardAt_ = now;
    if (reply.outcome == StoreOutcome::NoReply || reply.outcome == StoreOutcome::Refused)
        troubledAt_ = now;
    const auto found = open_.find(reply.id);
    if (found == open_.end())
        return;
    OpenCall open = std::move(found->second);
    open_.erase(found);
    switch (open.purpose) {
    case Purpose::ReadShared:
    case Purpose::ReadEndpoints:
        recordStoreState(reply.outcome == StoreOutcome::Done, now);
        failedReads_ = reply.outcome == StoreOutcome::Done ? 0 : failedReads_ + 1;
        recordReadTime(open, reply.outcome == StoreOutcome::Done, now);
        return onRead(open, reply, now);
    case Purpose::Grant:
    case Purpose::Renew:
        return onLeaseReply(open, reply, now);
    case Purpose::Register:
        registered_ = reply.outcome == StoreOutcome::Done && open.lease == lease_
            && open.serving == settings_.self.serving;
        registeredAt_ = now;
        if (reply.outcome == StoreOutcome::NotFound && open.lease == lease_)
            loseLease(now, "register");
        return;
    case Purpose::Campaign:
        // A lost or rejected attempt shows in the next read; only a win is handled here.
        if (reply.outcome == StoreOutcome::Done && open.lease == lease_) {
            leader_ = {ownLeaderValue(), reply.revision, lease_, era_};
            leaderIsSelf_ = true;
            leaderIsEarlierIncarnation_ = false;
            log_.write(LogPriority::State, "leadership_won",
                       {{"fencing_token", leadership(now).fencingToken}});
        }
        return;
    case Purpose::Quarantine:
        return onQuarantineReply(reply, now);
    case Purpose::Versions:
        return onVersionsReply(reply, now);
    case Purpose::NameReaders:
        return onReadersWritten(reply, now);
    case Purpose::Settle:
    case Purpose::Leave:
        return;
    }
}

} // namespace cranberry
