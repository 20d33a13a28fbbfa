#pragma once

#include "daemon/onceregister.h"

namespace cranberry {

/// The entry daemon's side of the at-most-once protocol for one request. Small and copyable, so that the
/// state explorer in tests/ can enumerate its states together with those of OnceRegister.
class OnceAttempt
{
public:
    enum class Phase : uint8_t {
        Unkeyed, ///< No key: only this entry daemon can run the request.
        Acquiring, ///< An acquire query is in flight.
        Granted, ///< The register granted the key; the request may be dispatched.
        Dispatched, ///< Bytes of the request may have been sent to an endpoint.
        Refusing, ///< A refuse query is in flight; the request is never dispatched.
        Refused, ///< The refusal is recorded; "not run" may be reported.
        Elsewhere, ///< Another request holds the key.
        Unknown, ///< The outcome can't be determined; the request is never dispatched.
        Moved ///< Handed over to another daemon; never dispatched here.
    };

    Phase phase() const { return phase_; }
    bool waitsForRegister() const { return phase_ == Phase::Acquiring || phase_ == Phase::Refusing; }
    bool mayDispatch() const;
    bool mayMove() const { return phase_ != Phase::Dispatched && phase_ != Phase::Refusing; }
    /// Returns true if "not run" may be reported without a register query.
    bool mayRefuseAtOnce() const { return phase_ == Phase::Unkeyed; }

    void acquire() { phase_ = Phase::Acquiring; }
    void refuse() { phase_ = Phase::Refusing; }
    void move() { phase_ = Phase::Moved; }
    void giveUp() { phase_ = Phase::Unknown; }
    void dispatched();
    void provedNotRun(); ///< No byte was sent, or the endpoint reported that it did not run the request.
    void answered(OnceVerdict verdict);

    friend bool operator==(const OnceAttempt &, const OnceAttempt &) = default;

private:
    Phase phase_ = Phase::Unkeyed;
    bool keyed_ = false;
};

} // namespace cranberry
