#include "gateway/peers/fleetview.h"

#include <utility>

namespace cranberry {

void FleetView::beforeStoreTick(TimeMs now)
{
    const std::set<Address> silent = sync_.silentSources(now);
    const PeerTable &peers = gateway_.peers();
    sync_.setQuarantine(gateway_.quarantine(now), now);
    sync_.setVersions(gateway_.versionRecord());
    const bool isReader = sync_.isNamedReader() || peers.isStoreReader(silent, now);
    sync_.setStoreReader(isReader, now);
    sync_.setSource(sourceToQuery(silent, now));
    gateway_.setStoreWell(sync_.isStoreWell(now));
    if (const std::optional<std::vector<Address>> named = sync_.readersToCheck(now))
        sync_.nameReaders(peers.readersToName(*named, now), now);
}

// The leader orders engines, so it reads the endpoint list from the store itself, not through a peer,
// whenever it can, except in a large fleet.
std::optional<Address> FleetView::sourceToQuery(const std::set<Address> &silent, TimeMs now) const
{
    const bool canRead = !sync_.readsFail(now) && sync_.isViewConfirmed(now);
    if (sync_.isLargeFleet()) {
        if (canRead && sync_.isNamedReader())
            return std::nullopt;
        if (std::optional<Address> named = sync_.namedReader(silent))
            return named;
    } else if (canRead && sync_.leadership(now).held) {
        return std::nullopt;
    }
    return gateway_.peers().readerToQuery(canRead, silent, now);
}

ReportSchedule::Due FleetView::takeUpdates(TimeMs now)
{
    StoreSync::Updates updates = sync_.takeUpdates();
    const bool membersRead = updates.members.has_value();
    if (updates.members) {
        gateway_.onMembers(std::move(*updates.members), now, updates.listed);
        gateway_.onLeader(updates.leader, now);
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
