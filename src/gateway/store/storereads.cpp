// Reads of the store: when they are due, and what they found.

#include "gateway/peers/memberentry.h"
#include "gateway/store/namedreaders.h"
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
/// A daemon whose reads fail, but whose view peers keep fresh, reads at intervals longer by this factor.
constexpr int64_t FailingReadSlowdown = 3;
/// Interval at which a daemon that waits for the lists of a large fleet reads the control keys: it learns of
/// new readers from its peers.
constexpr DurationMs AwaitReadersInterval{2500};

} // namespace

bool StoreSync::readsFail(TimeMs now) const
{
    return failedReads_ >= MaxFailedReads
        || std::any_of(open_.begin(), open_.end(), [now](const std::pair<const uint64_t, OpenCall> &entry) {
               return isRead(entry.second.purpose) && now - entry.second.sentAt > SlowReadTime;
           });
}

void StoreSync::readSpace(OpenCall open, const std::string &after, TimeMs now)
{
    StoreCall call;
    call.verb = StoreVerb::List;
    call.space = open.space;
    call.after = after;
    call.timeout = ReadTimeout;
    send(std::move(call), std::move(open), now);
}

// In a large fleet a list takes many pages, so it is read as seldom as the bounds allow: a change reaches the
// readers within a fifth or a quarter of its bound, and the rest is left for the way to all others.
DurationMs StoreSync::sharedReadInterval() const
{
    if (!isLargeFleet())
        return SharedReadInterval;
    const bool awaitsReaders = !isStoreReader_ && endpoints_.digest() == 0;
    return awaitsReaders ? AwaitReadersInterval
                         : std::max(SharedReadInterval, settings_.configurationBound / 5);
}

DurationMs StoreSync::endpointsReadInterval() const
{
    return isLargeFleet() ? std::max(EndpointsReadInterval, settings_.drainTime / 4) : EndpointsReadInterval;
}

// Before a list is read, the control keys and the members tell whether lists are left to the readers.
void StoreSync::readIfDue(TimeMs now)
{
    const bool failing = readsFail(now);
    const DurationMs oldest = maxPeerViewAge();
    const bool fresh = now - std::min(newestShared_, newestEndpoints_) < oldest;
    const int64_t slower = failing && fresh ? FailingReadSlowdown : 1;
    const bool sharedIsOld = !source_ || failing || now - newestShared_ > oldest;
    if (now >= sharedAt_ && sharedIsOld && !tooManyOpen(Purpose::ReadShared)) {
        const DurationMs interval = sharedReadInterval();
        sharedAt_ = now + std::max(interval * slower, readPause(interval));
        readShared(sharedSpaceToRead(), isStoreReader_, now);
    }
    const bool readsLateList = readsLateListItself(now);
    const bool leftToReaders
        = newestShared_.count == 0 || (isLargeFleet() && !isStoreReader_ && !readsLateList);
    const bool endpointsAreOld = !source_ || failing || readsLateList || now - newestEndpoints_ > oldest;
    if (now >= endpointsAt_ && endpointsAreOld && !leftToReaders && !tooManyOpen(Purpose::ReadEndpoints)) {
        endpointsAt_ = now + std::max(endpointsReadInterval() * slower, readPause(endpointsReadInterval()));
        OpenCall open{Purpose::ReadEndpoints, now, now, {}, 0};
        open.space = StoreSpace::Endpoints;
        open.readsAllPages = isStoreReader_ || !isLargeFleet() || readsLateList;
        readSpace(open, "", now);
    }
}

StoreSpace StoreSync::sharedSpaceToRead() const
{
    // While a fleet starts, the store's link may be too busy for first pages. Whoever got none in time learns
    // from the few control keys whether readers are named by now; otherwise all would ask for pages again and
    // again.
    const bool missedFirstPage = newestShared_.count == 0 && failedReads_ > 0;
    if (newestControl_.count == 0 || missedFirstPage)
        return StoreSpace::Control;
    if (!isLargeFleet() || isStoreReader_)
        return StoreSpace::Shared;
    // A daemon that has no endpoints accepts no request. It reads the configuration when a reader replies, so
    // that after a start of all daemons the readers' lists don't wait for hundreds of configurations.
    const bool needsConfiguration = endpoints_.digest() != 0 && newestShared_ < newestControl_;
    return needsConfiguration ? StoreSpace::Configuration : StoreSpace::Control;
}

void StoreSync::readShared(StoreSpace space, bool allPages, TimeMs now)
{
    sharedReadAt_ = now;
    OpenCall open{Purpose::ReadShared, now, now, {}, 0};
    open.space = space;
    open.readsAllPages = allPages;
    readSpace(open, "", now);
}

void StoreSync::recordReadTime(const OpenCall &open, bool done, TimeMs now)
{
    const bool wasSlow = !done || now - open.sentAt > BusyReadTime;
    slowReads_ = wasSlow ? std::min(slowReads_ + 1, MaxReadDoublings) : 0;
    if (wasSlow)
        return;
    // The intervals were chosen before this read showed that the store is fast again.
    sharedAt_ = std::min(sharedAt_, open.sentAt + sharedReadInterval());
    endpointsAt_ = std::min(endpointsAt_, open.sentAt + endpointsReadInterval());
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
    if (!reply.nextPage.empty()) {
        membersArePaged_ = membersArePaged_ || shared;
        if (open.readsAllPages)
            return readSpace(std::move(open), reply.nextPage, now);
        open.isCut = true;
    }
    if (shared)
        takeShared(open, now);
    else if (!open.isCut)
        takeEndpoints(open);
}

StoreSync::SharedRead StoreSync::sharedReadOf(const OpenCall &open)
{
    SharedRead out;
    for (const StoreItem &item : open.pages) {
        if (item.isConfiguration) {
            out.configuration = item.configuration;
        } else if (item.space == StoreSpace::Members) {
            std::optional<MemberEntry> member = memberFromText(item.key, item.value);
            if (member)
                out.members.push_back(std::move(*member));
            else
                log_.write(LogPriority::Failure, "member_unreadable", {{"key", item.key}});
        } else if (item.key == SettledEraKey) {
            out.settledEra = eraFromText(item.value).value_or(0);
        } else if (item.key == QuarantineKey) {
            takeQuarantine(item.value, item.revision);
        } else if (item.key == LeaderKey) {
            out.leader = {item.value, item.revision, item.lease, open.era};
        } else if (item.key == ReadersKey) {
            out.readers = {readersFromText(item.value), item.revision};
        }
    }
    return out;
}

// Reads overlap: the result of an older read must not replace that of a newer one.
void StoreSync::takeShared(const OpenCall &open, TimeMs now)
{
    const TimeMs readAt = open.readStartedAt;
    const bool hasControl = open.space != StoreSpace::Configuration && readAt >= newestControl_;
    const bool hasConfiguration = open.space != StoreSpace::Control && readAt >= newestShared_;
    const bool hasMembers = open.space == StoreSpace::Shared && hasConfiguration && !open.isCut;
    const bool isFirst = hasControl && newestControl_.count == 0;
    if (!hasControl && !hasConfiguration)
        return;
    SharedRead read = sharedReadOf(open);
    if (hasControl) {
        newestControl_ = readAt;
        controlEra_ = open.era;
        settledEra_ = read.settledEra;
        takeReaders(read.readers, now);
    }
    if (open.space == StoreSpace::Shared && hasConfiguration)
        takeRollouts(open);
    if (isFirst)
        onFirstView(now);
    if (hasConfiguration)
        takeConfiguration(read.configuration, readAt, now);
    if (hasMembers) {
        sharedEra_ = open.era;
        listed_ = read.members.size();
        takeMembers(std::move(read.members), read.leader, readAt, now);
    } else if (hasControl) {
        takeLeader(read.leader, readAt, now);
    }
    // Without members there is no view yet that could equal that of a peer.
    sharedDigest_ = listed_ == 0 ? 0 : sharedStateDigest(knownVersion(), members_, leader_);
    if (!isFirst || open.space != StoreSpace::Control)
        return;
    sharedAt_ = now;
    readIfDue(now);
}

// After a restore the store holds an older configuration until the operators write theirs again.
void StoreSync::takeConfiguration(const ServingConfigurationPtr &configuration, TimeMs askedAt, TimeMs now)
{
    newestShared_ = askedAt;
    const bool isThere = configuration != nullptr;
    if (isThere != sawConfiguration_)
        log_.write(LogPriority::State, isThere ? "configuration_there" : "configuration_missing", {});
    sawConfiguration_ = isThere;
    if (!isThere)
        return;
    storedVersion_ = configuration->version;
    if (!configuration_ || configuration->version >= configuration_->version)
        configuration_ = configuration;
    publishConfiguration(askedAt, now);
}

void StoreSync::takeMembers(std::vector<MemberEntry> members, const LeaderEntry &leader, TimeMs askedAt,
                            TimeMs now)
{
    // Daemons of a large fleet know the members late; those that are to serve must find the time to.
    if (members_.empty())
        campaignAt_ = std::max(campaignAt_, now);
    members_ = members;
    checkOwnEntry(askedAt);
    updates_.members = std::move(members);
    updates_.listed = listed_;
    updates_.leader = leaderInstance(leader);
    takeLeader(leader, askedAt, now);
}

void StoreSync::takeLeader(const LeaderEntry &leader, TimeMs askedAt, TimeMs now)
{
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
    if (open.readStartedAt < newestEndpoints_)
        return;
    newestEndpoints_ = open.readStartedAt;
    std::vector<EndpointEntry> entries;
    for (const StoreItem &item : open.pages) {
        if (item.endpoint)
            entries.push_back(*item.endpoint);
    }
    endpoints_.replace(std::move(entries), open.readStartedAt);
    endpointsEra_ = open.era;
    publishEndpoints(open.readStartedAt, false);
}

} // namespace cranberry
