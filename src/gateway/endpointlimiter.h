#pragma once

#include "gateway/gatewayevents.h"

namespace cranberry {

/// How many requests one endpoint takes from all daemons together, as it says with its answers.
class EndpointLimiter
{
public:
    /// An own attempt, sent at `sentAt`, was answered; `stated` is empty where the answer names no limit.
    /// True if that changes what is known. An answer to a request that was sent before the newest word came
    /// may be older than that word, so it can't lift a limit.
    bool hear(std::optional<RequestRate> stated, TimeMs sentAt, TimeMs now);

    const std::optional<RequestRate> &limit() const { return limit_; } ///< Empty: none.
    TimeMs heardAt() const { return heardAt_; } ///< The newest word.

private:
    std::optional<RequestRate> limit_;
    TimeMs heardAt_;
};

} // namespace cranberry
