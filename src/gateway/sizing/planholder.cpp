#include "gateway/sizing/planholder.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Bounds the number of needs that are remembered.
constexpr DurationMs SampleInterval{500};
/// Size of a step: small enough that engines that turn out to be needed are missed by few callers.
constexpr uint32_t StepDivisor = 10;
/// Start times between two steps: the effect of the step before must have had time to show.
constexpr int64_t StepBoots = 2;
/// Start times without a fall after late streams have shown that more engines are needed.
constexpr int64_t LateBoots = 12;
/// Bound of the held need, relative to the highest recent need: more engines would idle.
constexpr uint32_t MaxNeedFactor = 2;
/// While more than this share of the streams is late, the plan does not fall.
constexpr double FallLateShare = 0.02;
/// Above this share more engines are planned. The estimate that the need comes from accepts up to 0.09 right
/// after a loss.
constexpr double RaiseLateShare = 0.05;
/// Fewer late streams may be chance.
constexpr double MinLatePerSecond = 1;
/// Bound of the engines planned for late streams, relative to the need: beyond it they are late for another
/// reason.
constexpr double MaxLateFactor = 1.5;

} // namespace

uint32_t NeedHolder::highestSince(TimeMs from) const
{
    uint32_t highest = 0;
    for (const std::pair<TimeMs, uint32_t> &each : needs_)
        highest = each.first >= from ? std::max(highest, each.second) : highest;
    return highest;
}

uint32_t NeedHolder::update(uint32_t need, const ServiceQuality &quality, DurationMs bootDelay, TimeMs now)
{
    const DurationMs delay = fallDelay(bootDelay);
    if (needs_.empty() || now - needs_.back().first >= SampleInterval)
        needs_.emplace_back(now, need);
    needs_.back().second = std::max(needs_.back().second, need);
    while (now - needs_.front().first > delay)
        needs_.pop_front();
    recent_ = highestSince(now - bootDelay);
    const uint32_t lowest = highestSince(now - delay);
    if (lowest >= held_) {
        held_ = lowest;
        nextFallAt_ = std::max(nextFallAt_, now + bootDelay * StepBoots);
    }
    raiseForLate(quality, bootDelay, now);
    held_ = std::min(held_, MaxNeedFactor * recent_);
    if (quality.lateShare > FallLateShare)
        nextFallAt_ = std::max(nextFallAt_, now + bootDelay * StepBoots);
    if (now >= nextFallAt_ && held_ > lowest) {
        held_ = std::max(lowest, held_ - std::max(held_ / StepDivisor, 1U));
        nextFallAt_ = now + bootDelay * StepBoots;
    }
    return held_;
}

void NeedHolder::raiseForLate(const ServiceQuality &quality, DurationMs bootDelay, TimeMs now)
{
    const bool isLate = quality.lateShare > RaiseLateShare && quality.latePerSecond >= MinLatePerSecond;
    if (!isLate || !quality.isCalm || now < nextRaiseAt_)
        return;
    const uint32_t raised = held_ + std::max(held_ / StepDivisor, 1U);
    const uint32_t highest = static_cast<uint32_t>(MaxLateFactor * recent_);
    held_ = std::max(held_, std::min(raised, highest));
    nextRaiseAt_ = now + bootDelay * StepBoots;
    nextFallAt_ = std::max(nextFallAt_, now + bootDelay * LateBoots);
}

uint32_t OrderHold::update(uint32_t wanted, uint32_t existing, DurationMs holdTime, DurationMs bootDelay,
                           TimeMs now)
{
    if (isRefused_)
        count_ = std::max(std::min(accepted_, count_), wanted);
    if (wanted >= count_) {
        if (wanted > std::max(count_, existing))
            startedAt_ = now;
        lowerSince_.reset();
        count_ = wanted;
        return count_;
    }
    highestLower_ = lowerSince_ ? std::max(highestLower_, wanted) : wanted;
    lowerSince_ = lowerSince_.value_or(now);
    const bool isStarting = startedAt_ && now - *startedAt_ < bootDelay;
    if (!isStarting && now - *lowerSince_ >= holdTime) {
        count_ = highestLower_;
        accepted_ = std::min(accepted_, count_);
        lowerSince_.reset();
    }
    return count_;
}

void OrderHold::onAccepted(uint32_t count, bool starts, TimeMs now)
{
    accepted_ = std::min(count, count_);
    isRefused_ = false;
    if (starts)
        startedAt_ = now;
}

} // namespace cranberry
