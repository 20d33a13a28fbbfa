// Freshness queries: querying a peer instead of reading the store, and replying to the queries of peers.

#include "gateway/peers/memberentry.h"
#include "gateway/store/storesync.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Interval between queries to a peer. The peer's own view is up to one read interval old when it replies.
constexpr DurationMs QueryInterval{300};
/// A standby daemon sends queries less often: only callers with outdated addresses connect to it.
constexpr DurationMs StandbyQueryInterval{500};
/// A daemon that has no list of endpoints yet can't accept requests.
constexpr DurationMs StartQueryInterval{250};
/// A view older than this is refreshed by reading the store, whatever the peer replies.
constexpr DurationMs MaxPeerViewAge{1300};
constexpr DurationMs StandbyMaxPeerViewAge{1800};
/// A reader whose view is older than this can't read the store; another one may have a newer view.
constexpr DurationMs MaxReaderViewAge{2500};
/// A standby daemon reads configuration changes at most this many times within the bound in which they must
/// be in force: with changes in quick succession, hundreds of daemons would read each one.
constexpr int64_t StandbyReadsPerBound = 3;
/// A peer that left more than this many queries in a row unanswered is not queried for `SilentSourcePause`.
constexpr uint32_t MaxUnansweredQueries = 3;
constexpr DurationMs SilentSourcePause{1000};
/// How long unanswered queries to a peer are remembered, so that peers that are gone for good are forgotten.
constexpr DurationMs UnansweredRetention{60000};
/// Maximum number of members in a reply: more don't fit into a datagram together with the list of endpoints.
/// They are read from the store instead.
constexpr size_t MaxMembersPerReply = 120;
/// Maximum number of changed endpoints in one reply: each takes about 90 B, and a datagram holds 60 KB.
constexpr size_t MaxChangesPerReply = 400;
/// Endpoints in one part of a full list. Hundreds of daemons request parts at the same time after a start; a
/// part for each must not fill the reader's link for long.
constexpr size_t EndpointsPerPart = 100;
constexpr size_t MaxOpenQueries = 16;
/// Readers that did not reply for this part of the bound (1/5) count as silent.
constexpr int64_t SilencesPerBound = 5;
/// So many differences in a row that did not lead to the reader's version: the whole list is requested.
constexpr uint32_t MaxFailedDifferences = 3;
/// Offers of the whole list that are passed over in a row.
constexpr uint32_t MaxSkippedLists = 2;
/// How long a reader that can't tell the changes since a time is passed over for others that can.
constexpr DurationMs WithoutHistoryPause{3000};

uint64_t digestOfEntries(const std::vector<Address> &entries)
{
    std::string digested;
    for (const Address &address : entries)
        digested += toText(address) + ";";
    return jsonDigestOf(digested);
}

} // namespace

DurationMs StoreSync::queryInterval() const
{
    const bool hasEndpoints = endpoints_.digest() != 0 && endpoints_.isComplete();
    if (!hasEndpoints)
        return StartQueryInterval;
    return settings_.self.serving ? QueryInterval : StandbyQueryInterval;
}

void StoreSync::querySource(TimeMs now)
{
    queryAt_ = now + queryInterval();
    std::erase_if(withoutHistory_, [now](const std::pair<const Address, TimeMs> &each) {
        return now - each.second > WithoutHistoryPause;
    });
    sendQuery(*source_, now);
}

// When a reader is gone or can't read, its daemons would find out one after the other, by unanswered queries.
// A list that is older than half of the bound is no reader's usual delay any more, so another reader is
// queried beside one that is silent, a different one each time. Readers that reply slowly get no more
// queries. When no reader knew more in time, the daemons that serve read the list themselves, and tell the
// others.
void StoreSync::queryAnotherIfLate(TimeMs now)
{
    const ListAge age = endpointsAge(now);
    const bool hearsReaders = now - readerRepliedAt_ < settings_.drainTime / SilencesPerBound;
    if (!isLargeFleet() || !source_ || hearsReaders || age < ListAge::Late || now < queryAnotherAt_)
        return;
    std::vector<Address> others = readers_.addresses;
    if (age >= ListAge::Overdue) {
        for (const MemberEntry &member : members_) {
            if (member.serving)
                others.push_back(member.peerAddress);
        }
    }
    std::erase_if(others, [this](const Address &other) {
        return other == *source_ || other == settings_.self.peerAddress;
    });
    queryAnotherAt_ = now + QueryInterval;
    if (!others.empty())
        sendQuery(others[random_.below(others.size())], now);
}

void StoreSync::sendQuery(const Address &to, TimeMs now)
{
    while (openQueries_.size() >= MaxOpenQueries)
        openQueries_.erase(openQueries_.begin());
    openQueries_[nextQuery_] = {now, to};
    std::erase_if(unanswered_, [now](const std::pair<const Address, Unanswered> &each) {
        return now - each.second.askedAt > UnansweredRetention;
    });
    Unanswered &unanswered = unanswered_[to];
    ++unanswered.queries;
    unanswered.askedAt = now;
    std::optional<DurationMs> age;
    if (endpoints_.digest() != 0 && failedDifferences_ < MaxFailedDifferences)
        age = now - endpoints_.asOf();
    outgoing_.push_back(
        {to,
         FreshnessQuery{settings_.self.incarnation, nextQuery_, era_, endpoints_.base(),
                        endpoints_.lastReceived(), age, sharedDigest_, knownVersion(), peerEntriesDigest_,
                        peerQuarantineDigest_, rolloutsDigest_, readers_.revision}});
    ++nextQuery_;
}

DurationMs StoreSync::maxPeerViewAge() const
{
    const DurationMs readLater = sharedReadInterval() - SharedReadInterval;
    return (settings_.self.serving ? MaxPeerViewAge : StandbyMaxPeerViewAge) + readLater;
}

std::set<Address> StoreSync::silentSources(TimeMs now) const
{
    std::set<Address> out;
    for (const std::pair<const Address, Unanswered> &each : unanswered_) {
        if (each.second.queries > MaxUnansweredQueries && now - each.second.askedAt < SilentSourcePause)
            out.insert(each.first);
    }
    return out;
}

void StoreSync::setServing(bool serving)
{
    if (serving == settings_.self.serving)
        return;
    log_.write(LogPriority::State, serving ? "serving" : "standing_by", {});
    settings_.self.serving = serving;
    registered_ = false;
}

void StoreSync::setEntries(const std::vector<Address> &entries)
{
    if (entries == entries_)
        return;
    entries_ = entries;
    entriesDigest_ = entries.empty() ? 0 : digestOfEntries(entries);
}

uint64_t StoreSync::knownVersion() const
{
    return sawConfiguration_ && configuration_ ? configuration_->version : 0;
}

void StoreSync::onFreshnessQuery(const FreshnessQuery &query, const Address &from, TimeMs now)
{
    // A view that is already too old is of no use, since the peer would have to read in any case. A view that
    // merely could not be refreshed just now is still sent: without a reply, all peers would read from a busy
    // store. In a large fleet peers don't read lists, and an old view is better than none.
    if (query.era > era_)
        enterEra(query.era, now);
    if (isLargeFleet() && !isNamedReader() && query.readersRevision < readers_.revision)
        return redirect(query, from);
    const TimeMs oldest = std::min(newestShared_, newestEndpoints_);
    if (namedItself_ || !knowsPresentEra() || !isViewConfirmed(now) || !endpoints_.isComplete())
        return;
    const bool isTooOld = now - oldest > MaxPeerViewAge && !isLargeFleet();
    if (newestShared_.count == 0 || newestEndpoints_.count == 0 || isTooOld)
        return;
    FreshnessReply reply;
    reply.number = query.number;
    reply.era = era_;
    if (query.readersRevision < readers_.revision)
        reply.readers = readers_;
    reply.sharedAge = now - newestShared_;
    reply.sharedDigest = sharedDigest_;
    reply.configurationVersion = knownVersion();
    if (query.sharedDigest != sharedDigest_ && query.configurationVersion == reply.configurationVersion) {
        reply.members = advertisedMembers(members_);
        reply.leader = leader_;
        reply.listed = listed_;
        reply.hasMembers = reply.members.size() <= MaxMembersPerReply;
    }
    reply.endpointsAge = now - newestEndpoints_;
    reply.endpointsDigest = endpoints_.digest();
    reply.entriesDigest = entriesDigest_;
    reply.hasEntries = !entries_.empty() && query.entriesDigest != entriesDigest_;
    if (reply.hasEntries)
        reply.entries = entries_;
    reply.quarantineDigest = quarantineDigest_;
    reply.hasQuarantine = !quarantine_.empty() && query.quarantineDigest != quarantineDigest_;
    if (reply.hasQuarantine)
        reply.quarantine = quarantine_;
    reply.rolloutsDigest = rolloutsDigest_;
    if (query.rolloutsDigest != rolloutsDigest_)
        reply.rollouts = rollouts_.known;
    if (query.endpointsDigest == endpoints_.digest())
        outgoing_.push_back({from, std::move(reply)});
    else
        sendEndpoints(query, from, std::move(reply), now);
}

// The sender's list of readers is outdated, or it would not have sent the query here.
void StoreSync::redirect(const FreshnessQuery &query, const Address &from)
{
    FreshnessReply reply;
    reply.number = query.number;
    reply.era = era_;
    reply.readers = readers_;
    reply.isRedirect = true;
    outgoing_.push_back({from, std::move(reply)});
}

// The time of the reply's view is when the query was sent, less the age that the view had at the replying
// daemon. So a late reply, also one that waited during a process pause, claims nothing that was not true at
// that time.
void StoreSync::onFreshnessReply(const FreshnessReply &reply, TimeMs now)
{
    const auto found = openQueries_.find(reply.number);
    if (found == openQueries_.end())
        return;
    const TimeMs askedAt = found->second.sentAt;
    const Address from = found->second.to;
    if (std::max(reply.sharedAge, reply.endpointsAge) <= MaxReaderViewAge)
        unanswered_.erase(found->second.to);
    openQueries_.erase(found);
    if (reply.era > era_)
        enterEra(reply.era, now);
    if (reply.era < era_)
        return; // What it describes is lost.
    repliedAt_ = now;
    const std::vector<Address> &readers = readers_.addresses;
    if (std::find(readers.begin(), readers.end(), from) != readers.end())
        readerRepliedAt_ = now;
    if (reply.readers)
        takeReaders(*reply.readers, now);
    if (reply.isRedirect) {
        queryAt_ = now;
        return;
    }
    minVersion_ = std::max(minVersion_, reply.configurationVersion);
    viewConfirmed_ = viewConfirmed_ || knownVersion() >= minVersion_;
    takeEntriesReply(reply, askedAt);
    takeQuarantineReply(reply);
    takeRolloutsReply(reply, askedAt - reply.sharedAge);
    takeSharedReply(reply, askedAt - reply.sharedAge, now);
    if (skipsWholeList(reply, from, now))
        queryAt_ = now;
    else if (takeEndpointsReply(reply, askedAt - reply.endpointsAge) && source_)
        querySource(now);
}

// A reader that started just now knows no changes and sends the whole list, in dozens of parts for each of
// its daemons. Others can probably tell the changes in one reply. If they can't either, too much has changed.
bool StoreSync::skipsWholeList(const FreshnessReply &reply, const Address &from, TimeMs now)
{
    const bool begins = reply.endpointsPart && reply.endpointsPart->after.value.empty();
    if (!begins || !isLargeFleet() || endpoints_.digest() == 0 || failedDifferences_ >= MaxFailedDifferences
        || skippedLists_ >= MaxSkippedLists)
        return false;
    ++skippedLists_;
    withoutHistory_[from] = now;
    return true;
}

void StoreSync::takeSharedReply(const FreshnessReply &reply, TimeMs sharedAt, TimeMs now)
{
    if (reply.sharedDigest != sharedDigest_) {
        // The views differ: a read of the store shows what changed. If the configuration is the same, it is
        // confirmed nevertheless; otherwise a daemon that the store rejects could not accept keys for long.
        const bool sameConfiguration
            = configuration_ && reply.configurationVersion == configuration_->version;
        if (sameConfiguration)
            publishConfiguration(sharedAt, now);
        if (sameConfiguration && reply.hasMembers && sharedAt > newestShared_) {
            newestShared_ = sharedAt;
            sharedEra_ = reply.era;
            controlEra_ = reply.era;
            sharedDigest_ = reply.sharedDigest;
            listed_ = reply.listed;
            takeMembers(reply.members, reply.leader, sharedAt, now);
        }
        const bool mayWait = configuration_ && !settings_.self.serving;
        const DurationMs interval = settings_.configurationBound / StandbyReadsPerBound;
        const bool isTooSoon = mayWait && now - sharedReadAt_ < interval;
        // Only members that no reply can hold are a reason to read all.
        const bool isConfigurationOnly = isLargeFleet() && (!sameConfiguration || reply.hasMembers);
        if (sharedAt > newestShared_ && !isTooSoon && !tooManyOpen(Purpose::ReadShared))
            readShared(isConfigurationOnly ? StoreSpace::Configuration : StoreSpace::Shared,
                       !isConfigurationOnly, now);
    } else if (sharedAt > newestShared_ && configuration_) {
        newestShared_ = sharedAt;
        sharedEra_ = reply.era;
        controlEra_ = reply.era;
        publishConfiguration(sharedAt, now);
    }
}

// Changes are sent with the reply. A full list is sent in parts, each on a query of its own: the receiver
// sets the pace, and a lost part is requested again alone.
void StoreSync::sendEndpoints(const FreshnessQuery &query, const Address &from, FreshnessReply reply,
                              TimeMs now)
{
    std::optional<TimeMs> asOf;
    if (query.endpointsAge)
        asOf = now - *query.endpointsAge;
    reply.endpointChanges = endpoints_.changesSince(query.endpointsDigest, asOf);
    reply.endpointsBase = query.endpointsDigest;
    if (!reply.endpointChanges
        || reply.endpointChanges->changed.size() + reply.endpointChanges->gone.size() > MaxChangesPerReply) {
        reply.endpointChanges.reset();
        reply.endpointsPart = endpoints_.partAfter(query.endpointsAfter, EndpointsPerPart);
    }
    outgoing_.push_back({from, std::move(reply)});
}

// Returns true if the reply had the next part of the list, and more is to be requested.
bool StoreSync::takeEndpointsReply(const FreshnessReply &reply, TimeMs endpointsAt)
{
    if (endpointsAt <= newestEndpoints_)
        return false;
    bool isNext = false;
    if (reply.endpointsPart)
        isNext = endpoints_.addPart(reply.endpointsDigest, *reply.endpointsPart, endpointsAt);
    else if (reply.endpointChanges)
        takeDifference(reply);
    if (reply.endpointsDigest != endpoints_.digest())
        return isNext;
    failedDifferences_ = skippedLists_ = 0;
    endpoints_.confirm(endpointsAt);
    newestEndpoints_ = endpointsAt;
    const bool isUnchanged = publishedEndpoints_ == endpoints_.digest() && endpointsEra_ == reply.era;
    endpointsEra_ = reply.era;
    publishEndpoints(endpointsAt, isUnchanged);
    return false;
}

// Two reads of a list that changes overlap: then the changes since a time don't lead to the reader's version
// at once. They keep the time of the list that they were applied to, so that the next difference has the
// rest.
void StoreSync::takeDifference(const FreshnessReply &reply)
{
    if (endpoints_.apply(reply.endpointsBase, *reply.endpointChanges, endpoints_.asOf())
        && reply.endpointsDigest != endpoints_.digest())
        ++failedDifferences_;
}

// Most replies only confirm the list. Thousands of entries are not passed on for that.
void StoreSync::publishEndpoints(TimeMs askedAt, bool isUnchanged)
{
    publishedEndpoints_ = endpoints_.digest();
    EndpointsRead read{{}, askedAt, endpointsEra_, isUnchanged};
    if (!isUnchanged)
        read.entries = endpoints_.entries();
    updates_.endpoints.push_back(std::move(read));
}

// The reply to an earlier query may arrive later; the digest shows whether the list is still the current one.
void StoreSync::takeEntriesReply(const FreshnessReply &reply, TimeMs askedAt)
{
    if (reply.hasEntries) {
        peerEntries_ = reply.entries;
        peerEntriesDigest_ = reply.entriesDigest;
    }
    if (!peerEntries_.empty() && reply.entriesDigest == peerEntriesDigest_)
        updates_.entries = EntriesFromPeer{peerEntries_, askedAt};
}

} // namespace cranberry
