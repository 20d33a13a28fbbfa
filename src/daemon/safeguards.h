#pragma once

#include <cstdint>

namespace cranberry {

/// Every safeguard that a test can take out, to show that the check behind it can fail.
enum class Safeguard : uint8_t {
    RegisterBeforeDispatch, ///< Keyed work is dispatched only under a grant.
    NoResendAfterSend, ///< Non-idempotent work is not repeated once a byte may have left.
    RefusalIsWritten, ///< "Not run" for a key is recorded before it is told.
    SealBeforeMove, ///< A register that moved never grants again.
    MoveOnlyFromHolder, ///< A grant moves only from the daemon that holds it.
    LeavingMarks, ///< Marks keep new work away from leaving endpoints.
    RevisionOnlyGrows, ///< An older configuration never replaces a newer one.
    WitnessBeforeAccept, ///< A request is accepted only once its copy is held elsewhere.
    HandoverOnReclaim, ///< A reclaimed entry moves what it can't finish.
    CutAtBranch, ///< A resumed answer starts where the texts still agree.
    ConfirmBeforeAccepted, ///< "Accepted" waits for other failure domains.
    ReadBackLostAnswer, ///< A configuration write without an answer is read back.
    Count
};

#ifdef CRANBERRY_SAFEGUARD_SWITCHES
bool isOn(Safeguard safeguard);
void setSafeguard(Safeguard safeguard, bool on);
#else
constexpr bool isOn(Safeguard)
{
    return true;
}
#endif

} // namespace cranberry
