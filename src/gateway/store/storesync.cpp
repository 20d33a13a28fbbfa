// Reads of the store, the lease, this daemon's own entry and the campaign for leadership. Freshness queries
// to peers are in storequeries.cpp.

#include "gateway/store/storesync.h"

#include "gateway/peers/memberentry.h"
#include "gateway/store/storeera.h"

#include <algorithm>
#include <fmt/format.h>

namespace cranberry {

namespace {

namespace json = boost::json;

/// Interval between reads of the configuration. A change must be in force within two seconds of its
/// acknowledgement, so two reads in a row may fail.
constexpr DurationMs SharedReadInterval{600};
/// Interval between reads of the endpoints. An endpoint that reports that it is leaving must get no new work
/// after two seconds.
constexpr DurationMs EndpointsReadInterval{500};
/// After this many failed reads in a row, or while a read has been open for `SlowReadTime`, a daemon queries
/// peers, even if it is a store reader. It keeps trying to read, at intervals longer by `FailingReadSlowdown`
/// while peers keep its view fresh.
constexpr uint32_t MaxFailedReads = 2;
constexpr DurationMs SlowReadTime{1100};
constexpr int64_t FailingReadSlowdown = 3;
/// A read that takes longer than this indicates a busy store. Each further one doubles the read interval of a
/// daemon that is no store reader, `MaxReadDoublings` times at most: even without replies from peers, a view
/// must stay younger than the bound for removed keys. 295 daemons then read the configuration 120 times a
/// second (calculated); a store whose link takes 3 ms to send a list of 300 KB serves 300 reads a second.
constexpr DurationMs BusyReadTime{500};
constexpr uint32_t MaxReadDoublings = 2;
/// A read that takes longer than this counts as lost; the slowest store that still replies is faster.
constexpr DurationMs ReadTimeout{2500};
/// Maximum number of open reads of one kind: they overlap while the store is slow, but must not pile up.
constexpr size_t MaxOverlappingReads = 4;
/// The lease is renewed at a third of its time, so two renewals may be lost.
constexpr int64_t RenewalsPerLease = 3;
constexpr DurationMs CampaignJitter{400}; ///< Keeps the daemons from campaigning at the same moment.
/// Serving daemons receive the counts that are to be reported. A standby daemon campaigns this much later,
/// thus only if no serving daemon does.
constexpr DurationMs StandbyCampaignDelay{2000};

constexpr const char *MemberPrefix = "members/";
/// A fencing token is the revision that won, preceded by the era: revisions alone decrease when the store is
/// restored from an older copy. No store makes 2^40 changes.
constexpr unsigned RevisionBits = 40;

} // namespace

StoreSync::StoreSync(const StoreSyncSettings &settings, DecisionLog &log)
    : settings_(settings), log_(log), random_(settings.seed)
{ }

// ---- Calls ----

void StoreSync::send(StoreCall call, OpenCall open, TimeMs now)
{
    call.id = nextCall_++;
    open.sentAt = now;
    open_[call.id] = std::move(open);
    calls_.push_back(std::move(call));
}

bool StoreSync::readsFail(TimeMs now) const
{
    return failedReads_ >= MaxFailedReads
        || std::any_of(open_.begin(), open_.end(), [now](const std::pair<const uint64_t, OpenCall> &entry) {
               return isRead(entry.second.purpose) && now - entry.second.sentAt > SlowReadTime;
           });
}

bool StoreSync::tooManyOpen(Purpose purpose) const
{
    size_t count = 0;
    for (const std::pair<const uint64_t, OpenCall> &entry : open_)
        count += entry.second.purpose == purpose ? 1 : 0;
    return count >= (isRead(purpose) && isStoreReader_ ? MaxOverlappingReads : 1);
}

void StoreSync::readSpace(StoreSpace space, OpenCall open, const std::string &after, TimeMs now)
{
    StoreCall call;
    call.verb = StoreVerb::List;
    call.space = space;
    call.after = after;
    call.timeout = ReadTimeout;
    send(std::move(call), std::move(open), now);
}

void StoreSync::readShared(TimeMs now)
{
    sharedReadAt_ = now;
    readSpace(StoreSpace::Shared, {Purpose::ReadShared, now, now, {}, 0}, "", now);
}

void StoreSync::recordReadTime(const OpenCall &open, bool done, TimeMs now)
{
    const bool wasSlow = !done || now - open.sentAt > BusyReadTime;
    slowReads_ = wasSlow ? std::min(slowReads_ + 1, MaxReadDoublings) : 0;
    if (wasSlow)
        return;
    // The intervals were chosen before this read showed that the store is fast again.
    sharedAt_ = std::min(sharedAt_, open.sentAt + SharedReadInterval);
    endpointsAt_ = std::min(endpointsAt_, open.sentAt + EndpointsReadInterval);
}

DurationMs StoreSync::jitter(DurationMs limit)
{
    return {static_cast<int64_t>(random_.below(static_cast<uint64_t>(limit.count)))};
}

// All daemons find the store busy at the same moment, so their next reads are spread by jitter.
DurationMs StoreSync::readPause(DurationMs interval)
{
    if (isStoreReader_ || slowReads_ == 0)
        return interval;
    const DurationMs maxPause = interval * (int64_t{1} << slowReads_);
    return maxPause / 2 + jitter(maxPause);
}

// A daemon that becomes a store reader must not keep the longer interval that it chose while another one read
// for it. After a store outage its own entry lapses, and for a moment it does not count as a reader.
void StoreSync::setStoreReader(bool isReader, TimeMs now)
{
    if (std::exchange(isStoreReader_, isReader) == isReader || !isReader)
        return;
    slowReads_ = 0;
    sharedAt_ = std::min(sharedAt_, now);
    endpointsAt_ = std::min(endpointsAt_, now);
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
    if (source_ && now >= queryAt_)
        sendQuery(now);
    const bool failing = readsFail(now);
    const DurationMs oldest = maxPeerViewAge();
    const bool fresh = now - std::min(newestShared_, newestEndpoints_) < oldest;
    const int64_t slower = failing && fresh ? FailingReadSlowdown : 1;
    const bool sharedIsOld = !source_ || failing || now - newestShared_ > oldest;
    const bool endpointsAreOld = !source_ || failing || now - newestEndpoints_ > oldest;
    if (now >= sharedAt_ && sharedIsOld && !tooManyOpen(Purpose::ReadShared)) {
        sharedAt_ = now + std::max(SharedReadInterval * slower, readPause(SharedReadInterval));
        readShared(now);
    }
    if (now >= endpointsAt_ && endpointsAreOld && !tooManyOpen(Purpose::ReadEndpoints)) {
        endpointsAt_ = now + std::max(EndpointsReadInterval * slower, readPause(EndpointsReadInterval));
        readSpace(StoreSpace::Endpoints, {Purpose::ReadEndpoints, now, now, {}, 0}, "", now);
    }
    if (leaving_)
        return;
    if (now >= renewAt_ && !tooManyOpen(lease_ == 0 ? Purpose::Grant : Purpose::Renew)) {
        renewAt_ = now + settings_.leaseTime / RenewalsPerLease;
        StoreCall call;
        call.verb = lease_ == 0 ? StoreVerb::GrantLease : StoreVerb::RenewLease;
        call.lease = lease_;
        call.leaseTime = settings_.leaseTime;
        call.timeout = WriteTimeout;
        send(call, {lease_ == 0 ? Purpose::Grant : Purpose::Renew, now, now, {}, lease_}, now);
    }
    if (lease_ != 0 && !registered_ && now >= registerAt_ && !tooManyOpen(Purpose::Register))
        registerSelf(now);
    const bool knowsShared = newestShared_ >= startedAt_ && sharedEra_ == era_;
    if (now >= quarantineWriteAt_ && knowsShared && storeLacksQuarantine_
        && !tooManyOpen(Purpose::Quarantine))
        writeQuarantine(now);
    if (lease_ != 0 && mayCampaign(now) && knowsShared && !tooManyOpen(Purpose::Campaign)
        && now < leaseValidUntil_)
        campaign(now);
}

bool StoreSync::mayCampaign(TimeMs now) const
{
    if (reclaimUntil_)
        return !leaderIsSelf_ && now >= campaignAt_;
    const DurationMs delay = settings_.self.serving ? DurationMs{0} : StandbyCampaignDelay;
    return leader_.revision == 0 ? now >= campaignAt_ + delay
                                 : leaderIsEarlierIncarnation_ && now >= reclaimAt_;
}

void StoreSync::registerSelf(TimeMs now)
{
    registerAt_ = now + RetryPause;
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.puts.push_back({StoreSpace::Shared, MemberPrefix + settings_.self.instance.value,
                         memberText(settings_.self), lease_});
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::Register, now, now, {}, lease_, settings_.self.serving}, now);
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
    call.conditions.push_back({StoreSpace::Shared, LeaderKey, leader_.revision});
    call.puts.push_back({StoreSpace::Shared, LeaderKey, ownLeaderValue(), lease_});
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::Campaign, now, now, {}, lease_}, now);
}

// ---- Replies ----

void StoreSync::recordStoreState(bool answered, TimeMs now)
{
    if (answered == storeAvailable_)
        return;
    if (!answered && now - newestShared_ < ReadTimeout)
        return;
    storeAvailable_ = answered;
    log_.write(LogPriority::State, answered ? "store_regained" : "store_lost",
               {{"newest_read_age_ms", newestShared_.count == 0 ? 0 : (now - newestShared_).count}});
}

void StoreSync::onReply(StoreReply reply, TimeMs now)
{
    checkEra(reply, now);
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
    case Purpose::Settle:
    case Purpose::Leave:
        return;
    }
}

void StoreSync::onRead(OpenCall &open, const StoreReply &reply, TimeMs now)
{
    if (reply.outcome != StoreOutcome::Done)
        return;
    // Pages of two eras don't form a consistent view.
    const uint64_t era = reply.era.value_or(era_);
    if (!open.pages.empty() && open.era != era)
        return;
    open.era = era;
    open.pages.insert(open.pages.end(), reply.items.begin(), reply.items.end());
    const bool shared = open.purpose == Purpose::ReadShared;
    if (!reply.nextPage.empty())
        return readSpace(shared ? StoreSpace::Shared : StoreSpace::Endpoints, std::move(open), reply.nextPage,
                         now);
    // Reads overlap: the result of an older read must not replace that of a newer one.
    TimeMs &newest = shared ? newestShared_ : newestEndpoints_;
    if (open.readStartedAt < newest)
        return;
    newest = open.readStartedAt;
    if (shared)
        takeShared(open, now);
    else
        takeEndpoints(open);
}

void StoreSync::takeShared(const OpenCall &open, TimeMs now)
{
    std::vector<MemberEntry> members;
    LeaderEntry leader;
    bool sawConfiguration = false;
    const bool isFirst = sharedDigest_ == 0;
    sharedEra_ = open.era;
    settledEra_ = 0;
    for (const StoreItem &item : open.pages) {
        if (item.isConfiguration) {
            sawConfiguration = true;
            storedVersion_ = item.configuration->version;
            // After a restore the store holds an older configuration until the operators write theirs again.
            if (!configuration_ || item.configuration->version >= configuration_->version)
                configuration_ = item.configuration;
        } else if (item.key == SettledEraKey) {
            settledEra_ = eraFromText(item.value).value_or(0);
        } else if (item.key == QuarantineKey) {
            takeQuarantine(item.value, item.revision);
        } else if (item.key == LeaderKey) {
            leader = {item.value, item.revision, item.lease, open.era};
        } else if (item.key.starts_with(MemberPrefix)) {
            std::optional<MemberEntry> member
                = memberFromText(item.key.substr(std::string_view(MemberPrefix).size()), item.value);
            if (member)
                members.push_back(std::move(*member));
            else
                log_.write(LogPriority::Failure, "member_unreadable", {{"key", item.key}});
        }
    }
    takeRollouts(open);
    if (sawConfiguration != sawConfiguration_)
        log_.write(LogPriority::State, sawConfiguration ? "configuration_there" : "configuration_missing",
                   {});
    sawConfiguration_ = sawConfiguration;
    if (isFirst)
        onFirstView(now);
    if (sawConfiguration)
        publishConfiguration(open.readStartedAt, now);
    sharedDigest_ = sharedStateDigest(knownVersion(), members, leader);
    listed_ = members.size();
    takeMembers(std::move(members), leader, open.readStartedAt, now);
}

void StoreSync::takeMembers(std::vector<MemberEntry> members, const LeaderEntry &leader, TimeMs askedAt,
                            TimeMs now)
{
    members_ = members;
    checkOwnEntry(askedAt);
    updates_.members = std::move(members);
    updates_.listed = listed_;
    updates_.leader = leaderInstance(leader);
    // A read that was sent before the own win can't show it.
    const bool staleView = leaderIsSelf_ && leader.era == leader_.era && leader.revision < leader_.revision;
    if (staleView && lease_ == leader_.lease && askedAt + WriteTimeout > now)
        return;
    const bool isSelf = leader.revision != 0 && leader.value == ownLeaderValue() && leader.lease == lease_;
    if (leaderIsSelf_ && !isSelf) {
        log_.write(LogPriority::State, "leadership_lost",
                   {{"why", "another entry"}, {"revision", leader.revision}});
        campaignAt_ = now + campaignPause();
    }
    const bool wins = isSelf && !leaderIsSelf_;
    leader_ = leader;
    leaderIsSelf_ = isSelf;
    leaderIsEarlierIncarnation_ = isEarlierIncarnation(leader.value);
    if (wins)
        log_.write(LogPriority::State, "leadership_won", {{"fencing_token", leadership(now).fencingToken}});
}

void StoreSync::publishConfiguration(TimeMs askedAt, TimeMs now)
{
    if (configuration_ && isViewConfirmed(now))
        updates_.configurations.push_back({configuration_, askedAt});
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

void StoreSync::takeEndpoints(const OpenCall &open)
{
    std::vector<EndpointEntry> entries;
    for (const StoreItem &item : open.pages) {
        if (item.endpoint)
            entries.push_back(*item.endpoint);
    }
    endpoints_.replace(std::move(entries));
    endpointsEra_ = open.era;
    updates_.endpoints.push_back({endpoints_.entries(), open.readStartedAt, open.era});
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

// ---- Leadership ----

Leadership StoreSync::leadership(TimeMs now) const
{
    Leadership out;
    out.validUntil = leaseValidUntil_ - LeadershipMargin;
    out.fencingToken = (leader_.era << RevisionBits) + leader_.revision;
    out.held = !leaving_ && leaderIsSelf_ && leader_.lease == lease_ && now < out.validUntil
        && now >= mayLeadFrom_;
    out.leaderCondition = {StoreSpace::Shared, LeaderKey, leader_.revision};
    // What it wrote itself since it became leader, it writes again.
    const bool ledThroughEra = ledSince_.count != 0 && ledSince_ < eraSeenAt_;
    if (startedUnsettled_)
        out.recordsLostBefore = startedAt_;
    if (eraSeenAt_.count != 0)
        out.recordsLostBefore = ledThroughEra ? ledSince_ : eraSeenAt_;
    return out;
}

void StoreSync::startLeaving(TimeMs now)
{
    if (leaving_)
        return;
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

} // namespace cranberry
