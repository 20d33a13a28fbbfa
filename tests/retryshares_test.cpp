// The retries of a service that all daemons make together, whatever becomes of the daemons.

#include "versionload.h"

using namespace cranberry;

namespace {

/// All engines reset their streams, and daemons are killed one time after the other.
VersionPlan resetsAndKills(size_t daemons, size_t serving, size_t percent, size_t kills)
{
    VersionPlan plan;
    plan.versions = {"v1"};
    plan.daemons = daemons;
    plan.serving = serving;
    plan.engines = 12;
    plan.slots = 400;
    plan.length = {12000};
    plan.retryLimits.slack = 50 + 2 * static_cast<double>(serving);
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
                VersionPlan plan = resetsAndKills(9, 9, percent, kills);
                plan.seed = seed;
                const VersionResult result = playVersions(plan);
                INFO(percent << " in 100, " << kills << " kills, seed " << seed << ": " << result.text());
                CHECK(result.retriesOfAllowed <= 1);
            }
        }
    }
}
