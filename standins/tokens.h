#pragma once

#include <cstdint>
#include <string>

namespace standin {

/// The answer of the stand-in engine is a function of the prompt alone: token `index` for the seed of a
/// prompt.
uint64_t seedOf(const std::string &prompt);
std::string tokenAt(uint64_t seed, uint64_t index);

/// The whole answer, as a caller may check it.
std::string answerOf(const std::string &prompt, uint64_t tokens);

} // namespace standin
