#pragma once

#include "common/random.h"
#include "daemon/configuration.h"
#include "daemon/membership.h"

#include <map>
#include <memory>

namespace cranberry {

/// This daemon's local state of one endpoint.
struct EndpointState {
    Endpoint endpoint;
    ServiceName service;
    uint32_t running = 0; ///< Attempts of this daemon in progress.
    uint64_t outstandingTokens = 0; ///< Predicted tokens of the attempts in progress.
    TimeMs avoidUntil; ///< Not chosen before this time; the pause doubles with each consecutive failure.
    uint32_t failures = 0;
};

/// Records which endpoint last computed a prompt prefix. A hash table of fixed size without chaining: a
/// collision overwrites the entry, and a wrong or stale entry only costs recomputed tokens.
class PrefixIndex
{
public:
    PrefixIndex() : slots_(SlotCount) { }

    /// Returns the hash of the prompt's prefix at the end of each complete block, shortest first.
    static std::vector<uint64_t> blockHashes(const std::string &prompt);

    void store(const std::vector<uint64_t> &hashes, uint32_t endpoint);
    /// Returns how many leading blocks `endpoint` is expected to have cached.
    size_t overlap(const std::vector<uint64_t> &hashes, uint32_t endpoint) const;
    /// Returns the endpoint with the longest known prefix, or nullopt if no prefix is known.
    std::optional<uint32_t> longest(const std::vector<uint64_t> &hashes) const;

    static constexpr size_t BlockBytes = 256;

private:
    struct Slot {
        uint64_t hash = 0;
        uint32_t endpoint = 0;
    };
    static constexpr size_t SlotCount = 1U << 15;
    std::vector<Slot> slots_;
};

struct RoutingQuery {
    const Service &service;
    const RoutingWeights &weights;
    std::vector<uint64_t> prefix; ///< PrefixIndex::blockHashes of the prompt.
    uint64_t workTokens = 0;
    EndpointName
        avoidEndpoint; ///< The endpoint of the last failed attempt; chosen only if it is the last one.
};

/// The endpoints of the active configuration, and endpoint selection.
class EndpointTable
{
public:
    void configure(const Configuration &configuration);

    /// Selects the endpoint for a request. Returns nullopt if no usable endpoint has a free slot.
    std::optional<uint32_t> choose(const RoutingQuery &query, const MarkTable &marks, TimeMs now,
                                   Random &random);

    EndpointState &at(uint32_t index) { return endpoints_[index]; }
    std::optional<uint32_t> find(const EndpointName &name) const;
    void started(uint32_t index, const RoutingQuery &query);
    void finished(const EndpointName &name, uint64_t workTokens);
    void succeeded(const EndpointName &name);
    void failed(const EndpointName &name, TimeMs now);

    /// Returns the total slots of the service, free or not, on endpoints that are not leaving.
    uint32_t usableSlots(const ServiceName &service, const MarkTable &marks) const;
    uint32_t running(const ServiceName &service) const;
    const std::vector<EndpointState> &all() const { return endpoints_; }

private:
    /// Per-service index, so that endpoint selection does not iterate over the endpoints of all services.
    struct ServiceIndex {
        std::vector<uint32_t> endpoints;
        uint32_t running = 0;
        mutable uint32_t usableSlots = 0;
        mutable size_t marksSeen = ~size_t{0}; ///< Mark count when usableSlots was computed. Marks are never
                                               ///< removed, so an equal count means no change.
    };

    /// Returns whether the service has an endpoint that is neither to be avoided nor leaving, free or not.
    bool hasAlternative(const RoutingQuery &query, const MarkTable &marks) const;
    bool isUsable(uint32_t index, const RoutingQuery &query, const MarkTable &marks, TimeMs now) const;
    std::vector<uint32_t> candidates(const RoutingQuery &query, const MarkTable &marks, TimeMs now,
                                     Random &random) const;
    double cost(uint32_t index, const RoutingQuery &query) const;

    std::vector<EndpointState> endpoints_;
    std::map<EndpointName, uint32_t> byName_;
    std::map<ServiceName, ServiceIndex> services_;
    PrefixIndex prefixes_;
};

/// Predicts the token count of a text without a tokenizer, at four bytes per token.
uint64_t predictedTokens(const std::string &text);

} // namespace cranberry
