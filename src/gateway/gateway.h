#pragma once

#include "common/random.h"
#include "gateway/decisionlog.h"
#include "gateway/duties/usagewindows.h"
#include "gateway/endpoints/endpointprobes.h"
#include "gateway/endpoints/quarantine.h"
#include "gateway/exchange.h"
#include "gateway/gatewaycounters.h"
#include "gateway/limits/quotas.h"
#include "gateway/peers/peertable.h"
#include "gateway/requests/admissionqueue.h"
#include "gateway/requests/gatewayretrybudget.h"
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
    RepeatLimits repeats;
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
    void onCallerGone(const RequestCallerGone &event, TimeMs now);

    // Events of endpoints.
    void onHead(const AttemptHead &event, TimeMs now);
    void onData(const AttemptData &event, TimeMs now);
    void onEnd(const AttemptEnd &event, TimeMs now);
    void onBroken(const AttemptBroken &event, TimeMs now);
    void onRunMoved(const RunMoved &event, TimeMs now);
    void onEngineProbed(const EngineProbed &event, TimeMs now);

    // Data from the store and the other daemons (sharedview.cpp).
    void onConfiguration(const ConfigurationRead &event, TimeMs now);
    void onEndpoints(const EndpointsRead &event, TimeMs now);
    void onRollouts(const RolloutsRead &read, TimeMs now);
    void onMembers(std::vector<MemberEntry> members, TimeMs now, size_t listed = 0);
    void onDutyHolder(const InstanceName &holder) { peers_.setDutyHolder(holder); }
    void onEntriesTold(const EntriesTold &event);
    void onPeerReport(const PeerReport &report, TimeMs now);
    void onQuotaAsk(const QuotaAsk &ask, const Address &from);
    void onQuotaGift(const QuotaGift &gift, TimeMs now);
    void onCrashNotice(const CrashNotice &notice, TimeMs now);
    void onLimitNotice(const LimitNotice &notice, TimeMs now);
    void onLimitAsk(const LimitAsk &ask, const Address &from, TimeMs now);
    void onLimitGrant(const LimitGrant &grant, TimeMs now);
    void onQuarantine(const std::vector<QuarantinedRequest> &list, VerdictSource source, TimeMs now);
    /// Returns the quarantined requests, for the store and for daemons that query them.
    const std::vector<QuarantinedRequest> &quarantine(TimeMs now);

    void tick(TimeMs now);
    /// The process was asked to stop, and exits at `endsAt` at the latest.
    void startLeaving(TimeMs now, TimeMs endsAt);

    std::vector<GatewayAction> takeActions() { return std::exchange(actions_, {}); }

    /// Returns whether it takes requests: its configuration was confirmed recently and it is not leaving.
    bool isReady(TimeMs now) const;
    bool isIdle() const { return exchanges_.empty(); }
    /// Returns the report for the other daemons. The caller fills in the wall-clock time, the CPU usage, and
    /// whether it can read the store.
    PeerReport report(bool whole, TimeMs now);
    /// Returns the demand on each service's engines, summed over all daemons whose reports are received.
    std::map<ServiceName, ServiceDemand> demand(TimeMs now) const;
    struct EntryAnswer {
        std::vector<Address> addresses;
        bool told
            = false; ///< Received from another daemon. It must not be forwarded, or it would never expire.
    };
    /// Returns what the leader needs to advance roll-outs, for each service that has a roll-out order or
    /// record.
    std::map<ServiceName, RolloutFacts> rolloutFacts(TimeMs now) const;
    const RolloutView &rollouts() const { return rollouts_; }
    /// Returns the addresses that callers shall connect to. `own`: this daemon, if it is ready.
    EntryAnswer callerAddresses(const EntryCandidate &own, double ownCoresUsed, TimeMs now);
    /// Returns whether this daemon serves, according to the entry answers given so far.
    bool serves() const { return servingRole_.serves(); }
    /// Returns whether other daemons need its reports: it serves, has requests, or has counts of a window
    /// that is not reported yet.
    bool hasNews(TimeMs now) const;

    const GatewayCounters &counters() const { return counters_; }
    const EndpointFleet &fleet() const { return fleet_; }
    const PeerTable &peers() const { return peers_; }
    UsageWindows &usage() { return usage_; }
    ServingConfigurationPtr configuration() const { return configuration_; }

private:
    /// A response that the gateway generates itself.
    struct OwnAnswer {
        int status = 503;
        GatewayRefusal reason = GatewayRefusal::Overloaded;
        DurationMs retryAfter{0}; ///< 0: no Retry-After header is sent.
    };

    // Checks of a request, when it is read and again when it leaves the queue.
    std::optional<OwnAnswer> judge(Exchange &exchange, TimeMs now) const;
    std::optional<OwnAnswer> judgeKey(Exchange &exchange, bool certain, TimeMs now) const;
    bool isFresh(TimeMs now, DurationMs bound) const;
    bool isStoreIncomplete(TimeMs now) const;
    bool knowsStore() const { return configuration_ && fleet_.known(); }
    void admit(Exchange &exchange, TimeMs now);
    void admitAwaiting(TimeMs now);
    bool endsBefore(const Exchange &exchange, TimeMs now) const;
    void refillQuotas(TimeMs now);

    // Organisations' limits (limits.cpp).
    enum class LimitOutcome : uint8_t { Within, Waits, Refused };
    LimitOutcome takeQuota(Exchange &exchange, bool mayAsk, TimeMs now);
    bool isStillMeeting(TimeMs now) const;
    void awaitLimit(Exchange &exchange, TimeMs now);
    bool askForUnits(Exchange &exchange, double missing, TimeMs now);
    void goOnWithinLimit(Exchange &exchange, TimeMs now);
    void tickLimits(TimeMs now);
    void deposit(TimeMs now);
    bool isAmong(const std::vector<const MemberEntry *> &members) const;
    QuotaRole quotaRole(const OrganisationName &organisation, TimeMs now) const;
    ServiceName pickService(const Exchange &exchange) const;

    // Waiting for a free slot at an endpoint (waiting.cpp).

    /// Prefill rate of a service's engines. Computed once per pass of the queue for all its waiting requests,
    /// since it requires counting the endpoints.
    struct ReadingPace {
        ReadingSpeed speed;
        int64_t engines = 1;
        int64_t daemons = 1;

        /// Returns the time until an idle engine sends the request's first event. Shared prompt parts are
        /// assumed to be cached.
        DurationMs readingTime(const CallerRequest &request) const;
        /// Returns the time in which all engines together process this much prefill for each daemon.
        DurationMs drainTime(DurationMs reading) const { return reading * daemons / engines; }
    };
    void dispatch(Exchange &exchange, TimeMs now);
    /// Sends the request, or returns why it can't be sent now.
    std::optional<PlacementProblem> trySend(Exchange &exchange, TimeMs now);
    void runQueue(TimeMs now);
    double mostWaitMs(const Exchange &exchange, TimeMs now) const;
    ReadingPace readingPace(const ServiceName &service, TimeMs now) const;
    DurationMs expectedWait(const Exchange &exchange, TimeMs now) const;
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
    bool isHopeless(const Exchange &exchange, TimeMs now) const;
    DurationMs retryAfter(DurationMs least);

    // Sending.
    void send(Exchange &exchange, const PlacementQuestion &question, const PlacementChoice &choice,
              TimeMs now, const std::optional<RunMemory> &memory = std::nullopt);
    PlacementQuestion questionOf(const Exchange &exchange) const;

    // Roll-outs (trials.cpp).
    struct Trial {
        SoftwareVersion target;
        int64_t beganWallMs = 0;
        RolloutStage stage = RolloutStage::Starting;
        VersionJudge judge;
        bool isSuspected = false;
        uint32_t loadSent = 0; ///< Load requests that this daemon sent.
    };
    int64_t wallAt(TimeMs now) const; ///< Wall-clock time in Unix milliseconds.
    void noteVersions(const EndpointsRead &read);
    /// Selects an endpoint of a version that the request may be sent to.
    PlacementResult place(Exchange &exchange, PlacementQuestion &question, TimeMs now);
    PlacementResult placeByVersion(Exchange &exchange, PlacementQuestion &question, TimeMs now);
    PlacementResult placeAtTarget(const RolloutView::Rule &rule, PlacementQuestion question,
                                  std::set<EndpointId> among, TimeMs now) const;
    PlacementResult placeAsLoad(Exchange &exchange, const RolloutView::Rule &rule, PlacementQuestion question,
                                TimeMs now);
    std::set<EndpointId> trialEndpoints(const Exchange &exchange, const RolloutView::Rule &rule) const;
    bool mayLoad(const Exchange &exchange, const PlacementQuestion &question, const RolloutView::Rule &rule,
                 TimeMs now) const;
    void noteAnswers(const Exchange &exchange, const FleetEndpoint &endpoint, bool bad);
    bool isOnTrial(const FleetEndpoint &endpoint) const;
    uint32_t groupOf(const FleetEndpoint &endpoint) const; ///< Index in the counts of a trial.
    void noteStep(const Exchange &exchange, UsualTimes::Step step, double time, double least);
    double expectedFirstEventMs(const Exchange &exchange, const PlacementChoice &choice) const;
    static double firstEventTimes(const Exchange &exchange, TimeMs now);
    bool isMoving(const ServiceName &service) const;
    void noteLoad(Exchange &exchange, const EngineFigures &engine, const EndpointId &at);
    void noteFirstEvent(Exchange &exchange, TimeMs now);
    void noteEventPace(Exchange &exchange, TimeMs now);
    void noteWholeAnswer(Exchange &exchange, TimeMs now);
    void noteBadAnswer(Exchange &exchange, bool broke, TimeMs now);
    void noteOverdue(TimeMs now);
    void tickTrials(TimeMs now);

    // Outcomes of attempts (attempts.cpp).
    void detach(Exchange &exchange);
    void cancelAttempt(Exchange &exchange);
    bool mayRepeat(const Exchange &exchange) const;
    double slackShare(TimeMs now) const;
    bool repeat(Exchange &exchange, GatewayRetry reason, TimeMs now);
    /// Cancels an attempt and treats it as failed; the endpoint may already have run the request.
    void cancelBroken(AttemptId attempt, TimeMs now);
    void onRejected(Exchange &exchange, TimeMs now);
    void passWholeAnswer(Exchange &exchange, TimeMs now);
    bool passEvents(Exchange &exchange, TimeMs now);
    void attemptFailed(Exchange &exchange, bool sent, TimeMs now);
    void closeBroken(Exchange &exchange, bool sent, TimeMs now);
    void goOnAfterBreak(Exchange &exchange, bool sent, TimeMs now);
    void leaveSilentEndpoints(TimeMs now);
    bool canGoOnElsewhere(Exchange &exchange, TimeMs now);

    // Endpoints that exit while they process requests (endpointends.cpp).

    /// Returns true if the request has to wait for the result of a probe of the endpoint.
    bool noteBroken(const Exchange &exchange, TimeMs now);
    void onProcessKnown(const EngineProbed &event, TimeMs now);
    void noteEnd(const EndpointQuestions::Answered &question, TimeMs now);
    void noteAnswered(const Exchange &exchange, TimeMs now);
    void noteQuarantined(const std::vector<RequestDigest> &requests, VerdictSource source, TimeMs now);
    void endQuarantinedAttempts(RequestDigest request, TimeMs now);
    bool isQuarantined(const Exchange &exchange, TimeMs now) const;
    OwnAnswer quarantineAnswer(const Exchange &exchange, TimeMs now) const;
    void tellOfSuspects(TimeMs now);
    void tellNewServing(TimeMs now);
    void tell(const std::vector<const MemberEntry *> &members, const CrashNotice &notice);

    // Endpoints with a limited request rate (endpointlimits.cpp).
    void noteLimit(const Exchange &exchange, TimeMs now);
    void tickEndpointLimits(TimeMs now);
    void findCoordinators(const std::vector<FleetEndpoint *> &limited, TimeMs now);
    void spreadWaiting(const std::vector<FleetEndpoint *> &limited, TimeMs now);
    void askForShares(const std::vector<FleetEndpoint *> &limited, TimeMs now);
    void shareOut(const EndpointLife &endpoint, TimeMs now);
    void tellOfLimits(const std::vector<FleetEndpoint *> &limited, TimeMs now);
    void tellNewServingOfLimits(TimeMs now);
    void tell(const std::vector<const MemberEntry *> &members, const std::vector<LimitWord> &words);
    static boost::json::object limitFields(const FleetEndpoint &endpoint, TimeMs now);

    // Generations on leaving engines (migrations.cpp).
    void probeEngines(TimeMs now);
    void moveRunsAway(TimeMs now);
    bool isTooLateToStart(const Exchange &exchange, TimeMs now) const;
    bool isWorthMoving(const Exchange &exchange, TimeMs now) const;
    /// Returns when the endpoint exits or has to be empty, as far as that is known.
    std::optional<TimeMs> emptyBy(const FleetEndpoint &endpoint, TimeMs now) const;
    void startMove(Exchange &exchange, TimeMs now);
    void goOnAtTarget(Exchange &exchange, TimeMs now);
    void moveFailed(Exchange &exchange, TimeMs now);
    void streamBroke(Exchange &exchange, TimeMs now);
    void noteStarted(Exchange &exchange, TimeMs at);

    // Final responses.
    void answer(Exchange &exchange, const OwnAnswer &own, TimeMs now);
    /// `capacityAfter`: time until capacity is expected, as far as that is known.
    void giveUp(Exchange &exchange, GatewayRefusal reason, TimeMs now, DurationMs comeBackAfter = {0});
    void timeOut(Exchange &exchange, TimeMs now);
    void finish(Exchange &exchange);
    void log(LogWeight weight, const char *event, const Exchange &exchange, boost::json::object fields) const;

    Exchange *byAttempt(AttemptId attempt);

    GatewaySettings settings_;
    DecisionLog &log_;
    Random random_;
    GatewayCounters counters_;

    ServingConfigurationPtr configuration_;
    TimeMs startedAt_; ///< Time at which the first configuration was read.
    TimeMs confirmedAt_; ///< The configuration was known to be the newest at or after this time.
    std::optional<TimeMs> leavingSince_;
    TimeMs endsAt_; ///< Valid if `leavingSince_` is set.

    EndpointFleet fleet_;
    PeerTable peers_;
    Quotas quotas_;
    RepeatBudget repeats_;
    UsageWindows usage_;
    DemandMeter demand_;

    std::map<CallerId, Exchange> exchanges_;
    std::map<AttemptId, CallerId> attempts_;
    EndpointQuestions endpointQuestions_;
    Quarantine quarantine_;
    RolloutView rollouts_;
    TrialCounts trialCounts_;
    UsualTimes usualTimes_;
    std::map<ServiceName, Trial> trials_;
    TimeMs trialsAt_; ///< Next check of the trials.
    TimeMs coordinatorsAt_; ///< Next search for the coordinators of limited endpoints.
    TimeMs askRoundAt_;
    uint64_t askRound_ = 0;
    std::map<EndpointLife, Address> coordinators_; ///< Other daemons that coordinate a limit.
    std::map<ServiceName, double> answerMs_; ///< Moving mean of the response time per service.
    std::map<uint64_t, CallerId> limitAsks_; ///< Open requests for units, with the waiting caller.
    std::set<std::tuple<Incarnation, bool, uint64_t>>
        giftsTaken_; ///< Sender, whether it is a deposit, number.
    uint64_t nextAsk_ = 1;
    std::vector<CallerId> awaitingStart_; ///< Arrived before the first reads of the store, in order.
    AdmissionQueue queue_;
    std::map<ServiceName, TimeMs> lateAt_; ///< Requests past their latency target are not sent before.
    uint64_t nextAttempt_ = 1;
    uint64_t reports_ = 0;
    size_t entryCount_ = 0; ///< Number of addresses in the newest entry answer.
    std::vector<Address>
        toldEntries_; ///< Received from a daemon that gets the reports of the serving daemons.
    TimeMs toldEntriesAt_;
    ServingRole servingRole_;
    TimeMs depositedAt_;
    uint64_t deposits_ = 0;
    std::vector<GatewayAction> actions_;
};

} // namespace cranberry
