#include "gateway/sizing/enginesizing.h"
#include "gatewayfixture.h"

using namespace cranberry;

namespace {

/// 18,000 tokens a second and 22 requests side by side an engine.
constexpr EngineCapacity Capacity{18'000, 22.4};

ScalingBounds makeBounds(double reclaimablePrice)
{
    ScalingBounds bounds;
    bounds.least = 1;
    bounds.most = 6;
    bounds.reclaimablePrice = reclaimablePrice;
    bounds.prices = {{{"north"}, 1.0}, {{"south"}, 0.8}, {{"west"}, 1.2}};
    return bounds;
}

std::map<FailureDomainName, DomainStock> makeStock(uint32_t onDemand, uint32_t reclaimable)
{
    const DomainStock stock{onDemand, reclaimable, 0, false, 0, 0};
    return {{{"north"}, stock}, {{"south"}, stock}, {{"west"}, stock}};
}

uint32_t sumOnDemand(const std::vector<DomainPlan> &plan)
{
    uint32_t sum = 0;
    for (const DomainPlan &domain : plan)
        sum += domain.onDemand;
    return sum;
}

uint32_t sumReclaimable(const std::vector<DomainPlan> &plan)
{
    uint32_t sum = 0;
    for (const DomainPlan &domain : plan)
        sum += domain.reclaimable;
    return sum;
}

SizingQuestion questionFor(double prefillTokensPerSecond, double running)
{
    SizingQuestion question;
    question.demand.prefillTokensPerSecond = prefillTokensPerSecond;
    question.demand.running = running;
    return question;
}

} // namespace

TEST_CASE("cheap engines are spread so that the loss of a failure domain leaves enough")
{
    const std::vector<DomainPlan> plan
        = planEngines(makeBounds(0.2), Capacity, questionFor(90'000, 20), makeStock(0, 3));
    for (const DomainPlan &domain : plan) {
        CHECK(domain.onDemand == 0);
        CHECK(domain.reclaimable >= 3);
    }
    // Five engines carry 90,000 tokens a second at 18,000 each.
    CHECK(sumReclaimable(plan) - plan[0].reclaimable >= 5);
}

TEST_CASE("with many failure domains the loss of two of them leaves enough")
{
    // Six domains: two are reclaimed within ten seconds, and none can be had for longer than that. With the
    // loss of one planned for, 15 in 100 requests were late until new ones came.
    ScalingBounds bounds = makeBounds(0.2);
    bounds.most = 80;
    const auto stockOf = [](size_t domains) {
        std::map<FailureDomainName, DomainStock> stock;
        for (size_t i = 0; i < domains; ++i)
            stock[{"domain-" + std::to_string(i)}] = {0, 3, 0, false, 0, 0};
        return stock;
    };
    const SizingQuestion question = questionFor(90 * Capacity.tokensPerSecond, 20);
    for (const DomainPlan &domain : planEngines(bounds, Capacity, question, stockOf(6)))
        CHECK(domain.reclaimable == 23); // 90 / 4
    for (const DomainPlan &domain : planEngines(bounds, Capacity, question, stockOf(4)))
        CHECK(domain.reclaimable == 30); // 90 / 3
    for (const DomainPlan &domain : planEngines(bounds, Capacity, question, stockOf(1)))
        CHECK(domain.reclaimable == 80); // The most there may be.
}

TEST_CASE("engines on demand stay until the cheap ones carry the demand")
{
    // Ordering the cheap ones takes seconds to bear fruit. Dropping those that serve before that would leave
    // callers without engines.
    SizingQuestion question = questionFor(90'000, 20);
    CHECK(sumOnDemand(planEngines(makeBounds(0.2), Capacity, question, makeStock(3, 0))) >= 5);
    CHECK(sumOnDemand(planEngines(makeBounds(0.2), Capacity, question, makeStock(3, 3))) == 0);
}

TEST_CASE("engines on demand that are needed stay in their domains, whatever these cost")
{
    // All engines are on demand, as after a roll-out, and the cheap ones are still to come. Ordered in the
    // cheapest domain alone, those of the others would be stopped seconds before more have started there.
    const std::vector<DomainPlan> plan
        = planEngines(makeBounds(0.2), Capacity, questionFor(160'000, 20), makeStock(3, 0));
    for (const DomainPlan &domain : plan)
        CHECK(domain.onDemand == 3);
}

TEST_CASE("without demand it is enough that the cheap ones were accepted")
{
    std::map<FailureDomainName, DomainStock> stock = makeStock(3, 0);
    for (std::pair<const FailureDomainName, DomainStock> &entry : stock)
        entry.second.coming = 2;
    CHECK(sumOnDemand(planEngines(makeBounds(0.2), Capacity, questionFor(0, 0), stock)) == 0);
}

TEST_CASE("what one failure domain can't give is ordered in the others")
{
    std::map<FailureDomainName, DomainStock> stock = makeStock(0, 2);
    stock[{"north"}] = {0, 0, 0, true, 0, 0};
    const std::vector<DomainPlan> plan
        = planEngines(makeBounds(0.2), Capacity, questionFor(60'000, 10), stock);
    CHECK(plan[1].reclaimable + plan[2].reclaimable >= 6);
    // The short one gets its least on demand, as the platform sees to anyway, and nothing else is.
    CHECK(plan[0].onDemand == 1);
    CHECK(sumOnDemand(plan) == 1);
}

TEST_CASE("where cheap engines are scarce, engines on demand make up for the next reclaim")
{
    // One failure domain was reclaimed and none is to be had anywhere. The next reclaim would leave half of
    // what is there: the rest is ordered before it comes, in the cheapest domain first.
    std::map<FailureDomainName, DomainStock> stock = makeStock(0, 3);
    stock[{"north"}] = {0, 0, 0, true, 0, 0};
    SizingQuestion question = questionFor(120'000, 20);
    question.scarce = true;
    const std::vector<DomainPlan> plan = planEngines(makeBounds(0.2), Capacity, question, stock);
    CHECK(sumOnDemand(plan) >= 2);
    // The least of the short domain counts; the rest is where it is cheapest.
    CHECK(plan[0].onDemand == 1);
    CHECK(plan[1].onDemand == sumOnDemand(plan) - 1);
}

TEST_CASE("without cheap engines all are on demand")
{
    const std::vector<DomainPlan> plan
        = planEngines(makeBounds(1), Capacity, questionFor(90'000, 20), makeStock(3, 0));
    CHECK(sumReclaimable(plan) == 0);
    CHECK(sumOnDemand(plan) == 5);
}

TEST_CASE("what was found at the start counts until the demand is known")
{
    SizingQuestion question = questionFor(0, 0);
    question.known = 12;
    CHECK(sumReclaimable(planEngines(makeBounds(0.2), Capacity, question, makeStock(4, 0))) == 12);
}

namespace {

/// Sizing of one service in two failure domains, with a fleet that a test writes by hand.
struct SizingFixture {
    explicit SizingFixture(bool firstStart) : sizing(firstStart, log)
    {
        ServedService service;
        service.name.value = "model";
        service.engine = EngineFigures{};
        service.scaling = makeBounds(0.2);
        service.scaling->prices.erase({"west"});
        configuration->services = {service};
        configuration->index();
    }

    void list(uint32_t onDemandEach, uint32_t reclaimableEach)
    {
        read.entries.clear();
        for (const char *domain : {"north", "south"}) {
            for (uint32_t i = 0; i < onDemandEach + reclaimableEach; ++i) {
                EndpointEntry entry;
                entry.reclaimable = i >= onDemandEach;
                entry.id.value = domain + std::string(entry.reclaimable ? "-r" : "-d") + std::to_string(i);
                entry.service.value = "model";
                entry.failureDomain.value = domain;
                read.entries.push_back(entry);
            }
        }
    }

    // Runs for `time` and answers all orders with Done, if `answers`.
    void run(DurationMs time, bool answers)
    {
        for (const TimeMs until = now + time; now < until; now = now + DurationMs{100}) {
            read.askedAt = now;
            fleet.take(read, now);
            sizing.tick(leadership, fleet, rollouts, {}, configuration, now);
            for (const DutyCall &call : sizing.takeCalls()) {
                CHECK(call.fencingToken == 7);
                orders.push_back(*call.order);
                if (answers)
                    sizing.onReply(call.id, DutyOutcome::Done, now);
            }
        }
    }

    // The newest count ordered in "north", or nothing.
    std::optional<uint32_t> ordered(bool reclaimable) const
    {
        std::optional<uint32_t> count;
        for (const EngineOrder &order : orders) {
            if (order.failureDomain.value == "north" && order.reclaimable == reclaimable)
                count = order.count;
        }
        return count;
    }

    RecordingLog log;
    EngineSizing sizing;
    EndpointFleet fleet;
    RolloutView rollouts;
    EndpointsRead read;
    std::shared_ptr<ServingConfiguration> configuration = std::make_shared<ServingConfiguration>();
    Leadership leadership{true, 7, {1'000'000}, {}, {}};
    TimeMs now{1000};
    std::vector<EngineOrder> orders;
};

} // namespace

TEST_CASE("an order without reply is said again, one that is in force is not")
{
    SizingFixture fixture(false);
    fixture.list(3, 0);
    fixture.run({4500}, false);
    fixture.run({2500}, true);
    // Two failure domains, two kinds: each said again while there was no reply, then once more.
    CHECK(fixture.orders.size() >= 8);
    CHECK(fixture.orders.size() <= 16);
    const size_t before = fixture.orders.size();
    fixture.list(0, 3);
    fixture.run({4000}, true);
    CHECK(fixture.orders.size() == before);
    fixture.leadership.held = false;
    fixture.run({11000}, true);
    CHECK(fixture.orders.size() == before);
}

TEST_CASE("engines that were not ordered are told to stop within two seconds")
{
    // The platform starts engines on demand by itself where a domain falls below its least, and goes on with
    // them when the reclaimable ones are back. Each costs as much as five of those.
    SizingFixture fixture(false);
    fixture.list(0, 3);
    fixture.run({6000}, true);
    const size_t before = fixture.orders.size();
    fixture.list(1, 3);
    fixture.run({2000}, true);
    CHECK(fixture.orders.size() >= before + 2);
    CHECK(fixture.ordered(false) == 0);
}

TEST_CASE("at the first start engines on demand go as soon as the cheap ones were accepted")
{
    // Nothing has run yet, so the count of what was found is not worth the bill: on demand 9 engines cost in
    // 3 s what 9 cheap ones cost in 15 s. Half of the most that the operators state comes instead.
    SizingFixture fixture(true);
    fixture.list(3, 0);
    fixture.run({300}, true);
    CHECK(fixture.ordered(true) == 3);
    CHECK(fixture.ordered(false) == 0);
    // A start that isn't the first one waits until it knows what there is.
    SizingFixture later(false);
    later.list(3, 0);
    later.run({300}, true);
    CHECK(later.ordered(false) == std::nullopt);
    // Where none are accepted, those on demand stay.
    SizingFixture refused(true);
    refused.list(3, 0);
    refused.run({300}, false);
    CHECK(refused.ordered(false) == std::nullopt);
}

namespace {

// Demand as daemons report it: requests of `tokens` each, `perSecond` of them, first event wanted in
// `targetMs`; readings of engines that take `baseMs` and read `tokensPerMs`.
ServiceDemand demandOf(double perSecond, double tokens, double targetMs, double tokensPerMs, double baseMs)
{
    ServiceDemand demand;
    demand.requestsPerSecond = perSecond;
    demand.prefillTokensPerSecond = perSecond * tokens;
    demand.prefillSquaresPerSecond = perSecond * tokens * tokens * 2; // As uneven as exponential ones.
    demand.targetMsPerSecond = perSecond * targetMs;
    for (const double part : {0.2, 0.5, 1.0, 2.0, 3.0}) {
        const double size = tokens * part;
        const double ms = baseMs + size / tokensPerMs;
        demand.readings.add({20, 20 * size, 20 * ms, 20 * size * size, 20 * size * ms});
    }
    return demand;
}

} // namespace

TEST_CASE("the reading speed is learned from first events")
{
    const ServiceDemand demand = demandOf(60, 5000, 600, 45, 40);
    const ReadingSpeed speed = readingSpeed(demand.readings);
    CHECK(speed.tokensPerMs == doctest::Approx(45).epsilon(0.01));
    CHECK(speed.baseMs == doctest::Approx(40).epsilon(0.01));
    // Too few, or all alike: the usual figures.
    CHECK(readingSpeed({}).tokensPerMs == 45);
    ReadingSums alike;
    alike.add({100, 100'000, 5000, 1e8, 5e6});
    CHECK(readingSpeed(alike).tokensPerMs == 45);
}

TEST_CASE("an engine carries what its speed, its prompts and callers' targets allow")
{
    const EngineFigures engine;
    const double usual = engineCapacity(engine, demandOf(60, 5000, 600, 45, 40)).tokensPerSecond;
    CHECK(engineCapacity(engine, demandOf(60, 5000, 600, 90, 40)).tokensPerSecond > 1.9 * usual);
    CHECK(engineCapacity(engine, demandOf(60, 5000, 300, 45, 40)).tokensPerSecond < 0.8 * usual);
    CHECK(engineCapacity(engine, demandOf(60, 20000, 600, 45, 40)).tokensPerSecond < 0.6 * usual);
    CHECK(engineCapacity(engine, demandOf(60, 5000, 50, 45, 40)).tokensPerSecond > 0);
    // Small batches fill unevenly: less of each is planned with.
    EngineFigures small;
    small.slots = 12;
    CHECK(engineCapacity(engine, {}).running == doctest::Approx(49.9).epsilon(0.01));
    CHECK(engineCapacity(small, {}).running == doctest::Approx(6.8).epsilon(0.01));
}

TEST_CASE("engines of a version that is being rolled out are neither counted nor stopped until it is decided")
{
    // A new version's engines come beside the others, on demand. The holder's order of none on demand, said
    // again since more are there, stopped all of them after half a second: nothing was ever rolled out.
    SizingFixture fixture(false);
    fixture.list(0, 3);
    fixture.run({10'000}, true);
    RolloutsKnown known;
    known.era = 1;
    known.orders = {{{"model"}, {"v2"}, {16'000}, 5}};
    fixture.rollouts.take(known, fixture.now);
    fixture.fleet.setOutOfUse(fixture.rollouts.outOfUse());
    fixture.orders.clear();
    fixture.run({2000}, true);
    CHECK_FALSE(fixture.ordered(false));
    RolloutRecord record;
    record.service.value = "model";
    record.target.value = "v2";
    record.duration = {16'000};
    record.order = 5;
    record.era = 1;
    record.stage = RolloutStage::Trial;
    known.records[{"model"}] = record;
    fixture.rollouts.take(known, fixture.now);
    fixture.fleet.setOutOfUse(fixture.rollouts.outOfUse());
    fixture.list(3, 3);
    for (EndpointEntry &entry : fixture.read.entries)
        entry.version.value = entry.reclaimable ? "v1" : "v2";
    fixture.run({15'000}, true);
    // Nor those that are not listed yet.
    CHECK_FALSE(fixture.ordered(false));
    CHECK(fixture.ordered(true).value_or(3) <= 3);
    record.stage = RolloutStage::RolledBack;
    record.barred = {{"v2"}};
    known.records[{"model"}] = record;
    fixture.rollouts.take(known, fixture.now);
    fixture.fleet.setOutOfUse(fixture.rollouts.outOfUse());
    fixture.run({2000}, true);
    CHECK(fixture.ordered(false) == 0);
}

TEST_CASE("once a shortage has taken most domains, engines on demand are there for more than the usual need")
{
    // Domain after domain is reclaimed and none can be had: with engines on demand for the tight part of the
    // usual need the few that are left read again what lay at sixty, and one request in three was in time for
    // a quarter of a minute. A quiet day of 60 engines with four reclaims: 0.69 of its credit before, 0.86
    // after, for a twentieth more of what engines cost.
    ScalingBounds bounds = makeBounds(0.2);
    bounds.most = 30;
    bounds.prices[{"east"}] = 0.9;
    SizingQuestion question = questionFor(11 * Capacity.tokensPerSecond, 20);
    question.scarce = true;
    const auto onDemandAfter = [&](uint32_t lost) {
        std::map<FailureDomainName, DomainStock> stock;
        uint32_t domain = 0;
        for (const char *name : {"north", "south", "west", "east"})
            stock[{name}] = {0, domain++ < lost ? 0U : 15U, 0, true, 0, 0};
        return sumOnDemand(planEngines(bounds, Capacity, question, stock));
    };
    // One domain lost: the rest bears the next reclaim; only the lost one's own least is ordered.
    CHECK(onDemandAfter(1) == 1);
    CHECK(onDemandAfter(2) == 2);
    CHECK(onDemandAfter(3) == 28);
    CHECK(onDemandAfter(4) == 28);
}
