#include "gateway/endpoints/endpointlimiter.h"

#include <algorithm>
#include <xxhash.h>

namespace cranberry {

namespace {

/// A granted request that is not sent within this time is lost to the endpoint; sent later, it would add to
/// those granted in the meantime.
constexpr DurationMs GrantLife{500};
/// Grants are accepted for this many of the newest share requests; a grant for an older one was in flight for
/// too long.
constexpr uint64_t AsksRemembered = 5;
/// A request similar to one that would have gone to the endpoint is expected within this time.
constexpr DurationMs WishLife{300};
/// A daemon that becomes coordinator within this time after the limit was first stated has no predecessor.
constexpr DurationMs FirstCoordinatorTime{1000};
/// A coordinator whose role was not confirmed for this long was paused, and another daemon may have been
/// coordinator in the meantime.
constexpr DurationMs StandstillGap{1000};

} // namespace

uint32_t EndpointLimiter::granted(TimeMs now) const
{
    return isCoordinator() || now < grantedUntil_ ? granted_ : 0;
}

void EndpointLimiter::sent(TimeMs now)
{
    granted_ = granted(now);
    granted_ -= std::min(granted_, 1U);
}

// Number of requests that could go to the endpoint in excess of the granted ones.
uint32_t EndpointLimiter::lacking(TimeMs now) const
{
    const uint32_t wished = now - wishedAt_ <= WishLife ? 1 : 0;
    const uint32_t wanted = std::max(wanted_, wished);
    return wanted - std::min(wanted, granted(now));
}

uint32_t EndpointLimiter::waiting(TimeMs now) const
{
    const uint32_t asked = shares_.waiting();
    return now - toldWaitingAt_ < GrantLife ? std::max(asked, toldWaiting_) : asked;
}

std::optional<LimitAsk> EndpointLimiter::dueAsk(const EndpointLife &endpoint, TimeMs now)
{
    if (!isLimited() || isCoordinator() || lacking(now) == 0 || now - askedAt_ < AskPace)
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

void EndpointLimiter::setCoordinator(bool isSelf, TimeMs now)
{
    const bool stoodStill = now - coordinationCheckedAt_ > StandstillGap;
    coordinationCheckedAt_ = now;
    if (isSelf == isCoordinator() && !(isSelf && stoodStill))
        return;
    granted_ = 0;
    if (isSelf)
        shares_.begin(now - stated.standsSince() >= FirstCoordinatorTime, now);
    else
        shares_.end();
}

void EndpointLimiter::onAsk(const Address &from, const LimitAsk &ask, TimeMs now)
{
    if (isCoordinator())
        shares_.ask(from, ask, now);
}

std::vector<EndpointLimiter::Grant> EndpointLimiter::share(const EndpointLife &endpoint, Incarnation self,
                                                           TimeMs now)
{
    std::vector<Grant> out;
    if (!isCoordinator() || !isLimited())
        return out;
    const LimitShares::Shared shared = shares_.share(stated.perSecond(), lacking(now), granted_ == 0, now);
    granted_ += shared.own;
    const uint32_t waitingNow = shares_.waiting();
    for (const LimitShares::Share &each : shared.others)
        out.push_back({each.to, {endpoint, self, each.ask, ++grants_, each.requests, waitingNow}});
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
