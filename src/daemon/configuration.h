#pragma once

#include "common/fields.h"
#include "common/types.h"

#include <memory>
#include <vector>

namespace cranberry {

/// A back end that answers requests of one service.
struct Endpoint {
    EndpointName name;
    InstanceName instance;
    FailureDomainName failureDomain;
    Address address;
    uint32_t slots = 8; ///< Requests it serves at once.
    bool checksFencing = false; ///< Refuses orders with an old fencing token.
};

struct Service {
    ServiceName name;
    ServiceKind kind = ServiceKind::Model;
    bool idempotent = true; ///< For calls that carry no mark of their own.
    DurationMs progressTimeout{5000};
    DurationMs firstTokenTarget{380};
    DurationMs betweenTokensTarget{78};
    double prefillTokensPerSecond = 8000; ///< Of one endpoint, until measured.
    std::vector<ServiceName> dependsOn;
    std::vector<Endpoint> endpoints;
};

struct Organisation {
    OrganisationName name;
    double tokensPerSecond = 1e9; ///< Limit in predicted work, over all daemons.
};

/// What one unit of each cost weighs when an endpoint is chosen.
struct RoutingWeights {
    double recomputedTokens = 1.0;
    double latency = 1.0;
};

/// The operators' text: the agreed state of the building.
struct Configuration {
    std::vector<FailureDomainName> failureDomains;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    RoutingWeights weights;

    const Service *findService(const ServiceName &name) const;
    const Organisation *findOrganisation(const OrganisationName &name) const;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Checks and converts the whole text; on error nothing is in force and FieldError names the field.
Result<Configuration> parseConfiguration(const std::string &text);

/// One line for each field that differs, "path: old -> new", in the order of the new text.
std::vector<std::string> diffConfigurations(const std::string &oldText, const std::string &newText);

} // namespace cranberry
