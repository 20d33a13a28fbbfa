#pragma once

#include "gateway/sizing/enginecapacity.h"

namespace cranberry {

/// Work that a service's engines have to do for callers' requests.
struct OfferedWork {
    double tokensPerSecond = 0; ///< Prefill.
    double running = 0; ///< Concurrent requests.
};

/// Returns the work of the requests as callers make them. Of their shared prompt tokens, `missShare` is
/// prefilled, since no cache holds it. Waiting requests count as far as their wait exceeds `bootDelay`, the
/// start time of an engine: no engine ordered now can shorten a shorter one.
OfferedWork offeredWork(const ServiceDemand &demand, double missShare, DurationMs bootDelay);

/// Number of engines of the service's usual speed that carry the work.
uint32_t enginesFor(const OfferedWork &work, const EngineCapacity &perEngine);

/// Engines lost within the last few start times, and those that are left.
struct EngineLoss {
    uint32_t lost = 0;
    double left = 0;
};

/// Returns the prefill rate that restores the lost engines' caches within `refillTime`, in addition to the
/// usual work. It is bounded by the shared tokens that callers use and by what the caches held.
double refillTokensPerSecond(const ServiceDemand &demand, const EngineLoss &loss, const EngineFigures &engine,
                             DurationMs refillTime);

} // namespace cranberry
