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
    bool updateFromAnswer(std::optional<RequestRate> stated, TimeMs sentAt, TimeMs now);
    /// Applies another daemon's update. Returns true if the known limit changed.
    bool updateFromPeer(const LimitUpdate &update, TimeMs now);

    const std::optional<RequestRate> &limit() const { return limit_; } ///< Empty if there is no limit.
    /// Requests per second that the endpoint gets while it has a limit. An endpoint whose limit is zero still
    /// gets an occasional request, since only its answers show that the limit was lifted.
    double perSecond() const;
    TimeMs updatedAt() const { return updatedAt_; } ///< Time of the newest answer that the limit is based on.
    TimeMs limitedSince() const { return limitedSince_; } ///< Time when a limit was first stated.

    LimitUpdate toUpdate(const EndpointIncarnation &endpoint, TimeMs now) const;
    /// Returns true if an update to peers is due: at once after a change seen here and twice more, and every
    /// few seconds if this daemon sends reminders.
    bool isUpdateDue(bool sendsReminders, TimeMs now);
    bool hasPendingUpdates() const { return updatesLeft_ > 0; }

private:
    void set(std::optional<RequestRate> limit, uint32_t clears, TimeMs heardAt, TimeMs standsSince);

    std::optional<RequestRate> limit_;
    uint32_t answersWithoutLimit_ = 0; ///< Consecutive answers without a limit since then.
    TimeMs updatedAt_;
    TimeMs limitedSince_;
    TimeMs nextUpdateAt_;
    uint32_t updatesLeft_ = 0;
};

} // namespace cranberry
