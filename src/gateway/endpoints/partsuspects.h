#pragma once

#include "gateway/gatewayevents.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace cranberry {

/// Tracks the prompt parts of requests that were open at endpoints when these crashed, and finds the part
/// that crashes each endpoint that starts to write on it.
///
/// Requests with such a part may differ in all else, so each of them is at one or two crashes only. Their
/// other parts are in sound requests as well, which wait and run at the same endpoints, since these cache
/// them. What tells them apart are answers: a part on which an endpoint of the same version wrote for a while
/// without crashing is proven and no longer suspected, a guilty one never is.
class PartSuspects
{
public:
    /// Records that an endpoint of the version wrote on these parts. Returns those that were suspected or not
    /// proven for that version.
    std::vector<RequestDigest> recordProof(const std::vector<RequestDigest> &parts,
                                           const SoftwareVersion &version, TimeMs now);
    bool isProven(RequestDigest part, const SoftwareVersion &version, TimeMs now) const;

    /// Records a crash under a request. Returns the part that stands out, if one does. A crash that is
    /// reported twice, or that a quarantined part explains, counts nothing.
    std::optional<RequestDigest> recordCrash(const EndpointCrash &crash, TimeMs now);
    /// The part is quarantined: its crashes are explained. Returns the endpoints that crashed under it.
    std::set<EndpointIncarnation> explainBy(RequestDigest part, TimeMs now);
    /// No part is suspected for these crashes any more. Returns them.
    std::set<EndpointIncarnation> explain(std::set<EndpointIncarnation> endpoints, TimeMs now);
    /// An endpoint answered a request with the part after it was quarantined.
    void acquit(RequestDigest part);
    /// The part was at most crashes of all that are not proven, and at enough of them.
    bool standsOut(RequestDigest part) const;
    /// The part was quarantined before.
    bool isOnProbation(RequestDigest part) const { return quarantined_.contains(part); }
    std::vector<EndpointCrash> crashesOf(RequestDigest part) const;
    bool isSuspected(RequestDigest part) const { return suspects_.contains(part); }
    bool isQuarantinedPart(RequestDigest part) const { return quarantined_.contains(part); }
    bool isExplained(const EndpointIncarnation &endpoint) const { return explained_.contains(endpoint); }

    /// Returns whether a suspected part, not one of `except`, was at all these crashes.
    bool covers(const std::set<EndpointIncarnation> &crashes, const std::vector<RequestDigest> &except) const;

    /// Number of endpoints that are known to have crashed under requests with the part.
    size_t crashCount(RequestDigest part) const;
    /// Returns at most `maxCount` crashes of the parts with most of them, for a daemon that starts to serve.
    std::vector<EndpointCrash> crashes(size_t maxCount) const;
    void tick(TimeMs now);
    size_t size() const { return suspects_.size(); }

private:
    struct Crash {
        SoftwareVersion version;
        RequestDigest request; ///< One that was open there, with the part.
    };
    struct Suspect {
        std::map<EndpointIncarnation, Crash> crashes;
        std::set<RequestDigest> requests; ///< That were open at these crashes.
        TimeMs lastCrashAt;
        uint64_t depth = 0; ///< Its position in the prompt.
    };
    struct Proof {
        uint64_t key = 0;
        TimeMs at;
    };
    void addCrash(RequestDigest part, uint64_t depth, const EndpointCrash &crash, TimeMs now);
    void evictOne();

    std::map<RequestDigest, Suspect> suspects_;
    std::unordered_map<uint64_t, TimeMs> provenAt_; ///< By hash of part and version.
    std::deque<Proof> proofs_; ///< By time; a proof that was renewed stands in it twice.
    std::map<EndpointIncarnation, TimeMs> explained_; ///< Crashes that a quarantined part accounts for.
    struct Verdict {
        TimeMs at;
        size_t crashes = 0;
    };
    std::map<RequestDigest, Verdict> quarantined_; ///< Parts, also for a while after their quarantine.
};

} // namespace cranberry
