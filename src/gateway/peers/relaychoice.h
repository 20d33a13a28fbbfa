#pragma once

#include "common/random.h"
#include "gateway/gatewayevents.h"

#include <map>
#include <set>

namespace cranberry {

/// Rank of a relay for this daemon; lower ones go first. Each daemon ranks in another order.
uint64_t relayRank(const InstanceName &self, const MemberEntry &relay);

/// Chooses the daemon through which requests reach endpoints that this daemon does not reach itself.
///
/// Each daemon uses only a few relays, so that their connections are reused, and each one other relays than
/// its neighbours. Relays in other failure domains go first: those in its own may be cut off with it.
class RelayChoice
{
public:
    RelayChoice(InstanceName self, FailureDomainName ownDomain, uint64_t seed)
        : self_(std::move(self)), ownDomain_(std::move(ownDomain)), random_(seed)
    { }

    /// Returns nothing if there is none. `tried` ones are chosen only if there are no others.
    std::optional<Address> choose(const ServiceName &service,
                                  const std::vector<const MemberEntry *> &candidates,
                                  const std::set<Address> &tried, TimeMs now);
    bool isAvailable(const ServiceName &service, const std::vector<const MemberEntry *> &candidates,
                     TimeMs now) const;
    /// Records that a relay was not reached or did not accept a request.
    void failed(const Address &relay, TimeMs now);
    /// Records that a relay did not reach an endpoint of the service. After some in a row it is avoided.
    void unreached(const ServiceName &service, const Address &relay, TimeMs now);
    void reached(const ServiceName &service, const Address &relay);

private:
    struct Unreached {
        TimeMs at;
        uint32_t inRow = 0;
    };
    void removeOld(TimeMs now);
    bool isAvoided(const ServiceName &service, const Address &relay, TimeMs now) const;

    InstanceName self_;
    FailureDomainName ownDomain_;
    Random random_;
    std::map<Address, TimeMs> failedAt_;
    std::map<std::pair<ServiceName, Address>, Unreached> unreached_;
};

} // namespace cranberry
