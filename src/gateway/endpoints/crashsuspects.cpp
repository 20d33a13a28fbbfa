#include "gateway/endpoints/crashsuspects.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace cranberry {

namespace {

/// What crashes an endpoint usually does so when it starts to run, so a request that had not yet streamed for
/// a second when its endpoint crashed counts twice as much as one that had. The others still count, for a
/// request that crashes endpoints later in its generation.
constexpr uint32_t EarlyRunPoints = 2;
constexpr uint32_t SoundRunPoints = 1;
/// Three crashes without an answer in between. One engine may fail under any request and a second one under
/// its retry, for instance when two racks lose power one after the other. A third one by chance is rare, and
/// each further crash fails all requests at that endpoint.
constexpr uint32_t QuarantinePoints = 3 * EarlyRunPoints;
/// Limits a caller who keeps retrying to three crashed endpoints in ten minutes, and lets the request try
/// again soon after the endpoints' software was fixed.
constexpr DurationMs QuarantineTime{600'000};
/// Crashes older than this say nothing about the next one.
constexpr DurationMs SuspicionTime{600'000};
/// Takes 0.3 MB at most. Each crash adds as many suspects as the endpoint had open requests; most are
/// answered elsewhere within seconds and removed.
constexpr size_t MostSuspects = 1024;
/// Quarantines that an answer refuted. They are rare, since quarantined requests are not sent to endpoints.
constexpr size_t MostCleared = 256;

} // namespace

bool CrashSuspects::endedUnder(const EndpointLoss &loss, TimeMs now)
{
    if (suspects_.size() >= MostSuspects && !suspects_.contains(loss.request))
        makeRoom(now);
    Suspect &suspect = suspects_[loss.request];
    const bool wasQuarantined = suspect.quarantinedUntil > now;
    if (now - suspect.lastAt > SuspicionTime)
        suspect.ends.clear();
    suspect.lastAt = now;
    const uint32_t points = loss.ranWell ? SoundRunPoints : EarlyRunPoints;
    if (!suspect.ends.try_emplace(loss.endpoint, points).second)
        return false;
    const uint32_t sum
        = std::accumulate(suspect.ends.begin(), suspect.ends.end(), 0U,
                          [](uint32_t before, const std::pair<const EndpointLife, uint32_t> &end) {
                              return before + end.second;
                          });
    if (sum < QuarantinePoints && !wasQuarantined)
        return false;
    suspect.quarantinedUntil = now + QuarantineTime;
    // The quarantine needs no further crashes, and their number must stay bounded.
    while (suspect.ends.size() > QuarantinePoints)
        suspect.ends.erase(suspect.ends.begin());
    ++version_;
    return !wasQuarantined;
}

bool CrashSuspects::answered(RequestDigest request, TimeMs now)
{
    const auto found = suspects_.find(request);
    if (found == suspects_.end())
        return false;
    if (found->second.quarantinedUntil > now) {
        if (clearedAt_.size() >= MostCleared)
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

size_t CrashSuspects::endsUnder(RequestDigest request) const
{
    const auto found = suspects_.find(request);
    return found == suspects_.end() ? 0 : found->second.ends.size();
}

bool CrashSuspects::quarantine(RequestDigest request, TimeMs until, TimeMs now)
{
    until = std::min(until, now + QuarantineTime);
    const auto cleared = clearedAt_.find(request);
    if (until <= now || (cleared != clearedAt_.end() && until - QuarantineTime <= cleared->second))
        return false;
    if (suspects_.size() >= MostSuspects && !suspects_.contains(request))
        makeRoom(now);
    Suspect &suspect = suspects_[request];
    const bool isNew = suspect.quarantinedUntil <= now;
    if (suspect.quarantinedUntil >= until)
        return false;
    suspect.quarantinedUntil = until;
    suspect.lastAt = now;
    ++version_;
    return isNew;
}

std::vector<CrashSuspects::Quarantined> CrashSuspects::quarantined(size_t most, TimeMs now) const
{
    std::vector<Quarantined> out;
    for (const std::pair<const RequestDigest, Suspect> &entry : suspects_) {
        if (entry.second.quarantinedUntil > now)
            out.push_back({entry.first, entry.second.quarantinedUntil});
    }
    std::sort(out.begin(), out.end(),
              [](const Quarantined &a, const Quarantined &b) { return a.until > b.until; });
    out.resize(std::min(out.size(), most));
    return out;
}

std::vector<EndpointLoss> CrashSuspects::losses(size_t most) const
{
    std::vector<EndpointLoss> out;
    for (const std::pair<const RequestDigest, Suspect> &entry : suspects_) {
        for (const std::pair<const EndpointLife, uint32_t> &end : entry.second.ends)
            out.push_back({entry.first, end.first, end.second == SoundRunPoints});
    }
    std::stable_sort(out.begin(), out.end(), [this](const EndpointLoss &a, const EndpointLoss &b) {
        return endsUnder(a.request) > endsUnder(b.request);
    });
    out.resize(std::min(out.size(), most));
    return out;
}

// Evicts requests with a single crash before those with several, the oldest first, and quarantined requests
// last. A caller who sends many such requests on purpose thus evicts its own.
void CrashSuspects::makeRoom(TimeMs now)
{
    const auto rank = [now](const Suspect &suspect) {
        return std::tuple(suspect.quarantinedUntil > now, suspect.ends.size(), suspect.lastAt);
    };
    const auto least = std::min_element(suspects_.begin(), suspects_.end(),
                                        [&rank](const std::pair<const RequestDigest, Suspect> &a,
                                                const std::pair<const RequestDigest, Suspect> &b) {
                                            return rank(a.second) < rank(b.second);
                                        });
    suspects_.erase(least);
}

} // namespace cranberry
