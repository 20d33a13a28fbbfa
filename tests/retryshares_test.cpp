// The retries of a service that all daemons make together, whatever becomes of the daemons.

#include "versionload.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>

using namespace cranberry;

namespace {

/// Of a deployment.
struct Size {
    size_t daemons = 9;
    size_t serving = 9;
    double slack = 58; ///< Of the retry budget.
};

VersionPlan calmDay(const Size &size)
{
    VersionPlan plan;
    plan.versions = {"v1"};
    plan.daemons = size.daemons;
    plan.serving = size.serving;
    plan.engines = std::max<size_t>(12, size.serving);
    plan.slots = 400;
    plan.perSecond = 7;
    plan.length = {12000};
    plan.lead = {10000};
    plan.retryLimits.slack = size.slack;
    return plan;
}

/// All engines reset their streams, and daemons are killed one time after the other.
VersionPlan resetsAndKills(const Size &size, size_t percent, size_t kills)
{
    VersionPlan plan = calmDay(size);
    plan.resets = EngineResets{};
    for (size_t i = 0; i < kills; ++i)
        plan.kills.push_back(
            {DurationMs{1200} + DurationMs{1000} * static_cast<int64_t>(i), percent, DurationMs{500}});
    return plan;
}

} // namespace

TEST_CASE("daemons that start again don't make the retries a second time that are still in the window")
{
    for (size_t percent : {10, 50, 80, 100}) {
        for (size_t kills : {1, 2, 3, 8}) {
            for (uint64_t seed = 1; seed <= 2; ++seed) {
                VersionPlan plan = resetsAndKills({}, percent, kills);
                plan.seed = seed;
                const VersionResult result = playVersions(plan);
                INFO(percent << " in 100, " << kills << " kills, seed " << seed << ": " << result.text());
                CHECK(result.retriesOfAllowed <= 1);
            }
        }
    }
}

// By hand: build/retryshares_test -ns "-tc=weighing*". docs/design/retry-budget.md has the figures.
TEST_CASE("weighing: retries and streams that are lost, by size and fault" * doctest::skip())
{
    const DurationMs down{500};
    const auto loseQuarter = [](VersionPlan &plan) { plan.losses.push_back({{8000}, 0, plan.engines / 4}); };
    const auto kill = [&](VersionPlan &plan, size_t percent) {
        plan.kills.push_back({{5000}, percent, down});
        loseQuarter(plan);
    };
    const auto killOften = [&](VersionPlan &plan) {
        plan.resets = EngineResets{};
        for (int64_t second = 1; second <= 8; ++second)
            plan.kills.push_back({DurationMs{1000 * second + 200}, 80, down});
    };
    const std::vector<std::pair<const char *, std::function<void(VersionPlan &)>>> faults{
        {"resets, 8 kills of 80 in 100", killOften},
        {"the same, store away",
         [&](VersionPlan &plan) {
             killOften(plan);
             plan.storeAway = {{3000}, {9000}};
         }},
        {"resets of 20 in 100",
         [](VersionPlan &plan) {
             plan.resets = EngineResets{{300}, {9300}, 20};
         }},
        {"a quarter of the engines lost", loseQuarter},
        {"the same, store away",
         [&](VersionPlan &plan) {
             loseQuarter(plan);
             plan.storeAway = {{5000}, {12000}};
         }},
        {"half killed 3 s before", [&](VersionPlan &plan) { kill(plan, 50); }},
        {"all killed 3 s before", [&](VersionPlan &plan) { kill(plan, 100); }},
        {"the same, datagrams and store calls lost",
         [&](VersionPlan &plan) {
             kill(plan, 100);
             plan.lostDatagrams = 20;
             plan.storeFaults.losePercent = plan.storeFaults.loseReplyPercent = 10;
         }},
        {"all engines lost, all killed, a quarter lost",
         [&](VersionPlan &plan) {
             plan.losses = {{{4500}, 0, plan.engines}};
             kill(plan, 100);
         }},
        {"daemons apart, all killed 3 s before", [&](VersionPlan &plan) {
             plan.daemonsApartFrom = DurationMs{2000};
             kill(plan, 100);
         }}};
    for (const Size &size :
         {Size{6, 6, 52}, Size{9, 9, 58}, Size{84, 24, 208}, Size{300, 60, 630}, Size{985, 100, 1040}}) {
        for (const auto &fault : faults) {
            std::string line;
            for (uint64_t seed = 1; seed <= 3; ++seed) {
                VersionPlan plan = calmDay(size);
                fault.second(plan);
                plan.seed = seed;
                const VersionResult result = playVersions(plan);
                line += fmt::format(" | {:.2f}, {} retries, {} lost, {} calls", result.retriesOfAllowed,
                                    result.retriedAt.size(), result.broken, result.storeCalls);
                CHECK(result.retriesOfAllowed <= 1);
            }
            MESSAGE(size.daemons, " daemons, ", size.serving, " serve, ", std::string(fault.first), line);
        }
    }
}
