#pragma once

#include "common/clock.h"
#include "common/types.h"

#include <optional>
#include <vector>

namespace cranberry {

/// Callers are sent to so many daemons at least, if there are so many: the loss of one costs its share of the
/// streams.
constexpr size_t LeastEntries = 8;

/// A daemon that callers could be sent to.
struct EntryCandidate {
    Address address;
    double cores = 1; ///< Of its instance, as far as it may use them.
    bool serving = false; ///< Callers are sent to it by now.
};

/// The daemons that callers are told to use, out of those that are ready.
///
/// The strongest classes of instances that carry the load to spare: callers pick among the addresses evenly,
/// and would load a weak instance as much as a strong one. Of a class all, as long as these are few. Fewer
/// daemons also keep more connections to endpoints in use, know better what these hold, and have more of each
/// limit in one place. All daemons that know the same candidates choose the same.
std::vector<Address> chooseEntries(std::vector<EntryCandidate> candidates, double coresUsed);

/// Whether this daemon is one of those that serve, from the choices of the last seconds.
///
/// Becoming one takes two choices in a row, since the first lists after a start are not whole. Giving up
/// takes longer: callers keep their answers for a while, and a new one has no limits in hand and knows
/// nothing of what endpoints hold.
class ServingRole
{
public:
    /// A choice was made, or told by another daemon.
    void note(bool chosen, TimeMs now);
    bool serves() const { return serves_; }

private:
    bool serves_ = false;
    std::optional<TimeMs> otherSince_; ///< The choices differ from `serves_` since then.
};

} // namespace cranberry
