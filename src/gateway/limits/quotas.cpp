#include "gateway/limits/quotas.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Part of the tolerance that callers get. Single prompts are larger than a second of the rate, so balances
/// of the bare burst refuse organisations that stay far below their limit in the mean. The rest covers
/// daemons that start, and the moments in which they don't agree on how many they are.
constexpr double UsedTolerance = 0.6;
/// A daemon that starts may have spent its balance in an earlier life.
constexpr double StartPart = 0.3;
/// A balance keeps this part of its share of the burst when others ask.
constexpr double KeptPart = 0.15;
/// What a daemon leaves itself when it gives the rest to be gathered, and the least that is worth a message.
constexpr double OwnPart = 0.5;
constexpr double SurplusPart = 0.15;
/// A request larger than this part of the whole burst runs on so much, and the rest is owed.
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
    // Those that go on share the whole by now, so what one that stands by has left would be theirs twice.
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
