#pragma once

#include "common/random.h"
#include "gateway/endpoints/brittleness.h"
#include "gateway/endpoints/endpointlimiter.h"
#include "gateway/endpoints/endpointrest.h"
#include "gateway/endpoints/enginespeeds.h"
#include "gateway/endpoints/partfetch.h"

#include <map>
#include <set>

namespace cranberry {

/// State of one endpoint in its current incarnation, as far as this daemon knows.
struct FleetEndpoint {
    EndpointEntry entry; ///< The newest readable entry.
    /// False: its newest entry can't be read. It gets no new requests; running ones continue.
    bool readable = true;
    TimeMs restartedAt; ///< When this incarnation was learned of; not set for the first known one.
    TimeMs knownSince; ///< When this incarnation was first listed; zero if it was in the first list.
    TimeMs listedAt; ///< Lower bound of the time at which the list last contained it.
    bool listed = true; ///< Contained in the newest list.
    bool gone = false; ///< Missing from the list for longer than the grace time.
    std::optional<TimeMs> leavesAt; ///< Expected exit time of a leaving endpoint.
    bool addressReused = false; ///< Another endpoint answered at its address.

    uint32_t running = 0; ///< Open attempts of this daemon.
    uint64_t prefillTokens = 0; ///< Prefill tokens of this daemon's attempts that have not had a first event.
    uint32_t peersRunning = 0;
    double peersPrefillTokens = 0; ///< Moving average of the prefill tokens that peers reported.

    /// Context that this daemon's attempts hold in the KV cache, without shared prompt parts.
    uint64_t contextTokens = 0;
    uint64_t peersContextTokens = 0;
    /// Shared prompt parts of this daemon's attempts, held once for all of them.
    uint64_t sharedContextTokens = 0;
    std::map<std::string, uint32_t> sharedInUse; ///< Number of attempts by `sharedKey`.

    uint32_t streaming = 0; ///< Attempts of this daemon that have had their first event.
    TimeMs probedAt;
    /// Time of the last byte on any of this daemon's streams, or of the first event when the first stream
    /// started.
    TimeMs lastByteAt;

    /// Time that the endpoint needs for its work, relative to the usual time of its service: 1 is usual, 2
    /// half as fast. Of this incarnation only.
    double slowness = 1;
    double settledSlowness = 1; ///< The same over a longer time, which single queues or stalls hardly change.
    /// Weight as preferred endpoint of shared parts. It follows the slowness in steps, so that noise moves no
    /// parts.
    double homeWeight = 1;
    double previousHomeWeight = 1; ///< Before its last change.
    TimeMs homeWeightChangedAt; ///< Zero: never.
    bool isEjected = false; ///< Far slower than its peers.
    TimeMs ejectedSendAt; ///< An ejected engine gets this daemon's next request at this time.
    double failureShare = 0; ///< Moving average over recent attempts, 0 to 1.
    uint32_t failuresInRow = 0;
    TimeMs avoidUntil;
    TimeMs crashedUntil; ///< Its process exited; the list drops its entry by this time.

    EndpointLimiter limiter;
    Brittleness brittleness;
    EndpointRest rest;
    /// Prompt parts prefilled here, as prefix chains by the id of the last part, with the time of last use.
    std::map<std::string, TimeMs> cachedParts;
    FetchLink link;

    EndpointIncarnation incarnation() const { return {entry.id, entry.start}; }
};

/// The properties of a request that endpoint selection depends on.
struct PlacementQuery {
    ServiceName service;
    const EngineFigures *engine = nullptr; ///< nullptr for a plain service.
    const CallerRequest *request = nullptr;
    std::set<EndpointId> tried; ///< Endpoints that are not tried again.
    FailureDomainName ownDomain;
    std::set<SoftwareVersion> excludedVersions; ///< Versions whose endpoints are excluded.
    std::optional<SoftwareVersion> onlyVersion; ///< If set, only endpoints of this version are considered.
    std::set<EndpointIncarnation> triedSources; ///< Engines that no parts are fetched from again.
    std::optional<std::set<EndpointId>> restrictedTo; ///< If set, only these endpoints are considered.
    /// The endpoints are new: a shared part needs prefill wherever this daemon has not sent it, also at its
    /// preferred endpoint.
    bool isCold = false;
    /// Engines with an expected wait of at least this are not chosen until their queue is shorter; 0 means no
    /// bound.
    double maxWaitMs = 0;
    /// Prefill that an engine with running streams may have queued, in ms at its speed; 0 means no bound.
    /// Beyond it, the request is sent only if holding it would delay it more than all the streams together.
    double maxPauseMs = 0;
    double usualTokensPerMs = 50; ///< Prefill speed of the service's usual engine, for `maxPauseMs`.
    bool canWait = false; ///< The request is new and may be sent later.
    double waitedMs = 0; ///< Since its arrival.
};

struct PlacementChoice {
    EndpointId endpoint;
    uint64_t prefillTokens = 0; ///< Tokens that the endpoint is expected to prefill for this request.
    double waitMs = 0; ///< Expected time until prefill starts, without the fetch.
    double queuedTokens = 0; ///< Prefill tokens that are known to be queued there.
    /// Cached parts that the endpoint fetches before its prefill.
    std::optional<KvFetch> fetch = std::nullopt;
    bool isReserved = false; ///< Already counted against the endpoint's limit.
};

/// Why no endpoint was chosen.
enum class PlacementProblem : uint8_t {
    NoEndpoint,
    AllBusy,
    AllResting, ///< All that would be used asked this daemon for a rest.
    RestTooLong, ///< The same, and the rest ends after the caller's deadline.
    Unreached ///< There are endpoints, but neither this daemon nor another one reaches them.
};

struct PlacementResult {
    std::optional<PlacementChoice> choice;
    PlacementProblem problem = PlacementProblem::NoEndpoint;
    TimeMs restEndsAt; ///< With AllResting: when the first of them may be used again.
    /// Endpoint that would have been chosen if its rate limit allowed it.
    std::optional<EndpointIncarnation> limitedEndpoint;
};

/// Combined rate limit of a service all of whose endpoints state limits.
struct ServiceLimit {
    RequestRate rate;
    uint32_t waiting = 0; ///< Requests waiting at all daemons, as far as is known.
};

/// Holds the endpoints of all services and their load, and chooses endpoints for requests.
class EndpointFleet
{
public:
    /// Sets the time for which leaving endpoints continue to serve at least, if they state no other.
    void setDrainTime(DurationMs time) { drainTime_ = time; }
    /// Sets whether the store is well, so that the list shows what it has.
    void setStoreWell(bool well) { isStoreWell_ = well; }
    /// Applies a complete list. Entries that are missing after an interruption of the list get a grace time.
    void applyList(const EndpointsRead &read, TimeMs now);
    /// Records that the list is still the one that was last applied.
    void confirmList(const EndpointsRead &read, TimeMs now);
    void tick(TimeMs now);

    /// Sets the versions of each service that currently get none of its requests; their endpoints don't count
    /// towards its capacity.
    void setInactiveVersions(std::map<ServiceName, std::set<SoftwareVersion>> versions)
    {
        inactiveVersions_ = std::move(versions);
    }
    bool isVersionActive(const FleetEndpoint &endpoint) const;
    PlacementResult choose(const PlacementQuery &query, TimeMs now) const;

    void attemptStarted(const PlacementChoice &choice, const PlacementQuery &query, TimeMs now);
    // Outcomes of an attempt, for the endpoint incarnation that it was sent to. Those for an earlier
    // incarnation are ignored.
    void firstByte(const EndpointIncarnation &incarnation, uint64_t prefillTokens);
    /// The transfer for a request of this endpoint is complete, has failed or is abandoned.
    void fetchFinished(const EndpointIncarnation &incarnation, const KvFetch &fetch);
    void streamStarted(const EndpointIncarnation &incarnation);
    void bytesReceived(const EndpointIncarnation &incarnation, TimeMs now);
    void attemptFinished(const EndpointIncarnation &incarnation, bool wasStreaming);
    /// Records output of a stream, which the engine keeps in its context.
    void contextGrew(const EndpointIncarnation &incarnation, uint64_t tokens);
    /// Records the end of an attempt that held `tokens` of context without shared prompt parts.
    void contextReleased(const EndpointIncarnation &incarnation, const CallerRequest &request,
                         uint64_t tokens);
    /// Returns the time since the last byte on any of the streams that run at the endpoint; zero without
    /// such streams.
    DurationMs silenceOf(const EndpointIncarnation &incarnation, TimeMs now) const;
    /// Returns true if streams run at the endpoint and none of them has received a byte for longer than
    /// `pause`.
    bool isSilent(const EndpointIncarnation &incarnation, DurationMs pause, TimeMs now) const;
    void succeeded(const EndpointIncarnation &incarnation);
    void failed(const EndpointIncarnation &incarnation, TimeMs now);
    /// Forgets the last failures of an endpoint that were this daemon's own.
    void pardon(const EndpointId &id);
    /// Records that the endpoint rejected a request.
    void rejected(const EndpointIncarnation &incarnation, TimeMs now);
    /// Records that the endpoint rejected a request and asked this daemon for a rest. It works as it should,
    /// so this is no failure. Returns false for an earlier incarnation.
    bool askedForRest(const EndpointIncarnation &incarnation, DurationMs duration, DurationMs jitter,
                      TimeMs now);
    /// Records that the endpoint began to answer a request that it ran.
    void accepted(const EndpointIncarnation &incarnation, TimeMs now);
    /// Returns whether a call that is no request may be sent to the endpoint, and counts it.
    bool takeCall(const EndpointId &id, TimeMs now);
    /// Returns when a service's first endpoint can be used again if all of them rest, else nothing.
    std::optional<TimeMs> restEndsAt(const ServiceName &service, TimeMs now) const;
    std::map<ServiceName, uint32_t> resting(TimeMs now) const; ///< Number of endpoints at rest.
    /// Records that a probe found the endpoint's process exited.
    void crashed(const EndpointIncarnation &incarnation, TimeMs now);
    /// Records an error response of the endpoint itself.
    void answeredWithError(const EndpointIncarnation &incarnation);
    void wrongInstance(const EndpointIncarnation &incarnation);
    /// Counts a request that is about to be sent to the endpoint against its limit.
    void reserve(const EndpointIncarnation &incarnation, TimeMs now);
    /// nullptr if this is not the newest known incarnation.
    EndpointLimiter *limiter(const EndpointIncarnation &incarnation);
    /// Returns true if the endpoint has restarted since that incarnation, and data still in flight from it
    /// has had time to arrive.
    bool isSuperseded(const EndpointIncarnation &incarnation, TimeMs now) const;

    /// Records the incarnation that the endpoint itself reported. Returns true if it is the newest known one.
    bool confirmIncarnation(const EndpointIncarnation &incarnation, TimeMs now);
    /// Records that the endpoint itself reported that it leaves.
    void setLeaving(const EndpointIncarnation &incarnation, DurationMs after, TimeMs now);
    /// Returns whether the service's engines differ in speed.
    bool isUneven(const ServiceName &service) const { return unevenServices_.contains(service); }
    /// An engine that was ejected or has returned.
    struct EjectionChange {
        EndpointIncarnation engine;
        bool isEjected = false;
        double slowness = 1;
        double median = 1; ///< Of its service.
    };
    /// Applies the engines' speeds (endpointspeeds.cpp). `interval`: time between two requests of this daemon
    /// to an ejected engine.
    std::vector<EjectionChange> applySpeeds(const EngineSpeeds &speeds, DurationMs interval, Random &random,
                                            TimeMs now);
    /// Records what an answer of the endpoint states. Returns true if it changed.
    bool updateBrittleness(const EndpointIncarnation &incarnation, std::optional<uint32_t> stated,
                           TimeMs sentAt, TimeMs now);
    /// Services whose endpoints state that they are brittle, with the smallest number of rejections.
    std::map<ServiceName, uint32_t> ownBrittleServices();
    /// Sets the brittle services, as known to this daemon and its peers, and the daemons that share their
    /// room.
    void setBrittleServices(std::map<ServiceName, uint32_t> services, const std::vector<Incarnation> &daemons,
                            Incarnation self);
    /// Sets the number of daemons that share the engines' links.
    void setServingDaemons(size_t count) { servingDaemons_ = count; }
    void setPeersLoad(const std::map<EndpointIncarnation, EndpointLoad> &sums, TimeMs now);

    /// Returns the engines with streams of this daemon that are due to be probed for their state, because the
    /// list is stale or their entry is unreadable.
    std::vector<EndpointEntry> dueProbes(TimeMs now);

    /// Returns the endpoints of a version that take a service's requests, in an order that is the same at all
    /// daemons.
    std::vector<EndpointId> ranked(const ServiceName &service, const SoftwareVersion &version) const;
    /// Returns the endpoints that take a service's requests.
    std::vector<EndpointId> accepting(const ServiceName &service) const;
    const FleetEndpoint *find(const EndpointId &id) const;
    /// Returns nullptr also if this is not the newest known incarnation.
    const FleetEndpoint *find(const EndpointIncarnation &incarnation) const;
    const std::map<EndpointId, FleetEndpoint> &all() const { return endpoints_; }
    /// Returns the addresses that no listed endpoint has any more, since the last call. That of an endpoint
    /// with open requests is returned again at their end.
    std::vector<Address> takeFormerAddresses();
    /// Number of requests that the service's endpoints can run concurrently.
    uint32_t totalSlots(const ServiceName &service, TimeMs now) const;
    /// Number of endpoints that take requests without a rate limit.
    uint32_t unlimitedCount(const ServiceName &service) const;
    /// Returns nothing if some endpoint of the service has no limit, or if there are no endpoints.
    std::optional<ServiceLimit> limitOf(const ServiceName &service, TimeMs now) const;
    /// Returns the endpoints that state a limit, or whose removed limit is still being announced to peers.
    std::vector<FleetEndpoint *> limited();
    /// Lower bound of the time at which the newest list was current.
    TimeMs listedAt() const { return listedAt_; }
    bool hasList() const { return firstListAt_.has_value(); }
    /// Time since which this daemon has known the endpoint's process.
    TimeMs knownSince(const FleetEndpoint &endpoint) const
    {
        return endpoint.knownSince.count > 0 ? endpoint.knownSince : firstListAt_.value_or(TimeMs{});
    }
    /// When the store came back from an older copy; zero if it has not.
    TimeMs storeRestoredAt() const { return storeRestoredAt_; }

private:
    /// Last known state of an endpoint that was removed from the list.
    struct RemovedEndpoint {
        EndpointStartTime start;
        bool leaving = false;
        TimeMs at;
    };
    void applyEntry(const EndpointEntry &entry, TimeMs askedAt, TimeMs now);
    void updateGone(TimeMs now);
    void restoreRemoved(FleetEndpoint &endpoint, const EndpointEntry &entry, TimeMs now) const;
    static void resetForRestart(FleetEndpoint &endpoint, EndpointStartTime start, TimeMs now);
    FleetEndpoint *at(const EndpointIncarnation &incarnation);
    void fetchStarted(FleetEndpoint &endpoint, const KvFetch &fetch, TimeMs now);
    void recordBrittleRejection(FleetEndpoint &endpoint, TimeMs now) const;
    static bool acceptsRequests(const FleetEndpoint &endpoint, const ServiceName &service);
    static bool isEligible(const FleetEndpoint &endpoint, const PlacementQuery &query);
    DurationMs silenceOf(const FleetEndpoint &endpoint, TimeMs now) const;
    bool isSilent(const FleetEndpoint &endpoint, TimeMs now) const;
    bool isResponsive(const FleetEndpoint &endpoint, TimeMs now) const;
    struct ChoiceWithCost {
        PlacementChoice choice;
        double cost = 0;
        bool mustWait = false; ///< The request is held until the engine has less queued prefill.
    };
    const FleetEndpoint *preferredEndpoint(const PlacementQuery &query, TimeMs now) const;
    PartFetch partFetch(const PlacementQuery &query, TimeMs now) const;
    static ChoiceWithCost withCost(const FleetEndpoint &endpoint, bool isPreferred,
                                   const PlacementQuery &query, const PartFetch &partFetch);
    static bool hasFreeSlot(const FleetEndpoint &endpoint, const PlacementQuery &query);
    bool hasOwnRoom(const FleetEndpoint &endpoint, TimeMs now) const;
    static void holdContext(FleetEndpoint &endpoint, const CallerRequest &request);
    static void addStrain(ChoiceWithCost &found, const FleetEndpoint &endpoint, const PlacementQuery &query);
    static bool isProbeDue(const FleetEndpoint &endpoint, const PlacementQuery &query, TimeMs now);
    static bool hasFreeCache(const FleetEndpoint &endpoint, const PlacementQuery &query);
    std::vector<EjectionChange> applyEjections(const std::vector<FleetEndpoint *> &engines,
                                               DurationMs interval, Random &random, TimeMs now);

    std::map<EndpointId, FleetEndpoint> endpoints_;
    TimeMs listedAt_;
    bool isStoreWell_ = false; ///< Not known at first.
    DurationMs drainTime_{2000};
    DurationMs ejectedInterval_{1000}; ///< Between two requests of this daemon to an ejected engine.
    TimeMs tickedAt_;
    /// End of the last pause of this process. Data that others sent during it may still be unread.
    TimeMs resumedAt_;
    TimeMs listRegainedAt_; ///< End of the last interruption of the list.
    TimeMs peersLoadAt_;
    std::optional<TimeMs> firstListAt_;
    uint64_t era_ = 0; ///< Era of the store that the newest list came from.
    TimeMs storeRestoredAt_; ///< When the era last rose; zero if it has not.
    // A tick must not walk over thousands of endpoints of which none has changed. So it is known which of
    // them it concerns.
    bool hasUnlisted_ = false;
    bool hasUnreadable_ = false;
    std::set<EndpointId> usedLimiters_; ///< Endpoints whose limiter may be active.
    std::set<EndpointId> loadedByPeers_; ///< Endpoints with a load of other daemons.
    PartUses partUses_;
    size_t servingDaemons_ = 1;
    std::map<EndpointId, RemovedEndpoint> removed_; ///< Endpoints that were removed recently.
    std::set<Address> formerAddresses_; ///< Not yet taken; another endpoint may have them now.
    std::map<ServiceName, std::set<SoftwareVersion>> inactiveVersions_;
    struct BrittleService {
        uint32_t maxRejections = 0;
        RoomShares shares;
    };
    std::map<ServiceName, BrittleService> brittle_;
    size_t brittleSharers_ = 1;
    std::set<EndpointId> brittleEndpoints_; ///< Endpoints that may be brittle.
    std::set<ServiceName> unevenServices_; ///< Services whose engines differ in speed.
};

/// Rendezvous hashing weight of `id` for `key`: all daemons rank the endpoints of a key alike.
uint64_t rendezvousWeight(const std::string &key, const EndpointId &id);
/// Rank of an endpoint for a key in weighted rendezvous hashing: it is the highest for a share of the keys in
/// proportion to the weight. With equal weights the order is that of `rendezvousWeight`.
double weightedRank(const std::string &key, const EndpointId &id, double weight);

/// Length of the prompt's prefix that this daemon expects to be cached at the endpoint.
uint64_t cachedTokens(const FleetEndpoint &endpoint, const CallerRequest &request);
/// Number of tokens in the prompt parts that the request shares with others.
uint64_t sharedTokens(const CallerRequest &request);
/// Number of tokens of the prompt besides the shared parts.
uint64_t unsharedTokens(const CallerRequest &request);
/// Key of the prefix of shared parts; empty if there is none.
std::string sharedKey(const CallerRequest &request);

} // namespace cranberry
