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

/// This daemon's place among those that share the limits.
struct QuotaRole {
    size_t daemons = 1; ///< That share them.
    size_t keepers = 1; ///< Of one organisation's limit.
    bool isKeeper = true; ///< Gathers what the others don't need.
    bool shares = true; ///< False: it stands by, and runs a request on what others give.
};

/// What a request lacks of its organisation's limit at this daemon.
struct QuotaShortage {
    double missing = 0; ///< Units that another daemon may give.
    DurationMs wait; ///< Until they are here without help.
};

/// Limits of the organisations over all daemons, by balances that move.
///
/// Each daemon that serves fills a balance of its own with its part of the rate, up to its part of the burst;
/// one that stands by has no part, since a large request would find too little in any one place. One that
/// lacks units asks others, which give from their balances; what is given is taken there first. So the sum of
/// all balances never exceeds the burst, whatever messages are lost, and no partition lets more through. What
/// a lost gift costs is a little of the limit, not its observance.
class Quotas
{
public:
    void setTolerance(const QuotaTolerance &tolerance) { tolerance_ = tolerance; }

    /// Brings an organisation's balance up to date;
    void refill(const ServedOrganisation &organisation, const QuotaRole &role, TimeMs now);
    /// Takes `units` and returns nothing, or leaves them and returns what is missing.
    std::optional<QuotaShortage> take(const ServedOrganisation &organisation, double units,
                                      const QuotaRole &role, TimeMs now);
    /// Gives back what was taken for a request that did not run.
    void giveBack(const OrganisationName &organisation, double units);

    /// Takes what this daemon does not need for itself, to be gathered elsewhere; 0 if it is not worth a
    /// message.
    double surplus(const OrganisationName &organisation);
    /// Takes from the own balance, for another daemon, what can be spared of `asked`.
    double give(const OrganisationName &organisation, double asked);
    void receive(const OrganisationName &organisation, double units);
    /// Keeps for all what was not asked for, as far as this daemon's bound allows; the rest is lost.
    void keep(const OrganisationName &organisation, double units);

    std::vector<OrganisationBalance> balances() const;

private:
    struct Balance {
        double units = 0;
        double part = 0; ///< The burst by the number of daemons.
        double bound = 0; ///< The balance is filled up to here.
        TimeMs filledAt;
        bool started = false;
        bool shares = false; ///< As of the newest filling.
    };
    QuotaTolerance tolerance_;
    std::map<OrganisationName, Balance> balances_;
};

/// What a request counts against its organisation's limit.
double quotaUnits(const ServedOrganisation &organisation, bool statesTokens, uint64_t tokens);

} // namespace cranberry
