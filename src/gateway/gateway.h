#pragma once

#include "common/random.h"
#include "gateway/decisionlog.h"
#include "gateway/duties/checkpointwriter.h"
#include "gateway/duties/usageledger.h"
#include "gateway/endpoints/endpointpaths.h"
#include "gateway/endpoints/endpointprobes.h"
#include "gateway/endpoints/quarantine.h"
#include "gateway/endpoints/silentendpoints.h"
#include "gateway/exchange.h"
#include "gateway/gatewaycounters.h"
#include "gateway/limits/quotas.h"
#include "gateway/peers/peertable.h"
#include "gateway/peers/relaychoice.h"
#include "gateway/peers/relaycontacts.h"
#include "gateway/requests/admissionqueue.h"
#include "gateway/requests/departure.h"
#include "gateway/requests/eventsteps.h"
#include "gateway/requests/gatewayretrybudget.h"
#include "gateway/requests/retryledger.h"
#include "gateway/requests/returnschedule.h"
#include "gateway/requests/stoprecord.h"
#include "gateway/requests/streamdurations.h"
#include "gateway/requests/streamorigins.h"
#include "gateway/rollout/rolloutcontroller.h"
#include "gateway/rollout/rolloutview.h"
#include "gateway/rollout/trialcounts.h"
#include "gateway/sizing/demandmeter.h"
#include "gateway/sizing/enginecapacity.h"

#include <map>
#include <utility>

namespace cranberry {

/// The deployment settings that the gateway uses.
struct GatewaySettings {
    InstanceName instance;
    Incarnation incarnation;
    FailureDomainName failureDomain;
    DurationMs revokeBound{5000}; ///< A removed key is rejected everywhere after this time.
    DurationMs configurationBound{2000}; ///< A configuration is in force everywhere after this time.
    GatewayRetryLimits retryLimits;
    QuotaTolerance quotaTolerance;
    DurationMs usageWindow{5000};
    DurationMs drainTime{2000}; ///< Minimum time for which a leaving endpoint continues to serve.
    uint64_t seed = 1;
};

/// Serves callers' requests at the endpoints of the configuration in force.
///
/// Uses no sockets, threads or clock: each call is passed the time, and `takeActions()` returns the resulting
/// actions.
class Gateway
{
public:
    Gateway(const GatewaySettings &settings, DecisionLog &log);
    /// Applies changed bounds and tolerances. Identity and usage window keep their values from the start.
    void applyBounds(const GatewaySettings &settings);

    // Events of callers.
    void onRequest(const RequestArrived &event, TimeMs now);
    /// What the header of a request decides.
    struct RequestHead {
        bool isRefused = false;
        OrganisationName organisation; ///< Empty: none is known.
    };
    RequestHead examineHead(const CallerRequestPtr &request, TimeMs now) const;
    /// Responds to a request that its header refuses; its body was not read.
    void refuseByHead(const RequestArrived &event, TimeMs now);
    void onCallerGone(const RequestCallerGone &event, TimeMs now);

    // Events of endpoints.
    void onHead(const AttemptHead &event, TimeMs now);
    void onData(const AttemptData &event, TimeMs now);
    void onEnd(const AttemptEnd &event, TimeMs now);
    /// The process has no memory left for a response that is kept until it is complete.
    void onNoRoomForResponse(AttemptId attempt, TimeMs now);
    void onConnectionFailed(const AttemptConnectionFailed &event, TimeMs now);
    void onGenerationMigrated(const GenerationMigrated &event, TimeMs now);
    void onEngineProbed(const EngineProbed &event, TimeMs now);
    void onEndpointConnected(const EndpointConnected &event, TimeMs now);
    void onRelayProbed(const RelayProbed &event, TimeMs now);

    // Data from the store and the other daemons (sharedview.cpp).
    void onConfiguration(const ConfigurationRead &event, TimeMs now);
    void onEndpoints(const EndpointsRead &event, TimeMs now);
    /// Sets whether the store is well: then an endpoint that is missing from the list has gone.
    void setStoreWell(bool well) { fleet_.setStoreWell(well); }
    void onRollouts(const RolloutsRead &read, TimeMs now);
    void onMembers(std::vector<MemberEntry> members, TimeMs now, size_t listed = 0);
    void onLeader(const InstanceName &holder, TimeMs now);
    void onEntriesFromPeer(const EntriesFromPeer &event);
    void onPeerReport(const PeerReport &report, TimeMs now);
    void onQuotaRequest(const QuotaRequest &request, const Address &from);
    void onQuotaTransfer(const QuotaTransfer &transfer, TimeMs now);
    void onCrashNotice(const CrashNotice &notice, TimeMs now);
    void onLimitNotice(const LimitNotice &notice, TimeMs now);
    void onLimitShareRequest(const LimitShareRequest &request, const Address &from, TimeMs now);
    void onLimitGrant(const LimitShareGrant &grant, TimeMs now);
    void onStreamOriginNotice(const StreamOriginNotice &notice, TimeMs now);
    void onStreamOriginQuery(const StreamOriginQuery &query, const Address &from, TimeMs now);
    void onStreamOriginReply(const StreamOriginReply &reply, const Address &from, TimeMs now);
    void onUsageNotice(const UsageNotice &notice, TimeMs now);
    void onQuarantine(const std::vector<QuarantinedRequest> &list, QuarantineSource source, TimeMs now);
    /// Returns the quarantined requests, for the store and for daemons that query them.
    const std::vector<QuarantinedRequest> &quarantine(TimeMs now);

    void tick(TimeMs now);
    /// Tells the keepers of this daemon's usage counts what has changed; also done by `tick`.
    void sendUsage(TimeMs now);
    /// The process was asked to stop, and is killed `grace` after the signal. Called again if that changes.
    void startLeaving(TimeMs signalledAt, DurationMs grace);
    const std::optional<Departure> &departure() const { return departure_; }

    std::vector<GatewayAction> takeActions() { return std::exchange(actions_, {}); }
    /// Returns the calls to the store that draw retries; their replies go to `onStoreReply`.
    std::vector<StoreCall> takeStoreCalls() { return retryLedger_.takeStoreCalls(); }
    void onStoreReply(const StoreReply &reply, TimeMs now);

    /// Returns whether it takes requests: its configuration was confirmed recently and it is not leaving.
    bool isReady(TimeMs now) const;
    bool isIdle() const { return exchanges_.empty(); }
    /// Returns the size of the response that is kept until it is complete.
    size_t keptResponseBytes(AttemptId attempt) const;
    /// Returns the number of open requests in each phase, for the log.
    boost::json::object openByPhase() const;
    /// Returns what became of requests since the stop signal, for the log.
    boost::json::object sinceSignal() const;
    /// Logs the requests that the exit cuts off, up to a bound.
    void logOpenAtExit(TimeMs now) const;
    /// Returns the report for the other daemons. The caller fills in the wall-clock time, the CPU usage, and
    /// whether it can read the store.
    PeerReport report(bool isFull, TimeMs now);
    /// Returns the demand on each service's engines, summed over all daemons whose reports are received.
    std::map<ServiceName, ServiceDemand> demand(TimeMs now) const;
    struct EntryAnswer {
        std::vector<Address> addresses;
        bool fromPeer
            = false; ///< Received from another daemon. It must not be forwarded, or it would never expire.
    };
    /// Returns what the leader needs to advance roll-outs, for each service that has a roll-out order or
    /// record.
    std::map<ServiceName, RolloutObservations> observeRollouts(TimeMs now) const;
    const RolloutView &rollouts() const { return rollouts_; }
    /// Returns the addresses that callers shall connect to. `own`: this daemon, if it is ready.
    EntryAnswer callerAddresses(const EntryCandidate &own, double ownCoresUsed, TimeMs now);
    /// Returns whether this daemon serves, according to the entry answers given so far.
    bool serves() const { return servingRole_.serves(); }
    /// Returns whether other daemons need its reports: it serves, has requests, or has counts of a window
    /// that is not reported yet.
    bool mustReport(TimeMs now) const;

    // Balances that survive a restart (gatewaycheckpoints.cpp).

    /// Returns the balances that this daemon knows, for a checkpoint.
    ObservedBalances observeBalances(TimeMs now);
    /// Returns the versions that the services had recently, for the store.
    VersionRecord versionRecord() const { return versions_.record(usage_.offset()); }
    /// Raises the balances to this daemon's part of a checkpoint of that age.
    void inheritUnits(const QuotaCheckpoint &checkpoint, DurationMs age, TimeMs now);

    GatewayCounters &counters() { return counters_; }
    const GatewayCounters &counters() const { return counters_; }
    const EndpointFleet &fleet() const { return fleet_; }
    const PeerTable &peers() const { return peers_; }
    const EndpointPaths &paths() const { return paths_; }

    // For other daemons, whose requests this one passes on.

    /// Returns the endpoint for a request of another daemon, or nothing if this daemon does not relay.
    std::optional<Address> relayTarget(const EndpointId &endpoint) const;
    /// Returns whether the endpoint asked this daemon for a rest, or its time after it said that it leaves is
    /// over.
    bool wantsNothing(const EndpointId &endpoint, TimeMs now) const;
    /// What an endpoint said of itself in a response that this daemon passes on to another one.
    void onRelayedNotice(const EndpointId &endpoint, const EndpointNotice &notice, TimeMs now);
    /// Returns the probes of other endpoints that show whether a refused connection is the endpoint's fault
    /// or this daemon's: it is the endpoint's if one of them succeeds. None if there is no other endpoint.
    std::vector<ProbePath> controlProbes(const EndpointId &refused, TimeMs now);
    UsageLedger &usage() { return usage_; }
    ServingConfigurationPtr configuration() const { return configuration_; }

private:
    /// A response that the gateway generates itself.
    struct OwnAnswer {
        int status = 503;
        GatewayRefusal reason = GatewayRefusal::Overloaded;
        DurationMs retryAfter{0}; ///< 0: no Retry-After header is sent.
    };

    // Checks of a request, when it is read and again when it leaves the queue.
    std::optional<OwnAnswer> checkHead(Exchange &exchange, TimeMs now) const;
    std::optional<OwnAnswer> checkRequest(Exchange &exchange, TimeMs now) const;
    void setParts(Exchange &exchange) const;
    std::string quarantinedPart(const Exchange &exchange, TimeMs now) const;
    std::optional<OwnAnswer> checkKey(Exchange &exchange, bool certain, TimeMs now) const;
    bool isFresh(TimeMs now, DurationMs bound) const;
    bool isStoreIncomplete(TimeMs now) const;
    bool hasStoreState() const { return configuration_ && fleet_.hasList(); }
    Exchange &addExchange(const RequestArrived &event, TimeMs now);
    void countOffered(Exchange &exchange, TimeMs now);
    void admit(Exchange &exchange, TimeMs now);
    void continueAdmission(Exchange &exchange, TimeMs now);
    void admitAwaiting(TimeMs now);
    void refillQuotas(TimeMs now);

    // Organisations' limits (limits.cpp).
    enum class LimitOutcome : uint8_t { Within, Waits, Refused };
    LimitOutcome takeQuota(Exchange &exchange, bool mayRequest, TimeMs now);
    bool isDiscoveringPeers(TimeMs now) const;
    void awaitUnits(Exchange &exchange, TimeMs now);
    bool requestUnits(Exchange &exchange, double missing, TimeMs now);
    void continueWithinLimit(Exchange &exchange, TimeMs now);
    void tickLimits(TimeMs now);
    void deposit(TimeMs now);
    bool includesThisDaemon(const std::vector<const MemberEntry *> &members) const;
    QuotaRole quotaRole(const OrganisationName &organisation, TimeMs now) const;
    ServiceName pickService(const Exchange &exchange) const;
    ServiceName serviceOf(const Exchange &exchange) const;

    // Requests at a daemon that was asked to stop (leaving.cpp).
    bool mayExitBefore(const Exchange &exchange, TimeMs now) const;
    bool endsBeforeExit(const Exchange &exchange, TimeMs now) const; ///< Also true if no exit is due.
    std::optional<DurationMs> expectedRest(const Exchange &exchange, TimeMs now) const;
    uint64_t statedEvents(const Exchange &exchange) const;
    void recordStreamDuration(const Exchange &exchange, TimeMs now);
    void tickLeaving(TimeMs now);
    void refuseUnfinishable(TimeMs now);
    static TimeMs callersDeadline(const Exchange &exchange);
    /// Time at which the final response is due: at the caller's deadline, or before the exit.
    TimeMs deadlineOf(const Exchange &exchange) const;

    // What a stop leaves in the log (stoplog.cpp).
    void recordTakenBefore(TimeMs signalledAt); ///< Before the event loop handled the signal.
    void recordTaken(const Exchange &exchange);
    void recordExpectedEnd(Exchange &exchange, TimeMs now);
    void recordAnswer(TimeMs now);
    void recordRefusal(const Exchange &exchange, GatewayRefusal reason, TimeMs now);
    boost::json::object openFields(const Exchange &exchange, TimeMs now) const;

    // Streams that callers resume (resumptions.cpp).
    bool isResumption(const Exchange &exchange) const;
    /// Returns true for a request that begins a stream. One that resumes a stream continues its admission
    /// once its origin is known.
    bool findOrigin(Exchange &exchange, TimeMs now);
    void askForOrigin(Exchange &exchange, TimeMs now);
    void sendOriginQueries(const Exchange &exchange);
    void continueFrom(Exchange &exchange, const StreamOrigin &origin, GatewayCount source, TimeMs now);
    void endOriginSearch(Exchange &exchange, TimeMs now);
    void refuseUnknownOrigin(Exchange &exchange, TimeMs now);
    void recordOrigin(Exchange &exchange, TimeMs now);
    void tellOrigin(const StreamOrigin &origin, const std::vector<StreamKey> &streams);
    /// Tells the other daemons of the streams that began while the service had a single version.
    void tellStreamsOf(const ServiceName &service);
    std::vector<const MemberEntry *> servingMembers() const;
    void tickResumptions(TimeMs now);

    // Waiting for a free slot at an endpoint (waiting.cpp).

    /// Prefill rate of a service's engines. Computed once per pass of the queue for all its waiting requests,
    /// since it requires counting the endpoints.
    struct PrefillRate {
        PrefillSpeed speed;
        int64_t engines = 1;
        int64_t daemons = 1;

        /// Returns the time until an idle engine sends the request's first event. Shared prompt parts are
        /// assumed to be cached.
        DurationMs prefillTime(const CallerRequest &request) const;
        /// Returns the time in which all engines together process this much prefill for each daemon.
        DurationMs drainTime(DurationMs prefill) const { return prefill * daemons / engines; }
    };
    void dispatch(Exchange &exchange, TimeMs now);
    void enqueue(Exchange &exchange, TimeMs now);
    bool isRestTooLong(const Exchange &exchange, TimeMs now) const;
    bool isTooLate(const Exchange &exchange, TimeMs sentAt) const;
    void recordOffered(const Exchange &exchange);
    bool yieldsToOthers(const Exchange &exchange, TimeMs now) const;
    /// Sends the request, or returns why it can't be sent now.
    std::optional<PlacementProblem> trySend(Exchange &exchange, TimeMs now);
    void runQueue(TimeMs now);
    double maxWaitMs(const Exchange &exchange, TimeMs now) const;
    PrefillRate prefillRate(const ServiceName &service, TimeMs now) const;
    DurationMs expectedWait(const Exchange &exchange, const std::vector<const WaitingRequest *> &ahead,
                            TimeMs now) const;
    WaitingRequest waitingRequest(const Exchange &exchange) const;
    /// This daemon's waiting requests for a service whose endpoints all state limits.
    struct LimitedQueue {
        std::optional<ServiceLimit> limit; ///< Empty: not all endpoints state a limit.
        size_t own = 0; ///< Requests that wait at this daemon.
        size_t position = 0; ///< Position reached while the queue is traversed.

        /// Returns the time until the request at this position (from 1) is sent.
        DurationMs waitAt(size_t position) const;
    };
    LimitedQueue limitedQueue(const ServiceName &service, TimeMs now) const;
    /// Refuses the request if its wait exceeds its deadline. Returns whether it was refused.
    bool refuseBeyondLimit(Exchange &exchange, DurationMs wait, TimeMs now);
    /// Returns what a request that was refused for lack of capacity needs of its organisation's share.
    RefusedWork refusedWork(const Exchange &exchange, GatewayRefusal reason, TimeMs now) const;
    /// Returns the organisation's share of the service's capacity among those that wait for it here.
    double shareOf(const RequestFlow &flow) const;
    /// Retry-After times for lack of capacity and for an organisation's limit.
    DurationMs capacityRetryAfter(const Exchange &exchange, GatewayRefusal reason, TimeMs now);
    DurationMs limitRetryAfter(const Exchange &exchange, const ServedOrganisation &organisation, double units,
                               double missing, TimeMs now);
    DurationMs returnJitter();
    DurationMs countReturn(const ReturnTime &time);

    // Sending.
    void send(Exchange &exchange, const PlacementQuery &query, const PlacementChoice &choice, TimeMs now,
              const std::optional<MigratedKvCache> &kvCache = std::nullopt);
    PlacementQuery placementQuery(const Exchange &exchange) const;
    void addFetch(Exchange &exchange, SendAttempt &order, boost::json::object &fields);
    void releaseFetch(Exchange &exchange);

    // Roll-outs (trials.cpp).
    struct Trial {
        SoftwareVersion target;
        int64_t beganWallMs = 0;
        RolloutStage stage = RolloutStage::Starting;
        VersionEvaluator evaluator;
        bool isSuspected = false;
        uint32_t loadSent = 0; ///< Load requests that this daemon sent.
    };
    int64_t wallTimeAt(TimeMs now) const; ///< Wall-clock time in Unix milliseconds.
    void applyEndpoints(const EndpointsRead &event, TimeMs now);
    void recordListedVersions(const EndpointsRead &read);
    /// Selects an endpoint of a version that the request may be sent to.
    PlacementResult place(Exchange &exchange, PlacementQuery &query, TimeMs now);
    PlacementResult selectByVersion(Exchange &exchange, PlacementQuery &query, TimeMs now);
    PlacementResult selectAtTarget(const RolloutView::Rule &rule, PlacementQuery question,
                                   std::set<EndpointId> among, TimeMs now) const;
    PlacementResult selectForLoad(Exchange &exchange, const RolloutView::Rule &rule, PlacementQuery question,
                                  TimeMs now);
    std::set<EndpointId> trialEndpoints(const Exchange &exchange, const RolloutView::Rule &rule) const;
    bool canUseAsLoad(const Exchange &exchange, const PlacementQuery &query, const RolloutView::Rule &rule,
                      TimeMs now) const;
    void recordOutcome(const Exchange &exchange, const FleetEndpoint &endpoint, bool bad);
    bool isOnTrial(const FleetEndpoint &endpoint) const;
    uint32_t trialGroupOf(const FleetEndpoint &endpoint) const; ///< Index in the counts of a trial.
    void recordStep(const Exchange &exchange, BaselineTimes::Step step, double time, double minTime);
    double expectedFirstEventMs(const Exchange &exchange, const PlacementChoice &choice) const;
    static double firstEventRatio(const Exchange &exchange, TimeMs now);
    bool isMoving(const ServiceName &service) const;
    void recordLoadRequest(Exchange &exchange, const EngineFigures &engine, const EndpointId &at);
    void recordFirstEvent(Exchange &exchange, TimeMs now);
    void recordEventInterval(Exchange &exchange, TimeMs now);
    void recordFullResponse(Exchange &exchange, TimeMs now);
    void recordBadOutcome(Exchange &exchange, bool broke, TimeMs now);
    void recordOverdue(TimeMs now);
    void evaluateTrials(TimeMs now);

    // Outcomes of attempts (attempts.cpp).
    void detach(Exchange &exchange);
    void cancelAttempt(Exchange &exchange);
    bool mayRetry(const Exchange &exchange) const;
    /// Cancels an attempt and treats it as failed; the endpoint may already have run the request.
    void cancelAsFailed(AttemptId attempt, TimeMs now);
    void onRejected(Exchange &exchange, TimeMs now);
    void forwardFullResponse(Exchange &exchange, TimeMs now);
    void passFullResponse(Exchange &exchange, TimeMs now); ///< Without a retry.
    bool forwardEvents(Exchange &exchange, TimeMs now);
    /// Returns whether the event follows the last one that the caller has.
    bool isNextEvent(const Exchange &exchange, uint64_t id) const;
    static StreamEnd streamEndOf(const Exchange &exchange);
    static bool awaitsMove(const Exchange &exchange, StreamEnd end);
    void endStream(Exchange &exchange, StreamEnd end, TimeMs now);
    void completeStream(Exchange &exchange, StreamEnd end, TimeMs now);
    void interruptAttempt(Exchange &exchange, const AttemptConnectionFailed &failure, TimeMs now);
    void attemptFailed(Exchange &exchange, bool sent, TimeMs now);
    void closeFailedAttempt(Exchange &exchange, const AttemptConnectionFailed &failure, TimeMs now);
    void continueAfterFailure(Exchange &exchange, const AttemptConnectionFailed &failure, TimeMs now);
    void abandonSilentEndpoints(TimeMs now);
    /// Returns whether a stream in progress may be sent to another endpoint once nothing works on it any
    /// more.
    static bool mayResumeElsewhere(const Exchange &exchange);
    bool canContinueElsewhere(Exchange &exchange, TimeMs now);

    // Retries (retries.cpp).
    bool retry(Exchange &exchange, GatewayRetry reason, TimeMs now);
    void logDenied(const Exchange &exchange, const char *reason) const;
    bool awaitDraw(Exchange &exchange, GatewayRetry reason, TimeMs now);
    bool drawRetries(const ServiceName &service, uint32_t more, TimeMs now);
    std::vector<CallerId> awaitingDrawOf(const ServiceName &service) const;
    void continueAfterDraw(CallerId id, TimeMs now);
    void endWithoutRetry(Exchange &exchange, GatewayRetry reason, TimeMs now);
    void tickRetries(TimeMs now);
    void logRetries(TimeMs now);

    // Endpoints that exit while they process requests (endpointcrashes.cpp).

    /// Returns true if the request has to wait for the result of a probe of the endpoint.
    bool recordInterruptedAttempt(Exchange &exchange, TimeMs now);
    static InterruptedAttempt interruptedAttempt(const Exchange &exchange);
    /// The response ended with its connection, as it also does when its endpoint crashes.
    void awaitEndpointState(Exchange &exchange, TimeMs now);
    void probeProcess(const FleetEndpoint &endpoint, bool isRepeat, TimeMs now);
    bool repeatProbe(const EngineProbed &event, TimeMs now);
    static ResponseFraming framingOf(const Exchange &exchange);
    void endUnframedResponse(AttemptId attempt, bool isComplete, TimeMs now);
    bool probeThroughRelay(const EndpointId &id, TimeMs now);
    void onProcessProbed(const EngineProbed &event, TimeMs now);
    void onEndpointCrash(const EndpointProbes::ProbeResult &probe, TimeMs now);
    void clearSuspicion(const Exchange &exchange, TimeMs now);
    void applyQuarantine(const std::vector<RequestDigest> &requests, QuarantineSource source, TimeMs now);
    void cancelQuarantinedAttempts(RequestDigest request, TimeMs now);
    bool isQuarantined(const Exchange &exchange, TimeMs now) const;
    /// Returns the digest of the request, or of the part of its prompt, that is quarantined.
    std::optional<RequestDigest> quarantineOf(const Exchange &exchange, TimeMs now) const;
    void recordProof(Exchange &exchange, TimeMs now);
    void recordRunningProof(Exchange &exchange, TimeMs now);
    OwnAnswer quarantineResponse(const Exchange &exchange, TimeMs now) const;
    void sendCrashNotice(TimeMs now);
    void notifyNewServing(TimeMs now);
    void sendToMembers(const std::vector<const MemberEntry *> &members, const CrashNotice &notice);

    // Endpoints that this daemon does not reach (endpointreach.cpp).

    /// Signs of life of a service's endpoints.
    struct ServiceContact {
        TimeMs lastByteAt; ///< Of any response.
        TimeMs connectedAt; ///< Of the newest new connection.
        TimeMs probedAt; ///< Of the newest probe for silence.
        std::optional<EndpointId> silentProbe; ///< Endpoint of an open probe for silence.
        TimeMs doubtedAt; ///< Begin of the newest doubt that its endpoints are reached.
    };
    void tickPaths(TimeMs now);
    void recordConnectFailure(const EndpointConnected &event, TimeMs now);
    void applyPathChange(const ServiceName &service, EndpointPaths::Change change, TimeMs now);
    void leavePaths(const ServiceName &service);
    void probePath(const ServiceName &service, TimeMs now);
    void sendPathProbe(const FleetEndpoint &endpoint);
    void probeSilentServices(TimeMs now);
    void probeSilentRelays(TimeMs now);
    void probeSilentEndpoints(TimeMs now);
    /// Outcome of new connections to the attempt's endpoint since its streams fell silent.
    SilentEndpoints::Reach reachOfSilent(const Exchange &exchange) const;
    bool isUnreached(const Exchange &exchange) const;
    void recordContact(const Exchange &exchange, TimeMs now);
    std::vector<const MemberEntry *> relayCandidates(const ServiceName &service, TimeMs now) const;
    /// Returns the daemon that is to carry the request's next attempt; none if its own connections will do.
    std::optional<Address> relayFor(const Exchange &exchange, TimeMs now);
    std::optional<Address> relayFor(const ServiceName &service, TimeMs now);
    /// Neither this daemon nor any other reaches the service's endpoints.
    bool isOutOfReach(const ServiceName &service, TimeMs now) const;
    void allowUnsentAgain(Exchange &exchange, TimeMs now);
    bool isEndpointsFault(const Exchange &exchange, const AttemptConnectionFailed &failure) const;
    /// No byte has come from the service's endpoints since the attempt was sent, and no new connection shows
    /// that they are reached.
    bool isUnheard(const Exchange &exchange) const;
    bool isLostInPartition(const Exchange &exchange, TimeMs now) const;

    // Endpoints with a limited request rate (endpointlimits.cpp).
    void recordLimit(const Exchange &exchange, TimeMs now);
    void tickEndpointLimits(TimeMs now);
    void updateCoordinators(const std::vector<FleetEndpoint *> &limited, TimeMs now);
    void distributeWaiting(const std::vector<FleetEndpoint *> &limited, TimeMs now);
    void requestShares(const std::vector<FleetEndpoint *> &limited, TimeMs now);
    void sendLimitGrants(const EndpointIncarnation &endpoint, TimeMs now);
    void sendDueLimitUpdates(const std::vector<FleetEndpoint *> &limited, TimeMs now);
    void sendLimitsToNewServing(TimeMs now);
    void sendLimitUpdates(const std::vector<const MemberEntry *> &members,
                          const std::vector<LimitUpdate> &updates);
    void recordBrittleness(const Exchange &exchange, TimeMs now);
    void updateBrittleServices(TimeMs now);
    static boost::json::object limitLogFields(const FleetEndpoint &endpoint, TimeMs now);

    // Endpoints that ask for a rest or say that they leave (endpointnotices.cpp).
    void recordNotice(const EndpointIncarnation &endpoint, const EndpointNotice &notice,
                      const std::string &request, TimeMs now);
    bool waitForRest(Exchange &exchange, TimeMs now);

    // Generations on leaving engines (migrations.cpp).
    void probeEngines(TimeMs now);
    void migrateStreams(TimeMs now);
    bool isTooLateToStart(const Exchange &exchange, TimeMs now) const;
    bool shouldMigrate(const Exchange &exchange, TimeMs now) const;
    bool endsAfterExit(const Exchange &exchange, const EngineFigures &engine, TimeMs now) const;
    bool isStalled(const Exchange &exchange, TimeMs now) const;
    /// `others`: streams that are to be migrated as well.
    void startMigration(Exchange &exchange, size_t others, TimeMs now);
    bool takeMoveUnit(Exchange &exchange, TimeMs now);
    void callSource(Exchange &exchange, TimeMs now);
    DurationMs copyTimeout(const Exchange &exchange, TimeMs now) const;
    void advanceMigration(Exchange &exchange, TimeMs now);
    bool isNeedless(const Exchange &exchange, TimeMs now) const; ///< Its migration.
    void advanceEnded(Exchange &exchange, TimeMs now);
    std::optional<RunEndProof> proofOfSourceEnd(const Exchange &exchange, TimeMs now) const;
    void repeatCall(Exchange &exchange, TimeMs now);
    void endWithoutReply(Exchange &exchange, TimeMs now);
    void onCopyReply(Exchange &exchange, const GenerationMigrated &reply, TimeMs now);
    void abandonCopy(Exchange &exchange, MigrationOutcome outcome, TimeMs now);
    void onStopReply(Exchange &exchange, const GenerationMigrated &reply, TimeMs now);
    void logMoveFailed(const Exchange &exchange, const GenerationMigrated &reply, TimeMs now) const;
    void recordEventsMade(Exchange &exchange, const GenerationMigrated &reply) const;
    void continueAtTarget(Exchange &exchange, RunEndProof proof, TimeMs now);
    void recordRunLeft(const Exchange &exchange, RunEndProof proof, TimeMs now);
    void recordSourceEnd(Exchange &exchange, StreamEnd end, TimeMs now);
    void releaseCopy(const Exchange &exchange, const GenerationMigration &migration);
    bool returnToSource(Exchange &exchange, TimeMs now);
    void abortStream(Exchange &exchange, TimeMs now);

    // Usage counts (gatewayusage.cpp).
    void countUsage(Exchange &exchange, TimeMs at);
    void tickUsage(TimeMs now);
    struct UsageHandOver {
        Address to;
        int64_t since = 0; ///< Oldest window.
        TimeMs at;
    };
    void sendHandOver(const UsageHandOver &order);
    void handOverUsage(const Address &to, int64_t since, TimeMs now);
    void handOverUsageToNew(const MemberEntry &added, Incarnation incarnation, TimeMs now);
    void onFirstReport(const PeerReport &report, TimeMs now);

    // Times of streams and speeds of engines (streamtimes.cpp).
    double maxPauseMs(const Exchange &exchange) const;
    bool isCold(const EndpointId &engine, const CallerRequest &request, TimeMs now) const;
    double usualFirstEventMs(const Exchange &exchange, const PlacementQuery &query,
                             const PlacementChoice &choice, TimeMs now) const;
    void recordCallerEvent(Exchange &exchange, TimeMs now);
    void countLateStream(const Exchange &exchange);
    void recordContext(Exchange &exchange, uint64_t events);
    void updateEngineSpeeds(TimeMs now);

    // Final responses.
    void answer(Exchange &exchange, const OwnAnswer &own, TimeMs now);
    void giveUp(Exchange &exchange, GatewayRefusal reason, TimeMs now);
    void timeOut(Exchange &exchange, TimeMs now);
    void finish(Exchange &exchange);
    void log(LogPriority weight, const char *event, const Exchange &exchange,
             boost::json::object fields) const;

    Exchange *findByAttempt(AttemptId attempt);

    GatewaySettings settings_;
    DecisionLog &log_;
    Random random_;
    GatewayCounters counters_;

    ServingConfigurationPtr configuration_;
    TimeMs startedAt_; ///< Time at which the first configuration was read.
    TimeMs confirmedAt_; ///< The configuration was known to be the newest at or after this time.
    std::optional<Departure> departure_;
    StopRecord stop_;
    StreamDurations streamDurations_;
    /// Of the services with requests in phase Sent, while leaving; renewed in each tick.
    std::map<ServiceName, std::optional<StreamEstimate>> streamEstimates_;

    EndpointFleet fleet_;
    PeerTable peers_;
    Quotas quotas_;
    GatewayRetryBudget retryBudget_;
    RetryLedger retryLedger_;
    std::set<CallerId> awaitingDraw_; ///< Requests with an `awaitedRetry`.
    TimeMs nextSharersAt_;
    int64_t retriesLoggedSecond_ = 0;
    UsageLedger usage_;
    std::vector<UsageHandOver> usageHandOvers_; ///< That are sent a second time.
    std::set<Incarnation> usageHandedTo_;
    TimeMs nextUsageNoticeAt_;
    DemandMeter demand_;
    EngineSpeeds speeds_;
    TimeMs nextSpeedUpdateAt_;
    std::map<ServiceName, TimeMs> pausedAt_; ///< Newest pause over the gap target, of each service.

    std::map<CallerId, Exchange> exchanges_;
    std::map<AttemptId, CallerId> attempts_;
    EndpointProbes endpointQuestions_;
    EndpointPaths paths_;
    RelayChoice relays_;
    RelayContacts relayContacts_;
    SilentEndpoints silentEndpoints_;
    std::map<ServiceName, ServiceContact> contacts_;
    Quarantine quarantine_;
    RolloutView rollouts_;
    TrialCounts trialCounts_;
    BaselineTimes baselineTimes_;
    std::map<ServiceName, Trial> trials_;
    TimeMs nextTrialCheckAt_; ///< Next check of the trials.
    TimeMs nextBrittleUpdateAt_;
    TimeMs nextCoordinatorCheckAt_; ///< Next search for the coordinators of limited endpoints.
    TimeMs nextShareRequestAt_;
    uint64_t shareRequestRound_ = 0;
    std::map<EndpointIncarnation, Address> coordinators_; ///< Other daemons that coordinate a limit.
    std::map<ServiceName, double> responseMs_; ///< Moving mean of the response time per service.
    std::map<uint64_t, CallerId> unitRequests_; ///< Open requests for units, with the waiting caller.
    std::set<std::tuple<Incarnation, bool, uint64_t>>
        transfersReceived_; ///< Sender, whether it is a deposit, number.
    uint64_t nextUnitRequest_ = 1;
    StreamOrigins origins_;
    EventSteps eventSteps_;
    VersionHistory versions_;
    std::map<uint64_t, CallerId> originSearches_; ///< Open searches, with the waiting caller.
    uint64_t nextOriginSearch_ = 1;
    std::vector<CallerId> awaitingStart_; ///< Arrived before the first reads of the store, in order.
    AdmissionQueue queue_;
    FairShares shares_;
    ReturnSchedule limitReturns_; ///< Of callers refused for their organisation's limit.
    std::map<ServiceName, ReturnSchedule> capacityReturns_; ///< Of callers refused for lack of capacity.
    /// Requests that yield to others (see `yieldsToOthers`) are not sent before this time.
    std::map<ServiceName, TimeMs> nextYieldingSendAt_;
    uint64_t nextAttempt_ = 1;
    uint64_t nextMigrationCall_ = 1;
    uint64_t reports_ = 0;
    size_t entryCount_ = 0; ///< Number of addresses in the newest entry answer.
    std::vector<Address>
        peerEntries_; ///< Received from a daemon that gets the reports of the serving daemons.
    TimeMs peerEntriesAt_;
    ServingRole servingRole_;
    TimeMs depositedAt_;
    uint64_t deposits_ = 0;
    std::vector<GatewayAction> actions_;
};

} // namespace cranberry
