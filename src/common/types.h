#pragma once

#include "common/clock.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// A name given by people or by the platform; the tag keeps the kinds apart.
template <typename Tag>
struct Name {
    std::string value;

    friend std::strong_ordering operator<=>(const Name &, const Name &) = default;
    friend bool operator==(const Name &, const Name &) = default;
};

using InstanceName = Name<struct InstanceTag>; ///< A machine.
using FailureDomainName = Name<struct FailureDomainTag>; ///< A zone that fails as one.
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

/// One life of one daemon: a random number drawn at process start. Only equality is ever used, so no
/// agreement is needed to draw it (docs/design/identity.md). 0 stands for "nobody".
struct Incarnation {
    uint64_t value = 0;

    friend constexpr std::strong_ordering operator<=>(Incarnation, Incarnation) = default;
    explicit constexpr operator bool() const { return value != 0; }
};

/// Names a request everywhere: the daemon that accepted it, its number there, and the daemon that holds
/// the witness copy, so that any entry can find both without a directory.
struct RequestId {
    Incarnation owner;
    uint64_t sequence = 0;
    Incarnation witness; ///< A hint where to look, no part of the identity.

    friend constexpr bool operator==(const RequestId &a, const RequestId &b)
    {
        return a.owner == b.owner && a.sequence == b.sequence;
    }
};

std::string toText(const RequestId &id);
std::optional<RequestId> requestIdFromText(const std::string &text);

/// The key of non-idempotent work. A session names its register; a bare key (no session) is registered
/// in the platform's service (docs/design/at-most-once.md).
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

struct AttemptId { ///< One try at one endpoint, at this daemon.
    uint64_t value = 0;
    friend constexpr std::strong_ordering operator<=>(AttemptId, AttemptId) = default;
};

struct Revision { ///< A version of the configuration; only ever grows.
    uint64_t value = 0;
    friend constexpr std::strong_ordering operator<=>(Revision, Revision) = default;
};

enum class ServiceKind : uint8_t { Model, Plain };
enum class WorkClass : uint8_t { Interactive, Batch };

/// What the caller is told when the answer is not had. The list is closed.
enum class Outcome : uint8_t { NotRun, Unknown };

/// Why work was refused or given up. One counter each.
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
    RequestQuarantined, ///< Endpoints ended under the same request before.
    Count
};

/// Why an attempt was repeated at another endpoint. One counter each.
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

/// What a caller asked for, as read from its request; never changed afterwards.
struct RequestSpec {
    OrganisationName organisation;
    ServiceName service;
    std::string path; ///< Target below the service, for plain calls.
    std::string method; ///< HTTP method for plain calls.
    std::string body; ///< As received.
    std::string prompt; ///< Text of all messages, for prefix knowledge and the work estimate.
    bool stream = false;
    bool idempotent = true;
    WorkClass workClass = WorkClass::Interactive;
    uint32_t maxTokens = 0; ///< Asked for by the caller.
    DurationMs deadline; ///< From arrival.
    OnceKey key;
    uint32_t attempt = 1; ///< The caller's own count of tries with this key.

    friend bool operator==(const RequestSpec &, const RequestSpec &) = default;
};

/// End of an answer: what the caller checks the whole against.
struct AnswerEnd {
    int status = 200;
    std::string contentType;
    std::string finishReason;
    uint64_t length = 0;
    uint64_t digest = 0; ///< XXH3 of the whole text.

    friend bool operator==(const AnswerEnd &, const AnswerEnd &) = default;
};

uint64_t digestOf(const std::string &text);
/// The same in 63 bits: JSON readers keep no more.
uint64_t jsonDigestOf(const std::string &text);

/// A refusal or a final "unknown", with the time after which it is worth asking again.
struct Refusal {
    Outcome outcome = Outcome::Unknown; ///< "Not run" is only ever said on purpose.
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
