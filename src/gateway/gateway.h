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

/// What the gateway needs of the deployment's settings.
struct GatewaySettings {
    InstanceName instance;
    Incarnation incarnation;
    FailureDomainName failureDomain;
    DurationMs revokeBound{5000}; ///< A removed key is dead everywhere after this.
    DurationMs configurationBound{2000}; ///< A configuration is in force everywhere after this.
    RepeatLimits repeats;
    QuotaTolerance quotaTolerance;
    DurationMs usageWindow{5000};
    DurationMs drainTime{2000}; ///< A leaving endpoint serves on for so long at least.
    uint64_t seed = 1;
};

/// Serves callers' requests at the endpoints of the configuration in force.
///
/// No sockets, no threads, no clock: each call gets the time and leaves its actions in `takeActions()`.
class Gateway
{
public:
    Gateway(const GatewaySettings &settings, DecisionLog &log);
    /// Takes over changed bounds and tolerances; identity and window stay as they were at the start.
    void applyBounds(const GatewaySettings &settings);

    // Callers.
    void onRequest(const RequestArrived &event, TimeMs now);
    void onCallerGone(const RequestCallerGone &event, TimeMs now);

    // Endpoints.
    void onHead(const AttemptHead &event, TimeMs now);
    void onData(const AttemptData &event, TimeMs now);
    void onEnd(const AttemptEnd &event, TimeMs now);
    void onBroken(const AttemptBroken &event, TimeMs now);
    void onRunMoved(const RunMoved &event, TimeMs now);
    void onEngineProbed(const EngineProbed &event, TimeMs now);

    // The store and the other daemons (sharedview.cpp).
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
    /// The requests that are kept from endpoints, for the store and the daemons that ask.
    const std::vector<QuarantinedRequest> &quarantine(TimeMs now);

    void tick(TimeMs now);
    /// The process was told to stop, and ends at `endsAt` at the latest.
    void startLeaving(TimeMs now, TimeMs endsAt);

    std::vector<GatewayAction> takeActions() { return std::exchange(actions_, {}); }

    /// Takes requests: has a configuration that was confirmed lately, and does not leave.
    bool isReady(TimeMs now) const;
    bool isIdle() const { return exchanges_.empty(); }
    /// What is told to the other daemons; the caller fills in its time of day, its use of
    /// the processor, and whether it can read the store.
    PeerReport report(bool whole, TimeMs now);
    /// Demand on each service's engines, of all daemons that are heard.
    std::map<ServiceName, ServiceDemand> demand(TimeMs now) const;
    struct EntryAnswer {
        std::vector<Address> addresses;
        bool told = false; ///< By another daemon: it is not to be passed on, or it would never grow old.
    };
    /// What the duties' holder needs to take roll-outs on: of each service that has an order or a record.
    std::map<ServiceName, RolloutFacts> rolloutFacts(TimeMs now) const;
    const RolloutView &rollouts() const { return rollouts_; }
    /// Where callers are to connect. `own`: this daemon, if it is ready.
    EntryAnswer callerAddresses(const EntryCandidate &own, double ownCoresUsed, TimeMs now);
    /// Whether this daemon serves, by the answers given so far.
    bool serves() const { return servingRole_.serves(); }
    /// Others wait for its reports: it serves, has work, or has counts of a window that is not reported yet.
    bool hasNews(TimeMs now) const;

    const GatewayCounters &counters() const { return counters_; }
    const EndpointFleet &fleet() const { return fleet_; }
    const PeerTable &peers() const { return peers_; }
    UsageWindows &usage() { return usage_; }
    ServingConfigurationPtr configuration() const { return configuration_; }

private:
    /// Answers that the gateway makes itself.
    struct OwnAnswer {
        int status = 503;
        GatewayRefusal reason = GatewayRefusal::Overloaded;
        DurationMs retryAfter{0}; ///< 0: none is sent.
    };

    // Judging a request: once when it is read, again when it leaves the queue.
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

    // Waiting for room at an endpoint (waiting.cpp).

    /// How fast a service's engines read. Found out once for all requests that wait for it: the endpoints are
    /// counted for that.
    struct ReadingPace {
        ReadingSpeed speed;
        int64_t engines = 1;
        int64_t daemons = 1;

        /// Until an engine that begins with it at once has sent its first event. Shared parts are taken for
        /// cached.
        DurationMs readingTime(const CallerRequest &request) const;
        /// In which all engines together do so much reading for each daemon.
        DurationMs drainTime(DurationMs reading) const { return reading * daemons / engines; }
    };
    void dispatch(Exchange &exchange, TimeMs now);
    /// Sends the request, or says why it can't be sent now.
    std::optional<PlacementProblem> trySend(Exchange &exchange, TimeMs now);
    void runQueue(TimeMs now);
    double mostWaitMs(const Exchange &exchange, TimeMs now) const;
    ReadingPace readingPace(const ServiceName &service, TimeMs now) const;
    DurationMs expectedWait(const Exchange &exchange, TimeMs now) const;
    /// Requests that wait here for endpoints that all name limits.
    struct LimitedQueue {
        std::optional<ServiceLimit> limit; ///< Empty: not all do.
        size_t own = 0;
        size_t position = 0; ///< Reached in a walk through the queue.

        /// Until the request at that position, from 1 on, is at the head of all that wait.
        DurationMs waitAt(size_t position) const;
    };
    LimitedQueue limitedQueue(const ServiceName &service, TimeMs now) const;
    /// Refuses a request that these endpoints can't take in its time. True if it did.
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
        uint32_t loadSent = 0; ///< By this daemon.
    };
    int64_t wallAt(TimeMs now) const; ///< True time: Unix milliseconds.
    void noteVersions(const EndpointsRead &read);
    /// Chooses an endpoint of a version that the request may go to.
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
    uint32_t groupOf(const FleetEndpoint &endpoint) const; ///< In the counts of a trial.
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

    // Ends of attempts (attempts.cpp).
    void detach(Exchange &exchange);
    void cancelAttempt(Exchange &exchange);
    bool mayRepeat(const Exchange &exchange) const;
    double slackShare(TimeMs now) const;
    bool repeat(Exchange &exchange, GatewayRetry reason, TimeMs now);
    /// Ends an attempt whose rest is of no use; what was sent may have run.
    void cancelBroken(AttemptId attempt, TimeMs now);
    void onRejected(Exchange &exchange, TimeMs now);
    void passWholeAnswer(Exchange &exchange, TimeMs now);
    bool passEvents(Exchange &exchange, TimeMs now);
    void attemptFailed(Exchange &exchange, bool sent, TimeMs now);
    void closeBroken(Exchange &exchange, bool sent, TimeMs now);
    void goOnAfterBreak(Exchange &exchange, bool sent, TimeMs now);
    void leaveSilentEndpoints(TimeMs now);
    bool canGoOnElsewhere(Exchange &exchange, TimeMs now);

    // Endpoints that end under their requests (endpointcrashes.cpp).

    /// True if the request is to go on only when the endpoint has answered.
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

    // Endpoints that take only so many requests a second (endpointlimits.cpp).
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

    // Runs on leaving engines (migrations.cpp).
    void probeEngines(TimeMs now);
    void moveRunsAway(TimeMs now);
    bool isTooLateToStart(const Exchange &exchange, TimeMs now) const;
    bool isWorthMoving(const Exchange &exchange, TimeMs now) const;
    /// When the endpoint ends or is to be empty, as far as that is known.
    std::optional<TimeMs> emptyBy(const FleetEndpoint &endpoint, TimeMs now) const;
    void startMove(Exchange &exchange, TimeMs now);
    void goOnAtTarget(Exchange &exchange, TimeMs now);
    void moveFailed(Exchange &exchange, TimeMs now);
    void streamBroke(Exchange &exchange, TimeMs now);
    void noteStarted(Exchange &exchange, TimeMs at);

    // Ends of exchanges.
    void answer(Exchange &exchange, const OwnAnswer &own, TimeMs now);
    /// `comeBackAfter`: when there may be room, as far as that is known.
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
    TimeMs startedAt_; ///< When its first configuration came.
    TimeMs confirmedAt_; ///< The configuration was the newest at or after this time.
    std::optional<TimeMs> leavingSince_;
    TimeMs endsAt_; ///< With `leavingSince_`.

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
    TimeMs trialsAt_; ///< Next look.
    TimeMs coordinatorsAt_; ///< Next look at who shares out what limited endpoints take.
    TimeMs askRoundAt_;
    uint64_t askRound_ = 0;
    std::map<EndpointLife, Address> coordinators_; ///< Other daemons that do.
    std::map<ServiceName, double> answerMs_; ///< Moving mean of a whole answer's time at a service.
    std::map<uint64_t, CallerId> limitAsks_; ///< Open questions for units, with who waits.
    std::set<std::tuple<Incarnation, bool, uint64_t>> giftsTaken_; ///< Giver, deposit or not, number.
    uint64_t nextAsk_ = 1;
    std::vector<CallerId> awaitingStart_; ///< Came before the first reads of the store, in order.
    AdmissionQueue queue_;
    std::map<ServiceName, TimeMs> lateAt_; ///< Requests that are late anyway are not sent before.
    uint64_t nextAttempt_ = 1;
    uint64_t reports_ = 0;
    size_t entryCount_ = 0; ///< Of the newest entry answer.
    std::vector<Address> toldEntries_; ///< By another daemon, which hears those that serve.
    TimeMs toldEntriesAt_;
    ServingRole servingRole_;
    TimeMs depositedAt_;
    uint64_t deposits_ = 0;
    std::vector<GatewayAction> actions_;
};

} // namespace cranberry
