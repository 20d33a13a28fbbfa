#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cranberry {

/// Key of the newest era of the store in which the daemons' own records are whole again, among those that all
/// daemons share.
constexpr const char *SettledEraKey = "era";

/// An era as text, and back; nothing for text that is none.
std::string eraText(uint64_t era);
std::optional<uint64_t> eraFromText(const std::string &text);

} // namespace cranberry
