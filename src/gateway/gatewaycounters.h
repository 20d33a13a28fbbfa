#pragma once

#include "common/closecause.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cranberry {

/// Reason for which the gateway refused a request. Each has its own counter.
enum class GatewayRefusal : uint8_t {
    NoConfiguration,
    StaleConfiguration, ///< The store has not confirmed it recently; keys may have been removed since.
    BadRequest,
    UnknownRoute,
    UnknownKey,
    OverLimit, ///< The organisation exceeded its limit.
    NoEndpoint,
    Overloaded,
    EndpointsLimited, ///< All its endpoints state limits, and the expected wait exceeds the caller's
                      ///< deadline.
    NotExecuted, ///< All endpoints it was sent to stated that they did not run the request.
    EndpointBroken, ///< The outcome at the endpoint is unknown.
    TimedOut,
    Leaving, ///< This daemon is about to stop.
    Quarantined, ///< Endpoints crashed while they processed this request before.
    EndpointsUnreached, ///< Neither this daemon nor any other reaches the service's endpoints.
    EndpointsResting, ///< All endpoints asked this daemon for a rest that the caller can't wait for.
    OriginUnknown, ///< It resumes a stream of which no daemon that was asked knows the version.
    Count
};

/// Reason for which a request was sent to another endpoint. Each has its own counter.
enum class GatewayRetry : uint8_t {
    ConnectFailed,
    NotExecuted,
    WrongInstance,
    Broken,
    ServerError,
    StreamResumed,
    Moved,
    Count
};

/// State of a request between its arrival and its final response. Each has a counter of the requests that got
/// this response in it because the process exits.
enum class ExchangePhase : uint8_t {
    Arrived, ///< Its admission is not decided yet.
    AwaitingStart, ///< Waits for this daemon's first reads of the store.
    AwaitingOrigin, ///< Waits for the other daemons' word where the stream that it resumes began.
    AwaitingLimit, ///< Waits for units of its organisation's limit from other daemons.
    Queued, ///< Waits for a free slot at an endpoint.
    Sent, ///< An attempt is open or repeated, nothing was sent to the caller yet.
    Streaming, ///< The head of the response was sent to the caller.
    Count
};

/// How it is known that an endpoint no longer works on a stream, which may then go on at another one. Each
/// has its own counter.
enum class RunEndProof : uint8_t {
    StreamClosed, ///< Its endpoint was asked to stop it, and closed the stream.
    SaidStopped, ///< By its endpoint's own word.
    SaidUnknown, ///< Its endpoint knows no such run.
    Replaced, ///< Another process has taken its endpoint's place.
    Unreached, ///< Not known: new connections to its endpoint fail, and nobody can ask.
    Count
};

enum class GatewayCount : uint8_t {
    Requests,
    Attempts,
    AnswersPassed,
    AnswersWithoutEnd,
    StreamsWhole,
    StreamsBroken,
    SourcesClosedInMove, ///< Streams that ended at their source before the reply to their move.
    MoveCallsRepeated, ///< Calls to copy a stream's KV cache that were made again for want of a reply.
    MovesWithoutReply, ///< Streams that went on from a copy though the call that stopped them had no reply.
    CallersGone,
    RetriesDenied, ///< The shared retry budget was used up.
    RestsAsked, ///< Requests that an endpoint turned away with a rest.
    EndpointsSaidLeaving, ///< Endpoints whose own responses first told that they leave.
    RetriesAwaitingDraw, ///< Requests that waited for a draw of retries from the pool.
    RetryDraws, ///< Draws from the pool.
    RetryDrawsFailed, ///< The pool was used up, or the store did not reply.
    RetriesDrawn, ///< Retries that were drawn from the pool, used or not.
    Queued,
    PeerReports,
    ConfigurationsTaken,
    EntriesUnreadable, ///< Entries of known endpoints that became unreadable.
    EndpointsEnded, ///< Connections failed, and then no process listened at the address any more.
    EndpointsOutlivedBreaks, ///< Connections failed while the endpoint kept running: a fault of the network
                             ///< or the endpoint.
    RequestsQuarantined, ///< Requests put in quarantine after crashes seen by this daemon or reported by
                         ///< others.
    VersionsSuspected, ///< Target versions of roll-outs that this daemon suspects to be faulty.
    AnswersNamedLimit, ///< Responses of endpoints that state a limit of their request rate.
    SentToLimited, ///< Attempts at endpoints with a known limit.
    CheckpointsWritten, ///< Checkpoints of the limits written as the leader.
    CheckpointsUsed, ///< This daemon's balances were raised by a checkpoint after its start.
    CheckpointsRejected, ///< A checkpoint was not used after the start.
    CheckpointsTooLarge, ///< Checkpoints without all usage counts, or not written, for their size.
    BreaksUnexplained, ///< Connections failed, and the endpoint did not reply to the probe.
    StreamsLateFirstEvent, ///< Complete streams whose first event missed the latency target.
    StreamsLatePause, ///< Complete streams with a pause that was longer than the gap target.
    StreamsLateBoth,
    PausesOverTarget, ///< Pauses between two events that were longer than the route's gap target.
    EnginesEjected,
    KvFetches, ///< Attempts whose engine was asked to fetch cached prompt parts.
    KvFetchTokens, ///< Tokens that were expected to be fetched.
    QueuedBehindOthers, ///< Queued on arrival, since requests of other organisations were to be served first.
    ReturnsScheduled, ///< Refusals with a return time that the caller can use.
    ReturnsTooLate, ///< Refusals with a return time later than their callers wait.
    EndpointConnections, ///< New connections to endpoints that were established.
    EndpointConnectsRefused, ///< New connections that an endpoint's instance refused.
    EndpointConnectsTimedOut, ///< New connections that were not established for another reason.
    PathProbes, ///< Connections that were opened only to find out whether endpoints are reached.
    Partitions, ///< Times at which this daemon lost all paths to a service's endpoints.
    AttemptsRelayed, ///< Attempts that another daemon carried.
    RelaysFailed, ///< Of these, those that the other daemon did not accept or pass on.
    RelaysSilent, ///< Daemons that carried attempts for this one and did nothing more.
    RelayedForPeers, ///< Attempts that this daemon carried for others.
    ResumptionsKnown, ///< Requests that resume a stream whose origin this daemon knew.
    ResumptionsLearned, ///< Whose origin another daemon knew.
    ResumptionsSoleVersion, ///< Whose origin nobody knew, but the service had only one version.
    UsageCopies, ///< Copies of all usage counts written to the store.
    OriginNotices, ///< Messages that told another daemon where streams began.
    Count
};

const char *toText(GatewayRefusal reason);
const char *toText(GatewayRetry reason);
const char *toText(ExchangePhase phase);
const char *toText(RunEndProof proof);
const char *toText(GatewayCount count);

/// Event counters of one daemon, all exported as metrics.
struct GatewayCounters {
    std::array<uint64_t, static_cast<size_t>(GatewayRefusal::Count)> refusals = {};
    std::array<uint64_t, static_cast<size_t>(GatewayRetry::Count)> retries = {};
    std::array<uint64_t, static_cast<size_t>(ExchangePhase::Count)> endedForExit = {};
    /// Streams that were taken off their endpoint to go on at another one.
    std::array<uint64_t, static_cast<size_t>(RunEndProof::Count)> runsLeft = {};
    /// Callers' connections that closed before their response was complete.
    std::array<uint64_t, static_cast<size_t>(CloseCause::Count)> closed = {};
    std::array<uint64_t, static_cast<size_t>(GatewayCount::Count)> counts = {};

    void add(GatewayRefusal reason) { ++refusals[static_cast<size_t>(reason)]; }
    void add(GatewayRetry reason) { ++retries[static_cast<size_t>(reason)]; }
    void add(RunEndProof proof) { ++runsLeft[static_cast<size_t>(proof)]; }
    void add(CloseCause cause) { ++closed[static_cast<size_t>(cause)]; }
    void addEndedForExit(ExchangePhase phase) { ++endedForExit[static_cast<size_t>(phase)]; }
    void add(GatewayCount count, uint64_t by = 1) { counts[static_cast<size_t>(count)] += by; }
    uint64_t of(GatewayRefusal reason) const { return refusals[static_cast<size_t>(reason)]; }
    uint64_t of(GatewayRetry reason) const { return retries[static_cast<size_t>(reason)]; }
    uint64_t of(RunEndProof proof) const { return runsLeft[static_cast<size_t>(proof)]; }
    uint64_t of(CloseCause cause) const { return closed[static_cast<size_t>(cause)]; }
    uint64_t endedForExitIn(ExchangePhase phase) const { return endedForExit[static_cast<size_t>(phase)]; }
    uint64_t of(GatewayCount count) const { return counts[static_cast<size_t>(count)]; }
};

/// Returns all counters in the Prometheus text format.
std::string prometheusText(const GatewayCounters &counters);

} // namespace cranberry
