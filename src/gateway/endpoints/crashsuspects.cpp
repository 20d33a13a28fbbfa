#include "gateway/endpoints/crashsuspects.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace cranberry {

namespace {

/// What crashes an endpoint usually does so when it starts to run, so a request that had not yet streamed for
/// a second when its endpoint crashed counts twice as much as one that had. The others still count, for a
/// request that crashes endpoints later in its generation.
constexpr uint32_t EarlyCrashPoints = 2;
constexpr uint32_t LateCrashPoints = 1;
/// Three crashes without an answer in between. One engine may fail under any request and a second one under
/// its retry, for instance when two racks lose power one after the other. A third one by chance is rare, and
/// each further crash fails all requests at that endpoint.
constexpr uint32_t QuarantineThreshold = 3 * EarlyCrashPoints;
/// Crashes older than this say nothing about the next one.
constexpr DurationMs SuspicionTime{600'000};
/// Takes 0.3 MB at most. Each crash adds as many suspects as the endpoint had open requests; most are
/// answered elsewhere within seconds and removed.
constexpr size_t MaxSuspects = 1024;
/// Quarantines that an answer refuted. They are rare, since quarantined requests are not sent to endpoints.
constexpr size_t MaxClearedRequests = 256;

} // namespace

uint32_t CrashSuspects::pointsOf(const Suspect &suspect)
{
    return std::accumulate(suspect.crashPoints.begin(), suspect.crashPoints.end(), 0U,
                           [](uint32_t before, const std::pair<const EndpointIncarnation, uint32_t> &entry) {
                               return before + entry.second;
                           });
}

bool CrashSuspects::recordCrash(const EndpointCrash &crash, TimeMs now)
{
    if (suspects_.size() >= MaxSuspects && !suspects_.contains(crash.request))
        evictOne(now);
    Suspect &suspect = suspects_[crash.request];
    const bool wasQuarantined = suspect.quarantinedUntil > now;
    if (now - suspect.lastAt > SuspicionTime)
        suspect.crashPoints.clear();
    suspect.lastAt = now;
    const uint32_t points = crash.hadStreamed ? LateCrashPoints : EarlyCrashPoints;
    if (!suspect.crashPoints.try_emplace(crash.endpoint, points).second)
        return false;
    if (pointsOf(suspect) < QuarantineThreshold && !wasQuarantined)
        return false;
    suspect.quarantinedUntil = now + QuarantineTime;
    // The quarantine needs no further crashes, and their number must stay bounded.
    while (suspect.crashPoints.size() > QuarantineThreshold)
        suspect.crashPoints.erase(suspect.crashPoints.begin());
    ++version_;
    return !wasQuarantined;
}

void CrashSuspects::release(RequestDigest request)
{
    const auto found = suspects_.find(request);
    if (found == suspects_.end())
        return;
    found->second.quarantinedUntil = {};
    ++version_;
}

void CrashSuspects::forgive(const std::set<EndpointIncarnation> &endpoints)
{
    for (std::pair<const RequestDigest, Suspect> &each : suspects_) {
        Suspect &suspect = each.second;
        const size_t forgiven = std::erase_if(
            suspect.crashPoints, [&endpoints](const auto &crash) { return endpoints.contains(crash.first); });
        if (forgiven > 0 && pointsOf(suspect) < QuarantineThreshold) {
            version_ += suspect.quarantinedUntil.count != 0 ? 1 : 0;
            suspect.quarantinedUntil = {};
        }
    }
    std::erase_if(suspects_, [](const auto &each) {
        return each.second.crashPoints.empty() && each.second.quarantinedUntil.count == 0;
    });
}

bool CrashSuspects::recordAnswer(RequestDigest request, TimeMs now)
{
    const auto found = suspects_.find(request);
    if (found == suspects_.end())
        return false;
    if (found->second.quarantinedUntil > now) {
        if (clearedAt_.size() >= MaxClearedRequests)
            clearedAt_.clear();
        clearedAt_[request] = now;
        ++version_;
    }
    suspects_.erase(found);
    return true;
}

DurationMs CrashSuspects::timeLeft(RequestDigest request, TimeMs now) const
{
    const auto found = suspects_.find(request);
    return found == suspects_.end() ? DurationMs{0}
                                    : std::max(found->second.quarantinedUntil - now, DurationMs{0});
}

size_t CrashSuspects::crashCount(RequestDigest request) const
{
    const auto found = suspects_.find(request);
    return found == suspects_.end() ? 0 : found->second.crashPoints.size();
}

std::set<EndpointIncarnation> CrashSuspects::endpointsOf(RequestDigest request) const
{
    std::set<EndpointIncarnation> out;
    const auto found = suspects_.find(request);
    if (found == suspects_.end())
        return out;
    for (const std::pair<const EndpointIncarnation, uint32_t> &crash : found->second.crashPoints)
        out.insert(crash.first);
    return out;
}

std::set<EndpointIncarnation> CrashSuspects::crashedEndpoints() const
{
    std::set<EndpointIncarnation> out;
    for (const std::pair<const RequestDigest, Suspect> &each : suspects_) {
        for (const std::pair<const EndpointIncarnation, uint32_t> &crash : each.second.crashPoints)
            out.insert(crash.first);
    }
    return out;
}

bool CrashSuspects::quarantine(RequestDigest request, TimeMs until, TimeMs now)
{
    until = std::min(until, now + QuarantineTime);
    const auto cleared = clearedAt_.find(request);
    if (until <= now || (cleared != clearedAt_.end() && until - QuarantineTime <= cleared->second))
        return false;
    if (suspects_.size() >= MaxSuspects && !suspects_.contains(request))
        evictOne(now);
    Suspect &suspect = suspects_[request];
    const bool isNew = suspect.quarantinedUntil <= now;
    if (suspect.quarantinedUntil >= until)
        return false;
    suspect.quarantinedUntil = until;
    suspect.lastAt = now;
    ++version_;
    return isNew;
}

std::vector<CrashSuspects::Quarantined> CrashSuspects::quarantined(size_t maxCount, TimeMs now) const
{
    std::vector<Quarantined> out;
    for (const std::pair<const RequestDigest, Suspect> &entry : suspects_) {
        if (entry.second.quarantinedUntil > now)
            out.push_back({entry.first, entry.second.quarantinedUntil});
    }
    std::sort(out.begin(), out.end(),
              [](const Quarantined &a, const Quarantined &b) { return a.until > b.until; });
    out.resize(std::min(out.size(), maxCount));
    return out;
}

std::vector<EndpointCrash> CrashSuspects::crashes(size_t maxCount) const
{
    std::vector<EndpointCrash> out;
    for (const std::pair<const RequestDigest, Suspect> &entry : suspects_) {
        for (const std::pair<const EndpointIncarnation, uint32_t> &crash : entry.second.crashPoints)
            out.push_back({entry.first, crash.first, crash.second == LateCrashPoints});
    }
    std::stable_sort(out.begin(), out.end(), [this](const EndpointCrash &a, const EndpointCrash &b) {
        return crashCount(a.request) > crashCount(b.request);
    });
    out.resize(std::min(out.size(), maxCount));
    return out;
}

// Evicts requests with a single crash before those with several, the oldest first, and quarantined requests
// last. A caller who sends many such requests on purpose thus evicts its own.
void CrashSuspects::evictOne(TimeMs now)
{
    const auto rank = [now](const Suspect &suspect) {
        return std::tuple(suspect.quarantinedUntil > now, suspect.crashPoints.size(), suspect.lastAt);
    };
    const auto evicted = std::min_element(suspects_.begin(), suspects_.end(),
                                          [&rank](const std::pair<const RequestDigest, Suspect> &a,
                                                  const std::pair<const RequestDigest, Suspect> &b) {
                                              return rank(a.second) < rank(b.second);
                                          });
    suspects_.erase(evicted);
}

} // namespace cranberry
