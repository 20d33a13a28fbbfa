#include "gateway/endpoints/silentendpoints.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Time between two probes of one path. It doubles while the path is reached: a probe leaves a connection
/// open for a while, and an endpoint that hangs has as many as daemons have streams there.
constexpr DurationMs ProbeInterval{600};
constexpr DurationMs MaxProbeInterval{4800};

} // namespace

std::vector<SilentEndpoints::Path> SilentEndpoints::takeDueProbes(const std::set<Path> &silent, TimeMs now)
{
    std::erase_if(silent_, [&silent](const std::pair<const Path, Silence> &each) {
        return !silent.contains(each.first);
    });
    std::vector<Path> due;
    for (const Path &path : silent) {
        Silence &silence = silent_[path];
        if (now < silence.nextProbeAt)
            continue;
        silence.interval = silence.reach == Reach::Reached ? std::min(silence.interval * 2, MaxProbeInterval)
                                                           : ProbeInterval;
        silence.nextProbeAt = now + silence.interval;
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
