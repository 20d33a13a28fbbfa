#pragma once

#include "common/clock.h"

#include <chrono>

namespace cranberry {

/// The clock of byte budgets and of whatever else compares times within one process.
inline TimeMs steadyTime()
{
    const std::chrono::steady_clock::duration sinceEpoch
        = std::chrono::steady_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()};
}

} // namespace cranberry
