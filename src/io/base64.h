#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cranberry {

/// Standard base64 with padding.
std::string base64Encoded(std::string_view text);
/// Returns nothing if `text` is not valid base64.
std::optional<std::string> base64Decoded(std::string_view text);

} // namespace cranberry
