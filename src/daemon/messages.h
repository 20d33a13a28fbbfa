#pragma once

#include "common/types.h"
#include "daemon/onceregister.h"

#include <memory>
#include <variant>

namespace cranberry {

// ---- Between daemons. Each may be lost, doubled, late or out of order; the core repeats and ignores. ----

enum class MarkKind : uint8_t {
    EndpointLeaving, ///< The instance `instance` was told to leave; it takes no new work.
    DaemonLeaving, ///< `subject` takes no new work.
    DaemonMoved ///< `subject` moved its register to `successor`; written by `subject` alone.
};

/// A fact that never becomes false again, so that merging needs no agreement.
struct Mark {
    MarkKind kind = MarkKind::EndpointLeaving;
    InstanceName instance;
    Incarnation subject;
    Incarnation successor;

    friend std::strong_ordering operator<=>(const Mark &, const Mark &) = default;
    friend bool operator==(const Mark &, const Mark &) = default;
};

/// A mark on its way, with what is left of the notice that came with it (0: none is known).
struct MarkNews {
    Mark mark;
    DurationMs notice;
};

/// One daemon as the others know it. Only the daemon itself raises `version`, to answer a suspicion, and the
/// highest one wins. `revision` is exact only where it comes from the daemon itself.
struct MemberInfo {
    Incarnation incarnation;
    InstanceName instance;
    FailureDomainName failureDomain;
    Address callerAddress;
    Address peerAddress;
    uint64_t version = 1;
    Revision revision; ///< Configuration in force there.

    friend bool operator==(const MemberInfo &, const MemberInfo &) = default;
};

/// "I asked this daemon and heard nothing." It answers by raising its version above this one.
struct Suspicion {
    Incarnation incarnation;
    uint64_t version = 0;

    friend std::strong_ordering operator<=>(const Suspicion &, const Suspicion &) = default;
    friend bool operator==(const Suspicion &, const Suspicion &) = default;
};

/// A probe and its answer, which carry news along.
struct Gossip {
    bool isReply = false;
    MemberInfo sender;
    std::vector<MemberInfo> members; ///< News, and a few at random.
    std::vector<Suspicion> suspicions;
    std::vector<MarkNews> marks;
    uint64_t markDigest = 0;
    bool wantsMarks = false; ///< Digests differ for long: send all.
    bool wantsMembers = false; ///< Just started: send all.
};

/// "I have this revision": who has a newer one pushes it; who waits for confirmations counts it.
struct ConfigurationHave {
    Revision revision;
};

struct ConfigurationPush {
    Revision revision;
    std::string text;
};

struct OnceReply {
    RequestId request; ///< Whose question this answers.
    OnceAction action = OnceAction::Acquire;
    OnceAnswer answer;
};

enum class CopyPurpose : uint8_t { Witness, Handover };

/// A later run of a request left the earlier text at `offset`. The first run has lineage 0.
struct Branch {
    uint64_t lineage = 0;
    uint64_t offset = 0;

    friend bool operator==(const Branch &, const Branch &) = default;
};

/// A whole request, to be kept as witness or to be taken over with what is generated so far.
struct RequestCopy {
    CopyPurpose purpose = CopyPurpose::Witness;
    RequestId request;
    Incarnation owner; ///< Witness copies that a leaving witness passes on; 0: the sender owns the request.
    RequestSpec spec; ///< Its deadline counts from the moment of sending.
    std::string text;
    uint32_t generatedTokens = 0; ///< Tokens in `text`.
    std::vector<Branch> branches;
    bool ended = false; ///< Handover of a whole answer that no caller has taken yet.
    AnswerEnd end;
};

struct CopyAck {
    CopyPurpose purpose = CopyPurpose::Witness;
    RequestId request;
};

struct WitnessDrop {
    RequestId request;
};

/// Reads on in an answer. With `claim`, the witness runs the request itself if it knows no living owner.
struct Fetch {
    uint64_t tag = 0;
    RequestId request;
    uint64_t offset = 0;
    uint64_t lineage = 0;
    bool claim = false;
    Incarnation notAt; ///< With `claim`: a daemon that said it does not know the request.
};

enum class FetchState : uint8_t { Open, Ended, Refused, OwnedBy, NotFound };

struct FetchReply {
    uint64_t tag = 0;
    FetchState state = FetchState::NotFound;
    uint64_t offset = 0; ///< Where `text` starts; at most the offset asked for.
    uint64_t lineage = 0;
    std::string text;
    AnswerEnd end;
    Refusal refusal;
    Incarnation owner; ///< With OwnedBy.
    RequestId request; ///< With OwnedBy: the request to read on in; another one if the key was held by it.
};

struct RegisterTransfer {
    std::vector<OnceSession> sessions;
};

struct RegisterTransferAck {
};

/// "You wrote to a life of this daemon that is over."
struct NotHere {
    Incarnation gone;
};

using PeerMessage
    = std::variant<Gossip, ConfigurationHave, ConfigurationPush, OnceQuestion, OnceReply, RequestCopy,
                   CopyAck, WitnessDrop, Fetch, FetchReply, RegisterTransfer, RegisterTransferAck, NotHere>;

// ---- Into the core ----

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

struct CallerGone {
    CallerId caller;
};

struct CallerEntries { ///< "Which entries shall I use?"
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
    uint32_t cachedTokens = 0; ///< Prompt tokens the engine had in its prefix cache.
};

/// How far an attempt had got when it failed: decides what may be repeated.
enum class FailurePhase : uint8_t {
    NotSent, ///< No byte left this process.
    SaidNotRun, ///< The endpoint answered that it did not run it.
    AfterSend, ///< Anything else.
    Silent, ///< Nothing came for the service's progress timeout.
    Ended ///< After it was sent, and then nobody listened there any more: the process ended.
};

struct EndpointFailed {
    AttemptId attempt;
    FailurePhase phase = FailurePhase::AfterSend;
};

struct PeerInbound {
    Incarnation from;
    Incarnation to; ///< The life it was sent to; 0: whoever lives here.
    PeerMessage message;
};

/// A configuration read from the platform's service, already checked.
struct ConfigurationSeen {
    Revision revision;
    std::string text;
};

struct PlatformSilent {
}; ///< The service could not be read.

struct LeavingSeen { ///< The cloud says that this instance is to leave after `notice`.
    InstanceName instance;
    DurationMs notice;
};

struct DrainRequested {
    std::optional<DurationMs> notice; ///< Absent: planned, as long as the open requests take.
};

/// The platform's answer about a bare key.
struct PlatformOnceReply {
    OnceReply reply;
    bool known = false; ///< False: the service was silent or its answer was lost for good.
};

using Event = std::variant<Tick, CallerSubmit, CallerResume, CallerGone, CallerEntries, EndpointData,
                           EndpointEnd, EndpointFailed, PeerInbound, ConfigurationSeen, PlatformSilent,
                           LeavingSeen, DrainRequested, PlatformOnceReply>;

// ---- Out of the core ----

struct SendPeer {
    Incarnation to; ///< 0: whoever lives at `address`.
    Address address;
    PeerMessage message;
};

struct StartAttempt {
    AttemptId attempt;
    EndpointName endpoint;
    Address address;
    ServiceKind kind = ServiceKind::Model;
    std::shared_ptr<const RequestSpec> spec;
    std::string prefix; ///< Generated so far: the engine goes on from here.
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
    uint64_t offset = 0; ///< Less than what the caller has: it cuts its copy here first.
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

struct CallerMoved { ///< The request goes on at another entry.
    CallerId caller;
    RequestId request;
    Address address;
};

struct CallerElsewhere { ///< This entry takes no new work; nothing is said about the work itself.
    CallerId caller;
    std::vector<Address> entries;
};

struct EntriesAnswer {
    CallerId caller;
    std::vector<Address> entries;
    DurationMs keep;
    OnceKey session; ///< Registrar and session number; registrar 0 if none was asked for.
};

struct AskPlatform { ///< A question about a bare key; its record is kept by the platform's service.
    OnceQuestion question;
};

struct ConfigurationInForce {
    Revision revision;
};

struct Stopped {
}; ///< Drained: the process may end.

using Action = std::variant<SendPeer, StartAttempt, CancelAttempt, CallerAccepted, CallerData, CallerEnd,
                            CallerRefused, CallerMoved, CallerElsewhere, EntriesAnswer, AskPlatform,
                            ConfigurationInForce, Stopped>;

} // namespace cranberry
