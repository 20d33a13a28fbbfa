#include "gateway/duties/usagereporter.h"

#include "common/fields.h"

#include <fmt/format.h>

namespace cranberry {

namespace {

namespace json = boost::json;

/// After a window's end its last requests are still being counted and reported to the leader: a call to a
/// service without model engines is counted when its response begins. In addition, two reports of each daemon
/// must have arrived, since one may be lost.
constexpr DurationMs CountingTime{800};
constexpr int64_t AwaitedReports = 2;
constexpr DurationMs CallTimeout{1500};
constexpr DurationMs RetryPause{400};
/// Stored windows are deleted when they are this many windows old: they can no longer be reported.
constexpr int64_t WindowsKept = 12;
/// Stored in place of lost counts, so that no later leader reports the window either.
constexpr const char *OmittedWindow = "left out";

std::string keyOf(int64_t window)
{
    return fmt::format("usage-{}", window);
}

std::string textOf(const std::map<OrganisationName, uint64_t> &counts)
{
    json::object out;
    for (const std::pair<const OrganisationName, uint64_t> &count : counts)
        out[count.first.value] = count.second;
    return json::serialize(out);
}

std::optional<std::map<OrganisationName, uint64_t>> countsFromText(const std::string &text)
{
    json::error_code code;
    const json::value value = json::parse(text, code);
    if (code || !value.is_object())
        return std::nullopt;
    std::map<OrganisationName, uint64_t> counts;
    for (const json::key_value_pair &field : value.as_object()) {
        const std::optional<uint64_t> count = wholeNumber<uint64_t>(&field.value());
        if (!count)
            return std::nullopt;
        counts[OrganisationName{std::string(field.key())}] = *count;
    }
    return counts;
}

} // namespace

void UsageReporter::tick(const Leadership &leadership, const UsageLedger &ledger, DurationMs reportInterval,
                         const ServingConfigurationPtr &configuration, TimeMs now)
{
    recordsComplete_ = false;
    if (!leadership.held || !configuration) {
        // A successor may finish open reports from what the store holds.
        windows_.clear();
        calls_.clear();
        heldSince_.reset();
        return;
    }
    if (!heldSince_)
        heldSince_ = now;
    const int64_t first = ledger.windowAt(now - due_);
    windows_.erase(windows_.begin(), windows_.lower_bound(first));
    // A new leader has not received the reports of its peers yet: its counts would lack theirs.
    const DurationMs gatherTime = CountingTime + reportInterval * AwaitedReports;
    if (now < *heldSince_ + gatherTime)
        return;
    recordsComplete_ = true;
    for (int64_t number = first; ledger.endOf(number) + gatherTime <= now; ++number) {
        Window &window = windows_[number];
        recordsComplete_ = recordsComplete_ && window.step >= Step::Send;
        if (now < window.nextAt)
            continue;
        if (window.step == Step::Count) {
            chooseCounts(number, window, leadership, ledger, configuration);
            write(number, window, leadership, now);
        } else if (window.step == Step::LookingUp || window.step == Step::Writing) {
            write(number, window, leadership, now);
        } else if (window.step == Step::Send || window.step == Step::Sending) {
            send(number, window, leadership, now);
        }
    }
}

int64_t UsageReporter::oldestUnrecorded(const UsageLedger &ledger, TimeMs now) const
{
    int64_t oldest = ledger.oldestOpen(now);
    for (auto window = windows_.find(oldest); window != windows_.end() && window->second.step >= Step::Send;
         ++window)
        oldest = window->first + 1;
    return oldest;
}

// Chooses what is written for a window if nothing is stored: the counts that this daemon has sent before, the
// current counts, or a mark that the window is left out.
void UsageReporter::chooseCounts(int64_t number, Window &window, const Leadership &leadership,
                                 const UsageLedger &ledger, const ServingConfigurationPtr &configuration)
{
    window.step = Step::Writing;
    const auto sent = sent_.find(number);
    if (sent != sent_.end()) {
        window.counts = sent->second;
        return;
    }
    if (ledger.endOf(number) < leadership.recordsLostBefore) {
        window.step = Step::LookingUp;
        return;
    }
    for (const ServedOrganisation &organisation : configuration->organisations)
        window.counts[organisation.name] = 0;
    for (const std::pair<const OrganisationName, uint64_t> &count : ledger.sums(number))
        window.counts[count.first] += count.second;
}

void UsageReporter::write(int64_t number, Window &window, const Leadership &leadership, TimeMs now)
{
    window.nextAt = now + CallTimeout + RetryPause;
    StoreCall call;
    call.id = nextCall_++;
    call.verb = StoreVerb::Write;
    call.conditions = {{StoreSpace::Archive, keyOf(number), 0}, leadership.leaderCondition};
    const std::string text = window.step == Step::LookingUp ? OmittedWindow : textOf(window.counts);
    call.puts.push_back({StoreSpace::Archive, keyOf(number), text, 0});
    call.deletes.push_back({StoreSpace::Archive, keyOf(number - WindowsKept)});
    call.timeout = CallTimeout;
    calls_[call.id] = number;
    storeCalls_.push_back(std::move(call));
}

void UsageReporter::send(int64_t number, Window &window, const Leadership &leadership, TimeMs now)
{
    window.step = Step::Sending;
    window.nextAt = now + CallTimeout + RetryPause;
    LeaderCall call;
    call.id = nextCall_++;
    call.fencingToken = leadership.fencingToken;
    call.timeout = std::min(CallTimeout, leadership.validUntil - now);
    call.usage = UsageReport{number, window.counts};
    sent_[number] = window.counts;
    sent_.erase(sent_.begin(), sent_.lower_bound(number - WindowsKept));
    calls_[call.id] = number;
    leaderCalls_.push_back(std::move(call));
}

void UsageReporter::onStoreReply(const StoreReply &reply, TimeMs now)
{
    const auto call = calls_.find(reply.id);
    if (call == calls_.end())
        return;
    const auto found = windows_.find(call->second);
    calls_.erase(call);
    const bool isLookUp = found != windows_.end() && found->second.step == Step::LookingUp;
    if (found == windows_.end() || (found->second.step != Step::Writing && !isLookUp))
        return;
    Window &window = found->second;
    window.nextAt = now + RetryPause;
    if (reply.outcome == StoreOutcome::Done) {
        window.step = isLookUp ? Step::Done : Step::Send;
        window.nextAt = now;
        if (isLookUp)
            log_.write(LogPriority::Failure, "usage_left_out",
                       {{"window", found->first}, {"why", "an earlier holder may have reported it"}});
    } else if (reply.outcome == StoreOutcome::Conflict) {
        for (const StoreItem &item : reply.items) {
            if (item.key == keyOf(found->first) && item.revision != 0)
                onStored(found->first, window, item.value, now);
        }
    }
}

// The window was written before, perhaps by this daemon with a lost reply. The stored counts are used, unless
// this daemon has already sent different ones.
void UsageReporter::onStored(int64_t number, Window &window, const std::string &text, TimeMs now)
{
    if (text == OmittedWindow) {
        window.step = Step::Done;
        return;
    }
    const std::optional<std::map<OrganisationName, uint64_t>> stored = countsFromText(text);
    if (!stored) {
        log_.write(LogPriority::Failure, "usage_unreadable", {{"window", number}});
        return;
    }
    const auto sent = sent_.find(number);
    if (sent != sent_.end() && sent->second != *stored) {
        log_.write(LogPriority::Failure, "usage_differs", {{"window", number}, {"stored", text}});
        window.step = Step::Done;
        return;
    }
    window.counts = *stored;
    window.step = Step::Send;
    window.nextAt = now;
}

void UsageReporter::onLeaderReply(uint64_t id, LeaderCallOutcome outcome, TimeMs now)
{
    const auto call = calls_.find(id);
    if (call == calls_.end())
        return;
    const auto found = windows_.find(call->second);
    calls_.erase(call);
    if (found == windows_.end() || found->second.step != Step::Sending)
        return;
    found->second.nextAt = now + RetryPause;
    if (outcome != LeaderCallOutcome::Done)
        return;
    found->second.step = Step::Done;
    log_.write(LogPriority::State, "usage_reported",
               {{"window", found->first}, {"counts", textOf(found->second.counts)}});
}

} // namespace cranberry
