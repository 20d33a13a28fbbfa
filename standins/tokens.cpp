#include "tokens.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace standin {

uint64_t seedOf(const std::string &prompt)
{
    return XXH3_64bits(prompt.data(), prompt.size());
}

std::string tokenAt(uint64_t seed, uint64_t index)
{
    return fmt::format("w{:03x} ", XXH3_64bits_withSeed(&index, sizeof(index), seed) & 0xfff);
}

std::string expectedAnswer(const std::string &prompt, uint64_t tokens)
{
    std::string out;
    for (uint64_t i = 0; i < tokens; ++i)
        out += tokenAt(seedOf(prompt), i);
    return out;
}

} // namespace standin
