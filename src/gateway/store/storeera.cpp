// A store that comes back from an older copy of itself: what this daemon may still believe, and what it does
// anew.

#include "gateway/store/storeera.h"
#include "gateway/store/storesync.h"

#include <algorithm>
#include <charconv>

namespace cranberry {

namespace {

/// A holder acts until this long after its lease at the most, by all clocks and delays.
constexpr DurationMs StandMargin{700};
/// A configuration that others have seen, and that nobody writes again, was taken back.
constexpr DurationMs RewriteTime{30000};
/// Each daemon asks for a lease and writes its entry again: 890 of them in so long each are 500 writes a
/// second.
constexpr DurationMs ReturnSpreadEach{4};
/// A store that states this era, or none, has never come back from a copy.
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
    const bool isWhole = read.ec == std::errc() && read.ptr == text.data() + text.size();
    return isWhole ? std::optional<uint64_t>(era) : std::nullopt;
}

// After a loss a daemon does not stand again for a lease's time and some more: otherwise the order of holders
// could be A, B, A within one lease.
DurationMs StoreSync::quietTime() const
{
    return settings_.leaseTime + StandMargin;
}

void StoreSync::judgeEra(StoreReply &reply, TimeMs now)
{
    if (!reply.era || *reply.era == era_)
        return;
    if (*reply.era > era_)
        return enterEra(*reply.era, now);
    log_.write(LogWeight::Failure, "store_era_over", {{"era", *reply.era}, {"known", era_}});
    reply = StoreReply{reply.id, StoreOutcome::NoReply, std::nullopt, {}, {}, 0, 0, {}};
}

// All that was known by revision is void, since revisions are given out again, and so are leases: another
// daemon may be given the number of ours, and a key of its lease would live on our renewals.
//
// The one that holds the duties now may win them again at once. Nobody else can have: all others wait until
// the lease that they don't see any more is over in any case. With a wait for it, too, the duties would rest
// for a lease at each return.
void StoreSync::enterEra(uint64_t era, TimeMs now)
{
    const bool isFirst = era_ == 0;
    const bool held = leadership(now).held;
    log_.write(LogWeight::State, "store_era", {{"era", era}, {"before", era_}, {"led", held}});
    era_ = era;
    if (isFirst)
        return;
    vouchedFor_ = vouchedFor_ || newestShared_ >= startedAt_;
    eraSeenAt_ = now;
    const DurationMs others = ReturnSpreadEach * static_cast<int64_t>(std::max<size_t>(listed_, 1));
    lease_ = 0;
    registered_ = false;
    renewAt_ = held ? now : now + spread(others);
    heldUntil_ = held ? std::optional<TimeMs>(leaseValidUntil_ - LeadershipMargin) : std::nullopt;
    if (held)
        standAt_ = takeBackAt_ = now;
    else
        keepQuiet(now);
    leader_ = {};
    leaderIsSelf_ = false;
    leaderIsEarlierLife_ = false;
    quarantineRevision_ = 0;
    storedQuarantine_.clear();
    compareQuarantine();
    if (readsForAll_ || held) {
        sharedAt_ = now;
        endpointsAt_ = now;
    }
}

// Whoever held the duties in what the store has lost may act on its lease until this is over.
void StoreSync::keepQuiet(TimeMs now)
{
    actsFrom_ = now + quietTime();
    standAt_ = std::max(standAt_, actsFrom_);
    takeBackAt_ = std::max(takeBackAt_, actsFrom_);
}

// The key of an earlier life of this daemon may be of long ago, too: somebody else can have won after it.
void StoreSync::noteFirstView(TimeMs now)
{
    firstViewAt_ = now;
    startedUnsettled_ = !settings_.firstStart && !isSettled();
    if (startedUnsettled_)
        keepQuiet(now);
}

void StoreSync::tickEra(TimeMs now)
{
    if (heldUntil_ && now >= *heldUntil_) {
        heldUntil_.reset();
        // It did not win again in time: by now others may.
        if (!leaderIsSelf_)
            keepQuiet(now);
    }
    const bool leads = leadership(now).held || heldUntil_;
    if (!leads || ledSince_.count == 0)
        ledSince_ = leads ? now : TimeMs{};
    settleEra(now);
}

// A daemon that starts can't know whether the store came back just before, and whether what it reads is older
// than what the others have seen. This key tells: it is of the present era only once a holder of the duties
// has made its records whole there, and the operators have written theirs again, as far as that holder knows.
// In the first era nothing of before is lost, whether it was settled or not.
bool StoreSync::isSettled() const
{
    return settledEra_ == era_ || (settledEra_ == 0 && era_ <= FirstEra);
}

void StoreSync::settleEra(TimeMs now)
{
    const bool isDue = era_ != 0 && sharedEra_ == era_ && settledEra_ != era_ && recordsAreWhole_
        && storedVersion_ >= knownVersion() && leadership(now).held && now >= settleAt_;
    if (!isDue || tooManyOpen(Purpose::Settle))
        return;
    settleAt_ = now + RetryPause;
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.puts.push_back({StoreSpace::Shared, SettledEraKey, eraText(era_), 0});
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::Settle, now, now, {}, 0}, now);
}

bool StoreSync::isVouchedFor(TimeMs now) const
{
    const uint64_t version = configuration_ ? configuration_->version : 0;
    if (version < leastVersion_ && now - startedAt_ < RewriteTime)
        return false;
    return vouchedFor_ || isSettled() || now - firstViewAt_ > SettleTime;
}

} // namespace cranberry
