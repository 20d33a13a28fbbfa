#pragma once

#include "gateway/gatewayevents.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace cranberry {

/// Number of daemons that are told where a stream began, one of them perhaps the daemon that carries it.
constexpr size_t StreamKeepers = 4;

/// Returns the key of the stream whose first event a request of the organisation brought.
StreamKey streamKeyOf(const OrganisationName &organisation, const std::string &requestId);

/// Origins of streams that began within the last minute, as this daemon has seen or was told. Memory is
/// bounded; the oldest are evicted.
class StreamOrigins
{
public:
    /// Records or confirms an origin. Returns false if it was known.
    bool record(StreamKey stream, const StreamOrigin &origin, TimeMs now);
    std::optional<StreamOrigin> find(StreamKey stream) const;
    void tick(TimeMs now);
    size_t size() const { return known_.size(); }

private:
    struct Known {
        const StreamOrigin *origin = nullptr; ///< Points into `origins_`.
        TimeMs recordedAt;
    };
    struct Recorded {
        uint64_t stream = 0;
        TimeMs at;
    };
    void evictOldest();

    std::set<StreamOrigin> origins_; ///< Services times versions: a few, never removed.
    std::unordered_map<uint64_t, Known> known_;
    std::deque<Recorded> order_; ///< By time; a stream that was recorded again stands in it twice.
};

/// Which software versions each service had recently, as far as this daemon has read them.
class VersionHistory
{
public:
    /// Takes the services' versions of a list that was read at `readAt`.
    void recordList(const std::map<ServiceName, std::set<SoftwareVersion>> &listed, TimeMs readAt);
    /// The newest list still holds.
    void confirmList(TimeMs readAt);

    /// Returns the versions that the service had at any time since then.
    VersionsSeen seenSince(const ServiceName &service, TimeMs since) const;
    // For daemons that start. `wallOffset`: wall clock minus steady clock, in milliseconds.
    VersionRecord record(int64_t wallOffset) const;
    void restore(const VersionRecord &record, int64_t wallOffset);

    /// Returns whether the lists since then were read without a gap in which a version may have come and
    /// gone, up to the present.
    bool isGapless(TimeMs since, TimeMs now) const;

private:
    struct Seen {
        bool isListed = true;
        TimeMs lastAt; ///< Time of the newest list that had it; not updated while it is listed.
    };
    std::map<ServiceName, std::map<SoftwareVersion, Seen>> versions_;
    std::optional<TimeMs> knownSince_; ///< Time of the first list, or as restored.
    TimeMs firstListAt_;
    TimeMs gaplessSince_;
    TimeMs confirmedAt_;
};

} // namespace cranberry
