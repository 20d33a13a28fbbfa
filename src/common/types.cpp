#include "common/types.h"

#include <array>
#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace cranberry {

namespace {

constexpr std::array<const char *, static_cast<size_t>(RefusalReason::Count)> RefusalNames
    = {"notReady",          "unknownOrganisation", "unknownService",    "badRequest",     "overloaded",
       "organisationLimit", "noEndpoint",          "dependencyShort",   "deadlinePassed", "keyRefused",
       "keyUnknown",        "registerSilent",      "platformSilent",    "endpointFailed", "retriesExhausted",
       "requestNotFound",   "ownerGone",           "requestQuarantined"};

constexpr std::array<const char *, static_cast<size_t>(RetryReason::Count)> RetryNames
    = {"connectFailed", "saidNotRun", "brokenStream", "silentStream", "endpointLeaving"};

std::optional<uint64_t> numberFrom(const std::string &text, int base)
{
    uint64_t value = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, value, base);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return value;
}

} // namespace

std::string toText(const Address &address)
{
    return fmt::format("{}:{}", address.host, address.port);
}

std::optional<Address> addressFromText(const std::string &text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    const std::optional<uint64_t> port = numberFrom(text.substr(colon + 1), 10);
    if (!port || *port == 0 || *port > 65535)
        return std::nullopt;
    return Address{text.substr(0, colon), static_cast<uint16_t>(*port)};
}

std::string toText(const RequestId &id)
{
    return fmt::format("{:016x}-{:x}-{:016x}", id.owner.value, id.sequence, id.witness.value);
}

std::optional<RequestId> requestIdFromText(const std::string &text)
{
    const size_t first = text.find('-');
    const size_t second = first == std::string::npos ? first : text.find('-', first + 1);
    if (second == std::string::npos)
        return std::nullopt;
    const std::optional<uint64_t> owner = numberFrom(text.substr(0, first), 16);
    const std::optional<uint64_t> sequence = numberFrom(text.substr(first + 1, second - first - 1), 16);
    const std::optional<uint64_t> witness = numberFrom(text.substr(second + 1), 16);
    if (!owner || !sequence || !witness)
        return std::nullopt;
    return RequestId{{*owner}, *sequence, {*witness}};
}

const char *toText(RefusalReason reason)
{
    return RefusalNames[static_cast<size_t>(reason)];
}

const char *toText(RetryReason reason)
{
    return RetryNames[static_cast<size_t>(reason)];
}

const char *toText(Outcome outcome)
{
    return outcome == Outcome::NotRun ? "notRun" : "unknown";
}

uint64_t digestOf(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

uint64_t jsonDigestOf(const std::string &text)
{
    return digestOf(text) >> 1U;
}

} // namespace cranberry
