#pragma once

#include "gateway/endpoints/endpointfleet.h"
#include "gateway/requests/eventstream.h"

namespace cranberry {

enum class ExchangePhase : uint8_t {
    AwaitingStart, ///< This daemon has not read the store yet.
    AwaitingLimit, ///< Other daemons are asked for units of its organisation's limit.
    Queued, ///< Waits for a place at an endpoint.
    Sent, ///< An attempt is open, the caller has nothing yet.
    Streaming ///< The caller has the head of the answer.
};

/// What an attempt is for, beside its caller, while a version is on trial.
enum class TrialRole : uint8_t {
    Ordinary,
    Fills, ///< It helps to load an endpoint that is not loaded yet; its answer tells nothing of that.
    Loaded ///< The endpoint has what it is to be tried under.
};

/// A run on its way from an engine that leaves to another one.
struct RunMove {
    EndpointLife target;
    Address source;
    TimeMs startedAt;
    bool sourceClosed = false; ///< The stream has ended there, as it does when the run stops.
    std::optional<std::string> handle; ///< The memory has arrived.
};

/// One request of a caller, from its arrival to its final answer.
struct Exchange {
    CallerId caller;
    CallerRequestPtr request;
    ServingConfigurationPtr configuration; ///< That it was judged by last; keeps `route` alive.
    const Route *route = nullptr;
    ServiceName service;
    OrganisationName organisation;
    std::string key;
    RequestDigest digest; ///< Once its organisation is known.
    uint32_t priority = 0;
    double quotaUnits = 0; ///< Taken from the organisation's limit.

    TimeMs arrivedAt;
    TimeMs callerWaitsUntil;
    TimeMs timeoutAt; ///< The final answer is due.
    ExchangePhase phase = ExchangePhase::Queued;
    TimeMs inTimeUntil; ///< Sent to an engine later, its first event would miss the latency target.
    uint64_t limitAsk = 0; ///< With AwaitingLimit: the question's number.
    TimeMs limitAskUntil;
    bool askedForUnits = false;
    uint32_t limitWaits = 0; ///< For units, one after the other.
    bool mayHaveRun = false; ///< Some attempt may have reached an endpoint that runs it.
    bool countedForUsage = false;
    uint32_t sends = 0; ///< Endpoints that may have run it.
    uint32_t rejections = 0; ///< Endpoints that stated they did not.
    std::set<EndpointId> tried;

    AttemptId attempt;
    EndpointLife at; ///< Where the attempt was sent, or the one before.
    TimeMs sentAt;
    bool streaming = false; ///< This attempt has brought its first event.
    uint64_t prefillTokens = 0; ///< Still counted at the endpoint.
    double expectedMs = 0; ///< Until the first event, if the endpoint has nothing of the prompt.
    bool foundNoQueue = false; ///< As far as was known when it was sent.
    AttemptHead head;
    std::string body; ///< Of an answer that is held until it is whole.
    EventSplitter splitter;
    std::optional<uint64_t> lastEvent; ///< Passed on, or held by the caller from before.
    TimeMs firstEventAt; ///< Of this attempt.
    uint64_t eventsHere = 0; ///< In this attempt.
    bool startIsJudged = false; ///< This attempt's first event, answer or failure is counted in a trial.
    bool paceIsJudged = false;
    TrialRole trialRole = TrialRole::Ordinary; ///< Of this attempt.
    uint64_t events = 0; ///< In all attempts.
    std::optional<RunMove> move;
    bool moveDenied = false; ///< For want of repeats.
    std::set<EndpointId> moveTargets; ///< Tried so far.
    std::optional<uint64_t> eventStep; ///< Between the ids of two events in a row.
};

} // namespace cranberry
