#include "gateway/endpoints/limitshares.h"

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

/// A daemon that has not repeated its share request within this time no longer waits.
constexpr DurationMs DemandTtl{300};
/// Longer than a grant of the previous coordinator may be in flight and then remain unused.
constexpr DurationMs HandoverPause{2000};
/// The bucket holds at most this many seconds of the rate, and at least one request.
constexpr double MaxSavedSeconds = 0.5;

} // namespace

void LimitShares::begin(bool hadPredecessor, TimeMs now)
{
    isOn_ = true;
    tokens_ = 0;
    demands_.clear();
    filledAt_ = hadPredecessor ? now + HandoverPause : now;
}

void LimitShares::end()
{
    isOn_ = false;
    demands_.clear();
}

void LimitShares::recordRequest(const Address &from, const LimitShareRequest &request, TimeMs now)
{
    updateDemand({from, request.number, request.waiting, now, now, 0, false});
}

void LimitShares::updateDemand(const Demand &demand)
{
    const auto known = std::find_if(demands_.begin(), demands_.end(),
                                    [&demand](const Demand &each) { return each.from == demand.from; });
    if (known == demands_.end()) {
        if (demand.waiting > 0)
            demands_.push_back(demand);
        return;
    }
    const TimeMs since = known->since;
    *known = demand;
    known->since = since;
}

void LimitShares::fill(double perSecond, TimeMs now)
{
    if (now <= filledAt_)
        return;
    const double seconds = static_cast<double>((now - filledAt_).count) / 1000.0;
    tokens_ = std::min(std::max(1.0, perSecond * MaxSavedSeconds), tokens_ + perSecond * seconds);
    filledAt_ = now;
}

LimitShares::Demand *LimitShares::longestWaiting()
{
    Demand *longest = nullptr;
    for (Demand &demand : demands_) {
        if (demand.waiting > 0 && (!longest || demand.since < longest->since))
            longest = &demand;
    }
    return longest;
}

// Each share request gets a reply even if nothing is granted, so that its daemon learns how many requests
// wait.
LimitShares::Distribution LimitShares::distribute(double perSecond, uint32_t wanted, bool isIdle, TimeMs now)
{
    fill(perSecond, now);
    updateDemand({std::nullopt, 0, wanted, now, now, 0, true});
    std::erase_if(demands_, [now](const Demand &demand) { return now - demand.requestedAt > DemandTtl; });
    Distribution out;
    for (Demand *next = longestWaiting(); next && tokens_ >= 1; next = longestWaiting()) {
        tokens_ -= 1;
        --next->waiting;
        ++next->granted;
        next->since = now;
    }
    for (Demand &demand : demands_) {
        const uint32_t granted = std::exchange(demand.granted, 0);
        if (!demand.from)
            out.own += granted;
        else if (granted > 0 || !std::exchange(demand.isAnswered, true))
            out.others.push_back({*demand.from, demand.requestNumber, granted});
    }
    if (isIdle && out.own == 0 && tokens_ >= 1) {
        tokens_ -= 1;
        out.own = 1;
    }
    return out;
}

uint32_t LimitShares::waiting() const
{
    uint32_t sum = 0;
    for (const Demand &demand : demands_)
        sum += demand.waiting;
    return sum;
}

} // namespace cranberry
