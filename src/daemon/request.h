#pragma once

#include "daemon/messages.h"
#include "daemon/onceattempt.h"
#include "gateway/requests/requestdigest.h"

#include <unordered_map>

namespace cranberry {

enum class RequestPhase : uint8_t {
    AwaitingRegister, ///< Waits for the register's reply to an acquire or a refusal.
    Queued, ///< Waits for an endpoint with a free slot.
    Running, ///< An attempt is in progress on an endpoint.
    BackingOff, ///< Backs off before the next attempt.
    Moving, ///< The handover to the successor is not confirmed yet.
    Moved, ///< Another daemon owns the request, or another request holds its key.
    Ended, ///< The answer is complete.
    GivenUp ///< Concluded without an answer: refused, or the outcome is unknown.
};

/// A caller's connection that receives the answer of this request.
struct Listener {
    CallerId caller;
    uint64_t sent = 0; ///< Bytes of the text already sent to the caller.
    bool accepted = false;
};

/// A request at the daemon that owns it, from submission until its answer is discarded.
struct Request {
    RequestId id;
    std::shared_ptr<const RequestSpec> spec;
    RequestPhase phase = RequestPhase::Queued;
    TimeMs arrivedAt;
    TimeMs deadlineAt;

    OnceAttempt once;
    Incarnation queriedRegister;
    Incarnation movedFrom; ///< The daemon that handed the request over to this one.
    TimeMs lastSentAt; ///< When the last register query, handover or attempt was sent.
    uint32_t registerQueries = 0;
    Refusal pendingRefusal; ///< Sent to the callers when the register has recorded the refusal.

    Incarnation witness; ///< The daemon last asked to hold a copy.
    bool witnessConfirmed = false; ///< The witness confirmed its copy, or no other daemon is alive.
    uint32_t witnessQueries = 0;
    TimeMs witnessQueriedAt;

    AttemptId attempt;
    EndpointName endpoint;
    EndpointName avoidEndpoint;
    uint64_t workTokens = 0;
    RequestDigest digest; ///< Equal for every retry by the caller.
    uint32_t tries = 0;
    TimeMs retryAt;
    bool needsRetryBudget = false; ///< The next attempt must be paid for from the retry budget.
    bool possiblyRan = false; ///< An earlier attempt may have run on an endpoint.
    std::optional<TimeMs> moveDueAt; ///< When to move off an endpoint that is leaving.

    std::string text;
    uint32_t generatedTokens = 0;
    std::vector<Branch> branches;
    AnswerEnd end;
    Refusal refusal;
    TimeMs endedAt;
    bool delivered = false; ///< At least one caller has received the complete answer.
    Incarnation successor; ///< In phase Moved: the daemon to read the answer from.
    RequestId holderRequest; ///< In phase Moved: the request that supplies the answer.
    bool witnessDropped = false;
    std::vector<Listener> listeners;

    bool isOpen() const { return phase < RequestPhase::Moved; }
    uint64_t lineage() const { return branches.empty() ? 0 : branches.back().lineage; }
};

/// A caller connected to this daemon that reads the answer of a request owned by another daemon.
struct Follower {
    CallerId caller;
    RequestId request;
    Incarnation queriedDaemon; ///< The daemon that the current query was sent to.
    uint64_t offset = 0;
    uint64_t lineage = 0;
    uint64_t tag = 0;
    TimeMs queriedAt;
    TimeMs progressAt; ///< When a daemon that knows the request last replied.
    uint32_t misses = 0;
    uint32_t redirects = 0; ///< Redirects followed since progressAt.
    bool claim = false;
    Incarnation unknownAt; ///< A daemon that replied that it does not know the request.
};

/// The copy of a request that this daemon holds as witness for the owner.
struct WitnessRecord {
    RequestCopy copy;
    Incarnation owner;
    TimeMs receivedAt;
};

/// Digest of the organisation, service, path and body. Equal for every retry by a caller, and after a
/// handover to another daemon.
RequestDigest digestOf(const RequestSpec &spec);

/// Returns the offset from which a caller that holds `offset` bytes of lineage `lineage` can resume: the
/// length of the text that all later generations share with what the caller holds.
uint64_t commonOffset(const std::vector<Branch> &branches, uint64_t lineage, uint64_t offset);

} // namespace cranberry
