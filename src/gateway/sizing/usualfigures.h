#pragma once

#include "gateway/sizing/engineneed.h"

#include <deque>
#include <optional>
#include <utility>

namespace cranberry {

/// What the engines of one service usually carry and how much of the shared prompt parts they usually
/// prefill, learned while no engine is missing. In the seconds after a loss both figures are those of empty
/// caches.
class UsualFigures
{
public:
    /// Records that `count` engines were reclaimed.
    void enginesLost(uint32_t count, TimeMs now) { losses_.emplace_back(now, count); }
    /// Call it at a regular interval. `left` is the number of engines that run. `isShort`: engines that were
    /// ordered are not available.
    void update(const EngineFigures &engine, const ServiceDemand &demand, uint32_t left, bool isShort,
                DurationMs bootDelay, TimeMs now);

    /// No more than single engines were lost or unavailable for a few start times.
    bool isCalm() const { return isCalm_; }
    const EngineCapacity &capacity() const { return capacity_; }
    double missShare() const { return missShare_; }
    /// Engines reclaimed so recently that their caches are not restored yet.
    uint32_t recentlyLost(DurationMs bootDelay, TimeMs now) const;

private:
    std::deque<std::pair<TimeMs, uint32_t>> losses_;
    std::optional<TimeMs> disturbedAt_; ///< Newest loss or shortage; at first the first update.
    TimeMs updatedAt_;
    EngineCapacity capacity_;
    double missShare_ = 0.1; ///< A typical share until it is known.
    bool isCalm_ = false;
    bool isLearned_ = false; ///< The capacity is that of a calm time.
};

} // namespace cranberry
