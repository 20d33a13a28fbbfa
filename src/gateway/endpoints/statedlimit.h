#pragma once

#include "gateway/gatewayevents.h"

namespace cranberry {

/// How many requests a second an endpoint says that it takes from all daemons together, as far as this daemon
/// knows.
class StatedLimit
{
public:
    /// An own attempt, sent at `sentAt`, was answered; `stated` is empty where the answer names no limit.
    /// True if that changes what is known.
    ///
    /// An answer without one is no newer than its request, for all that is known: it says nothing against a
    /// limit that was named since. Each that does doubles the rate, and a few in a row lift the limit: one
    /// may leave it out by chance, and all daemons would be back at once.
    bool hear(std::optional<RequestRate> stated, TimeMs sentAt, TimeMs now);
    /// Another daemon heard it. True if that changes what is known.
    bool learn(const LimitWord &word, TimeMs now);

    const std::optional<RequestRate> &limit() const { return limit_; } ///< Empty: none.
    /// Requests a second that the endpoint gets while it has a limit. One that takes nothing is tried now and
    /// then: only answers tell that its limit is over.
    double perSecond() const;
    TimeMs heardAt() const { return heardAt_; } ///< The newest word.
    TimeMs standsSince() const { return standsSince_; } ///< It first named a limit then.

    LimitWord word(const EndpointLife &endpoint, TimeMs now) const;
    /// The others are to be told now: what was heard here at once and twice more, and by one that reminds
    /// them every few seconds.
    bool isTellingDue(bool reminds, TimeMs now);
    bool isToBeTold() const { return tellingsLeft_ > 0; }

private:
    void set(std::optional<RequestRate> limit, uint32_t clears, TimeMs heardAt, TimeMs standsSince);

    std::optional<RequestRate> limit_;
    uint32_t clears_ = 0; ///< Answers in a row since then that named none.
    TimeMs heardAt_;
    TimeMs standsSince_;
    TimeMs tellAt_;
    uint32_t tellingsLeft_ = 0;
};

} // namespace cranberry
