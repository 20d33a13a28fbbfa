#pragma once

#include "common/clock.h"

namespace cranberry {

/// The steady clock that also counts time in suspension: leases and ages go on while an instance sleeps.
TimeMs steadyNow();

/// Time of day, in milliseconds since 1970. May jump.
int64_t wallNowMs();

} // namespace cranberry
