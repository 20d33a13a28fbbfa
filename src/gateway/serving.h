#pragma once

#include "common/types.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cranberry {

/// What may be repeated of a request, and how its answer comes.
enum class RouteKind : uint8_t {
    Idempotent,
    NonIdempotent,
    Streaming ///< A series of events; repeated only where the route is resumable.
};

/// A service that takes a share of a route's requests.
struct RouteTarget {
    ServiceName service;
    uint32_t weight = 1; ///< Relative to the route's other targets.
};

/// Which requests go where, and what their callers expect.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<RouteTarget> targets;
    DurationMs timeout{10000}; ///< A caller has its final answer by then.
    DurationMs latencyTarget{1000}; ///< Up to the answer, or to a stream's first event.
    DurationMs gapTarget{0}; ///< Longest pause between events that callers accept; 0: none stated.
    uint32_t priority = 0; ///< 0 is most urgent.
    uint32_t attempts = 1; ///< Endpoints that one request may be sent to.
    bool anonymous = false; ///< Needs no key.
    bool resumable = false; ///< A broken stream may go on at another endpoint.
};

/// What the operators state of a service's model engines.
struct EngineFigures {
    uint32_t slots = 64; ///< Requests in one batch.
    uint64_t cacheTokens = 0; ///< Memory for running requests and cached parts, in tokens.
    uint32_t tokensPerEvent = 1;
    bool movesRuns = false; ///< The memory of a run can be moved to another engine, where it goes on.
};

/// Bounds of the orders for a service's engines in one failure domain.
struct ScalingBounds {
    uint32_t least = 0;
    uint32_t most = 0;
    DurationMs bootDelay{5000};
    double reclaimablePrice = 1; ///< Relative to an on-demand engine; 1: none are offered.
    std::map<FailureDomainName, double> prices;
};

struct ServedService {
    ServiceName name;
    uint32_t maxConnections = 100; ///< Of one endpoint, from all daemons together.
    std::optional<EngineFigures> engine;
    std::optional<ScalingBounds> scaling;
};

/// An organisation as the gateway knows it: its keys and its limit.
struct ServedOrganisation {
    OrganisationName name;
    std::vector<std::string> keys;
    std::optional<uint32_t> priority; ///< Goes before the route's.
    bool countsTokens = false; ///< The limit is in tokens, else in requests.
    uint64_t unstatedTokens = 1; ///< Weight of a request that states no tokens.
    double ratePerSecond = 0; ///< 0: no limit.
    double burst = 0;
};

/// What a caller may send, and how slowly.
struct CallerLimits {
    uint32_t maxHeaderBytes = 16U << 10;
    uint32_t maxBodyBytes = 4U << 20;
    DurationMs headerTimeout{3000};
    DurationMs idleTimeout{15000};
};

/// One accepted version of the operators' configuration, whole and immutable.
struct ServingConfiguration {
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServedService> services;
    std::vector<ServedOrganisation> organisations; ///< Empty: no request needs a key.
    CallerLimits limits;

    /// Builds the look-up tables; call it once after filling the rest.
    void index();

    /// The route with the longest prefix that begins `path`, among those of `host`; nullptr if there is none.
    const Route *findRoute(const std::string &host, const std::string &path) const;
    const ServedOrganisation *findByKey(const std::string &key) const;
    const ServedService *findService(const ServiceName &name) const;
    /// Of the routes that lead to the service; a day if there are none.
    DurationMs shortestTarget(const ServiceName &service) const;

private:
    std::unordered_map<std::string, std::vector<size_t>> routesOfHost_; ///< Longest prefix first.
    std::unordered_map<std::string, size_t> organisationOfKey_;
    std::map<ServiceName, size_t> serviceByName_;
    std::map<ServiceName, DurationMs> shortestTargets_;
};

using ServingConfigurationPtr = std::shared_ptr<const ServingConfiguration>;

} // namespace cranberry
