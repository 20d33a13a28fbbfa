#include "gateway/endpoints/endpointlimiter.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace cranberry {

namespace {

/// A granted request that is not sent by then is lost to the endpoint; a later one would come beside those
/// that were granted meanwhile.
constexpr DurationMs GrantLife{500};
/// Of the last so many questions a grant is taken; an older one has been under way for too long.
constexpr uint64_t AsksRemembered = 5;
/// Who has not asked for so long does not wait any more.
constexpr DurationMs DemandLife{300};
/// Longer than a grant of the coordinator before may be under way, and then lie unused.
constexpr DurationMs HandoverPause{2000};
/// Who becomes it so soon after the limit was first named has nobody before it.
constexpr DurationMs FirstCoordinatorTime{1000};
/// A coordinator that was not reminded of its role for so long stood still, and others may have had it.
constexpr DurationMs StandstillGap{1000};
/// Of its rate a coordinator may save so much up, and one request at least.
constexpr double MostSavedSeconds = 0.5;
constexpr double LeastPerSecond = 0.2;
constexpr uint32_t ClearsToLift = 4;
constexpr uint32_t Tellings = 3;
constexpr DurationMs TellAgainAfter{300};
/// For daemons that lost all of that.
constexpr DurationMs RemindPace{5000};

} // namespace

// ---- What the endpoint says ----

bool EndpointLimiter::hear(std::optional<RequestRate> stated, TimeMs sentAt, TimeMs now)
{
    if (!stated && sentAt < heardAt_)
        return false;
    const bool isNews = stated ? stated != limit_ || clears_ > 0 : limit_.has_value();
    if (stated) {
        set(stated, 0, now, now);
    } else {
        const uint32_t clears = clears_ + 1;
        set(clears < ClearsToLift ? limit_ : std::nullopt, clears, sentAt, now);
    }
    if (isNews) {
        tellAt_ = now;
        tellingsLeft_ = Tellings;
    }
    return isNews;
}

bool EndpointLimiter::learn(const LimitWord &word, TimeMs now)
{
    const TimeMs heardAt = now - word.age;
    if (heardAt <= heardAt_)
        return false;
    const bool isNews = word.limit != limit_ || (word.limit && word.clears != clears_);
    set(word.limit, word.clears, heardAt, now - word.standing);
    return isNews;
}

void EndpointLimiter::set(std::optional<RequestRate> limit, uint32_t clears, TimeMs heardAt,
                          TimeMs standsSince)
{
    if (!limit_)
        standsSince_ = standsSince;
    limit_ = limit;
    clears_ = limit ? clears : 0;
    heardAt_ = heardAt;
}

double EndpointLimiter::perSecond() const
{
    return limit_ ? std::ldexp(std::max(limit_->perSecond, LeastPerSecond), static_cast<int>(clears_)) : 0;
}

LimitWord EndpointLimiter::word(const EndpointLife &endpoint, TimeMs now) const
{
    return {endpoint, limit_, clears_, now - heardAt_, now - standsSince_};
}

bool EndpointLimiter::isTellingDue(TimeMs now)
{
    const bool reminds = isCoordinator() && limit_;
    if ((tellingsLeft_ == 0 && !reminds) || now < tellAt_)
        return false;
    tellingsLeft_ -= std::min(tellingsLeft_, 1U);
    tellAt_ = now + (tellingsLeft_ > 0 ? TellAgainAfter : RemindPace);
    return true;
}

// ---- Sending ----

uint32_t EndpointLimiter::granted(TimeMs now) const
{
    return isCoordinator() || now < grantedUntil_ ? granted_ : 0;
}

void EndpointLimiter::sent(TimeMs now)
{
    granted_ = granted(now);
    granted_ -= std::min(granted_, 1U);
}

// Requests that could go there, beyond those that may.
uint32_t EndpointLimiter::lacking(TimeMs now) const
{
    const uint32_t wished = now - wishedAt_ <= DemandLife ? 1 : 0;
    const uint32_t wanted = std::max(wanted_, wished);
    return wanted - std::min(wanted, granted(now));
}

std::optional<LimitAsk> EndpointLimiter::dueAsk(const EndpointLife &endpoint, TimeMs now)
{
    if (!limit_ || isCoordinator() || lacking(now) == 0 || now - askedAt_ < AskPace)
        return std::nullopt;
    askedAt_ = now;
    return LimitAsk{endpoint, ++asks_, lacking(now)};
}

void EndpointLimiter::take(const LimitGrant &grant, TimeMs now)
{
    const bool isOld = grant.ask + AsksRemembered < asks_ || grant.ask > asks_ || now - askedAt_ > GrantLife;
    const bool isDoubled = grant.from == lastGiver_ && grant.number <= lastGrant_;
    if (isOld || isDoubled || isCoordinator())
        return;
    lastGiver_ = grant.from;
    lastGrant_ = grant.number;
    toldWaiting_ = grant.waiting;
    toldWaitingAt_ = now;
    if (grant.requests == 0)
        return;
    granted_ = granted(now) + grant.requests;
    grantedUntil_ = now + GrantLife;
}

uint32_t EndpointLimiter::waiting(TimeMs now) const
{
    uint32_t sum = 0;
    for (const Demand &demand : demands_)
        sum += demand.waiting;
    return now - toldWaitingAt_ < GrantLife ? std::max(sum, toldWaiting_) : sum;
}

// ---- Coordinating ----

void EndpointLimiter::setCoordinator(bool isSelf, TimeMs now)
{
    const bool stoodStill = now - coordinationCheckedAt_ > StandstillGap;
    coordinationCheckedAt_ = now;
    if (isSelf == isCoordinator() && !(isSelf && stoodStill))
        return;
    granted_ = 0;
    demands_.clear();
    tokens_ = 0;
    coordinatesSince_.reset();
    if (!isSelf)
        return;
    coordinatesSince_ = now;
    const bool isFirst = now - standsSince_ < FirstCoordinatorTime;
    filledAt_ = isFirst ? now : now + HandoverPause;
}

void EndpointLimiter::fill(TimeMs now)
{
    if (!limit_ || now <= filledAt_)
        return;
    const double most = std::max(1.0, perSecond() * MostSavedSeconds);
    tokens_ = std::min(most, tokens_ + perSecond() * static_cast<double>((now - filledAt_).count) / 1000.0);
    filledAt_ = now;
}

void EndpointLimiter::noteDemand(const Demand &demand)
{
    const auto known = std::find_if(demands_.begin(), demands_.end(),
                                    [&demand](const Demand &each) { return each.from == demand.from; });
    if (known == demands_.end()) {
        if (demand.waiting > 0)
            demands_.push_back(demand);
        return;
    }
    const TimeMs since = known->since;
    *known = demand;
    known->since = since;
}

void EndpointLimiter::onAsk(const Address &from, const LimitAsk &ask, TimeMs now)
{
    if (isCoordinator())
        noteDemand({from, ask.number, ask.waiting, now, now, false});
}

void EndpointLimiter::forgetOldDemands(TimeMs now)
{
    std::erase_if(demands_, [now](const Demand &demand) { return now - demand.heardAt > DemandLife; });
}

EndpointLimiter::Demand *EndpointLimiter::nextDemand()
{
    Demand *next = nullptr;
    for (Demand &demand : demands_) {
        if (demand.waiting > 0 && (!next || demand.since < next->since))
            next = &demand;
    }
    return next;
}

// A question is answered even if there is nothing to grant: its daemon learns how many wait.
std::vector<EndpointLimiter::Share> EndpointLimiter::share(const EndpointLife &endpoint, Incarnation self,
                                                           TimeMs now)
{
    std::vector<Share> out;
    if (!isCoordinator() || !limit_)
        return out;
    fill(now);
    noteDemand({std::nullopt, 0, lacking(now), now, now, true});
    forgetOldDemands(now);
    std::map<Address, uint32_t> grants;
    while (tokens_ >= 1) {
        Demand *next = nextDemand();
        // With nobody waiting, one is kept ready for the next request that comes here.
        if (!next && granted_ > 0)
            break;
        tokens_ -= 1;
        if (!next || !next->from)
            ++granted_;
        else
            ++grants[*next->from];
        if (next) {
            --next->waiting;
            next->since = now;
        }
    }
    const uint32_t waitingNow = waiting(now);
    for (Demand &demand : demands_) {
        if (!demand.from)
            continue;
        const auto given = grants.find(*demand.from);
        if (given == grants.end() && demand.isAnswered)
            continue;
        demand.isAnswered = true;
        const uint32_t requests = given == grants.end() ? 0 : given->second;
        out.push_back({*demand.from, {endpoint, self, demand.number, ++grants_, requests, waitingNow}});
    }
    return out;
}

const MemberEntry *coordinatorOf(const EndpointLife &endpoint,
                                 const std::vector<const MemberEntry *> &daemons)
{
    const MemberEntry *first = nullptr;
    uint64_t most = 0;
    for (const MemberEntry *daemon : daemons) {
        const std::string &name = endpoint.id.value;
        const uint64_t weight = XXH3_64bits_withSeed(name.data(), name.size(), daemon->incarnation.value);
        if (!first || weight > most) {
            first = daemon;
            most = weight;
        }
    }
    return first;
}

} // namespace cranberry
