#include "gateway/requests/streamorigins.h"

#include <algorithm>
#include <xxhash.h>

namespace cranberry {

namespace {

/// Longer than callers wait for a stream.
constexpr DurationMs Retention{60000};
/// Some megabytes. A daemon sees far fewer in a minute, with those that others tell it.
constexpr size_t MaxKnown = 40'000;
/// A longer time between two lists may hide a version that came and went.
constexpr DurationMs ListGap{2500};
/// An older list may lack a version to which other daemons already send requests.
constexpr DurationMs MaxListAge{1500};

} // namespace

StreamKey streamKeyOf(const OrganisationName &organisation, const std::string &requestId)
{
    const uint64_t seed = XXH3_64bits(organisation.value.data(), organisation.value.size());
    return {XXH3_64bits_withSeed(requestId.data(), requestId.size(), seed)};
}

// ---- Origins ----

bool StreamOrigins::record(StreamKey stream, const StreamOrigin &origin, TimeMs now)
{
    const auto [entry, isNew] = known_.try_emplace(stream.value);
    const StreamOrigin *shared = &*origins_.insert(origin).first;
    const bool isConfirmed = !isNew && entry->second.origin == shared;
    if (isConfirmed && now - entry->second.recordedAt < Retention / 2)
        return false;
    entry->second = {shared, now};
    order_.push_back({stream.value, now});
    if (known_.size() > MaxKnown)
        evictOldest();
    return !isConfirmed;
}

void StreamOrigins::evictOldest()
{
    const Recorded oldest = order_.front();
    order_.pop_front();
    const auto found = known_.find(oldest.stream);
    if (found != known_.end() && found->second.recordedAt <= oldest.at)
        known_.erase(found);
}

std::optional<StreamOrigin> StreamOrigins::find(StreamKey stream) const
{
    const auto found = known_.find(stream.value);
    return found == known_.end() ? std::nullopt : std::optional<StreamOrigin>(*found->second.origin);
}

void StreamOrigins::tick(TimeMs now)
{
    while (!order_.empty() && now - order_.front().at > Retention)
        evictOldest();
}

// ---- Versions of the services ----

void VersionHistory::confirmList(TimeMs readAt)
{
    if (confirmedAt_.count != 0 && readAt - confirmedAt_ > ListGap)
        gaplessSince_ = readAt;
    confirmedAt_ = std::max(confirmedAt_, readAt);
}

void VersionHistory::recordList(const std::map<ServiceName, std::set<SoftwareVersion>> &listed, TimeMs readAt)
{
    if (!knownSince_)
        knownSince_ = readAt;
    if (firstListAt_.count == 0)
        confirmedAt_ = firstListAt_ = readAt;
    for (std::pair<const ServiceName, std::map<SoftwareVersion, Seen>> &service : versions_) {
        const auto present = listed.find(service.first);
        for (std::pair<const SoftwareVersion, Seen> &version : service.second) {
            if (version.second.isListed)
                version.second.lastAt = confirmedAt_;
            version.second.isListed = present != listed.end() && present->second.contains(version.first);
        }
        std::erase_if(service.second, [&](const std::pair<const SoftwareVersion, Seen> &version) {
            return !version.second.isListed && readAt - version.second.lastAt > Retention;
        });
    }
    for (const std::pair<const ServiceName, std::set<SoftwareVersion>> &service : listed) {
        for (const SoftwareVersion &version : service.second)
            versions_[service.first].try_emplace(version, Seen{true, readAt});
    }
    confirmList(readAt);
}

VersionsSeen VersionHistory::seenSince(const ServiceName &service, TimeMs since) const
{
    VersionsSeen out;
    const auto found = versions_.find(service);
    if (found == versions_.end())
        return out;
    for (const std::pair<const SoftwareVersion, Seen> &version : found->second) {
        if (!version.second.isListed && version.second.lastAt < since)
            continue;
        out.areSeveral = out.sole.has_value();
        out.sole = version.first;
        if (out.areSeveral)
            break;
    }
    if (out.areSeveral || !knownSince_ || *knownSince_ > since)
        out.sole.reset();
    return out;
}

VersionRecord VersionHistory::record(int64_t wallOffset) const
{
    VersionRecord out;
    if (!knownSince_)
        return out;
    out.sinceWallMs = std::max<int64_t>(knownSince_->count + wallOffset, 0);
    for (const std::pair<const ServiceName, std::map<SoftwareVersion, Seen>> &service : versions_) {
        for (const std::pair<const SoftwareVersion, Seen> &version : service.second)
            out.lastWallMs[service.first][version.first]
                = version.second.isListed ? 0 : version.second.lastAt.count + wallOffset;
    }
    return out;
}

// A version that was listed when the record was written may have been used until this daemon's first list.
void VersionHistory::restore(const VersionRecord &record, int64_t wallOffset)
{
    const TimeMs since{record.sinceWallMs == 0 ? 0 : record.sinceWallMs - wallOffset};
    knownSince_ = std::min(knownSince_.value_or(since), since);
    for (const std::pair<const ServiceName, std::map<SoftwareVersion, int64_t>> &service :
         record.lastWallMs) {
        for (const std::pair<const SoftwareVersion, int64_t> &version : service.second) {
            const bool wasListed = version.second == 0;
            const TimeMs last = wasListed ? firstListAt_ : TimeMs{version.second - wallOffset};
            const bool hasNoList = firstListAt_.count == 0;
            const auto [entry, isNew]
                = versions_[service.first].try_emplace(version.first, Seen{wasListed && hasNoList, last});
            if (!isNew)
                entry->second.lastAt = std::max(entry->second.lastAt, last);
        }
    }
}

bool VersionHistory::isGapless(TimeMs since, TimeMs now) const
{
    return gaplessSince_ <= since && now - confirmedAt_ <= MaxListAge;
}

} // namespace cranberry
