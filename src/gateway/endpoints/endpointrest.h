#pragma once

#include "common/clock.h"

#include <cstdint>

namespace cranberry {

/// The rest that an endpoint asked this daemon for: it gets no request until its end, and few at a time for a
/// while after it. Of one incarnation.
///
/// All daemons that were turned away together would return together, and the endpoint, which looks idle,
/// would turn them away again. So rests end at slightly different times, and the number of requests that are
/// open at the endpoint at a time doubles from one on.
class EndpointRest
{
public:
    /// A longer rest ends after this time: a wrong figure must not put an endpoint out of use for good.
    static constexpr DurationMs MaxDuration{300'000};

    /// The endpoint asked for it at `now`. A rest that ends later stays: it was asked for as well.
    void begin(DurationMs duration, DurationMs jitter, TimeMs now);
    bool isResting(TimeMs now) const { return now < endsAt_; }
    TimeMs endsAt() const { return endsAt_; }
    /// Returns whether a request may be sent beside `running` ones of this daemon.
    bool maySend(uint32_t running, TimeMs now) const
    {
        return !isResting(now) && (atOnce_ == 0 || running < atOnce_);
    }
    /// The endpoint began to answer a request that it ran.
    void accepted(TimeMs now);
    /// Returns whether a call that is no request, such as a probe, may be sent; during a rest this is one.
    bool mayCall(TimeMs now) const { return !isResting(now) || !isCallTaken_; }
    bool takeCall(TimeMs now); ///< The same, and counts it.

private:
    TimeMs endsAt_;
    uint32_t atOnce_ = 0; ///< Requests open at a time after a rest; 0: any number.
    bool isCallTaken_ = false;
};

} // namespace cranberry
