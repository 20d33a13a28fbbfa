#include "daemon/safeguards.h"

#ifdef CRANBERRY_SAFEGUARD_SWITCHES

#include <array>
#include <cstddef>

namespace cranberry {

namespace {

std::array<bool, static_cast<std::size_t>(Safeguard::Count)> disabledSafeguards = {};

} // namespace

bool isOn(Safeguard safeguard)
{
    return !disabledSafeguards[static_cast<std::size_t>(safeguard)];
}

void setSafeguard(Safeguard safeguard, bool on)
{
    disabledSafeguards[static_cast<std::size_t>(safeguard)] = !on;
}

} // namespace cranberry

#endif
