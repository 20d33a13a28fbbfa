#pragma once

#include "gateway/serving.h"

#include <optional>

namespace cranberry {

/// An organisation's requests for one service. The organisation is empty for requests without a key.
struct RequestFlow {
    ServiceName service;
    OrganisationName organisation;

    bool operator==(const RequestFlow &) const = default;
};

struct NameHash {
    template <typename Tag>
    size_t operator()(const Name<Tag> &name) const
    {
        return std::hash<std::string>()(name.value);
    }
};

/// Recently served work of each organisation in relation to its weight, by service.
///
/// Work is in tokens for services with engines and in requests for the others. Only this daemon's own sends
/// are counted: callers are spread over the serving daemons, so each daemon sees about the same mix.
class FairShares
{
public:
    /// Derives the weights from the organisations' limits and drops the state of removed organisations.
    /// Weights are relative to the mean rate of the limits in the same unit; without a limit the weight is 1.
    void configure(const ServingConfiguration &configuration);
    void recordServed(const RequestFlow &flow, double work, TimeMs now);
    /// Records that a request had to wait for capacity.
    void recordWaiting(const RequestFlow &flow, TimeMs now);
    /// Returns the recently served work, divided by the weight.
    double served(const RequestFlow &flow, TimeMs now) const;
    double weight(const OrganisationName &organisation) const;
    /// Returns whether the organisation was recently served far more by weight than the others that use the
    /// service, while requests of others had to wait.
    bool isBeyondShare(const RequestFlow &flow, TimeMs now) const;

private:
    struct Served {
        double weight = 1;
        double work = 0; ///< At `at`; decays from then on, as the number of requests does.
        double requests = 0;
        TimeMs at;
        std::optional<TimeMs> waitedAt; ///< When a request last had to wait.
    };
    using ServedByOrganisation = std::unordered_map<OrganisationName, Served, NameHash>;

    static double remaining(const Served &served, TimeMs now); ///< Factor of the decay.
    Served &at(const RequestFlow &flow);
    const Served *find(const RequestFlow &flow) const;

    std::unordered_map<OrganisationName, double, NameHash> weights_; ///< Of organisations with a limit.
    std::map<ServiceName, ServedByOrganisation> served_;
};

} // namespace cranberry
