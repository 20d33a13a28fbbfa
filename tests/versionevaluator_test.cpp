// Judging a version under trial: how soon a bad one is found, and how often a good one is taken for bad,
// while endpoints crash, fail by themselves and are overloaded. Two ways are compared.

#include "common/random.h"
#include "gateway/rollout/versionevaluator.h"

#include <array>
#include <cmath>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <optional>

using namespace cranberry;

namespace {

constexpr double StepSeconds = 0.25;
constexpr int Seeds = 400;
constexpr double TrialSeconds = 8;

/// What goes on besides the version itself, at all versions alike.
struct Conditions {
    const char *name = "";
    double usualBad = 0.02; ///< Part of the answers.
    double crashesPerSecond = 0; ///< Of each endpoint: all that it has, four requests, fails.
    double greyPart = 0; ///< Of the endpoints: four in ten of their answers fail.
    double overloadFrom = 1e9; ///< From this second on a third of all answers is slow.
};

/// How the version under trial differs.
struct Fault {
    const char *name = "";
    double part = 0; ///< Of its answers that are bad besides.
    double fromSecond = 0;
    bool onOneRoute = false;
};

/// A bad part that is larger by a sixth than that of the others, over the last three seconds, from twenty
/// answers on: the simplest thing that could work.
class ThresholdJudge
{
public:
    void take(const std::vector<TrialCount> &sums)
    {
        std::array<double, 4> now = {};
        for (const TrialCount &each : sums) {
            const size_t i = each.group == TrialCount::Others ? 2 : 0;
            now[i] += static_cast<double>(each.answers);
            now[i + 1] += static_cast<double>(each.bad);
        }
        history_.push_back(now);
        const std::array<double, 4> before
            = history_.size() > 12 ? history_[history_.size() - 13] : std::array<double, 4>{};
        const double answers = now[0] - before[0];
        const double others = std::max(now[2] - before[2], 1.0);
        isBad_ = isBad_
            || (answers >= 20 && (now[1] - before[1]) / answers > (now[3] - before[3]) / others + 1.0 / 6);
    }
    bool isBad() const { return isBad_; }

private:
    std::vector<std::array<double, 4>> history_;
    bool isBad_ = false;
};

/// Six endpoints of the target take a twentieth of 156 requests a second on three routes.
template <typename Judge>
std::optional<double> secondsUntilBad(const Conditions &conditions, const Fault &fault, uint64_t seed)
{
    Random random(seed);
    const auto chance
        = [&](double part) { return random.below(1'000'000) < static_cast<uint64_t>(part * 1e6); };
    std::array<bool, 6> grey = {};
    for (bool &each : grey)
        each = chance(conditions.greyPart);
    std::map<std::pair<int, uint32_t>, TrialCount> counts;
    const auto note = [&](int route, uint32_t group, bool bad) {
        TrialCount &count = counts[{route, group}];
        count.route = fmt::format("route-{}", route);
        count.group = group;
        ++count.answers;
        count.bad += bad ? 1 : 0;
    };
    Judge judge;
    for (double second = 0; second < TrialSeconds; second += StepSeconds) {
        const double usual = second >= conditions.overloadFrom ? 1.0 / 3 : conditions.usualBad;
        for (int i = 0; i < 37; ++i)
            note(static_cast<int>(random.below(3)), TrialCount::Others,
                 chance(usual) || (chance(conditions.greyPart) && chance(0.4)));
        for (uint32_t endpoint = 0; endpoint < 6; ++endpoint) {
            if (chance(conditions.crashesPerSecond * StepSeconds)) {
                for (int i = 0; i < 4; ++i)
                    note(static_cast<int>(random.below(3)), endpoint, true);
            }
        }
        const uint64_t requests = 1 + random.below(3);
        for (uint64_t i = 0; i < requests; ++i) {
            const int route = static_cast<int>(random.below(3));
            const uint32_t endpoint = static_cast<uint32_t>(random.below(6));
            const bool isStruck = second >= fault.fromSecond && (!fault.onOneRoute || route == 0);
            note(route, endpoint,
                 chance(usual) || (grey[endpoint] && chance(0.4)) || (isStruck && chance(fault.part)));
        }
        std::vector<TrialCount> sums;
        sums.reserve(counts.size());
        for (const std::pair<const std::pair<int, uint32_t>, TrialCount> &each : counts)
            sums.push_back(each.second);
        judge.take(sums);
        if (judge.isBad())
            return second + StepSeconds - fault.fromSecond;
    }
    return std::nullopt;
}

struct Result {
    int found = 0; ///< Of a hundred.
    double seconds = 0; ///< In the mean, where it was found.
};

template <typename Judge>
Result play(const Conditions &conditions, const Fault &fault)
{
    Result out;
    int found = 0;
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        const std::optional<double> seconds = secondsUntilBad<Judge>(conditions, fault, seed);
        found += seconds ? 1 : 0;
        out.seconds += seconds.value_or(0);
    }
    out.found = found * 100 / Seeds;
    out.seconds /= std::max(found, 1);
    return out;
}

constexpr std::array AllConditions
    = {Conditions{"calm", 0.02, 0, 0, 1e9}, Conditions{"every seventh answer bad anyway", 0.14, 0, 0, 1e9},
       Conditions{"endpoints crash", 0.02, 0.03, 0, 1e9},
       Conditions{"one endpoint in seven grey", 0.02, 0, 0.14, 1e9},
       Conditions{"overload from second 4", 0.02, 0, 0, 4}};

} // namespace

TEST_CASE("a good version is rarely taken for bad, whatever goes on besides")
{
    for (const Conditions &conditions : AllConditions) {
        CAPTURE(conditions.name);
        const Result sequential = play<VersionJudge>(conditions, {});
        const Result threshold = play<ThresholdJudge>(conditions, {});
        MESSAGE(fmt::format("good, {}: taken for bad in 100: sequential {}, threshold {}", conditions.name,
                            sequential.found, threshold.found));
        CHECK(sequential.found <= 6);
    }
}

TEST_CASE("a bad version is found within seconds, also one that turns bad late or on one route")
{
    for (const Fault &fault :
         {Fault{"half of all", 0.5, 0, false}, Fault{"half of all from second 3", 0.5, 3, false},
          Fault{"half of one route", 0.5, 0, true}, Fault{"a third of all", 0.33, 0, false}}) {
        for (const Conditions &conditions : AllConditions) {
            CAPTURE(fault.name);
            CAPTURE(conditions.name);
            const Result sequential = play<VersionJudge>(conditions, fault);
            const Result threshold = play<ThresholdJudge>(conditions, fault);
            MESSAGE(fmt::format(
                "{}, {}: found in 100: sequential {} after {:.1f} s, threshold {} after {:.1f} s", fault.name,
                conditions.name, sequential.found, sequential.seconds, threshold.found, threshold.seconds));
            if (!fault.onOneRoute && fault.part >= 0.5 && conditions.usualBad < 0.1)
                CHECK(sequential.found >= 90);
        }
    }
}

TEST_CASE("a version is proven only by answers on each route that is used")
{
    VersionJudge judge;
    std::vector<TrialCount> sums
        = {{{"s"}, {"v2"}, "a", 1, 60, 0}, {{"s"}, {"v2"}, "a", TrialCount::Others, 600, 6}};
    judge.take(sums);
    CHECK(judge.isProven());
    sums.push_back({{"s"}, {"v2"}, "b", TrialCount::Others, 300, 3});
    judge.take(sums);
    CHECK_FALSE(judge.isProven());
    sums.push_back({{"s"}, {"v2"}, "b", 2, 12, 0});
    judge.take(sums);
    CHECK(judge.isProven());
}

TEST_CASE("counts that fall, since a daemon is gone, are no news")
{
    VersionJudge judge;
    const auto take = [&judge](uint64_t answers, uint64_t bad) {
        judge.take({{{"s"}, {"v2"}, "a", 1, answers, bad}, {{"s"}, {"v2"}, "a", 2, answers, bad}});
    };
    for (int i = 0; i < 20; ++i)
        take(i % 2 == 0 ? 100 : 60, i % 2 == 0 ? 50 : 30);
    take(60, 30);
    CHECK(judge.figures().answers == 120);
}

TEST_CASE("a version that is clearly worse is not proven, though no alarm was raised")
{
    // The others are overloaded, the target has a few endpoints, and one of them is left out: the alarm stays
    // below its bound. A third of what the version answered was slow all the same.
    VersionJudge judge;
    judge.take({{{"s"}, {"v2"}, "a", 1, 45, 16}, {{"s"}, {"v2"}, "a", TrialCount::Others, 1000, 80}});
    CHECK_FALSE(judge.isProven());
    VersionJudge good;
    good.take({{{"s"}, {"v2"}, "a", 1, 45, 6}, {{"s"}, {"v2"}, "a", TrialCount::Others, 1000, 80}});
    CHECK(good.isProven());
}
