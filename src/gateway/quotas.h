#pragma once

#include "gateway/gatewayevents.h"

#include <map>

namespace cranberry {

/// How far the operators let an organisation's use go beyond its limit before they call it broken. In any
/// window it may use (rate x window + burst) x (1 + over) + slack.
struct QuotaTolerance {
    double over = 0;
    double slack = 0; ///< In the limit's own unit.
};

/// How much of each limit this daemon may use alone: 1 while it hears all other daemons.
struct QuotaScope {
    double share = 1; ///< Heard daemons, itself included, of all that are known.
    double ownShare = 1; ///< This daemon alone.
};

/// Limits of the organisations over all daemons: one bucket for each, from which every daemon's use is taken.
///
/// Each daemon takes its own use at once and that of the others when it hears of it. What they use in between
/// is made up for by a level below zero.
///
/// Daemons that hear each other share one level. Where they are cut apart, or one starts, each part has its
/// share of the rate, the burst and the level; where parts meet again, their levels add up. So the sum over
/// all parts is the same as if there had been no cut.
class Quotas
{
public:
    void setTolerance(const QuotaTolerance &tolerance) { tolerance_ = tolerance; }
    /// Brings an organisation's bucket up to date. To be called for all of them at a steady pace: a bucket
    /// that starts only with its first request would not know what the others used before.
    void refill(const ServedOrganisation &organisation, QuotaScope scope, TimeMs now);
    /// Takes `units` and returns nothing, or leaves them and returns when they will be there.
    std::optional<DurationMs> take(const ServedOrganisation &organisation, double units, QuotaScope scope,
                                   TimeMs now);
    /// Gives back what was taken for a request that did not run.
    void giveBack(const OrganisationName &organisation, double units);
    /// Use reported by another daemon since its report before.
    void usedElsewhere(const OrganisationName &organisation, double units);

    /// True if so much was taken since the last report that the other daemons should hear of it soon.
    bool reportIsDue() const { return reportIsDue_; }
    void reported();

    /// A daemon is heard for the first time, or again, and brings its own part of a level along.
    void join(const OrganisationName &organisation, double level);

    /// Own use since the start of the process, less what was given back, and what is left in each bucket.
    std::vector<OrganisationUse> uses(TimeMs now) const;

private:
    struct Bucket {
        double level = 0;
        double ratePerSecond = 0;
        double burst = 0;
        double wholeBurst = 0; ///< Of all daemons together.
        TimeMs filledAt;
        double used = 0; ///< Own, since the start.
        double unreported = 0;
        bool started = false;
        double share = 1; ///< Of the daemons, when the bucket was filled last.
        double joined = 0; ///< Brought along by others since.

        double levelAt(TimeMs now) const;
    };
    QuotaTolerance tolerance_;
    std::map<OrganisationName, Bucket> buckets_;
    bool reportIsDue_ = false;
};

/// What a request counts against its organisation's limit.
double quotaUnits(const ServedOrganisation &organisation, bool statesTokens, uint64_t tokens);

} // namespace cranberry
