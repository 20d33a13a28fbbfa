// Reads, the lease, the own entry and the leadership of the duties. Questions to other daemons are in
// storequestions.cpp.

#include "gateway/store/storesync.h"

#include "gateway/peers/memberentry.h"
#include "gateway/store/storeera.h"

#include <algorithm>
#include <fmt/format.h>

namespace cranberry {

namespace {

namespace json = boost::json;

/// Pace of reading the configuration: a change must be in force within two seconds of its acknowledgement, so
/// two reads in a row may fail.
constexpr DurationMs SharedPace{600};
/// Pace of reading the endpoints: a leaving one must get no new work two seconds after it said so.
constexpr DurationMs EndpointsPace{500};
/// After so many failed reads in a row, or while one is not answered for so long, a daemon asks others, also
/// if it is one of those that read for all. It goes on trying; at a slower pace while others keep its view
/// fresh.
constexpr uint32_t ReadsFailing = 2;
constexpr DurationMs SlowRead{1100};
constexpr int64_t SlowerWhileFailing = 3;
/// A read that takes longer finds a busy store: each further one of a daemon that does not read for all
/// doubles its pause, so many times at most: without a word of others a view must stay younger than the bound
/// for removed keys. 295 daemons then read the configuration 120 times a second (worked out); a store whose
/// link a list of 300 KB keeps busy for 3 ms sends 300.
constexpr DurationMs BusyRead{500};
constexpr uint32_t MostReadDoublings = 2;
/// A read that takes longer than this is taken for lost; the slowest store that still answers is below it.
constexpr DurationMs ReadTimeout{2500};
/// Reads of one kind under way at once: they overlap while the store is slow, but don't pile up.
constexpr size_t MostOverlappingReads = 4;
/// A third of the lease: two renewals may be lost.
constexpr int64_t RenewalsPerLease = 3;
constexpr DurationMs StandSpread{400}; ///< So that not all stand in the same moment.
/// Those that serve hear the counts that are to be reported; the others stand only if none of them does.
constexpr DurationMs StandbyStandsLater{2000};

constexpr const char *MemberPrefix = "members/";
/// A fencing token is the revision that won, with the era before it: revisions alone go back when the store
/// comes back older. No store makes 2^40 changes.
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
    return failedReads_ >= ReadsFailing
        || std::any_of(open_.begin(), open_.end(), [now](const std::pair<const uint64_t, OpenCall> &entry) {
               return isRead(entry.second.purpose) && now - entry.second.sentAt > SlowRead;
           });
}

bool StoreSync::tooManyOpen(Purpose purpose) const
{
    size_t count = 0;
    for (const std::pair<const uint64_t, OpenCall> &entry : open_)
        count += entry.second.purpose == purpose ? 1 : 0;
    return count >= (isRead(purpose) && readsForAll_ ? MostOverlappingReads : 1);
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

void StoreSync::noteReadTime(const OpenCall &open, bool done, TimeMs now)
{
    const bool wasSlow = !done || now - open.sentAt > BusyRead;
    slowReads_ = wasSlow ? std::min(slowReads_ + 1, MostReadDoublings) : 0;
    if (wasSlow)
        return;
    // The pause was chosen before this read showed that the store is well again.
    sharedAt_ = std::min(sharedAt_, open.sentAt + SharedPace);
    endpointsAt_ = std::min(endpointsAt_, open.sentAt + EndpointsPace);
}

DurationMs StoreSync::spread(DurationMs most)
{
    return {static_cast<int64_t>(random_.below(static_cast<uint64_t>(most.count)))};
}

// All daemons find the store busy at the same moment, and must not come back together.
DurationMs StoreSync::readPause(DurationMs pace)
{
    if (readsForAll_ || slowReads_ == 0)
        return pace;
    const DurationMs most = pace * (int64_t{1} << slowReads_);
    return most / 2 + spread(most);
}

// One that reads for all by now must not keep a pause that was chosen while another one read for it: after an
// outage its own entry lapses, and it is left out of the readers for a moment.
void StoreSync::setReadsForAll(bool readsForAll, TimeMs now)
{
    if (std::exchange(readsForAll_, readsForAll) == readsForAll || !readsForAll)
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
        // An earlier life of this daemon may have led until just now: wait out its lease.
        standAt_ = settings_.firstStart ? now : now + quietTime();
        vouchedFor_ = settings_.firstStart;
    }
    tickEra(now);
    if (source_ && now >= askAt_)
        ask(now);
    const bool failing = readsFail(now);
    const DurationMs oldest = oldestBorrowed();
    const bool fresh = now - std::min(newestShared_, newestEndpoints_) < oldest;
    const int64_t slower = failing && fresh ? SlowerWhileFailing : 1;
    const bool sharedIsOld = !source_ || failing || now - newestShared_ > oldest;
    const bool endpointsAreOld = !source_ || failing || now - newestEndpoints_ > oldest;
    if (now >= sharedAt_ && sharedIsOld && !tooManyOpen(Purpose::ReadShared)) {
        sharedAt_ = now + std::max(SharedPace * slower, readPause(SharedPace));
        readShared(now);
    }
    if (now >= endpointsAt_ && endpointsAreOld && !tooManyOpen(Purpose::ReadEndpoints)) {
        endpointsAt_ = now + std::max(EndpointsPace * slower, readPause(EndpointsPace));
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
    if (lease_ != 0 && mayStand(now) && knowsShared && !tooManyOpen(Purpose::Stand) && now < leaseValidUntil_)
        stand(now);
}

bool StoreSync::mayStand(TimeMs now) const
{
    if (heldUntil_)
        return !leaderIsSelf_ && now >= standAt_;
    const DurationMs later = settings_.self.serving ? DurationMs{0} : StandbyStandsLater;
    return leader_.revision == 0 ? now >= standAt_ + later : leaderIsEarlierLife_ && now >= takeBackAt_;
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

// An instance runs one daemon at a time: a key with its name and another incarnation is of a process that
// ended.
bool StoreSync::isEarlierLife(const std::string &leaderValue) const
{
    return holderOf({leaderValue, 1, 0}) == settings_.self.instance && leaderValue != ownLeaderValue();
}

// The write's condition lets one daemon win. Its revision is the fencing token: unique, and larger than any
// before.
//
// A holder that was killed and started again finds its own key while its old lease runs. Its earlier life is
// over, and nobody else can have won before the key was gone: it replaces the key without waiting. Otherwise
// the duties rest for a whole lease when all daemons are killed at once.
void StoreSync::stand(TimeMs now)
{
    takeBackAt_ = now + RetryPause;
    standAt_ = now + RetryPause + spread(StandSpread);
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.conditions.push_back({StoreSpace::Shared, LeaderKey, leader_.revision});
    call.puts.push_back({StoreSpace::Shared, LeaderKey, ownLeaderValue(), lease_});
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::Stand, now, now, {}, lease_}, now);
}

// ---- Replies ----

void StoreSync::noteStoreState(bool answered, TimeMs now)
{
    if (answered == storeAnswers_)
        return;
    if (!answered && now - newestShared_ < ReadTimeout)
        return;
    storeAnswers_ = answered;
    log_.write(LogWeight::State, answered ? "store_regained" : "store_lost",
               {{"newest_read_age_ms", newestShared_.count == 0 ? 0 : (now - newestShared_).count}});
}

void StoreSync::onReply(StoreReply reply, TimeMs now)
{
    judgeEra(reply, now);
    const auto found = open_.find(reply.id);
    if (found == open_.end())
        return;
    OpenCall open = std::move(found->second);
    open_.erase(found);
    switch (open.purpose) {
    case Purpose::ReadShared:
    case Purpose::ReadEndpoints:
        noteStoreState(reply.outcome == StoreOutcome::Done, now);
        failedReads_ = reply.outcome == StoreOutcome::Done ? 0 : failedReads_ + 1;
        noteReadTime(open, reply.outcome == StoreOutcome::Done, now);
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
    case Purpose::Stand:
        // A lost or refused try shows in the next read; only a win is news.
        if (reply.outcome == StoreOutcome::Done && open.lease == lease_) {
            leader_ = {ownLeaderValue(), reply.revision, lease_, era_};
            leaderIsSelf_ = true;
            leaderIsEarlierLife_ = false;
            log_.write(LogWeight::State, "leadership_won", {{"fencing_token", leadership(now).fencingToken}});
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
    // Pages of two eras are no view of either.
    const uint64_t era = reply.era.value_or(era_);
    if (!open.pages.empty() && open.era != era)
        return;
    open.era = era;
    open.pages.insert(open.pages.end(), reply.items.begin(), reply.items.end());
    const bool shared = open.purpose == Purpose::ReadShared;
    if (!reply.nextPage.empty())
        return readSpace(shared ? StoreSpace::Shared : StoreSpace::Endpoints, std::move(open), reply.nextPage,
                         now);
    // Reads overlap: what an older question found must not replace what a newer one found.
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
            // An older store holds an older one until the operators have written theirs again.
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
                log_.write(LogWeight::Failure, "member_unreadable", {{"key", item.key}});
        }
    }
    takeRollouts(open);
    if (sawConfiguration != sawConfiguration_)
        log_.write(LogWeight::State, sawConfiguration ? "configuration_there" : "configuration_missing", {});
    sawConfiguration_ = sawConfiguration;
    if (isFirst)
        noteFirstView(now);
    if (sawConfiguration)
        tellConfiguration(open.readStartedAt, now);
    sharedDigest_ = digestOfShared(knownVersion(), members, leader);
    listed_ = members.size();
    takeMembers(std::move(members), leader, open.readStartedAt, now);
}

void StoreSync::takeMembers(std::vector<MemberEntry> members, const LeaderEntry &leader, TimeMs askedAt,
                            TimeMs now)
{
    members_ = members;
    checkOwnEntry(askedAt);
    news_.members = std::move(members);
    news_.listed = listed_;
    news_.dutyHolder = holderOf(leader);
    // What was asked before our own win can't have seen it.
    const bool staleView = leaderIsSelf_ && leader.era == leader_.era && leader.revision < leader_.revision;
    if (staleView && lease_ == leader_.lease && askedAt + WriteTimeout > now)
        return;
    const bool isSelf = leader.revision != 0 && leader.value == ownLeaderValue() && leader.lease == lease_;
    if (leaderIsSelf_ && !isSelf) {
        log_.write(LogWeight::State, "leadership_lost",
                   {{"why", "another entry"}, {"revision", leader.revision}});
        standAt_ = now + quietTime();
    }
    const bool wins = isSelf && !leaderIsSelf_;
    leader_ = leader;
    leaderIsSelf_ = isSelf;
    leaderIsEarlierLife_ = isEarlierLife(leader.value);
    if (wins)
        log_.write(LogWeight::State, "leadership_won", {{"fencing_token", leadership(now).fencingToken}});
}

void StoreSync::tellConfiguration(TimeMs askedAt, TimeMs now)
{
    if (configuration_ && isVouchedFor(now))
        news_.configurations.push_back({configuration_, askedAt});
}

// A write that was given up may be done later, after the one that followed it: the others would go on without
// the share of the limits that this daemon takes.
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
    news_.endpoints.push_back({endpoints_.entries(), open.readStartedAt, open.era});
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
    log_.write(LogWeight::State, "lease_lost", {{"why", why}, {"led", leaderIsSelf_}});
    if (leaderIsSelf_)
        standAt_ = now + quietTime();
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
    out.held
        = !leaving_ && leaderIsSelf_ && leader_.lease == lease_ && now < out.validUntil && now >= actsFrom_;
    out.stands = {StoreSpace::Shared, LeaderKey, leader_.revision};
    // What it wrote itself since it leads, it writes again.
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
    // Ending the lease removes the member's entry and the leader's key at once.
    StoreCall call;
    call.verb = StoreVerb::EndLease;
    call.lease = lease_;
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::Leave, now, now, {}, lease_}, now);
}

} // namespace cranberry
