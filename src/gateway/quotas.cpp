#include "gateway/quotas.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberry {

namespace {

/// Debt is bounded, in seconds of the rate, so that one report out of line can't shut an organisation out.
constexpr double MostDebtSeconds = 8;

/// Part of the tolerance that callers get. Single prompts are larger than a second of the rate, so a bucket
/// of the bare burst refuses organisations that stay far below their limit in the mean. The rest covers what
/// the daemons use between two of their reports.
constexpr double UsedTolerance = 0.6;

/// Own use, in seconds of the rate, that the others may not know of. All daemons together may use that much
/// too much in the first moment of a rush.
constexpr double UnreportedSeconds = 0.05;

} // namespace

void Quotas::refill(const ServedOrganisation &organisation, QuotaScope scope, TimeMs now)
{
    if (organisation.ratePerSecond <= 0)
        return;
    const double over = 1 + UsedTolerance * tolerance_.over;
    Bucket &bucket = buckets_[organisation.name];
    bucket.wholeBurst = std::max(organisation.burst * over + UsedTolerance * tolerance_.slack, 1.0);
    double level = bucket.started ? bucket.levelAt(now) : bucket.wholeBurst * scope.ownShare;
    if (bucket.started && scope.share < bucket.share && level > 0)
        level *= scope.share / bucket.share; // Those that left took their part along.
    bucket.burst = bucket.wholeBurst * scope.share;
    bucket.ratePerSecond = organisation.ratePerSecond * over * scope.share;
    bucket.level = std::min(bucket.burst, level + std::exchange(bucket.joined, 0));
    bucket.level = std::max(bucket.level, -MostDebtSeconds * organisation.ratePerSecond);
    bucket.share = scope.share;
    bucket.started = true;
    bucket.filledAt = now;
}

// A request larger than the burst may start on a full bucket: otherwise it could never run.
std::optional<DurationMs> Quotas::take(const ServedOrganisation &organisation, double units, QuotaScope scope,
                                       TimeMs now)
{
    if (organisation.ratePerSecond <= 0)
        return std::nullopt;
    refill(organisation, scope, now);
    Bucket &bucket = buckets_[organisation.name];
    const double needed = std::min(units, bucket.wholeBurst);
    if (bucket.level < needed)
        return DurationMs{
            static_cast<int64_t>(std::ceil(1000.0 * (needed - bucket.level) / bucket.ratePerSecond))};
    bucket.level -= units;
    bucket.used += units;
    bucket.unreported += units;
    reportIsDue_ = reportIsDue_ || bucket.unreported > UnreportedSeconds * organisation.ratePerSecond;
    return std::nullopt;
}

double Quotas::Bucket::levelAt(TimeMs now) const
{
    const double seconds = static_cast<double>((now - filledAt).count) / 1000.0;
    return std::min(burst, level + ratePerSecond * seconds);
}

void Quotas::giveBack(const OrganisationName &organisation, double units)
{
    buckets_[organisation].used -= units;
    buckets_[organisation].level += units;
}

void Quotas::join(const OrganisationName &organisation, double level)
{
    buckets_[organisation].joined += level;
}

std::vector<OrganisationUse> Quotas::uses(TimeMs now) const
{
    std::vector<OrganisationUse> out;
    for (const std::pair<const OrganisationName, Bucket> &entry : buckets_) {
        if (entry.second.started)
            out.push_back({entry.first, entry.second.used, entry.second.levelAt(now)});
    }
    return out;
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
    return static_cast<double>(statesTokens ? tokens : organisation.unstatedTokens);
}

} // namespace cranberry
