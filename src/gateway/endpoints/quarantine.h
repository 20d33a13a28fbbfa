#pragma once

#include "gateway/endpoints/crashsuspects.h"
#include "gateway/endpoints/partsuspects.h"

namespace cranberry {

class Random;

/// Where a daemon learned that a request is quarantined.
enum class QuarantineSource : uint8_t { Own, Peer, Store };

const char *toText(QuarantineSource source);

/// The quarantined requests as this daemon knows them, and the notices that are due to be sent to peers.
class Quarantine
{
public:
    const CrashSuspects &suspects() const { return suspects_; }

    // Notices carry the end of a quarantine in wall-clock time. `wallOffset`: wall clock minus steady clock,
    // in milliseconds.

    // Incoming information. Each function returns the requests that are newly quarantined.
    std::vector<RequestDigest> applyCrashes(const std::vector<EndpointCrash> &losses, QuarantineSource source,
                                            TimeMs now);
    std::vector<RequestDigest> applyQuarantined(const std::vector<QuarantinedRequest> &list,
                                                int64_t wallOffset, TimeMs now);
    /// Records an answer that this daemon received; peers will be notified.
    void onOwnAnswer(RequestDigest request, TimeMs now);
    void onPeerAnswer(RequestDigest request, TimeMs now);
    /// Records that an endpoint writes on prompt parts without crashing.
    void onOwnProof(const std::vector<RequestDigest> &parts, const SoftwareVersion &version, TimeMs now);
    void onPeerProof(const ProvenParts &proven, TimeMs now);
    /// Another daemon suspects the crash's parts: it is told of those that are proven here, after a random
    /// time in which others may tell it.
    void answerSuspicion(const EndpointCrash &crash, Random &random, TimeMs now);
    /// Returns the parts that are newly quarantined, since no daemon has objected.
    std::vector<RequestDigest> decide(TimeMs now);
    /// Sets the number of daemons that may object.
    void setServingDaemons(size_t count);
    /// Returns those of the parts that are not proven.
    std::vector<RequestDigest> unproven(const std::vector<RequestDigest> &parts,
                                        const SoftwareVersion &version, TimeMs now) const;
    const PartSuspects &parts() const { return parts_; }
    void tick(TimeMs now) { parts_.tick(now); }

    // Outgoing information.

    /// Returns the notice due at this tick: answered requests, and quarantines that are sent repeatedly.
    std::optional<CrashNotice> dueNotice(int64_t wallOffset, TimeMs now);
    /// Returns everything known, for a daemon that starts to serve; nothing if there is nothing to send.
    std::optional<CrashNotice> noticeForNewDaemon(int64_t wallOffset, TimeMs now);
    /// Returns the quarantines, for the store and for daemons that query them.
    const std::vector<QuarantinedRequest> &list(int64_t wallOffset, TimeMs now);

private:
    /// A quarantine that is sent to peers again.
    struct Resend {
        RequestDigest request;
        TimeMs at;
        uint32_t left = 0; ///< Remaining sends, including this one.
    };

    /// A proof that a peer will be told.
    struct DueProof {
        SoftwareVersion version;
        TimeMs at;
    };
    /// A part that stands out and is quarantined unless a daemon has proof of it.
    struct Candidate {
        TimeMs decideAt;
        TimeMs tellAt; ///< Next notice to the others.
        bool isOwn = false; ///< This daemon saw the crash that made it stand out, and tells the others.
    };
    void quarantinePart(RequestDigest part, TimeMs now);

    CrashSuspects suspects_;
    PartSuspects parts_;
    std::map<RequestDigest, DueProof> dueProofs_;
    std::map<RequestDigest, Candidate> candidates_;
    DurationMs proofDelay_;
    DurationMs objectionTime_;
    std::vector<RequestDigest> answered_; ///< Answered requests that peers have not been notified of.
    std::vector<Resend> resends_;
    std::vector<QuarantinedRequest> list_; ///< Built for version `listVersion_` of the suspects.
    uint64_t listVersion_ = 0;
};

/// Splits the crashes into notices that fit into a datagram each.
std::vector<CrashNotice> crashNotices(const std::vector<EndpointCrash> &losses);

} // namespace cranberry
