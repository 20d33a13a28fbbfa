#include "gateway/rollout/trialcounts.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace cranberry {

namespace {

/// Interruptions at one endpoint within this time count once: the loss of its running requests is known by
/// then.
constexpr DurationMs InterruptionMergeWindow{1000};
/// Max routes counted separately; further routes are counted together.
constexpr size_t MaxRoutes = 24;
constexpr const char *OtherRoutes = "(others)";
/// A version that is slower "several times" is detected at this factor, even if only every second request is
/// slow; queueing of a busy service stays below it.
constexpr double SlowFactor = 3;
constexpr uint32_t MinSamples = 10; ///< Samples before a time can be classified as slow.
constexpr double MinSampleWeight = 0.02; ///< Weight of the newest sample: a moving mean over about fifty.

} // namespace

uint32_t trialGroup(const std::string &endpoint)
{
    return static_cast<uint32_t>(XXH3_64bits(endpoint.data(), endpoint.size()) % TrialCount::Groups);
}

void TrialCounts::begin(const ServiceName &service, const SoftwareVersion &target)
{
    trials_[service] = Trial{target, {}, {}};
}

void TrialCounts::end(const ServiceName &service)
{
    trials_.erase(service);
}

void TrialCounts::record(const ServiceName &service, const std::string &route, uint32_t group, bool bad)
{
    const auto found = trials_.find(service);
    if (found == trials_.end())
        return;
    Trial &trial = found->second;
    const bool hasCapacity = trial.counts.size() < MaxRoutes * (TrialCount::Groups + 1);
    const std::string &name = hasCapacity || trial.counts.contains({route, group}) ? route : OtherRoutes;
    TrialCount &count = trial.counts[{name, group}];
    count.service = service;
    count.target = trial.target;
    count.route = name;
    count.group = group;
    ++count.answers;
    count.bad += bad ? 1 : 0;
}

void TrialCounts::recordInterrupted(const ServiceName &service, const std::string &route, uint32_t group,
                                    const std::string &endpoint, TimeMs now)
{
    const auto found = trials_.find(service);
    if (found == trials_.end())
        return;
    const auto [at, isFirst] = found->second.interruptedAt.try_emplace(endpoint, now);
    if (!isFirst && now - at->second < InterruptionMergeWindow)
        return;
    at->second = now;
    record(service, route, group, true);
}

void TrialCounts::recordLost(const ServiceName &service, uint32_t group, const std::string &endpoint,
                             TimeMs now)
{
    recordInterrupted(service, TrialCount::LostRoute, group, endpoint, now);
}

std::vector<TrialCount> TrialCounts::rows() const
{
    std::vector<TrialCount> out;
    for (const std::pair<const ServiceName, Trial> &trial : trials_) {
        for (const std::pair<const Key, TrialCount> &count : trial.second.counts)
            out.push_back(count.second);
    }
    return out;
}

void BaselineTimes::record(const std::string &route, Step step, double time)
{
    if (time <= 0)
        return;
    Mean &mean = means_[{route, step}];
    ++mean.count;
    const double weight = std::max(MinSampleWeight, 1.0 / mean.count);
    mean.logarithm += weight * (std::log(time) - mean.logarithm);
}

bool BaselineTimes::isSlow(const std::string &route, Step step, double time, double minTime) const
{
    const auto found = means_.find({route, step});
    if (found == means_.end() || found->second.count < MinSamples)
        return false;
    return time > SlowFactor * std::max(std::exp(found->second.logarithm), minTime);
}

} // namespace cranberry
