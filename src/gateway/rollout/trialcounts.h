#pragma once

#include "gateway/rollout/rollout.h"

namespace cranberry {

/// Counts the outcomes of this daemon's requests at the version on trial and at the other versions.
class TrialCounts
{
public:
    /// Starts the counts of a service; discards those of an earlier roll-out.
    void begin(const ServiceName &service, const SoftwareVersion &target);
    void end(const ServiceName &service);
    bool isOn(const ServiceName &service) const { return trials_.contains(service); }

    /// Records an answer, or one that will not arrive. `group`: group of the endpoint, or
    /// `TrialCount::Others`.
    void record(const ServiceName &service, const std::string &route, uint32_t group, bool bad);
    /// Records an interrupted attempt. Other attempts at the endpoint are interrupted with it, so all of them
    /// within a short time count as one answer.
    void recordInterrupted(const ServiceName &service, const std::string &route, uint32_t group,
                           const std::string &endpoint, TimeMs now);

    /// Records an attempt that was lost because the endpoint's process exited; counts like the above.
    void recordLost(const ServiceName &service, uint32_t group, const std::string &endpoint, TimeMs now);

    std::vector<TrialCount> rows() const;

private:
    struct Key {
        std::string route;
        uint32_t group = TrialCount::Others;
        friend std::strong_ordering operator<=>(const Key &, const Key &) = default;
    };
    struct Trial {
        SoftwareVersion target;
        std::map<Key, TrialCount> counts;
        std::map<std::string, TimeMs> interruptedAt; ///< Last counted interruption of each endpoint.
    };

    std::map<ServiceName, Trial> trials_;
};

/// Returns the group of an endpoint by a hash of its name.
uint32_t trialGroup(const std::string &endpoint);

/// Moving means (of logarithms) of the time that a step of a request takes on each route, from endpoints that
/// are not on trial.
class BaselineTimes
{
public:
    enum class Step : uint8_t { FirstEvent, EventInterval, FullResponse };

    void record(const std::string &route, Step step, double time);
    /// Returns whether `time` is several times the mean; false while there are too few samples. Means below
    /// `minTime` are raised to it, since such short times vary for other reasons.
    bool isSlow(const std::string &route, Step step, double time, double minTime) const;

private:
    struct Mean {
        double logarithm = 0;
        uint32_t count = 0;
    };
    std::map<std::pair<std::string, Step>, Mean> means_;
};

} // namespace cranberry
