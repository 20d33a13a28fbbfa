#pragma once

#include "common/types.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

namespace cranberry {

/// How a service's engines serve its callers at present.
struct ServiceQuality {
    double lateShare = 0; ///< Share of the streams that are late.
    double latePerSecond = 0;
    bool isCalm = true; ///< No engine was lost recently, so late streams mean that there are too few.
};

/// Holds the need for engines of one service: it rises at once and falls step by step, after the lower need
/// has persisted for a few start times of an engine and while callers are served in time.
class NeedHolder
{
public:
    /// Call it at a regular interval; returns the need that the plan is made for.
    uint32_t update(uint32_t need, const ServiceQuality &quality, DurationMs bootDelay, TimeMs now);
    /// Raises the need that is held, for engines found running whose need is not known yet.
    void holdAtLeast(uint32_t need) { held_ = std::max(held_, need); }
    uint32_t heldNeed() const { return held_; }
    /// Highest need within the last start time.
    uint32_t recentNeed() const { return recent_; }

private:
    uint32_t highestSince(TimeMs from) const;
    void raiseForLate(const ServiceQuality &quality, DurationMs bootDelay, TimeMs now);

    std::deque<std::pair<TimeMs, uint32_t>> needs_;
    uint32_t held_ = 0;
    uint32_t recent_ = 0;
    TimeMs nextFallAt_;
    TimeMs nextRaiseAt_;
};

/// Holds back lower counts of one order, so that engines that are starting are not cancelled.
class OrderHold
{
public:
    /// Returns the count to order, of which `existing` run. A lower count is used once no higher one has been
    /// wanted for `holdTime`, and never within `bootDelay` after engines were ordered or began to start.
    uint32_t update(uint32_t wanted, uint32_t existing, DurationMs holdTime, DurationMs bootDelay,
                    TimeMs now);
    /// Records that an order of `count` was accepted; `starts`: more engines than exist were ordered.
    void onAccepted(uint32_t count, bool starts, TimeMs now);
    /// Records that the order was refused. What it added to the order before is not held.
    void onRefused() { isRefused_ = true; }

private:
    uint32_t count_ = 0;
    uint32_t accepted_ = 0; ///< Part of the count that was accepted.
    bool isRefused_ = false; ///< By the last reply.
    std::optional<TimeMs> startedAt_; ///< Last raise, or last acceptance of an order.
    std::optional<TimeMs> lowerSince_;
    uint32_t highestLower_ = 0; ///< Highest count wanted since then.
};

/// Time for which a lower need must persist before the plan falls.
constexpr DurationMs fallDelay(DurationMs bootDelay)
{
    return bootDelay * 3;
}

} // namespace cranberry
