#pragma once

#include "common/fields.h"
#include "gateway/callerrequest.h"
#include "gateway/requests/requestdigest.h"
#include "gateway/rollout/rollout.h"
#include "gateway/serving.h"

#include <variant>

namespace cranberry {

/// Names an endpoint. One that starts again may keep its name.
using EndpointId = Name<struct EndpointIdTag>;

/// When an endpoint's process started, by its own word: Unix milliseconds. 0: not stated. Only compared with
/// others of the same endpoint, never with our clock.
struct EndpointStart {
    int64_t unixMs = 0;
    friend constexpr std::strong_ordering operator<=>(EndpointStart, EndpointStart) = default;
};

/// One life of an endpoint, from a start to its end. The next one knows nothing of what was before.
struct EndpointLife {
    EndpointId id;
    EndpointStart start;
    friend std::strong_ordering operator<=>(const EndpointLife &, const EndpointLife &) = default;
};

/// What the list of endpoints says of one.
struct EndpointEntry {
    EndpointId id;
    EndpointStart start;
    bool readable = true; ///< False: somebody wrote an entry that can't be read; only `id` is known.
    ServiceName service;
    Address address;
    FailureDomainName failureDomain;
    SoftwareVersion version;
    uint32_t slots = 1;
    bool leaving = false;
    bool reclaimable = false; ///< Cheaper, and its whole failure domain may be taken back.
    std::optional<DurationMs> leavesAfter; ///< Known for reclaimed ones.
};

/// Requests a second.
struct RequestRate {
    double perSecond = 0;
    friend constexpr std::partial_ordering operator<=>(RequestRate, RequestRate) = default;
};

// ---- Into the gateway ----

struct RequestArrived {
    CallerId caller;
    CallerRequestPtr request;
};

struct RequestCallerGone {
    CallerId caller;
};

/// Status line and headers of an endpoint's answer.
struct AttemptHead {
    AttemptId attempt;
    int status = 0;
    HttpHeaders headers; ///< Those that the caller gets too.
    bool notExecuted = false; ///< The endpoint states that it did not run the request.
    bool wrongInstance = false; ///< Another endpoint lives at that address.
    bool ownAnswer = true; ///< Carries the id of this very request.
    bool eventStream = false;
    std::optional<RequestRate> limit; ///< The endpoint takes no more from all daemons together.
    std::optional<FieldError> limitError; ///< It states a limit that can't be read.
};

struct AttemptData {
    AttemptId attempt;
    std::string bytes;
};

struct AttemptEnd { ///< The answer is whole, as far as its framing tells.
    AttemptId attempt;
};

/// What came of an order to move a run's memory to another engine.
enum class MoveOutcome : uint8_t {
    Moved, ///< The run has stopped, its memory is at the target.
    NoSuchRun, ///< It has not begun, or is over.
    NoRoom, ///< It has stopped, its memory is still where it was.
    Refused, ///< Another move is under way.
    NoReply
};

struct RunMoved {
    AttemptId attempt; ///< Of the run that was to be moved.
    MoveOutcome outcome = MoveOutcome::NoReply;
    std::string handle; ///< Names the memory, once.
};

/// Whether an endpoint's process was there when it was asked.
enum class EndpointProcess : uint8_t {
    Unknown, ///< No reply: it may be cut off, frozen or without power.
    Runs, ///< It answered, whatever it said.
    Ended ///< Its instance is up and says that nobody listens there.
};

/// What an engine says of itself.
struct EngineProbed {
    EndpointId endpoint;
    EndpointStart start;
    bool answered = false; ///< With a readable report; the fields around are of it.
    bool leaving = false;
    std::optional<DurationMs> leavesAfter;
    EndpointProcess process = EndpointProcess::Unknown;
    bool afterBreak = false; ///< As asked.
};

struct AttemptBroken {
    AttemptId attempt;
    bool sent = true; ///< False: no byte left this process.
};

/// An endpoint that ended while it had a request.
struct EndpointLoss {
    RequestDigest request;
    EndpointLife endpoint;
    bool ranWell = false; ///< It had brought events for a while.
};

/// A request that is to be sent to no endpoint, as the store has it and as daemons that ask are told.
struct QuarantinedRequest {
    RequestDigest request;
    int64_t untilWallMs = 0; ///< True time: Unix milliseconds.

    friend bool operator==(const QuarantinedRequest &, const QuarantinedRequest &) = default;
};

/// What a daemon tells the others that serve: endpoints that ended under its requests, those of them that
/// were answered since, and what it keeps from endpoints. A lost one costs another endpoint at most.
struct CrashNotice {
    std::vector<EndpointLoss> losses;
    std::vector<RequestDigest> answered;
    std::vector<QuarantinedRequest> quarantined;
};

/// What an endpoint said of how many requests it takes from all daemons together.
struct LimitWord {
    EndpointLife endpoint;
    std::optional<RequestRate> limit; ///< Empty: none any more.
    uint32_t clears = 0; ///< Answers in a row since then that named none.
    DurationMs age; ///< Since it was heard.
    DurationMs standing; ///< Since it first named a limit.
};

/// What a daemon tells the others that serve of such words.
struct LimitNotice {
    std::vector<LimitWord> words;
};

/// "So many of my requests could go to this endpoint." To the daemon that shares out what it takes.
struct LimitAsk {
    EndpointLife endpoint;
    uint64_t number = 0;
    uint32_t waiting = 0;
};

/// "Send so many there, soon." Taken once; a lost one is lost to the endpoint.
struct LimitGrant {
    EndpointLife endpoint;
    Incarnation from;
    uint64_t ask = 0; ///< Number of the question.
    uint64_t number = 0; ///< Rises with each grant of its sender.
    uint32_t requests = 0;
    uint32_t waiting = 0; ///< At all daemons.
};

/// The store's configuration, new or the same as before.
struct ConfigurationRead {
    ServingConfigurationPtr configuration;
    TimeMs askedAt; ///< It was so in the store at or after this time.
};

struct EndpointsRead {
    std::vector<EndpointEntry> entries; ///< All there are.
    TimeMs askedAt;
    uint64_t era = 0; ///< Of the store; a higher one came back from an older copy.
};

/// What is known of roll-outs, new or the same as before.
struct RolloutsRead {
    RolloutsKnown known;
    TimeMs askedAt;
};

/// A peer's load of one endpoint.
struct EndpointLoad {
    EndpointLife life;
    uint32_t running = 0;
    uint64_t prefillTokens = 0; ///< Of requests without a first event yet.
};

/// What a daemon can spare of one organisation's limit.
struct OrganisationBalance {
    OrganisationName organisation;
    double spare = 0;
};

/// "Give me units of this limit." Lost ones cost a caller a refusal, nothing else.
struct QuotaAsk {
    uint64_t number = 0;
    OrganisationName organisation;
    double units = 0;
};

/// Units that the sender has taken from its own balance. Taken once; a lost one is lost to the limit.
struct QuotaGift {
    Incarnation from;
    uint64_t number = 0; ///< Of the question, or of a deposit.
    OrganisationName organisation;
    double units = 0;
    bool deposit = false; ///< Not asked for: the receiver keeps it for all.
};

/// Requests of one organisation that began to run in one window.
struct WindowCount {
    int64_t window = 0;
    OrganisationName organisation;
    uint64_t count = 0;
};

/// How long first events took, as sums over requests that found no queue: a straight line can be laid through
/// them. Older ones fade.
struct ReadingSums {
    double count = 0;
    double tokens = 0; ///< That had to be read.
    double ms = 0;
    double tokensSquared = 0;
    double tokensMs = 0; ///< Products of both.

    void add(const ReadingSums &other);
    void fade(double part); ///< Leaves `part` of each sum.
};

/// Demand on one service as one daemon sees it, as moving means. All of it adds up over daemons.
struct ServiceDemand {
    ServiceName service;
    double prefillTokensPerSecond = 0;
    double prefillSquaresPerSecond = 0; ///< Of each request's tokens: how uneven they are.
    double requestsPerSecond = 0;
    double targetMsPerSecond = 0; ///< Latency targets of these requests.
    double running = 0; ///< At endpoints, or waiting for one.
    ReadingSums readings;

    void add(const ServiceDemand &other);
};

/// What a daemon tells the others several times a second. All of it may be lost or doubled without harm.
///
/// Windows, demands and trials are needed only about once a second; of the balances,
/// those that are asked for first are the keepers'. The rest is most of the bytes, so most reports go without
/// it: they are not `whole`.
struct PeerReport {
    Incarnation incarnation;
    InstanceName instance;
    bool leaving = false;
    bool ready = false;
    bool readsStore = true; ///< The store answers its reads, as far as it tries.
    bool whole = true; ///< With windows, demands and all balances.
    uint64_t sequence = 0;
    int64_t wallMs = 0; ///< Time of day at the sender.
    double coresUsed = 0; ///< By the sender's process, moving mean.
    std::vector<EndpointLoad> loads;
    std::vector<OrganisationBalance> balances;
    std::vector<WindowCount> windows;
    std::vector<ServiceDemand> demands;
    std::vector<TrialCount> trials;
};

/// A daemon as the store lists it.
struct MemberEntry {
    InstanceName instance;
    Incarnation incarnation;
    FailureDomainName failureDomain;
    Address callerAddress;
    Address peerAddress;
    double cores = 1; ///< Of its instance, as far as it may use them.
    /// It says that it takes callers' requests: it tells the others that do so of its load, and holds a part
    /// of the organisations' limits. The rest stands by.
    bool serving = false;

    friend bool operator==(const MemberEntry &, const MemberEntry &) = default;
};

/// The key of the duties' holder as it stands in the store.
struct LeaderEntry {
    std::string value; ///< Names instance, incarnation and the era in which it was written.
    uint64_t revision = 0; ///< Of the write that won; 0: there is no holder.
    uint64_t lease = 0;
    uint64_t era = 0; ///< Of the store in which it was seen.
};

/// "How fresh is what you know of the store?" Asked instead of reading there.
struct FreshnessQuestion {
    Incarnation from;
    uint64_t number = 0;
    uint64_t era = 0; ///< Of the store, as far as the asker knows.
    uint64_t endpointsDigest = 0; ///< Of the list that the asker has.
    uint64_t sharedDigest = 0; ///< Of its configuration, members and leader.
    uint64_t configurationVersion = 0;
    uint64_t entriesDigest = 0; ///< Of the addresses for callers that it was told.
    uint64_t quarantineDigest = 0; ///< Of the requests in quarantine that it was told.
    uint64_t rolloutsDigest = 0; ///< Of the roll-outs that it knows.
};

/// Entries that differ between two versions of the endpoints' list.
struct EndpointChanges {
    std::vector<EndpointEntry> changed; ///< As they are now.
    std::vector<EndpointId> gone;
};

/// The answer. Ages are counted at the answerer when it answers; the asker subtracts them from the time at
/// which it sent the question, so that no delay on the way makes anything look fresher than it was.
struct FreshnessAnswer {
    uint64_t number = 0;
    uint64_t era = 0; ///< Of the store that all of this is of.
    DurationMs sharedAge; ///< Of the configuration, the members and the leader.
    uint64_t sharedDigest = 0;
    uint64_t configurationVersion = 0; ///< The newest one then; members and leader may differ all the same.
    /// Members and leader follow: they differ, the configuration does not. Members are those that serve, or
    /// the strongest while none does.
    bool hasMembers = false;
    std::vector<MemberEntry> members;
    size_t listed = 0; ///< Members in all.
    LeaderEntry leader;
    DurationMs endpointsAge;
    uint64_t endpointsDigest = 0;
    /// If the asker's list differs: what changed since its version `endpointsBase`, or the whole list, by as
    /// many answers as it takes.
    std::optional<EndpointChanges> endpointChanges;
    uint64_t endpointsBase = 0;
    bool hasEndpoints = false;
    std::vector<EndpointEntry> endpoints; ///< From `endpointsFrom` on, of `endpointsTotal`.
    size_t endpointsFrom = 0;
    size_t endpointsTotal = 0;
    uint64_t entriesDigest = 0;
    bool hasEntries = false; ///< The addresses for callers follow, since the asker's differ.
    std::vector<Address> entries;
    uint64_t quarantineDigest = 0;
    bool hasQuarantine = false; ///< The requests in quarantine follow, since the asker's differ.
    std::vector<QuarantinedRequest> quarantine;
    uint64_t rolloutsDigest = 0;
    std::optional<RolloutsKnown> rollouts; ///< Since the asker's differ.
};

/// What another daemon, which hears those that serve, would tell callers.
struct EntriesTold {
    std::vector<Address> addresses;
    TimeMs askedAt; ///< It was so at or after this time.
};

// ---- Out of the gateway ----

/// A complete answer of the gateway itself or of an endpoint.
struct AnswerCaller {
    CallerId caller;
    int status = 500;
    HttpHeaders headers;
    std::string body;
};

struct BeginCallerStream {
    CallerId caller;
    int status = 200;
    HttpHeaders headers;
};

struct CallerStreamData {
    CallerId caller;
    std::string bytes;
};

struct EndCallerStream {
    CallerId caller;
    bool whole = false; ///< False: the connection is closed without the end mark.
};

/// Memory of a stopped run, for the request that goes on from it.
struct RunMemory {
    Address source;
    std::string handle;
};

/// Stop a run and copy its memory to another engine.
struct MoveRun {
    AttemptId attempt;
    Address source;
    Address target;
    std::string requestId;
    DurationMs timeout;
};

/// Ask an engine for its state.
struct ProbeEngine {
    EndpointId endpoint;
    Address address;
    DurationMs timeout;
    /// Since attempts broke there. On a new connection: only that tells an endpoint that ended from a kept
    /// connection that broke.
    bool afterBreak = false;
};

/// Send a request to an endpoint.
struct SendAttempt {
    AttemptId attempt;
    EndpointId endpoint;
    Address address;
    CallerRequestPtr request;
    DurationMs remaining; ///< What is left of the caller's deadline.
    OrganisationName organisation; ///< Empty: the route needs no key.
    std::optional<uint32_t> urgency; ///< 0 (first) to 9, for engines.
    std::optional<uint64_t> resumeAfter;
    std::optional<RunMemory> memory; ///< Go on from here.
};

struct CancelSent {
    AttemptId attempt;
};

/// A word to one other daemon.
struct TellPeer {
    Address to;
    std::variant<QuotaAsk, QuotaGift, CrashNotice, LimitNotice, LimitAsk, LimitGrant> message;
};

using GatewayAction = std::variant<AnswerCaller, BeginCallerStream, CallerStreamData, EndCallerStream,
                                   SendAttempt, CancelSent, MoveRun, ProbeEngine, TellPeer>;

} // namespace cranberry
