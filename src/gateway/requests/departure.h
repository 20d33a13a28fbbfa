#pragma once

#include "common/clock.h"

namespace cranberry {

/// The times by which a process that was asked to stop is done with its requests.
struct Departure {
    TimeMs signalledAt; ///< Not later than the signal was sent.
    TimeMs answersDueAt; ///< Each request of which the caller has no byte gets a final response by this time.
    TimeMs exitsAt; ///< The process exits by this time, whatever is open.
};

/// `grace`: time from the signal until the process is killed. Both times are in the last sixth of it.
constexpr Departure departureOf(TimeMs signalledAt, DurationMs grace)
{
    return {signalledAt, signalledAt + grace - grace / 12, signalledAt + grace - grace / 24};
}

} // namespace cranberry
