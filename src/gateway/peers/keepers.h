#pragma once

#include "gateway/peers/memberentry.h"

#include <vector>

namespace cranberry {

/// Returns the first `count` daemons of the order in which they keep what belongs to the key: by rendezvous
/// hashing of their instances' names, each failure domain once before one of them comes a second time. The
/// order is the same at all daemons that list the same ones, also after restarts.
std::vector<const MemberEntry *> keepersOf(uint64_t key, const std::vector<const MemberEntry *> &among,
                                           size_t count);

} // namespace cranberry
