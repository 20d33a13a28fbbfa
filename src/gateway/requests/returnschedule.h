#pragma once

#include "gateway/serving.h"

namespace cranberry {

/// A refused request, in units of the limit or capacity that it lacks.
struct RefusedWork {
    double units = 0; ///< Of the request itself.
    /// Units that must become available before the request can be served even if no refused caller returns
    /// before it.
    double missing = 0;
    double unitsPerMs = 0; ///< Rate at which they become available to its organisation here; above 0.
    DurationMs remaining; ///< Time that its caller has left.
};

struct ReturnTime {
    DurationMs after;
    bool isUsable = false; ///< Within the time for which the caller waits, so it was reserved.
};

/// Gives refused callers of one organisation successive return times.
///
/// Callers wait as instructed for up to a third of their remaining time, and return once. Callers that are
/// all told the same time return together, and most of them are refused again. So each return time lies after
/// the previous one by the time in which the units of the request become available. A caller that cannot use
/// its return time reserves nothing. Return times reserve units against other refused callers only, not
/// against new requests: a request that finds units is served.
class ReturnSchedule
{
public:
    /// Returns when the caller shall return. `earliest` is the shortest time given; `jitter` is added to the
    /// first of successive times, so that callers of different daemons don't return together.
    ReturnTime next(const OrganisationName &organisation, const RefusedWork &work, DurationMs earliest,
                    DurationMs jitter, TimeMs now);
    /// Drops the state of organisations that are not in the configuration, and of return times that passed.
    void retain(const ServingConfiguration &configuration, TimeMs now);
    size_t size() const { return lastReturnMs_.size(); }

private:
    std::map<OrganisationName, double> lastReturnMs_; ///< Latest return time that was given.
};

} // namespace cranberry
