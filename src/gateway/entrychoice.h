#pragma once

#include "types.h"

#include <vector>

namespace cranberry {

/// A daemon that callers could be sent to.
struct EntryCandidate {
    Address address;
    double cores = 1; ///< Of its instance, as far as it may use them.
};

/// The daemons that callers are told to use, out of those that are ready.
///
/// All, where instances are alike. Where some are several times as strong as others, only the strongest
/// classes that carry the load to spare: callers pick among the addresses evenly, and would load a
/// weak instance as much as a strong one. Fewer daemons also keep more connections to endpoints in use, and
/// know better what these hold.
std::vector<Address> chooseEntries(std::vector<EntryCandidate> candidates, double coresUsed);

} // namespace cranberry
