#pragma once

#include "common/clock.h"

namespace cranberry {

/// Returns the monotonic time including suspend (CLOCK_BOOTTIME), so that leases and ages advance while an
/// instance is suspended.
TimeMs steadyNow();

/// Returns what `steadyNow` returned last. May be called in signal handlers.
TimeMs newestSteadyTime();

/// Returns the wall-clock time in milliseconds since 1970. It may jump.
int64_t wallNowMs();

} // namespace cranberry
