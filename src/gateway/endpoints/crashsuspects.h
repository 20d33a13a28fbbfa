#pragma once

#include "gateway/gatewayevents.h"

#include <map>
#include <vector>

namespace cranberry {

/// Requests under which endpoints ended, and those that are kept from further ones.
///
/// A request may end each endpoint that begins to run it. Repeated, and sent again by its caller, it takes
/// one endpoint after the other with all that others run there. Which of an endpoint's requests ended it
/// can't be seen from one end: all are suspected, and the one that is there at each of several ends stands
/// out. Any answer clears: a request that ends endpoints gets none.
class CrashSuspects
{
public:
    /// True if this end puts the request in quarantine. An end that is told twice counts once.
    bool endedUnder(const EndpointLoss &loss, TimeMs now);
    /// An endpoint answered the request to its end. True if it was suspected: others have to hear of it.
    bool answered(RequestDigest request, TimeMs now);

    bool isSuspected(RequestDigest request) const { return suspects_.contains(request); }
    bool isQuarantined(RequestDigest request, TimeMs now) const { return timeLeft(request, now).count > 0; }
    /// Until the request may be sent again; 0: it is not in quarantine.
    DurationMs timeLeft(RequestDigest request, TimeMs now) const;
    size_t endsUnder(RequestDigest request) const; ///< Endpoints that are known to have ended under it.

    /// Takes over another daemon's verdict. True if it was not known. One from before an answer that cleared
    /// the request is passed over.
    bool quarantine(RequestDigest request, TimeMs until, TimeMs now);
    struct Quarantined {
        RequestDigest request;
        TimeMs until;
    };
    /// For the store and the daemons that stand by: those that last longest, so many at most.
    std::vector<Quarantined> quarantined(size_t most, TimeMs now) const;
    /// The ends that are known, for a daemon that has heard of none; of the requests with most ends first.
    std::vector<EndpointLoss> losses(size_t most) const;
    /// Grows with each change of what is in quarantine.
    uint64_t version() const { return version_; }
    size_t size() const { return suspects_.size(); }

private:
    struct Suspect {
        std::map<EndpointLife, uint32_t> ends; ///< With their points.
        TimeMs lastAt;
        TimeMs quarantinedUntil;
    };
    void makeRoom(TimeMs now);

    std::map<RequestDigest, Suspect> suspects_;
    std::map<RequestDigest, TimeMs> clearedAt_; ///< Of those that were in quarantine.
    uint64_t version_ = 0;
};

} // namespace cranberry
