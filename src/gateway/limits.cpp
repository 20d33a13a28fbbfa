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
/// Daemons asked for one request, at most.
constexpr size_t MostAsked = 12;
/// Gifts are remembered for this many questions, to take doubled ones once.
constexpr uint64_t QuestionsRemembered = 1000;
constexpr DurationMs LeastRetryAfter{400};

} // namespace

// Within: the units are taken. Waits: others are asked. Refused: the caller has its answer.
Gateway::LimitOutcome Gateway::takeQuota(Exchange &exchange, bool mayAsk, TimeMs now)
{
    const ServedOrganisation *organisation = exchange.organisation.value.empty()
        ? nullptr
        : exchange.configuration->findByKey(exchange.request->key);
    if (!organisation)
        return LimitOutcome::Within;
    const CallerRequest &request = *exchange.request;
    const double units
        = quotaUnits(*organisation, request.statesTokens, request.promptTokens + request.outputTokens);
    const std::optional<QuotaShortage> shortage
        = quotas_.take(*organisation, units, peers_.memberCount(), now);
    if (!shortage) {
        exchange.quotaUnits = units;
        return LimitOutcome::Within;
    }
    if (mayAsk && askForUnits(exchange, shortage->missing, now))
        return LimitOutcome::Waits;
    const double spare = [&] {
        double sum = 0;
        for (const PeerTable::Spare &each : peers_.spares(organisation->name, now))
            sum += each.units;
        return sum;
    }();
    // What others can spare is had sooner there: the caller comes back to any daemon.
    const DurationMs wait
        = spare >= shortage->missing ? LeastRetryAfter : std::max(shortage->wait, LeastRetryAfter);
    answer(exchange, {429, GatewayRefusal::OverLimit, wait}, now);
    return LimitOutcome::Refused;
}

// Asks those that can spare most, for what they can. False if all of them together can't help.
bool Gateway::askForUnits(Exchange &exchange, double missing, TimeMs now)
{
    std::vector<PeerTable::Spare> spares = peers_.spares(exchange.organisation, now);
    spares.resize(std::min(spares.size(), MostAsked));
    double sum = 0;
    for (const PeerTable::Spare &spare : spares)
        sum += spare.units;
    if (sum < missing)
        return false;
    exchange.phase = ExchangePhase::AwaitingLimit;
    exchange.limitAsk = nextAsk_++;
    exchange.limitAskUntil = now + GiftTime;
    limitAsks_[exchange.limitAsk] = exchange.caller;
    const double wanted = std::min(missing * (1 + AskedBeyond), sum);
    for (const PeerTable::Spare &spare : spares) {
        const QuotaAsk ask{exchange.limitAsk, exchange.organisation, wanted * spare.units / sum};
        actions_.emplace_back(TellPeer{spare.address, ask});
    }
    log(LogWeight::Ordinary, "limit_asked", exchange,
        {{"missing", missing}, {"spare", sum}, {"daemons", spares.size()}});
    return true;
}

void Gateway::onQuotaAsk(const QuotaAsk &ask, const Address &from)
{
    const double given = quotas_.give(ask.organisation, ask.units);
    if (given > 0)
        actions_.emplace_back(
            TellPeer{from, QuotaGift{settings_.incarnation, ask.number, ask.organisation, given}});
}

// A late gift is taken, too: its giver no longer has it.
void Gateway::onQuotaGift(const QuotaGift &gift, TimeMs now)
{
    if (gift.number >= nextAsk_ || !giftsTaken_.insert({gift.number, gift.from}).second)
        return;
    while (!giftsTaken_.empty() && giftsTaken_.begin()->first + QuestionsRemembered < nextAsk_)
        giftsTaken_.erase(giftsTaken_.begin());
    if (gift.number + QuestionsRemembered < nextAsk_)
        return;
    quotas_.receive(gift.organisation, gift.units);
    const auto waiting = limitAsks_.find(gift.number);
    if (waiting == limitAsks_.end())
        return;
    Exchange &exchange = exchanges_.at(waiting->second);
    const ServedOrganisation *organisation = exchange.configuration->findByKey(exchange.request->key);
    const CallerRequest &request = *exchange.request;
    const double units = organisation
        ? quotaUnits(*organisation, request.statesTokens, request.promptTokens + request.outputTokens)
        : 0;
    if (organisation && quotas_.take(*organisation, units, peers_.memberCount(), now))
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
    std::vector<CallerId> over;
    for (const std::pair<const uint64_t, CallerId> &entry : limitAsks_) {
        if (now >= exchanges_.at(entry.second).limitAskUntil)
            over.push_back(entry.second);
    }
    for (CallerId id : over) {
        Exchange &exchange = exchanges_.at(id);
        limitAsks_.erase(exchange.limitAsk);
        if (takeQuota(exchange, false, now) == LimitOutcome::Within)
            goOnWithinLimit(exchange, now);
    }
}

} // namespace cranberry
