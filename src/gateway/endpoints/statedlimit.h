#pragma once

#include "gateway/gatewayevents.h"

namespace cranberry {

/// The rate limit, in requests per second from all daemons together, that an endpoint states, as far as this
/// daemon knows.
class StatedLimit
{
public:
    /// Updates the limit from an answer to one of this daemon's attempts, sent at `sentAt`; `stated` is empty
    /// if the answer states no limit. Returns true if the known limit changed.
    ///
    /// An answer that states no limit may be as old as its request, so it does not override a limit that was
    /// stated since. Each such answer doubles the rate, and a few in a row lift the limit: a single answer
    /// may omit the limit by chance, and lifting it at once would bring back the load of all daemons.
    bool hear(std::optional<RequestRate> stated, TimeMs sentAt, TimeMs now);
    /// Applies another daemon's update. Returns true if the known limit changed.
    bool learn(const LimitWord &word, TimeMs now);

    const std::optional<RequestRate> &limit() const { return limit_; } ///< Empty if there is no limit.
    /// Requests per second that the endpoint gets while it has a limit. An endpoint whose limit is zero still
    /// gets an occasional request, since only its answers show that the limit was lifted.
    double perSecond() const;
    TimeMs heardAt() const { return heardAt_; } ///< Time of the newest answer that the limit is based on.
    TimeMs standsSince() const { return standsSince_; } ///< Time when a limit was first stated.

    LimitWord word(const EndpointLife &endpoint, TimeMs now) const;
    /// Returns true if an update to peers is due: at once after a change seen here and twice more, and every
    /// few seconds if this daemon sends reminders.
    bool isTellingDue(bool reminds, TimeMs now);
    bool isToBeTold() const { return tellingsLeft_ > 0; }

private:
    void set(std::optional<RequestRate> limit, uint32_t clears, TimeMs heardAt, TimeMs standsSince);

    std::optional<RequestRate> limit_;
    uint32_t clears_ = 0; ///< Consecutive answers without a limit since then.
    TimeMs heardAt_;
    TimeMs standsSince_;
    TimeMs tellAt_;
    uint32_t tellingsLeft_ = 0;
};

} // namespace cranberry
