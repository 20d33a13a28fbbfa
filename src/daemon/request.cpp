#include "daemon/request.h"

#include "daemon/safeguards.h"

#include <algorithm>

namespace cranberry {

RequestDigest digestOf(const RequestSpec &spec)
{
    return digestOf(spec.organisation, spec.service.value + "/" + spec.path, spec.body);
}

// Prevents mixed answers: the owner crashes, the witness runs the request again, and a caller that holds half
// of the first text would resume in the second, which yields an answer that no engine generated. Cutting at
// the earliest branch after the caller's lineage is sufficient, because generations share their text up to
// the branch. Lineages are random numbers, so two daemons that both take over a request never share one.
uint64_t commonOffset(const std::vector<Branch> &branches, uint64_t lineage, uint64_t offset)
{
    if (!isOn(Safeguard::ResumeAtCommonText))
        return offset;
    auto known = std::find_if(branches.begin(), branches.end(),
                              [lineage](const Branch &branch) { return branch.lineage == lineage; });
    if (known == branches.end() && lineage != 0)
        return 0;
    auto next = known == branches.end() ? branches.begin() : known + 1;
    for (; next != branches.end(); ++next)
        offset = std::min(offset, next->offset);
    return offset;
}

} // namespace cranberry
