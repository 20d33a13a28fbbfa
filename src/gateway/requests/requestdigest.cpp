#include "gateway/requests/requestdigest.h"

#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace cranberry {

namespace {

constexpr size_t DigestDigits = 16;
constexpr int HexBase = 16;

uint64_t mix(const std::string &text, uint64_t before)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), before);
}

} // namespace

RequestDigest digestOf(const OrganisationName &organisation, const std::string &path, const std::string &body)
{
    const uint64_t value = mix(body, mix(path, mix(organisation.value, 0)));
    return {value == 0 ? 1 : value};
}

RequestDigest partDigestOf(const ServiceName &service, const std::string &partId)
{
    constexpr uint64_t PartSeed = 0x706172740a; // Not the digest of any request.
    const uint64_t value = mix(partId, mix(service.value, PartSeed));
    return {value == 0 ? 1 : value};
}

std::string toText(RequestDigest digest)
{
    return fmt::format("{:016x}", digest.value);
}

std::optional<RequestDigest> requestDigestFromText(const std::string &text)
{
    RequestDigest out;
    const char *end = text.data() + text.size();
    const std::from_chars_result read = std::from_chars(text.data(), end, out.value, HexBase);
    if (text.size() != DigestDigits || read.ec != std::errc() || read.ptr != end || !out)
        return std::nullopt;
    return out;
}

} // namespace cranberry
