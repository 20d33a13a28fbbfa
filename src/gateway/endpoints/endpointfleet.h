#pragma once

#include "common/random.h"
#include "gateway/endpoints/endpointlimiter.h"

#include <map>
#include <set>

namespace cranberry {

/// What this daemon knows of one endpoint, in its present life.
struct FleetEndpoint {
    EndpointEntry entry; ///< The newest that could be read.
    bool readable = true; ///< False: its newest entry can't be read. It gets no new work, what runs goes on.
    TimeMs startedAgainAt; ///< This life was learned of, if it is not the first that is known.
    TimeMs listedAt; ///< The list named it at or after this time.
    bool listed = true; ///< Named by the newest list.
    bool gone = false; ///< Missing there for so long that it is taken for gone.
    std::optional<TimeMs> leavesAt; ///< Expected end of a leaving one.
    bool avoidedForGood = false; ///< Another endpoint answered at its address.

    uint32_t running = 0; ///< Own attempts.
    uint64_t prefillTokens = 0; ///< Of own attempts without a first event yet.
    uint32_t peersRunning = 0;
    double peersPrefillTokens = 0; ///< Moving mean.

    uint32_t streaming = 0; ///< Own attempts that have had their first event.
    TimeMs probedAt;
    TimeMs heardAt; ///< Last byte on any own attempt, or when the first of them got its first event.

    double failureShare = 0; ///< Moving mean over recent attempts, 0 to 1.
    uint32_t failuresInRow = 0;
    TimeMs avoidUntil;
    TimeMs endedUntil; ///< Its process ended; the list will drop it by then.

    EndpointLimiter limiter;
    std::map<std::string, TimeMs> cachedParts; ///< Chains of parts read here, by the last one's id.

    EndpointLife life() const { return {entry.id, entry.start}; }
};

/// What placing needs to know of a request.
struct PlacementQuestion {
    ServiceName service;
    const EngineFigures *engine = nullptr; ///< nullptr: a plain service.
    const CallerRequest *request = nullptr;
    std::set<EndpointId> tried; ///< Not again.
    FailureDomainName ownDomain;
    std::set<SoftwareVersion> barred; ///< Endpoints of these get nothing.
    std::optional<std::set<EndpointId>> among; ///< Only these.
    /// The endpoints are new: a part that nobody was seen to send there has to be read, also at its home.
    bool isCold = false;
    /// An engine with more than this to wait for is left until less is queued there; 0: no bound.
    double mostWaitMs = 0;
};

struct PlacementChoice {
    EndpointId endpoint;
    uint64_t prefillTokens = 0; ///< That the endpoint is expected to read for this request.
    double waitMs = 0; ///< Expected until it begins to read them.
    bool isReserved = false; ///< Counted against the endpoint's limit before.
};

/// Why no endpoint was chosen.
enum class PlacementProblem : uint8_t { NoEndpoint, AllBusy };

struct PlacementResult {
    std::optional<PlacementChoice> choice;
    PlacementProblem problem = PlacementProblem::NoEndpoint;
    std::optional<EndpointLife> heldBack; ///< Would have been chosen, but for its limit.
};

/// What a service's endpoints take, all of which name limits.
struct ServiceLimit {
    RequestRate rate;
    uint32_t waiting = 0; ///< Requests, at all daemons, as far as is known.
};

/// The endpoints of all services, what runs on them, and the choice among them.
class EndpointFleet
{
public:
    /// Leaving endpoints serve on for so long at least, if they state nothing else.
    void setDrainTime(DurationMs time) { drainTime_ = time; }
    /// Takes a whole list. Entries that are missing after an interruption of the list get a grace time.
    void take(const EndpointsRead &read, TimeMs now);
    void tick(TimeMs now);

    /// Versions of a service that don't carry its requests; they don't count as its endpoints.
    void setOutOfUse(std::map<ServiceName, std::set<SoftwareVersion>> versions)
    {
        outOfUse_ = std::move(versions);
    }
    bool isInUse(const FleetEndpoint &endpoint) const;
    PlacementResult choose(const PlacementQuestion &question, TimeMs now) const;

    void started(const PlacementChoice &choice, const PlacementQuestion &question, TimeMs now);
    // What became of an attempt, at the life that it was sent to. Of an earlier life it changes nothing.
    void firstByte(const EndpointLife &life, uint64_t prefillTokens);
    void streamBegan(const EndpointLife &life);
    void heard(const EndpointLife &life, TimeMs now);
    void finished(const EndpointLife &life, bool wasStreaming);
    /// True if streams run there and none of them has brought a byte for long, `pause` at least.
    bool isSilent(const EndpointLife &life, DurationMs pause, TimeMs now) const;
    void succeeded(const EndpointLife &life);
    void failed(const EndpointLife &life, TimeMs now);
    /// Its process was not there any more when it was asked.
    void ended(const EndpointLife &life, TimeMs now);
    /// It answered, with a failure of its own.
    void answeredWithError(const EndpointLife &life);
    void wrongInstance(const EndpointLife &life);
    /// The request at its way there, counted now against its limit.
    void reserve(const EndpointLife &life, TimeMs now);
    EndpointLimiter *limiter(const EndpointLife &life); ///< nullptr: not the newest life that is known.
    /// True if the endpoint has started again since that life, and what that one sent has had time to arrive.
    bool isOver(const EndpointLife &life, TimeMs now) const;

    /// The endpoint's own report: which life answered. True if it is the newest that is known.
    bool answered(const EndpointLife &life, TimeMs now);
    /// The endpoint itself says that it leaves.
    void leaves(const EndpointLife &life, DurationMs after, TimeMs now);
    void setPeersLoad(const std::map<EndpointLife, EndpointLoad> &sums, TimeMs now);

    /// Engines with own streams that are due to be asked for their state, since the list is old or says
    /// nothing of them.
    std::vector<EndpointEntry> dueProbes(TimeMs now);

    /// Endpoints of a version that take a service's requests, by an order that is the same at all daemons.
    std::vector<EndpointId> ranked(const ServiceName &service, const SoftwareVersion &version) const;
    const FleetEndpoint *find(const EndpointId &id) const;
    /// nullptr also if that life is not the newest that is known.
    const FleetEndpoint *find(const EndpointLife &life) const;
    const std::map<EndpointId, FleetEndpoint> &all() const { return endpoints_; }
    /// Requests that the service's endpoints take side by side.
    uint32_t places(const ServiceName &service) const;
    /// Endpoints that take requests, as many as come.
    uint32_t count(const ServiceName &service) const;
    /// Empty: some endpoint takes as many as come, or there is none.
    std::optional<ServiceLimit> limitOf(const ServiceName &service, TimeMs now) const;
    /// All that name a limit, or did until lately.
    std::vector<FleetEndpoint *> limited();
    /// The newest list was true at or after this time.
    TimeMs listedAt() const { return listedAt_; }
    bool known() const { return known_; }
    /// The store came back from an older copy then; zero: it has not.
    TimeMs olderStoreSince() const { return eraSince_; }

private:
    /// An endpoint that was left out of a list, as it was then.
    struct Departed {
        EndpointStart start;
        bool leaving = false;
        TimeMs at;
    };
    void takeEntry(const EndpointEntry &entry, TimeMs askedAt, TimeMs now);
    void takeUpAgain(FleetEndpoint &endpoint, const EndpointEntry &entry, TimeMs now) const;
    static void startAgain(FleetEndpoint &endpoint, EndpointStart start, TimeMs now);
    FleetEndpoint *at(const EndpointLife &life);
    static bool takesWork(const FleetEndpoint &endpoint, const ServiceName &service);
    static bool mayTake(const FleetEndpoint &endpoint, const PlacementQuestion &question);
    bool isSilent(const FleetEndpoint &endpoint, TimeMs now) const;
    bool isAwake(const FleetEndpoint &endpoint, TimeMs now) const;
    struct PricedChoice {
        PlacementChoice choice;
        double cost = 0;
    };
    const FleetEndpoint *homeOf(const PlacementQuestion &question, TimeMs now) const;
    static PricedChoice priced(const FleetEndpoint &endpoint, bool isHome, const PlacementQuestion &question);
    static bool hasRoom(const FleetEndpoint &endpoint, const PlacementQuestion &question);

    std::map<EndpointId, FleetEndpoint> endpoints_;
    TimeMs listedAt_;
    DurationMs drainTime_{2000};
    TimeMs tickedAt_;
    TimeMs wokeAt_; ///< This process did not run before; what others sent meanwhile is still to be read.
    TimeMs regainedAt_; ///< End of the last interruption of the list.
    TimeMs peersLoadAt_;
    bool known_ = false;
    uint64_t era_ = 0; ///< Of the store that the newest list is from.
    TimeMs eraSince_; ///< When it rose; zero: it has not.
    std::map<EndpointId, Departed> departed_; ///< Lately.
    std::map<ServiceName, std::set<SoftwareVersion>> outOfUse_;
};

/// Rendezvous weight of `id` for `key`: every daemon ranks the endpoints of a key alike.
uint64_t rendezvousWeight(const std::string &key, const EndpointId &id);

/// Tokens of the parts that other requests share.
uint64_t sharedTokens(const CallerRequest &request);
/// The chain of shared parts as one key; empty if there is none.
std::string sharedKey(const CallerRequest &request);

} // namespace cranberry
