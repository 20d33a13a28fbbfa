// The lease, this daemon's own entry and the campaign for leadership.

#include "gateway/peers/memberentry.h"
#include "gateway/store/storesync.h"

#include <algorithm>
#include <boost/json.hpp>

namespace cranberry {

namespace {

namespace json = boost::json;

constexpr DurationMs CampaignJitter{400}; ///< Keeps the daemons from campaigning at the same moment.
/// Serving daemons receive the counts that are to be reported. A standby daemon campaigns this much later,
/// thus only if no serving daemon does.
constexpr DurationMs StandbyCampaignDelay{2000};
/// From a stop on, the entries of daemons that were stopped at the same time may be read for this long.
constexpr DurationMs LastEntryTime{300};
/// A fencing token is the revision that won, preceded by the era: revisions alone decrease when the store is
/// restored from an older copy. No store makes 2^40 changes.
constexpr unsigned RevisionBits = 40;

} // namespace

void StoreSync::registerSelf(TimeMs now)
{
    registerAt_ = now + RetryPause;
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.puts.push_back(
        {StoreSpace::Members, settings_.self.instance.value, memberText(settings_.self), lease_});
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::Register, now, now, {}, lease_, settings_.self.serving}, now);
}

// A write that timed out may be executed later than the write that followed it. The peers would then not
// count the share of the limits that this daemon uses.
void StoreSync::checkOwnEntry(TimeMs askedAt)
{
    if (!registered_ || askedAt <= registeredAt_)
        return;
    const bool listedServing
        = std::any_of(members_.begin(), members_.end(), [this](const MemberEntry &member) {
              return member.incarnation == settings_.self.incarnation && member.serving;
          });
    registered_ = listedServing == settings_.self.serving;
}

void StoreSync::onLeaseReply(const OpenCall &open, const StoreReply &reply, TimeMs now)
{
    if (reply.outcome == StoreOutcome::NotFound && open.lease == lease_)
        return loseLease(now, "not found");
    if (reply.outcome != StoreOutcome::Done)
        return;
    if (open.purpose == Purpose::Grant) {
        if (lease_ != 0)
            return;
        lease_ = reply.lease;
        registered_ = false;
    } else if (open.lease != lease_) {
        return;
    }
    leaseValidUntil_ = std::max(leaseValidUntil_, open.sentAt + reply.leaseTime);
}

void StoreSync::loseLease(TimeMs now, const char *why)
{
    log_.write(LogPriority::State, "lease_lost", {{"why", why}, {"led", leaderIsSelf_}});
    if (leaderIsSelf_)
        campaignAt_ = now + campaignPause();
    lease_ = 0;
    registered_ = false;
    leaderIsSelf_ = false;
    leaseValidUntil_ = now;
    renewAt_ = now;
}

void StoreSync::startLeaving(TimeMs now)
{
    if (leaving_ || leavesFrom_)
        return;
    leavesFrom_ = now;
    if (!leaderIsSelf_)
        leave(now);
}

bool StoreSync::leaveAtOnce(TimeMs now)
{
    if (leaving_ || lease_ == 0)
        return false;
    leave(now);
    return true;
}

// Where all daemons are stopped within their grace time, nobody could lead, and usage would be reported late.
// So a leader leaves only once another daemon has been listed for long enough to win.
void StoreSync::leaveIfReplaced(TimeMs now)
{
    if (!leaderIsSelf_)
        return leave(now);
    if (newestControl_ <= *leavesFrom_ + LastEntryTime)
        return;
    const bool hasOther = std::any_of(members_.begin(), members_.end(), [this](const MemberEntry &member) {
        return member.instance != settings_.self.instance;
    });
    if (!hasOther) {
        wasLast_ = true;
        otherListedSince_.reset();
        return;
    }
    otherListedSince_ = otherListedSince_.value_or(now);
    const DurationMs pause = wasLast_ ? settings_.leaseTime + CampaignJitter * 2 : DurationMs{0};
    if (now >= *otherListedSince_ + pause)
        leave(now);
}

void StoreSync::leave(TimeMs now)
{
    leaving_ = true;
    if (lease_ == 0)
        return;
    // Ending the lease removes the member's entry and the leader's key at the same time.
    StoreCall call;
    call.verb = StoreVerb::EndLease;
    call.lease = lease_;
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::Leave, now, now, {}, lease_}, now);
}

Leadership StoreSync::leadership(TimeMs now) const
{
    Leadership out;
    out.validUntil = leaseValidUntil_ - LeadershipMargin;
    out.fencingToken = (leader_.era << RevisionBits) + leader_.revision;
    out.held = !leaving_ && leaderIsSelf_ && leader_.lease == lease_ && now < out.validUntil
        && now >= mayLeadFrom_;
    out.leaderCondition = {StoreSpace::Control, LeaderKey, leader_.revision};
    // What it wrote itself since it became leader, it writes again.
    const bool ledThroughEra = ledSince_.count != 0 && ledSince_ < eraSeenAt_;
    if (startedUnsettled_)
        out.recordsLostBefore = startedAt_;
    if (eraSeenAt_.count != 0)
        out.recordsLostBefore = ledThroughEra ? ledSince_ : eraSeenAt_;
    return out;
}

bool StoreSync::mayCampaign(TimeMs now) const
{
    if (reclaimUntil_)
        return !leaderIsSelf_ && now >= campaignAt_;
    const DurationMs delay = settings_.self.serving ? DurationMs{0} : StandbyCampaignDelay;
    return leader_.revision == 0 ? listed_ > 0 && now >= campaignAt_ + delay
                                 : leaderIsEarlierIncarnation_ && now >= reclaimAt_;
}

std::string StoreSync::ownLeaderValue() const
{
    return json::serialize(json::object{{"instance", settings_.self.instance.value},
                                        {"incarnation", settings_.self.incarnation.value},
                                        {"era", era_}});
}

// An instance runs one daemon at a time, so a key with its name and another incarnation belongs to a process
// that has exited.
bool StoreSync::isEarlierIncarnation(const std::string &leaderValue) const
{
    return leaderInstance({leaderValue, 1, 0}) == settings_.self.instance && leaderValue != ownLeaderValue();
}

// The condition of the write lets only one daemon win. The revision of the write is the fencing token:
// unique, and larger than any before.
//
// A leader that was killed and restarted finds its own key while its old lease is valid. Its earlier
// incarnation has exited, and nobody else can have won while the key exists, so it replaces the key without
// waiting. Otherwise leader tasks would pause for a full lease when all daemons are killed at once.
void StoreSync::campaign(TimeMs now)
{
    reclaimAt_ = now + RetryPause;
    campaignAt_ = now + RetryPause + jitter(CampaignJitter);
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.conditions.push_back({StoreSpace::Control, LeaderKey, leader_.revision});
    call.puts.push_back({StoreSpace::Control, LeaderKey, ownLeaderValue(), lease_});
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::Campaign, now, now, {}, lease_}, now);
}

} // namespace cranberry
