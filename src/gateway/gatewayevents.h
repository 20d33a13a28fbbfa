#pragma once

#include "common/closecause.h"
#include "common/fields.h"
#include "gateway/callerrequest.h"
#include "gateway/duties/usageledger.h"
#include "gateway/requests/requestdigest.h"
#include "gateway/rollout/rollout.h"
#include "gateway/serving.h"

#include <map>
#include <variant>

namespace cranberry {

/// Name of an endpoint. A restarted endpoint may keep its name.
using EndpointId = Name<struct EndpointIdTag>;

/// Start time of an endpoint's process as the endpoint states it, in Unix milliseconds. 0: not stated. It is
/// only compared with other start times of the same endpoint, never with the local clock.
struct EndpointStartTime {
    int64_t unixMs = 0;
    friend constexpr std::strong_ordering operator<=>(EndpointStartTime, EndpointStartTime) = default;
};

/// One incarnation of an endpoint, from the start of its process to its exit. No state survives into the
/// next.
struct EndpointIncarnation {
    EndpointId id;
    EndpointStartTime start;
    friend std::strong_ordering operator<=>(const EndpointIncarnation &, const EndpointIncarnation &)
        = default;
};

/// An entry of the endpoint list.
struct EndpointEntry {
    EndpointId id;
    EndpointStartTime start;
    bool readable = true; ///< False: the entry in the store can't be parsed; only `id` is known.
    ServiceName service;
    Address address;
    FailureDomainName failureDomain;
    SoftwareVersion version;
    uint32_t slots = 1;
    bool leaving = false;
    bool reclaimable = false; ///< Cheaper, but its whole failure domain may be reclaimed.
    std::optional<DurationMs> leavesAfter; ///< Time until it exits; known for reclaimed endpoints.
};

/// A rate in requests per second.
struct RequestRate {
    double perSecond = 0;
    friend constexpr std::partial_ordering operator<=>(RequestRate, RequestRate) = default;
};

// ---- Inputs of the gateway ----

struct RequestArrived {
    CallerId caller;
    CallerRequestPtr request;
};

struct RequestCallerGone {
    CallerId caller;
    CloseCause cause = CloseCause::ClientClosed;
};

/// What an endpoint says of itself in a response.
struct EndpointNotice {
    std::optional<DurationMs> rest; ///< It wants nothing from this daemon for so long.
    std::optional<FieldError> restError; ///< The time that it asks for can't be parsed.
    bool leaving = false;
};

/// Status line and headers of an endpoint's response.
struct AttemptHead {
    AttemptId attempt;
    int status = 0;
    HttpHeaders headers; ///< Headers that are forwarded to the caller.
    bool notExecuted = false; ///< The endpoint states that it did not run the request.
    bool wrongInstance = false; ///< Another endpoint runs at that address.
    bool matchesRequest = true; ///< The response carries the id of this request.
    bool eventStream = false;
    /// The response has neither a length nor chunks and ends with its connection: where it was cut short
    /// looks like its end.
    bool isUnframed = false;
    std::optional<RequestRate> limit; ///< Maximum rate that the endpoint accepts from all daemons together.
    std::optional<FieldError> limitError; ///< The stated limit can't be parsed.
    /// The endpoint crashes if it has to reject more requests than this in a second for lack of room.
    std::optional<uint32_t> maxRejections = std::nullopt;
    std::optional<FieldError> maxRejectionsError = std::nullopt; ///< It can't be parsed.
    EndpointNotice notice = {};
};

struct AttemptData {
    AttemptId attempt;
    std::string bytes;
};

struct AttemptEnd { ///< The response is complete according to its HTTP framing.
    AttemptId attempt;
};

/// Number of a call to an engine that copies a generation's KV cache.
struct MigrationCallId {
    uint64_t value = 0;
    friend constexpr std::strong_ordering operator<=>(MigrationCallId, MigrationCallId) = default;
};

/// What is asked of the engine of a generation that is to be migrated, in this order. It is asked to stop
/// only once the copy at the target can be named, so that no missing reply loses the generation.
enum class MigrationStep : uint8_t {
    Copy, ///< Copy the KV cache, and run on.
    Stop ///< Stop, and copy what the copy lacks.
};

/// Outcome of a call to copy a generation's KV cache to another engine.
enum class MigrationOutcome : uint8_t {
    Migrated, ///< Its KV cache is at the target; if it was to stop, it has.
    NoSuchGeneration, ///< The generation has not started or is complete.
    NoCapacity, ///< Its KV cache is only at the source; if it was to stop, it has.
    Refused, ///< Another call is in progress.
    NoReply, ///< If it was to stop, it may have.
    Unreached ///< The engine was not asked.
};

struct GenerationMigrated {
    AttemptId attempt; ///< Attempt whose generation was to be migrated.
    MigrationOutcome outcome = MigrationOutcome::NoReply;
    std::string handle; ///< Identifies the KV cache at the target; valid once.
    std::optional<uint64_t> eventsMade = std::nullopt; ///< By the generation until the copy, or its stop.
    MigrationCallId call;
    MigrationStep step = MigrationStep::Copy;
};

const char *toText(MigrationOutcome outcome);
const char *toText(MigrationStep step);

/// Why a new connection could not be established.
enum class ConnectFailure : uint8_t {
    None, ///< It was established.
    Refused,
    TimedOut ///< Or failed otherwise, without an answer from the endpoint's instance.
};

/// Why a relay, i.e. another daemon, did not pass a request on to an endpoint. Nothing was sent to it.
enum class RelayFailure : uint8_t {
    None,
    Unavailable, ///< The relay was not reached or did not accept the request.
    EndpointUnreached ///< The relay does not reach the endpoint either.
};

/// Result of a probe of an endpoint's process.
enum class EndpointProcess : uint8_t {
    Unknown, ///< No reply: the endpoint may be unreachable, frozen or without power.
    Running, ///< It replied, whatever the reply was.
    Closed, ///< It accepted the connection and closed it without a reply.
    Exited ///< The instance is up and refuses the connection: no process listens there.
};

/// An engine's report of its own state, or a failed probe.
struct EngineProbed {
    EndpointId endpoint;
    EndpointStartTime start;
    bool answered = false; ///< A valid report was received; the other fields are from it.
    bool leaving = false;
    std::optional<DurationMs> leavesAfter;
    EndpointProcess process = EndpointProcess::Unknown;
    bool afterConnectionFailure = false; ///< Copied from the ProbeEngine action.
    bool isRepeat = false; ///< Copied from the ProbeEngine action.
    ConnectFailure connect = ConnectFailure::None; ///< Of this daemon's own connection.
    std::optional<Address> relay = std::nullopt; ///< Copied from the ProbeEngine action.
    RelayFailure relayFailure = RelayFailure::None;
    EndpointNotice notice = {}; ///< Of the reply, if there was one.
};

struct AttemptConnectionFailed {
    AttemptId attempt;
    bool sent = true; ///< False: no byte of the request was sent to the endpoint.
    ConnectFailure connect = ConnectFailure::TimedOut; ///< Valid if nothing was sent without a relay.
    RelayFailure relay = RelayFailure::None;
};

/// A new connection to an endpoint was established or failed, for an attempt or for a probe.
struct EndpointConnected {
    EndpointId endpoint;
    ConnectFailure failure = ConnectFailure::None;
    bool isProbe = false; ///< Outcome of a ProbePath action.
};

/// Outcome of a ProbeRelay action.
struct RelayProbed {
    Address relay;
    bool answered = false;
};

/// An endpoint that exited while it processed a request.
struct EndpointCrash {
    RequestDigest request;
    EndpointIncarnation endpoint;
    bool hadStreamed = false; ///< It had streamed events for a while before.
    /// Shared parts of the request's prompt, in order, of which the reporting daemon has no proof.
    std::vector<RequestDigest> parts = {};
    SoftwareVersion version = {}; ///< Of the endpoint.
};

/// Prompt parts on which endpoints of a version write answers without crashing.
struct ProvenParts {
    SoftwareVersion version;
    std::vector<RequestDigest> parts;
};

/// A request, or all requests with a prompt part, that are sent to no endpoint, as stored and as sent to
/// daemons that query it.
struct QuarantinedRequest {
    RequestDigest request;
    int64_t untilWallMs = 0; ///< Wall-clock time in Unix milliseconds.

    friend bool operator==(const QuarantinedRequest &, const QuarantinedRequest &) = default;
};

/// Sent by a daemon to the other serving daemons: endpoints that exited while they processed its requests,
/// those of the requests that were answered since, and requests in quarantine. If a notice is lost, at most
/// one more endpoint crashes.
struct CrashNotice {
    std::vector<EndpointCrash> crashes;
    std::vector<RequestDigest> answered;
    std::vector<QuarantinedRequest> quarantined;
    std::vector<ProvenParts> proven = {}; ///< That others suspect.
};

/// The request rate that an endpoint stated to accept from all daemons together.
struct LimitUpdate {
    EndpointIncarnation endpoint;
    std::optional<RequestRate> limit; ///< Empty: no longer limited.
    uint32_t responsesWithoutLimit = 0; ///< Consecutive responses since then that stated no limit.
    DurationMs age; ///< Time since the limit was received.
    DurationMs knownFor; ///< Time since the endpoint first stated a limit.
};

/// Limit updates that a daemon sends to the other serving daemons.
struct LimitNotice {
    std::vector<LimitUpdate> updates;
};

/// Request for a share of an endpoint's limit, sent to the daemon that coordinates this limit. States how
/// many of the sender's requests wait for the endpoint.
struct LimitShareRequest {
    EndpointIncarnation endpoint;
    uint64_t number = 0;
    uint32_t waiting = 0;
};

/// Identifies a stream in all requests of its caller: hash of its organisation and of the id of the request
/// that brought its first event.
struct StreamKey {
    uint64_t value = 0;
    friend constexpr std::strong_ordering operator<=>(StreamKey, StreamKey) = default;
};

/// Where a stream began. Only endpoints of this service and version may continue it.
struct StreamOrigin {
    ServiceName service;
    SoftwareVersion version;
    friend std::strong_ordering operator<=>(const StreamOrigin &, const StreamOrigin &) = default;
    friend bool operator==(const StreamOrigin &, const StreamOrigin &) = default;
};

/// What a daemon knows of a service's versions in a time up to now.
struct VersionsSeen {
    bool areSeveral = false;
    std::optional<SoftwareVersion> sole; ///< The only one; empty also if the daemon has not run for so long.
};

/// Tells a few other daemons where streams began, so that the knowledge outlives the sender. If it is lost,
/// these streams can perhaps not be resumed.
struct StreamOriginNotice {
    StreamOrigin origin;
    std::vector<StreamKey> streams;
};

/// Asks a daemon where a stream began that a caller wants to resume.
struct StreamOriginQuery {
    uint64_t number = 0;
    StreamKey stream;
    ServiceName service; ///< Expected by the sender.
};

struct StreamOriginReply {
    uint64_t number = 0; ///< Of the StreamOriginQuery.
    std::optional<StreamOrigin> origin; ///< Empty: not known to the replying daemon.
    VersionsSeen versions; ///< Of the service, in the time in which the stream may have begun.
};

/// Permission to send a number of requests to the endpoint soon. Applied once; if a grant is lost, the
/// endpoint gets these requests later or not at all.
struct LimitShareGrant {
    EndpointIncarnation endpoint;
    Incarnation from;
    uint64_t requestNumber = 0; ///< Number of the LimitShareRequest.
    uint64_t number = 0; ///< Increases with each grant of the sender.
    uint32_t requests = 0;
    uint32_t waiting = 0; ///< Requests that wait at all daemons.
};

/// The configuration as read from the store, changed or not.
struct ConfigurationRead {
    ServingConfigurationPtr configuration;
    TimeMs askedAt; ///< Start of the read: the store held this at or after this time.
};

struct EndpointsRead {
    std::vector<EndpointEntry> entries; ///< The complete list.
    TimeMs askedAt;
    uint64_t era = 0; ///< Era of the store; it increases when the store is restored from an older copy.
    /// The list is still that of the update before, and `entries` is empty.
    bool isUnchanged = false;
};

/// The roll-outs as read from the store, changed or not.
struct RolloutsRead {
    RolloutsKnown known;
    TimeMs askedAt;
};

/// The load that a peer has at one endpoint.
struct EndpointLoad {
    EndpointIncarnation incarnation;
    uint32_t running = 0;
    uint64_t prefillTokens = 0; ///< Tokens of requests without a first event yet.
    uint64_t contextTokens = 0; ///< Prompts and output so far, without shared prompt parts.
};

/// Sums over the first events of requests at one engine. Older requests decay.
struct EngineSpeedSums {
    double expectedMs = 0; ///< Time predicted at the usual speed of the service.
    double observedMs = 0;
    double count = 0;
};

/// A daemon's samples of one engine.
struct EngineSpeedRow {
    EndpointIncarnation engine;
    EngineSpeedSums sums;
};

/// Units of one organisation's limit that a daemon can spare.
struct OrganisationBalance {
    OrganisationName organisation;
    double spare = 0;
};

/// Request for units of an organisation's limit. If it is lost, a caller may be refused.
struct QuotaRequest {
    uint64_t number = 0;
    OrganisationName organisation;
    double units = 0;
};

/// Units that the sender has taken from its own balance. Applied once; the units of a lost transfer can't be
/// used.
struct QuotaTransfer {
    Incarnation from;
    uint64_t number = 0; ///< Number of the QuotaRequest, or of a deposit.
    OrganisationName organisation;
    double units = 0;
    bool deposit = false; ///< Not requested: the receiver keeps the units for all daemons.
};

/// Usage counts that the receiver keeps, and hands on to daemons that start.
struct UsageNotice {
    UsageCounts counts;
};

/// Sums for a linear regression of the time to the first event over the number of prefill tokens, over
/// requests that found no queue. Older requests decay.
struct PrefillSums {
    double count = 0;
    double tokens = 0; ///< Prefill tokens.
    double ms = 0;
    double tokensSquared = 0;
    double tokensMs = 0; ///< Sum of the products of tokens and ms.

    void add(const PrefillSums &other);
    void decay(double factor); ///< Multiplies each sum by `factor`.
};

/// Demand on one service at one daemon, as moving means. The demands of several daemons can be added.
struct ServiceDemand {
    ServiceName service;
    double prefillTokensPerSecond = 0;
    double prefillSquaresPerSecond = 0; ///< Sum of squared prefill tokens per request, for the variance.
    double requestsPerSecond = 0;
    double targetMsPerSecond = 0; ///< Sum of the latency targets of these requests.
    double running = 0; ///< Requests at endpoints or waiting for one.
    PrefillSums prefillSums;
    /// Requests as callers make them: each counts once, however often it is sent.
    double offeredPerSecond = 0;
    double ownTokensPerSecond = 0; ///< Their prompt tokens that no other request shares.
    double ownSquaresPerSecond = 0; ///< Sum of the squares of a request's own tokens.
    double sharedTokensPerSecond = 0; ///< Their tokens of shared prompt parts.
    double sharedPrefilledPerSecond = 0; ///< Tokens of shared parts that engines prefill nevertheless.
    double startedPerSecond = 0; ///< Streams that had their first event.
    /// Streams with a first event later than the target or a pause longer than the route's gap target.
    double latePerSecond = 0;
    double waiting = 0; ///< Those of `running` that are not sent.

    void add(const ServiceDemand &other);
    /// Share of the streams that are late; 0 while none has started.
    double lateShare() const;
};

/// State that a daemon sends to the others several times a second. Lost and duplicated reports do no harm.
///
/// Windows, demands, trials and speeds are needed only about once a second, and of the balances mainly those
/// of the quota pool daemons. The rest makes up most of the bytes, so most reports leave it out: they are not
/// `full`.
struct PeerReport {
    Incarnation incarnation;
    InstanceName instance;
    bool leaving = false;
    bool ready = false;
    bool readsStore = true; ///< Its reads of the store succeed, as far as it tries any.
    bool full = true; ///< Includes windows, demands and all balances.
    uint64_t sequence = 0;
    int64_t wallMs = 0; ///< Wall-clock time of the sender, Unix milliseconds.
    double coresUsed = 0; ///< CPU cores used by the sender's process, moving mean.
    std::vector<EndpointLoad> loads;
    std::vector<OrganisationBalance> balances;
    WindowCounts windows; ///< Usage counts of the newest windows.
    std::vector<ServiceDemand> demands;
    std::vector<TrialCount> trials;
    std::vector<EngineSpeedRow> speeds; ///< Only in full reports.
    std::vector<ServiceName> unreached; ///< Services of which the sender reaches no endpoint.
    std::map<ServiceName, uint32_t> brittle; ///< Services with brittle endpoints: rejections in a second.
    /// Requests of callers in the newest window of the retry budget. Only in full reports.
    std::map<ServiceName, uint32_t> requests;
};

/// One incarnation of a daemon and the instance that it runs on.
struct DaemonIdentity {
    InstanceName instance;
    Incarnation incarnation;
    friend bool operator==(const DaemonIdentity &, const DaemonIdentity &) = default;
};

/// A daemon's entry in the member list of the store.
struct MemberEntry {
    InstanceName instance;
    Incarnation incarnation;
    FailureDomainName failureDomain;
    Address callerAddress;
    Address peerAddress;
    double cores = 1; ///< CPU cores of its instance that it may use.
    /// The daemon takes callers' requests, reports its load to the other serving daemons, and holds a share
    /// of the organisations' limits. The other daemons are standby.
    bool serving = false;

    friend bool operator==(const MemberEntry &, const MemberEntry &) = default;
};

/// The leader key of the store.
struct LeaderEntry {
    std::string value; ///< Contains instance, incarnation and the era in which it was written.
    uint64_t revision = 0; ///< Revision of the write that won; 0: there is no leader.
    uint64_t lease = 0;
    uint64_t era = 0; ///< Era of the store when the key was read.
};

/// Control key of the store that names the store readers of a large fleet.
struct NamedReaders {
    std::vector<Address> addresses; ///< Their addresses for peers.
    uint64_t revision = 0; ///< 0: the key does not exist.
};

/// Query for a peer's copy of the store's data and its age, sent instead of reading the store.
struct FreshnessQuery {
    Incarnation from;
    uint64_t number = 0;
    uint64_t era = 0; ///< Era of the store as known to the sender.
    uint64_t endpointsDigest = 0; ///< Version of the endpoint list to which the sender can apply changes.
    EndpointId endpointsAfter; ///< Last entry of the parts that it has received; empty: none.
    /// Age of that list, of its first part if it is being received; empty: only the digest counts.
    std::optional<DurationMs> endpointsAge;
    uint64_t sharedDigest = 0; ///< Digest of its configuration, members and leader.
    uint64_t configurationVersion = 0;
    uint64_t entriesDigest = 0; ///< Digest of the caller addresses that it received.
    uint64_t quarantineDigest = 0; ///< Digest of the quarantined requests that it received.
    uint64_t rolloutsDigest = 0; ///< Digest of the roll-outs that it knows.
    uint64_t readersRevision = 0; ///< Revision of the named readers that it knows.
};

/// Difference between two versions of the endpoint list.
struct EndpointChanges {
    std::vector<EndpointEntry> changed; ///< New and changed entries.
    std::vector<EndpointId> gone;
};

/// Part of the endpoint list, which is sorted by id.
struct EndpointPart {
    EndpointId after; ///< The part begins after this id; empty: at the start.
    std::vector<EndpointEntry> entries;
    bool isLast = false;
};

/// Reply to a FreshnessQuery. Ages are measured at the replying daemon when it replies. The receiver
/// subtracts them from the time at which it sent the query, so that no network delay makes data look fresher
/// than it was.
struct FreshnessReply {
    uint64_t number = 0;
    uint64_t era = 0; ///< Era of the store that this data is from.
    DurationMs sharedAge; ///< Age of the configuration, the members and the leader.
    uint64_t sharedDigest = 0;
    uint64_t configurationVersion
        = 0; ///< Newest version at that time; members and leader may differ even if it is equal.
    /// Members and leader are included, since they differ while the configuration does not. Members are the
    /// serving daemons, or those with the most cores while none serves.
    bool hasMembers = false;
    std::vector<MemberEntry> members;
    size_t listed = 0; ///< Total number of members.
    LeaderEntry leader;
    DurationMs endpointsAge;
    uint64_t endpointsDigest = 0;
    /// If the sender's list differs: the changes since its version `endpointsBase`, or else the part of the
    /// list that it lacks.
    std::optional<EndpointChanges> endpointChanges;
    uint64_t endpointsBase = 0;
    std::optional<EndpointPart> endpointsPart;
    uint64_t entriesDigest = 0;
    bool hasEntries = false; ///< `entries` is included, since the sender's differ.
    std::vector<Address> entries; ///< Caller addresses.
    uint64_t quarantineDigest = 0;
    bool hasQuarantine = false; ///< `quarantine` is included, since the sender's differs.
    std::vector<QuarantinedRequest> quarantine;
    uint64_t rolloutsDigest = 0;
    std::optional<RolloutsKnown> rollouts; ///< Included if the sender's differ.
    std::optional<NamedReaders> readers; ///< Included if the sender's are older.
    /// The replying daemon is no store reader of a large fleet. It only names the readers, to one of which
    /// the query is to be sent instead.
    bool isRedirect = false;
};

/// Caller addresses as received from another daemon that gets the reports of the serving daemons.
struct EntriesFromPeer {
    std::vector<Address> addresses;
    TimeMs askedAt; ///< Start of the query: the addresses were valid at or after this time.
};

// ---- Actions of the gateway ----

/// Sends a complete response of the gateway itself or of an endpoint.
/// What tells a caller where its response ends.
enum class ResponseFraming : uint8_t {
    Stated, ///< A length or a last chunk.
    EndsWithConnection ///< Nothing else; for endpoints' responses whose end is not known.
};

struct AnswerCaller {
    CallerId caller;
    int status = 500;
    HttpHeaders headers;
    std::string body;
    ResponseFraming framing = ResponseFraming::Stated;
};

struct BeginCallerStream {
    CallerId caller;
    int status = 200;
    HttpHeaders headers;
    ResponseFraming framing = ResponseFraming::Stated;
};

struct CallerStreamData {
    CallerId caller;
    std::string bytes;
};

struct EndCallerStream {
    CallerId caller;
    bool complete = false; ///< False: the connection is closed without the end mark.
};

/// KV cache of a stopped generation, for the attempt that continues it.
struct MigratedKvCache {
    Address source;
    std::string handle;
};

/// Copies a generation's KV cache to another engine.
struct MigrateGeneration {
    AttemptId attempt;
    Address source;
    Address target;
    std::string requestId;
    DurationMs timeout;
    std::optional<Address> relay; ///< Daemon that passes the call on.
    EndpointId sourceId;
    MigrationCallId call;
    MigrationStep step = MigrationStep::Copy;
};

/// Frees a copy that nobody will continue.
struct ReleaseKvCache {
    MigratedKvCache kvCache;
    EndpointId sourceId;
    std::optional<Address> relay; ///< Daemon that passes the call on.
};

/// Requests an engine's state.
struct ProbeEngine {
    EndpointId endpoint;
    Address address;
    DurationMs timeout;
    /// Connections of attempts failed there. The probe then uses a new connection: only that distinguishes an
    /// endpoint that exited from a broken keep-alive connection.
    bool afterConnectionFailure = false;
    std::optional<Address> relay = std::nullopt; ///< Daemon that probes instead of this one.
    bool isRepeat = false; ///< The endpoint closed the first probe's connection without a reply.
};

/// Closes the connections to these endpoints that are not in use.
struct CloseIdleConnections {
    std::vector<Address> addresses;
};

/// Opens a connection to an endpoint without a request. It is kept for a later attempt.
struct ProbePath {
    EndpointId endpoint;
    Address address;
    DurationMs timeout;
};

/// Asks a daemon that carries attempts for this one whether it is still at work.
struct ProbeRelay {
    Address relay;
    DurationMs timeout;
};

/// Sends a request to an endpoint.
struct SendAttempt {
    AttemptId attempt;
    EndpointId endpoint;
    Address address;
    CallerRequestPtr request;
    DurationMs remaining; ///< Time left until the caller's deadline.
    OrganisationName organisation; ///< Empty: the route requires no key.
    std::optional<uint32_t> urgency; ///< Priority for engines, 0 (first) to 9.
    std::optional<uint64_t> resumeAfter;
    std::optional<MigratedKvCache> migratedKvCache; ///< Continue the generation from this KV cache.
    std::optional<Address> fetchFrom; ///< Engine from which cached prompt parts are to be fetched.
    std::optional<Address>
        relay; ///< Daemon that passes the request on, if this one does not reach the endpoint.
};

struct CancelSent {
    AttemptId attempt;
};

/// Sends a message to one other daemon.
struct SendToPeer {
    Address to;
    std::variant<QuotaRequest, QuotaTransfer, CrashNotice, LimitNotice, LimitShareRequest, LimitShareGrant,
                 StreamOriginNotice, StreamOriginQuery, StreamOriginReply, UsageNotice>
        message;
};

using GatewayAction = std::variant<AnswerCaller, BeginCallerStream, CallerStreamData, EndCallerStream,
                                   SendAttempt, CancelSent, MigrateGeneration, ReleaseKvCache, ProbeEngine,
                                   ProbePath, ProbeRelay, CloseIdleConnections, SendToPeer>;

} // namespace cranberry
