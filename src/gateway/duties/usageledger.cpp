#include "gateway/duties/usageledger.h"

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

/// Windows that are kept, in case the clocks of the daemons jump forward and back.
constexpr int64_t KeptWindows = 8;
/// Counts of windows that begin later than this many from now come from a wrong clock.
constexpr int64_t MaxWindowsAhead = 2;

} // namespace

void UsageLedger::count(const OrganisationName &organisation, TimeMs beganAt)
{
    const int64_t window = windowAt(beganAt);
    changed_[window][organisation] = ++counts_[self_][window][organisation];
    ++version_;
    forgetBefore(window - KeptWindows);
}

void UsageLedger::merge(const UsageCounts &counts, Source source, TimeMs now)
{
    const int64_t newest = windowAt(now) + MaxWindowsAhead;
    forgetBefore(windowAt(now) - KeptWindows);
    for (const std::pair<const Incarnation, WindowCounts> &daemon : counts) {
        if (daemon.first == self_)
            continue;
        if (source == Source::Keeping)
            kept_.insert(daemon.first);
        WindowCounts &known = counts_[daemon.first];
        for (const WindowCounts::value_type &window : daemon.second) {
            if (window.first < oldest_ || window.first > newest)
                continue;
            for (const std::pair<const OrganisationName, uint64_t> &count : window.second) {
                uint64_t &highest = known[window.first][count.first];
                version_ += count.second > highest ? 1 : 0;
                highest = std::max(highest, count.second);
            }
        }
    }
}

std::map<OrganisationName, uint64_t> UsageLedger::sums(int64_t window) const
{
    std::map<OrganisationName, uint64_t> out;
    for (const std::pair<const Incarnation, WindowCounts> &daemon : counts_) {
        const auto found = daemon.second.find(window);
        if (found == daemon.second.end())
            continue;
        for (const std::pair<const OrganisationName, uint64_t> &count : found->second)
            out[count.first] += count.second;
    }
    return out;
}

UsageCounts UsageLedger::since(int64_t window) const
{
    UsageCounts out;
    for (const std::pair<const Incarnation, WindowCounts> &daemon : counts_) {
        const WindowCounts newer(daemon.second.lower_bound(window), daemon.second.end());
        if (!newer.empty())
            out.emplace(daemon.first, newer);
    }
    return out;
}

UsageCounts UsageLedger::keptSince(int64_t window) const
{
    UsageCounts out = since(window);
    std::erase_if(out, [this](const std::pair<const Incarnation, WindowCounts> &daemon) {
        return !kept_.contains(daemon.first);
    });
    return out;
}

const WindowCounts &UsageLedger::own() const
{
    static const WindowCounts none;
    const auto found = counts_.find(self_);
    return found == counts_.end() ? none : found->second;
}

UsageCounts UsageLedger::takeChanged()
{
    UsageCounts out;
    if (!changed_.empty())
        out.emplace(self_, std::exchange(changed_, {}));
    return out;
}

void UsageLedger::forgetBefore(int64_t window)
{
    if (window == oldest_)
        return;
    // It also goes back: a clock that was far ahead must not keep counts out for good.
    oldest_ = window;
    for (std::pair<const Incarnation, WindowCounts> &daemon : counts_)
        daemon.second.erase(daemon.second.begin(), daemon.second.lower_bound(window));
    std::erase_if(counts_, [](const std::pair<const Incarnation, WindowCounts> &daemon) {
        return daemon.second.empty();
    });
    std::erase_if(kept_, [this](Incarnation daemon) { return !counts_.contains(daemon); });
}

} // namespace cranberry
