#pragma once

#include "common/random.h"
#include "daemon/configuration.h"
#include "daemon/membership.h"

#include <map>
#include <memory>

namespace cranberry {

/// What this daemon knows of one endpoint.
struct EndpointState {
    Endpoint endpoint;
    ServiceName service;
    uint32_t running = 0; ///< Own attempts in progress.
    uint64_t outstandingTokens = 0; ///< Their predicted work.
    TimeMs avoidUntil; ///< After a failure: a pause that grows with each further one.
    uint32_t failures = 0;
};

/// Remembers which endpoint last computed a prompt prefix. A fixed array without chains: a collision
/// overwrites, and a wrong or stale entry costs recomputed tokens only.
class PrefixIndex
{
public:
    PrefixIndex() : slots_(SlotCount) { }

    /// Hashes of the prompt's prefixes at each block's end, shortest first.
    static std::vector<uint64_t> blockHashes(const std::string &prompt);

    void store(const std::vector<uint64_t> &hashes, uint32_t endpoint);
    /// How many leading blocks `endpoint` is thought to hold.
    size_t overlap(const std::vector<uint64_t> &hashes, uint32_t endpoint) const;
    /// The endpoint with the longest known prefix, or nothing.
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

struct RoutingQuestion {
    const Service &service;
    const RoutingWeights &weights;
    std::vector<uint64_t> prefix; ///< PrefixIndex::blockHashes of the prompt.
    uint64_t workTokens = 0;
    EndpointName avoid; ///< The endpoint that just failed.
};

/// The endpoints of the configuration in force, and the choice among them.
class EndpointTable
{
public:
    void configure(const Configuration &configuration);

    /// The endpoint to send to, or nothing if none has a free slot.
    std::optional<uint32_t> choose(const RoutingQuestion &question, const MarkTable &marks, TimeMs now,
                                   Random &random);

    EndpointState &at(uint32_t index) { return endpoints_[index]; }
    std::optional<uint32_t> find(const EndpointName &name) const;
    void started(uint32_t index, const RoutingQuestion &question);
    void finished(const EndpointName &name, uint64_t workTokens);
    void succeeded(const EndpointName &name);
    void failed(const EndpointName &name, TimeMs now);

    /// Slots of the service on endpoints that may take work.
    uint32_t usableSlots(const ServiceName &service, const MarkTable &marks) const;
    uint32_t running(const ServiceName &service) const;
    const std::vector<EndpointState> &all() const { return endpoints_; }

private:
    /// What is kept for each service, so that no decision walks through all endpoints.
    struct ServiceIndex {
        std::vector<uint32_t> endpoints;
        uint32_t running = 0;
        mutable uint32_t usableSlots = 0;
        mutable size_t marksSeen = ~size_t{0}; ///< Marks only grow: their count tells whether any is new.
    };

    bool isUsable(uint32_t index, const RoutingQuestion &question, const MarkTable &marks, TimeMs now) const;
    std::vector<uint32_t> candidates(const RoutingQuestion &question, const MarkTable &marks, TimeMs now,
                                     Random &random) const;
    double cost(uint32_t index, const RoutingQuestion &question) const;

    std::vector<EndpointState> endpoints_;
    std::map<EndpointName, uint32_t> byName_;
    std::map<ServiceName, ServiceIndex> services_;
    PrefixIndex prefixes_;
};

/// Tokens of a text, as predicted without a tokenizer: four bytes each.
uint64_t predictedTokens(const std::string &text);

} // namespace cranberry
