#pragma once

#include "gateway/gatewayevents.h"

#include <map>
#include <set>

namespace cranberry {

struct FleetEndpoint;

/// A transfer of cached prompt parts that a request asks its engine for.
struct KvFetch {
    EndpointIncarnation source;
    uint64_t tokens = 0; ///< Tokens that the engine is expected to fetch instead of prefilling them.
    double ms = 0; ///< Expected duration, including the wait for earlier transfers of this daemon.
};

/// Transfers of this daemon from or to one engine. An engine's link carries one transfer at a time.
struct FetchLink {
    uint32_t open = 0; ///< Transfers of requests that have not had their first event.
    TimeMs busyUntil; ///< Expected end of the transfers that were started.
    TimeMs bookedUntil; ///< Until then the transfers use this daemon's share of the link's time.

    /// Returns whether this daemon may start another transfer; `daemons` of them share the link.
    bool maySend(size_t daemons, TimeMs now) const;
    void start(double ms, size_t daemons, TimeMs now);
    void finish() { open -= open > 0 ? 1 : 0; }
};

/// When this daemon last sent requests with each shared prefix.
class PartUses
{
public:
    void record(const std::string &key, TimeMs now);
    /// Returns whether the prefix was sent at or after `since` and engines probably still have it cached.
    bool wasUsedSince(const std::string &key, TimeMs since, TimeMs now) const;

private:
    std::map<std::string, TimeMs> lastUses_;
};

/// Returns whether the service's engines can fetch cached parts from one another.
bool canFetchParts(const EngineFigures &engine);

/// Expected duration of a transfer on idle links.
double transferMs(const EngineFigures &engine, uint64_t tokens, bool sameDomain);

/// Decides for one request whether the engine that gets it shall fetch its shared parts, and from which one.
///
/// Likely holders of the parts are the engines that this daemon sent them to, and their previous home: the
/// first in rendezvous order of the engines that were there a short time ago, by the weights that they had
/// then, including those that leave but have not exited yet. It counts for a new home, and for other targets
/// if this daemon has sent the parts since the previous home was listed. Call `consider` for each endpoint of
/// the service and `considerRemoved` for those removed from the list, then `plan` for each possible target.
class PartFetch
{
public:
    /// Without an engine and shared parts, or if its engines can't fetch, no plan is made. The references
    /// have to outlive this object.
    PartFetch(const EngineFigures *engine, const CallerRequest &request, const PartUses &uses, size_t daemons,
              TimeMs now);
    /// Returns whether any plan is possible.
    bool isPossible() const { return engine_ != nullptr; }
    void consider(const FleetEndpoint &endpoint, bool isSilent,
                  const std::set<EndpointIncarnation> &excluded);
    void considerRemoved(const EndpointId &id, TimeMs removedAt);
    /// Returns the transfer if it is faster than prefill at `tokensPerMs`. `cached`: tokens that are known to
    /// be cached at the target. The preferred endpoint is assumed to have all shared parts cached unless it
    /// became their home recently.
    std::optional<KvFetch> plan(const FleetEndpoint &target, bool isPreferred, uint64_t cached,
                                double tokensPerMs) const;

private:
    struct Source {
        const FleetEndpoint *endpoint = nullptr;
        uint64_t tokens = 0; ///< Length of the prompt's prefix that it probably has cached.
        uint64_t rank = 0; ///< Differs between requests, so that daemons don't all use the same of several.
    };
    bool canFetch(const Source &source, const FleetEndpoint &target, uint64_t cached) const;
    double durationMs(const Source &source, const FleetEndpoint &target, uint64_t tokens) const;
    bool isUsable(const FleetEndpoint &endpoint) const;
    double weightBefore(const FleetEndpoint &endpoint) const;
    void setPreviousHome(double rank, const FleetEndpoint *usable, bool maySend);

    const EngineFigures *engine_ = nullptr;
    const CallerRequest &request_;
    const PartUses &uses_;
    size_t daemons_ = 1;
    TimeMs now_;
    std::string key_;
    uint64_t sharedTokens_ = 0;
    uint64_t maxTokens_ = 0; ///< At least one token of a prompt is prefilled.
    std::vector<Source> sources_;
    const FleetEndpoint *previousHome_ = nullptr; ///< nullptr: it can't deliver any more.
    double previousRank_ = -1; ///< Of the previous home, in weighted rendezvous order.
    bool previousHomeMaySend_ = false;
    bool wasInUse_ = false; ///< This daemon sent the parts since the previous home was listed.
};

} // namespace cranberry
