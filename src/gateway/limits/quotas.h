#pragma once

#include "gateway/gatewayevents.h"

#include <map>

namespace cranberry {

/// How far an organisation's use may exceed its limit before the limit counts as violated. In any window it
/// may use (rate x window + burst) x (1 + over) + slack.
struct QuotaTolerance {
    double over = 0;
    double slack = 0; ///< In the unit of the limit.
};

/// This daemon's role among those that share the limits.
struct QuotaRole {
    size_t daemons = 1; ///< Daemons that share the limits.
    size_t poolDaemons = 1; ///< Quota pool daemons of one organisation's limit.
    bool isPoolDaemon = true; ///< Collects units that the other daemons don't need.
    bool isServing = true; ///< False: standby; a request needs units from other daemons.
};

/// Units that this daemon lacks for a request within its organisation's limit.
struct QuotaShortage {
    double missing = 0; ///< Units that other daemons may transfer.
    DurationMs wait; ///< Time until the rate alone has added the missing units.
};

/// Enforces the organisations' limits over all daemons, by balances that daemons transfer to each other.
///
/// Each serving daemon refills its own balance with its share of the rate, up to its share of the burst. A
/// standby daemon has no share: with more shares, a large request would find too few units at any one daemon.
/// A daemon that lacks units requests them from others, which take them from their own balance before they
/// send them. So the sum of all balances never exceeds the burst, whatever messages are lost, and a partition
/// lets no more through. A lost transfer makes the effective limit slightly lower; it never exceeds the
/// limit.
class Quotas
{
public:
    void setTolerance(const QuotaTolerance &tolerance) { tolerance_ = tolerance; }

    /// Refills an organisation's balance up to `now`.
    void refill(const ServedOrganisation &organisation, const QuotaRole &role, TimeMs now);
    /// Takes `units` and returns nothing, or takes nothing and returns the shortage.
    std::optional<QuotaShortage> take(const ServedOrganisation &organisation, double units,
                                      const QuotaRole &role, TimeMs now);
    /// Returns the units that were taken for a request that did not run.
    void giveBack(const OrganisationName &organisation, double units);

    /// Takes the units that this daemon does not need, for a deposit at a quota pool daemon. Returns 0 if
    /// they are not worth a message.
    double surplus(const OrganisationName &organisation);
    /// Takes up to `requested` units from the balance for another daemon, as far as they can be spared.
    double give(const OrganisationName &organisation, double requested);
    void receive(const OrganisationName &organisation, double units);
    /// Adds deposited units up to this daemon's bound; the rest is lost.
    void receiveDeposit(const OrganisationName &organisation, double units);

    std::vector<OrganisationBalance> balances() const;

    // Balances that survive a restart (docs/design/quota-checkpoints.md).

    /// Maximum sum of all balances, and the rate at which they are refilled together.
    struct Limit {
        double units = 0;
        double unitsPerSecond = 0;
        double startUnits = 0; ///< Maximum sum of the balances that daemons start with from a checkpoint.
    };
    Limit limitOf(const ServedOrganisation &organisation) const;
    /// Returns the part of this daemon's balance that counts for a checkpoint.
    double countedUnits(const OrganisationName &organisation) const;
    /// Returns a lower bound of another daemon's balance, from its reported spare units. Units that a daemon
    /// outside the quota pool may have deposited since its report don't count: the pool reports them, too.
    static double countedUnits(double spare, double share, bool isPoolDaemon);
    /// Raises the balance to what it would be if it had started with `units` instead of its initial units.
    /// On standby the raise is kept for a change of the role within the first seconds.
    void inherit(const OrganisationName &organisation, double units, TimeMs now);

private:
    void applyRole(const OrganisationName &organisation, bool isServing, TimeMs now);

    struct Balance {
        double units = 0;
        double initial = 0; ///< Units that it started with, or that it inherited.
        double inherited = 0; ///< The part of `initial` that it inherited.
        TimeMs inheritedAt;
        double setAside = 0; ///< Inherited units of a daemon that stopped serving a moment ago.
        TimeMs setAsideAt;
        double share = 0; ///< Burst divided by the number of daemons.
        double bound = 0; ///< The balance is refilled up to this value.
        TimeMs filledAt;
        bool started = false;
        bool isServing = false; ///< At the last refill.
    };
    QuotaTolerance tolerance_;
    std::map<OrganisationName, Balance> balances_;
};

/// Returns the units that a request counts against its organisation's limit.
double quotaUnits(const ServedOrganisation &organisation, bool statesTokens, uint64_t tokens);

} // namespace cranberry
