#pragma once

#include "gateway/gatewayevents.h"

namespace cranberry {

/// A member's entry as text, and back. Nothing is returned for text that is no member's.
std::string memberText(const MemberEntry &member);
std::optional<MemberEntry> memberFromText(const std::string &instance, const std::string &text);

/// The order in which daemons are preferred where strength counts: all daemons order alike.
bool isStronger(const MemberEntry &a, const MemberEntry &b);

/// Members that daemons which ask are told: those that serve, or the strongest while none does. The others
/// come and go unnoticed: with hundreds of them each change would make all read the store.
std::vector<MemberEntry> toldMembers(const std::vector<MemberEntry> &members);

/// Of what daemons tell each other of the shared keys: version of the configuration, members as told, leader.
uint64_t digestOfShared(uint64_t version, const std::vector<MemberEntry> &members, const LeaderEntry &leader);

/// The instance that a leader's entry names; empty if it names none.
InstanceName holderOf(const LeaderEntry &leader);

} // namespace cranberry
