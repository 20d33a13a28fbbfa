#include "gateway/endpoints/brittleness.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr uint32_t AnswersToEnd = 3;
/// The daemons that know use one part in this many of the allowed rejections; the rest is for the others.
constexpr int64_t RejectionDivisor = 2;
constexpr DurationMs MinHold{250};
constexpr uint32_t MaxDoublings = 10;

} // namespace

bool Brittleness::updateFromAnswer(std::optional<uint32_t> stated, TimeMs sentAt, TimeMs now)
{
    if (stated) {
        statedAt_ = now;
        answersWithout_ = 0;
        const bool changed = maxRejections_ != stated;
        maxRejections_ = stated;
        return changed;
    }
    if (!maxRejections_ || sentAt <= statedAt_ || ++answersWithout_ < AnswersToEnd)
        return false;
    maxRejections_.reset();
    return true;
}

void Brittleness::rejected(size_t daemons, uint32_t maxRejections, TimeMs now)
{
    const int64_t perSecond = std::max<int64_t>(maxRejections, 1);
    const DurationMs longest{1000 * RejectionDivisor * static_cast<int64_t>(daemons) / perSecond};
    const DurationMs hold = MinHold * (int64_t{1} << std::min(rejectionsInRow_, MaxDoublings));
    ++rejectionsInRow_;
    heldUntil_ = now + std::min(hold, std::max(longest, MinHold));
}

// Slots are counted through all endpoints and dealt to the daemons in turn, so that each has its part even
// where an endpoint has fewer slots than there are daemons. With fewer slots than daemons in all, some have
// none; they get one slot that another daemon has, too.
RoomShares RoomShares::of(std::vector<Incarnation> daemons, Incarnation self,
                          const std::map<std::string, uint32_t> &slots)
{
    RoomShares out;
    std::sort(daemons.begin(), daemons.end());
    const auto own = std::find(daemons.begin(), daemons.end(), self);
    const uint64_t count = std::max<uint64_t>(daemons.size(), 1);
    const uint64_t index = static_cast<uint64_t>(own - daemons.begin());
    uint64_t total = 0;
    for (const std::pair<const std::string, uint32_t> &each : slots)
        total += each.second;
    const uint64_t position = total == 0 ? index : total < count ? index % total : index;
    uint64_t begin = 0;
    for (const std::pair<const std::string, uint32_t> &each : slots) {
        const uint64_t end = begin + each.second;
        // Numbers in [begin, end) that leave `position` when divided by `count`.
        const auto below
            = [&](uint64_t limit) { return limit > position ? (limit - position - 1) / count + 1 : 0; };
        out.shares_[each.first] = static_cast<uint32_t>(below(end) - below(begin));
        begin = end;
    }
    return out;
}

uint32_t RoomShares::at(const std::string &endpoint) const
{
    const auto found = shares_.find(endpoint);
    return found == shares_.end() ? 0 : found->second;
}

} // namespace cranberry
