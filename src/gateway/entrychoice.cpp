#include "gateway/entrychoice.h"

#include <algorithm>

namespace cranberry {

namespace {

/// The chosen ones are used to half at most, so that they carry a burst until the choice grows. What is
/// measured counts too much: the standby of the others, about 0.01 of a core each, does not move with
/// callers.
constexpr double CoresForEachUsed = 2;
/// Never fewer: the loss of one daemon costs its share of the streams.
constexpr size_t LeastEntries = 8;
/// Instances of this part of another one's strength count as its like: then all are taken or none.
constexpr double LikePart = 0.7;

} // namespace

std::vector<Address> chooseEntries(std::vector<EntryCandidate> candidates, double coresUsed)
{
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const EntryCandidate &a, const EntryCandidate &b) { return a.cores > b.cores; });
    std::vector<Address> out;
    double cores = 0;
    double weakest = 0; // Of those taken.
    for (const EntryCandidate &candidate : candidates) {
        const bool enough = out.size() >= LeastEntries && cores >= CoresForEachUsed * coresUsed;
        if (enough && candidate.cores < LikePart * weakest)
            break;
        out.push_back(candidate.address);
        cores += candidate.cores;
        weakest = candidate.cores;
    }
    return out;
}

} // namespace cranberry
