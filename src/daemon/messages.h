#pragma once

#include "common/types.h"
#include "daemon/onceregister.h"

#include <memory>
#include <variant>

namespace cranberry {

// ---- Messages between daemons. Each may be lost, duplicated, delayed or reordered: the core resends what
// is not acknowledged and ignores duplicates. ----

enum class MarkKind : uint8_t {
    EndpointLeaving, ///< `instance` received a notice to leave and takes no new work.
    DaemonLeaving, ///< `subject` takes no new work.
    DaemonMoved ///< `subject` transferred its register to `successor`; only `subject` writes this mark.
};

/// A fact that, once true, stays true, so that sets of marks merge without coordination.
struct Mark {
    MarkKind kind = MarkKind::EndpointLeaving;
    InstanceName instance;
    Incarnation subject;
    Incarnation successor;

    friend std::strong_ordering operator<=>(const Mark &, const Mark &) = default;
    friend bool operator==(const Mark &, const Mark &) = default;
};

/// A mark as it is sent, with the time left of its notice (0 if no notice is known).
struct MarkUpdate {
    Mark mark;
    DurationMs notice;
};

/// One daemon as its peers know it. Only the daemon itself raises `version`, to refute a suspicion; the entry
/// with the highest version wins a merge. `revision` is exact only if it was received from the daemon itself.
struct MemberInfo {
    Incarnation incarnation;
    InstanceName instance;
    FailureDomainName failureDomain;
    Address callerAddress;
    Address peerAddress;
    uint64_t version = 1;
    Revision revision; ///< Configuration in force at that daemon.

    friend bool operator==(const MemberInfo &, const MemberInfo &) = default;
};

/// Reports that a daemon did not reply to a probe. That daemon refutes it by raising its version above this
/// one.
struct Suspicion {
    Incarnation incarnation;
    uint64_t version = 0;

    friend std::strong_ordering operator<=>(const Suspicion &, const Suspicion &) = default;
    friend bool operator==(const Suspicion &, const Suspicion &) = default;
};

/// A probe or the reply to one; both carry membership updates and marks.
struct Gossip {
    bool isReply = false;
    MemberInfo sender;
    std::vector<MemberInfo> members; ///< Recent updates and a few random members.
    std::vector<Suspicion> suspicions;
    std::vector<MarkUpdate> marks;
    uint64_t markDigest = 0;
    bool wantsMarks = false; ///< Asks for all marks, because the digests have differed for several messages.
    bool wantsMembers = false; ///< Asks for all members, because the sender has just started.
};

/// Announces the sender's revision. A receiver with a newer one pushes it; a receiver that waits for
/// confirmations counts it.
struct ConfigurationHave {
    Revision revision;
};

struct ConfigurationPush {
    Revision revision;
    std::string text;
};

struct OnceReply {
    RequestId request; ///< The request on whose behalf the register was queried.
    OnceAction action = OnceAction::Acquire;
    OnceAnswer answer;
};

enum class CopyPurpose : uint8_t { Witness, Handover };

/// The point where a later generation of a request diverges from the earlier text. The first generation has
/// lineage 0.
struct Branch {
    uint64_t lineage = 0;
    uint64_t offset = 0;

    friend bool operator==(const Branch &, const Branch &) = default;
};

/// A complete request, either to be stored by a witness or to be taken over with the text generated so far.
struct RequestCopy {
    CopyPurpose purpose = CopyPurpose::Witness;
    RequestId request;
    Incarnation owner; ///< Set in copies that a leaving witness forwards; 0: the sender owns the request.
    RequestSpec spec; ///< Its deadline is relative to the time of sending.
    std::string text;
    uint32_t generatedTokens = 0; ///< Tokens in `text`.
    std::vector<Branch> branches;
    bool ended = false; ///< Handover of a complete answer that was not yet delivered to a caller.
    AnswerEnd end;
};

struct CopyAck {
    CopyPurpose purpose = CopyPurpose::Witness;
    RequestId request;
};

struct WitnessDrop {
    RequestId request;
};

/// Reads the next part of an answer. With `claim`, the witness takes the request over if it knows no live
/// owner.
struct Fetch {
    uint64_t tag = 0;
    RequestId request;
    uint64_t offset = 0;
    uint64_t lineage = 0;
    bool claim = false;
    Incarnation notAt; ///< With `claim`: a daemon that replied NotFound for the request.
};

enum class FetchState : uint8_t { Open, Ended, Refused, OwnedBy, NotFound };

struct FetchReply {
    uint64_t tag = 0;
    FetchState state = FetchState::NotFound;
    uint64_t offset = 0; ///< Where `text` starts; not above the requested offset.
    uint64_t lineage = 0;
    std::string text;
    AnswerEnd end;
    Refusal refusal;
    Incarnation owner; ///< With OwnedBy.
    RequestId request; ///< With OwnedBy: the request to read from; another request if that one holds the key.
};

struct RegisterTransfer {
    std::vector<OnceSession> sessions;
};

struct RegisterTransferAck {
};

/// Reply to a message that was addressed to an earlier incarnation of this daemon.
struct NotHere {
    Incarnation gone;
};

using PeerMessage
    = std::variant<Gossip, ConfigurationHave, ConfigurationPush, OnceQuery, OnceReply, RequestCopy, CopyAck,
                   WitnessDrop, Fetch, FetchReply, RegisterTransfer, RegisterTransferAck, NotHere>;

// ---- Events handled by the core ----

struct Tick {
};

struct CallerSubmit {
    CallerId caller;
    RequestSpec spec;
};

struct CallerResume {
    CallerId caller;
    RequestId request;
    uint64_t offset = 0;
    uint64_t lineage = 0;
};

struct CallerDisconnected {
    CallerId caller;
};

struct CallerEntriesRequest { ///< Asks for the list of entries that the caller may use.
    CallerId caller;
    OrganisationName organisation;
    bool wantsSession = false;
};

struct EndpointData {
    AttemptId attempt;
    std::string text;
    uint32_t tokens = 0;
};

struct EndpointEnd {
    AttemptId attempt;
    int status = 200;
    std::string contentType;
    std::string finishReason;
    uint32_t cachedTokens = 0; ///< Prompt tokens found in the engine's prefix cache.
    bool isUnframed = false; ///< The response ended with its connection: whole, or cut short.
};

/// How far an attempt had got when it failed. Decides whether it may be retried.
enum class FailurePhase : uint8_t {
    NotSent, ///< No byte was sent.
    SaidNotRun, ///< The endpoint replied that it did not execute the request.
    AfterSend, ///< Failed after bytes were sent, in any way not listed here.
    Silent, ///< No data arrived within the service's progress timeout.
    EndpointExited ///< Failed after sending, and the port refused connections afterwards: the process exited.
};

struct EndpointFailed {
    AttemptId attempt;
    FailurePhase phase = FailurePhase::AfterSend;
};

struct PeerInbound {
    Incarnation from;
    Incarnation to; ///< The incarnation it was sent to; 0: whichever runs at this address.
    PeerMessage message;
};

/// A validated configuration that was read from the platform's service.
struct ConfigurationReceived {
    Revision revision;
    std::string text;
};

struct PlatformUnreachable {
}; ///< The platform's service could not be read.

struct LeavingNotice { ///< The cloud announced that the instance leaves after `notice`.
    InstanceName instance;
    DurationMs notice;
};

struct DrainRequested {
    std::optional<DurationMs>
        notice; ///< Absent for a planned drain, which lasts until the open requests are done.
};

/// The platform's reply to a query about a bare key.
struct PlatformOnceReply {
    OnceReply reply;
    bool known = false; ///< False if the service did not reply or its reply was lost.
};

using Event = std::variant<Tick, CallerSubmit, CallerResume, CallerDisconnected, CallerEntriesRequest,
                           EndpointData, EndpointEnd, EndpointFailed, PeerInbound, ConfigurationReceived,
                           PlatformUnreachable, LeavingNotice, DrainRequested, PlatformOnceReply>;

// ---- Actions returned by the core ----

struct SendPeer {
    Incarnation to; ///< 0: whichever incarnation runs at `address`.
    Address address;
    PeerMessage message;
};

struct StartAttempt {
    AttemptId attempt;
    EndpointName endpoint;
    Address address;
    ServiceKind kind = ServiceKind::Model;
    std::shared_ptr<const RequestSpec> spec;
    std::string prefix; ///< Text generated so far, which the engine continues.
    uint32_t prefixTokens = 0;
    DurationMs progressTimeout;
};

struct CancelAttempt {
    AttemptId attempt;
};

struct CallerAccepted {
    CallerId caller;
    RequestId request;
};

struct CallerData {
    CallerId caller;
    uint64_t offset
        = 0; ///< If below the caller's length, the caller truncates its copy to this offset first.
    uint64_t lineage = 0;
    std::string text;
};

struct CallerEnd {
    CallerId caller;
    AnswerEnd end;
};

struct CallerRefused {
    CallerId caller;
    Refusal refusal;
};

struct CallerMoved { ///< The request continues at another entry.
    CallerId caller;
    RequestId request;
    Address address;
};

struct CallerRedirected { ///< This entry takes no new work; it makes no statement about the request itself.
    CallerId caller;
    std::vector<Address> entries;
};

struct CallerEntriesReply {
    CallerId caller;
    std::vector<Address> entries;
    DurationMs ttl;
    OnceKey session; ///< Registrar and session number; registrar 0 if no session was requested.
};

struct QueryPlatform { ///< A query about a bare key, whose record the platform's service stores.
    OnceQuery question;
};

struct ConfigurationInForce {
    Revision revision;
};

struct Stopped {
}; ///< The drain is complete: the process may exit.

using Action = std::variant<SendPeer, StartAttempt, CancelAttempt, CallerAccepted, CallerData, CallerEnd,
                            CallerRefused, CallerMoved, CallerRedirected, CallerEntriesReply, QueryPlatform,
                            ConfigurationInForce, Stopped>;

} // namespace cranberry
