#pragma once

#include "common/types.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cranberry {

/// Whether a request may be retried, and the form of its response.
enum class RouteKind : uint8_t {
    Idempotent,
    NonIdempotent,
    Streaming ///< Event stream; retried only if the route is resumable.
};

/// A service that takes a share of a route's requests.
struct RouteTarget {
    ServiceName service;
    uint32_t weight = 1; ///< Relative to the route's other targets.
};

/// Maps requests to services and states what their callers expect.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< Path prefix; begins and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<RouteTarget> targets;
    DurationMs timeout{10000}; ///< Maximum time until the caller has its final response.
    DurationMs latencyTarget{1000}; ///< Time until the response, or until the first event of a stream.
    DurationMs gapTarget{0}; ///< Maximum pause between events that callers accept; 0: not stated.
    uint32_t priority = 0; ///< 0 is most urgent.
    uint32_t attempts = 1; ///< Maximum number of endpoints that may run one request.
    bool anonymous = false; ///< Requests need no key.
    bool resumable = false; ///< An interrupted stream may be resumed at another endpoint.
};

/// Returns whether a request that may have run may be sent again.
bool isRetryable(const Route &route);

/// Properties of a service's engines, as configured by the operators.
struct EngineFigures {
    uint32_t slots = 64; ///< Maximum number of requests in one batch.
    uint64_t cacheTokens = 0; ///< KV cache size in tokens, for running requests and cached prompt parts.
    uint32_t tokensPerEvent = 1;
    bool migratesGenerations = false; ///< Supports migration of a generation's KV cache to another engine.
    // Transfers of cached prompt parts between engines; none are requested unless both are set.
    double kvBytesPerToken = 0;
    double linkMbps = 0; ///< Megabits per second of an engine's link.
};

/// Bounds for scaling a service's engines in one failure domain.
struct ScalingBounds {
    uint32_t min = 0;
    uint32_t max = 0;
    DurationMs bootDelay{5000};
    double reclaimablePrice = 1; ///< Price relative to an on-demand engine; 1: none are offered.
    std::map<FailureDomainName, double> prices;
};

struct ServedService {
    ServiceName name;
    uint32_t maxConnections = 100; ///< Per endpoint, from all daemons together.
    std::optional<EngineFigures> engine;
    std::optional<ScalingBounds> scaling;
};

/// An organisation's keys and limit.
struct ServedOrganisation {
    OrganisationName name;
    std::vector<std::string> keys;
    std::optional<uint32_t> priority; ///< Overrides the route's priority.
    bool countsTokens = false; ///< The unit of the limit is tokens, else requests.
    uint64_t unstatedTokens = 1; ///< Units of a request that does not state its tokens.
    double ratePerSecond = 0; ///< 0: no limit.
    double burst = 0;
};

/// Size limits and timeouts for callers' requests.
struct CallerLimits {
    uint32_t maxHeaderBytes = 16U << 10;
    uint32_t maxBodyBytes = 4U << 20;
    DurationMs headerTimeout{3000};
    DurationMs idleTimeout{15000};
};

/// One accepted version of the operators' configuration; complete and immutable.
struct ServingConfiguration {
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServedService> services;
    std::vector<ServedOrganisation> organisations;
    /// The configuration names who holds keys, perhaps nobody. Only one without that field asks for no keys.
    bool namesOrganisations = false;
    CallerLimits limits;

    bool requiresKeys() const { return namesOrganisations || !organisations.empty(); }
    /// Builds the lookup tables; to be called once after all fields are set.
    void index();

    /// Returns the route of `host` with the longest prefix of `path`, or nullptr if there is none.
    const Route *findRoute(const std::string &host, const std::string &path) const;
    const ServedOrganisation *findByKey(const std::string &key) const;
    const ServedOrganisation *findOrganisation(const OrganisationName &name) const;
    const ServedService *findService(const ServiceName &name) const;
    /// Returns the shortest latency target of the routes to the service, or one day if there are none.
    DurationMs shortestTarget(const ServiceName &service) const;
    /// Returns the shortest gap target of the routes to the service, or 0 if none states one.
    DurationMs shortestGapTarget(const ServiceName &service) const;
    /// Returns the longest timeout of the routes to the service, or 0 if there are none.
    DurationMs longestTimeout(const ServiceName &service) const;

private:
    std::unordered_map<std::string, std::vector<size_t>>
        routesOfHost_; ///< Sorted by prefix length, longest first.
    std::unordered_map<std::string, size_t> organisationOfKey_;
    std::map<ServiceName, size_t> serviceByName_;
    std::map<ServiceName, DurationMs> shortestTargets_;
    std::map<ServiceName, DurationMs> longestTimeouts_;
    std::map<ServiceName, DurationMs> shortestGapTargets_; ///< Only of services with a gap target.
};

using ServingConfigurationPtr = std::shared_ptr<const ServingConfiguration>;

} // namespace cranberry
