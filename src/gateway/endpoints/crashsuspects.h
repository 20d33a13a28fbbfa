#pragma once

#include "gateway/gatewayevents.h"

#include <map>
#include <set>
#include <vector>

namespace cranberry {

/// Tracks the requests that were open at endpoints when these crashed, and quarantines the ones that are
/// likely to have caused it.
///
/// A request may crash each endpoint that starts to run it. Retried by the gateway and sent again by its
/// caller, it takes down one endpoint after the other with everything else that runs there. A single crash
/// does not show which of the endpoint's requests caused it, so all are suspected; the one that was open at
/// several crashes stands out. Any complete answer clears a request, since a request that crashes endpoints
/// never gets one.
class CrashSuspects
{
public:
    /// Limits a caller who keeps retrying to three crashed endpoints in this time, and lets the request try
    /// again soon after the endpoints' software was fixed.
    static constexpr DurationMs QuarantineTime{600'000};

    /// Returns true if this crash puts the request in quarantine. A crash that is reported twice counts once.
    bool recordCrash(const EndpointCrash &crash, TimeMs now);
    /// Records that an endpoint answered the request completely. Returns true if the request was suspected,
    /// in which case peers have to be notified.
    bool recordAnswer(RequestDigest request, TimeMs now);

    /// Something else caused these crashes: they count against no request any more, and requests that were
    /// quarantined for them are no longer.
    void forgive(const std::set<EndpointIncarnation> &endpoints);

    /// The request stays a suspect, but is not quarantined for the crashes so far.
    void release(RequestDigest request);

    bool isSuspected(RequestDigest request) const { return suspects_.contains(request); }
    bool isQuarantined(RequestDigest request, TimeMs now) const { return timeLeft(request, now).count > 0; }
    /// Time until the request may be sent again; 0 if it is not in quarantine.
    DurationMs timeLeft(RequestDigest request, TimeMs now) const;
    size_t crashCount(RequestDigest request) const; ///< Number of endpoints known to have crashed under it.

    /// Returns the endpoints that are known to have crashed under the request.
    std::set<EndpointIncarnation> endpointsOf(RequestDigest request) const;
    /// Returns the endpoints that are known to have crashed under requests that are still suspected.
    std::set<EndpointIncarnation> crashedEndpoints() const;

    /// Applies another daemon's quarantine. Returns true if it was not known. A quarantine that began before
    /// the answer that cleared the request is ignored.
    bool quarantine(RequestDigest request, TimeMs until, TimeMs now);
    struct Quarantined {
        RequestDigest request;
        TimeMs until;
    };
    /// Returns at most `maxCount` quarantines for the store and the standby daemons, those that last longest
    /// first.
    std::vector<Quarantined> quarantined(size_t maxCount, TimeMs now) const;
    /// Returns at most `maxCount` known crashes for a daemon that has received none, those of the requests
    /// with most crashes first.
    std::vector<EndpointCrash> crashes(size_t maxCount) const;
    /// Increases with each change of the set of quarantined requests.
    uint64_t version() const { return version_; }
    size_t size() const { return suspects_.size(); }

private:
    struct Suspect {
        std::map<EndpointIncarnation, uint32_t> crashPoints; ///< Points by endpoint incarnation.
        TimeMs lastAt;
        TimeMs quarantinedUntil;
    };
    static uint32_t pointsOf(const Suspect &suspect);
    void evictOne(TimeMs now);

    std::map<RequestDigest, Suspect> suspects_;
    std::map<RequestDigest, TimeMs> clearedAt_; ///< Requests that were answered while in quarantine.
    uint64_t version_ = 0;
};

} // namespace cranberry
