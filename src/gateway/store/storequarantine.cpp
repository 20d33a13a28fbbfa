// Requests in quarantine: the list in the store, and its exchange between daemons.

#include "gateway/endpoints/quarantinelist.h"
#include "gateway/store/storesync.h"

#include <algorithm>

namespace cranberry {

namespace {

/// All serving daemons learn of a new quarantine within milliseconds of each other. One writes it; the others
/// find it in their next read, which comes within 0.6 s, and don't write.
constexpr DurationMs MaxWriteJitter{900};
constexpr DurationMs ConflictJitter{200};

uint64_t digestOfQuarantine(const std::vector<QuarantinedRequest> &list)
{
    return list.empty() ? 0 : jsonDigestOf(quarantineText(list));
}

} // namespace

// A write that is due is not postponed. When each further quarantine postponed it, the first ones were still
// missing in the store after six seconds when twelve were decided at once.
void StoreSync::setQuarantine(const std::vector<QuarantinedRequest> &list, TimeMs now)
{
    if (list == quarantine_)
        return;
    const bool wasDue = storeLacksQuarantine_;
    quarantine_ = list;
    compareQuarantine();
    quarantineDigest_ = digestOfQuarantine(quarantine_);
    if (!wasDue)
        quarantineWriteAt_ = std::max(quarantineWriteAt_, now + jitter(MaxWriteJitter));
}

// An entry for which the full list has no room does not count as missing: those that expire first are left
// out. Computed when one of the lists changes, not at each tick.
void StoreSync::compareQuarantine()
{
    const std::vector<QuarantinedRequest> merged = mergedQuarantine(storedQuarantine_, quarantine_);
    storeLacksQuarantine_ = std::any_of(merged.begin(), merged.end(), [this](const QuarantinedRequest &each) {
        return std::none_of(
            storedQuarantine_.begin(), storedQuarantine_.end(),
            [&each](const QuarantinedRequest &stored) { return stored.request == each.request; });
    });
}

// The condition protects what others wrote since the last read: without it, one of two quarantines decided at
// the same moment is lost.
void StoreSync::writeQuarantine(TimeMs now)
{
    quarantineWriteAt_ = now + RetryPause;
    writtenQuarantine_ = mergedQuarantine(storedQuarantine_, quarantine_);
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.conditions.push_back({StoreSpace::Control, QuarantineKey, quarantineRevision_});
    call.puts.push_back({StoreSpace::Control, QuarantineKey, quarantineText(writtenQuarantine_), 0});
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::Quarantine, now, now, {}, 0}, now);
}

// After a conflict the reply has the current state, so the next attempt may follow soon.
void StoreSync::onQuarantineReply(const StoreReply &reply, TimeMs now)
{
    if (reply.outcome == StoreOutcome::Done && reply.revision > quarantineRevision_) {
        storedQuarantine_ = writtenQuarantine_;
        quarantineRevision_ = reply.revision;
        compareQuarantine();
    }
    if (reply.outcome != StoreOutcome::Conflict)
        return;
    quarantineWriteAt_ = now + jitter(ConflictJitter);
    for (const StoreItem &item : reply.items)
        takeQuarantine(item.value, item.revision);
}

// A read that was sent before the last own write shows the list before that write. A list that can't be
// parsed was written by someone else; the next write replaces it.
void StoreSync::takeQuarantine(const std::string &text, uint64_t revision)
{
    const bool isNewer = revision == 0 ? quarantineRevision_ != 0 : revision > quarantineRevision_;
    if (!isNewer)
        return;
    quarantineRevision_ = revision;
    const std::optional<std::vector<QuarantinedRequest>> list = quarantineFromText(text);
    if (!list && revision != 0)
        log_.write(LogPriority::Failure, "quarantine_unreadable", {{"revision", revision}});
    storedQuarantine_ = list.value_or(std::vector<QuarantinedRequest>());
    compareQuarantine();
    updates_.quarantine.insert(updates_.quarantine.end(), storedQuarantine_.begin(), storedQuarantine_.end());
}

void StoreSync::takeQuarantineReply(const FreshnessReply &reply)
{
    if (!reply.hasQuarantine)
        return;
    peerQuarantineDigest_ = reply.quarantineDigest;
    updates_.quarantine.insert(updates_.quarantine.end(), reply.quarantine.begin(), reply.quarantine.end());
}

} // namespace cranberry
