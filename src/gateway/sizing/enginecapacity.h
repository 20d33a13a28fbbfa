#pragma once

#include "gateway/gatewayevents.h"

namespace cranberry {

/// What one engine of a service may be given when the least engines are there that sizing allows.
struct EngineCapacity {
    double tokensPerSecond = 0; ///< To read.
    double running = 0; ///< Requests side by side.
};

/// How fast an engine reads, and what a first event takes besides.
struct ReadingSpeed {
    double tokensPerMs = 0;
    double baseMs = 0;
};

/// The line through the readings; usual figures while there are too few of them.
ReadingSpeed readingSpeed(const ReadingSums &readings);

/// From what is observed of the service's requests and engines, and from what callers want. Without network
/// or clock, for tests.
EngineCapacity engineCapacity(const EngineFigures &engine, const ServiceDemand &demand);

} // namespace cranberry
