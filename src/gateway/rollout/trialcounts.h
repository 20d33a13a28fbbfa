#pragma once

#include "gateway/rollout/rollout.h"

namespace cranberry {

/// What this daemon's requests tell of a version under trial and of the others beside it.
class TrialCounts
{
public:
    /// Begins anew for a service; counts of an earlier roll-out of it end.
    void begin(const ServiceName &service, const SoftwareVersion &target);
    void end(const ServiceName &service);
    bool isOn(const ServiceName &service) const { return trials_.contains(service); }

    /// One more answer, or one that will not come. `group`: of the endpoint, or `TrialCount::Others`.
    void note(const ServiceName &service, const std::string &route, uint32_t group, bool bad);
    /// An attempt broke at an endpoint. Its other attempts break with it: they are one answer within a while.
    void noteBroken(const ServiceName &service, const std::string &route, uint32_t group,
                    const std::string &endpoint, TimeMs now);

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
        std::map<std::string, TimeMs> brokenAt; ///< By endpoint.
    };

    std::map<ServiceName, Trial> trials_;
};

/// The group of an endpoint's name.
uint32_t trialGroup(const std::string &endpoint);

/// What a step of a service's requests usually takes on a route: a moving mean of logarithms. Of endpoints
/// that are not on trial.
class UsualTimes
{
public:
    enum class Step : uint8_t { FirstEvent, EventPace, WholeAnswer };

    void note(const std::string &route, Step step, double time);
    /// Several times the usual time; never while too little is known. Times below `least` are no measure.
    bool isSlow(const std::string &route, Step step, double time, double least) const;

private:
    struct Mean {
        double logarithm = 0;
        uint32_t count = 0;
    };
    std::map<std::pair<std::string, Step>, Mean> means_;
};

} // namespace cranberry
