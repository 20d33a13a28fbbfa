#include "gateway/peers/entrychoice.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Cores chosen per core in use: the chosen daemons are loaded to half at most, so that they absorb a burst
/// until the choice grows.
constexpr double CoresPerUsedCore = 2;
/// Of similar instances more are taken, because callers cache the addresses and a choice that is too small
/// has effect for long. All are taken up to this number, with which the daemons can still exchange load
/// reports several times a second; beyond it, only as many as keep the load at a quarter
/// (`SimilarCoresPerUsedCore`).
constexpr size_t MinSimilarEntries = 24;
constexpr double SimilarCoresPerUsedCore = 4;
/// An instance is similar to another one if it has at least this fraction of its cores.
constexpr double SimilarCoresRatio = 0.7;

/// Time for which the choices must differ before the role changes. While member lists still grow after a
/// start, a daemon that drops out of one choice is usually part of the next.
constexpr DurationMs ServeDelay{400};
constexpr DurationMs StandbyDelay{10000};

// Among instances of equal strength, serving daemons come first, so that the choice stays stable.
bool isBefore(const EntryCandidate &a, const EntryCandidate &b)
{
    if (a.cores != b.cores)
        return a.cores > b.cores;
    return a.serving != b.serving ? a.serving : a.address < b.address;
}

} // namespace

std::vector<Address> chooseEntries(std::vector<EntryCandidate> candidates, double coresUsed)
{
    std::sort(candidates.begin(), candidates.end(), isBefore);
    std::vector<Address> out;
    double cores = 0;
    double weakest = 0; // Cores of the weakest candidate taken.
    for (const EntryCandidate &candidate : candidates) {
        const bool isSimilar = candidate.cores >= SimilarCoresRatio * weakest;
        const size_t minCount = isSimilar ? MinSimilarEntries : MinEntries;
        const double wantedCores = (isSimilar ? SimilarCoresPerUsedCore : CoresPerUsedCore) * coresUsed;
        if (out.size() >= minCount && cores >= wantedCores)
            break;
        out.push_back(candidate.address);
        cores += candidate.cores;
        weakest = candidate.cores;
    }
    return out;
}

void ServingRole::recordChoice(bool chosen, TimeMs now)
{
    if (chosen == serves_) {
        differsSince_.reset();
        return;
    }
    if (!differsSince_)
        differsSince_ = now;
    if (now - *differsSince_ < (serves_ ? StandbyDelay : ServeDelay))
        return;
    serves_ = chosen;
    differsSince_.reset();
}

} // namespace cranberry
