#pragma once

#include "gateway/gatewayevents.h"

namespace cranberry {

/// Converts a member's entry to the text stored for it and back. Returns nothing for text that is not a valid
/// entry.
std::string memberText(const MemberEntry &member);
std::optional<MemberEntry> memberFromText(const std::string &instance, const std::string &text);

/// Orders members by cores, then by incarnation. All daemons use the same order.
bool ranksBefore(const MemberEntry &a, const MemberEntry &b);

/// Members that are sent to daemons that query this one: those that serve, or the ones with the most cores
/// while none serves. Changes among the others are not announced: with hundreds of standby daemons, each
/// change would make all of them read the store.
std::vector<MemberEntry> advertisedMembers(const std::vector<MemberEntry> &members);

/// Digest of the shared keys that daemons exchange: configuration version, advertised members and leader.
uint64_t sharedStateDigest(uint64_t version, const std::vector<MemberEntry> &members,
                           const LeaderEntry &leader);

/// Returns the instance that a leader's entry names, or an empty name if it names none.
InstanceName leaderInstance(const LeaderEntry &leader);

} // namespace cranberry
