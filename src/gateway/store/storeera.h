#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cranberry {

/// Shared key that holds the newest settled era of the store: the newest one in which the daemons' own
/// records are complete again.
constexpr const char *SettledEraKey = "era";

/// Converts an era to text and back; returns nothing for text that is not a valid era.
std::string eraText(uint64_t era);
std::optional<uint64_t> eraFromText(const std::string &text);

} // namespace cranberry
