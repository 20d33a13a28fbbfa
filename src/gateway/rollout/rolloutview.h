#pragma once

#include "gateway/rollout/rollout.h"

namespace cranberry {

/// To which versions a service's requests go, as this daemon may decide. Without a clock.
///
/// All daemons decide by the same record, and by a request's id, so that the target's part of the requests is
/// the same whoever serves, also for daemons that start again or can't hear each other.
class RolloutView
{
public:
    /// `knownAt`: it was so in the store at or after this time.
    void take(const RolloutsKnown &known, TimeMs knownAt);
    /// A version of a service was listed by a view of this age.
    void noteListed(const ServiceName &service, const SoftwareVersion &version, TimeMs listedAt);
    /// Versions that no endpoint has any more are forgotten.
    void forgetOthers(const std::map<ServiceName, std::set<SoftwareVersion>> &listed);
    /// This daemon found the target of the present roll-out bad: it sends nothing there until that is over.
    void suspect(const ServiceName &service);

    struct Rule {
        SoftwareVersion target; ///< Empty: there is no roll-out to send requests for.
        double targetShare = 0; ///< Of the requests that have not been sent yet.
        uint32_t loadRequests = 0; ///< Of all daemons together, to load one endpoint of the target with.
        bool alsoRepeats = false; ///< Requests that were sent before go to the target, too.
        std::set<SoftwareVersion> barred; ///< For all other requests, and those without room at the target.
    };
    Rule rule(const ServiceName &service, int64_t wallMs) const;

    /// The record of a roll-out that is not decided yet; nullptr if there is none.
    const RolloutRecord *undecided(const ServiceName &service) const;
    /// An order is not decided yet, or not taken up.
    bool isUnderWay(const ServiceName &service) const;
    /// Versions whose endpoints don't carry the services' requests, or not yet.
    std::map<ServiceName, std::set<SoftwareVersion>> outOfUse() const;
    /// When other versions than the target are to have ended what they have; nothing: they go on.
    std::optional<int64_t> emptyByWallMs(const ServiceName &service, const SoftwareVersion &version) const;
    const RolloutsKnown &known() const { return known_; }

private:
    const RolloutRecord *recordOf(const ServiceName &service) const;

    RolloutsKnown known_;
    TimeMs knownAt_;
    std::map<ServiceName, std::map<SoftwareVersion, TimeMs>> listed_; ///< First seen in a view of that age.
    std::map<ServiceName, SoftwareVersion> suspected_;
};

/// How a growing part of the requests moves, `inStage` after the stage began.
double movingShare(double trialShare, DurationMs inStage);
/// The stage in which the part grows is over after this.
/// What the target has to read anew then is several times the usual: with one second a tenth of the first
/// events came late.
constexpr DurationMs MovingTime{2500};

} // namespace cranberry
