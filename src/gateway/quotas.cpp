#include "gateway/quotas.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Debt is bounded, in seconds of the rate, so that one report out of line can't shut an organisation out.
constexpr double MostDebtSeconds = 8;

/// Part of the tolerance that callers get. Single prompts are larger than a second of the rate, so a bucket of
/// the bare burst refuses organisations that stay far below their limit in the mean. The rest covers what the
/// daemons use between two of their reports.
constexpr double UsedTolerance = 0.5;

/// Own use, in seconds of the rate, that the others may not know of. All daemons together may use that much too
/// much in the first moment of a rush.
constexpr double UnreportedSeconds = 0.05;

} // namespace

// A request larger than the burst may start on a full bucket: otherwise it could never run.
std::optional<DurationMs> Quotas::take(const ServedOrganisation &organisation, double units, QuotaScope scope, TimeMs now)
{
    if (organisation.ratePerSecond <= 0)
        return std::nullopt;
    const double over = 1 + UsedTolerance * tolerance_.over;
    const double rate = organisation.ratePerSecond * over * scope.share;
    const double burst = std::max((organisation.burst * over + UsedTolerance * tolerance_.slack) * scope.share, 1.0);
    Bucket &bucket = buckets_[organisation.name];
    if (!bucket.started) {
        bucket.level = burst;
        bucket.started = true;
    } else {
        const double seconds = static_cast<double>((now - bucket.filledAt).count) / 1000.0;
        bucket.level = std::min(burst, bucket.level + rate * seconds);
    }
    bucket.filledAt = now;
    bucket.level = std::max(bucket.level, -MostDebtSeconds * organisation.ratePerSecond);
    const double needed = std::min(units, burst);
    if (bucket.level < needed)
        return DurationMs{static_cast<int64_t>(std::ceil(1000.0 * (needed - bucket.level) / rate))};
    bucket.level -= units;
    bucket.unreported += units;
    reportIsDue_ = reportIsDue_ || bucket.unreported > UnreportedSeconds * organisation.ratePerSecond;
    ownUse_[organisation.name] += units;
    return std::nullopt;
}

void Quotas::giveBack(const OrganisationName &organisation, double units)
{
    ownUse_[organisation] -= units;
    buckets_[organisation].level += units;
}

void Quotas::reported()
{
    reportIsDue_ = false;
    for (std::pair<const OrganisationName, Bucket> &entry : buckets_)
        entry.second.unreported = 0;
}

void Quotas::usedElsewhere(const OrganisationName &organisation, double units)
{
    buckets_[organisation].level -= units;
}

double quotaUnits(const ServedOrganisation &organisation, bool statesTokens, uint64_t tokens)
{
    if (!organisation.countsTokens)
        return 1;
    return static_cast<double>(statesTokens ? tokens : organisation.plainTokens);
}

} // namespace cranberry
