#pragma once

#include "gateway/rollout/rollout.h"

#include <boost/json.hpp>
#include <deque>

namespace cranberry {

/// Evaluates a version on trial against the other versions, from the outcomes of requests at the same time
/// and on the same routes.
///
/// It is a sequential test (CUSUM: a cumulative sum of log-likelihood ratios, one for each route and one for
/// all routes). Each step compares two hypotheses for the newest answers: "a share of the answers is bad in
/// addition to the baseline" and "as many are bad as at the other versions". Old good answers do not
/// accumulate, so a version that turns bad late is found as soon as one that is bad from the start, and no
/// fixed number of answers is needed.
///
/// Endpoints also crash, fail and pause for reasons of their own, and fail all their running requests with
/// them. So the bad answers of one group of endpoints in one step count once, and the group with the most bad
/// answers is left out: a bad version is bad on all endpoints. Requests lost with the process of their
/// endpoint are evaluated apart from the answers, and only while the other versions lose fewer: processes of
/// all versions may crash for a common reason, which must neither accuse the target nor hide what it answers.
///
/// It works at any request rate; with few requests it takes longer.
class VersionEvaluator
{
public:
    /// Takes the sums over all daemons since the trial began. Call it at a regular interval.
    void update(const std::vector<TrialCount> &sums);

    bool isBad() const { return isBad_; }
    /// Returns whether there are enough answers in total and on each route with a significant share of the
    /// requests, and the share of bad ones is not clearly higher than at the other versions. The absence of
    /// an alarm alone is no proof.
    bool isProven() const;

    /// Figures behind the evaluation, for logs and operators.
    struct Figures {
        /// The deciding route, or the one with the highest score so far; empty: all routes.
        std::string route;
        double score = 0;
        uint64_t answers = 0; ///< Answers of the target on that route.
        uint64_t bad = 0;
        uint64_t othersAnswers = 0;
        uint64_t othersBad = 0;
    };
    Figures figures() const;

private:
    using Key = std::pair<std::string, uint32_t>; ///< Route (empty: all routes) and group.
    struct Counts {
        uint64_t answers = 0;
        uint64_t bad = 0;
    };
    /// Answers of the other versions as decaying sums.
    struct Baseline {
        double answers = 0;
        double bad = 0;
    };
    void updateBaseline(const std::string &route, const Counts &news);
    void updateLosses(const std::map<Key, Counts> &news, uint32_t worst);
    void addScore(const std::string &route, double step);
    double scoreStep(const std::string &route, const std::map<Key, Counts> &news, uint32_t worst) const;
    uint32_t worstGroup() const;
    Counts targetCounts(const std::string &route) const; ///< Sums over all groups of the target.

    std::map<Key, Counts> sums_;
    std::map<std::string, Baseline> baselines_;
    // Requests lost with their endpoints, as decaying sums.
    double targetLost_ = 0;
    double othersLost_ = 0;
    /// The target's requests and losses of the newest updates, by group: evaluated a while later.
    std::deque<std::vector<Counts>> recentLosses_;
    std::map<std::string, double> scores_;
    std::string decidingRoute_;
    bool isBad_ = false;
};

/// Adds the figures to the fields of a log event.
void addFigures(const VersionEvaluator::Figures &figures, boost::json::object &fields);

} // namespace cranberry
