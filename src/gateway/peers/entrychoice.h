#pragma once

#include "common/clock.h"
#include "common/types.h"

#include <optional>
#include <vector>

namespace cranberry {

/// Minimum number of daemons that callers are sent to, if there are that many. It bounds the share of the
/// streams that the loss of one daemon costs.
constexpr size_t MinEntries = 8;

/// A daemon that may be advertised to callers.
struct EntryCandidate {
    Address address;
    double cores = 1; ///< Cores of its instance that the daemon may use.
    bool serving = false; ///< The daemon is currently advertised to callers.
};

/// Selects the addresses advertised to callers from the daemons that are ready.
///
/// Takes the instances with the most cores until they carry the load with capacity to spare: callers pick an
/// address uniformly, so a weak instance would get as much load as a strong one. Instances of similar
/// strength are all taken while they are few. Fewer daemons also reuse more connections to endpoints, know
/// better what these cache, and hold more of each limit in one place. All daemons that know the same
/// candidates make the same choice.
std::vector<Address> chooseEntries(std::vector<EntryCandidate> candidates, double coresUsed);

/// Decides from the choices of the last seconds whether this daemon serves or is on standby.
///
/// It starts to serve after two equal choices in a row, since the first member lists after a start are
/// incomplete. It stops only after a longer time: callers cache the addresses for a while, and a daemon that
/// starts to serve has no share of the limits and does not know what the endpoints cache.
class ServingRole
{
public:
    /// Records a choice that this daemon made or received from a peer.
    void recordChoice(bool chosen, TimeMs now);
    bool serves() const { return serves_; }

private:
    bool serves_ = false;
    std::optional<TimeMs> differsSince_; ///< Time since which the choices differ from `serves_`.
};

} // namespace cranberry
