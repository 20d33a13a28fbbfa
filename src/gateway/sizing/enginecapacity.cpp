#include "gateway/sizing/enginecapacity.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Defaults until enough first events have been measured. Alongside their running streams, engines of three
/// deployments prefilled 36 to 44 tokens per ms on average over a day.
constexpr double DefaultTokensPerMs = 45;
constexpr double DefaultBaseMs = 100;
constexpr double DefaultQueuedTokens = 5000; ///< Mean prefill that a new request waits behind.
constexpr double DefaultTargetMs = 600;
/// Min samples for the linear fit; with fewer, single slow prefills change its slope.
constexpr double MinPrefillSamples = 30;
/// A fitted speed outside these bounds is an artefact of prompt parts that were cached without our knowledge,
/// or of a stalled engine.
constexpr double MinTokensPerMs = 2;
constexpr double MaxTokensPerMs = 2000;
/// Max share of requests whose first event is late for lack of engines, by the estimate in `maxUtilization`,
/// when only the minimum number of engines is left (after a reclaim). The estimate ignores priorities and the
/// choice of the shortest queue, so fewer are late.
constexpr double MaxLateShare = 0.09;
/// Bounds of the share of an engine's time spent on prefill. After a reclaim the shared prompt parts that
/// were cached there are prefilled again, which adds a third or more to the usual prefill for some seconds,
/// whatever the targets are.
constexpr double MinUtilization = 0.2;
constexpr double MaxUtilization = 0.62;
constexpr double MinSlackMs = 20;
constexpr int BisectionSteps = 20; ///< Narrows the range to 2^-20 of its width.
/// Standard deviations of the batch size kept free as headroom: in about 2 in 100 moments there are more
/// requests than slots.
constexpr double HeadroomDeviations = 2;

// Returns the largest share of an engine's time that prefill may use so that few requests wait longer than
// their slack. The queueing time is taken as exponential, as in a single-server queue: at utilization u and a
// mean residual prefill of `queuedMs`, the late share is u * exp(-slack * (1 - u) / queuedMs).
double maxUtilization(double slackMs, double queuedMs)
{
    double low = MinUtilization;
    double high = MaxUtilization;
    for (int i = 0; i < BisectionSteps; ++i) {
        const double utilization = (low + high) / 2;
        const double lateShare = utilization * std::exp(-slackMs * (1 - utilization) / queuedMs);
        (lateShare > MaxLateShare ? high : low) = utilization;
    }
    return low;
}

// Returns the mean number of running requests for a batch of `slots`. Arrivals are taken as a Poisson
// process: a mean m with m + k sqrt(m) = slots leaves k standard deviations free.
double meanConcurrency(double slots)
{
    const double root
        = std::sqrt(HeadroomDeviations * HeadroomDeviations / 4 + slots) - HeadroomDeviations / 2;
    return std::max(root * root, 1.0);
}

} // namespace

PrefillSpeed prefillSpeed(const PrefillSums &sums)
{
    const PrefillSpeed defaults{DefaultTokensPerMs, DefaultBaseMs};
    const double varianceTerm = sums.count * sums.tokensSquared - sums.tokens * sums.tokens;
    const double covarianceTerm = sums.count * sums.tokensMs - sums.tokens * sums.ms;
    if (sums.count < MinPrefillSamples || varianceTerm <= 0 || covarianceTerm <= 0)
        return defaults;
    const double msPerToken = covarianceTerm / varianceTerm;
    const double tokensPerMs = 1 / msPerToken;
    if (tokensPerMs < MinTokensPerMs || tokensPerMs > MaxTokensPerMs)
        return defaults;
    const double baseMs = (sums.ms - msPerToken * sums.tokens) / sums.count;
    return {tokensPerMs, std::max(baseMs, 0.0)};
}

EngineCapacity engineCapacity(const EngineFigures &engine, const ServiceDemand &demand)
{
    const PrefillSpeed speed = prefillSpeed(demand.prefillSums);
    const bool isKnown = demand.requestsPerSecond > 0 && demand.prefillTokensPerSecond > 0;
    const double targetMs = isKnown ? demand.targetMsPerSecond / demand.requestsPerSecond : DefaultTargetMs;
    // Mean prefill in progress when a request arrives: large prompts are met more often than small ones.
    const double queuedTokens
        = isKnown ? demand.prefillSquaresPerSecond / demand.prefillTokensPerSecond / 2 : DefaultQueuedTokens;
    const double slackMs = std::max(targetMs - speed.baseMs, MinSlackMs);
    const double utilization = maxUtilization(slackMs, queuedTokens / speed.tokensPerMs);
    return {speed.tokensPerMs * 1000 * utilization, meanConcurrency(engine.slots)};
}

} // namespace cranberry
