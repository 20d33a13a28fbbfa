#include "gateway/endpoints/endpointlimiter.h"

#include <algorithm>
#include <xxhash.h>

namespace cranberry {

namespace {

/// A granted request that is not sent within this time is lost to the endpoint; sent later, it would add to
/// those granted in the meantime.
constexpr DurationMs GrantTtl{500};
/// Grants are accepted for this many of the newest share requests; a grant for an older one was in flight for
/// too long.
constexpr uint64_t RecentShareRequests = 5;
/// A request similar to one that would have gone to the endpoint is expected within this time.
constexpr DurationMs UnmetDemandTtl{300};
/// A daemon that becomes coordinator within this time after the limit was first stated has no predecessor.
constexpr DurationMs FirstCoordinatorTime{1000};
/// A coordinator whose role was not confirmed for this long was paused, and another daemon may have been
/// coordinator in the meantime.
constexpr DurationMs CoordinatorPauseGap{1000};

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
uint32_t EndpointLimiter::missingGrants(TimeMs now) const
{
    const uint32_t unmetDemand = now - unmetDemandAt_ <= UnmetDemandTtl ? 1 : 0;
    const uint32_t wanted = std::max(queuedRequests_, unmetDemand);
    return wanted - std::min(wanted, granted(now));
}

uint32_t EndpointLimiter::waiting(TimeMs now) const
{
    const uint32_t requested = shares_.waiting();
    return now - reportedWaitingAt_ < GrantTtl ? std::max(requested, reportedWaiting_) : requested;
}

std::optional<LimitShareRequest> EndpointLimiter::dueShareRequest(const EndpointIncarnation &endpoint,
                                                                  TimeMs now)
{
    if (!isLimited() || isCoordinator() || missingGrants(now) == 0
        || now - shareRequestedAt_ < ShareRequestInterval)
        return std::nullopt;
    shareRequestedAt_ = now;
    return LimitShareRequest{endpoint, ++shareRequestsSent_, missingGrants(now)};
}

void EndpointLimiter::applyGrant(const LimitShareGrant &grant, TimeMs now)
{
    const bool isOld = grant.requestNumber + RecentShareRequests < shareRequestsSent_
        || grant.requestNumber > shareRequestsSent_ || now - shareRequestedAt_ > GrantTtl;
    const bool isDuplicate = grant.from == lastGranter_ && grant.number <= lastGrant_;
    if (isOld || isDuplicate || isCoordinator())
        return;
    lastGranter_ = grant.from;
    lastGrant_ = grant.number;
    reportedWaiting_ = grant.waiting;
    reportedWaitingAt_ = now;
    if (grant.requests == 0)
        return;
    granted_ = granted(now) + grant.requests;
    grantedUntil_ = now + GrantTtl;
}

void EndpointLimiter::setCoordinator(bool isSelf, TimeMs now)
{
    const bool wasPaused = now - coordinationCheckedAt_ > CoordinatorPauseGap;
    coordinationCheckedAt_ = now;
    if (isSelf == isCoordinator() && !(isSelf && wasPaused))
        return;
    granted_ = 0;
    if (isSelf)
        shares_.begin(now - stated.limitedSince() >= FirstCoordinatorTime, now);
    else
        shares_.end();
}

void EndpointLimiter::onShareRequest(const Address &from, const LimitShareRequest &request, TimeMs now)
{
    if (isCoordinator())
        shares_.recordRequest(from, request, now);
}

std::vector<EndpointLimiter::Grant> EndpointLimiter::grantShares(const EndpointIncarnation &endpoint,
                                                                 Incarnation self, TimeMs now)
{
    std::vector<Grant> out;
    if (!isCoordinator() || !isLimited())
        return out;
    const LimitShares::Distribution shared
        = shares_.distribute(stated.perSecond(), missingGrants(now), granted_ == 0, now);
    granted_ += shared.own;
    const uint32_t waitingNow = shares_.waiting();
    for (const LimitShares::Share &each : shared.others)
        out.push_back(
            {each.to, {endpoint, self, each.requestNumber, ++grantsSent_, each.requests, waitingNow}});
    return out;
}

const MemberEntry *coordinatorOf(const EndpointIncarnation &endpoint,
                                 const std::vector<const MemberEntry *> &daemons)
{
    const MemberEntry *chosen = nullptr;
    uint64_t maxWeight = 0;
    for (const MemberEntry *daemon : daemons) {
        const std::string &name = endpoint.id.value;
        const uint64_t weight = XXH3_64bits_withSeed(name.data(), name.size(), daemon->incarnation.value);
        if (!chosen || weight > maxWeight) {
            chosen = daemon;
            maxWeight = weight;
        }
    }
    return chosen;
}

} // namespace cranberry
