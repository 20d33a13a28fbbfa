#pragma once

#include "gateway/endpoints/crashsuspects.h"

namespace cranberry {

/// From where a daemon knows that a request is to be kept from endpoints.
enum class VerdictSource : uint8_t { Own, Peer, Store };

const char *toText(VerdictSource source);

/// The requests that are kept from endpoints, as this daemon knows them, and what the others are to be told.
class Quarantine
{
public:
    const CrashSuspects &suspects() const { return suspects_; }

    // Verdicts are told with their ends in true time. `wallOffset`: true time less the steady clock, in
    // milliseconds.

    // What is learned. Each returns the requests that are in quarantine from now on.
    std::vector<RequestDigest> takeLosses(const std::vector<EndpointLoss> &losses, VerdictSource source,
                                          TimeMs now);
    std::vector<RequestDigest> takeList(const std::vector<QuarantinedRequest> &list, int64_t wallOffset,
                                        TimeMs now);
    /// An endpoint answered here; the others are to be told.
    void answered(RequestDigest request, TimeMs now);
    void answeredElsewhere(RequestDigest request, TimeMs now) { suspects_.answered(request, now); }

    // What is told.

    /// Due at this tick: answers, and verdicts once more.
    std::optional<CrashNotice> due(int64_t wallOffset, TimeMs now);
    /// All that is known, for a daemon that begins to serve; nothing if there is nothing.
    std::optional<CrashNotice> forNewcomer(int64_t wallOffset, TimeMs now);
    /// The verdicts, for the store and the daemons that ask.
    const std::vector<QuarantinedRequest> &list(int64_t wallOffset, TimeMs now);

private:
    /// A verdict that the others are told once more.
    struct Retelling {
        RequestDigest request;
        TimeMs at;
        uint32_t left = 0; ///< Times, this one included.
    };

    CrashSuspects suspects_;
    std::vector<RequestDigest> answered_; ///< To be told.
    std::vector<Retelling> retellings_;
    std::vector<QuarantinedRequest> list_; ///< Of the suspects' version `listVersion_`.
    uint64_t listVersion_ = 0;
};

/// The losses as notices that fit into a datagram each.
std::vector<CrashNotice> noticesOf(const std::vector<EndpointLoss> &losses);

} // namespace cranberry
