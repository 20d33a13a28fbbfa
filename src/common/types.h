#pragma once

#include "common/body.h"
#include "common/clock.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// A name assigned by operators or by the platform; the tag makes each kind of name a distinct type.
template <typename Tag>
struct Name {
    std::string value;

    friend std::strong_ordering operator<=>(const Name &, const Name &) = default;
    friend bool operator==(const Name &, const Name &) = default;
};

using InstanceName = Name<struct InstanceTag>; ///< A machine.
using FailureDomainName = Name<struct FailureDomainTag>; ///< A zone whose machines can fail together.
using OrganisationName = Name<struct OrganisationTag>; ///< A customer.
using ServiceName = Name<struct ServiceTag>;
using EndpointName = Name<struct EndpointTag>; ///< A back end.

/// IP address and port. Port 0 stands for "none".
struct Address {
    std::string host;
    uint16_t port = 0;

    friend std::strong_ordering operator<=>(const Address &, const Address &) = default;
    friend bool operator==(const Address &, const Address &) = default;
};

std::string toText(const Address &address);
std::optional<Address> addressFromText(const std::string &text);

/// Identifies one process lifetime of a daemon: a random number generated at process start. Only equality
/// matters, so daemons need no agreement to generate it (docs/design/identity.md). 0 means "none".
struct Incarnation {
    uint64_t value = 0;

    friend constexpr std::strong_ordering operator<=>(Incarnation, Incarnation) = default;
    explicit constexpr operator bool() const { return value != 0; }
};

/// Identifies a request in the whole system: the daemon that accepted it, its sequence number there, and the
/// daemon that holds the witness copy, so that any daemon can locate both without a directory.
struct RequestId {
    Incarnation owner;
    uint64_t sequence = 0;
    Incarnation witness; ///< A lookup hint; not part of the identity.

    friend constexpr bool operator==(const RequestId &a, const RequestId &b)
    {
        return a.owner == b.owner && a.sequence == b.sequence;
    }
};

std::string toText(const RequestId &id);
std::optional<RequestId> requestIdFromText(const std::string &text);

/// The key of a non-idempotent request. A key in a session is registered at the daemon that opened the
/// session (`registrar`); a bare key (no session) is registered in the platform's
/// service (docs/design/at-most-once.md).
struct OnceKey {
    Incarnation registrar;
    uint64_t session = 0;
    uint64_t sequence = 0;
    std::string bare;

    friend std::strong_ordering operator<=>(const OnceKey &, const OnceKey &) = default;
    friend bool operator==(const OnceKey &, const OnceKey &) = default;
    bool isSet() const { return static_cast<bool>(registrar) || !bare.empty(); }
    bool isBare() const { return !bare.empty(); }
};

struct CallerId { ///< An open connection of a caller at this daemon.
    uint64_t value = 0;
    friend constexpr std::strong_ordering operator<=>(CallerId, CallerId) = default;
};

struct AttemptId { ///< One attempt of this daemon to serve a request at one endpoint.
    uint64_t value = 0;
    friend constexpr std::strong_ordering operator<=>(AttemptId, AttemptId) = default;
};

struct Revision { ///< A version of the configuration; increases monotonically.
    uint64_t value = 0;
    friend constexpr std::strong_ordering operator<=>(Revision, Revision) = default;
};

enum class ServiceKind : uint8_t { Model, Plain };
enum class WorkClass : uint8_t { Interactive, Batch };

/// What a caller learns about a request without a response: it did not run, or its fate is unknown. No other
/// values will be added.
enum class Outcome : uint8_t { NotRun, Unknown };

/// Why a request was refused or abandoned. Each reason has its own counter.
enum class RefusalReason : uint8_t {
    NotReady,
    UnknownOrganisation,
    UnknownService,
    BadRequest,
    Overloaded,
    OrganisationLimit,
    NoEndpoint,
    DependencyShort,
    DeadlinePassed,
    KeyRefused,
    KeyUnknown,
    RegisterSilent,
    PlatformSilent,
    EndpointFailed,
    RetriesExhausted,
    RequestNotFound,
    OwnerGone,
    RequestQuarantined, ///< Endpoints crashed while they processed this request.
    Count
};

/// Why a request was retried at another endpoint. Each reason has its own counter.
enum class RetryReason : uint8_t {
    ConnectFailed,
    SaidNotRun,
    BrokenStream,
    SilentStream,
    EndpointLeaving,
    Count
};

const char *toText(RefusalReason reason);
const char *toText(RetryReason reason);
const char *toText(Outcome outcome);

/// A caller's request after decoding; immutable afterwards.
struct RequestSpec {
    OrganisationName organisation;
    ServiceName service;
    std::string path; ///< Request target relative to the service, for plain HTTP services.
    std::string method; ///< HTTP method, for plain HTTP services.
    Body body; ///< As received.
    std::string prompt; ///< Text of all messages, for prefix matching and the cost estimate.
    bool stream = false;
    bool idempotent = true;
    WorkClass workClass = WorkClass::Interactive;
    uint32_t maxTokens = 0; ///< Maximum requested by the caller.
    DurationMs deadline; ///< Relative to the arrival of the request.
    OnceKey key;
    uint32_t attempt = 1; ///< The caller's attempt number for this key.

    friend bool operator==(const RequestSpec &, const RequestSpec &) = default;
};

/// Final properties of a response; the caller verifies the complete response against them.
struct AnswerEnd {
    int status = 200;
    std::string contentType;
    std::string finishReason;
    uint64_t length = 0;
    uint64_t digest = 0; ///< XXH3 of the complete text.
    bool isUnframed = false; ///< Its endpoint stated no end: it is whole, or cut short.

    friend bool operator==(const AnswerEnd &, const AnswerEnd &) = default;
};

uint64_t digestOf(const std::string &text);
/// The same digest in 63 bits, so that it fits a signed 64-bit integer of a JSON reader.
uint64_t jsonDigestOf(const std::string &text);

/// A refusal or a final "unknown" outcome, with the time after which a retry may succeed.
struct Refusal {
    Outcome outcome = Outcome::Unknown; ///< `NotRun` must be set explicitly, where it is certain.
    RefusalReason reason = RefusalReason::OwnerGone;
    DurationMs retryAfter;
};

} // namespace cranberry

template <>
struct std::hash<cranberry::RequestId> {
    size_t operator()(const cranberry::RequestId &id) const noexcept
    {
        return id.owner.value ^ (id.sequence * 0x9E3779B97F4A7C15ULL);
    }
};
