#include "gateway/sizing/engineneed.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// The share of cache misses falls from all shared tokens of the lost engines to the usual share while the
/// caches are refilled, so half of them is the mean.
constexpr double MeanRefillMissShare = 0.5;

double secondsOf(DurationMs time)
{
    return std::max(static_cast<double>(time.count) / 1000, 0.001);
}

} // namespace

OfferedWork offeredWork(const ServiceDemand &demand, double missShare, DurationMs bootDelay)
{
    OfferedWork work;
    work.tokensPerSecond = demand.ownTokensPerSecond + missShare * demand.sharedTokensPerSecond;
    work.running = demand.running;
    if (demand.offeredPerSecond <= 0)
        return work;
    const double seconds = secondsOf(bootDelay);
    const double withinBoot = std::min(demand.waiting, demand.offeredPerSecond * seconds);
    const double backlog = demand.waiting - withinBoot;
    work.tokensPerSecond += backlog / seconds * work.tokensPerSecond / demand.offeredPerSecond;
    work.running -= std::min(work.running, withinBoot);
    return work;
}

uint32_t enginesFor(const OfferedWork &work, const EngineCapacity &perEngine)
{
    const double byTokens = work.tokensPerSecond / perEngine.tokensPerSecond;
    const double byRunning = work.running / perEngine.running;
    return static_cast<uint32_t>(std::ceil(std::max(byTokens, byRunning)));
}

double refillTokensPerSecond(const ServiceDemand &demand, const EngineLoss &loss, const EngineFigures &engine,
                             DurationMs refillTime)
{
    if (loss.lost == 0)
        return 0;
    const double lostShare = loss.lost / (loss.lost + std::max(loss.left, 0.0));
    const double missed = MeanRefillMissShare * lostShare * demand.sharedTokensPerSecond;
    const double held = static_cast<double>(loss.lost) * static_cast<double>(engine.cacheTokens);
    return engine.cacheTokens == 0 ? missed : std::min(missed, held / secondsOf(refillTime));
}

} // namespace cranberry
