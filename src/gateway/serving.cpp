#include "gateway/serving.h"

#include <algorithm>

namespace cranberry {

bool isRetryable(const Route &route)
{
    return route.kind == RouteKind::Idempotent || (route.kind == RouteKind::Streaming && route.resumable);
}

void ServingConfiguration::index()
{
    for (size_t i = 0; i < routes.size(); ++i)
        routesOfHost_[routes[i].host].push_back(i);
    for (std::pair<const std::string, std::vector<size_t>> &entry : routesOfHost_) {
        std::stable_sort(entry.second.begin(), entry.second.end(), [this](size_t a, size_t b) {
            return routes[a].prefix.size() > routes[b].prefix.size();
        });
    }
    for (size_t i = 0; i < organisations.size(); ++i) {
        for (const std::string &key : organisations[i].keys)
            organisationOfKey_[key] = i;
    }
    for (size_t i = 0; i < services.size(); ++i)
        serviceByName_[services[i].name] = i;
    for (const Route &route : routes) {
        for (const RouteTarget &target : route.targets) {
            DurationMs &shortest
                = shortestTargets_.try_emplace(target.service, route.latencyTarget).first->second;
            shortest = std::min(shortest, route.latencyTarget);
            DurationMs &longest = longestTimeouts_[target.service];
            longest = std::max(longest, route.timeout);
            if (route.gapTarget.count == 0)
                continue;
            DurationMs &gap = shortestGapTargets_.try_emplace(target.service, route.gapTarget).first->second;
            gap = std::min(gap, route.gapTarget);
        }
    }
}

DurationMs ServingConfiguration::shortestTarget(const ServiceName &service) const
{
    constexpr DurationMs Day{86'400'000};
    const auto found = shortestTargets_.find(service);
    return found == shortestTargets_.end() ? Day : found->second;
}

DurationMs ServingConfiguration::shortestGapTarget(const ServiceName &service) const
{
    const auto found = shortestGapTargets_.find(service);
    return found == shortestGapTargets_.end() ? DurationMs{0} : found->second;
}

DurationMs ServingConfiguration::longestTimeout(const ServiceName &service) const
{
    const auto found = longestTimeouts_.find(service);
    return found == longestTimeouts_.end() ? DurationMs{0} : found->second;
}

const Route *ServingConfiguration::findRoute(const std::string &host, const std::string &path) const
{
    const auto found = routesOfHost_.find(host);
    if (found == routesOfHost_.end())
        return nullptr;
    for (size_t i : found->second) {
        if (path.starts_with(routes[i].prefix))
            return &routes[i];
    }
    return nullptr;
}

const ServedOrganisation *ServingConfiguration::findByKey(const std::string &key) const
{
    const auto found = organisationOfKey_.find(key);
    return found == organisationOfKey_.end() ? nullptr : &organisations[found->second];
}

const ServedOrganisation *ServingConfiguration::findOrganisation(const OrganisationName &name) const
{
    const auto found
        = std::find_if(organisations.begin(), organisations.end(),
                       [&name](const ServedOrganisation &organisation) { return organisation.name == name; });
    return found == organisations.end() ? nullptr : &*found;
}

const ServedService *ServingConfiguration::findService(const ServiceName &name) const
{
    const auto found = serviceByName_.find(name);
    return found == serviceByName_.end() ? nullptr : &services[found->second];
}

} // namespace cranberry
