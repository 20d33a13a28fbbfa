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

/// Usual share of requests lost with their process, and the min share that a version loses which crashes its
/// processes: each of them takes other requests along.
constexpr double UsualLost = 0.005;
constexpr double MinExcessLost = 0.1;
/// The other versions' losses of about this number of the newest updates count.
constexpr double LossUpdates = 20;
/// Losses of the target are evaluated when the daemons' reports on a common crash have arrived.
constexpr size_t LossDelayUpdates = 4;
constexpr const char *AllRoutes = "";

/// Returns the log-likelihood ratio of answers of one group: a bad one counts as much as all that failed with
/// it.
double groupScore(uint64_t answers, uint64_t bad, double baselineBad, double minExcess)
{
    const double excessBad = baselineBad + minExcess * (1 - baselineBad);
    const double badWeight = std::log(excessBad / baselineBad);
    const double goodWeight = std::log((1 - excessBad) / (1 - baselineBad));
    const double good = static_cast<double>(answers - std::min(answers, bad));
    return std::min(static_cast<double>(bad) * badWeight + good * goodWeight, badWeight);
}

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
        if (each.route != TrialCount::LoadRoute && each.route != TrialCount::LostRoute)
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
        if (each.first.first == TrialCount::LostRoute)
            continue;
        routes.insert(each.first.first);
        if (each.first.second == TrialCount::Others)
            updateBaseline(each.first.first, each.second);
    }
    const uint32_t worst = worstGroup();
    for (const std::string &route : routes) {
        // Only one endpoint is loaded, so no group is left out there.
        const bool isLoad = route == TrialCount::LoadRoute;
        addScore(route, scoreStep(route, news, isLoad ? TrialCount::Others : worst));
    }
    updateLosses(news, worst);
}

void VersionEvaluator::addScore(const std::string &route, double step)
{
    double &score = scores_[route];
    score = std::max(0.0, score + step);
    if (score >= BadScoreThreshold && !isBad_) {
        isBad_ = true;
        decidingRoute_ = route;
    }
}

void VersionEvaluator::updateLosses(const std::map<Key, Counts> &news, uint32_t worst)
{
    const auto lossesOf = [&news](uint32_t group) {
        Counts out;
        if (const auto all = news.find({AllRoutes, group}); all != news.end())
            out.answers = all->second.answers;
        if (const auto lost = news.find({TrialCount::LostRoute, group}); lost != news.end())
            out.bad = lost->second.bad;
        out.answers += out.bad;
        return out;
    };
    uint64_t lost = 0;
    std::vector<Counts> groups;
    for (uint32_t group = 0; group < TrialCount::Groups; ++group) {
        const Counts losses = lossesOf(group);
        lost += losses.bad;
        if (group != worst)
            groups.push_back(losses);
    }
    targetLost_ = targetLost_ * (1 - 1 / LossUpdates) + static_cast<double>(lost);
    othersLost_ = othersLost_ * (1 - 1 / LossUpdates) + static_cast<double>(lossesOf(TrialCount::Others).bad);
    recentLosses_.push_back(std::move(groups));
    if (recentLosses_.size() <= LossDelayUpdates)
        return;
    double step = 0;
    for (const Counts &each : recentLosses_.front())
        step += groupScore(each.answers, each.bad, UsualLost, MinExcessLost);
    recentLosses_.pop_front();
    // While the others lose as many, the cause is a common one.
    if (targetLost_ > othersLost_)
        addScore(TrialCount::LostRoute, step);
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
    double sum = 0;
    for (const std::pair<const Key, Counts> &each : news) {
        if (each.first.first == route && each.first.second != TrialCount::Others
            && each.first.second != worst)
            sum += groupScore(each.second.answers, each.second.bad, baselineBad, MinExcessBad);
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
        const auto all = sums_.find({AllRoutes, group});
        const auto lost = sums_.find({TrialCount::LostRoute, group});
        const uint64_t losses = lost == sums_.end() ? 0 : lost->second.bad;
        const Counts answered = all == sums_.end() ? Counts{} : all->second;
        if (answered.answers + losses == 0)
            continue;
        ++groups;
        if (answered.bad + losses > mostBad) {
            mostBad = answered.bad + losses;
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
    const auto shareBad = [](const Counts &answered, uint64_t losses) {
        const double requests = static_cast<double>(answered.answers + losses);
        return requests == 0 ? 0 : static_cast<double>(answered.bad + losses) / requests;
    };
    const auto lost = sums_.find({TrialCount::LostRoute, TrialCount::Others});
    const double othersBad
        = shareBad(all == sums_.end() ? Counts{} : all->second, lost == sums_.end() ? 0 : lost->second.bad);
    const double targetBad = shareBad(target, targetCounts(TrialCount::LostRoute).bad);
    if (target.answers < MinProvenAnswers || targetBad > othersBad + MaxProvenExcessBad)
        return false;
    return std::all_of(sums_.begin(), sums_.end(), [&](const std::pair<const Key, Counts> &each) {
        const bool isSignificant = each.first.second == TrialCount::Others
            && each.first.first != TrialCount::LostRoute
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
