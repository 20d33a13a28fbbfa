#pragma once

#include "common/clock.h"

#include <optional>

namespace cranberry {

/// Notes when SIGTERM or SIGINT was sent to this process. Its event loop may take the signal much later: when
/// it is busy, or when the process gets no processor time.
///
/// To be called once all handlers of these signals are installed; they are called as before.
void noteStopSignals();

/// Returns a time that is not later than the signal was sent; nothing if there was none. The process has run
/// no step of its own between the two.
std::optional<TimeMs> stopSignalledAt();

} // namespace cranberry
