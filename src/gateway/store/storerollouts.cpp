// Roll-outs: orders and records as stored, and their exchange between daemons.

#include "gateway/peers/memberentry.h"
#include "gateway/store/storesync.h"

#include <fmt/format.h>

namespace cranberry {

namespace {

uint64_t digestOfRollouts(const RolloutsKnown &known)
{
    std::string digested = fmt::format("{};", known.era);
    for (const RolloutOrder &order : known.orders)
        digested += fmt::format("{}>{}@{}+{};", order.service.value, order.target.value, order.revision,
                                order.duration.count);
    for (const std::pair<const ServiceName, RolloutRecord> &record : known.records)
        digested += record.first.value + "=" + recordText(record.second) + ";";
    if (known.versions)
        digested += versionsText(*known.versions);
    const bool isEmpty = known.orders.empty() && known.records.empty() && !known.versions;
    return isEmpty ? 0 : jsonDigestOf(digested);
}

} // namespace

void StoreSync::takeRollouts(const OpenCall &open)
{
    RolloutsKnown read;
    read.era = open.era;
    rollouts_.stored.clear();
    rollouts_.versionsRevision = 0;
    // Before the first start of the whole system there were no versions.
    if (settings_.firstStart)
        read.versions = VersionRecord{};
    for (const StoreItem &item : open.pages) {
        if (item.rollout)
            read.orders.push_back(*item.rollout);
        if (item.key == VersionsKey) {
            rollouts_.versionsRevision = item.revision;
            read.versions = versionsFromText(item.value);
        }
        if (!item.key.starts_with(RolloutKeyPrefix) || item.isConfiguration || item.rollout)
            continue;
        const ServiceName service{item.key.substr(std::string_view(RolloutKeyPrefix).size())};
        rollouts_.stored[service] = {item.value, item.revision};
        if (const std::optional<RolloutRecord> record = recordFromText(service, item.value))
            read.records[service] = *record;
        else
            log_.write(LogPriority::Failure, "rollout_record_unreadable",
                       {{"key", item.key}, {"revision", item.revision}});
    }
    mergeRollouts(read, open.readStartedAt);
}

// Records only move forward; those of the store or of a peer may be older.
void StoreSync::mergeRollouts(const RolloutsKnown &read, TimeMs readAt)
{
    RolloutsKnown merged = read;
    for (const std::pair<const ServiceName, RolloutRecord> &known : rollouts_.known.records) {
        const auto found = merged.records.find(known.first);
        if (found == merged.records.end())
            merged.records.insert(known);
        else
            found->second = mergeRecords(found->second, known.second);
    }
    if (!merged.versions)
        merged.versions = rollouts_.known.versions;
    rollouts_.known = std::move(merged);
    rolloutsDigest_ = digestOfRollouts(rollouts_.known);
    updates_.rollouts = RolloutsRead{rollouts_.known, readAt};
}

void StoreSync::onRolloutRecordStored(const RolloutRecord &record, uint64_t revision)
{
    rollouts_.stored[record.service] = {recordText(record), revision};
    RolloutsKnown read = rollouts_.known;
    read.records[record.service] = record;
    mergeRollouts(read, newestShared_);
}

const StoreSync::Rollouts &StoreSync::rollouts(TimeMs now)
{
    const bool hasJustIncreased = eraSeenAt_.count != 0 && now - eraSeenAt_ < SettleTime;
    rollouts_.mayBeStale = hasJustIncreased || (startedUnsettled_ && now - firstViewAt_ < SettleTime);
    return rollouts_;
}

void StoreSync::takeRolloutsReply(const FreshnessReply &reply, TimeMs sharedAt)
{
    if (reply.rollouts && reply.rollouts->era >= rollouts_.known.era)
        mergeRollouts(*reply.rollouts, sharedAt);
    else if (reply.rolloutsDigest == rolloutsDigest_)
        updates_.rollouts = RolloutsRead{rollouts_.known, sharedAt};
}

// Times are not compared: they move with each look at the list.
bool StoreSync::lacksVersions() const
{
    if (seenVersions_.lastWallMs.empty())
        return false;
    if (rollouts_.versionsRevision == 0 || !rollouts_.known.versions)
        return true;
    const std::map<ServiceName, std::map<SoftwareVersion, int64_t>> &stored
        = rollouts_.known.versions->lastWallMs;
    for (const std::pair<const ServiceName, std::map<SoftwareVersion, int64_t>> &service :
         seenVersions_.lastWallMs) {
        const auto known = stored.find(service.first);
        for (const std::pair<const SoftwareVersion, int64_t> &version : service.second) {
            if (known == stored.end())
                return true;
            const auto found = known->second.find(version.first);
            if (found == known->second.end() || (found->second == 0) != (version.second == 0))
                return true;
        }
    }
    return false;
}

void StoreSync::writeVersions(TimeMs now)
{
    versionsWriteAt_ = now + RetryPause;
    writtenVersions_ = seenVersions_;
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.conditions.push_back({StoreSpace::Control, VersionsKey, rollouts_.versionsRevision});
    call.puts.push_back({StoreSpace::Control, VersionsKey, versionsText(writtenVersions_), 0});
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::Versions, now, now, {}, 0}, now);
}

// After a conflict the next read shows what another leader wrote.
void StoreSync::onVersionsReply(const StoreReply &reply, TimeMs now)
{
    if (reply.outcome != StoreOutcome::Done)
        return;
    log_.write(LogPriority::State, "versions_stored", {{"revision", reply.revision}});
    rollouts_.versionsRevision = reply.revision;
    RolloutsKnown known = rollouts_.known;
    known.versions = writtenVersions_;
    mergeRollouts(known, newestShared_);
    versionsWriteAt_ = now;
}

} // namespace cranberry
