// Updates that the gateway receives from the store and its peers, and the reports that it sends.

#include "gateway/gateway.h"

#include <algorithm>

namespace cranberry {

namespace {

/// How long the caller addresses received from a peer stay valid. It spans several queries, since some may be
/// lost.
constexpr DurationMs PeerEntriesLifetime{2000};

} // namespace

void Gateway::onConfiguration(const ConfigurationRead &event, TimeMs now)
{
    confirmedAt_ = std::max(confirmedAt_, event.askedAt);
    if (!event.configuration || (configuration_ && event.configuration->version <= configuration_->version))
        return;
    log_.write(LogPriority::State, "configuration",
               {{"version", event.configuration->version},
                {"before", configuration_ ? configuration_->version : 0},
                {"routes", event.configuration->routes.size()},
                {"age_ms", (now - event.askedAt).count}});
    if (!configuration_)
        startedAt_ = now;
    else if (configuration_->requiresKeys() && !event.configuration->requiresKeys())
        log_.write(LogPriority::Failure, "keys_not_required", {{"version", event.configuration->version}});
    configuration_ = event.configuration;
    refillQuotas(now);
    shares_.configure(*configuration_);
    limitReturns_.retain(*configuration_, now);
    for (std::pair<const ServiceName, ReturnSchedule> &entry : capacityReturns_)
        entry.second.retain(*configuration_, now);
    counters_.add(GatewayCount::ConfigurationsTaken);
    admitAwaiting(now);
    runQueue(now);
}

void Gateway::onEndpoints(const EndpointsRead &event, TimeMs now)
{
    if (event.isUnchanged) {
        fleet_.confirmList(event, now);
        versions_.confirmList(event.askedAt);
    } else {
        applyEndpoints(event, now);
    }
    admitAwaiting(now);
    runQueue(now);
}

void Gateway::applyEndpoints(const EndpointsRead &event, TimeMs now)
{
    const std::map<EndpointId, FleetEndpoint> &known = fleet_.all();
    // Thousands of lines at the start of each daemon would tell what the store's list shows.
    const bool isFirst = !fleet_.hasList();
    if (isFirst)
        log_.write(LogPriority::State, "endpoints", {{"count", event.entries.size()}});
    for (const EndpointEntry &entry : event.entries) {
        const auto found = known.find(entry.id);
        if (!entry.readable) {
            if (found != known.end() && found->second.readable)
                counters_.add(GatewayCount::EntriesUnreadable);
            continue;
        }
        if (isFirst)
            continue;
        if (found == known.end() || found->second.entry.leaving != entry.leaving
            || found->second.entry.start < entry.start) {
            log_.write(LogPriority::State, "endpoint",
                       {{"endpoint", entry.id.value},
                        {"start", entry.start.unixMs},
                        {"service", entry.service.value},
                        {"address", toText(entry.address)},
                        {"failure_domain", entry.failureDomain.value},
                        {"version", entry.version.value},
                        {"leaving", entry.leaving}});
        }
    }
    recordListedVersions(event);
    fleet_.applyList(event, now);
}

void Gateway::onMembers(std::vector<MemberEntry> members, TimeMs now, size_t listed)
{
    const bool changed = members != peers_.members();
    peers_.setMembers(std::move(members), now, listed);
    if (!changed)
        return;
    notifyNewServing(now);
    for (const MemberEntry *added : peers_.newTargets())
        handOverUsageToNew(*added, added->incarnation, now);
    log_.write(LogPriority::State, "members",
               {{"count", peers_.members().size()},
                {"sharers", peers_.servingCount(now)},
                {"shares", peers_.isServing()}});
}

void Gateway::onEntriesFromPeer(const EntriesFromPeer &event)
{
    peerEntries_ = event.addresses;
    peerEntriesAt_ = event.askedAt;
}

void Gateway::onPeerReport(const PeerReport &report, TimeMs now)
{
    counters_.add(GatewayCount::PeerReports);
    usage_.merge({{report.incarnation, report.windows}}, UsageLedger::Source::Report, now);
    const bool isFirst = !peers_.knows(report.incarnation);
    if (peers_.take(report, now))
        speeds_.takeRows(report.incarnation, report.speeds, now);
    if (isFirst)
        onFirstReport(report, now);
}

void Gateway::refillQuotas(TimeMs now)
{
    if (!configuration_)
        return;
    for (const ServedOrganisation &organisation : configuration_->organisations)
        quotas_.refill(organisation, quotaRole(organisation.name, now), now);
}

PeerReport Gateway::report(bool isFull, TimeMs now)
{
    PeerReport out;
    out.full = isFull;
    out.incarnation = settings_.incarnation;
    out.instance = settings_.instance;
    out.leaving = departure_.has_value();
    out.ready = isReady(now);
    out.sequence = ++reports_;
    out.unreached = paths_.unreached();
    out.brittle = fleet_.ownBrittleServices();
    std::map<ServiceName, OpenRequests> open;
    for (const std::pair<const CallerId, Exchange> &entry : exchanges_) {
        if (entry.second.phase == ExchangePhase::AwaitingStart)
            continue;
        OpenRequests &requests = open[entry.second.service];
        ++requests.running;
        requests.waiting += entry.second.phase == ExchangePhase::Queued ? 1 : 0;
    }
    demand_.sample(open, now);
    for (const std::pair<const EndpointId, FleetEndpoint> &entry : fleet_.all()) {
        if (entry.second.running > 0)
            out.loads.push_back({entry.second.incarnation(), entry.second.running, entry.second.prefillTokens,
                                 entry.second.contextTokens});
    }
    refillQuotas(now);
    out.balances = quotas_.balances();
    if (!isFull) {
        std::erase_if(out.balances, [&](const OrganisationBalance &each) {
            return !includesThisDaemon(peers_.quotaPool(each.organisation, now));
        });
        return out;
    }
    out.demands = demand_.values();
    out.trials = trialCounts_.rows();
    out.speeds = speeds_.rows(now);
    out.requests = retryBudget_.requests(now);
    // Only the newest windows: the leader needs them within some seconds after their end.
    const WindowCounts &own = usage_.own();
    out.windows = WindowCounts(own.lower_bound(usage_.windowAt(now) - 1), own.end());
    return out;
}

std::map<ServiceName, ServiceDemand> Gateway::demand(TimeMs now) const
{
    std::map<ServiceName, ServiceDemand> sums = peers_.demandSums(now);
    for (const ServiceDemand &own : demand_.values())
        sums[own.service].add(own);
    return sums;
}

bool Gateway::mustReport(TimeMs now) const
{
    const WindowCounts &own = usage_.own();
    const bool hasCounts = own.lower_bound(usage_.windowAt(now) - 1) != own.end();
    return peers_.isReportTarget() || !exchanges_.empty() || hasCounts;
}

// A daemon that hears most of the serving daemons chooses the addresses itself. The others use the addresses
// received from one of these, or else the members listed in the store, where a dead daemon remains until its
// lease expires.
Gateway::EntryAnswer Gateway::callerAddresses(const EntryCandidate &own, double ownCoresUsed, TimeMs now)
{
    const bool ready = isReady(now);
    const bool hears = peers_.hearsMost(now);
    const bool fromPeer = !hears && now - peerEntriesAt_ < PeerEntriesLifetime && !peerEntries_.empty();
    const double used = peers_.coresUsed(now) + ownCoresUsed;
    std::vector<Address> entries;
    if (fromPeer) {
        entries = peerEntries_;
        if (!ready)
            std::erase(entries, own.address);
    } else {
        std::vector<EntryCandidate> candidates = peers_.entryCandidates(hears, now);
        if (ready)
            candidates.push_back({own.address, own.cores, servingRole_.serves()});
        entries = chooseEntries(std::move(candidates), used);
    }
    // A daemon that knows no member yet would choose itself, and so would all others.
    if (!peers_.members().empty())
        servingRole_.recordChoice(std::find(entries.begin(), entries.end(), own.address) != entries.end(),
                                  now);
    if (std::exchange(entryCount_, entries.size()) != entries.size())
        log_.write(LogPriority::State, "entries",
                   {{"count", entries.size()},
                    {"told", fromPeer},
                    {"hears_most", hears},
                    {"serves", servingRole_.serves()},
                    {"cores_used", used}});
    return {std::move(entries), fromPeer};
}

} // namespace cranberry
