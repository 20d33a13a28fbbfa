#include "gateway/requests/fairshares.h"

#include <array>
#include <cmath>
#include <set>

namespace cranberry {

namespace {

/// Time constant of the decay of served work. Longer than a latency target, so that a burst counts while its
/// requests wait, and shorter than a caller's usual deadline, so that no organisation is held back for longer
/// than its callers wait.
constexpr double DecayMs = 3000;
/// An organisation counts as beyond its share from this multiple of the others' mean. Smaller differences are
/// usual variations of the load.
constexpr double BeyondShareFactor = 2;
/// Below this number of recent requests the served work says little about an organisation's load: with three
/// expected requests, twice as many occur often by chance.
constexpr double MinRequests = 8;

bool isRecent(TimeMs at, TimeMs now)
{
    return static_cast<double>((now - at).count) <= DecayMs;
}

} // namespace

void FairShares::configure(const ServingConfiguration &configuration)
{
    std::array<double, 2> sums = {}; // By unit: requests, tokens.
    std::array<size_t, 2> counts = {};
    for (const ServedOrganisation &organisation : configuration.organisations) {
        if (organisation.ratePerSecond <= 0)
            continue;
        sums.at(organisation.countsTokens ? 1 : 0) += organisation.ratePerSecond;
        ++counts.at(organisation.countsTokens ? 1 : 0);
    }
    weights_.clear();
    for (const ServedOrganisation &organisation : configuration.organisations) {
        const size_t unit = organisation.countsTokens ? 1 : 0;
        if (organisation.ratePerSecond > 0)
            weights_[organisation.name]
                = organisation.ratePerSecond * static_cast<double>(counts.at(unit)) / sums.at(unit);
    }
    std::erase_if(served_, [&configuration](const std::pair<const ServiceName, ServedByOrganisation> &entry) {
        return !configuration.findService(entry.first);
    });
    std::set<OrganisationName> known{OrganisationName{}};
    for (const ServedOrganisation &organisation : configuration.organisations)
        known.insert(organisation.name);
    for (std::pair<const ServiceName, ServedByOrganisation> &service : served_) {
        std::erase_if(service.second, [&known](const std::pair<const OrganisationName, Served> &entry) {
            return !known.contains(entry.first);
        });
        for (std::pair<const OrganisationName, Served> &entry : service.second)
            entry.second.weight = weight(entry.first);
    }
}

FairShares::Served &FairShares::at(const RequestFlow &flow)
{
    const auto [entry, isNew] = served_[flow.service].try_emplace(flow.organisation);
    if (isNew)
        entry->second.weight = weight(flow.organisation);
    return entry->second;
}

const FairShares::Served *FairShares::find(const RequestFlow &flow) const
{
    const auto service = served_.find(flow.service);
    if (service == served_.end())
        return nullptr;
    const auto found = service->second.find(flow.organisation);
    return found == service->second.end() ? nullptr : &found->second;
}

double FairShares::remaining(const Served &served, TimeMs now)
{
    return std::exp(-static_cast<double>((now - served.at).count) / DecayMs);
}

void FairShares::recordServed(const RequestFlow &flow, double work, TimeMs now)
{
    Served &served = at(flow);
    const double factor = remaining(served, now);
    served.work = factor * served.work + work;
    served.requests = factor * served.requests + 1;
    served.at = now;
}

void FairShares::recordWaiting(const RequestFlow &flow, TimeMs now)
{
    at(flow).waitedAt = now;
}

double FairShares::served(const RequestFlow &flow, TimeMs now) const
{
    const Served *found = find(flow);
    return found ? found->work * remaining(*found, now) / found->weight : 0;
}

double FairShares::weight(const OrganisationName &organisation) const
{
    const auto found = weights_.find(organisation);
    return found == weights_.end() ? 1 : found->second;
}

bool FairShares::isBeyondShare(const RequestFlow &flow, TimeMs now) const
{
    const Served *own = find(flow);
    if (!own || own->requests * remaining(*own, now) < MinRequests)
        return false;
    double others = 0;
    size_t count = 0;
    bool othersWaited = false;
    for (const std::pair<const OrganisationName, Served> &entry : served_.at(flow.service)) {
        const Served &other = entry.second;
        if (&other == own)
            continue;
        othersWaited = othersWaited || (other.waitedAt && isRecent(*other.waitedAt, now));
        if (!isRecent(other.at, now))
            continue;
        others += other.work * remaining(other, now) / other.weight;
        ++count;
    }
    return othersWaited && count > 0
        && served(flow, now) > BeyondShareFactor * others / static_cast<double>(count);
}

} // namespace cranberry
