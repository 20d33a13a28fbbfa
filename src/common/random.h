#pragma once

#include <cstdint>
#include <random>

namespace cranberry {

/// The only source of randomness in the core; seeded, so that a simulation is reproducible.
class Random
{
public:
    explicit Random(uint64_t seed) : engine_(seed) { }

    /// Uniform in [0, bound); 0 for bound 0.
    uint64_t below(uint64_t bound) { return bound == 0 ? 0 : engine_() % bound; }
    uint64_t next() { return engine_(); }

private:
    std::mt19937_64 engine_;
};

} // namespace cranberry
