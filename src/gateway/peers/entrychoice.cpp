#include "gateway/peers/entrychoice.h"

#include <algorithm>

namespace cranberry {

namespace {

/// The chosen ones are used to half at most, so that they carry a burst until the choice grows.
constexpr double CoresForEachUsed = 2;
/// Of instances that are alike more are taken: callers keep their answers for a while, so a choice that is
/// too small is felt for long. All of them, up to a number that can tell each other of their load several
/// times a second; above that, those that are used to a quarter.
constexpr size_t LikeEntries = 24;
constexpr double LikeCoresForEachUsed = 4;
/// Instances of this part of another one's strength count as its like.
constexpr double LikePart = 0.7;

/// Between two choices the lists of a start grow; a daemon that falls out of one choice is needed in the next
/// one more often than not.
constexpr DurationMs ServesAfter{400};
constexpr DurationMs StandsByAfter{10000};

// Those that serve by now go first among alike ones, so that the choice stays as it is.
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
    double weakest = 0; // Of those taken.
    for (const EntryCandidate &candidate : candidates) {
        const bool isLike = candidate.cores >= LikePart * weakest;
        const size_t least = isLike ? LikeEntries : LeastEntries;
        const double wanted = (isLike ? LikeCoresForEachUsed : CoresForEachUsed) * coresUsed;
        if (out.size() >= least && cores >= wanted)
            break;
        out.push_back(candidate.address);
        cores += candidate.cores;
        weakest = candidate.cores;
    }
    return out;
}

void ServingRole::note(bool chosen, TimeMs now)
{
    if (chosen == serves_) {
        otherSince_.reset();
        return;
    }
    if (!otherSince_)
        otherSince_ = now;
    if (now - *otherSince_ < (serves_ ? StandsByAfter : ServesAfter))
        return;
    serves_ = chosen;
    otherSince_.reset();
}

} // namespace cranberry
