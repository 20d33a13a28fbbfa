// Organisations' limits: a request is charged to this daemon's balance, or waits briefly for units that other
// daemons can spare.

#include "gateway/gateway.h"

#include <algorithm>

namespace cranberry {

namespace {

/// How long a request waits for units from other daemons. Covers several round trips and is still a small
/// part of any caller's deadline.
constexpr DurationMs TransferTimeout{150};
/// A daemon that lacks units requests this fraction more than one request needs, for the next requests.
constexpr double RequestSurplus = 0.5;
/// Other daemons are asked only if they had at least this fraction of the missing units by their last
/// reports.
constexpr double MinExpectedFraction = 0.5;
/// Maximum number of daemons that are asked for units for one request.
constexpr size_t MaxDaemonsQueried = 12;
/// A daemon that has just started does not know the other daemons' balances. For this time after its start, a
/// request waits for their first reports, up to MaxStartupWaits times for TransferTimeout each.
constexpr DurationMs StartupTime{1500};
constexpr uint32_t MaxStartupWaits = 4;
/// Transfer numbers of one sender that are remembered, to ignore duplicates. Datagrams are never delayed by
/// more transfers than this.
constexpr uint64_t RememberedNumbers = 500;
/// Interval of depositing units that this daemon does not need.
constexpr DurationMs DepositInterval{500};

double unitsOf(const ServedOrganisation &organisation, const CallerRequest &request)
{
    return quotaUnits(organisation, request.statesTokens, request.promptTokens + request.outputTokens);
}

double sumOf(const std::vector<PeerTable::Spare> &spares)
{
    double sum = 0;
    for (const PeerTable::Spare &spare : spares)
        sum += spare.units;
    return sum;
}

} // namespace

// Takes the request's units from the balance. Within: the units are taken. Waits: other daemons are asked for
// units. Refused: the request was refused.
Gateway::LimitOutcome Gateway::takeQuota(Exchange &exchange, bool mayRequest, TimeMs now)
{
    const ServedOrganisation *organisation = exchange.organisation.value.empty()
        ? nullptr
        : exchange.configuration->findByKey(exchange.request->key);
    if (!organisation)
        return LimitOutcome::Within;
    const double units = unitsOf(*organisation, *exchange.request);
    const std::optional<QuotaShortage> shortage
        = quotas_.take(*organisation, units, quotaRole(organisation->name, now), now);
    if (!shortage) {
        exchange.quotaUnits = units;
        return LimitOutcome::Within;
    }
    if (mayRequest && requestUnits(exchange, shortage->missing, now))
        return LimitOutcome::Waits;
    if (mayRequest && isDiscoveringPeers(now)) {
        awaitUnits(exchange, now);
        return LimitOutcome::Waits;
    }
    const double spare = sumOf(peers_.spares(organisation->name, shortage->missing, now));
    // The caller may retry at any daemon, so it gets spare units sooner at a daemon that has them.
    const DurationMs wait
        = limitRetryAfter(exchange, *organisation, units, std::max(shortage->missing - spare, 0.0), now);
    answer(exchange, {429, GatewayRefusal::OverLimit, wait}, now);
    return LimitOutcome::Refused;
}

// Requests units from the quota pool daemons and others that can spare some. Returns false if the known spare
// units are too few.
bool Gateway::requestUnits(Exchange &exchange, double missing, TimeMs now)
{
    std::vector<PeerTable::Spare> spares = peers_.spares(exchange.organisation, missing, now);
    spares.resize(std::min(spares.size(), MaxDaemonsQueried));
    const double sum = sumOf(spares);
    if (sum < missing * MinExpectedFraction)
        return false;
    awaitUnits(exchange, now);
    exchange.requestedUnits = true;
    // Reports may be outdated, so each daemon is asked for more than its part and transfers what it has.
    const double wanted = missing * (1 + RequestSurplus);
    for (const PeerTable::Spare &spare : spares) {
        const double part
            = std::max(wanted * spare.units / sum, missing / static_cast<double>(spares.size()));
        actions_.emplace_back(
            SendToPeer{spare.address, QuotaRequest{exchange.unitRequest, exchange.organisation, part}});
    }
    log(LogPriority::Ordinary, "limit_asked", exchange,
        {{"missing", missing}, {"spare", sum}, {"daemons", spares.size()}});
    return true;
}

bool Gateway::isDiscoveringPeers(TimeMs now) const
{
    return now - startedAt_ < StartupTime && !peers_.hearsAll(now);
}

void Gateway::awaitUnits(Exchange &exchange, TimeMs now)
{
    exchange.enter(ExchangePhase::AwaitingLimit, now);
    exchange.unitRequest = nextUnitRequest_++;
    exchange.unitRequestUntil = now + TransferTimeout;
    ++exchange.limitWaits;
    unitRequests_[exchange.unitRequest] = exchange.caller;
}

QuotaRole Gateway::quotaRole(const OrganisationName &organisation, TimeMs now) const
{
    const std::vector<const MemberEntry *> poolDaemons = peers_.quotaPool(organisation, now);
    QuotaRole role;
    role.daemons = peers_.servingCount(now);
    role.poolDaemons = std::min(PeerTable::QuotaPoolSize, role.daemons);
    role.isPoolDaemon = includesThisDaemon(poolDaemons);
    role.isServing = peers_.isServing();
    return role;
}

bool Gateway::includesThisDaemon(const std::vector<const MemberEntry *> &members) const
{
    return std::any_of(members.begin(), members.end(),
                       [this](const MemberEntry *member) { return member->instance == settings_.instance; });
}

// Transfers surplus units to the quota pool daemons, so that a large request finds them with few queries.
void Gateway::deposit(TimeMs now)
{
    if (!configuration_ || !peers_.isServing() || now < depositedAt_ + DepositInterval)
        return;
    depositedAt_ = now;
    for (const ServedOrganisation &organisation : configuration_->organisations) {
        const std::vector<const MemberEntry *> poolDaemons = peers_.quotaPool(organisation.name, now);
        if (poolDaemons.empty() || includesThisDaemon(poolDaemons))
            continue;
        const double units = quotas_.surplus(organisation.name);
        if (units <= 0)
            continue;
        const MemberEntry &poolDaemon = *poolDaemons[deposits_ % poolDaemons.size()];
        const QuotaTransfer transfer{settings_.incarnation, ++deposits_, organisation.name, units, true};
        actions_.emplace_back(SendToPeer{poolDaemon.peerAddress, transfer});
    }
}

void Gateway::onQuotaRequest(const QuotaRequest &request, const Address &from)
{
    const double given = quotas_.give(request.organisation, request.units);
    if (given > 0)
        actions_.emplace_back(SendToPeer{
            from, QuotaTransfer{settings_.incarnation, request.number, request.organisation, given, false}});
}

// A late transfer is accepted, too, since the sender has already taken the units from its balance.
void Gateway::onQuotaTransfer(const QuotaTransfer &transfer, TimeMs now)
{
    if (!transfersReceived_.insert({transfer.from, transfer.deposit, transfer.number}).second)
        return;
    const auto first = transfersReceived_.lower_bound({transfer.from, transfer.deposit, 0});
    if (std::get<2>(*first) + RememberedNumbers < transfer.number)
        transfersReceived_.erase(first);
    if (transfer.deposit)
        return quotas_.receiveDeposit(transfer.organisation, transfer.units);
    quotas_.receive(transfer.organisation, transfer.units);
    const auto waiting = unitRequests_.find(transfer.number);
    if (waiting == unitRequests_.end())
        return;
    Exchange &exchange = exchanges_.at(waiting->second);
    const ServedOrganisation *organisation = exchange.configuration->findByKey(exchange.request->key);
    const double units = organisation ? unitsOf(*organisation, *exchange.request) : 0;
    if (organisation && quotas_.take(*organisation, units, quotaRole(organisation->name, now), now))
        return;
    exchange.quotaUnits = units;
    continueWithinLimit(exchange, now);
}

// Checks the request again, since the configuration may have changed while it waited.
void Gateway::continueWithinLimit(Exchange &exchange, TimeMs now)
{
    unitRequests_.erase(exchange.unitRequest);
    if (const std::optional<OwnAnswer> refusal = checkRequest(exchange, now))
        return answer(exchange, *refusal, now);
    exchange.enter(ExchangePhase::Queued, now);
    dispatch(exchange, now);
}

void Gateway::tickLimits(TimeMs now)
{
    deposit(now);
    std::vector<CallerId> expired;
    for (const std::pair<const uint64_t, CallerId> &entry : unitRequests_) {
        if (now >= exchanges_.at(entry.second).unitRequestUntil)
            expired.push_back(entry.second);
    }
    for (CallerId id : expired) {
        Exchange &exchange = exchanges_.at(id);
        unitRequests_.erase(exchange.unitRequest);
        const bool waitsAgain = !exchange.requestedUnits && exchange.limitWaits < MaxStartupWaits;
        if (takeQuota(exchange, waitsAgain, now) == LimitOutcome::Within)
            continueWithinLimit(exchange, now);
    }
}

} // namespace cranberry
