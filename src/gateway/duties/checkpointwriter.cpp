#include "gateway/duties/checkpointwriter.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Between two observations of the balances: no less than between two reports of a peer.
constexpr DurationMs ObserveInterval{200};
/// Between writes while something changes.
constexpr DurationMs WriteInterval{1000};
/// Between writes while the units of an organisation fall quickly.
constexpr DurationMs MinWriteInterval{200};
/// Fractions of an organisation's maximum units: a fall that is written sooner, and a difference that is
/// written at all.
constexpr double QuickFall = 0.1;
constexpr double MinChange = 0.01;
/// Time constant in which a peak of an organisation's use is forgotten.
constexpr double PeakDecaySeconds = 3;
/// No further checkpoint is written before the reply to a write, or this time.
constexpr DurationMs CallTimeout{1500};
/// Full reports of each peer that a new leader waits for before its first checkpoint.
constexpr int64_t AwaitedReports = 2;

} // namespace

ObservedBalances observeBalances(const ServingConfiguration &configuration, const Quotas &quotas,
                                 const PeerTable &peers, const DaemonIdentity &self, TimeMs now)
{
    ObservedBalances out;
    out.sharers = peers.servingCount(now);
    std::map<OrganisationName, std::vector<const MemberEntry *>> pools;
    for (const ServedOrganisation &organisation : configuration.organisations) {
        if (organisation.ratePerSecond <= 0)
            continue;
        out.organisations[organisation.name]
            = {quotas.countedUnits(organisation.name), quotas.limitOf(organisation)};
        pools[organisation.name] = peers.quotaPool(organisation.name, now);
    }
    if (peers.isServing())
        out.daemons.push_back(self);
    for (const PeerTable::ServingReport &each : peers.servingReports(now)) {
        out.daemons.push_back({each.member->instance, each.member->incarnation});
        for (const OrganisationBalance &balance : each.report->balances) {
            const auto found = out.organisations.find(balance.organisation);
            if (found == out.organisations.end())
                continue;
            const std::vector<const MemberEntry *> &pool = pools[balance.organisation];
            const bool isPoolDaemon = std::find(pool.begin(), pool.end(), each.member) != pool.end();
            const double share = found->second.limit.units / static_cast<double>(out.sharers);
            found->second.units += Quotas::countedUnits(balance.spare, share, isPoolDaemon);
        }
    }
    out.sharers = std::max(out.sharers, out.daemons.size());
    return out;
}

bool CheckpointWriter::isDue(const Leadership &leadership, const PeerTable &peers, TimeMs now)
{
    if (!leadership.held) {
        heldSince_.reset();
        samples_.clear();
        writtenAt_ = {};
        openCall_ = 0;
        return false;
    }
    if (!heldSince_)
        heldSince_ = now;
    sampleInterval_ = peers.fullReportInterval();
    if (now - *heldSince_ < sampleInterval_ * AwaitedReports || now < observeAt_)
        return false;
    observeAt_ = now + std::max(ObserveInterval, peers.reportInterval());
    return true;
}

// Units that were used are those that were there before, and those that were refilled since, less those that
// are there now. While balances are full this overestimates the use: the refill is lost.
void CheckpointWriter::sampleUse(const ObservedBalances &observed, TimeMs now)
{
    const bool isSameGroup = observed.daemons == std::exchange(sampledDaemons_, observed.daemons);
    const double part = static_cast<double>(observed.daemons.size()) / static_cast<double>(observed.sharers);
    for (const std::pair<const OrganisationName, ObservedBalances::Balance> &each : observed.organisations) {
        UseSample &sample = samples_[each.first];
        const double seconds = static_cast<double>((now - sample.at).count) / 1000.0;
        if (sample.at.count != 0 && isSameGroup && now - sample.at < sampleInterval_)
            continue;
        if (sample.at.count != 0 && isSameGroup) {
            const double refilled = each.second.limit.unitsPerSecond * part * seconds;
            const double used = std::max(sample.units + refilled - each.second.units, 0.0) / seconds;
            const double peak = sample.usedPerSecond.value_or(0) * std::exp(-seconds / PeakDecaySeconds);
            sample.usedPerSecond = std::max(used, peak);
        }
        sample.units = each.second.units;
        sample.at = now;
    }
}

bool CheckpointWriter::hasFallen(const ObservedBalances &observed) const
{
    return std::any_of(observed.organisations.begin(), observed.organisations.end(),
                       [this](const std::pair<const OrganisationName, ObservedBalances::Balance> &each) {
                           const auto before = written_.levels.find(each.first);
                           return before != written_.levels.end()
                               && each.second.units
                               < before->second.units - QuickFall * each.second.limit.units;
                       });
}

bool CheckpointWriter::hasChanged(const QuotaCheckpoint &next, const ObservedBalances &observed) const
{
    if (writtenAt_.count == 0 || next.era != written_.era || next.daemons != written_.daemons)
        return true;
    return std::any_of(observed.organisations.begin(), observed.organisations.end(),
                       [this](const std::pair<const OrganisationName, ObservedBalances::Balance> &each) {
                           const auto before = written_.levels.find(each.first);
                           return before == written_.levels.end()
                               || std::abs(each.second.units - before->second.units)
                               > MinChange * each.second.limit.units;
                       });
}

void CheckpointWriter::tick(const Leadership &leadership, const ObservedBalances &observed, uint64_t era,
                            int64_t wallMs, TimeMs now)
{
    sampleUse(observed, now);
    const bool isDue = now >= writtenAt_ + WriteInterval || hasFallen(observed);
    if (openCall_ != 0 || now < nextWriteAt_ || !isDue || observed.daemons.empty())
        return;
    QuotaCheckpoint next;
    next.era = era;
    next.wallMs = wallMs;
    next.sharers = observed.sharers;
    next.daemons = observed.daemons;
    for (const std::pair<const OrganisationName, ObservedBalances::Balance> &each : observed.organisations) {
        const double used = samples_[each.first].usedPerSecond.value_or(each.second.limit.unitsPerSecond);
        next.levels[each.first] = {each.second.units, used};
    }
    if (hasChanged(next, observed))
        write(std::move(next), leadership, now);
}

// The condition on the checkpoint's own revision keeps a call that is executed late from replacing a newer
// checkpoint.
void CheckpointWriter::write(QuotaCheckpoint checkpoint, const Leadership &leadership, TimeMs now)
{
    const std::optional<std::string> text = checkpointText(checkpoint);
    if (!text)
        counters_.add(GatewayCount::CheckpointsTooLarge);
    if (std::exchange(isTooLarge_, !text) == text.has_value())
        log_.write(LogPriority::State, "quota_checkpoint_size", {{"is_written", text.has_value()}});
    nextWriteAt_ = now + MinWriteInterval;
    if (!text)
        return;
    writtenAt_ = now;
    written_ = std::move(checkpoint);
    StoreCall call;
    call.id = openCall_ = nextCall_++;
    call.verb = StoreVerb::Write;
    call.conditions = {{StoreSpace::Archive, CheckpointKey, revision_}, leadership.leaderCondition};
    call.puts.push_back({StoreSpace::Archive, CheckpointKey, *text, 0});
    call.timeout = std::min(CallTimeout, leadership.validUntil - now);
    storeCalls_.push_back(std::move(call));
}

void CheckpointWriter::onStoreReply(const StoreReply &reply, TimeMs now)
{
    if (reply.id != openCall_)
        return;
    openCall_ = 0;
    if (reply.outcome == StoreOutcome::Done) {
        counters_.add(GatewayCount::CheckpointsWritten);
        revision_ = reply.revision;
        return;
    }
    // An earlier leader wrote it, or a call of this daemon whose reply was lost.
    writtenAt_ = {};
    nextWriteAt_ = now + MinWriteInterval;
    for (const StoreItem &item : reply.items) {
        if (item.space == StoreSpace::Archive && item.key == CheckpointKey)
            revision_ = item.revision;
    }
}

} // namespace cranberry
