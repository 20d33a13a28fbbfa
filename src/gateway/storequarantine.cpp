// Requests that are kept from endpoints: as the store has them, and as daemons tell each other.

#include "gateway/quarantinelist.h"
#include "gateway/storesync.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr DurationMs WriteTimeout{2000};
/// All that serve learn of a new one within milliseconds of each other. One writes; the others find it in
/// their next read, which comes within 0.6 s, and don't write.
constexpr DurationMs MostWriteSpread{900};
constexpr DurationMs RetryPause{500};
constexpr DurationMs ConflictSpread{200};

uint64_t digestOfQuarantine(const std::vector<QuarantinedRequest> &list)
{
    return list.empty() ? 0 : jsonDigestOf(quarantineText(list));
}

} // namespace

// A write that is due stays due: with each further verdict put off, the first ones were still missing in the
// store after six seconds when twelve fell at once.
void StoreSync::setQuarantine(std::vector<QuarantinedRequest> list, TimeMs now)
{
    if (list == quarantine_)
        return;
    const bool wasDue = storeLacksQuarantine();
    quarantine_ = std::move(list);
    quarantineDigest_ = digestOfQuarantine(quarantine_);
    if (!wasDue)
        quarantineWriteAt_ = std::max(quarantineWriteAt_, now + spread(MostWriteSpread));
}

DurationMs StoreSync::spread(DurationMs most)
{
    return {static_cast<int64_t>(random_.below(static_cast<uint64_t>(most.count)))};
}

// What the full list has no room for is not missing: those that end first are left out.
bool StoreSync::storeLacksQuarantine() const
{
    if (quarantine_.empty())
        return false;
    const std::vector<QuarantinedRequest> merged = mergedQuarantine(storedQuarantine_, quarantine_);
    return std::any_of(merged.begin(), merged.end(), [this](const QuarantinedRequest &each) {
        return std::none_of(
            storedQuarantine_.begin(), storedQuarantine_.end(),
            [&each](const QuarantinedRequest &stored) { return stored.request == each.request; });
    });
}

// The condition keeps what others wrote since: without it one of two verdicts of the same moment is lost.
void StoreSync::writeQuarantine(TimeMs now)
{
    quarantineWriteAt_ = now + RetryPause;
    writtenQuarantine_ = mergedQuarantine(storedQuarantine_, quarantine_);
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.conditions.push_back({StoreSpace::Shared, QuarantineKey, quarantineRevision_});
    call.puts.push_back({StoreSpace::Shared, QuarantineKey, quarantineText(writtenQuarantine_), 0});
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::Quarantine, now, now, {}, 0}, now);
}

// After a conflict the present state is known, and the next try may come soon.
void StoreSync::onQuarantineReply(const StoreReply &reply, TimeMs now)
{
    if (reply.outcome == StoreOutcome::Done && reply.revision > quarantineRevision_) {
        storedQuarantine_ = writtenQuarantine_;
        quarantineRevision_ = reply.revision;
    }
    if (reply.outcome != StoreOutcome::Conflict)
        return;
    quarantineWriteAt_ = now + spread(ConflictSpread);
    for (const StoreItem &item : reply.items)
        takeQuarantine(item.value, item.revision);
}

// A read that was asked before the own last write shows the list before it. One that can't be read is another
// writer's: the next write replaces it.
void StoreSync::takeQuarantine(const std::string &text, uint64_t revision)
{
    const bool isOlder = revision != 0 && revision <= quarantineRevision_;
    if (isOlder || revision == quarantineRevision_)
        return;
    quarantineRevision_ = revision;
    const std::optional<std::vector<QuarantinedRequest>> list = quarantineFromText(text);
    if (!list && revision != 0)
        log_.write(LogWeight::Failure, "quarantine_unreadable", {{"revision", revision}});
    storedQuarantine_ = list.value_or(std::vector<QuarantinedRequest>());
    news_.quarantine.insert(news_.quarantine.end(), storedQuarantine_.begin(), storedQuarantine_.end());
}

void StoreSync::takeQuarantineAnswer(const FreshnessAnswer &answer)
{
    if (!answer.hasQuarantine)
        return;
    toldQuarantineDigest_ = answer.quarantineDigest;
    news_.quarantine.insert(news_.quarantine.end(), answer.quarantine.begin(), answer.quarantine.end());
}

} // namespace cranberry
