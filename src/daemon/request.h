#pragma once

#include "daemon/messages.h"
#include "daemon/onceattempt.h"
#include "gateway/requests/requestdigest.h"

#include <unordered_map>

namespace cranberry {

enum class RequestPhase : uint8_t {
    Asking, ///< Waits for its register, to run or to be refused.
    Queued, ///< Waits for a slot.
    Running, ///< An attempt is open.
    Waiting, ///< Backs off before the next attempt.
    Moving, ///< Its copy is on the way to the successor.
    Moved, ///< Lives at the successor.
    Ended, ///< Answer whole.
    Given ///< Given up: refused or unknown.
};

/// A caller's connection that waits for this request's answer.
struct Listener {
    CallerId caller;
    uint64_t sent = 0; ///< Bytes of the text already handed out.
    bool accepted = false;
};

/// One accepted (or still to be accepted) request at the daemon that owns it.
struct Request {
    RequestId id;
    std::shared_ptr<const RequestSpec> spec;
    RequestPhase phase = RequestPhase::Queued;
    TimeMs arrivedAt;
    TimeMs deadlineAt;

    OnceAttempt once;
    Incarnation askedRegister;
    Incarnation movedFrom; ///< The daemon that handed it over.
    TimeMs askedAt;
    uint32_t asks = 0;
    Refusal pendingRefusal; ///< What to tell once the register has written it.

    Incarnation witness; ///< Holder of the copy, as asked last.
    bool witnessed = false;
    uint32_t witnessAsks = 0;
    TimeMs witnessAskedAt;

    AttemptId attempt;
    EndpointName endpoint;
    EndpointName avoid;
    uint64_t workTokens = 0;
    RequestDigest digest; ///< The same for each try of its caller.
    uint32_t tries = 0;
    TimeMs retryAt;
    bool owesRetry = false; ///< Its next attempt is to be taken from the retry budget.
    bool maybeRan = false; ///< Some attempt may have reached an endpoint.
    std::optional<TimeMs> moveAt; ///< Its endpoint leaves: go on elsewhere from here.

    std::string text;
    uint32_t generatedTokens = 0;
    std::vector<Branch> branches;
    AnswerEnd end;
    Refusal refusal;
    TimeMs endedAt;
    bool delivered = false; ///< Some caller was handed the whole answer.
    Incarnation successor; ///< With Moved.
    RequestId heldBy; ///< With Moved: the request whose answer is this one's too.
    bool witnessDropped = false;
    std::vector<Listener> listeners;

    bool isOpen() const { return phase < RequestPhase::Moved; }
    uint64_t lineage() const { return branches.empty() ? 0 : branches.back().lineage; }
};

/// A caller here that reads the answer of a request owned by another daemon.
struct Follower {
    CallerId caller;
    RequestId request;
    Incarnation asking; ///< The daemon asked now.
    uint64_t offset = 0;
    uint64_t lineage = 0;
    uint64_t tag = 0;
    TimeMs askedAt;
    TimeMs progressAt; ///< When somebody last knew the request.
    uint32_t misses = 0;
    uint32_t redirects = 0; ///< Since then.
    bool claim = false;
    Incarnation notAt; ///< Said that it does not know the request.
};

/// A copy held for another daemon's request.
struct WitnessRecord {
    RequestCopy copy;
    Incarnation owner;
    TimeMs receivedAt;
};

/// The same for each try of a caller, and for a request that another daemon hands over.
RequestDigest digestOf(const RequestSpec &spec);

/// Where a caller that holds `offset` bytes of lineage `lineage` can read on: the last byte that every run
/// since then has in common with what it holds.
uint64_t commonOffset(const std::vector<Branch> &branches, uint64_t lineage, uint64_t offset);

} // namespace cranberry
