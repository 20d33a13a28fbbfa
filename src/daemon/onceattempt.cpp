#include "daemon/onceattempt.h"

#include "daemon/safeguards.h"

namespace cranberry {

bool OnceAttempt::mayDispatch() const
{
    if (phase_ == Phase::Unkeyed || phase_ == Phase::Granted)
        return true;
    return phase_ == Phase::Acquiring && !isOn(Safeguard::RegisterBeforeDispatch);
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

// Ignores replies that don't match the query in flight. A late "granted" that arrives after the entry daemon
// began to refuse the request, or handed it over, must not cause a dispatch.
void OnceAttempt::answered(OnceVerdict verdict)
{
    if (!waitsForRegister())
        return;
    switch (verdict) {
    case OnceVerdict::Granted:
        if (phase_ == Phase::Acquiring)
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
        break; // The query is sent again to the successor.
    }
}

} // namespace cranberry
