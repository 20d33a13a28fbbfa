#pragma once

#include "gateway/rollout/rollout.h"

#include <boost/json.hpp>

namespace cranberry {

/// Judges a version under trial against the others, from what became of requests at the same time and on the
/// same routes.
///
/// A sequential test (a cumulative sum of log likelihood ratios, one for each route and one for all): after
/// each step it weighs how much better "a part of the answers is bad beyond the usual" explains the newest
/// answers than "as many are bad as at the others". It forgets good answers of long ago, so a version that
/// turns bad late is found as soon as one that is bad from the start, and it needs no fixed number of
/// answers.
///
/// Endpoints also crash, fail and stand still for reasons of their own, and take all requests that they had
/// with them. So bad answers of one group of endpoints in one step count once, and the group with the most is
/// left out: a bad version is bad everywhere.
///
/// Load it answers: any; with few requests it takes longer.
class VersionJudge
{
public:
    /// Sums over all daemons since the trial began. Call it at a steady pace.
    void take(const std::vector<TrialCount> &sums);

    bool isBad() const { return isBad_; }
    /// There were enough answers on each route that a noticeable part of the requests takes, and not clearly
    /// more of them bad than elsewhere: the absence of an alarm alone is no proof.
    bool isProven() const;

    /// What the judgement rests on.
    struct Figures {
        std::string route; ///< That decided, or has the highest score so far; empty: all together.
        double score = 0;
        uint64_t answers = 0; ///< Of the target on that route.
        uint64_t bad = 0;
        uint64_t othersAnswers = 0;
        uint64_t othersBad = 0;
    };
    Figures figures() const;

private:
    using Key = std::pair<std::string, uint32_t>; ///< Route (empty: all) and group.
    struct Counts {
        uint64_t answers = 0;
        uint64_t bad = 0;
    };
    /// Answers of the others, as moving sums.
    struct Usual {
        double answers = 0;
        double bad = 0;
    };
    void takeUsual(const std::string &route, const Counts &news);
    double step(const std::string &route, const std::map<Key, Counts> &news, uint32_t worst) const;
    uint32_t worstGroup() const;
    Counts targetCounts(const std::string &route) const; ///< Of all groups of the target.

    std::map<Key, Counts> sums_;
    std::map<std::string, Usual> usual_;
    std::map<std::string, double> scores_;
    std::string decidedBy_;
    bool isBad_ = false;
};

/// Adds the figures to a line of the log.
void addFigures(const VersionJudge::Figures &figures, boost::json::object &fields);

} // namespace cranberry
