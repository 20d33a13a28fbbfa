// Endpoints that restart under their name, and entries that other writers leave.

#include "gatewayfixture.h"

#include <algorithm>
#include <functional>
#include <set>

using namespace cranberry;

namespace {

constexpr const char *Order = "/order/1";
constexpr const char *Review = "/review/1";
constexpr const char *Draft = "/draft/1";

} // namespace

// Guards against a daemon that has no descriptor left after its endpoints were replaced again and again.
TEST_CASE_FIXTURE(GatewayFixture, "idle connections to an address that no endpoint has any more are closed")
{
    const Address moved = endpoints[0].address;
    const Address removed = endpoints[3].address;
    endpoints[0].address.port = 9;
    endpoints[4].id.value = "p3"; // Takes over the address.
    endpoints.erase(endpoints.begin() + 3);
    pass({500});
    CHECK(std::set<Address>(closed.begin(), closed.end()) == std::set<Address>{moved, removed});
    CHECK(closed.size() == 2);
}

// A connection that was in use while its endpoint was removed is kept for reuse afterwards.
TEST_CASE_FIXTURE(GatewayFixture, "the connection of the last stream at a removed endpoint is closed as well")
{
    request(Review);
    const SendAttempt stream = lastSent();
    head(stream.attempt, 200, true);
    events(stream.attempt, 1, 1);
    std::erase_if(endpoints, [&stream](const EndpointEntry &each) { return each.id == stream.endpoint; });
    pass({500});
    CHECK(closed == std::vector<Address>{stream.address});
    closed.clear();
    events(stream.attempt, 2, 34);
    end(stream.attempt);
    pass({500});
    CHECK(closed == std::vector<Address>{stream.address});
}

TEST_CASE("a daemon that has just started does not take endpoints for old")
{
    // Guards against a version on trial that passes for watched since the daemon that watched it was killed.
    EndpointFleet fleet;
    std::vector<EndpointEntry> entries(2);
    entries[0].id.value = "m1";
    entries[1].id.value = "m2";
    fleet.applyList({{entries[0]}, {1000}}, {1000});
    fleet.applyList({entries, {3000}}, {3000});
    CHECK(fleet.knownSince(*fleet.find(entries[0].id)) == TimeMs{1000});
    CHECK(fleet.knownSince(*fleet.find(entries[1].id)) == TimeMs{3000});
}

TEST_CASE_FIXTURE(GatewayFixture, "an endpoint that left and restarted under its name is used again")
{
    // A plain endpoint leaves and comes back under its name, as a new process, while the other one is full.
    // Requests must get the slots of the new process: if it were kept as leaving, it would never serve again.
    for (EndpointEntry &entry : endpoints)
        entry.start.unixMs = 1000;
    endpoints[3].leaving = true;
    listEndpoints();
    for (int i = 0; i < 2; ++i)
        request(Order);
    CHECK(sent.size() == 2);
    endpoints[3].leaving = false;
    listEndpoints();
    request(Order);
    CHECK(sent.size() == 2); // The same incarnation does not return from leaving.
    endpoints[3].start.unixMs = 2000;
    listEndpoints();
    CHECK(sent.size() == 3);
    CHECK(lastSent().endpoint.value == "p1");
    // The last heartbeat of the earlier incarnation arrives late.
    endpoints[3].start.unixMs = 1000;
    endpoints[3].leaving = true;
    listEndpoints();
    request(Order);
    CHECK(lastSent().endpoint.value == "p1");
    CHECK(sent.size() == 4);
}

TEST_CASE_FIXTURE(GatewayFixture, "a new incarnation of an engine starts without cached parts and load")
{
    // Requests with one shared part go to the engine that has it cached. It restarts with an empty cache and
    // no load. Streams of its earlier incarnation end even if no connection is reset: one that can be resumed
    // continues elsewhere, the other one is cut so that its caller need not wait for its deadline.
    for (EndpointEntry &entry : endpoints)
        entry.start.unixMs = 1000;
    listEndpoints();
    const CallerId review = request(Review);
    const EndpointId home = lastSent().endpoint;
    const AttemptId first = lastSent().attempt;
    head(first, 200, true);
    events(first, 1, 3);
    const auto entry = std::find_if(endpoints.begin(), endpoints.end(),
                                    [&](const EndpointEntry &each) { return each.id == home; });
    CHECK(gateway.fleet().find(home)->running == 1);
    entry->start.unixMs = 2000;
    listEndpoints();
    CHECK(gateway.fleet().find(home)->running == 0);
    CHECK(gateway.fleet().find(home)->cachedParts.empty());
    events(first, 4, 4); // Still in flight when the earlier incarnation exited.
    pass({400});
    CHECK(std::find(cancelled.begin(), cancelled.end(), first) != cancelled.end());
    CHECK(lastSent().endpoint != home);
    CHECK(lastSent().resumeAfter == 4);
    CHECK(streamEnds.find(review) == streamEnds.end());
    CHECK(gateway.fleet().find(home)->running == 0);

    const CallerId draft = request(Draft);
    const EndpointId other = lastSent().endpoint;
    head(lastSent().attempt, 200, true);
    events(lastSent().attempt, 1, 2);
    for (EndpointEntry &each : endpoints)
        each.start.unixMs += each.id == other ? 1000 : 0;
    listEndpoints();
    pass({400});
    CHECK(streamEnds.at(draft) == false);
}

TEST_CASE_FIXTURE(GatewayFixture, "a request that was sent to an earlier incarnation may have run")
{
    // A call that is not idempotent was sent, then the endpoint restarts. The call may have run: the caller
    // must not get an answer that says it has not, and it is not sent elsewhere.
    const CallerId caller = request(Order);
    for (EndpointEntry &entry : endpoints)
        entry.start.unixMs = 2000;
    listEndpoints();
    pass({400});
    CHECK(sent.size() == 1);
    CHECK(statusOf(caller) == 502);
}

TEST_CASE_FIXTURE(GatewayFixture, "an unreadable entry stops new requests, not running ones")
{
    // Another writer overwrites an engine's entry. Its stream continues and is not migrated; new requests go
    // elsewhere until the engine's next heartbeat. An unreadable entry of an unknown engine adds no endpoint.
    const CallerId caller = request(Draft);
    const EndpointId home = lastSent().endpoint;
    const AttemptId attempt = lastSent().attempt;
    head(attempt, 200, true);
    events(attempt, 1, 2);
    const std::vector<EndpointEntry> good = endpoints;
    for (EndpointEntry &entry : endpoints) {
        if (entry.id == home) {
            entry = EndpointEntry{};
            entry.id = home;
            entry.readable = false;
        }
    }
    endpoints.push_back(EndpointEntry{});
    endpoints.back().id.value = "unknown";
    endpoints.back().readable = false;
    for (uint64_t id = 3; id < 10; ++id) {
        pass({500});
        events(attempt, id, id);
        request(Draft);
        CHECK(lastSent().endpoint != home);
    }
    CHECK(moves.empty());
    CHECK(gateway.fleet().find(EndpointId{"unknown"}) == nullptr);
    CHECK(gateway.counters().of(GatewayCount::EntriesUnreadable) == 1);
    end(attempt);
    CHECK(streamEnds.at(caller));
    endpoints = good;
    pass({500});
    bool usedAgain = false;
    for (int i = 0; i < 6; ++i) {
        request(Draft);
        usedAgain = usedAgain || lastSent().endpoint == home;
    }
    CHECK(usedAgain);
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "an entry without the start time that its endpoint has stated is another writer's")
{
    endpoints[3].start.unixMs = 1000;
    listEndpoints();
    endpoints[3].start.unixMs = 0;
    endpoints[3].address = {"10.9.9.9", 9};
    listEndpoints();
    request(Order);
    CHECK(lastSent().endpoint.value == "p2");
}

TEST_CASE_FIXTURE(GatewayFixture, "an engine's report of a new incarnation takes precedence over an old list")
{
    for (EndpointEntry &entry : endpoints)
        entry.start.unixMs = 1000;
    listEndpoints();
    request(Review);
    const EndpointId home = lastSent().endpoint;
    gateway.onEngineProbed({home, {2000}, true, false, {}}, now);
    CHECK(gateway.fleet().find(home)->entry.start.unixMs == 2000);
    gateway.onEngineProbed({home, {1000}, true, true, DurationMs{500}}, now);
    CHECK_FALSE(gateway.fleet().find(home)->entry.leaving);
    listEndpoints();
    CHECK(gateway.fleet().find(home)->entry.start.unixMs == 2000);
}

namespace {

// One endpoint and all events around its incarnations, in every order up to a depth.
struct IncarnationsState {
    EndpointFleet fleet;
    TimeMs now{10'000};
    int64_t newestStart = 0; ///< Newest start time in a list or a report.
    bool newestLeaves = false;
    bool unreadable = false;
    std::vector<EndpointIncarnation> open; ///< Open attempts, by the incarnation that they were sent to.
};

const ServiceName plain{"plain"};

void list(IncarnationsState &lives, int64_t start, bool leaving, bool readable)
{
    EndpointEntry entry;
    entry.id.value = "e";
    entry.service = plain;
    entry.slots = 100;
    entry.start.unixMs = start;
    entry.leaving = leaving;
    entry.readable = readable;
    lives.fleet.applyList({{entry}, lives.now}, lives.now);
    lives.unreadable = !readable;
    if (!readable)
        return;
    if (start > lives.newestStart)
        lives.newestLeaves = false;
    if (start >= lives.newestStart)
        lives.newestLeaves = lives.newestLeaves || leaving;
    lives.newestStart = std::max(lives.newestStart, start);
}

void report(IncarnationsState &lives, int64_t start)
{
    if (lives.newestStart == 0)
        return;
    lives.fleet.confirmIncarnation({{"e"}, {start}}, lives.now);
    if (start > lives.newestStart)
        lives.newestLeaves = false;
    lives.newestStart = std::max(lives.newestStart, start);
}

void send(IncarnationsState &lives)
{
    PlacementQuery question;
    question.service = plain;
    CallerRequest request;
    question.request = &request;
    const PlacementResult result = lives.fleet.choose(question, lives.now);
    const bool usable = lives.newestStart > 0 && !lives.newestLeaves && !lives.unreadable;
    CHECK(result.choice.has_value() == usable);
    if (!result.choice)
        return;
    lives.fleet.attemptStarted(*result.choice, question, lives.now);
    lives.open.push_back(lives.fleet.find(result.choice->endpoint)->incarnation());
}

void finishOldest(IncarnationsState &lives)
{
    if (lives.open.empty())
        return;
    lives.fleet.firstByte(lives.open.front(), 0);
    lives.fleet.attemptFinished(lives.open.front(), false);
    lives.fleet.succeeded(lives.open.front());
    lives.open.erase(lives.open.begin());
}

const std::vector<std::function<void(IncarnationsState &)>> steps = {
    [](IncarnationsState &lives) { list(lives, 1, false, true); },
    [](IncarnationsState &lives) { list(lives, 1, true, true); },
    [](IncarnationsState &lives) { list(lives, 2, false, true); },
    [](IncarnationsState &lives) { list(lives, 3, true, true); },
    [](IncarnationsState &lives) { list(lives, 0, false, false); },
    [](IncarnationsState &lives) { report(lives, 2); },
    [](IncarnationsState &lives) { send(lives); },
    finishOldest,
};

void explore(const IncarnationsState &lives, int depth)
{
    if (const FleetEndpoint *endpoint = lives.fleet.find(EndpointId{"e"})) {
        const auto running = std::count(lives.open.begin(), lives.open.end(), endpoint->incarnation());
        REQUIRE(endpoint->running == static_cast<uint32_t>(running));
        REQUIRE(endpoint->entry.start.unixMs == lives.newestStart);
        REQUIRE(endpoint->entry.leaving == lives.newestLeaves);
    } else {
        REQUIRE(lives.newestStart == 0);
    }
    if (depth == 0)
        return;
    for (const std::function<void(IncarnationsState &)> &step : steps) {
        IncarnationsState next = lives;
        next.now = next.now + DurationMs{100};
        step(next);
        explore(next, depth - 1);
    }
}

} // namespace

TEST_CASE("incarnations of one endpoint: entries, reports, requests and their ends in every order")
{
    // Lists arrive late and out of order, entries are overwritten, reports overtake them, and answers of
    // earlier incarnations arrive at any time. In any order, the newest incarnation counts, only its own
    // requests are its load, and nothing is sent to one that leaves or whose entry can't be read. 8 steps,
    // all sequences of 6 of them.
    explore(IncarnationsState{}, 6);
}
