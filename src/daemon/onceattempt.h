#pragma once

#include "daemon/onceregister.h"

namespace cranberry {

/// An entry's side of the at-most-once protocol for one request. Small and copyable, so that the explorer
/// in tests/ walks through all its states together with OnceRegister.
class OnceAttempt
{
public:
    enum class Phase : uint8_t {
        Unkeyed, ///< No key: the attempt is the request, this entry alone can run it.
        Asking, ///< acquire is on its way.
        Granted, ///< May dispatch.
        Dispatched, ///< A byte may have left.
        Refusing, ///< refuse is on its way; will never dispatch.
        Refused, ///< "Not run" may be told.
        Elsewhere, ///< Another request holds the key.
        Unknown, ///< Nobody can tell; never dispatches.
        Moved ///< Handed to another entry; never dispatches here.
    };

    Phase phase() const { return phase_; }
    bool waitsForRegister() const { return phase_ == Phase::Asking || phase_ == Phase::Refusing; }
    bool mayDispatch() const;
    bool mayMove() const { return phase_ != Phase::Dispatched && phase_ != Phase::Refusing; }
    /// True if "not run" may be told at once, without asking anybody.
    bool mayRefuseAtOnce() const { return phase_ == Phase::Unkeyed; }

    void ask() { phase_ = Phase::Asking; }
    void refuse() { phase_ = Phase::Refusing; }
    void move() { phase_ = Phase::Moved; }
    void giveUp() { phase_ = Phase::Unknown; }
    void dispatched();
    void provedNotRun(); ///< No byte left, or the endpoint itself said that it did not run it.
    void answered(OnceVerdict verdict);

    friend bool operator==(const OnceAttempt &, const OnceAttempt &) = default;

private:
    Phase phase_ = Phase::Unkeyed;
    bool keyed_ = false;
};

} // namespace cranberry
