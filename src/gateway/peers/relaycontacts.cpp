#include "gateway/peers/relaycontacts.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Plain requests are mostly answered within this time.
constexpr DurationMs SilenceBeforeProbe{400};
/// Shorter than the time for which a relay that failed is avoided, so that a silent one gets no attempts.
constexpr DurationMs ProbeInterval{700};
/// A relay that has been silent for longer is no longer probed. If it is still listed, the next attempt
/// there finds out again.
constexpr DurationMs MaxProbedSilence{10'000};

} // namespace

void RelayContacts::heard(const Address &relay, TimeMs now)
{
    Contact &contact = contacts_[relay];
    contact.heardAt = now;
    contact.silentSince = {};
}

bool RelayContacts::probeFailed(const Address &relay, TimeMs now)
{
    Contact &contact = contacts_[relay];
    if (contact.heardAt > contact.probedAt)
        return false;
    if (contact.silentSince.count == 0)
        contact.silentSince = now;
    return true;
}

bool RelayContacts::isSilent(const Address &relay) const
{
    const auto found = contacts_.find(relay);
    return found != contacts_.end() && found->second.silentSince.count != 0;
}

std::vector<Address> RelayContacts::takeDueProbes(const std::map<Address, TimeMs> &oldestSent, TimeMs now)
{
    for (const std::pair<const Address, TimeMs> &each : oldestSent)
        contacts_.try_emplace(each.first);
    std::erase_if(contacts_, [&](const std::pair<const Address, Contact> &each) {
        const Contact &contact = each.second;
        return contact.silentSince.count != 0 ? now - contact.silentSince > MaxProbedSilence
                                              : !oldestSent.contains(each.first);
    });
    std::vector<Address> due;
    for (std::pair<const Address, Contact> &each : contacts_) {
        Contact &contact = each.second;
        const auto sent = oldestSent.find(each.first);
        const bool isQuiet
            = sent != oldestSent.end() && now - std::max(sent->second, contact.heardAt) >= SilenceBeforeProbe;
        if ((!isQuiet && contact.silentSince.count == 0) || now - contact.probedAt < ProbeInterval)
            continue;
        contact.probedAt = now;
        due.push_back(each.first);
    }
    return due;
}

} // namespace cranberry
