// The views that daemons have of each other: 30 to 890 daemons, with kills, lost datagrams and cut
// connections, in virtual time.

#include "fleetsimulation.h"

using namespace cranberry;

TEST_CASE("a whole fleet starts before a store with a limited link and limited rates of calls")
{
    // All daemons start at once. When each of them read all members and all endpoints itself, the store's
    // link was busy with lists that nobody waited for any more: most daemons were not ready half a minute
    // later.
    for (const size_t count : {300U, 985U}) {
        FleetSimulation world(count, count / 16, 3 * count, limitedStore());
        DurationMs after;
        while (world.countReady() < count && after < DurationMs{24000}) {
            world.advance({250});
            after = after + DurationMs{250};
        }
        MESSAGE(count << " daemons: " << world.countReady() << " ready after " << after.count << " ms, "
                      << world.storeCalls() << " calls, " << world.storeMegabytes() << " MB");
        CHECK(world.countReady() == count);
        CHECK(after.count <= 10000);
    }
}

TEST_CASE("a whole fleet serves soon after all its daemons were killed")
{
    // The control key still names the readers, which read the lists first; all others query them. When each
    // daemon read its configuration at once, the readers' lists waited for hundreds of them on the store's
    // link.
    for (const size_t count : {300U, 985U}) {
        FleetSimulation world(count, count / 16, 3 * count, limitedStore());
        world.advance({14000});
        REQUIRE(world.countReady() == count);
        world.killAll();
        world.advance({500});
        world.startAll();
        world.resetTraffic();
        DurationMs after;
        DurationMs first;
        while (world.countReady() < count && after < DurationMs{24000}) {
            world.advance({100});
            after = after + DurationMs{100};
            if (first.count == 0 && world.countReady() > 0)
                first = after;
        }
        MESSAGE(count << " daemons: the first ready after " << first.count << " ms, " << world.countReady()
                      << " after " << after.count << " ms, " << world.storeCalls() << " calls");
        CHECK(world.countReady() == count);
        CHECK(after.count <= 10000);
    }
}

TEST_CASE("a whole fleet that loses all its store readers for good finds new ones")
{
    // All daemons are killed, and the strong instances, which the control key names as readers, don't return.
    // The others know no member, and nobody replies to their queries.
    constexpr size_t Count = 600;
    FleetSimulation world(Count, StrongCount, Count, limitedStore());
    world.advance({14000});
    REQUIRE(world.countReady() == Count);
    world.killAll();
    world.advance({500});
    for (size_t i = StrongCount; i < Count; ++i)
        world.start(i);
    world.advance({18000});
    CHECK(world.countReady() == Count - StrongCount);
    // The readers are lost one by one, while daemons know the members.
    for (size_t i = StrongCount; i < StrongCount + 3; ++i) {
        world.kill(i);
        world.advance({4000});
    }
    world.advance({6000});
    CHECK(world.countReady() == Count - StrongCount - 3);
}

TEST_CASE("the traffic of a daemon does not grow with the number of daemons")
{
    // Eighteen daemons serve, the rest are on standby. When each daemon reported to every other one, a daemon
    // among 295 sent and received 160 reports a second, and its view of the others was up to 3.5 s old.
    for (const size_t count : {30U, 100U, 295U, 890U}) {
        FleetSimulation world(count, StrongCount);
        world.advance({14000});
        world.resetTraffic();
        world.advance({5000});
        size_t serving = 0;
        double maxStandby = 0;
        double maxServing = 0;
        for (size_t i = 0; i < count; ++i) {
            serving += world.serves(i) ? 1 : 0;
            double &most = world.serves(i) ? maxServing : maxStandby;
            most = std::max(most, world.trafficOf(i).bytes / 5);
        }
        MESSAGE(count << " daemons, " << serving << " serve: " << maxStandby
                      << " B/s per standby daemon at most, " << maxServing << " B/s at most; "
                      << world.storeReads() / 5 << " store reads/s");
        CHECK(serving == StrongCount);
        CHECK(maxStandby < 2500);
        CHECK(world.storeReads() / 5 < 40);
        for (size_t i = 0; i < count; ++i)
            REQUIRE(world.entriesOf(i).size() == StrongCount);
    }
}

TEST_CASE("a dead daemon is no longer advertised to callers after 2.5 s, for any number of daemons")
{
    // Callers request addresses from any daemon, cache the reply for seconds, and lose a second for each dead
    // address they try. When reports went to all daemons in turn, 295 daemons advertised a dead one for 21 s.
    for (const size_t count : {30U, 100U, 295U}) {
        FleetSimulation world(count, StrongCount);
        world.advance({8000});
        REQUIRE(world.countAdvertisingDown() == 0);
        world.kill(3);
        world.advance({2500});
        CHECK(world.countAdvertisingDown() == 0);
    }
}

TEST_CASE(
    "after all daemons were killed, callers are served as soon as the restarted ones have read the store")
{
    // All processes exit at once and restart; the store still lists their earlier incarnations. Callers
    // request addresses from any of them: each must return daemons that serve, though it has received no
    // report yet.
    for (const size_t count : {10U, 100U, 295U}) {
        FleetSimulation world(count, std::min<size_t>(count, StrongCount));
        world.advance({8000});
        for (size_t i = 0; i < count; ++i)
            world.start(i);
        world.advance({550});
        for (size_t i = 0; i < count; ++i) {
            REQUIRE(world.isReady(i));
            REQUIRE(world.entriesOf(i).size() >= std::min(count, MinEntries));
        }
    }
}

TEST_CASE("when all serving daemons lose power, standby daemons replace them")
{
    // Eighteen strong instances are gone for good. The standby daemons get no reply from them, read the
    // store, and see the dead daemons until their leases expire; then some of them start to serve.
    FleetSimulation world(100, StrongCount);
    world.advance({8000});
    for (size_t i = 0; i < StrongCount; ++i)
        world.kill(i);
    world.advance({6000});
    CHECK(world.countAdvertisingDown() == 0);
    world.advance({4000});
    size_t serving = 0;
    for (size_t i = StrongCount; i < world.count(); ++i)
        serving += world.serves(i) ? 1 : 0;
    CHECK(serving >= MinEntries);
    CHECK(serving <= 40);
    // The instances restart: callers are sent to them again.
    for (size_t i = 0; i < StrongCount; ++i)
        world.start(i);
    world.advance({2500});
    size_t named = 0;
    for (const Address &each : world.entriesOf(50))
        named += FleetSimulation::indexOf(each) < StrongCount ? 1 : 0;
    CHECK(named == StrongCount);
}

TEST_CASE("frequent changes of engines are learned without additional reads of the store")
{
    // A wave of reclaims: 600 engines, twelve of them replaced every half second, one by one. Daemons that
    // were killed meanwhile restart and read the list themselves, so the reader that they query does not know
    // their version. When that made them read again, they did so at each reply: 281 reads a second in one
    // soak run.
    FleetSimulation world(100, StrongCount);
    size_t first = 0;
    size_t next = 0;
    while (next < 600)
        world.startEngine(next++);
    world.advance({8000});
    world.lossPercent = 5;
    world.resetTraffic();
    double most = 0;
    for (int round = 0; round < 240; ++round) {
        world.stopEngine(first++);
        world.startEngine(next++);
        world.advance({50});
        if (round == 40) {
            for (size_t i = StrongCount; i < world.count(); ++i)
                world.start(i);
        }
        if (round == 80)
            world.resetTraffic();
    }
    for (size_t i = 0; i < world.count(); ++i)
        most = std::max(most, world.serves(i) ? 0 : world.trafficOf(i).bytes / 8);
    MESSAGE("store reads/s: " << world.storeReads() / 8 << ", " << most << " B/s per standby daemon at most");
    CHECK(world.storeReads() / 8 < 30);
    CHECK(most < 25000);
    world.advance({2000});
    for (size_t i = 0; i < world.count(); ++i)
        REQUIRE(world.enginesKnownTo(i) == 600);
}

TEST_CASE("a store that is slow while all daemons start is not read more often for that")
{
    // All daemons lose power and restart; sending a large configuration occupies the store's link for 3 ms
    // per read. When a daemon started another read while one was open, the store was busy with replies that
    // nobody waited for any more: views stayed seconds old until the end, and requests went to engines that
    // had left.
    FleetSimulation world(295, StrongCount);
    world.limitStore(300);
    world.advance({14000});
    world.killAll();
    world.advance({1500});
    world.startAll();
    world.advance({4000});
    CHECK(world.countReady() == world.count());
    world.resetTraffic();
    for (int i = 0; i < 20; ++i) {
        world.advance({250});
        REQUIRE(world.countReady() == world.count());
    }
    CHECK(world.storeReads() / 5 < 200); // The store sends 300.
    world.resetTraffic();
    world.advance({5000});
    CHECK(world.storeReads() / 5 < 20);
    // The store rejects a third of the daemons for nine seconds.
    world.rejectClients(3);
    world.advance({9000});
    world.rejectClients(0);
    world.advance({4000});
    CHECK(world.countReady() == world.count());
    world.resetTraffic();
    world.advance({5000});
    CHECK(world.storeReads() / 5 < 40);
}

TEST_CASE("after an outage of the store, a new configuration is soon in force everywhere")
{
    // The store is down for ten seconds, and the daemons' entries lapse. For a moment a store reader does not
    // find itself in the list, and uses the longer read interval of the other daemons while the store is
    // slow. If it kept that interval, a key removed just then would be accepted for seconds more.
    for (const size_t count : {3U, 8U, 30U, 100U}) {
        for (uint64_t version = 2; version < 8; ++version) {
            CAPTURE(count);
            FleetSimulation world(count, std::min<size_t>(count, StrongCount));
            world.advance({6000});
            world.setStoreDown(true);
            world.advance({static_cast<int64_t>(8000 + 300 * version)});
            world.setStoreDown(false);
            world.advance({2000});
            world.configure(version);
            world.advance({2000});
            for (size_t i = 0; i < count; ++i)
                REQUIRE(world.versionAt(i) == version);
        }
    }
}

TEST_CASE("lost datagrams do not remove serving daemons from any view")
{
    FleetSimulation world(100, StrongCount);
    world.advance({8000});
    world.lossPercent = 15;
    world.resetTraffic();
    for (int i = 0; i < 20; ++i) {
        world.advance({500});
        for (size_t each = 0; each < world.count(); ++each)
            REQUIRE(world.entriesOf(each).size() >= StrongCount - 1);
    }
    CHECK(world.storeReads() / 10 < 60);
}

TEST_CASE("a request that crashes engines is known to all daemons within seconds, for any number of daemons")
{
    // Callers use old addresses and connect to any daemon. Only one daemon knows that a request crashed three
    // engines, since its notices to the others were lost. They learn it from the store, and standby daemons
    // from a store reader. Within three seconds no daemon forwards the request.
    constexpr RequestDigest Request{7};
    for (const size_t count : {8U, 100U, 295U, 890U}) {
        FleetSimulation world(count, StrongCount);
        world.advance({14000});
        world.resetTraffic();
        const size_t knows = world.firstServing();
        world.crashEngines(knows, Request);
        DurationMs after;
        while (world.countQuarantining(Request) < count && after.count < 6000) {
            world.advance({100});
            after = after + DurationMs{100};
        }
        double most = 0;
        for (size_t i = 0; i < count; ++i)
            most = std::max(most, world.serves(i) ? 0 : world.trafficOf(i).bytes);
        MESSAGE(count << " daemons: all know after " << after.count << " ms; " << most
                      << " B per standby daemon at most, " << world.storeReads() << " store reads");
        CHECK(after.count <= 3000);
    }
}

TEST_CASE("a request that crashes engines is still known after all daemons were killed")
{
    // The callers that send it return to daemons that have just started. These must have read it from the
    // store before they accept a request.
    constexpr RequestDigest Request{7};
    FleetSimulation world(30, StrongCount);
    world.advance({14000});
    world.crashEngines(world.firstServing(), Request);
    world.advance({3000});
    world.killAll();
    world.advance({500});
    world.startAll();
    world.advance({1000});
    CHECK(world.countReady() == world.count());
    CHECK(world.countQuarantining(Request) == world.count());
}

TEST_CASE("a quarantine decided while the store is down is stored soon after the outage")
{
    // The daemon that knows can't write. Its notices reach the serving daemons; standby daemons get no
    // replies to their queries while the views of the readers are old. When the store is back, all learn of
    // it.
    constexpr RequestDigest Request{7};
    FleetSimulation world(100, StrongCount);
    world.advance({14000});
    world.setStoreDown(true);
    world.advance({4000});
    world.crashEngines(world.firstServing(), Request);
    world.advance({2000});
    CHECK(world.countQuarantining(Request) >= 1);
    world.setStoreDown(false);
    world.advance({4000});
    CHECK(world.countQuarantining(Request) == 100);
}

TEST_CASE("quarantines of many requests at once are all stored, whichever daemon writes first")
{
    // Several daemons quarantine different requests at the same moment. The write of one must not undo that
    // of another.
    FleetSimulation world(30, StrongCount);
    world.advance({14000});
    for (uint64_t i = 0; i < 12; ++i)
        world.crashEngines(static_cast<size_t>(i), {100 + i});
    world.advance({6000});
    for (uint64_t i = 0; i < 12; ++i)
        CHECK(world.countQuarantining({100 + i}) == 30);
}

TEST_CASE("a quarantine decided while another one is being written is stored as well")
{
    // The store takes 0.3 s for each call. A quarantine decided between the sending of a write and its reply
    // was not part of that write: if it were taken for written, it would be lost with the daemon. Other
    // daemons would write it; this test has only one daemon.
    FleetSimulation world(1, 1);
    world.advance({14000});
    const size_t knows = world.firstServing();
    world.slowStore({300});
    for (uint64_t i = 0; i < 24; ++i) {
        const RequestDigest second{200 + i};
        world.crashEngines(knows, {100 + i});
        world.advance({static_cast<int64_t>(50 * (i + 1))});
        world.crashEngines(knows, second);
        world.advance({4000});
        CHECK(world.stored(QuarantineKey).find(toText(second)) != std::string::npos);
    }
}

TEST_CASE("a full list makes room for the newest quarantine")
{
    // More requests are in quarantine than the store's list holds. The newest must not wait until one
    // expires: a daemon that starts would not know of it.
    FleetSimulation world(8, StrongCount);
    world.advance({14000});
    const size_t knows = world.firstServing();
    for (uint64_t i = 0; i < 70; ++i) {
        world.crashEngines(knows, {100 + i});
        world.advance({25});
    }
    world.advance({3000});
    world.crashEngines(knows, {7});
    world.advance({3000});
    world.killAll();
    world.startAll();
    world.advance({2000});
    CHECK(world.countQuarantining({7}) == world.count());
}

TEST_CASE("a daemon that starts later continues the crash counts of its peers")
{
    // Two engines crashed under a request, too few for a quarantine. A daemon that was killed restarts, and a
    // third engine crashes there: it must know of the first two.
    constexpr RequestDigest Request{7};
    FleetSimulation world(30, StrongCount);
    world.advance({14000});
    const size_t knows = world.firstServing();
    world.crashEngines(knows, Request, 2);
    const size_t again = knows + 1;
    REQUIRE(world.serves(again));
    world.kill(again);
    world.advance({1000});
    world.start(again);
    world.advance({4000});
    REQUIRE(world.serves(again));
    CHECK(world.countQuarantining(Request) == 0);
    world.crashEngines(again, Request, 1, 2);
    CHECK(world.countQuarantining(Request) == 1);
}

TEST_CASE(
    "after the store was restored from an older copy all daemons write their entries again, but not together")
{
    // The store has lost the entries and leases of all daemons, and all notice within a second. If all wrote
    // at once, the store would reject most of the writes, and the retries would collide again.
    for (const size_t count : {8, 100, 295, 890}) {
        CAPTURE(count);
        FleetSimulation world(count, std::min<size_t>(count, 20));
        world.saveStore();
        world.advance({8000});
        const size_t before = world.members();
        world.restoreStoreCopy();
        world.resetTraffic();
        world.advance({6000});
        CHECK(world.members() >= before);
        CHECK(world.countReady() == count);
        CHECK(world.maxWritesPerSecond() <= 600);
    }
}

TEST_CASE("quarantines are stored again after the store was restored from an older copy")
{
    // The quarantine was written after the copy was made. When all daemons are killed, the restarted ones can
    // learn it from the store only.
    FleetSimulation world(30, 8);
    world.advance({6000});
    world.saveStore();
    const RequestDigest request{42};
    world.crashEngines(0, request);
    world.advance({4000});
    REQUIRE_FALSE(world.stored("quarantine").empty());
    world.restoreStoreCopy();
    REQUIRE(world.stored("quarantine").empty());
    world.advance({4000});
    CHECK_FALSE(world.stored("quarantine").empty());
    world.killAll();
    world.startAll();
    world.advance({2000});
    CHECK(world.countQuarantining(request) == world.count());
}
