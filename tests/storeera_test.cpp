// A store that is restored from an older copy of itself: which views stay valid for daemons that ran through
// the restore and for those that start just after it.

#include "fakestore.h"
#include "gateway/store/storesync.h"
#include "gatewayfixture.h"

#include <memory>

using namespace cranberry;

namespace {

constexpr DurationMs Step{20};

std::shared_ptr<ServingConfiguration> makeConfiguration(uint64_t version)
{
    std::shared_ptr<ServingConfiguration> out = std::make_shared<ServingConfiguration>();
    out->version = version;
    out->index();
    return out;
}

/// Simulates daemons at one store that query each other. Keeps the newest configuration that each received.
class EraSimulation
{
public:
    EraSimulation() : store(3)
    {
        store.putConfiguration(makeConfiguration(7));
        store.settle();
    }

    size_t start()
    {
        const size_t i = syncs_.size();
        StoreSyncSettings settings;
        settings.self = {{"entry-" + std::to_string(i)}, {i + 1}, {"north"}, {"10.0.0.1", 80}, addressOf(i)};
        settings.seed = i + 1;
        syncs_.push_back(std::make_unique<StoreSync>(settings, log));
        versions.push_back(0);
        return i;
    }
    /// Its records are complete, should it be the leader.
    void completeRecords(size_t i) { syncs_[i]->setRecordsComplete(true); }
    void setSource(size_t asker, size_t source) { syncs_[asker]->setSource(addressOf(source)); }

    void advance(DurationMs duration)
    {
        for (const TimeMs until = now + duration; now < until;) {
            now = now + Step;
            for (size_t i = 0; i < syncs_.size(); ++i) {
                syncs_[i]->tick(now);
                for (const StoreCall &call : syncs_[i]->takeCalls())
                    store.submit(i, call, now);
                for (const StoreSync::Outgoing &outgoing : syncs_[i]->takeOutgoing())
                    deliver(i, outgoing);
            }
            for (std::pair<size_t, StoreReply> &reply : store.replies(now))
                syncs_[reply.first]->onReply(reply.second, now);
            for (size_t i = 0; i < syncs_.size(); ++i) {
                for (const ConfigurationRead &read : syncs_[i]->takeUpdates().configurations)
                    versions[i] = std::max(versions[i], read.configuration->version);
            }
        }
    }

    FakeStore store;
    RecordingLog log;
    TimeMs now{1'000'000};
    std::vector<uint64_t> versions; ///< 0: the daemon has none.

private:
    static Address addressOf(size_t i) { return {"10.0.0.1", static_cast<uint16_t>(90 + i)}; }
    void deliver(size_t from, const StoreSync::Outgoing &outgoing)
    {
        const size_t to = outgoing.to.port - addressOf(0).port;
        if (const FreshnessQuery *question = std::get_if<FreshnessQuery>(&outgoing.message))
            syncs_[to]->onFreshnessQuery(*question, addressOf(from), now);
        else
            syncs_[to]->onFreshnessReply(std::get<FreshnessReply>(outgoing.message), now);
    }

    std::vector<std::unique_ptr<StoreSync>> syncs_;
};

EndpointEntry makeEntry(const std::string &id, bool leaving = false)
{
    EndpointEntry entry;
    entry.id.value = id;
    entry.start.unixMs = 1000;
    entry.service.value = "model";
    entry.address = {"10.0.1.1", 80};
    entry.failureDomain.value = "north";
    entry.slots = 64;
    entry.leaving = leaving;
    return entry;
}

bool acceptsRequests(const EndpointFleet &fleet, TimeMs now)
{
    CallerRequest request;
    request.id = "r";
    PlacementQuery query;
    query.service.value = "model";
    query.request = &request;
    const PlacementResult result = fleet.choose(query, now);
    return result.choice && fleet.find(result.choice->endpoint)->avoidUntil <= now;
}

} // namespace

TEST_CASE("a daemon that starts just after a restore waits for a configuration that its peers have seen")
{
    // Version 8 removes a key and is acknowledged. The store is restored from an earlier copy, and the
    // operators write version 8 again only seconds later. A daemon that starts in between reads version 7 and
    // would accept the key, although its peers know of its removal.
    EraSimulation world;
    const size_t first = world.start();
    world.advance({3000});
    world.store.saveCopy();
    world.store.putConfiguration(makeConfiguration(8));
    world.advance({2000});
    REQUIRE(world.versions[first] == 8);
    world.store.comeBackFromCopy();
    world.advance({200});
    const size_t late = world.start();
    world.setSource(late, first);
    world.advance({3000});
    CHECK(world.versions[late] == 0);
    world.store.putConfiguration(makeConfiguration(8));
    world.advance({1500});
    CHECK(world.versions[late] == 8);
    CHECK(world.versions[first] == 8);
}

// Guards against a removed key that is accepted again because the leader settled the era too early.
TEST_CASE("an era is not settled while the store lacks a configuration that the leader has seen")
{
    EraSimulation world;
    const size_t first = world.start();
    world.completeRecords(first);
    world.advance({8000});
    world.store.saveCopy();
    world.store.putConfiguration(makeConfiguration(8));
    world.advance({2000});
    world.store.comeBackFromCopy();
    world.advance({2500});
    const size_t late = world.start();
    world.advance({2500});
    CHECK(world.versions[late] == 0);
    world.store.putConfiguration(makeConfiguration(8));
    world.advance({2500});
    CHECK(world.versions[late] == 8);
}

// Guards against a removed key that is accepted again after the store was restored from a copy made before
// its era was first settled.
TEST_CASE("the view of a later era that was never settled is not used at once")
{
    EraSimulation world;
    world.store.remove(StoreSpace::Control, SettledEraKey);
    world.start();
    world.advance({3000});
    world.store.saveCopy();
    world.store.settle();
    world.store.putConfiguration(makeConfiguration(8));
    world.advance({2000});
    world.store.comeBackFromCopy();
    world.advance({200});
    const size_t late = world.start();
    world.advance({3000});
    CHECK(world.versions[late] == 0);
    world.store.putConfiguration(makeConfiguration(8));
    world.advance({2500});
    CHECK(world.versions[late] == 8);
}

// Guards against a removed key that is accepted again because the first read of the store succeeded late.
TEST_CASE("the time to restore the configuration starts with a daemon's first view of the store")
{
    EraSimulation world;
    world.store.saveCopy();
    world.store.comeBackFromCopy();
    world.store.faults.down = true;
    const size_t late = world.start();
    world.advance({6000});
    world.store.faults.down = false;
    world.advance({2500});
    CHECK(world.versions[late] == 0);
    world.store.putConfiguration(makeConfiguration(8));
    world.advance({5000});
    CHECK(world.versions[late] == 8);
}

TEST_CASE(
    "a daemon that starts just after a restore, without peers to query, serves after the time to restore")
{
    // All daemons were killed at the same moment: none knows more than the store.
    EraSimulation world;
    world.store.saveCopy();
    world.store.comeBackFromCopy();
    const size_t late = world.start();
    world.advance({3000});
    CHECK(world.versions[late] == 0);
    world.advance({3000});
    CHECK(world.versions[late] == 7);
}

TEST_CASE("an endpoint that was leaving is not used again because an older store lists it as ready")
{
    EndpointFleet fleet;
    TimeMs now{100'000};
    fleet.applyList({{makeEntry("i-1")}, now, 4}, now);
    REQUIRE(acceptsRequests(fleet, now));
    now = now + DurationMs{1000};
    fleet.applyList({{makeEntry("i-1", true)}, now, 4}, now);
    now = now + DurationMs{1000};
    fleet.applyList({{}, now, 4}, now);
    now = now + DurationMs{1000};
    fleet.applyList({{makeEntry("i-1")}, now, 5}, now);
    CHECK_FALSE(acceptsRequests(fleet, now));
    now = now + DurationMs{10000};
    fleet.applyList({{makeEntry("i-1")}, now, 5}, now);
    CHECK_FALSE(acceptsRequests(fleet, now));
}

TEST_CASE("an endpoint that had gone is used again if its entry is kept after the restore")
{
    // It crashed after the copy was made. The restored store lists it until its entry lapses.
    EndpointFleet fleet;
    TimeMs now{100'000};
    fleet.applyList({{makeEntry("i-1")}, now, 4}, now);
    now = now + DurationMs{1000};
    fleet.applyList({{}, now, 4}, now);
    now = now + DurationMs{1000};
    fleet.applyList({{makeEntry("i-1")}, now, 5}, now);
    CHECK_FALSE(acceptsRequests(fleet, now));
    now = now + DurationMs{5000};
    fleet.applyList({{makeEntry("i-1")}, now, 5}, now);
    CHECK(acceptsRequests(fleet, now));
}

TEST_CASE("an endpoint that the restored store lacks is kept until it could write its entry again")
{
    // It started after the copy was made. If it were dropped at once, all requests would go to the remaining
    // endpoints.
    EndpointFleet fleet;
    TimeMs now{100'000};
    fleet.applyList({{makeEntry("i-1")}, now, 4}, now);
    now = now + DurationMs{400};
    fleet.applyList({{}, now, 5}, now);
    CHECK(acceptsRequests(fleet, now));
    for (int i = 0; i < 6; ++i) {
        now = now + DurationMs{500};
        fleet.applyList({{}, now, 5}, now);
    }
    CHECK_FALSE(acceptsRequests(fleet, now));
}
