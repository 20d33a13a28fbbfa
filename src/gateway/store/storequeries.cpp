// Freshness queries: querying a peer instead of reading the store, and replying to the queries of peers.

#include "gateway/peers/memberentry.h"
#include "gateway/store/storesync.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Interval between queries to a peer. The peer's own view is up to one read interval old when it replies.
constexpr DurationMs AskPace{300};
/// A standby daemon sends queries less often: only callers with outdated addresses connect to it.
constexpr DurationMs StandbyAskPace{500};
/// A view older than this is refreshed by reading the store, whatever the peer replies.
constexpr DurationMs OldestBorrowed{1300};
constexpr DurationMs StandbyOldestBorrowed{1800};
/// A standby daemon reads configuration changes at most this many times within the bound in which they must
/// be in force: with changes in quick succession, hundreds of daemons would read each one.
constexpr int64_t StandbyReadsPerBound = 3;
/// A peer that left more than this many queries in a row unanswered is not queried for `SilentSourcePause`.
constexpr uint32_t SilentQuestions = 3;
constexpr DurationMs SilentTime{1000};
/// How long unanswered queries to a peer are remembered, so that peers that are gone for good are forgotten.
constexpr DurationMs UnansweredMemory{60000};
/// Maximum number of members in a reply: more don't fit into a datagram together with the list of endpoints.
/// They are read from the store instead.
constexpr size_t MostMembersTold = 120;
/// Maximum number of endpoint entries in one reply: each takes about 90 B, and a datagram holds 60 KB.
constexpr size_t MostEndpointsTold = 400;
constexpr size_t MostOpenQuestions = 16;

uint64_t digestOfEntries(const std::vector<Address> &entries)
{
    std::string digested;
    for (const Address &address : entries)
        digested += toText(address) + ";";
    return jsonDigestOf(digested);
}

} // namespace

void StoreSync::ask(TimeMs now)
{
    askAt_ = now + (settings_.self.serving ? AskPace : StandbyAskPace);
    while (questions_.size() >= MostOpenQuestions)
        questions_.erase(questions_.begin());
    questions_[nextQuestion_] = {now, *source_};
    std::erase_if(unanswered_, [now](const std::pair<const Address, Unanswered> &each) {
        return now - each.second.askedAt > UnansweredMemory;
    });
    Unanswered &unanswered = unanswered_[*source_];
    ++unanswered.questions;
    unanswered.askedAt = now;
    outgoing_.push_back({*source_,
                         FreshnessQuestion{settings_.self.incarnation, nextQuestion_, era_,
                                           endpoints_.digest(), sharedDigest_, knownVersion(),
                                           toldEntriesDigest_, toldQuarantineDigest_, rolloutsDigest_}});
    ++nextQuestion_;
}

DurationMs StoreSync::oldestBorrowed() const
{
    return settings_.self.serving ? OldestBorrowed : StandbyOldestBorrowed;
}

std::set<Address> StoreSync::silentSources(TimeMs now) const
{
    std::set<Address> out;
    for (const std::pair<const Address, Unanswered> &each : unanswered_) {
        if (each.second.questions > SilentQuestions && now - each.second.askedAt < SilentTime)
            out.insert(each.first);
    }
    return out;
}

void StoreSync::setServing(bool serving)
{
    if (serving == settings_.self.serving)
        return;
    log_.write(LogWeight::State, serving ? "serving" : "standing_by", {});
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

void StoreSync::onQuestion(const FreshnessQuestion &question, const Address &from, TimeMs now)
{
    // A view that is already too old is of no use, since the peer would have to read in any case. A view that
    // merely could not be refreshed just now is still sent: without a reply, all peers would read from a busy
    // store.
    if (question.era > era_)
        enterEra(question.era, now);
    const TimeMs oldest = std::min(newestShared_, newestEndpoints_);
    if (!knowsPresentEra() || !isVouchedFor(now))
        return;
    if (newestShared_.count == 0 || newestEndpoints_.count == 0 || now - oldest > OldestBorrowed)
        return;
    FreshnessAnswer answer;
    answer.number = question.number;
    answer.era = era_;
    answer.sharedAge = now - newestShared_;
    answer.sharedDigest = sharedDigest_;
    answer.configurationVersion = knownVersion();
    if (question.sharedDigest != sharedDigest_
        && question.configurationVersion == answer.configurationVersion) {
        answer.members = toldMembers(members_);
        answer.leader = leader_;
        answer.listed = listed_;
        answer.hasMembers = answer.members.size() <= MostMembersTold;
    }
    answer.endpointsAge = now - newestEndpoints_;
    answer.endpointsDigest = endpoints_.digest();
    answer.entriesDigest = entriesDigest_;
    answer.hasEntries = !entries_.empty() && question.entriesDigest != entriesDigest_;
    if (answer.hasEntries)
        answer.entries = entries_;
    answer.quarantineDigest = quarantineDigest_;
    answer.hasQuarantine = !quarantine_.empty() && question.quarantineDigest != quarantineDigest_;
    if (answer.hasQuarantine)
        answer.quarantine = quarantine_;
    answer.rolloutsDigest = rolloutsDigest_;
    if (question.rolloutsDigest != rolloutsDigest_)
        answer.rollouts = rollouts_.known;
    if (question.endpointsDigest == endpoints_.digest())
        outgoing_.push_back({from, std::move(answer)});
    else
        tellEndpoints(question, from, std::move(answer));
}

// The time of the reply's view is when the query was sent, less the age that the view had at the replying
// daemon. So a late reply, also one that waited during a process pause, claims nothing that was not true at
// that time.
void StoreSync::onAnswer(const FreshnessAnswer &answer, TimeMs now)
{
    const auto found = questions_.find(answer.number);
    if (found == questions_.end())
        return;
    const TimeMs askedAt = found->second.sentAt;
    unanswered_.erase(found->second.to);
    const bool isLast
        = !answer.hasEndpoints || answer.endpointsFrom + answer.endpoints.size() >= answer.endpointsTotal;
    if (isLast)
        questions_.erase(found);
    if (answer.era > era_)
        enterEra(answer.era, now);
    if (answer.era < era_)
        return; // What it describes is lost.
    leastVersion_ = std::max(leastVersion_, answer.configurationVersion);
    vouchedFor_ = vouchedFor_ || knownVersion() >= leastVersion_;
    takeEntriesAnswer(answer, askedAt);
    takeQuarantineAnswer(answer);
    takeRolloutsAnswer(answer, askedAt - answer.sharedAge);
    takeSharedAnswer(answer, askedAt - answer.sharedAge, now);
    takeEndpointsAnswer(answer, askedAt - answer.endpointsAge);
}

void StoreSync::takeSharedAnswer(const FreshnessAnswer &answer, TimeMs sharedAt, TimeMs now)
{
    if (answer.sharedDigest != sharedDigest_) {
        // The views differ: a read of the store shows what changed. If the configuration is the same, it is
        // confirmed nevertheless; otherwise a daemon that the store rejects could not accept keys for long.
        const bool sameConfiguration
            = configuration_ && answer.configurationVersion == configuration_->version;
        if (sameConfiguration)
            tellConfiguration(sharedAt, now);
        if (sameConfiguration && answer.hasMembers && sharedAt > newestShared_) {
            newestShared_ = sharedAt;
            sharedEra_ = answer.era;
            sharedDigest_ = answer.sharedDigest;
            listed_ = answer.listed;
            takeMembers(answer.members, answer.leader, sharedAt, now);
        }
        const bool mayWait = configuration_ && !settings_.self.serving;
        const DurationMs pace = settings_.configurationBound / StandbyReadsPerBound;
        const bool isTooSoon = mayWait && now - sharedReadAt_ < pace;
        if (sharedAt > newestShared_ && !isTooSoon && !tooManyOpen(Purpose::ReadShared))
            readShared(now);
    } else if (sharedAt > newestShared_ && configuration_) {
        newestShared_ = sharedAt;
        sharedEra_ = answer.era;
        tellConfiguration(sharedAt, now);
    }
}

// Changes are sent with the reply; a full list is sent in as many replies as needed.
void StoreSync::tellEndpoints(const FreshnessQuestion &question, const Address &from, FreshnessAnswer answer)
{
    answer.endpointChanges = endpoints_.since(question.endpointsDigest);
    answer.endpointsBase = question.endpointsDigest;
    if (answer.endpointChanges
        && answer.endpointChanges->changed.size() + answer.endpointChanges->gone.size()
            <= MostEndpointsTold) {
        outgoing_.push_back({from, std::move(answer)});
        return;
    }
    const std::vector<EndpointEntry> &all = endpoints_.entries();
    answer.endpointChanges.reset();
    answer.hasEndpoints = true;
    answer.endpointsTotal = all.size();
    do {
        const size_t end = std::min(answer.endpointsFrom + MostEndpointsTold, all.size());
        answer.endpoints.assign(all.begin() + static_cast<std::ptrdiff_t>(answer.endpointsFrom),
                                all.begin() + static_cast<std::ptrdiff_t>(end));
        outgoing_.push_back({from, answer});
        answer.endpointsFrom = end;
    } while (answer.endpointsFrom < all.size());
}

void StoreSync::takeEndpointsAnswer(const FreshnessAnswer &answer, TimeMs endpointsAt)
{
    if (endpointsAt <= newestEndpoints_)
        return;
    if (answer.hasEndpoints)
        endpoints_.takePart(answer.endpointsDigest, answer.endpointsFrom, answer.endpointsTotal,
                            answer.endpoints);
    else if (answer.endpointChanges)
        endpoints_.apply(answer.endpointsBase, *answer.endpointChanges);
    if (answer.endpointsDigest != endpoints_.digest())
        return;
    newestEndpoints_ = endpointsAt;
    endpointsEra_ = answer.era;
    news_.endpoints.push_back({endpoints_.entries(), endpointsAt, answer.era});
}

// The reply to an earlier query may arrive later; the digest shows whether the list is still the current one.
void StoreSync::takeEntriesAnswer(const FreshnessAnswer &answer, TimeMs askedAt)
{
    if (answer.hasEntries) {
        toldEntries_ = answer.entries;
        toldEntriesDigest_ = answer.entriesDigest;
    }
    if (!toldEntries_.empty() && answer.entriesDigest == toldEntriesDigest_)
        news_.entries = EntriesTold{toldEntries_, askedAt};
}

} // namespace cranberry
