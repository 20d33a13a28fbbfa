#pragma once

#include "gateway/rollout/rollout.h"

namespace cranberry {

/// Decides which versions the requests of a service go to. Uses no clock.
///
/// All daemons decide by the same record and by the request id. So the target's share of the requests is the
/// same whichever daemon serves them, even for daemons that restart or cannot reach each other.
class RolloutView
{
public:
    /// Takes new orders and records. `knownAt`: the store held them at or after this time.
    void update(const RolloutsKnown &known, TimeMs knownAt);
    /// Records that a version of a service was listed in a view read at `listedAt`.
    void recordListed(const ServiceName &service, const SoftwareVersion &version, TimeMs listedAt);
    /// Removes versions that no listed endpoint has any more.
    void removeUnlisted(const std::map<ServiceName, std::set<SoftwareVersion>> &listed);
    /// Marks the target of the current roll-out as bad: this daemon sends it no requests until that roll-out
    /// is over.
    void suspect(const ServiceName &service);

    struct Rule {
        SoftwareVersion target; ///< Empty: no roll-out currently sends requests to a target.
        double targetShare = 0; ///< Share of the requests on their first attempt that goes to the target.
        uint32_t loadRequests = 0; ///< Requests of all daemons together that load one target endpoint.
        bool includesRetries = false; ///< Retries go to the target as well.
        /// Versions barred for all other requests, and for requests that find no free slot at the target.
        std::set<SoftwareVersion> barred;
    };
    Rule rule(const ServiceName &service, int64_t wallMs) const;

    /// Returns the record of the undecided roll-out; nullptr if there is none.
    const RolloutRecord *undecided(const ServiceName &service) const;
    /// Returns whether an order is undecided or has no record yet.
    bool isUnderWay(const ServiceName &service) const;
    /// Returns versions whose endpoints do not carry the services' requests, or not yet.
    std::map<ServiceName, std::set<SoftwareVersion>> outOfUse() const;
    const RolloutsKnown &known() const { return known_; }

private:
    const RolloutRecord *recordOf(const ServiceName &service) const;

    RolloutsKnown known_;
    TimeMs knownAt_;
    /// Read time of the first view that listed each version.
    std::map<ServiceName, std::map<SoftwareVersion, TimeMs>> listed_;
    std::map<ServiceName, SoftwareVersion> suspected_;
};

/// Returns the share of the requests that goes to the target `inStage` after the moving stage began.
double movingShare(double trialShare, DurationMs inStage);
/// Duration of the moving stage. The target has to prefill several times the usual amount during it: with one
/// second a tenth of the first events were late.
constexpr DurationMs MovingTime{2500};

} // namespace cranberry
