#pragma once

#include <cstdint>
#include <string>

namespace cranberry {

/// Key of the newest era of the store in which the daemons' own records are whole again, among those that all
/// daemons share.
constexpr const char *SettledEraKey = "era";

/// An era as the text of that key, and back; 0 for text that is none.
std::string eraText(uint64_t era);
uint64_t eraFromText(const std::string &text);

} // namespace cranberry
