#pragma once

#include "gateway/gatewayevents.h"
#include "random.h"

#include <map>
#include <set>

namespace cranberry {

/// What this daemon knows of one endpoint.
struct FleetEndpoint {
    EndpointEntry entry;
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

    std::map<std::string, TimeMs> cachedParts; ///< Chains of parts read here, by the last one's id.
};

/// What placing needs to know of a request.
struct PlacementQuestion {
    ServiceName service;
    const EngineFigures *engine = nullptr; ///< nullptr: a plain service.
    const CallerRequest *request = nullptr;
    std::set<EndpointId> tried; ///< Not again.
    FailureDomainName ownDomain;
};

struct PlacementChoice {
    EndpointId endpoint;
    uint64_t prefillTokens = 0; ///< That the endpoint is expected to read for this request.
    double waitMs = 0; ///< Expected until it begins to read them.
};

/// Why no endpoint was chosen.
enum class PlacementProblem : uint8_t { NoEndpoint, AllBusy };

struct PlacementResult {
    std::optional<PlacementChoice> choice;
    PlacementProblem problem = PlacementProblem::NoEndpoint;
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

    PlacementResult choose(const PlacementQuestion &question, TimeMs now) const;

    void started(const PlacementChoice &choice, const PlacementQuestion &question, TimeMs now);
    void firstByte(const EndpointId &id, uint64_t prefillTokens);
    void streamBegan(const EndpointId &id);
    void heard(const EndpointId &id, TimeMs now);
    void finished(const EndpointId &id, bool wasStreaming);
    /// True if streams run there and none of them has brought a byte for long.
    bool isSilent(const EndpointId &id, TimeMs now) const;
    void succeeded(const EndpointId &id);
    void failed(const EndpointId &id, TimeMs now);
    void wrongInstance(const EndpointId &id);
    /// The endpoint itself says that it leaves.
    void leaves(const EndpointId &id, DurationMs after, TimeMs now);
    void setPeersLoad(const std::map<EndpointId, EndpointLoad> &sums, TimeMs now);

    /// Engines with own streams that are due to be asked for their state, since the list is old.
    std::vector<EndpointEntry> dueProbes(TimeMs now);

    const FleetEndpoint *find(const EndpointId &id) const;
    const std::map<EndpointId, FleetEndpoint> &all() const { return endpoints_; }
    /// Requests that the service's endpoints take side by side.
    uint32_t places(const ServiceName &service) const;
    /// The newest list was true at or after this time.
    TimeMs listedAt() const { return listedAt_; }
    bool known() const { return known_; }

private:
    bool isSilent(const FleetEndpoint &endpoint, TimeMs now) const;
    bool mayTake(const FleetEndpoint &endpoint, const PlacementQuestion &question) const;
    static bool hasRoom(const FleetEndpoint &endpoint, const PlacementQuestion &question);

    std::map<EndpointId, FleetEndpoint> endpoints_;
    TimeMs listedAt_;
    DurationMs drainTime_{2000};
    TimeMs tickedAt_;
    TimeMs wokeAt_; ///< This process did not run before; what others sent meanwhile is still to be read.
    TimeMs regainedAt_; ///< End of the last interruption of the list.
    TimeMs peersLoadAt_;
    bool known_ = false;
};

/// Rendezvous weight of `id` for `key`: every daemon ranks the endpoints of a key alike.
uint64_t rendezvousWeight(const std::string &key, const EndpointId &id);

/// Tokens of the parts that other requests share.
uint64_t sharedTokens(const CallerRequest &request);
/// The chain of shared parts as one key; empty if there is none.
std::string sharedKey(const CallerRequest &request);

} // namespace cranberry
