// Evaluation of a version on trial: how soon a bad version is found, and how often a good one is found bad,
// while endpoints crash, fail by themselves or are overloaded. Compares two methods.

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

/// Conditions that affect all versions alike.
struct Conditions {
    const char *name = "";
    double usualBad = 0.02; ///< Share of bad answers.
    double crashesPerSecond = 0; ///< Crash rate of each endpoint; a crash fails its four running requests.
    double greyPart = 0; ///< Share of endpoints that fail four in ten answers.
    double overloadFrom = 1e9; ///< Second from which a third of all answers is slow.
};

/// Fault of the version on trial.
struct Fault {
    const char *name = "";
    double part = 0; ///< Additional share of bad answers.
    double fromSecond = 0;
    bool onOneRoute = false;
};

/// The simplest alternative: alarms if over the last three seconds the share of bad answers exceeds that of
/// the other versions by a sixth, from twenty answers on.
class ThresholdEvaluator
{
public:
    void update(const std::vector<TrialCount> &sums)
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

/// Simulates a trial in which six target endpoints take a twentieth of 156 requests per second on three
/// routes; returns the seconds from the fault to the alarm.
template <typename Evaluator>
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
    Evaluator evaluator;
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
            const bool isFaulty = second >= fault.fromSecond && (!fault.onOneRoute || route == 0);
            note(route, endpoint,
                 chance(usual) || (grey[endpoint] && chance(0.4)) || (isFaulty && chance(fault.part)));
        }
        std::vector<TrialCount> sums;
        sums.reserve(counts.size());
        for (const std::pair<const std::pair<int, uint32_t>, TrialCount> &each : counts)
            sums.push_back(each.second);
        evaluator.update(sums);
        if (evaluator.isBad())
            return second + StepSeconds - fault.fromSecond;
    }
    return std::nullopt;
}

struct Result {
    int found = 0; ///< Trials with an alarm, in percent.
    double seconds = 0; ///< Mean time until the alarm.
};

template <typename Evaluator>
Result simulateTrials(const Conditions &conditions, const Fault &fault)
{
    Result out;
    int found = 0;
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        const std::optional<double> seconds = secondsUntilBad<Evaluator>(conditions, fault, seed);
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

TEST_CASE("a good version is rarely found bad, whatever the conditions")
{
    for (const Conditions &conditions : AllConditions) {
        CAPTURE(conditions.name);
        const Result sequential = simulateTrials<VersionEvaluator>(conditions, {});
        const Result threshold = simulateTrials<ThresholdEvaluator>(conditions, {});
        MESSAGE(fmt::format("good, {}: found bad in 100: sequential {}, threshold {}", conditions.name,
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
            const Result sequential = simulateTrials<VersionEvaluator>(conditions, fault);
            const Result threshold = simulateTrials<ThresholdEvaluator>(conditions, fault);
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
    VersionEvaluator evaluator;
    std::vector<TrialCount> sums
        = {{{"s"}, {"v2"}, "a", 1, 60, 0}, {{"s"}, {"v2"}, "a", TrialCount::Others, 600, 6}};
    evaluator.update(sums);
    CHECK(evaluator.isProven());
    sums.push_back({{"s"}, {"v2"}, "b", TrialCount::Others, 300, 3});
    evaluator.update(sums);
    CHECK_FALSE(evaluator.isProven());
    sums.push_back({{"s"}, {"v2"}, "b", 2, 12, 0});
    evaluator.update(sums);
    CHECK(evaluator.isProven());
}

TEST_CASE("counts that fall because a daemon left are skipped")
{
    VersionEvaluator evaluator;
    const auto take = [&evaluator](uint64_t answers, uint64_t bad) {
        evaluator.update({{{"s"}, {"v2"}, "a", 1, answers, bad}, {{"s"}, {"v2"}, "a", 2, answers, bad}});
    };
    for (int i = 0; i < 20; ++i)
        take(i % 2 == 0 ? 100 : 60, i % 2 == 0 ? 50 : 30);
    take(60, 30);
    CHECK(evaluator.figures().answers == 120);
}

TEST_CASE("a clearly worse version is not proven, even without an alarm")
{
    // The other versions are overloaded, the target has few endpoints, and one group of them is left out: the
    // score stays below its threshold. Still a third of the answers of the version were slow.
    VersionEvaluator evaluator;
    evaluator.update({{{"s"}, {"v2"}, "a", 1, 45, 16}, {{"s"}, {"v2"}, "a", TrialCount::Others, 1000, 80}});
    CHECK_FALSE(evaluator.isProven());
    VersionEvaluator good;
    good.update({{{"s"}, {"v2"}, "a", 1, 45, 6}, {{"s"}, {"v2"}, "a", TrialCount::Others, 1000, 80}});
    CHECK(good.isProven());
}
