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
    sync_.setReadsForAll(gateway_.peers().readsForAll(silent, now), now);
    const bool isVouchedFor = sync_.isVouchedFor(now);
    sync_.setSource(canRead && isVouchedFor && sync_.leadership(now).held
                        ? std::nullopt
                        : gateway_.peers().readerToAsk(canRead && isVouchedFor, silent, now));
}

ReportSchedule::Due FleetView::takeNews(TimeMs now)
{
    StoreSync::News news = sync_.takeNews();
    const bool membersRead = news.members.has_value();
    if (news.members) {
        gateway_.onMembers(std::move(*news.members), now, news.listed);
        gateway_.onDutyHolder(news.dutyHolder);
    }
    if (news.entries)
        gateway_.onEntriesTold(*news.entries);
    for (const ConfigurationRead &read : news.configurations)
        gateway_.onConfiguration(read, now);
    if (news.rollouts)
        gateway_.onRollouts(*news.rollouts, now);
    for (const EndpointsRead &read : news.endpoints)
        gateway_.onEndpoints(read, now);
    gateway_.onQuarantine(news.quarantine, VerdictSource::Store, now);
    return reports_.afterNews(gateway_.peers(), gateway_.isReady(now), gateway_.hasNews(now), membersRead);
}

ReportSchedule::Due FleetView::dueReports(TimeMs now)
{
    return reports_.due(gateway_.peers(), gateway_.hasNews(now), now);
}

std::vector<Address> FleetView::entryAddresses(const EntryCandidate &own, double ownCoresUsed, TimeMs now)
{
    Gateway::EntryAnswer answer = gateway_.callerAddresses(own, ownCoresUsed, now);
    sync_.setEntries(answer.told ? std::vector<Address>() : answer.addresses);
    sync_.setServing(gateway_.serves());
    return std::move(answer.addresses);
}

} // namespace cranberry
