#include "gateway/peers/keepers.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace cranberry {

namespace {

/// Members among which the keepers' failure domains are chosen.
constexpr size_t CandidatesPerKeeper = 8;

} // namespace

std::vector<const MemberEntry *> keepersOf(uint64_t key, const std::vector<const MemberEntry *> &among,
                                           size_t count)
{
    std::vector<std::pair<uint64_t, const MemberEntry *>> ranked;
    ranked.reserve(among.size());
    for (const MemberEntry *member : among) {
        const std::string &name = member->instance.value;
        ranked.emplace_back(XXH3_64bits_withSeed(name.data(), name.size(), key), member);
    }
    const size_t kept = std::min(ranked.size(), count * CandidatesPerKeeper);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end());
    ranked.resize(kept);
    std::vector<const MemberEntry *> out;
    while (out.size() < count && !ranked.empty()) {
        std::set<FailureDomainName> chosen;
        std::erase_if(ranked, [&](const std::pair<uint64_t, const MemberEntry *> &each) {
            if (out.size() == count || !chosen.insert(each.second->failureDomain).second)
                return false;
            out.push_back(each.second);
            return true;
        });
    }
    return out;
}

} // namespace cranberry
