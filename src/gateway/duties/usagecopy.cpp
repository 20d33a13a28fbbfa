#include "gateway/duties/usagecopy.h"

#include "gateway/duties/usagecodec.h"

#include <algorithm>

namespace cranberry {

namespace {

namespace json = boost::json;

constexpr const char *CopyKey = "usage/copy";
/// Between two writes while counts change. What is counted since the last one is lost with all daemons.
constexpr DurationMs WriteInterval{250};
/// A large copy is written less often: so many of its bytes in a millisecond.
constexpr int64_t MaxBytesPerMs = 16;
constexpr DurationMs CallTimeout{1000};
constexpr DurationMs RetryPause{400};

} // namespace

void UsageCopy::tick(const UsageLedger &ledger, const Situation &situation, TimeMs now)
{
    // A store that was restored from an older copy lacks what was written since.
    if (std::exchange(era_, situation.era) != situation.era)
        writtenVersion_ = 0;
    if (!situation.isWriter) {
        hasRead_ = false;
        openCall_ = 0;
        return;
    }
    if (openCall_ != 0 || now < nextCallAt_)
        return;
    if (!hasRead_)
        read();
    else if (ledger.version() != writtenVersion_)
        write(ledger, situation.oldestWindow, now);
}

void UsageCopy::send(StoreCall call)
{
    call.id = openCall_ = nextCall_++;
    call.timeout = CallTimeout;
    storeCalls_.push_back(std::move(call));
}

void UsageCopy::read()
{
    isReading_ = true;
    StoreCall call;
    call.verb = StoreVerb::List;
    call.space = StoreSpace::Archive;
    call.prefix = CopyKey;
    send(std::move(call));
}

void UsageCopy::write(const UsageLedger &ledger, int64_t oldestWindow, TimeMs now)
{
    isReading_ = false;
    writingVersion_ = ledger.version();
    const std::string text = json::serialize(usageObject(ledger.since(oldestWindow)));
    nextCallAt_
        = now + std::max(WriteInterval, DurationMs{static_cast<int64_t>(text.size()) / MaxBytesPerMs});
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.conditions = {{StoreSpace::Archive, CopyKey, revision_}};
    call.puts.push_back({StoreSpace::Archive, CopyKey, text, 0});
    send(std::move(call));
}

void UsageCopy::onStoreReply(const StoreReply &reply, UsageLedger &ledger, TimeMs now)
{
    if (reply.id != openCall_)
        return;
    openCall_ = 0;
    const bool isConflict = reply.outcome == StoreOutcome::Conflict;
    if (reply.outcome != StoreOutcome::Done && !isConflict) {
        nextCallAt_ = std::max(nextCallAt_, now + RetryPause);
    } else if (isReading_ || isConflict) {
        take(reply, ledger, now);
    } else {
        revision_ = reply.revision;
        writtenVersion_ = writingVersion_;
        counters_.add(GatewayCount::UsageCopies);
    }
}

void UsageCopy::take(const StoreReply &reply, UsageLedger &ledger, TimeMs now)
{
    if (isReading_)
        revision_ = 0;
    hasRead_ = true;
    nextCallAt_ = now;
    for (const StoreItem &item : reply.items) {
        if (item.key != CopyKey)
            continue;
        revision_ = item.revision;
        json::error_code code;
        const json::value value = json::parse(item.value, code);
        const std::optional<UsageCounts> counts
            = code || !value.is_object() ? std::nullopt : usageFromObject(value.as_object());
        if (!counts) {
            log_.write(LogPriority::Failure, "usage_unreadable", {{"key", CopyKey}});
            continue;
        }
        const uint64_t before = ledger.version();
        ledger.merge(*counts, UsageLedger::Source::Keeping, now);
        if (ledger.version() != before)
            log_.write(LogPriority::State, "usage_restored",
                       {{"daemons", counts->size()}, {"changes", ledger.version() - before}});
    }
}

} // namespace cranberry
