#pragma once

#include "common/types.h"

#include <map>
#include <optional>
#include <vector>

namespace cranberry {

/// How many requests an endpoint can reject for lack of room in one second before it crashes, as far as this
/// daemon knows. Of one incarnation.
class Brittleness
{
public:
    /// Updates it from an answer to an attempt that was sent at `sentAt`; `stated` is empty if the answer
    /// states none. A few such answers in a row end it: a single one may have been sent before.
    /// Returns true if it changed.
    bool updateFromAnswer(std::optional<uint32_t> stated, TimeMs sentAt, TimeMs now);
    bool isBrittle() const { return maxRejections_.has_value(); }
    std::optional<uint32_t> maxRejections() const { return maxRejections_; } ///< Per second, of all daemons.

    /// Records a rejection. The daemon sends the endpoint nothing for a time that doubles with each further
    /// rejection, until those of all `daemons` together stay below the maximum.
    void rejected(size_t daemons, uint32_t maxRejections, TimeMs now);
    void accepted() { rejectionsInRow_ = 0; }
    bool isHeld(TimeMs now) const { return now < heldUntil_; }

private:
    std::optional<uint32_t> maxRejections_;
    TimeMs statedAt_;
    uint32_t answersWithout_ = 0;
    uint32_t rejectionsInRow_ = 0;
    TimeMs heldUntil_;
};

/// Divides the slots of a brittle service among the serving daemons.
///
/// Each daemon sees only part of the others' newest requests. If each of them filled the room that it sees,
/// an endpoint would have to reject many requests at once. All daemons with the same view of daemons and
/// endpoints calculate the same shares, which add up to the slots.
class RoomShares
{
public:
    /// `daemons` are the serving daemons, `slots` the service's endpoints (by name) with their slots.
    static RoomShares of(std::vector<Incarnation> daemons, Incarnation self,
                         const std::map<std::string, uint32_t> &slots);
    /// Returns the number of the endpoint's slots that this daemon may use.
    uint32_t at(const std::string &endpoint) const;

private:
    std::map<std::string, uint32_t> shares_;
};

} // namespace cranberry
