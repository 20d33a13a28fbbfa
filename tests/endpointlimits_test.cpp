// Endpoints that say with their answers how many requests a second they take from all daemons together.
#include "engineload.h"

using namespace cranberry;

namespace {

/// Nine engines with three requests a second each, through so many daemons; two of them name a limit.
LoadPlan limitedPlan(size_t daemons, double perSecond, uint64_t seed)
{
    LoadPlan plan;
    plan.kinds = {{"review", 9.86, 13'300, 65, 3720, 120, {1200}, {12000}, 0, true},
                  {"check", 7.98, 6300, 79, 2890, 52, {2000}, {6000}, 1, false},
                  {"draft", 11.1, 350, 111, 1110, 172, {2500}, {12000}, 2, true}};
    plan.engines = 9;
    plan.daemons = daemons;
    plan.limits = {{0, 2, {5000}, {25000}, perSecond}};
    plan.seed = seed;
    return plan;
}

} // namespace

// Guards against an engine in need that gets more than it takes because no daemon goes by the limit it names.
TEST_CASE("engines that name a limit get no more than that from all daemons together")
{
    for (const size_t daemons : {size_t{1}, size_t{2}, size_t{6}, size_t{19}}) {
        for (const uint64_t seed : {1U, 2U, 3U}) {
            const LoadResult result = playLoad(limitedPlan(daemons, 1, seed));
            INFO("daemons " << daemons << " seed " << seed << "\n" << result.text());
            CHECK(result.limited.beyond == 0);
        }
    }
}
