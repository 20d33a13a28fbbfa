#include "gateway/limits/quotas.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Fraction of the tolerance that callers get. A single prompt may need more than one second of the rate, so
/// balances limited to the burst would refuse organisations whose mean use is far below their limit. The rest
/// of the tolerance covers daemons that start, and moments in which daemons don't agree on their number.
constexpr double UsedTolerance = 0.6;
/// Initial balance as a fraction of the share. The previous incarnation of a daemon may have spent its
/// balance.
constexpr double StartPart = 0.3;
/// Fraction of its share of the burst that a daemon keeps when others request units.
constexpr double KeptPart = 0.15;
/// Fraction of its share that a daemon retains when it deposits the rest, and the minimum fraction that is
/// worth a message.
constexpr double OwnPart = 0.5;
constexpr double SurplusPart = 0.15;
/// A request larger than this fraction of the whole burst runs when this much is available. The rest makes
/// the balance negative.
constexpr double MostAtOnce = 0.6;

} // namespace

void Quotas::refill(const ServedOrganisation &organisation, const QuotaRole &role, TimeMs now)
{
    if (organisation.ratePerSecond <= 0)
        return;
    const double over = 1 + UsedTolerance * tolerance_.over;
    const double daemons = static_cast<double>(std::max<size_t>(role.daemons, 1));
    const double keepers = static_cast<double>(std::clamp<size_t>(role.keepers, 1, role.daemons));
    Balance &balance = balances_[organisation.name];
    balance.part = std::max(organisation.burst * over + UsedTolerance * tolerance_.slack, 1.0) / daemons;
    const double leftByOthers = (1 - OwnPart - SurplusPart) * (daemons - keepers) / keepers;
    balance.bound
        = !role.shares ? 0 : balance.part * (role.isKeeper ? 1 + leftByOthers : OwnPart + SurplusPart);
    // The serving daemons already share the whole limit, so units left at a standby daemon would be counted
    // twice.
    if (balance.shares && !role.shares)
        balance.units = std::min(balance.units, 0.0);
    balance.shares = role.shares;
    if (!balance.started) {
        balance.started = true;
        balance.units += StartPart * std::min(balance.part, balance.bound);
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
    const double wholeBurst = balance.part * static_cast<double>(std::max<size_t>(role.daemons, 1));
    const double needed = std::min(units, MostAtOnce * wholeBurst);
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

double Quotas::give(const OrganisationName &organisation, double asked)
{
    const auto found = balances_.find(organisation);
    if (found == balances_.end())
        return 0;
    Balance &balance = found->second;
    const double given = std::clamp(balance.units - KeptPart * balance.part, 0.0, std::max(asked, 0.0));
    balance.units -= given;
    return given;
}

double Quotas::surplus(const OrganisationName &organisation)
{
    const auto found = balances_.find(organisation);
    if (found == balances_.end() || found->second.units < (OwnPart + SurplusPart) * found->second.part)
        return 0;
    const double units = found->second.units - OwnPart * found->second.part;
    found->second.units -= units;
    return units;
}

void Quotas::receive(const OrganisationName &organisation, double units)
{
    balances_[organisation].units += units;
}

void Quotas::keep(const OrganisationName &organisation, double units)
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
            out.push_back({entry.first, std::floor(entry.second.units - KeptPart * entry.second.part)});
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
