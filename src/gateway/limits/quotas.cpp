#include "gateway/limits/quotas.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Fraction of the tolerance that callers get. A single prompt may need more than one second of the rate, so
/// balances limited to the burst would refuse organisations whose mean use is far below their limit. The rest
/// of the tolerance covers daemons that start, and moments in which daemons don't agree on their number.
constexpr double ToleranceFraction = 0.6;
/// Initial balance as a fraction of the share. The previous incarnation of a daemon may have spent its
/// balance.
constexpr double InitialFraction = 0.3;
/// Fraction of its share of the burst that a daemon keeps when others request units.
constexpr double ReservedFraction = 0.15;
/// Fraction of its share that a daemon retains when it deposits the rest, and the minimum fraction that is
/// worth a message.
constexpr double RetainedFraction = 0.5;
constexpr double MinSurplusFraction = 0.15;
/// A request larger than this fraction of the whole burst runs when this much is available. The rest makes
/// the balance negative.
constexpr double MaxRequiredFraction = 0.6;

} // namespace

void Quotas::refill(const ServedOrganisation &organisation, const QuotaRole &role, TimeMs now)
{
    if (organisation.ratePerSecond <= 0)
        return;
    const double over = 1 + ToleranceFraction * tolerance_.over;
    const double daemons = static_cast<double>(std::max<size_t>(role.daemons, 1));
    const double poolDaemons = static_cast<double>(std::clamp<size_t>(role.poolDaemons, 1, role.daemons));
    Balance &balance = balances_[organisation.name];
    balance.share = std::max(organisation.burst * over + ToleranceFraction * tolerance_.slack, 1.0) / daemons;
    const double leftByOthers
        = (1 - RetainedFraction - MinSurplusFraction) * (daemons - poolDaemons) / poolDaemons;
    balance.bound = !role.isServing
        ? 0
        : balance.share * (role.isPoolDaemon ? 1 + leftByOthers : RetainedFraction + MinSurplusFraction);
    // The serving daemons already share the whole limit, so units left at a standby daemon would be counted
    // twice.
    if (balance.isServing && !role.isServing)
        balance.units = std::min(balance.units, 0.0);
    balance.isServing = role.isServing;
    if (!balance.started) {
        balance.started = true;
        balance.units += InitialFraction * std::min(balance.share, balance.bound);
    } else if (balance.units < balance.bound) {
        const double seconds = static_cast<double>((now - balance.filledAt).count) / 1000.0;
        balance.units
            = std::min(balance.bound, balance.units + organisation.ratePerSecond * over / daemons * seconds);
    }
    balance.filledAt = now;
}

std::optional<QuotaShortage> Quotas::take(const ServedOrganisation &organisation, double units,
                                          const QuotaRole &role, TimeMs now)
{
    if (organisation.ratePerSecond <= 0)
        return std::nullopt;
    refill(organisation, role, now);
    Balance &balance = balances_[organisation.name];
    const double wholeBurst = balance.share * static_cast<double>(std::max<size_t>(role.daemons, 1));
    const double needed = std::min(units, MaxRequiredFraction * wholeBurst);
    if (balance.units < needed) {
        const double missing = needed - balance.units;
        return QuotaShortage{
            missing, {static_cast<int64_t>(std::ceil(1000.0 * missing / organisation.ratePerSecond))}};
    }
    balance.units -= units;
    return std::nullopt;
}

void Quotas::giveBack(const OrganisationName &organisation, double units)
{
    balances_[organisation].units += units;
}

double Quotas::give(const OrganisationName &organisation, double requested)
{
    const auto found = balances_.find(organisation);
    if (found == balances_.end())
        return 0;
    Balance &balance = found->second;
    const double given
        = std::clamp(balance.units - ReservedFraction * balance.share, 0.0, std::max(requested, 0.0));
    balance.units -= given;
    return given;
}

double Quotas::surplus(const OrganisationName &organisation)
{
    const auto found = balances_.find(organisation);
    if (found == balances_.end()
        || found->second.units < (RetainedFraction + MinSurplusFraction) * found->second.share)
        return 0;
    const double units = found->second.units - RetainedFraction * found->second.share;
    found->second.units -= units;
    return units;
}

void Quotas::receive(const OrganisationName &organisation, double units)
{
    balances_[organisation].units += units;
}

void Quotas::receiveDeposit(const OrganisationName &organisation, double units)
{
    const auto found = balances_.find(organisation);
    if (found == balances_.end())
        return;
    Balance &balance = found->second;
    balance.units += std::clamp(balance.bound - balance.units, 0.0, std::max(units, 0.0));
}

std::vector<OrganisationBalance> Quotas::balances() const
{
    std::vector<OrganisationBalance> out;
    for (const std::pair<const OrganisationName, Balance> &entry : balances_) {
        if (entry.second.started)
            out.push_back(
                {entry.first, std::floor(entry.second.units - ReservedFraction * entry.second.share)});
    }
    return out;
}

double quotaUnits(const ServedOrganisation &organisation, bool statesTokens, uint64_t tokens)
{
    if (!organisation.countsTokens)
        return 1;
    return static_cast<double>(statesTokens ? tokens : organisation.unstatedTokens);
}

} // namespace cranberry
