#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cranberry {

/// Why the gateway answered a request itself. One counter each.
enum class GatewayRefusal : uint8_t {
    NoConfiguration,
    StaleConfiguration, ///< Too long since the store confirmed it; keys may have been removed meanwhile.
    BadRequest,
    UnknownRoute,
    UnknownKey,
    OverLimit, ///< The organisation's own limit.
    NoEndpoint,
    Overloaded,
    EndpointsLimited, ///< All its endpoints name limits, and what waits takes longer than the caller has.
    NotExecuted, ///< Every endpoint asked stated that it did not run the request.
    EndpointBroken, ///< The outcome at the endpoint is unknown.
    TimedOut,
    Leaving, ///< This daemon is about to stop.
    Quarantined, ///< Endpoints ended under the same request before.
    Count
};

/// Why a request was sent to another endpoint. One counter each.
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

enum class GatewayCount : uint8_t {
    Requests,
    Attempts,
    AnswersPassed,
    StreamsWhole,
    StreamsBroken,
    CallersGone,
    RetriesDenied, ///< The shared budget of repeats was used up.
    Queued,
    PeerReports,
    ConfigurationsTaken,
    EntriesUnreadable, ///< Of endpoints known before, at each change to that.
    EndpointsEnded, ///< Attempts broke, and then nobody listened there any more.
    EndpointsOutlivedBreaks, ///< Attempts broke, and the endpoint still ran: a connection, or its own fault.
    RequestsQuarantined, ///< Put there by what this daemon saw or heard of the others.
    VersionsSuspected, ///< Of a roll-out's target, by this daemon.
    AnswersNamedLimit, ///< Of endpoints that take only so many requests a second.
    SentToLimited, ///< Attempts at endpoints that were known to have named a limit.
    BreaksUnexplained, ///< Attempts broke, and the endpoint said nothing when it was asked.
    Count
};

const char *toText(GatewayRefusal reason);
const char *toText(GatewayRetry reason);
const char *toText(GatewayCount count);

/// Plain counts of one daemon; the metrics page prints them all.
struct GatewayCounters {
    std::array<uint64_t, static_cast<size_t>(GatewayRefusal::Count)> refusals = {};
    std::array<uint64_t, static_cast<size_t>(GatewayRetry::Count)> retries = {};
    std::array<uint64_t, static_cast<size_t>(GatewayCount::Count)> counts = {};

    void add(GatewayRefusal reason) { ++refusals[static_cast<size_t>(reason)]; }
    void add(GatewayRetry reason) { ++retries[static_cast<size_t>(reason)]; }
    void add(GatewayCount count, uint64_t by = 1) { counts[static_cast<size_t>(count)] += by; }
    uint64_t of(GatewayRefusal reason) const { return refusals[static_cast<size_t>(reason)]; }
    uint64_t of(GatewayRetry reason) const { return retries[static_cast<size_t>(reason)]; }
    uint64_t of(GatewayCount count) const { return counts[static_cast<size_t>(count)]; }
};

/// All counters in the Prometheus text form.
std::string prometheusText(const GatewayCounters &counters);

} // namespace cranberry
