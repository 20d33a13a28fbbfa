#include "daemon/budgets.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

constexpr double BurstSeconds = 2;
constexpr double RetriesPerSuccess = 0.1;
constexpr double MinRetriesPerSecond = 1;
constexpr double MaxRetryLevel = 100;
constexpr DurationMs BackoffBase{25};
constexpr uint32_t MaxBackoffDoublings = 5;

} // namespace

// An organisation with a full bucket may start one request of any size: the level drops below zero and later
// requests wait. Otherwise a request larger than the burst could never run.
std::optional<DurationMs> OrganisationLimits::take(const Organisation &organisation, uint64_t work,
                                                   size_t daemons, TimeMs now)
{
    const double rate = organisation.tokensPerSecond / static_cast<double>(std::max<size_t>(daemons, 1));
    Bucket &bucket = buckets_[organisation.name];
    const double burst = rate * BurstSeconds;
    if (!bucket.started) {
        bucket.level = burst;
        bucket.started = true;
    } else {
        const double seconds = static_cast<double>((now - bucket.filledAt).count) / 1000.0;
        bucket.level = std::min(burst, bucket.level + rate * seconds);
    }
    bucket.filledAt = now;
    const double needed = std::min(static_cast<double>(work), burst);
    if (bucket.level < needed)
        return DurationMs{static_cast<int64_t>(std::ceil(1000.0 * (needed - bucket.level) / rate))};
    bucket.level -= static_cast<double>(work);
    return std::nullopt;
}

bool RetryBudget::take(TimeMs now)
{
    refill(now);
    if (level_ < 1)
        return false;
    level_ -= 1;
    return true;
}

// Prevents lost idempotent requests when a burst of failures has emptied the budget and no other work is left
// whose successes would refill it: the retries that remain would wait until their deadlines. A minimum per
// second, up to the burst, starts them one by one and adds little load per daemon.
void RetryBudget::refill(TimeMs now)
{
    const double seconds = static_cast<double>((now - refilledAt_).count) / 1000.0;
    refilledAt_ = now;
    if (level_ < BurstRetries)
        level_ = std::min(BurstRetries, level_ + seconds * MinRetriesPerSecond);
}

void RetryBudget::succeeded()
{
    level_ = std::min(MaxRetryLevel, level_ + RetriesPerSuccess);
}

DurationMs backoffCeiling(uint32_t tries)
{
    return BackoffBase * (1 << std::min(tries, MaxBackoffDoublings));
}

} // namespace cranberry
