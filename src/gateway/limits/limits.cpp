// Organisations' limits: a request runs on this daemon's balance, or waits a moment for what others can
// spare.

#include "gateway/gateway.h"

#include <algorithm>

namespace cranberry {

namespace {

/// So long a request waits for units from other daemons: several ways there and back, and still a small part
/// of any caller's time.
constexpr DurationMs GiftTime{150};
/// A daemon that lacks units asks for a little more than one request needs, in parts of it, for the next
/// ones.
constexpr double AskedBeyond = 0.5;
/// Others are asked if they had this part of what is missing when they told last.
constexpr double LeastHope = 0.5;
/// Daemons asked for one request, at most.
constexpr size_t MostAsked = 12;
/// A daemon that has just started does not know the others' balances. So long at most, and for so many waits,
/// a request waits for what their first reports bring; each wait is a GiftTime.
constexpr DurationMs StartTime{1500};
constexpr uint32_t MostStartWaits = 4;
/// Numbers of one giver's gifts that are remembered, to take doubled ones once. Datagrams are not that late.
constexpr uint64_t NumbersRemembered = 500;
/// Pace of gathering what daemons don't need.
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

// Within: the units are taken. Waits: others are asked. Refused: the caller has its answer.
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
    // What others can spare is had sooner there: the caller comes back to any daemon.
    const DurationMs wait
        = spare >= shortage->missing ? LeastRetryAfter : std::max(shortage->wait, LeastRetryAfter);
    answer(exchange, {429, GatewayRefusal::OverLimit, wait}, now);
    return LimitOutcome::Refused;
}

// Asks those where the limit's rest is gathered, and others that can spare something. False if nobody can
// help.
bool Gateway::askForUnits(Exchange &exchange, double missing, TimeMs now)
{
    std::vector<PeerTable::Spare> spares = peers_.spares(exchange.organisation, missing, now);
    spares.resize(std::min(spares.size(), MostAsked));
    const double sum = sumOf(spares);
    if (sum < missing * LeastHope)
        return false;
    awaitLimit(exchange, now);
    exchange.askedForUnits = true;
    // Reports are old: each is asked for more than its part, and gives what it has.
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

// What this daemon does not need is gathered at a few, so that a large request finds it with few questions.
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

// A late gift is taken, too: its giver no longer has it.
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

// The configuration may have changed while the request waited.
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
