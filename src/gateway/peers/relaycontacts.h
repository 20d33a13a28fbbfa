#pragma once

#include "common/types.h"

#include <map>
#include <vector>

namespace cranberry {

/// Tells whether the daemons that carry attempts for this one still do anything.
///
/// The connection to a daemon that is frozen or has lost power stays open, and what it carries neither ends
/// nor goes on. Its reports are missed only after seconds, so a relay that has sent nothing for a while is
/// probed.
class RelayContacts
{
public:
    /// Records that the relay sent something, or answered a probe.
    void heard(const Address &relay, TimeMs now);
    /// Returns whether the relay is silent. It is not if it sent something since the probe was sent.
    bool probeFailed(const Address &relay, TimeMs now);
    /// The newest probe failed, and nothing was heard since.
    bool isSilent(const Address &relay) const;
    /// Returns the relays to be probed now: those that have sent nothing since the given time, at which the
    /// oldest open attempt was sent, and silent ones until they are heard. Counts as probed.
    std::vector<Address> takeDueProbes(const std::map<Address, TimeMs> &oldestSent, TimeMs now);

private:
    struct Contact {
        TimeMs heardAt;
        TimeMs probedAt;
        TimeMs silentSince; ///< 0: not silent.
    };
    std::map<Address, Contact> contacts_;
};

} // namespace cranberry
