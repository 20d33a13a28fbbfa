#pragma once

#include "common/fields.h"
#include "common/types.h"

#include <memory>
#include <vector>

namespace cranberry {

/// A back end that serves requests of one service.
struct Endpoint {
    EndpointName name;
    InstanceName instance;
    FailureDomainName failureDomain;
    Address address;
    uint32_t slots = 8; ///< Maximum number of concurrent requests.
    bool checksFencing = false; ///< Rejects requests that carry an outdated fencing token.
};

struct Service {
    ServiceName name;
    ServiceKind kind = ServiceKind::Model;
    bool idempotent = true; ///< Default for requests that don't state whether they are idempotent.
    DurationMs progressTimeout{5000};
    DurationMs firstTokenTarget{380};
    DurationMs betweenTokensTarget{78};
    double prefillTokensPerSecond = 8000; ///< Initial estimate for one endpoint, used until it is measured.
    std::vector<ServiceName> dependsOn;
    std::vector<Endpoint> endpoints;
};

struct Organisation {
    OrganisationName name;
    double tokensPerSecond = 1e9; ///< Limit on the predicted tokens per second, over all daemons.
};

/// Weight of each cost term in endpoint selection.
struct RoutingWeights {
    double recomputedTokens = 1.0;
    double latency = 1.0;
};

/// The parsed cluster configuration that operators write and all daemons share.
struct Configuration {
    std::vector<FailureDomainName> failureDomains;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    RoutingWeights weights;

    const Service *findService(const ServiceName &name) const;
    const Organisation *findOrganisation(const OrganisationName &name) const;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Parses and validates the complete text. Returns a FieldError that names the field if any part is invalid.
Result<Configuration> parseConfiguration(const std::string &text);

/// Returns one line "path: old -> new" for each field that differs: fields of the new text in its order, then
/// the removed fields by path.
std::vector<std::string> diffConfigurations(const std::string &oldText, const std::string &newText);

} // namespace cranberry
