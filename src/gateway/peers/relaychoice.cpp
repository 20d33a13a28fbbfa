#include "gateway/peers/relaychoice.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace cranberry {

namespace {

constexpr size_t RelaysInUse = 3;
/// A relay that did not accept a request has stopped, restarts or is overloaded.
constexpr DurationMs AvoidanceTime{1000};

} // namespace

std::optional<Address> RelayChoice::choose(const std::vector<const MemberEntry *> &candidates,
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
        if (!isAvoided(member->peerAddress, now))
            ranked.push_back(
                {tried.contains(member->peerAddress), member->failureDomain == ownDomain_,
                 XXH3_64bits_withSeed(self_.value.data(), self_.value.size(), member->incarnation.value),
                 member});
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

bool RelayChoice::isAvailable(const std::vector<const MemberEntry *> &candidates, TimeMs now) const
{
    return std::any_of(candidates.begin(), candidates.end(),
                       [&](const MemberEntry *member) { return !isAvoided(member->peerAddress, now); });
}

void RelayChoice::failed(const Address &relay, TimeMs now)
{
    std::erase_if(avoidedUntil_,
                  [now](const std::pair<const Address, TimeMs> &each) { return each.second <= now; });
    avoidedUntil_[relay] = now + AvoidanceTime;
}

bool RelayChoice::isAvoided(const Address &relay, TimeMs now) const
{
    const auto found = avoidedUntil_.find(relay);
    return found != avoidedUntil_.end() && now < found->second;
}

} // namespace cranberry
