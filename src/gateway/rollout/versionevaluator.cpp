#include "gateway/rollout/versionevaluator.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Min share of otherwise good answers that a bad version makes bad.
constexpr double LeastSpoiled = 0.25;
/// Score at which a version is bad: about one false alarm in e^7 independent evaluations.
constexpr double BadScore = 7;
/// The baseline is taken from about this number of the newest answers of the other versions...
constexpr double UsualMemory = 300;
/// ...and from this number of good answers assumed beforehand.
constexpr double AssumedGood = 20;
constexpr double LeastUsualBad = 0.02; ///< With a lower one a single bad answer would weigh too much.
constexpr double MostUsualBad = 0.9;
/// Min answers of the target in total, and on each significant route, that prove a version.
constexpr uint64_t ProvenAnswers = 40;
constexpr uint64_t ProvenAnswersOfRoute = 3;
/// A version whose share of bad answers exceeds that of the others by more than this is not proven, even
/// without an alarm.
constexpr double MostWorse = 0.12;
/// A route with a smaller share of the other versions' answers needs no proof of its own.
constexpr double NoticeablePart = 0.1;

constexpr const char *AllRoutes = "";

} // namespace

void VersionJudge::take(const std::vector<TrialCount> &sums)
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
            takeUsual(each.first.first, each.second);
    }
    const uint32_t worst = worstGroup();
    for (const std::string &route : routes) {
        double &score = scores_[route];
        // Only one endpoint is loaded, so no group is left out there.
        score = std::max(
            0.0, score + step(route, news, route == TrialCount::LoadRoute ? TrialCount::Others : worst));
        if (score >= BadScore && !isBad_) {
            isBad_ = true;
            decidedBy_ = route;
        }
    }
}

void VersionJudge::takeUsual(const std::string &route, const Counts &news)
{
    Usual &usual = usual_[route];
    const double kept = std::max(0.0, 1 - static_cast<double>(news.answers) / UsualMemory);
    usual.answers = usual.answers * kept + static_cast<double>(news.answers);
    usual.bad = usual.bad * kept + static_cast<double>(news.bad);
}

double VersionJudge::step(const std::string &route, const std::map<Key, Counts> &news, uint32_t worst) const
{
    const auto found = usual_.find(route);
    const Usual usual = found == usual_.end() ? Usual{} : found->second;
    const double usualBad
        = std::clamp((usual.bad + AssumedGood * LeastUsualBad) / (usual.answers + AssumedGood), LeastUsualBad,
                     MostUsualBad);
    const double spoiledBad = usualBad + LeastSpoiled * (1 - usualBad);
    const double ofBad = std::log(spoiledBad / usualBad);
    const double ofGood = std::log((1 - spoiledBad) / (1 - usualBad));
    double sum = 0;
    for (const std::pair<const Key, Counts> &each : news) {
        if (each.first.first != route || each.first.second == TrialCount::Others
            || each.first.second == worst)
            continue;
        const double good
            = static_cast<double>(each.second.answers - std::min(each.second.answers, each.second.bad));
        sum += std::min(static_cast<double>(each.second.bad) * ofBad + good * ofGood, ofBad);
    }
    return sum;
}

// Returns the group with the most bad answers, or `Others` if no second group has answers.
uint32_t VersionJudge::worstGroup() const
{
    uint32_t worst = TrialCount::Others;
    uint64_t most = 0;
    size_t groups = 0;
    for (uint32_t group = 0; group < TrialCount::Groups; ++group) {
        const auto found = sums_.find({AllRoutes, group});
        if (found == sums_.end() || found->second.answers == 0)
            continue;
        ++groups;
        if (found->second.bad > most) {
            most = found->second.bad;
            worst = group;
        }
    }
    return groups > 1 ? worst : TrialCount::Others;
}

VersionJudge::Counts VersionJudge::targetCounts(const std::string &route) const
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

bool VersionJudge::isProven() const
{
    const auto all = sums_.find({AllRoutes, TrialCount::Others});
    const double others = all == sums_.end() ? 0 : static_cast<double>(all->second.answers);
    const Counts target = targetCounts(AllRoutes);
    const double othersBad = all == sums_.end() || all->second.answers == 0
        ? 0
        : static_cast<double>(all->second.bad) / static_cast<double>(all->second.answers);
    if (target.answers < ProvenAnswers
        || static_cast<double>(target.bad) / static_cast<double>(target.answers) > othersBad + MostWorse)
        return false;
    return std::all_of(sums_.begin(), sums_.end(), [&](const std::pair<const Key, Counts> &each) {
        const bool isNoticeable = each.first.second == TrialCount::Others
            && static_cast<double>(each.second.answers) >= NoticeablePart * others;
        return !isNoticeable || targetCounts(each.first.first).answers >= ProvenAnswersOfRoute;
    });
}

VersionJudge::Figures VersionJudge::figures() const
{
    Figures out;
    out.route = decidedBy_;
    for (const std::pair<const std::string, double> &score : scores_) {
        if (isBad_ ? score.first == decidedBy_ : score.second >= out.score) {
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

void addFigures(const VersionJudge::Figures &figures, boost::json::object &fields)
{
    fields["route"] = figures.route;
    fields["score"] = figures.score;
    fields["answers"] = figures.answers;
    fields["bad"] = figures.bad;
    fields["others_answers"] = figures.othersAnswers;
    fields["others_bad"] = figures.othersBad;
}

} // namespace cranberry
