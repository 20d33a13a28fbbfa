#include "gateway/endpoints/endpointpaths.h"
#include "gateway/peers/relaychoice.h"
#include "gateway/peers/relaycontacts.h"

#include <doctest/doctest.h>

using namespace cranberry;

namespace {

using State = EndpointPaths::State;
using Change = EndpointPaths::Change;

const ServiceName service{"model"};
const EndpointId first{"e1"};
const EndpointId second{"e2"};
const EndpointId third{"e3"};
constexpr size_t Listed = 5;

/// Two endpoints and a probe of a third have failed.
EndpointPaths partitioned(TimeMs now)
{
    EndpointPaths paths(1);
    paths.connectFailed(service, first, ConnectFailure::Refused, Listed, now);
    paths.connectFailed(service, second, ConnectFailure::Refused, Listed, now);
    paths.probeFailed(service, third, ConnectFailure::Refused, Listed, now);
    return paths;
}

MemberEntry member(uint64_t number, const std::string &domain)
{
    MemberEntry out;
    out.incarnation.value = number;
    out.failureDomain.value = domain;
    out.peerAddress = {"10.0.0.2", static_cast<uint16_t>(number)};
    return out;
}

} // namespace

TEST_CASE("two endpoints that fail raise a doubt, and the probe of another one decides")
{
    EndpointPaths paths(1);
    CHECK(paths.connectFailed(service, first, ConnectFailure::Refused, Listed, {1000}) == Change::None);
    CHECK(paths.connectFailed(service, first, ConnectFailure::Refused, Listed, {1010}) == Change::None);
    CHECK(paths.connectFailed(service, second, ConnectFailure::Refused, Listed, {1020}) == Change::Suspected);
    CHECK(paths.takeDueProbes({1020}) == std::vector<ServiceName>{service});
    CHECK(paths.unreached().empty());
    SUBCASE("it fails")
    {
        CHECK(paths.probeFailed(service, third, ConnectFailure::Refused, Listed, {1030})
              == Change::Partitioned);
        CHECK(paths.unreached() == std::vector<ServiceName>{service});
        CHECK(paths.since(service) == TimeMs{1000});
        CHECK_FALSE(paths.isHanging(service));
    }
    SUBCASE("it connects")
    {
        CHECK(paths.connected(service, third, {1030}) == Change::Cleared);
        CHECK(paths.state(service) == State::Sound);
    }
}

TEST_CASE("a failure of long ago and one of now raise no doubt")
{
    EndpointPaths paths(1);
    paths.connectFailed(service, first, ConnectFailure::TimedOut, Listed, {1000});
    CHECK(paths.connectFailed(service, second, ConnectFailure::TimedOut, Listed, {6000}) == Change::None);
}

// Guards against a daemon that returns to its own connections after a single one that passed by chance.
TEST_CASE("two new connections in a row end a partition")
{
    EndpointPaths paths = partitioned({1000});
    CHECK(paths.connected(service, first, {2000}) == Change::None);
    paths.probeFailed(service, second, ConnectFailure::TimedOut, Listed, {2100});
    CHECK(paths.connected(service, first, {2200}) == Change::None);
    CHECK(paths.connected(service, second, {2300}) == Change::Regained);
    CHECK(paths.state(service) == State::Sound);
}

TEST_CASE("a silent service that is not reached is in doubt at once, and hangs")
{
    EndpointPaths paths(1);
    CHECK(paths.silentAndUnreached(service, first, {1000}) == Change::Suspected);
    CHECK(paths.probeFailed(service, second, ConnectFailure::TimedOut, Listed, {1400})
          == Change::Partitioned);
    CHECK(paths.isHanging(service));
}

// Guards against relays that are cut off together with the daemon that asks.
TEST_CASE("relays in other failure domains go first, failed and tried ones last")
{
    const std::vector<MemberEntry> members{member(1, "north"), member(2, "south"), member(3, "south")};
    const std::vector<const MemberEntry *> candidates{&members[0], &members[1], &members[2]};
    RelayChoice relays({"entry-9"}, {"north"}, 1);
    CHECK_FALSE(relays.choose(service, {}, {}, {1000}));
    CHECK(relays.choose(service, candidates, {members[0].peerAddress, members[1].peerAddress}, {1000})
          == members[2].peerAddress);
    CHECK(relays.choose(service, {&members[0], &members[2]}, {members[2].peerAddress}, {1000})
          == members[0].peerAddress);
    for (int i = 0; i < 30; ++i)
        CHECK(relays.choose(service, candidates, {}, {1000}) != members[0].peerAddress);
    relays.failed(members[1].peerAddress, {1000});
    relays.failed(members[2].peerAddress, {1000});
    CHECK(relays.choose(service, candidates, {}, {1500}) == members[0].peerAddress);
    CHECK(relays.isAvailable(service, {&members[1]}, {2000}));
    CHECK_FALSE(relays.isAvailable(service, {&members[1]}, {1999}));
}

// Guards against requests that go from relay to relay of a service that no daemon reaches.
TEST_CASE("a relay that reaches no endpoint of a service is avoided for that service")
{
    const std::vector<MemberEntry> members{member(1, "north")};
    const std::vector<const MemberEntry *> candidates{&members[0]};
    const Address relay = members[0].peerAddress;
    RelayChoice relays({"entry-9"}, {"south"}, 1);
    relays.unreached(service, relay, {1000});
    relays.reached(service, relay);
    relays.unreached(service, relay, {1100});
    CHECK(relays.isAvailable(service, candidates, {1100}));
    relays.unreached(service, relay, {1200});
    CHECK_FALSE(relays.isAvailable(service, candidates, {1200}));
    CHECK(relays.isAvailable(ServiceName{"other"}, candidates, {1200}));
    CHECK(relays.isAvailable(service, candidates, {2200}));
}

// Guards against requests that wait for a relay that does nothing any more, and against probes without need.
TEST_CASE("a relay that sends nothing is probed until it is heard again")
{
    const Address relay{"10.0.0.2", 1};
    RelayContacts contacts;
    TimeMs now{10'000};
    std::map<Address, TimeMs> sent = {{relay, now}};
    const auto probesUntil = [&](TimeMs until) {
        size_t probes = 0;
        for (; now < until; now = now + DurationMs{25})
            probes += contacts.takeDueProbes(sent, now).size();
        return probes;
    };
    CHECK(probesUntil({10'400}) == 0);
    CHECK(probesUntil({10'500}) == 1);
    contacts.heard(relay, now);
    CHECK_FALSE(contacts.isSilent(relay));
    CHECK(probesUntil({10'850}) == 0);
    CHECK(probesUntil({11'300}) == 1);
    CHECK(contacts.probeFailed(relay, now));
    CHECK(contacts.isSilent(relay));
    sent.clear();
    CHECK(probesUntil({14'000}) >= 3);
    contacts.heard(relay, now);
    CHECK_FALSE(contacts.isSilent(relay));
    CHECK(probesUntil({20'000}) == 0);
}

// Guards against leaving a relay that is at work, since its answer to a probe was late.
TEST_CASE("a relay that was heard since its probe was sent is not silent")
{
    const Address relay{"10.0.0.2", 1};
    RelayContacts contacts;
    REQUIRE(contacts.takeDueProbes({{relay, {10'000}}}, {10'400}).size() == 1);
    contacts.heard(relay, {10'500});
    CHECK_FALSE(contacts.probeFailed(relay, {10'750}));
    CHECK_FALSE(contacts.isSilent(relay));
}
