#pragma once

#include "gateway/gateway.h"
#include "gateway/peers/reportschedule.h"
#include "gateway/store/storesync.h"

namespace cranberry {

/// Joins what a daemon learns of the store and of the other daemons with what it tells them.
///
/// No sockets, no clock: the caller runs the parts' ticks, and sends a report to each address that is
/// returned.
class FleetView
{
public:
    FleetView(StoreSync &sync, Gateway &gateway) : sync_(sync), gateway_(gateway) { }

    /// Settles whether this daemon reads the store or asks another one, and tells the store's part which
    /// requests are kept from endpoints. Due before each of its ticks.
    void beforeStoreTick(TimeMs now);
    /// Passes on what was learned since the last call. Returns the reports that don't wait for their turn.
    ReportSchedule::Due takeNews(TimeMs now);
    /// The reports that are due at this tick.
    ReportSchedule::Due dueReports(TimeMs now);
    /// Where callers are to connect. `own`: this daemon, if it is ready. The choice also settles whether it
    /// serves, and what daemons that ask are told.
    std::vector<Address> entryAddresses(const EntryCandidate &own, double ownCoresUsed, TimeMs now);

private:
    StoreSync &sync_;
    Gateway &gateway_;
    ReportSchedule reports_;
};

} // namespace cranberry
