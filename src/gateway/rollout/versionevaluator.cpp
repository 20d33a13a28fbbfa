#include "gateway/rollout/versionevaluator.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Min share of otherwise good answers that a bad version makes bad.
constexpr double MinExcessBad = 0.25;
/// Score at which a version is bad: about one false alarm in e^7 independent evaluations.
constexpr double BadScoreThreshold = 7;
/// The baseline is taken from about this number of the newest answers of the other versions...
constexpr double BaselineWindow = 300;
/// ...and from this number of good answers assumed beforehand.
constexpr double PriorGoodAnswers = 20;
constexpr double MinBaselineBad = 0.02; ///< With a lower one a single bad answer would weigh too much.
constexpr double MaxBaselineBad = 0.9;
/// Min answers of the target in total, and on each significant route, that prove a version.
constexpr uint64_t MinProvenAnswers = 40;
constexpr uint64_t MinProvenRouteAnswers = 3;
/// A version whose share of bad answers exceeds that of the others by more than this is not proven, even
/// without an alarm.
constexpr double MaxProvenExcessBad = 0.12;
/// A route with a smaller share of the other versions' answers needs no proof of its own.
constexpr double SignificantRouteShare = 0.1;

constexpr const char *AllRoutes = "";

} // namespace

void VersionEvaluator::update(const std::vector<TrialCount> &sums)
{
    std::map<Key, Counts> totals;
    for (const TrialCount &each : sums) {
        const auto add = [&](const std::string &route) {
            Counts &total = totals[{route, each.group}];
            total.answers += each.answers;
            total.bad += each.bad;
        };
        add(each.route);
        if (each.route != TrialCount::LoadRoute)
            add(AllRoutes);
    }
    // The counts of a daemon that left are missing from the sums: where a sum falls, this update is skipped.
    std::map<Key, Counts> news;
    for (const std::pair<const Key, Counts> &total : totals) {
        const Counts before = sums_[total.first];
        if (total.second.answers >= before.answers && total.second.bad >= before.bad)
            news[total.first] = {total.second.answers - before.answers, total.second.bad - before.bad};
    }
    sums_ = std::move(totals);
    std::set<std::string> routes;
    for (const std::pair<const Key, Counts> &each : news) {
        routes.insert(each.first.first);
        if (each.first.second == TrialCount::Others)
            updateBaseline(each.first.first, each.second);
    }
    const uint32_t worst = worstGroup();
    for (const std::string &route : routes) {
        double &score = scores_[route];
        // Only one endpoint is loaded, so no group is left out there.
        score = std::max(
            0.0, score + scoreStep(route, news, route == TrialCount::LoadRoute ? TrialCount::Others : worst));
        if (score >= BadScoreThreshold && !isBad_) {
            isBad_ = true;
            decidingRoute_ = route;
        }
    }
}

void VersionEvaluator::updateBaseline(const std::string &route, const Counts &news)
{
    Baseline &baseline = baselines_[route];
    const double kept = std::max(0.0, 1 - static_cast<double>(news.answers) / BaselineWindow);
    baseline.answers = baseline.answers * kept + static_cast<double>(news.answers);
    baseline.bad = baseline.bad * kept + static_cast<double>(news.bad);
}

double VersionEvaluator::scoreStep(const std::string &route, const std::map<Key, Counts> &news,
                                   uint32_t worst) const
{
    const auto found = baselines_.find(route);
    const Baseline usual = found == baselines_.end() ? Baseline{} : found->second;
    const double baselineBad
        = std::clamp((usual.bad + PriorGoodAnswers * MinBaselineBad) / (usual.answers + PriorGoodAnswers),
                     MinBaselineBad, MaxBaselineBad);
    const double excessBad = baselineBad + MinExcessBad * (1 - baselineBad);
    const double badWeight = std::log(excessBad / baselineBad);
    const double goodWeight = std::log((1 - excessBad) / (1 - baselineBad));
    double sum = 0;
    for (const std::pair<const Key, Counts> &each : news) {
        if (each.first.first != route || each.first.second == TrialCount::Others
            || each.first.second == worst)
            continue;
        const double good
            = static_cast<double>(each.second.answers - std::min(each.second.answers, each.second.bad));
        sum += std::min(static_cast<double>(each.second.bad) * badWeight + good * goodWeight, badWeight);
    }
    return sum;
}

// Returns the group with the most bad answers, or `Others` if no second group has answers.
uint32_t VersionEvaluator::worstGroup() const
{
    uint32_t worst = TrialCount::Others;
    uint64_t mostBad = 0;
    size_t groups = 0;
    for (uint32_t group = 0; group < TrialCount::Groups; ++group) {
        const auto found = sums_.find({AllRoutes, group});
        if (found == sums_.end() || found->second.answers == 0)
            continue;
        ++groups;
        if (found->second.bad > mostBad) {
            mostBad = found->second.bad;
            worst = group;
        }
    }
    return groups > 1 ? worst : TrialCount::Others;
}

VersionEvaluator::Counts VersionEvaluator::targetCounts(const std::string &route) const
{
    Counts out;
    for (uint32_t group = 0; group < TrialCount::Groups; ++group) {
        const auto found = sums_.find({route, group});
        if (found == sums_.end())
            continue;
        out.answers += found->second.answers;
        out.bad += found->second.bad;
    }
    return out;
}

bool VersionEvaluator::isProven() const
{
    const auto all = sums_.find({AllRoutes, TrialCount::Others});
    const double others = all == sums_.end() ? 0 : static_cast<double>(all->second.answers);
    const Counts target = targetCounts(AllRoutes);
    const double othersBad = all == sums_.end() || all->second.answers == 0
        ? 0
        : static_cast<double>(all->second.bad) / static_cast<double>(all->second.answers);
    if (target.answers < MinProvenAnswers
        || static_cast<double>(target.bad) / static_cast<double>(target.answers)
            > othersBad + MaxProvenExcessBad)
        return false;
    return std::all_of(sums_.begin(), sums_.end(), [&](const std::pair<const Key, Counts> &each) {
        const bool isSignificant = each.first.second == TrialCount::Others
            && static_cast<double>(each.second.answers) >= SignificantRouteShare * others;
        return !isSignificant || targetCounts(each.first.first).answers >= MinProvenRouteAnswers;
    });
}

VersionEvaluator::Figures VersionEvaluator::figures() const
{
    Figures out;
    out.route = decidingRoute_;
    for (const std::pair<const std::string, double> &score : scores_) {
        if (isBad_ ? score.first == decidingRoute_ : score.second >= out.score) {
            out.route = score.first;
            out.score = score.second;
        }
    }
    for (const std::pair<const Key, Counts> &each : sums_) {
        if (each.first.first != out.route)
            continue;
        const bool isOther = each.first.second == TrialCount::Others;
        (isOther ? out.othersAnswers : out.answers) += each.second.answers;
        (isOther ? out.othersBad : out.bad) += each.second.bad;
    }
    return out;
}

void addFigures(const VersionEvaluator::Figures &figures, boost::json::object &fields)
{
    fields["route"] = figures.route;
    fields["score"] = figures.score;
    fields["answers"] = figures.answers;
    fields["bad"] = figures.bad;
    fields["others_answers"] = figures.othersAnswers;
    fields["others_bad"] = figures.othersBad;
}

} // namespace cranberry
