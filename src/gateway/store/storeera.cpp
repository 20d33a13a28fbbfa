// Handling of a store that was restored from an older copy of itself: which views stay valid, and what this
// daemon must write again.

#include "gateway/store/storeera.h"
#include "gateway/store/storesync.h"

#include <algorithm>
#include <charconv>

namespace cranberry {

namespace {

/// Upper bound of how long a leader may still act after its lease expired, considering clocks and delays.
constexpr DurationMs CampaignMargin{700};
/// If nobody writes a configuration again within this time, though peers have seen it, it counts as
/// withdrawn.
constexpr DurationMs ConfigurationRestoreTime{30000};
/// Each daemon requests a lease and writes its entry again. With 890 daemons spread over this time each,
/// these are 500 writes per second.
constexpr DurationMs RegistrationJitterPerDaemon{4};
/// A store that states this era, or none, was never restored from a copy.
constexpr uint64_t FirstEra = 1;

} // namespace

std::string eraText(uint64_t era)
{
    return std::to_string(era);
}

std::optional<uint64_t> eraFromText(const std::string &text)
{
    uint64_t era = 0;
    const std::from_chars_result read = std::from_chars(text.data(), text.data() + text.size(), era);
    const bool isComplete = read.ec == std::errc() && read.ptr == text.data() + text.size();
    return isComplete ? std::optional<uint64_t>(era) : std::nullopt;
}

// After losing the leadership a daemon does not campaign for a lease's time plus a margin. Otherwise the
// order of leaders could be A, B, A within one lease.
DurationMs StoreSync::campaignPause() const
{
    return settings_.leaseTime + CampaignMargin;
}

void StoreSync::checkEra(StoreReply &reply, TimeMs now)
{
    if (!reply.era || *reply.era == era_)
        return;
    if (*reply.era > era_)
        return enterEra(*reply.era, now);
    log_.write(LogPriority::Failure, "store_era_over", {{"era", *reply.era}, {"known", era_}});
    reply = StoreReply{reply.id, StoreOutcome::NoReply, std::nullopt, {}, {}, 0, 0, {}};
}

// Everything known by revision is void, since revisions are assigned again. So are leases: another daemon may
// be granted the number of this daemon's lease, and a key under that lease would be kept alive by this
// daemon's renewals.
//
// The current leader may win again at once. No other daemon can have won: all others wait until the lease,
// which they no longer see, has expired in any case. If the leader waited too, leader tasks would pause for a
// lease's time at each restore.
void StoreSync::enterEra(uint64_t era, TimeMs now)
{
    const bool isFirst = era_ == 0;
    const bool held = leadership(now).held;
    log_.write(LogPriority::State, "store_era", {{"era", era}, {"before", era_}, {"led", held}});
    era_ = era;
    if (isFirst)
        return;
    viewConfirmed_ = viewConfirmed_ || newestShared_ >= startedAt_;
    eraSeenAt_ = now;
    const DurationMs registrationJitter
        = RegistrationJitterPerDaemon * static_cast<int64_t>(std::max<size_t>(listed_, 1));
    lease_ = 0;
    registered_ = false;
    renewAt_ = held ? now : now + jitter(registrationJitter);
    reclaimUntil_ = held ? std::optional<TimeMs>(leaseValidUntil_ - LeadershipMargin) : std::nullopt;
    if (held)
        campaignAt_ = reclaimAt_ = now;
    else
        delayCampaign(now);
    leader_ = {};
    leaderIsSelf_ = false;
    leaderIsEarlierIncarnation_ = false;
    readers_.revision = 0;
    quarantineRevision_ = 0;
    storedQuarantine_.clear();
    compareQuarantine();
    if (isStoreReader_ || held) {
        sharedAt_ = now;
        endpointsAt_ = now;
    }
}

// The leader according to data that the store lost may act on its lease until this time is over.
void StoreSync::delayCampaign(TimeMs now)
{
    mayLeadFrom_ = now + campaignPause();
    campaignAt_ = std::max(campaignAt_, mayLeadFrom_);
    reclaimAt_ = std::max(reclaimAt_, mayLeadFrom_);
}

// A key of an earlier incarnation of this daemon may be outdated, too: another daemon may have won after it.
void StoreSync::onFirstView(TimeMs now)
{
    firstViewAt_ = now;
    startedUnsettled_ = !settings_.firstStart && !isSettled();
    if (startedUnsettled_)
        delayCampaign(now);
}

void StoreSync::tickEra(TimeMs now)
{
    if (reclaimUntil_ && now >= *reclaimUntil_) {
        reclaimUntil_.reset();
        // The leader did not win again in time; from now on others may.
        if (!leaderIsSelf_)
            delayCampaign(now);
    }
    const bool leads = leadership(now).held || reclaimUntil_;
    if (!leads || ledSince_.count == 0)
        ledSince_ = leads ? now : TimeMs{};
    settleEra(now);
}

// A daemon that starts can't know whether the store was restored just before, and whether what it reads is
// older than what its peers have seen. This key shows it: it has the current era only once a leader has
// written its records again in that era, and the operators have written their configuration again, as far as
// the leader knows. In the first era nothing was lost, whether it was settled or not.
bool StoreSync::isSettled() const
{
    return settledEra_ == era_ || (settledEra_ == 0 && era_ <= FirstEra);
}

void StoreSync::settleEra(TimeMs now)
{
    const bool isDue = era_ != 0 && sharedEra_ == era_ && settledEra_ != era_ && recordsComplete_
        && storedVersion_ >= knownVersion() && leadership(now).held && now >= settleAt_;
    if (!isDue || tooManyOpen(Purpose::Settle))
        return;
    settleAt_ = now + RetryPause;
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.puts.push_back({StoreSpace::Control, SettledEraKey, eraText(era_), 0});
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::Settle, now, now, {}, 0}, now);
}

bool StoreSync::isViewConfirmed(TimeMs now) const
{
    const uint64_t version = configuration_ ? configuration_->version : 0;
    if (version < minVersion_ && now - startedAt_ < ConfigurationRestoreTime)
        return false;
    return viewConfirmed_ || isSettled() || now - firstViewAt_ > SettleTime;
}

} // namespace cranberry
