#pragma once

#include "common/types.h"

namespace cranberry {

/// Hash of a request's content. It is the same for each retry of a caller, at any daemon, whatever request id
/// the retry has. 0: not computed.
struct RequestDigest {
    uint64_t value = 0;
    friend constexpr std::strong_ordering operator<=>(RequestDigest, RequestDigest) = default;
    explicit constexpr operator bool() const { return value != 0; }
};

/// Hashes organisation, path and body. Query and headers are left out, since callers vary them between
/// retries.
RequestDigest digestOf(const OrganisationName &organisation, const std::string &path,
                       const std::string &body);

/// Digest of a prompt part in the requests for one service. It is used like that of a request: all requests
/// with the part are suspected, or quarantined, together.
RequestDigest partDigestOf(const ServiceName &service, const std::string &partId);

std::string toText(RequestDigest digest); ///< Returns 16 hexadecimal digits.
/// Returns nothing for text of any other form, and for 0.
std::optional<RequestDigest> requestDigestFromText(const std::string &text);

} // namespace cranberry
