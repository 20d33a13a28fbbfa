#pragma once

#include "gateway/gatewayevents.h"

#include <map>
#include <vector>

namespace cranberry {

/// Estimates the speed of each engine from the times to its first events, those of this daemon's requests and
/// those that the other daemons report. An estimate belongs to one incarnation. Without samples an engine has
/// the usual speed of its service.
class EngineSpeeds
{
public:
    /// Maximum number of rows in a report.
    static constexpr size_t MaxRows = 16;

    /// Records a request's time to the first event, and the one predicted at the service's usual speed from
    /// the tokens that were queued before it and its own.
    void recordFirstEvent(const ServiceName &service, const EndpointIncarnation &engine, double predictedMs,
                          DurationMs observed, TimeMs now);
    /// Applies the rows of a peer's report; they replace the peer's earlier ones for the same engines.
    void takeRows(Incarnation peer, const std::vector<EngineSpeedRow> &rows, TimeMs now);
    /// Returns this daemon's samples for a report, of the engines that have changed most, or that are known
    /// not to run at the usual speed.
    std::vector<EngineSpeedRow> rows(TimeMs now) const;
    /// Returns the time that the engine needs for its work, relative to the usual time of its service: 1 is
    /// usual, 2 half as fast. This is the settled slowness, unless the newest samples differ clearly from it.
    double slowness(const EndpointIncarnation &engine, TimeMs now) const;
    /// Returns the slowness over a longer time, which single queues or stalls hardly change.
    double settledSlowness(const EndpointIncarnation &engine, TimeMs now) const;
    /// Drops samples that have decayed.
    void forget(TimeMs now);
    bool empty() const { return engines_.empty(); }

private:
    /// An engine that becomes several times slower must be recognized within one to two seconds.
    static constexpr double SampleTimeConstantMs = 2500;
    /// Some hundred requests of a busy engine.
    static constexpr double SettledTimeConstantMs = 15000;
    struct DecayingSums {
        EngineSpeedSums sums;
        TimeMs at;

        double timeConstantMs = SampleTimeConstantMs;

        EngineSpeedSums valueAt(TimeMs now) const;
        void add(const EngineSpeedSums &other, double factor, TimeMs now);
    };
    struct Engine {
        DecayingSums own;
        DecayingSums all; ///< Includes the peers' samples.
        DecayingSums settled{{}, {}, SettledTimeConstantMs}; ///< The same samples over a longer time.
        std::map<Incarnation, DecayingSums> peers; ///< The newest row of each.
        double changedMs = 0; ///< Recent difference between own samples and the estimate; decays like `own`.
    };
    /// Ratio of this daemon's observed times to its predictions, over all engines of a service.
    struct Calibration {
        EngineSpeedSums sums;
        TimeMs at;
    };
    double calibrated(const ServiceName &service, double predictedMs, double observedMs, TimeMs now);

    std::map<EndpointIncarnation, Engine> engines_;
    std::map<ServiceName, Calibration> calibrations_;
};

/// An engine of a service, as far as ejection depends on it.
struct EngineStanding {
    double slowness = 1;
    bool isEjected = false;
};

/// Returns the median slowness, or 1 if there are no engines.
double medianSlowness(const std::vector<EngineStanding> &engines);
/// Decides which engines of a service are ejected: those far slower than the median, the slowest ones first,
/// and at most a fifth of all. An ejected engine returns only when it is clearly faster again.
void updateEjections(std::vector<EngineStanding> &engines);

} // namespace cranberry
