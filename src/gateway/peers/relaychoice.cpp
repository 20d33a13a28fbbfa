#include "gateway/peers/relaychoice.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace cranberry {

namespace {

constexpr size_t RelaysInUse = 3;
/// A relay that did not accept a request has stopped, restarts or is overloaded.
constexpr DurationMs AvoidanceTime{1000};
/// A single endpoint that a relay does not reach may be gone.
constexpr uint32_t MinUnreachedInRow = 2;

} // namespace

uint64_t relayRank(const InstanceName &self, const MemberEntry &relay)
{
    return XXH3_64bits_withSeed(self.value.data(), self.value.size(), relay.incarnation.value);
}

std::optional<Address> RelayChoice::choose(const ServiceName &service,
                                           const std::vector<const MemberEntry *> &candidates,
                                           const std::set<Address> &tried, TimeMs now)
{
    struct Ranked {
        bool wasTried = false;
        bool isInOwnDomain = false;
        uint64_t weight = 0;
        const MemberEntry *member = nullptr;
    };
    std::vector<Ranked> ranked;
    for (const MemberEntry *member : candidates) {
        if (!isAvoided(service, member->peerAddress, now))
            ranked.push_back({tried.contains(member->peerAddress), member->failureDomain == ownDomain_,
                              relayRank(self_, *member), member});
    }
    if (ranked.empty())
        return std::nullopt;
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        return std::tie(a.wasTried, a.isInOwnDomain, a.weight)
            < std::tie(b.wasTried, b.isInOwnDomain, b.weight);
    });
    size_t usable = 1;
    while (usable < std::min(ranked.size(), RelaysInUse) && ranked[usable].wasTried == ranked.front().wasTried
           && ranked[usable].isInOwnDomain == ranked.front().isInOwnDomain)
        ++usable;
    return ranked[random_.below(usable)].member->peerAddress;
}

bool RelayChoice::isAvailable(const ServiceName &service, const std::vector<const MemberEntry *> &candidates,
                              TimeMs now) const
{
    return std::any_of(candidates.begin(), candidates.end(), [&](const MemberEntry *member) {
        return !isAvoided(service, member->peerAddress, now);
    });
}

void RelayChoice::failed(const Address &relay, TimeMs now)
{
    removeOld(now);
    failedAt_[relay] = now;
}

void RelayChoice::unreached(const ServiceName &service, const Address &relay, TimeMs now)
{
    removeOld(now);
    Unreached &unreached = unreached_[{service, relay}];
    unreached.at = now;
    ++unreached.inRow;
}

void RelayChoice::reached(const ServiceName &service, const Address &relay)
{
    unreached_.erase({service, relay});
}

void RelayChoice::removeOld(TimeMs now)
{
    std::erase_if(failedAt_, [now](const std::pair<const Address, TimeMs> &each) {
        return now - each.second >= AvoidanceTime;
    });
    std::erase_if(unreached_, [now](const std::pair<const std::pair<ServiceName, Address>, Unreached> &each) {
        return now - each.second.at >= AvoidanceTime;
    });
}

bool RelayChoice::isAvoided(const ServiceName &service, const Address &relay, TimeMs now) const
{
    const auto failure = failedAt_.find(relay);
    if (failure != failedAt_.end() && now - failure->second < AvoidanceTime)
        return true;
    const auto found = unreached_.find({service, relay});
    return found != unreached_.end() && found->second.inRow >= MinUnreachedInRow
        && now - found->second.at < AvoidanceTime;
}

} // namespace cranberry
