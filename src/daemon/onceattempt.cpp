#include "daemon/onceattempt.h"

#include "daemon/safeguards.h"

namespace cranberry {

bool OnceAttempt::mayDispatch() const
{
    if (phase_ == Phase::Unkeyed || phase_ == Phase::Granted)
        return true;
    return phase_ == Phase::Asking && !isOn(Safeguard::RegisterBeforeDispatch);
}

void OnceAttempt::dispatched()
{
    keyed_ = phase_ != Phase::Unkeyed;
    phase_ = Phase::Dispatched;
}

void OnceAttempt::provedNotRun()
{
    if (phase_ == Phase::Dispatched)
        phase_ = keyed_ ? Phase::Granted : Phase::Unkeyed;
}

// An answer counts only for the question that is open. A late "granted" that arrives after the entry began
// to refuse, or handed the request over, must not make it dispatch.
void OnceAttempt::answered(OnceVerdict verdict)
{
    if (!waitsForRegister())
        return;
    switch (verdict) {
    case OnceVerdict::Granted:
        if (phase_ == Phase::Asking)
            phase_ = Phase::Granted;
        break;
    case OnceVerdict::HeldElsewhere:
        phase_ = Phase::Elsewhere;
        break;
    case OnceVerdict::Refused:
        phase_ = Phase::Refused;
        break;
    case OnceVerdict::Unknown:
        phase_ = Phase::Unknown;
        break;
    case OnceVerdict::Sealed:
        break; // Asked again at the successor.
    }
}

} // namespace cranberry
