#pragma once

#include "common/clock.h"
#include "gateway/gatewaycounters.h"

#include <map>
#include <optional>

namespace cranberry {

/// What became of requests since the signal that asked the process to stop. One that was taken and refused
/// later counts in both.
struct StopRecord {
    uint64_t taken = 0; ///< Admitted requests that arrived after the signal.
    std::map<GatewayRefusal, uint64_t> refused; ///< Requests that arrived after the signal.
    std::optional<TimeMs> lastAnswerAt; ///< Newest whole answer, other than refusals on arrival.
};

} // namespace cranberry
