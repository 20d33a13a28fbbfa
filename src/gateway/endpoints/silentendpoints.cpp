#include "gateway/endpoints/silentendpoints.h"

namespace cranberry {

namespace {

/// Time between two probes of one path.
constexpr DurationMs ProbeInterval{600};

} // namespace

std::vector<SilentEndpoints::Path> SilentEndpoints::takeDueProbes(const std::set<Path> &silent, TimeMs now)
{
    std::erase_if(silent_, [&silent](const std::pair<const Path, Silence> &each) {
        return !silent.contains(each.first);
    });
    std::vector<Path> due;
    for (const Path &path : silent) {
        const auto [known, isNew] = silent_.try_emplace(path);
        if (!isNew && now - known->second.probedAt < ProbeInterval)
            continue;
        known->second.probedAt = now;
        due.push_back(path);
    }
    return due;
}

void SilentEndpoints::record(const Path &path, bool isReached)
{
    const auto found = silent_.find(path);
    if (found != silent_.end())
        found->second.reach = isReached ? Reach::Reached : Reach::Unreached;
}

SilentEndpoints::Reach SilentEndpoints::reachOf(const Path &path) const
{
    const auto found = silent_.find(path);
    return found == silent_.end() ? Reach::Unknown : found->second.reach;
}

} // namespace cranberry
