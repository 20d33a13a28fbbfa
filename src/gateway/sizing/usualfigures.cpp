#include "gateway/sizing/usualfigures.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Start times after which a loss has no more effect: the replacements have started, and have filled their
/// caches.
constexpr int64_t SettleBoots = 3;
/// Start times during which the caches of lost engines are restored: in the first the replacements start.
constexpr int64_t RefillBoots = 2;
/// A smaller share of lost engines, such as one that crashed, changes the figures little.
constexpr double MinLostShare = 0.05;
/// Time constant of the learned share of misses: averages over many requests, and follows a change of their
/// mix within a minute.
constexpr double MissTimeConstantMs = 30'000;

// The prompts that are prefilled after a loss are larger than usual, so those as offered are the closer
// figure.
ServiceDemand withWarmCaches(ServiceDemand demand)
{
    demand.prefillTokensPerSecond = demand.ownTokensPerSecond;
    demand.prefillSquaresPerSecond = demand.ownSquaresPerSecond;
    return demand;
}

} // namespace

void UsualFigures::update(const EngineFigures &engine, const ServiceDemand &demand, uint32_t left,
                          bool isShort, DurationMs bootDelay, TimeMs now)
{
    const DurationMs settleTime = bootDelay * SettleBoots;
    if (!disturbedAt_) {
        disturbedAt_ = now;
        updatedAt_ = now;
    }
    while (!losses_.empty() && now - losses_.front().first > settleTime)
        losses_.pop_front();
    uint32_t lost = 0;
    for (const std::pair<TimeMs, uint32_t> &loss : losses_)
        lost += loss.second;
    const bool isLossLarge = lost > MinLostShare * (lost + left);
    if (isShort)
        disturbedAt_ = now;
    else if (isLossLarge)
        disturbedAt_ = std::max(*disturbedAt_, losses_.back().first);
    isCalm_ = now - *disturbedAt_ >= settleTime;
    const double weight = std::min(
        1.0, static_cast<double>((now - std::exchange(updatedAt_, now)).count) / MissTimeConstantMs);
    if (isCalm_ && demand.sharedTokensPerSecond > 0) {
        const double share = demand.sharedPrefilledPerSecond / demand.sharedTokensPerSecond;
        missShare_ += weight * (std::clamp(share, 0.0, 1.0) - missShare_);
    }
    if (isCalm_ || (!isLearned_ && !isLossLarge))
        capacity_ = engineCapacity(engine, demand);
    else if (!isLearned_)
        capacity_ = engineCapacity(engine, withWarmCaches(demand));
    isLearned_ = isLearned_ || isCalm_;
}

uint32_t UsualFigures::recentlyLost(DurationMs bootDelay, TimeMs now) const
{
    uint32_t lost = 0;
    for (const std::pair<TimeMs, uint32_t> &loss : losses_)
        lost += now - loss.first <= bootDelay * RefillBoots ? loss.second : 0;
    return lost;
}

} // namespace cranberry
