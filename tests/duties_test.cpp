#include "fakestore.h"
#include "gateway/duties/usagereporter.h"
#include "gateway/peers/memberentry.h"
#include "gateway/store/storesync.h"
#include "gatewayfixture.h"

#include <fmt/format.h>
#include <memory>

using namespace cranberry;

namespace {

constexpr DurationMs Step{20};
constexpr DurationMs LeaseTime{3000};
constexpr DurationMs ReportInterval{200}; ///< Between two full reports.

/// A call that the receiver of leader calls accepted.
struct AcceptedCall {
    size_t daemon = 0;
    uint64_t token = 0;
    TimeMs at;
};

/// Simulates several daemons at one store, in virtual time. A frozen daemon does not run; replies to it wait
/// in its inbox.
class LeaderSimulation
{
public:
    explicit LeaderSimulation(uint64_t seed, size_t daemons = 3) : store(seed), random(seed)
    {
        configuration = std::make_shared<ServingConfiguration>();
        configuration->version = 1;
        ServedOrganisation organisation;
        organisation.name.value = "a";
        configuration->organisations = {organisation};
        configuration->index();
        store.putConfiguration(configuration);
        store.settle();
        for (size_t i = 0; i < daemons; ++i)
            start(i);
    }

    void start(size_t i)
    {
        const std::string name = fmt::format("entry-{}", i);
        StoreSyncSettings settings;
        settings.self = {{name}, {random.next() >> 1U}, {"north"}, {"10.0.0.1", 80}, {"10.0.0.1", 90}};
        settings.self.serving = true;
        settings.leaseTime = LeaseTime;
        settings.seed = random.next();
        if (daemons_.size() <= i)
            daemons_.resize(i + 1);
        daemons_[i] = std::make_unique<SimulatedDaemon>(settings, log);
    }

    void advance(DurationMs duration)
    {
        const TimeMs until = now + duration;
        while (now < until) {
            now = now + Step;
            for (size_t i = 0; i < daemons_.size(); ++i)
                runDaemon(i);
            for (std::pair<size_t, StoreReply> &reply : store.replies(now))
                daemons_[reply.first]->inbox.push_back(std::move(reply.second));
            check();
        }
    }

    std::optional<size_t> leader() const
    {
        for (size_t i = 0; i < daemons_.size(); ++i) {
            if (daemons_[i]->sync.leadership(now).held)
                return i;
        }
        return std::nullopt;
    }

    void stop(size_t i) { daemons_[i]->sync.startLeaving(now); }
    void freeze(size_t i, DurationMs duration) { daemons_[i]->frozenUntil = now + duration; }

    FakeStore store;
    Random random;
    RecordingLog log;
    std::shared_ptr<ServingConfiguration> configuration;
    TimeMs now{1'000'000};
    std::vector<AcceptedCall> accepted;
    std::map<int64_t, std::set<std::string>> reports; ///< Distinct contents sent for each window.
    uint64_t loseCallReplyPercent = 0;

private:
    struct SimulatedDaemon {
        SimulatedDaemon(const StoreSyncSettings &settings, DecisionLog &log)
            : sync(settings, log), reporter({10000}, log), usage(settings.self.incarnation, {5000})
        { }
        StoreSync sync;
        UsageReporter reporter;
        UsageLedger usage;
        std::vector<StoreReply> inbox;
        std::map<uint64_t, bool> reporterStoreCalls;
        TimeMs frozenUntil;
    };

    void runDaemon(size_t i)
    {
        SimulatedDaemon &daemon = *daemons_[i];
        if (now < daemon.frozenUntil)
            return;
        for (const StoreReply &reply : std::exchange(daemon.inbox, {})) {
            // The usage reporter assigns its own call ids; a high bit tells them from those of the store
            // sync.
            if ((reply.id & ReporterIdBit) != 0) {
                StoreReply own = reply;
                own.id &= ~ReporterIdBit;
                daemon.sync.checkEra(own, now);
                daemon.reporter.onStoreReply(own, now);
            } else {
                daemon.sync.onReply(reply, now);
            }
        }
        daemon.sync.tick(now);
        daemon.sync.takeUpdates();
        if (random.below(10) == 0)
            daemon.usage.count({"a"}, now);
        const Leadership leadership = daemon.sync.leadership(now);
        daemon.reporter.tick(leadership, daemon.usage, ReportInterval, configuration, now);
        daemon.sync.setRecordsComplete(daemon.reporter.recordsComplete());
        for (const StoreCall &call : daemon.sync.takeCalls())
            store.submit(i, call, now);
        for (StoreCall call : daemon.reporter.takeStoreCalls()) {
            call.id |= ReporterIdBit;
            store.submit(i, call, now);
        }
        for (const LeaderCall &call : daemon.reporter.takeLeaderCalls()) {
            accepted.push_back({i, call.fencingToken, now});
            reports[call.usage->window].insert(fmt::format("{}", call.usage->counts.begin()->second));
            if (random.below(100) >= loseCallReplyPercent)
                daemon.reporter.onLeaderReply(call.id, LeaderCallOutcome::Done, now);
        }
    }

    // Checks at every step that there is at most one leader.
    void check()
    {
        size_t leaders = 0;
        for (const std::unique_ptr<SimulatedDaemon> &daemon : daemons_)
            leaders += now >= daemon->frozenUntil && daemon->sync.leadership(now).held ? 1 : 0;
        REQUIRE(leaders <= 1);
    }

    static constexpr uint64_t ReporterIdBit = uint64_t{1} << 40U;
    std::vector<std::unique_ptr<SimulatedDaemon>> daemons_;
};

// Checks that tokens never decrease, that no two daemons share one, and that no daemon acts again within a
// lease's time after its previous call if another daemon acted in between.
void checkAccepted(const std::vector<AcceptedCall> &accepted)
{
    std::map<uint64_t, size_t> daemonOfToken;
    std::map<size_t, TimeMs> lastAct;
    for (size_t i = 0; i < accepted.size(); ++i) {
        const AcceptedCall &call = accepted[i];
        REQUIRE((i == 0 || call.token >= accepted[i - 1].token));
        REQUIRE(daemonOfToken.try_emplace(call.token, call.daemon).first->second == call.daemon);
        if (i > 0 && accepted[i - 1].daemon != call.daemon && lastAct.contains(call.daemon))
            REQUIRE(call.at - lastAct.at(call.daemon) >= LeaseTime);
        lastAct[call.daemon] = call.at;
    }
}

void checkReports(const std::map<int64_t, std::set<std::string>> &reports)
{
    for (const std::pair<const int64_t, std::set<std::string>> &report : reports) {
        CAPTURE(report.first);
        REQUIRE(report.second.size() == 1);
    }
}

} // namespace

TEST_CASE("one daemon is the leader, and another one soon after the first is killed")
{
    // The leader is killed and restarts only after its lease has expired.
    LeaderSimulation world(1);
    world.advance({6000});
    const std::optional<size_t> first = world.leader();
    REQUIRE(first);
    world.freeze(*first, {5000});
    world.advance({5000});
    world.start(*first);
    world.advance({1000});
    REQUIRE(world.leader());
    CHECK(*world.leader() != *first);
}

TEST_CASE("a leader that restarts resumes its leadership before its old lease expires")
{
    // All daemons are killed at once and restart a second later. The leader's key remains until its lease
    // expires. Nobody else can have led meanwhile, so the leader's instance resumes at once, under a higher
    // token.
    LeaderSimulation world(7);
    world.advance({6000});
    const std::optional<size_t> first = world.leader();
    REQUIRE(first);
    const size_t acted = world.accepted.size();
    REQUIRE(acted > 0);
    const uint64_t before = world.accepted.back().token;
    for (size_t i = 0; i < 3; ++i)
        world.start(i);
    world.advance({500});
    REQUIRE(world.leader());
    CHECK(*world.leader() == *first);
    world.advance({8000});
    REQUIRE(world.accepted.size() > acted);
    CHECK(world.accepted[acted].token > before);
    checkAccepted(world.accepted);
}

TEST_CASE("a leader that was suspended does not act on its old lease")
{
    // The leader's instance is suspended for ten seconds; its lease expires and another daemon takes over.
    // When it resumes, it has received no notice of that. By its own clock, which includes the suspension,
    // its lease is over.
    LeaderSimulation world(2);
    world.advance({6000});
    const std::optional<size_t> first = world.leader();
    REQUIRE(first);
    world.freeze(*first, {10000});
    world.advance({9980});
    REQUIRE(world.leader());
    CHECK(*world.leader() != *first);
    world.advance({2000});
    CHECK(*world.leader() != *first);
    checkAccepted(world.accepted);
}

TEST_CASE("a leader cut off from the store stops before its lease can expire")
{
    LeaderSimulation world(3);
    world.advance({6000});
    const std::optional<size_t> first = world.leader();
    REQUIRE(first);
    world.store.refusedClients = {*first};
    world.advance({2400});
    CHECK(world.leader() != first);
    world.advance({5000});
    CHECK(world.leader());
    checkAccepted(world.accepted);
}

TEST_CASE("a leader whose calls reach the store, and no reply it, keeps its key, and nobody leads")
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        LeaderSimulation world(seed);
        world.advance({6000});
        const std::optional<size_t> first = world.leader();
        REQUIRE(first);
        world.store.deafClients = {*first};
        world.advance(LeaseTime * 2 + DurationMs{1500});
        CHECK(world.leader());
        CHECK(world.leader() != first);
        checkAccepted(world.accepted);
    }
}

TEST_CASE("nobody leads while all daemons are stopped in turn and have not exited yet")
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        LeaderSimulation world(seed);
        world.advance({12000});
        for (size_t i = 0; i < 3; ++i) {
            world.stop(i);
            world.advance({800});
        }
        DurationMs withoutLeader{0};
        for (size_t i = 0; i < 3; ++i) {
            for (size_t step = 0; step < 40; ++step) {
                world.advance(Step);
                withoutLeader = world.leader() ? withoutLeader : withoutLeader + Step;
            }
        }
        CHECK(withoutLeader <= DurationMs{1000});
        checkAccepted(world.accepted);
    }
}

TEST_CASE("a leader that is stopped among others stays leader longer than until they can win")
{
    LeaderSimulation world(5);
    world.advance({12000});
    const std::optional<size_t> first = world.leader();
    REQUIRE(first);
    world.stop(*first);
    world.advance({2000});
    REQUIRE(world.leader());
    CHECK(world.leader() != first);
    checkAccepted(world.accepted);
}

TEST_CASE(
    "an outage of the store ends the leadership, and a leader is back after it, whether leases lapse or not")
{
    for (const bool lapse : {false, true}) {
        LeaderSimulation world(4);
        world.advance({6000});
        world.store.faults.down = true;
        world.store.faults.leasesLapseWhileDown = lapse;
        world.advance({5000});
        CHECK_FALSE(world.leader());
        world.store.faults.down = false;
        world.advance({9000});
        CHECK(world.leader());
        checkAccepted(world.accepted);
    }
}

TEST_CASE("a usage report whose reply was lost is sent again with the same counts")
{
    // The receiver took the report, but the reply was lost. Meanwhile more requests were counted for the
    // window. The retry must have the same content, or the receiver gets two different reports for one
    // window.
    LeaderSimulation world(5);
    world.loseCallReplyPercent = 70;
    world.advance({40000});
    CHECK(world.reports.size() >= 4);
    for (const std::pair<const int64_t, std::set<std::string>> &report : world.reports)
        CHECK(report.second.size() == 1);
}

TEST_CASE("a leader that has just started waits for the counts of its peers")
{
    // The leader is killed and resumes at once. A window ended just before; its requests were counted by
    // another daemon, whose report arrives only now. A usage report sent at once would omit them permanently.
    RecordingLog log;
    UsageReporter reporter({10000}, log);
    UsageLedger usage({1}, {5000});
    std::shared_ptr<ServingConfiguration> configuration = std::make_shared<ServingConfiguration>();
    ServedOrganisation organisation;
    organisation.name.value = "a";
    configuration->organisations = {organisation};
    const Leadership leadership{true, 5, {1'000'000}, {}, {}};
    reporter.tick(leadership, usage, ReportInterval, configuration, {102'000});
    CHECK(reporter.takeStoreCalls().empty());
    usage.merge({{{2}, {{19, {{{"a"}, 7}}}}}}, UsageLedger::Source::Report, {102'100});
    reporter.tick(leadership, usage, ReportInterval, configuration, {104'000});
    std::set<std::string> written;
    for (const StoreCall &call : reporter.takeStoreCalls())
        written.insert(call.puts.front().key + call.puts.front().value);
    CHECK(written.contains("usage-19{\"a\":7}"));
}

TEST_CASE("windows that were reported are deleted from the store after a while")
{
    LeaderSimulation world(6);
    world.advance({150000});
    CHECK(world.store.keyCount(StoreSpace::Archive) <= 14);
}

TEST_CASE("the leader continues under a higher token when the store is restored from an older copy")
{
    // The store is restored from a copy made before the leader won. The leader's key and lease are gone, and
    // the revision of its new key is lower than the one it acted under. Without the era in the token, the
    // receiver would take its calls for those of an earlier leader.
    LeaderSimulation world(8);
    world.advance({200});
    world.store.saveCopy();
    world.advance({25800});
    const std::optional<size_t> first = world.leader();
    REQUIRE(first);
    const uint64_t before = world.accepted.back().token;
    const size_t acted = world.accepted.size();
    world.store.comeBackFromCopy();
    world.advance({1500});
    REQUIRE(world.leader());
    CHECK(*world.leader() == *first);
    world.advance({20000});
    REQUIRE(world.accepted.size() > acted);
    CHECK(world.accepted.back().token > before);
    checkAccepted(world.accepted);
    checkReports(world.reports);
}

TEST_CASE("a leader from the restored copy does not lead beside the one that the store lost")
{
    // Daemon A led when the copy was made, was cut off, and B won. The store is restored with A's key. A is
    // killed and restarts at that moment: the key is of its earlier incarnation, and B still acts on its
    // lease.
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        LeaderSimulation world(seed);
        world.advance({6000});
        const std::optional<size_t> first = world.leader();
        REQUIRE(first);
        world.store.saveCopy();
        world.store.refusedClients = {*first};
        world.advance({9000});
        REQUIRE(world.leader());
        REQUIRE(*world.leader() != *first);
        world.store.refusedClients.clear();
        world.store.comeBackFromCopy();
        world.start(*first);
        world.advance({15000});
        CHECK(world.leader());
        checkAccepted(world.accepted);
        checkReports(world.reports);
    }
}

TEST_CASE("a window that was reported is not counted again when the store has lost its record")
{
    // The store is restored from a copy made before the newest window was written, and the leader is killed
    // before it has written its records again. Its successor finds no record of a report that the receiver
    // has taken.
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        LeaderSimulation world(seed);
        world.advance({12000});
        world.store.saveCopy();
        world.advance({6000});
        const std::optional<size_t> first = world.leader();
        REQUIRE(first);
        world.store.comeBackFromCopy();
        world.start(*first);
        world.advance({20000});
        checkAccepted(world.accepted);
        checkReports(world.reports);
        CHECK(world.reports.size() >= 4);
    }
}

TEST_CASE("a store that is restored from older copies repeatedly, among other faults")
{
    // The store loses its last seconds at random moments: while the leader changes, daemons are frozen,
    // killed or rejected, replies are lost, and calls are executed late, perhaps in the next era.
    size_t acts = 0;
    for (uint64_t seed = 1; seed <= 150; ++seed) {
        CAPTURE(seed);
        LeaderSimulation world(seed);
        world.loseCallReplyPercent = 20;
        world.store.saveCopy();
        for (int round = 0; round < 20; ++round) {
            world.store.faults = {};
            world.store.refusedClients.clear();
            const uint64_t fault = world.random.below(10);
            const size_t daemon = world.random.below(3);
            if (fault == 0)
                world.store.faults.down = true;
            if (fault == 1)
                world.store.faults.loseReplyPercent = 40;
            if (fault == 2)
                world.store.faults.latePercent = 40;
            if (fault == 3)
                world.store.refusedClients = {daemon};
            if (fault == 4)
                world.freeze(daemon, {static_cast<int64_t>(500 + world.random.below(8000))});
            if (fault == 5 || fault == 6)
                world.start(daemon);
            if (fault == 7)
                world.store.faults.delay = {static_cast<int64_t>(world.random.below(1500))};
            if (world.random.below(2) == 0)
                world.store.saveCopy();
            world.advance({static_cast<int64_t>(200 + world.random.below(6000))});
            if (world.random.below(3) == 0)
                world.store.comeBackFromCopy();
            if (world.random.below(4) == 0 && world.leader())
                world.start(*world.leader());
            if (world.random.below(3) == 0)
                world.store.saveCopy();
        }
        world.store.faults = {};
        world.store.refusedClients.clear();
        world.advance({20000});
        CHECK(world.leader());
        checkAccepted(world.accepted);
        checkReports(world.reports);
        acts += world.accepted.size();
    }
    CHECK(acts > 1000);
}

TEST_CASE("under random faults there is one leader, tokens grow, and no window has two reports")
{
    // Lost replies, calls executed seconds late, outages with and without lapsing leases, rejected, frozen
    // and killed daemons, in any order and at the same time.
    size_t acts = 0;
    for (uint64_t seed = 1; seed <= 150; ++seed) {
        CAPTURE(seed);
        LeaderSimulation world(seed);
        world.loseCallReplyPercent = 20;
        for (int round = 0; round < 12; ++round) {
            world.store.faults = {};
            world.store.refusedClients.clear();
            const uint64_t fault = world.random.below(8);
            const size_t daemon = world.random.below(3);
            if (fault == 0)
                world.store.faults.down = true;
            if (fault == 1)
                world.store.faults.down = world.store.faults.leasesLapseWhileDown = true;
            if (fault == 2)
                world.store.faults.loseReplyPercent = 40;
            if (fault == 3)
                world.store.faults.latePercent = 40;
            if (fault == 4)
                world.store.refusedClients = {daemon};
            if (fault == 5)
                world.freeze(daemon, {static_cast<int64_t>(500 + world.random.below(8000))});
            if (fault == 6)
                world.start(daemon);
            if (fault == 7)
                world.store.faults.delay = {static_cast<int64_t>(world.random.below(1500))};
            world.advance({static_cast<int64_t>(500 + world.random.below(7000))});
        }
        checkAccepted(world.accepted);
        for (const std::pair<const int64_t, std::set<std::string>> &report : world.reports)
            REQUIRE(report.second.size() == 1);
        acts += world.accepted.size();
    }
    CHECK(acts > 500);
}

namespace {

/// Simulates two daemons: the first reads the store, the second queries it. The first one's replies can be
/// held back.
class QuerySimulation
{
public:
    QuerySimulation() : store(9)
    {
        configuration = std::make_shared<ServingConfiguration>();
        configuration->version = 1;
        store.putConfiguration(configuration);
        store.settle();
        for (uint64_t i = 0; i < 2; ++i) {
            StoreSyncSettings settings;
            settings.self
                = {{fmt::format("entry-{}", i)}, {i + 1}, {"north"}, {"10.0.0.1", 80}, addresses_[i]};
            settings.seed = i;
            syncs.push_back(std::make_unique<StoreSync>(settings, log));
        }
        syncs[1]->setSource(addresses_[0]);
    }

    void pass(DurationMs duration)
    {
        const TimeMs until = now + duration;
        while (now < until) {
            now = now + Step;
            for (size_t i = 0; i < syncs.size(); ++i) {
                if (i == 0 && readerStopped)
                    continue;
                syncs[i]->tick(now);
                for (const StoreCall &call : syncs[i]->takeCalls()) {
                    store.submit(i, call, now);
                    reads[i] += call.verb == StoreVerb::List ? 1 : 0;
                }
                for (const StoreSync::Outgoing &outgoing : syncs[i]->takeOutgoing())
                    deliver(outgoing);
            }
            for (std::pair<size_t, StoreReply> &reply : store.replies(now))
                syncs[reply.first]->onReply(reply.second, now);
            const StoreSync::Updates news = syncs[1]->takeUpdates();
            if (news.members)
                memberCount = news.members->size();
            for (const ConfigurationRead &read : news.configurations) {
                version = read.configuration->version;
                confirmedAt = std::max(confirmedAt, read.askedAt);
            }
        }
    }

    FakeStore store;
    RecordingLog log;
    std::shared_ptr<ServingConfiguration> configuration;
    TimeMs now{1'000'000};
    bool readerStopped = false;
    bool holdReplies = false;
    std::vector<FreshnessReply> heldReplies;
    std::vector<std::unique_ptr<StoreSync>> syncs;
    size_t reads[2] = {};
    uint64_t version = 0;
    size_t memberCount = 0;
    TimeMs confirmedAt;

private:
    void deliver(const StoreSync::Outgoing &outgoing)
    {
        if (const FreshnessQuery *question = std::get_if<FreshnessQuery>(&outgoing.message)) {
            if (!readerStopped)
                syncs[0]->onFreshnessQuery(*question, addresses_[1], now);
        } else if (holdReplies) {
            heldReplies.push_back(std::get<FreshnessReply>(outgoing.message));
        } else {
            syncs[1]->onFreshnessReply(std::get<FreshnessReply>(outgoing.message), now);
        }
    }

    const Address addresses_[2] = {{"10.0.0.1", 91}, {"10.0.0.2", 92}};
};

} // namespace

TEST_CASE("a daemon that queries a peer rarely reads the store, and sees changes in time")
{
    QuerySimulation world;
    world.pass({5000});
    const size_t before = world.reads[1];
    world.pass({10000});
    CHECK(world.reads[1] - before <= 4);
    CHECK(world.now - world.confirmedAt < DurationMs{1300});
    world.configuration = std::make_shared<ServingConfiguration>();
    world.configuration->version = 2;
    world.store.putConfiguration(world.configuration);
    world.pass({1400});
    CHECK(world.version == 2);
}

TEST_CASE("a daemon that asks the store for nothing but renewals never renews again after a lost reply")
{
    QuerySimulation world;
    world.pass({6000});
    world.store.deafClients = {1};
    world.pass({2200});
    world.store.deafClients.clear();
    for (size_t second = 0; second < 10; ++second) {
        world.pass({1000});
        CHECK(world.store.keyCount(StoreSpace::Members) == 2);
    }
}

TEST_CASE("a daemon whose source stops replying reads the store itself")
{
    QuerySimulation world;
    world.pass({5000});
    world.readerStopped = true;
    for (int i = 0; i < 20; ++i) {
        world.pass({500});
        CHECK(world.now - world.confirmedAt < DurationMs{2200});
    }
}

TEST_CASE("a daemon that the store rejects continues with the replies of a peer")
{
    // The store rejects this daemon and serves the others as before, while daemons come and go. The daemon
    // must keep serving callers as long as the configuration is unchanged; without the peer's confirmation it
    // would reject every key.
    QuerySimulation world;
    world.pass({5000});
    world.store.refusedClients = {1};
    world.store.put(StoreSpace::Members, "entry-9",
                    memberText({{"entry-9"}, {9}, {"north"}, {"10.0.0.9", 80}, {"10.0.0.9", 90}}));
    for (int i = 0; i < 16; ++i) {
        world.pass({500});
        CHECK(world.now - world.confirmedAt < DurationMs{1500});
    }
    // The peer's replies confirm its own new version, not the older one of this daemon.
    world.configuration = std::make_shared<ServingConfiguration>();
    world.configuration->version = 2;
    world.store.putConfiguration(world.configuration);
    const TimeMs changedAt = world.now;
    world.pass({5000});
    CHECK(world.confirmedAt < changedAt + DurationMs{700});
    // As a store reader it detects that its reads fail, and when they succeed again.
    world.syncs[1]->setSource(std::nullopt);
    world.pass({1500});
    CHECK(world.syncs[1]->readsFail(world.now));
    world.store.refusedClients.clear();
    world.pass({6000});
    CHECK_FALSE(world.syncs[1]->readsFail(world.now));
}

TEST_CASE("members that come and go are learned from a peer, without a call to the store")
{
    // Many daemons are restarted in turn. If each change made every other daemon read the store, its load
    // would grow with the square of their number.
    QuerySimulation world;
    world.pass({5000});
    const size_t before = world.reads[1];
    for (uint64_t i = 2; i < 12; ++i) {
        const std::string name = fmt::format("entry-{}", i);
        world.store.put(StoreSpace::Members, name,
                        memberText({{name}, {i}, {"north"}, {"10.0.0.3", 80}, {"10.0.0.3", 90}}));
        world.pass({1000});
    }
    CHECK(world.reads[1] - before <= 4);
    CHECK(world.memberCount >= 12);
    CHECK(world.now - world.confirmedAt < DurationMs{1300});
}

TEST_CASE("a store reader queries a peer when its own reads fail")
{
    PeerTable peers({"entry-1"});
    peers.setMembers({{{"entry-1"}, {1}, {"north"}, {}, {"10.0.0.1", 91}},
                      {{"entry-2"}, {2}, {"south"}, {}, {"10.0.0.2", 92}}},
                     {0});
    PeerReport report;
    report.incarnation.value = 2;
    report.sequence = 1;
    report.ready = true;
    peers.take(report, {100});
    CHECK_FALSE(peers.readerToQuery(true, {}, {200}));
    REQUIRE(peers.readerToQuery(false, {}, {200}));
    CHECK(peers.readerToQuery(false, {}, {200})->host == "10.0.0.2");
    // A daemon that can't read the store has only the view received from a peer; a view taken from it would
    // have the age of both steps together.
    report.sequence = 2;
    report.readsStore = false;
    peers.take(report, {300});
    CHECK_FALSE(peers.readerToQuery(false, {}, {400}));
}

TEST_CASE("a delayed reply makes nothing look fresher than it was")
{
    // The querying process pauses for four seconds while the reply waits in its socket; meanwhile its
    // configuration was removed. Processed after the pause, the reply must count from when the query was
    // sent.
    QuerySimulation world;
    world.pass({5000});
    world.holdReplies = true;
    world.pass({400});
    REQUIRE(!world.heldReplies.empty());
    const TimeMs sentBefore = world.now;
    world.now = world.now + DurationMs{4000};
    for (const FreshnessReply &answer : world.heldReplies)
        world.syncs[1]->onFreshnessReply(answer, world.now);
    for (const ConfigurationRead &read : world.syncs[1]->takeUpdates().configurations)
        CHECK(read.askedAt <= sentBefore);
}
