#include "gateway/endpoints/enginespeeds.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Weight of the usual speed, in samples. One outlier of five times the usual time changes the newest
/// estimate of an unknown engine to 2, and of one that has ten usual samples to 1.3.
constexpr double PriorSamples = 3;
constexpr double SettledPriorSamples = 10;
/// The newest samples replace the settled slowness when they differ from it by this factor, and one of the
/// two shows an engine of less than half the usual speed. Queues that are not known yet change the ratio of a
/// few samples by up to a half.
constexpr double ClearDifference = 1.35;
constexpr double ClearSlowness = 2;
/// The predictions are calibrated over some hundred requests, so that one engine that changes its speed does
/// not shift the usual one.
constexpr double CalibrationTimeConstantMs = 30000;
constexpr double CalibrationPriorSamples = 20;
/// A sample counts as at most this multiple of its prediction: a request may have waited for reasons other
/// than the engine's speed.
constexpr double MaxSampleRatio = 6;
/// Events arrive with a delay of some milliseconds, which is not the engine's speed.
constexpr double MinPredictedMs = 10;
/// Samples with a smaller count are dropped.
constexpr double MinCount = 0.05;
/// A row is not sent if both the engine's estimate and this daemon's own samples differ less than this from
/// the usual speed.
constexpr double MinReportedDeviation = 0.1;

/// Multiples of the median from which on an engine is ejected, and down to which it stays ejected.
constexpr double EjectionRatio = 3;
constexpr double ReturnRatio = 2;
/// At most this part (1/5) of a service's engines is ejected, so that the others can carry their load.
constexpr size_t MaxEjectedDivisor = 5;

double decayFactor(DurationMs age, double timeConstantMs)
{
    return std::exp(-std::max<double>(static_cast<double>(age.count), 0) / timeConstantMs);
}

/// Returns the ratio of the sums, shrunk towards 1 by a number of samples of average size.
double shrunkRatio(const EngineSpeedSums &sums, double priorSamples)
{
    if (sums.count <= 0 || sums.expectedMs <= 0)
        return 1;
    const double prior = priorSamples * sums.expectedMs / sums.count;
    return (std::max(sums.observedMs, 0.0) + prior) / (sums.expectedMs + prior);
}

} // namespace

EngineSpeedSums EngineSpeeds::DecayingSums::valueAt(TimeMs now) const
{
    const double factor = decayFactor(now - at, timeConstantMs);
    return {sums.expectedMs * factor, sums.observedMs * factor, sums.count * factor};
}

void EngineSpeeds::DecayingSums::add(const EngineSpeedSums &other, double factor, TimeMs now)
{
    sums = valueAt(now);
    at = now;
    sums.expectedMs = std::max(sums.expectedMs + factor * other.expectedMs, 0.0);
    sums.observedMs = std::max(sums.observedMs + factor * other.observedMs, 0.0);
    sums.count = std::max(sums.count + factor * other.count, 0.0);
}

// Queues that this daemon does not know of, and steps shared with running streams, lengthen the times at all
// engines. They must not look like a difference between engines, so predictions are multiplied by their usual
// error.
double EngineSpeeds::calibrated(const ServiceName &service, double predictedMs, double observedMs, TimeMs now)
{
    Calibration &calibration = calibrations_[service];
    const double factor = decayFactor(now - calibration.at, CalibrationTimeConstantMs);
    EngineSpeedSums &sums = calibration.sums;
    const double ratio = shrunkRatio(sums, CalibrationPriorSamples);
    const double capped = std::min(observedMs, MaxSampleRatio * predictedMs * ratio);
    sums = {sums.expectedMs * factor + predictedMs, sums.observedMs * factor + capped,
            sums.count * factor + 1};
    calibration.at = now;
    return predictedMs * ratio;
}

void EngineSpeeds::recordFirstEvent(const ServiceName &service, const EndpointIncarnation &engine,
                                    double predictedMs, DurationMs observed, TimeMs now)
{
    const double ms = static_cast<double>(observed.count);
    const double expectedMs = calibrated(service, std::max(predictedMs, MinPredictedMs), ms, now);
    const EngineSpeedSums sample{expectedMs, std::min(ms, MaxSampleRatio * expectedMs), 1};
    const double surpriseMs = std::abs(sample.observedMs - slowness(engine, now) * expectedMs);
    Engine &known = engines_[engine];
    known.changedMs = known.changedMs * decayFactor(now - known.own.at, SampleTimeConstantMs) + surpriseMs;
    known.own.add(sample, 1, now);
    known.all.add(sample, 1, now);
    known.settled.add(sample, 1, now);
}

void EngineSpeeds::takeRows(Incarnation peer, const std::vector<EngineSpeedRow> &rows, TimeMs now)
{
    for (const EngineSpeedRow &row : rows) {
        const bool isValid = row.sums.count > 0 && row.sums.expectedMs > 0 && row.sums.observedMs >= 0;
        if (!isValid)
            continue;
        Engine &engine = engines_[row.engine];
        DecayingSums &newest = engine.peers[peer];
        const EngineSpeedSums before = newest.valueAt(now);
        engine.all.add(before, -1, now);
        newest.sums = row.sums;
        newest.at = now;
        engine.all.add(row.sums, 1, now);
        // What the row has beyond the decayed earlier one are newer samples.
        if (row.sums.count > before.count && row.sums.expectedMs > before.expectedMs)
            engine.settled.add({row.sums.expectedMs - before.expectedMs,
                                std::max(row.sums.observedMs - before.observedMs, 0.0),
                                row.sums.count - before.count},
                               1, now);
    }
}

std::vector<EngineSpeedRow> EngineSpeeds::rows(TimeMs now) const
{
    std::vector<std::pair<double, EngineSpeedRow>> ranked;
    for (const std::pair<const EndpointIncarnation, Engine> &entry : engines_) {
        const EngineSpeedSums sums = entry.second.own.valueAt(now);
        if (sums.count < MinCount)
            continue;
        const double changedMs
            = entry.second.changedMs * decayFactor(now - entry.second.own.at, SampleTimeConstantMs);
        const bool isUsual = std::abs(slowness(entry.first, now) - 1) < MinReportedDeviation
            && std::abs(sums.observedMs / sums.expectedMs - 1) < MinReportedDeviation;
        if (!isUsual)
            ranked.push_back({changedMs, {entry.first, sums}});
    }
    const size_t count = std::min(ranked.size(), MaxRows);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                      [](const std::pair<double, EngineSpeedRow> &a,
                         const std::pair<double, EngineSpeedRow> &b) { return a.first > b.first; });
    std::vector<EngineSpeedRow> out;
    for (size_t i = 0; i < count; ++i)
        out.push_back(std::move(ranked[i].second));
    return out;
}

double EngineSpeeds::slowness(const EndpointIncarnation &engine, TimeMs now) const
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return 1;
    const double newest = shrunkRatio(found->second.all.valueAt(now), PriorSamples);
    const double settled = shrunkRatio(found->second.settled.valueAt(now), SettledPriorSamples);
    const double higher = std::max(newest, settled);
    const bool isClear = higher > ClearSlowness && higher > ClearDifference * std::min(newest, settled);
    return isClear ? newest : settled;
}

double EngineSpeeds::settledSlowness(const EndpointIncarnation &engine, TimeMs now) const
{
    const auto found = engines_.find(engine);
    return found == engines_.end() ? 1 : shrunkRatio(found->second.settled.valueAt(now), SettledPriorSamples);
}

void EngineSpeeds::forget(TimeMs now)
{
    for (std::pair<const EndpointIncarnation, Engine> &entry : engines_) {
        std::erase_if(entry.second.peers, [now](const std::pair<const Incarnation, DecayingSums> &peer) {
            return peer.second.valueAt(now).count < MinCount;
        });
    }
    std::erase_if(engines_, [now](const std::pair<const EndpointIncarnation, Engine> &entry) {
        return entry.second.peers.empty() && entry.second.settled.valueAt(now).count < MinCount;
    });
}

double medianSlowness(const std::vector<EngineStanding> &engines)
{
    if (engines.empty())
        return 1;
    std::vector<double> values;
    values.reserve(engines.size());
    for (const EngineStanding &engine : engines)
        values.push_back(engine.slowness);
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

void updateEjections(std::vector<EngineStanding> &engines)
{
    const double median = medianSlowness(engines);
    std::vector<EngineStanding *> slow;
    for (EngineStanding &engine : engines) {
        const double ratio = engine.isEjected ? ReturnRatio : EjectionRatio;
        if (engine.slowness > ratio * median)
            slow.push_back(&engine);
        engine.isEjected = false;
    }
    std::sort(slow.begin(), slow.end(),
              [](const EngineStanding *a, const EngineStanding *b) { return a->slowness > b->slowness; });
    slow.resize(std::min(slow.size(), engines.size() / MaxEjectedDivisor));
    for (EngineStanding *engine : slow)
        engine->isEjected = true;
}

} // namespace cranberry
