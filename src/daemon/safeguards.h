#pragma once

#include <cstdint>

namespace cranberry {

/// Safeguards that a test build can disable, to show that the test of each one fails without it.
enum class Safeguard : uint8_t {
    RegisterBeforeDispatch, ///< Dispatches a request with a key only under a grant of its register.
    NoResendAfterSend, ///< Never retries a non-idempotent request once a byte may have been sent.
    RecordRefusalBeforeReply, ///< Records "not run" for a key before reporting it to the caller.
    SealBeforeTransfer, ///< A register that was transferred never grants again.
    TransferOnlyFromHolder, ///< Transfers a grant only on behalf of the daemon that holds it.
    AvoidLeavingEndpoints, ///< Selects no endpoint whose instance is marked as leaving.
    MonotonicRevision, ///< An older configuration never replaces a newer one.
    WitnessBeforeAccept, ///< Accepts a request only after another daemon holds its copy.
    HandoverOnReclaim, ///< A daemon on a reclaimed instance hands over unfinished requests.
    ResumeAtCommonText, ///< Resumes an answer where the old and the new text still agree.
    ConfirmBeforeAccepted, ///< Reports a change as accepted only after other failure domains confirm.
    ReadBackAfterLostReply, ///< Reads the configuration back after a write without a reply.
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
