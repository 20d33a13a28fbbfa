#pragma once

#include <cstdint>
#include <string>

namespace standin {

/// The stand-in engine's answer is a function of the prompt alone: tokenAt() returns token `index` for the
/// seed of a prompt.
uint64_t seedOf(const std::string &prompt);
std::string tokenAt(uint64_t seed, uint64_t index);

/// Returns the complete answer to a prompt, for checks by callers.
std::string expectedAnswer(const std::string &prompt, uint64_t tokens);

} // namespace standin
