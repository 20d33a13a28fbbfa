#include "gateway/endpoints/brittleness.h"
#include "gateway/peers/peerdatagrams.h"
#include "partitionload.h"

using namespace cranberry;

namespace {

/// Load on plain endpoints that are brittle from the start, relative to what their slots can do.
PartitionPlan brittlePlan(size_t daemons, size_t endpoints, double load)
{
    constexpr double SlotsPerSecond = 6 / 0.030;
    PartitionPlan plan;
    plan.daemons = daemons;
    plan.engines = 1;
    plan.plainEndpoints = endpoints;
    plan.perSecond = load * SlotsPerSecond * static_cast<double>(endpoints) / static_cast<double>(daemons);
    plan.onlyPlain = true;
    plan.length = {10000};
    plan.reportInterval = {daemons > 50 ? 700 : 200};
    plan.brittle = BrittleEndpoints{};
    return plan;
}

uint64_t sumOfShares(size_t daemonCount, size_t endpointCount, uint32_t slots)
{
    std::vector<Incarnation> daemons;
    for (size_t i = 0; i < daemonCount; ++i)
        daemons.push_back({i + 1});
    std::map<std::string, uint32_t> slotsOf;
    for (size_t i = 0; i < endpointCount; ++i)
        slotsOf["endpoint-" + std::to_string(i)] = slots;
    uint64_t sum = 0;
    for (const Incarnation self : daemons) {
        const RoomShares shares = RoomShares::of(daemons, self, slotsOf);
        uint64_t own = 0;
        for (const std::pair<const std::string, uint32_t> &each : slotsOf)
            own += shares.at(each.first);
        CHECK(own >= 1);
        sum += own;
    }
    return sum;
}

} // namespace

// Guards against brittle endpoints that crash one after the other because daemons fill the same free slots.
TEST_CASE("brittle endpoints are kept from rejecting so much that they crash")
{
    struct Fleet {
        size_t daemons;
        size_t endpoints;
    };
    for (const Fleet fleet : {Fleet{2, 2}, Fleet{6, 4}, Fleet{84, 20}}) {
        for (const double load : {0.75, 1.25, 2.5}) {
            CAPTURE(fleet.daemons);
            CAPTURE(load);
            const PartitionResult result = playPartition(brittlePlan(fleet.daemons, fleet.endpoints, load));
            INFO(result.text());
            CHECK(result.falls == 0);
            CHECK(result.mostRejections <= 5);
            CHECK(result.whileBrittle.share() >= 0.7 * std::min(1 / load, 1.0));
        }
    }
}

// Guards against shares that add up to more than the slots, or leave a daemon without any.
TEST_CASE("the shares of all daemons add up to the slots of a brittle service")
{
    CHECK(sumOfShares(2, 2, 6) == 12);
    CHECK(sumOfShares(6, 4, 6) == 24);
    CHECK(sumOfShares(84, 20, 6) == 120);
    CHECK(sumOfShares(985, 300, 6) == 1800);
    CHECK(sumOfShares(985, 100, 6) == 985); // Fewer slots than daemons: each has one, some the same.
}

TEST_CASE("brittleness ends after a few answers that state none, sent after the last that does")
{
    Brittleness brittleness;
    CHECK(brittleness.updateFromAnswer(8, {900}, {1000}));
    CHECK_FALSE(brittleness.updateFromAnswer(8, {1000}, {1100}));
    for (int i = 0; i < 5; ++i)
        CHECK_FALSE(brittleness.updateFromAnswer({}, {1050}, {1200}));
    CHECK_FALSE(brittleness.updateFromAnswer({}, {1200}, {1300}));
    CHECK_FALSE(brittleness.updateFromAnswer({}, {1210}, {1310}));
    CHECK(brittleness.updateFromAnswer({}, {1220}, {1320}));
    CHECK_FALSE(brittleness.isBrittle());
}

// Guards against daemons that go on rejecting together, each a little.
TEST_CASE("repeated rejections space out until those of all daemons stay below the maximum")
{
    Brittleness brittleness;
    TimeMs now{1000};
    for (int i = 0; i < 12; ++i) {
        brittleness.rejected(84, 10, now);
        while (brittleness.isHeld(now))
            now = now + DurationMs{1};
    }
    const TimeMs before = now;
    brittleness.rejected(84, 10, now);
    while (brittleness.isHeld(now))
        now = now + DurationMs{1};
    CHECK(84.0 * 1000 / static_cast<double>((now - before).count) <= 5.0);
}

TEST_CASE("reports name unreached and brittle services")
{
    PeerReport report;
    report.unreached = {ServiceName{"model"}, ServiceName{"plain"}};
    report.brittle = {{ServiceName{"plain"}, 12}};
    const std::optional<PeerDatagram> read = decodeDatagram(encodeDatagram(report));
    REQUIRE(read);
    CHECK(std::get<PeerReport>(*read).unreached == report.unreached);
    CHECK(std::get<PeerReport>(*read).brittle == report.brittle);
}
