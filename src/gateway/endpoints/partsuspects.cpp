#include "gateway/endpoints/partsuspects.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace cranberry {

namespace {

/// Crashes and different requests that make a part stand out. Sound parts without a proof are rare in
/// requests, and one request with its repeats is not taken for several.
constexpr size_t MinCrashes = 4;
constexpr size_t MinRequests = 3;
/// Crashes after which one of several parts that were at the same crashes, all without proof, is chosen.
constexpr size_t MinCrashesOfEquals = 8;
/// Endpoints that crash within this time of each other have a cause of their own, like the loss of a rack.
constexpr DurationMs CommonCauseTime{50};
/// Software that is not changed does not turn bad; the load on it may.
constexpr DurationMs ProofTime{120'000};
constexpr DurationMs ExplainedTime{60'000};
/// After its quarantine a part is quarantined again at its first crash.
constexpr DurationMs ProbationTime{3'600'000};
constexpr size_t MaxSuspects = 1024;
constexpr size_t MaxProofs = 16'384;
constexpr size_t MaxCrashesKept = 16;
constexpr size_t MaxExplained = 512;

uint64_t proofKey(RequestDigest part, const SoftwareVersion &version)
{
    return XXH3_64bits_withSeed(version.value.data(), version.value.size(), part.value);
}

} // namespace

// ---- Proofs ----

std::vector<RequestDigest> PartSuspects::recordProof(const std::vector<RequestDigest> &parts,
                                                     const SoftwareVersion &version, TimeMs now)
{
    std::vector<RequestDigest> fresh;
    for (const RequestDigest part : parts) {
        const bool wasSuspected = suspects_.erase(part) > 0;
        if (wasSuspected || !isProven(part, version, now))
            fresh.push_back(part);
        const uint64_t key = proofKey(part, version);
        TimeMs &at = provenAt_[key];
        if (now - at < ProofTime / 4 && at.count != 0)
            continue;
        at = now;
        proofs_.push_back({key, now});
    }
    while (provenAt_.size() > MaxProofs || (!proofs_.empty() && now - proofs_.front().at > ProofTime)) {
        const auto found = provenAt_.find(proofs_.front().key);
        if (found != provenAt_.end() && found->second <= proofs_.front().at)
            provenAt_.erase(found);
        proofs_.pop_front();
    }
    return fresh;
}

bool PartSuspects::isProven(RequestDigest part, const SoftwareVersion &version, TimeMs now) const
{
    const auto found = provenAt_.find(proofKey(part, version));
    return found != provenAt_.end() && now - found->second <= ProofTime;
}

// ---- Crashes ----

std::optional<RequestDigest> PartSuspects::recordCrash(const EndpointCrash &crash, TimeMs now)
{
    if (crash.hadStreamed || isExplained(crash.endpoint))
        return std::nullopt;
    uint64_t depth = 0;
    for (const RequestDigest part : crash.parts) {
        ++depth;
        if (!isProven(part, crash.version, now))
            addCrash(part, depth, crash, now);
    }
    for (const RequestDigest part : crash.parts) {
        if (standsOut(part))
            return part;
    }
    return std::nullopt;
}

void PartSuspects::addCrash(RequestDigest part, uint64_t depth, const EndpointCrash &crash, TimeMs now)
{
    if (suspects_.size() >= MaxSuspects && !suspects_.contains(part))
        evictOne();
    Suspect &suspect = suspects_[part];
    suspect.depth = std::max(suspect.depth, depth);
    if (suspect.requests.size() < MaxCrashesKept)
        suspect.requests.insert(crash.request);
    const bool hasCommonCause = !suspect.crashes.empty() && now - suspect.lastCrashAt < CommonCauseTime;
    if (hasCommonCause || suspect.crashes.size() >= MaxCrashesKept
        || !suspect.crashes.try_emplace(crash.endpoint, Crash{crash.version, crash.request}).second)
        return;
    suspect.lastCrashAt = now;
}

// Among parts that were at as many crashes, none of them proven, the one that fewer requests have in common
// and that stands deeper in the prompt is more specific.
bool PartSuspects::standsOut(RequestDigest part) const
{
    const auto found = suspects_.find(part);
    if (found == suspects_.end())
        return false;
    if (isOnProbation(part))
        return true;
    const Suspect &suspect = found->second;
    if (suspect.crashes.size() < MinCrashes || suspect.requests.size() < MinRequests)
        return false;
    const auto rank = [](const Suspect &each) {
        return std::tuple(each.crashes.size(), ~each.requests.size(), each.depth);
    };
    bool hasEqual = false;
    for (const std::pair<const RequestDigest, Suspect> &other : suspects_) {
        if (other.first == part || other.second.crashes.size() < suspect.crashes.size())
            continue;
        hasEqual = true;
        if (rank(other.second) > rank(suspect))
            return false;
    }
    return !hasEqual || suspect.crashes.size() >= MinCrashesOfEquals;
}

std::set<EndpointIncarnation> PartSuspects::explainBy(RequestDigest part, TimeMs now)
{
    std::set<EndpointIncarnation> endpoints;
    if (const auto found = suspects_.find(part); found != suspects_.end()) {
        for (const std::pair<const EndpointIncarnation, Crash> &crash : found->second.crashes)
            endpoints.insert(crash.first);
    }
    quarantined_[part] = {now, endpoints.size()};
    return explain(std::move(endpoints), now);
}

std::set<EndpointIncarnation> PartSuspects::explain(std::set<EndpointIncarnation> endpoints, TimeMs now)
{
    for (const EndpointIncarnation &endpoint : endpoints)
        explained_[endpoint] = now;
    for (std::pair<const RequestDigest, Suspect> &other : suspects_)
        std::erase_if(other.second.crashes,
                      [&endpoints](const auto &crash) { return endpoints.contains(crash.first); });
    std::erase_if(suspects_, [](const auto &each) { return each.second.crashes.empty(); });
    return endpoints;
}

void PartSuspects::acquit(RequestDigest part)
{
    quarantined_.erase(part);
    suspects_.erase(part);
}

bool PartSuspects::covers(const std::set<EndpointIncarnation> &crashes,
                          const std::vector<RequestDigest> &except) const
{
    return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto &suspect) {
        const bool isExcepted = std::find(except.begin(), except.end(), suspect.first) != except.end();
        return !isExcepted && std::all_of(crashes.begin(), crashes.end(), [&suspect](const auto &crash) {
            return suspect.second.crashes.contains(crash);
        });
    });
}

size_t PartSuspects::crashCount(RequestDigest part) const
{
    const auto verdict = quarantined_.find(part);
    const auto found = suspects_.find(part);
    return (found == suspects_.end() ? 0 : found->second.crashes.size())
        + (verdict == quarantined_.end() ? 0 : verdict->second.crashes);
}

std::vector<EndpointCrash> PartSuspects::crashesOf(RequestDigest part) const
{
    std::vector<EndpointCrash> out;
    const auto found = suspects_.find(part);
    if (found == suspects_.end())
        return out;
    for (const std::pair<const EndpointIncarnation, Crash> &crash : found->second.crashes)
        out.push_back({crash.second.request, crash.first, false, {part}, crash.second.version});
    return out;
}

std::vector<EndpointCrash> PartSuspects::crashes(size_t maxCount) const
{
    std::vector<std::pair<size_t, RequestDigest>> ranked;
    for (const std::pair<const RequestDigest, Suspect> &each : suspects_)
        ranked.emplace_back(each.second.crashes.size(), each.first);
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<EndpointCrash> out;
    for (const std::pair<size_t, RequestDigest> &each : ranked) {
        const std::vector<EndpointCrash> ofPart = crashesOf(each.second);
        out.insert(out.end(), ofPart.begin(), ofPart.end());
        if (out.size() >= maxCount)
            break;
    }
    out.resize(std::min(out.size(), maxCount));
    return out;
}

// Evicts the part with the fewest crashes, the oldest first: a caller who sends a new part with each request
// evicts its own.
void PartSuspects::evictOne()
{
    const auto rank = [](const std::pair<const RequestDigest, Suspect> &each) {
        return std::tuple(each.second.crashes.size(), each.second.lastCrashAt);
    };
    suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(),
                                     [&rank](const auto &a, const auto &b) { return rank(a) < rank(b); }));
}

void PartSuspects::tick(TimeMs now)
{
    std::erase_if(explained_, [now](const auto &each) { return now - each.second > ExplainedTime; });
    while (explained_.size() > MaxExplained)
        explained_.erase(explained_.begin());
    std::erase_if(quarantined_, [now](const auto &each) { return now - each.second.at > ProbationTime; });
    std::erase_if(suspects_,
                  [now](const auto &each) { return now - each.second.lastCrashAt > ProbationTime; });
}

} // namespace cranberry
