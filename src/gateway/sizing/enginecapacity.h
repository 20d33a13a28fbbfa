#pragma once

#include "gateway/gatewayevents.h"

namespace cranberry {

/// Load that one engine of a service may carry when only the minimum number of engines that sizing allows is
/// left.
struct EngineCapacity {
    double tokensPerSecond = 0; ///< Prefill rate.
    double running = 0; ///< Concurrent requests.
};

/// Prefill speed of an engine, and the fixed part of the time to the first event.
struct PrefillSpeed {
    double tokensPerMs = 0;
    double baseMs = 0;
};

/// Fits a line through the prefill samples; returns defaults while there are too few of them.
PrefillSpeed prefillSpeed(const PrefillSums &sums);

/// Computes the capacity from the observed requests and engines of the service and the latency targets of
/// callers. Uses no network or clock, so that tests can call it directly.
EngineCapacity engineCapacity(const EngineFigures &engine, const ServiceDemand &demand);

} // namespace cranberry
