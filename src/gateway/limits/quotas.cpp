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
/// Daemons that are killed together serve no request for at least this time.
constexpr double MinRestartSeconds = 0.5;
/// After a start, a daemon that served before is on standby for up to this time, until its new entry lists it
/// as serving.
constexpr DurationMs RoleChangeTime{3000};

} // namespace

void Quotas::refill(const ServedOrganisation &organisation, const QuotaRole &role, TimeMs now)
{
    if (organisation.ratePerSecond <= 0)
        return;
    const Limit limit = limitOf(organisation);
    const double daemons = static_cast<double>(std::max<size_t>(role.daemons, 1));
    const double poolDaemons = static_cast<double>(std::clamp<size_t>(role.poolDaemons, 1, role.daemons));
    Balance &balance = balances_[organisation.name];
    balance.share = limit.units / daemons;
    const double leftByOthers
        = (1 - RetainedFraction - MinSurplusFraction) * (daemons - poolDaemons) / poolDaemons;
    balance.bound = !role.isServing
        ? 0
        : balance.share * (role.isPoolDaemon ? 1 + leftByOthers : RetainedFraction + MinSurplusFraction);
    applyRole(organisation.name, role.isServing, now);
    if (!balance.started) {
        balance.started = true;
        balance.initial = InitialFraction * std::min(balance.share, balance.bound);
        balance.units += balance.initial;
    } else if (balance.units < balance.bound) {
        const double seconds = static_cast<double>((now - balance.filledAt).count) / 1000.0;
        balance.units = std::min(balance.bound, balance.units + limit.unitsPerSecond / daemons * seconds);
    }
    balance.filledAt = now;
}

// The serving daemons already share the whole limit, so units left at a standby daemon would be counted
// twice. Inherited units belong to this instance alone, so they may wait for its next role.
void Quotas::applyRole(const OrganisationName &organisation, bool isServing, TimeMs now)
{
    Balance &balance = balances_[organisation];
    if (balance.isServing && !isServing) {
        const double inherited = now - balance.inheritedAt < RoleChangeTime ? balance.inherited : 0;
        balance.setAside = std::clamp(balance.units, 0.0, inherited);
        balance.setAsideAt = now;
        balance.units = std::min(balance.units, 0.0);
    } else if (!balance.isServing && isServing) {
        if (now - balance.setAsideAt < RoleChangeTime)
            balance.units += balance.setAside;
        balance.setAside = 0;
    }
    balance.isServing = isServing;
}

Quotas::Limit Quotas::limitOf(const ServedOrganisation &organisation) const
{
    const double over = 1 + ToleranceFraction * tolerance_.over;
    Limit out;
    out.units = std::max(organisation.burst * over + ToleranceFraction * tolerance_.slack, 1.0);
    out.unitsPerSecond = organisation.ratePerSecond * over;
    // All units of the checkpoint may have been used just before the kill.
    const double unusedTolerance
        = (1 - ToleranceFraction) * (organisation.burst * tolerance_.over + tolerance_.slack);
    out.startUnits = std::min(out.units, unusedTolerance + out.unitsPerSecond * MinRestartSeconds);
    return out;
}

double Quotas::countedUnits(double spare, double share, bool isPoolDaemon)
{
    if (spare <= 0)
        return std::min(spare + ReservedFraction * share, 0.0);
    const double units = spare + ReservedFraction * share;
    return isPoolDaemon ? units : std::min(units, RetainedFraction * share);
}

double Quotas::countedUnits(const OrganisationName &organisation) const
{
    const auto found = balances_.find(organisation);
    return found == balances_.end() || !found->second.isServing ? 0 : found->second.units;
}

void Quotas::inherit(const OrganisationName &organisation, double units, TimeMs now)
{
    const auto found = balances_.find(organisation);
    if (found == balances_.end() || !found->second.started)
        return;
    Balance &balance = found->second;
    const double raise = units - balance.initial;
    if (raise <= 0)
        return;
    balance.initial = units;
    balance.inherited += raise;
    balance.inheritedAt = now;
    if (balance.isServing) {
        balance.units += raise;
        return;
    }
    balance.setAside += raise;
    balance.setAsideAt = now;
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
