// Requests that are kept from endpoints: as the store has them, and as daemons tell each other.

#include "gateway/endpoints/quarantinelist.h"
#include "gateway/store/storesync.h"

#include <algorithm>

namespace cranberry {

namespace {

/// All that serve learn of a new one within milliseconds of each other. One writes; the others find it in
/// their next read, which comes within 0.6 s, and don't write.
constexpr DurationMs MostWriteSpread{900};
constexpr DurationMs ConflictSpread{200};

uint64_t digestOfQuarantine(const std::vector<QuarantinedRequest> &list)
{
    return list.empty() ? 0 : jsonDigestOf(quarantineText(list));
}

} // namespace

// A write that is due stays due: with each further verdict put off, the first ones were still missing in the
// store after six seconds when twelve fell at once.
void StoreSync::setQuarantine(const std::vector<QuarantinedRequest> &list, TimeMs now)
{
    if (list == quarantine_)
        return;
    const bool wasDue = storeLacksQuarantine_;
    quarantine_ = list;
    compareQuarantine();
    quarantineDigest_ = digestOfQuarantine(quarantine_);
    if (!wasDue)
        quarantineWriteAt_ = std::max(quarantineWriteAt_, now + spread(MostWriteSpread));
}

// What the full list has no room for is not missing: those that end first are left out. Worked out when one
// of the lists changes, not at each tick.
void StoreSync::compareQuarantine()
{
    const std::vector<QuarantinedRequest> merged = mergedQuarantine(storedQuarantine_, quarantine_);
    storeLacksQuarantine_ = std::any_of(merged.begin(), merged.end(), [this](const QuarantinedRequest &each) {
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
        compareQuarantine();
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
    const bool isNews = revision == 0 ? quarantineRevision_ != 0 : revision > quarantineRevision_;
    if (!isNews)
        return;
    quarantineRevision_ = revision;
    const std::optional<std::vector<QuarantinedRequest>> list = quarantineFromText(text);
    if (!list && revision != 0)
        log_.write(LogWeight::Failure, "quarantine_unreadable", {{"revision", revision}});
    storedQuarantine_ = list.value_or(std::vector<QuarantinedRequest>());
    compareQuarantine();
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
