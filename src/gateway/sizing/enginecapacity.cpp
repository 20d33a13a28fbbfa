#include "gateway/sizing/enginecapacity.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Until enough first events were seen. Beside their running streams, engines of three deployments read 36 to
/// 44 tokens a ms in the mean of a day.
constexpr double UsualTokensPerMs = 45;
constexpr double UsualBaseMs = 100;
constexpr double UsualTokens = 5000; ///< Mean size of the request that one waits behind.
constexpr double UsualTargetMs = 600;
/// Fewer readings than this say little: lines through 77 to 173 of them, in windows of 10 s, gave 26 to 43
/// tokens a ms for the engines of one deployment.
constexpr double LeastReadings = 30;
/// A learned speed beyond these is an artefact: parts that were cached unknown to us, or a stalled engine.
constexpr double SlowestTokensPerMs = 2;
constexpr double FastestTokensPerMs = 2000;
/// Requests whose first event is late for want of engines, of all, by the estimate below, when the least
/// engines are there (after a reclaim). The estimate knows neither priorities nor the choice of the shortest
/// queue: 1 to 3 in 100 were late outside of outages.
constexpr double LatePart = 0.09;
/// Bounds of the part of an engine's time that reading may take. After a reclaim the shared parts that lay
/// there are read again, a third and more of the usual reading for some seconds, whatever the targets are:
/// with 0.75 two deployments with long shared parts and lenient targets served 1 in 100 less of their day
/// than with 0.6.
constexpr double LeastUsed = 0.2;
constexpr double MostUsed = 0.62;
constexpr double LeastSlackMs = 20;
constexpr int BisectionSteps = 20; ///< 2^-20 of the range.
/// Standard deviations kept free in a batch: about 2 in 100 of the moments have more requests than places.
constexpr double SpreadsFree = 2;

// The largest part of an engine's time that reading may take so that few requests wait beyond their slack.
// The wait behind others is taken as exponential, as in a queue with one server: with a part `used` of the
// time busy, and `behindMs` to wait for what is being read on average, used * exp(-slack * (1 - used) /
// behind).
double usedPart(double slackMs, double behindMs)
{
    double least = LeastUsed;
    double most = MostUsed;
    for (int i = 0; i < BisectionSteps; ++i) {
        const double used = (least + most) / 2;
        const double late = used * std::exp(-slackMs * (1 - used) / behindMs);
        (late > LatePart ? most : least) = used;
    }
    return least;
}

// Arrivals spread like a Poisson process: a mean m with m + k sqrt(m) = slots leaves k deviations free.
double runningMean(double slots)
{
    const double root = std::sqrt(SpreadsFree * SpreadsFree / 4 + slots) - SpreadsFree / 2;
    return std::max(root * root, 1.0);
}

} // namespace

ReadingSpeed readingSpeed(const ReadingSums &readings)
{
    const ReadingSpeed usual{UsualTokensPerMs, UsualBaseMs};
    const double spread = readings.count * readings.tokensSquared - readings.tokens * readings.tokens;
    const double slope = readings.count * readings.tokensMs - readings.tokens * readings.ms;
    if (readings.count < LeastReadings || spread <= 0 || slope <= 0)
        return usual;
    const double msPerToken = slope / spread;
    const double tokensPerMs = 1 / msPerToken;
    if (tokensPerMs < SlowestTokensPerMs || tokensPerMs > FastestTokensPerMs)
        return usual;
    const double baseMs = (readings.ms - msPerToken * readings.tokens) / readings.count;
    return {tokensPerMs, std::max(baseMs, 0.0)};
}

EngineCapacity engineCapacity(const EngineFigures &engine, const ServiceDemand &demand)
{
    const ReadingSpeed speed = readingSpeed(demand.readings);
    const bool isKnown = demand.requestsPerSecond > 0 && demand.prefillTokensPerSecond > 0;
    const double targetMs = isKnown ? demand.targetMsPerSecond / demand.requestsPerSecond : UsualTargetMs;
    // What is being read when a request arrives: large prompts are met more often than small ones.
    const double behindTokens
        = isKnown ? demand.prefillSquaresPerSecond / demand.prefillTokensPerSecond / 2 : UsualTokens;
    const double slackMs = std::max(targetMs - speed.baseMs, LeastSlackMs);
    const double used = usedPart(slackMs, behindTokens / speed.tokensPerMs);
    return {speed.tokensPerMs * 1000 * used, runningMean(engine.slots)};
}

} // namespace cranberry
