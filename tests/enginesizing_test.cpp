#include "gateway/enginesizing.h"
#include "gatewayfixture.h"

using namespace cranberry;

namespace {

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
    const DomainStock stock{onDemand, reclaimable, 0, false};
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
        = planEngines(makeBounds(0.2), EngineFigures{}, questionFor(90'000, 20), makeStock(0, 3));
    for (const DomainPlan &domain : plan) {
        CHECK(domain.onDemand == 0);
        CHECK(domain.reclaimable >= 3);
    }
    // Five engines carry 90,000 tokens a second at 18,000 each.
    CHECK(sumReclaimable(plan) - plan[0].reclaimable >= 5);
}

TEST_CASE("engines on demand stay until the cheap ones carry the demand")
{
    // Ordering the cheap ones takes seconds to bear fruit. Dropping those that serve before that would leave
    // callers without engines.
    SizingQuestion question = questionFor(90'000, 20);
    CHECK(sumOnDemand(planEngines(makeBounds(0.2), EngineFigures{}, question, makeStock(3, 0))) >= 5);
    CHECK(sumOnDemand(planEngines(makeBounds(0.2), EngineFigures{}, question, makeStock(3, 3))) == 0);
}

TEST_CASE("without demand it is enough that the cheap ones were accepted")
{
    std::map<FailureDomainName, DomainStock> stock = makeStock(3, 0);
    for (std::pair<const FailureDomainName, DomainStock> &entry : stock)
        entry.second.coming = 2;
    CHECK(sumOnDemand(planEngines(makeBounds(0.2), EngineFigures{}, questionFor(0, 0), stock)) == 0);
}

TEST_CASE("what one failure domain can't give is ordered in the others")
{
    std::map<FailureDomainName, DomainStock> stock = makeStock(0, 2);
    stock[{"north"}] = {0, 0, 0, true};
    const std::vector<DomainPlan> plan
        = planEngines(makeBounds(0.2), EngineFigures{}, questionFor(60'000, 10), stock);
    CHECK(plan[1].reclaimable + plan[2].reclaimable >= 6);
    CHECK(sumOnDemand(plan) == 0);
}

TEST_CASE("where cheap engines are scarce, engines on demand make up for the next reclaim")
{
    // One failure domain was reclaimed and none is to be had anywhere. The next reclaim would leave half of
    // what is there: the rest is ordered before it comes, in the cheapest domain first.
    std::map<FailureDomainName, DomainStock> stock = makeStock(0, 3);
    stock[{"north"}] = {0, 0, 0, true};
    SizingQuestion question = questionFor(120'000, 20);
    question.scarce = true;
    const std::vector<DomainPlan> plan = planEngines(makeBounds(0.2), EngineFigures{}, question, stock);
    CHECK(sumOnDemand(plan) >= 2);
    CHECK(plan[1].onDemand == sumOnDemand(plan));
}

TEST_CASE("without cheap engines all are on demand")
{
    const std::vector<DomainPlan> plan
        = planEngines(makeBounds(1), EngineFigures{}, questionFor(90'000, 20), makeStock(3, 0));
    CHECK(sumReclaimable(plan) == 0);
    CHECK(sumOnDemand(plan) == 5);
}

TEST_CASE("what was found at the start counts until the demand is known")
{
    SizingQuestion question = questionFor(0, 0);
    question.known = 12;
    CHECK(sumReclaimable(planEngines(makeBounds(0.2), EngineFigures{}, question, makeStock(4, 0))) == 12);
}

TEST_CASE("an order without reply is said again, one that is in force is not")
{
    RecordingLog log;
    EngineSizing sizing(log);
    EndpointFleet fleet;
    EndpointsRead read;
    for (int i = 0; i < 6; ++i) {
        EndpointEntry entry;
        entry.id.value = "m" + std::to_string(i);
        entry.service.value = "model";
        entry.failureDomain.value = i % 2 == 0 ? "north" : "south";
        read.entries.push_back(entry);
    }
    fleet.take(read, {1000});
    std::shared_ptr<ServingConfiguration> configuration = std::make_shared<ServingConfiguration>();
    ServedService service;
    service.name.value = "model";
    service.engine = EngineFigures{};
    service.scaling = makeBounds(0.2);
    service.scaling->prices.erase({"west"});
    configuration->services = {service};
    configuration->index();
    Leadership leadership{true, 7, {1'000'000}};
    std::map<uint64_t, EngineOrder> open;
    size_t calls = 0;
    for (int64_t ms = 1000; ms < 9000; ms += 100) {
        sizing.tick(leadership, fleet, {}, configuration, {ms});
        for (const DutyCall &call : sizing.takeCalls()) {
            CHECK(call.fencingToken == 7);
            open[call.id] = *call.order;
            ++calls;
            if (ms > 5500)
                sizing.onReply(call.id, DutyOutcome::Done, {ms});
        }
    }
    // Two failure domains, two kinds: each said again while there was no reply, then once more.
    CHECK(calls >= 8);
    CHECK(calls <= 16);
    leadership.held = false;
    sizing.tick(leadership, fleet, {}, configuration, {20000});
    CHECK(sizing.takeCalls().empty());
}
