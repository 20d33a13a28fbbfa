#pragma once

#include "common/types.h"

namespace cranberry {

/// Stands for what a request asks for: the same for each try of one caller, at any daemon, whatever id the
/// try has. 0: none was worked out.
struct RequestDigest {
    uint64_t value = 0;
    friend constexpr std::strong_ordering operator<=>(RequestDigest, RequestDigest) = default;
    explicit constexpr operator bool() const { return value != 0; }
};

/// Of organisation, path and body. Not of the query and the headers: callers vary these between tries.
RequestDigest digestOf(const OrganisationName &organisation, const std::string &path,
                       const std::string &body);

std::string toText(RequestDigest digest); ///< 16 hexadecimal digits.
/// Nothing is returned for any other text, and for 0.
std::optional<RequestDigest> requestDigestFromText(const std::string &text);

} // namespace cranberry
