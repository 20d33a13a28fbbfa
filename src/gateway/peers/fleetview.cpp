#include "gateway/peers/fleetview.h"

#include <utility>

namespace cranberry {

// The leader orders engines, so it reads the endpoint list from the store itself, not through a peer,
// whenever it can.
void FleetView::beforeStoreTick(TimeMs now)
{
    const std::set<Address> silent = sync_.silentSources(now);
    const bool canRead = !sync_.readsFail(now);
    sync_.setQuarantine(gateway_.quarantine(now), now);
    sync_.setStoreReader(gateway_.peers().isStoreReader(silent, now), now);
    const bool isViewConfirmed = sync_.isViewConfirmed(now);
    sync_.setSource(canRead && isViewConfirmed && sync_.leadership(now).held
                        ? std::nullopt
                        : gateway_.peers().readerToQuery(canRead && isViewConfirmed, silent, now));
}

ReportSchedule::Due FleetView::takeUpdates(TimeMs now)
{
    StoreSync::Updates updates = sync_.takeUpdates();
    const bool membersRead = updates.members.has_value();
    if (updates.members) {
        gateway_.onMembers(std::move(*updates.members), now, updates.listed);
        gateway_.onLeader(updates.leader);
    }
    if (updates.entries)
        gateway_.onEntriesFromPeer(*updates.entries);
    for (const ConfigurationRead &read : updates.configurations)
        gateway_.onConfiguration(read, now);
    if (updates.rollouts)
        gateway_.onRollouts(*updates.rollouts, now);
    for (const EndpointsRead &read : updates.endpoints)
        gateway_.onEndpoints(read, now);
    gateway_.onQuarantine(updates.quarantine, QuarantineSource::Store, now);
    return reports_.afterUpdates(gateway_.peers(), gateway_.isReady(now), gateway_.mustReport(now),
                                 membersRead);
}

ReportSchedule::Due FleetView::dueReports(TimeMs now)
{
    return reports_.due(gateway_.peers(), gateway_.mustReport(now), now);
}

std::vector<Address> FleetView::entryAddresses(const EntryCandidate &own, double ownCoresUsed, TimeMs now)
{
    Gateway::EntryAnswer answer = gateway_.callerAddresses(own, ownCoresUsed, now);
    sync_.setEntries(answer.fromPeer ? std::vector<Address>() : answer.addresses);
    sync_.setServing(gateway_.serves());
    return std::move(answer.addresses);
}

} // namespace cranberry
