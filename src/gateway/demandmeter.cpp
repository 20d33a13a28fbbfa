#include "gateway/demandmeter.h"

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

/// Time constant of the means: long against a few large prompts at once, short against the time an engine
/// takes to start. With 2 s, peaks of single prompts kept one or two engines more on demand through a
/// shortage.
constexpr double MeanSeconds = 4.0;

} // namespace

void DemandMeter::sample(const std::map<ServiceName, uint32_t> &running, TimeMs now)
{
    const double seconds = static_cast<double>((now - sampledAt_).count) / 1000.0;
    sampledAt_ = now;
    if (!std::exchange(started_, true) || seconds <= 0)
        return;
    for (const std::pair<const ServiceName, uint32_t> &entry : running)
        means_[entry.first].service = entry.first;
    for (const std::pair<const ServiceName, double> &entry : pending_)
        means_[entry.first].service = entry.first;
    const double weight = std::min(1.0, seconds / MeanSeconds);
    for (std::pair<const ServiceName, ServiceDemand> &entry : means_) {
        ServiceDemand &mean = entry.second;
        const auto current = running.find(entry.first);
        mean.prefillTokensPerSecond
            += weight * (pending_[entry.first] / seconds - mean.prefillTokensPerSecond);
        mean.running += weight * ((current == running.end() ? 0 : current->second) - mean.running);
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

} // namespace cranberry
