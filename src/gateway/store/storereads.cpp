// Reads of the store: when they are due, and what they found.

#include "gateway/peers/memberentry.h"
#include "gateway/store/storeera.h"
#include "gateway/store/storesync.h"

#include <algorithm>

namespace cranberry {

namespace {

/// After this many failed reads in a row, or while a read has been open for `SlowReadTime`, a daemon queries
/// peers, even if it is a store reader. It keeps trying to read, less often while peers keep its view fresh.
constexpr uint32_t MaxFailedReads = 2;
constexpr DurationMs SlowReadTime{1100};
/// A read that takes longer than this indicates a busy store. Each further one doubles the read interval of a
/// daemon that is no store reader, `MaxReadDoublings` times at most: even without replies from peers, a view
/// must stay younger than the bound for removed keys. 295 daemons then read the configuration 120 times a
/// second (calculated); a store whose link takes 3 ms to send a list of 300 KB serves 300 reads a second.
constexpr DurationMs BusyReadTime{500};
constexpr uint32_t MaxReadDoublings = 2;
/// A read that takes longer than this counts as lost; the slowest store that still replies is faster.
constexpr DurationMs ReadTimeout{2500};

} // namespace

bool StoreSync::readsFail(TimeMs now) const
{
    return failedReads_ >= MaxFailedReads
        || std::any_of(open_.begin(), open_.end(), [now](const std::pair<const uint64_t, OpenCall> &entry) {
               return isRead(entry.second.purpose) && now - entry.second.sentAt > SlowReadTime;
           });
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

} // namespace cranberry
