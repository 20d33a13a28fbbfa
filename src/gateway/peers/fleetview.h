#pragma once

#include "gateway/gateway.h"
#include "gateway/peers/reportschedule.h"
#include "gateway/store/storesync.h"

namespace cranberry {

/// Passes what a daemon learns from the store and its peers to the gateway, and schedules its load reports.
///
/// It uses no sockets and no clock: the caller runs the ticks of the parts and sends a report to each address
/// that is returned.
class FleetView
{
public:
    FleetView(StoreSync &sync, Gateway &gateway) : sync_(sync), gateway_(gateway) { }

    /// Decides whether this daemon reads the store or queries a peer, and passes the quarantine list to the
    /// store sync. Must be called before each tick of the store sync.
    void beforeStoreTick(TimeMs now);
    /// Passes on what was learned since the last call. Returns the reports that are sent at once instead of
    /// at their scheduled time.
    ReportSchedule::Due takeUpdates(TimeMs now);
    /// Returns the reports that are due at this tick.
    ReportSchedule::Due dueReports(TimeMs now);
    /// Returns the addresses that callers should connect to. `own` is this daemon as a candidate, if it is
    /// ready. The choice also updates whether this daemon serves and which addresses it sends to the peers
    /// that query it.
    std::vector<Address> entryAddresses(const EntryCandidate &own, double ownCoresUsed, TimeMs now);

private:
    std::optional<Address> sourceToQuery(const std::set<Address> &silent, TimeMs now) const;

    StoreSync &sync_;
    Gateway &gateway_;
    ReportSchedule reports_;
};

} // namespace cranberry
