#pragma once

#include "gateway/endpoints/crashsuspects.h"

namespace cranberry {

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
    void onPeerAnswer(RequestDigest request, TimeMs now) { suspects_.recordAnswer(request, now); }

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

    CrashSuspects suspects_;
    std::vector<RequestDigest> answered_; ///< Answered requests that peers have not been notified of.
    std::vector<Resend> resends_;
    std::vector<QuarantinedRequest> list_; ///< Built for version `listVersion_` of the suspects.
    uint64_t listVersion_ = 0;
};

/// Splits the crashes into notices that fit into a datagram each.
std::vector<CrashNotice> crashNotices(const std::vector<EndpointCrash> &losses);

} // namespace cranberry
