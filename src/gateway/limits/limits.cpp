// Organisations' limits: a request is charged to this daemon's balance, or waits briefly for units that other
// daemons can spare.

#include "gateway/gateway.h"

#include <algorithm>

namespace cranberry {

namespace {

/// How long a request waits for units from other daemons. Covers several round trips and is still a small
/// part of any caller's deadline.
constexpr DurationMs GiftTime{150};
/// A daemon that lacks units requests this fraction more than one request needs, for the next requests.
constexpr double AskedBeyond = 0.5;
/// Other daemons are asked only if they had at least this fraction of the missing units by their last
/// reports.
constexpr double LeastHope = 0.5;
/// Maximum number of daemons that are asked for units for one request.
constexpr size_t MostAsked = 12;
/// A daemon that has just started does not know the other daemons' balances. For this time after its start, a
/// request waits for their first reports, up to MaxStartupWaits times for TransferTimeout each.
constexpr DurationMs StartTime{1500};
constexpr uint32_t MostStartWaits = 4;
/// Transfer numbers of one sender that are remembered, to ignore duplicates. Datagrams are never delayed by
/// more transfers than this.
constexpr uint64_t NumbersRemembered = 500;
/// Interval of depositing units that this daemon does not need.
constexpr DurationMs DepositPace{500};
constexpr DurationMs LeastRetryAfter{400};

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
Gateway::LimitOutcome Gateway::takeQuota(Exchange &exchange, bool mayAsk, TimeMs now)
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
    if (mayAsk && askForUnits(exchange, shortage->missing, now))
        return LimitOutcome::Waits;
    if (mayAsk && isStillMeeting(now)) {
        awaitLimit(exchange, now);
        return LimitOutcome::Waits;
    }
    const double spare = sumOf(peers_.spares(organisation->name, shortage->missing, now));
    // The caller may retry at any daemon, so it gets spare units sooner at a daemon that has them.
    const DurationMs wait
        = spare >= shortage->missing ? LeastRetryAfter : std::max(shortage->wait, LeastRetryAfter);
    answer(exchange, {429, GatewayRefusal::OverLimit, wait}, now);
    return LimitOutcome::Refused;
}

// Requests units from the quota pool daemons and others that can spare some. Returns false if the known spare
// units are too few.
bool Gateway::askForUnits(Exchange &exchange, double missing, TimeMs now)
{
    std::vector<PeerTable::Spare> spares = peers_.spares(exchange.organisation, missing, now);
    spares.resize(std::min(spares.size(), MostAsked));
    const double sum = sumOf(spares);
    if (sum < missing * LeastHope)
        return false;
    awaitLimit(exchange, now);
    exchange.askedForUnits = true;
    // Reports may be outdated, so each daemon is asked for more than its part and transfers what it has.
    const double wanted = missing * (1 + AskedBeyond);
    for (const PeerTable::Spare &spare : spares) {
        const double part
            = std::max(wanted * spare.units / sum, missing / static_cast<double>(spares.size()));
        actions_.emplace_back(
            TellPeer{spare.address, QuotaAsk{exchange.limitAsk, exchange.organisation, part}});
    }
    log(LogWeight::Ordinary, "limit_asked", exchange,
        {{"missing", missing}, {"spare", sum}, {"daemons", spares.size()}});
    return true;
}

bool Gateway::isStillMeeting(TimeMs now) const
{
    return now - startedAt_ < StartTime && !peers_.hearsAll(now);
}

void Gateway::awaitLimit(Exchange &exchange, TimeMs now)
{
    exchange.phase = ExchangePhase::AwaitingLimit;
    exchange.limitAsk = nextAsk_++;
    exchange.limitAskUntil = now + GiftTime;
    ++exchange.limitWaits;
    limitAsks_[exchange.limitAsk] = exchange.caller;
}

QuotaRole Gateway::quotaRole(const OrganisationName &organisation, TimeMs now) const
{
    const std::vector<const MemberEntry *> keepers = peers_.keepers(organisation, now);
    QuotaRole role;
    role.daemons = peers_.sharers(now);
    role.keepers = std::min(PeerTable::Keepers, role.daemons);
    role.isKeeper = isAmong(keepers);
    role.shares = peers_.isSharer();
    return role;
}

bool Gateway::isAmong(const std::vector<const MemberEntry *> &members) const
{
    return std::any_of(members.begin(), members.end(),
                       [this](const MemberEntry *member) { return member->instance == settings_.instance; });
}

// Transfers surplus units to the quota pool daemons, so that a large request finds them with few queries.
void Gateway::deposit(TimeMs now)
{
    if (!configuration_ || !peers_.isSharer() || now < depositedAt_ + DepositPace)
        return;
    depositedAt_ = now;
    for (const ServedOrganisation &organisation : configuration_->organisations) {
        const std::vector<const MemberEntry *> keepers = peers_.keepers(organisation.name, now);
        if (keepers.empty() || isAmong(keepers))
            continue;
        const double units = quotas_.surplus(organisation.name);
        if (units <= 0)
            continue;
        const MemberEntry &keeper = *keepers[deposits_ % keepers.size()];
        const QuotaGift gift{settings_.incarnation, ++deposits_, organisation.name, units, true};
        actions_.emplace_back(TellPeer{keeper.peerAddress, gift});
    }
}

void Gateway::onQuotaAsk(const QuotaAsk &ask, const Address &from)
{
    const double given = quotas_.give(ask.organisation, ask.units);
    if (given > 0)
        actions_.emplace_back(
            TellPeer{from, QuotaGift{settings_.incarnation, ask.number, ask.organisation, given, false}});
}

// A late transfer is accepted, too, since the sender has already taken the units from its balance.
void Gateway::onQuotaGift(const QuotaGift &gift, TimeMs now)
{
    if (!giftsTaken_.insert({gift.from, gift.deposit, gift.number}).second)
        return;
    const auto first = giftsTaken_.lower_bound({gift.from, gift.deposit, 0});
    if (std::get<2>(*first) + NumbersRemembered < gift.number)
        giftsTaken_.erase(first);
    if (gift.deposit)
        return quotas_.keep(gift.organisation, gift.units);
    quotas_.receive(gift.organisation, gift.units);
    const auto waiting = limitAsks_.find(gift.number);
    if (waiting == limitAsks_.end())
        return;
    Exchange &exchange = exchanges_.at(waiting->second);
    const ServedOrganisation *organisation = exchange.configuration->findByKey(exchange.request->key);
    const double units = organisation ? unitsOf(*organisation, *exchange.request) : 0;
    if (organisation && quotas_.take(*organisation, units, quotaRole(organisation->name, now), now))
        return;
    exchange.quotaUnits = units;
    goOnWithinLimit(exchange, now);
}

// Checks the request again, since the configuration may have changed while it waited.
void Gateway::goOnWithinLimit(Exchange &exchange, TimeMs now)
{
    limitAsks_.erase(exchange.limitAsk);
    exchange.phase = ExchangePhase::Queued;
    if (const std::optional<OwnAnswer> refusal = judge(exchange, now))
        return answer(exchange, *refusal, now);
    dispatch(exchange, now);
}

void Gateway::tickLimits(TimeMs now)
{
    deposit(now);
    std::vector<CallerId> over;
    for (const std::pair<const uint64_t, CallerId> &entry : limitAsks_) {
        if (now >= exchanges_.at(entry.second).limitAskUntil)
            over.push_back(entry.second);
    }
    for (CallerId id : over) {
        Exchange &exchange = exchanges_.at(id);
        limitAsks_.erase(exchange.limitAsk);
        const bool onceMore = !exchange.askedForUnits && exchange.limitWaits < MostStartWaits;
        if (takeQuota(exchange, onceMore, now) == LimitOutcome::Within)
            goOnWithinLimit(exchange, now);
    }
}

} // namespace cranberry
