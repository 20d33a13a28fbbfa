#include "gateway/sizing/demandmeter.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cranberry {

namespace {

/// Time constant of the demand means. It is long enough to average out a few large prompts that arrive
/// together, so that their peaks order no engines, and short compared with an engine's start time.
constexpr double DemandTimeConstantSeconds = 4.0;
/// Time constant of the prefill samples: covers some hundred requests of a busy service, so that single
/// outliers have little weight.
constexpr double PrefillTimeConstantSeconds = 30.0;

/// Figures that are summed per request and averaged as rates per second.
constexpr std::array Rates{&ServiceDemand::prefillTokensPerSecond,
                           &ServiceDemand::prefillSquaresPerSecond,
                           &ServiceDemand::requestsPerSecond,
                           &ServiceDemand::targetMsPerSecond,
                           &ServiceDemand::offeredPerSecond,
                           &ServiceDemand::ownTokensPerSecond,
                           &ServiceDemand::ownSquaresPerSecond,
                           &ServiceDemand::sharedTokensPerSecond,
                           &ServiceDemand::sharedPrefilledPerSecond,
                           &ServiceDemand::startedPerSecond,
                           &ServiceDemand::latePerSecond};

} // namespace

void PrefillSums::add(const PrefillSums &other)
{
    count += other.count;
    tokens += other.tokens;
    ms += other.ms;
    tokensSquared += other.tokensSquared;
    tokensMs += other.tokensMs;
}

void PrefillSums::decay(double factor)
{
    count *= factor;
    tokens *= factor;
    ms *= factor;
    tokensSquared *= factor;
    tokensMs *= factor;
}

void ServiceDemand::add(const ServiceDemand &other)
{
    service = other.service;
    prefillTokensPerSecond += other.prefillTokensPerSecond;
    prefillSquaresPerSecond += other.prefillSquaresPerSecond;
    requestsPerSecond += other.requestsPerSecond;
    targetMsPerSecond += other.targetMsPerSecond;
    running += other.running;
    prefillSums.add(other.prefillSums);
    offeredPerSecond += other.offeredPerSecond;
    ownTokensPerSecond += other.ownTokensPerSecond;
    ownSquaresPerSecond += other.ownSquaresPerSecond;
    sharedTokensPerSecond += other.sharedTokensPerSecond;
    sharedPrefilledPerSecond += other.sharedPrefilledPerSecond;
    startedPerSecond += other.startedPerSecond;
    latePerSecond += other.latePerSecond;
    waiting += other.waiting;
}

double ServiceDemand::lateShare() const
{
    return startedPerSecond > 0 ? std::min(1.0, latePerSecond / startedPerSecond) : 0;
}

void DemandMeter::recordOffered(const ServiceName &service, uint64_t ownTokens, uint64_t sharedTokens)
{
    const double own = static_cast<double>(ownTokens);
    ServiceDemand &sums = pending_[service];
    sums.offeredPerSecond += 1;
    sums.ownTokensPerSecond += own;
    sums.ownSquaresPerSecond += own * own;
    sums.sharedTokensPerSecond += static_cast<double>(sharedTokens);
}

void DemandMeter::recordStreamStarted(const ServiceName &service)
{
    pending_[service].startedPerSecond += 1;
}

void DemandMeter::recordLate(const ServiceName &service)
{
    pending_[service].latePerSecond += 1;
}

void DemandMeter::recordRequest(const ServiceName &service, uint64_t tokens, uint64_t sharedTokens,
                                DurationMs target)
{
    const double count = static_cast<double>(tokens);
    ServiceDemand &sums = pending_[service];
    sums.prefillTokensPerSecond += count;
    sums.prefillSquaresPerSecond += count * count;
    sums.sharedPrefilledPerSecond += static_cast<double>(sharedTokens);
    sums.requestsPerSecond += 1;
    sums.targetMsPerSecond += static_cast<double>(target.count);
}

void DemandMeter::recordFirstEvent(const ServiceName &service, uint64_t tokens, DurationMs duration)
{
    const double count = static_cast<double>(tokens);
    const double ms = static_cast<double>(duration.count);
    pending_[service].prefillSums.add({1, count, ms, count * count, count * ms});
}

void DemandMeter::sample(const std::map<ServiceName, OpenRequests> &open, TimeMs now)
{
    const double seconds = static_cast<double>((now - sampledAt_).count) / 1000.0;
    sampledAt_ = now;
    if (!std::exchange(started_, true) || seconds <= 0)
        return;
    for (const std::pair<const ServiceName, OpenRequests> &entry : open)
        means_[entry.first].service = entry.first;
    for (const std::pair<const ServiceName, ServiceDemand> &entry : pending_)
        means_[entry.first].service = entry.first;
    const double weight = std::min(1.0, seconds / DemandTimeConstantSeconds);
    const auto updateMean = [&](double &mean, double value) { mean += weight * (value - mean); };
    for (std::pair<const ServiceName, ServiceDemand> &entry : means_) {
        ServiceDemand &mean = entry.second;
        const ServiceDemand &sums = pending_[entry.first];
        const auto found = open.find(entry.first);
        const OpenRequests current = found == open.end() ? OpenRequests{} : found->second;
        for (double ServiceDemand::*rate : Rates)
            updateMean(mean.*rate, sums.*rate / seconds);
        updateMean(mean.running, current.running);
        updateMean(mean.waiting, current.waiting);
        mean.prefillSums.decay(std::max(0.0, 1 - seconds / PrefillTimeConstantSeconds));
        mean.prefillSums.add(sums.prefillSums);
    }
    pending_.clear();
}

std::vector<ServiceDemand> DemandMeter::values() const
{
    std::vector<ServiceDemand> out;
    for (const std::pair<const ServiceName, ServiceDemand> &entry : means_)
        out.push_back(entry.second);
    return out;
}

PrefillSums DemandMeter::prefillSums(const ServiceName &service) const
{
    const auto found = means_.find(service);
    return found == means_.end() ? PrefillSums{} : found->second.prefillSums;
}

} // namespace cranberry
