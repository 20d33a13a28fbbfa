#pragma once

#include "gateway/endpoints/endpointfleet.h"
#include "gateway/gatewaycounters.h"
#include "gateway/requests/eventstream.h"
#include "gateway/requests/streamend.h"

namespace cranberry {

/// Role of an attempt in the trial of a version.
enum class TrialRole : uint8_t {
    Ordinary,
    AddsLoad, ///< Brings an endpoint to the trial load; its own response is not evaluated.
    Loaded ///< The endpoint has the load that the trial requires.
};

/// Why a generation is migrated.
enum class MigrationReason : uint8_t {
    EngineLeaves,
    EngineSilent ///< Its engine sends nothing, but is reached.
};

/// Migration of a generation from its engine to another one.
struct GenerationMigration {
    EndpointIncarnation target;
    Address source;
    MigrationReason reason = MigrationReason::EngineLeaves;
    TimeMs startedAt;
    MigrationStep step = MigrationStep::Copy;
    TimeMs stepSince;
    uint32_t calls = 0; ///< Made in this step.
    TimeMs calledAt; ///< Time of the newest call.
    std::set<MigrationCallId> openCalls;
    std::optional<std::string> handle; ///< Of the copy at the target; set in step Stop.
    bool isStopped = false; ///< By the word of the source.
    bool hasEnded = false; ///< The source does not know the generation any more.
    std::optional<StreamEnd> sourceEnd; ///< How the stream has ended at the source, as it does when it stops.
    TimeMs sourceEndedAt;

    bool isStopping() const { return step == MigrationStep::Stop; }
};

/// Question whether the process of an endpoint outlived the end of a response that states no end.
enum class ProcessCheck : uint8_t { NotAsked, Asked, RanOn };

/// A generation that was stopped for its migration and is still in the memory of its engine.
struct KeptGeneration {
    EndpointIncarnation source;
    MigratedKvCache kvCache;
};

/// Search for the origin of a stream among the other daemons.
struct OriginSearch {
    uint64_t number = 0; ///< Of the StreamOriginQuery.
    std::set<Address> silent; ///< Daemons that have not replied.
    VersionsSeen versions; ///< As those that replied have seen them.
    TimeMs startedAt;
    TimeMs repeatAt;
};

/// One request of a caller, from its arrival to its final response.
struct Exchange {
    CallerId caller;
    CallerRequestPtr request;
    ServingConfigurationPtr configuration; ///< Used for the last check of the request; keeps `route` valid.
    const Route *route = nullptr;
    ServiceName service;
    OrganisationName organisation;
    std::string key;
    RequestDigest digest; ///< Set once its organisation is known.
    std::vector<RequestDigest> parts; ///< Of the prompt parts that it shares with other requests, in order.
    uint32_t priority = 0;
    double quotaUnits = 0; ///< Units taken from the organisation's limit.

    TimeMs arrivedAt;
    TimeMs callerWaitsUntil;
    TimeMs timeoutAt; ///< The final response is due at this time.
    ExchangePhase phase = ExchangePhase::Arrived;
    TimeMs phaseSince;
    TimeMs inTimeUntil; ///< If it is sent to an engine later, its first event misses the latency target.
    uint64_t unitRequest = 0; ///< Number of the QuotaRequest in phase AwaitingLimit.
    TimeMs unitRequestUntil;
    bool requestedUnits = false;
    uint32_t limitWaits = 0; ///< Number of waits for units so far.
    bool mayHaveRun = false; ///< An attempt may have reached an endpoint that runs the request.
    bool countedForUsage = false;
    uint32_t sends = 0; ///< Number of sends after which an endpoint may have run the request.
    uint32_t rejections = 0; ///< Number of endpoints that stated that they did not run the request.
    std::set<EndpointId> tried;

    std::optional<GatewayRetry> awaitedRetry; ///< It waits for a draw of retries to be sent again.
    std::optional<TimeMs> drawUntil; ///< End of all its waits for draws since the last send.

    std::set<EndpointId> unsentTo; ///< Endpoints in `tried` that nothing was sent to.
    std::optional<Address> relay; ///< Daemon that carries the open attempt.
    std::set<Address> triedRelays;
    uint32_t relayedSends = 0;
    bool needsRelay = false; ///< This daemon's own connections for this request failed.

    AttemptId attempt;
    EndpointIncarnation sentTo; ///< Endpoint of the open attempt, else of the last one.
    SoftwareVersion sentVersion; ///< Version of that endpoint, as listed when the attempt was sent.
    TimeMs sentAt;
    bool streaming = false; ///< The first event of this attempt was received.
    uint64_t prefillTokens = 0; ///< Prefill tokens that are still counted at the endpoint.
    std::optional<KvFetch> fetch; ///< Transfer that is still counted at this attempt's endpoint.
    std::set<EndpointIncarnation> fetchSources; ///< Engines that earlier attempts fetched parts from.
    double expectedMs = 0; ///< Expected time to the first event if nothing of the prompt is cached.
    /// Time to the first event that is predicted at the service's usual speed; 0: it shows no engine's speed.
    double usualFirstEventMs = 0;
    uint64_t contextTokens = 0; ///< Counted at the endpoint, without shared prompt parts.
    bool foundNoQueue = false; ///< No queue was known at the endpoint when the attempt was sent.
    AttemptHead head;
    ProcessCheck processCheck = ProcessCheck::NotAsked;
    std::string body; ///< Body of a response that is buffered until it is complete.
    EventSplitter splitter;
    std::optional<uint64_t> lastEvent; ///< Last event that the caller has, from this daemon or from before.
    /// Software version of the process that made the stream's first event. Only endpoints of this version
    /// continue it: what two versions write does not fit together.
    std::optional<SoftwareVersion> streamVersion;
    std::optional<StreamKey> stream; ///< Unset for a resumption whose caller does not name the stream.
    std::optional<OriginSearch> originSearch; ///< Set in phase AwaitingOrigin.
    ResponseFraming callerFraming = ResponseFraming::Stated; ///< Of the stream that the caller receives.
    TimeMs callerFirstEventAt; ///< Time of the first event of all attempts.
    TimeMs newestEventAt;
    DurationMs longestPause; ///< Between two events, also of different attempts.
    TimeMs firstEventAt; ///< Time of this attempt's first event.
    bool hasProvenParts = false; ///< This attempt has shown that its endpoint writes on them.
    uint64_t attemptEvents = 0; ///< Number of events in this attempt.
    bool startIsEvaluated = false; ///< This attempt's first event, response or failure is counted in a trial.
    bool eventIntervalIsEvaluated = false; ///< This attempt's event interval is counted in a trial.
    TrialRole trialRole = TrialRole::Ordinary; ///< Role of this attempt.
    uint64_t events = 0; ///< Number of events in all attempts.
    uint64_t eventsMade = 0; ///< Number that its generation had made when it moved; 0: not known.
    bool hasEventsWithoutId = false;
    bool isLate = false; ///< The first event or a pause missed its target.
    std::optional<GenerationMigration> migration;
    StopState stop = StopState::NotAsked; ///< Of this attempt's generation, but for the open migration.
    std::optional<KeptGeneration> kept; ///< Until another attempt continues it.
    bool hasMoveUnit = false; ///< A unit of the retry budget for the next send to another engine.
    bool migrationDenied = false; ///< The retry budget was used up; logged once.
    std::set<EndpointId> migrationTargets; ///< Targets tried so far.
    std::optional<uint64_t> eventStep; ///< Difference of the ids of two consecutive events.
    std::optional<TimeMs> expectedEndAt; ///< As predicted at the newest send after a stop signal.

    /// Its engine was asked to stop it, for a copy that can be continued.
    bool isStoppingForMove() const { return migration && migration->isStopping(); }
    /// Going on in the same phase does not change `phaseSince`.
    void enter(ExchangePhase next, TimeMs now)
    {
        phaseSince = next == phase ? phaseSince : now;
        phase = next;
    }
};

} // namespace cranberry
