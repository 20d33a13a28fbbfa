#include "gateway/endpoints/quarantine.h"

#include "gateway/endpoints/quarantinelist.h"

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

/// Rows of 60 B in one datagram.
constexpr size_t MaxCrashesPerNotice = 256;
/// Crashes of the requests with most crashes. Kept small, since each serving daemon sends them to a new
/// daemon.
constexpr size_t MaxCrashesForNewDaemon = 64;
/// Number of times a quarantine is sent again. On links that lose half of all datagrams one in eight daemons
/// misses it, and reads it from the store.
constexpr uint32_t ResendCount = 3;
constexpr DurationMs ResendInterval{300};

} // namespace

const char *toText(QuarantineSource source)
{
    switch (source) {
    case QuarantineSource::Own:
        return "own";
    case QuarantineSource::Peer:
        return "peer";
    case QuarantineSource::Store:
        return "store";
    }
    return "";
}

std::vector<RequestDigest> Quarantine::applyCrashes(const std::vector<EndpointCrash> &losses,
                                                    QuarantineSource source, TimeMs now)
{
    std::vector<RequestDigest> fresh;
    for (const EndpointCrash &crash : losses) {
        if (!suspects_.recordCrash(crash, now))
            continue;
        fresh.push_back(crash.request);
        if (source == QuarantineSource::Own && resends_.size() < MaxQuarantinedSent)
            resends_.push_back({crash.request, now + ResendInterval, ResendCount});
    }
    return fresh;
}

std::vector<RequestDigest> Quarantine::applyQuarantined(const std::vector<QuarantinedRequest> &list,
                                                        int64_t wallOffset, TimeMs now)
{
    std::vector<RequestDigest> fresh;
    for (const QuarantinedRequest &each : list) {
        if (suspects_.quarantine(each.request, {each.untilWallMs - wallOffset}, now))
            fresh.push_back(each.request);
    }
    return fresh;
}

void Quarantine::onOwnAnswer(RequestDigest request, TimeMs now)
{
    if (suspects_.recordAnswer(request, now))
        answered_.push_back(request);
}

// Answers are batched per tick: an engine that crashed without fault of a request had up to 64 requests, and
// most are answered soon. Quarantines are sent again, since peers reach the same result from the same crashes
// only if no datagram is lost.
std::optional<CrashNotice> Quarantine::dueNotice(int64_t wallOffset, TimeMs now)
{
    CrashNotice notice;
    notice.answered = std::exchange(answered_, {});
    for (Resend &each : resends_) {
        if (now < each.at)
            continue;
        --each.left;
        each.at = now + ResendInterval;
        const DurationMs left = suspects_.timeLeft(each.request, now);
        if (left.count > 0)
            notice.quarantined.push_back({each.request, (now + left).count + wallOffset});
    }
    std::erase_if(resends_, [](const Resend &each) { return each.left == 0; });
    if (notice.answered.empty() && notice.quarantined.empty())
        return std::nullopt;
    return notice;
}

// Without the earlier crashes a new daemon would start its count at zero, and each request that crashes
// endpoints would crash two more there.
std::optional<CrashNotice> Quarantine::noticeForNewDaemon(int64_t wallOffset, TimeMs now)
{
    CrashNotice notice{suspects_.crashes(MaxCrashesForNewDaemon), {}, list(wallOffset, now)};
    if (notice.crashes.empty() && notice.quarantined.empty())
        return std::nullopt;
    return notice;
}

// Rebuilt only when the quarantines change, since the wall-clock offset moves slightly at each tick.
const std::vector<QuarantinedRequest> &Quarantine::list(int64_t wallOffset, TimeMs now)
{
    if (listVersion_ == suspects_.version())
        return list_;
    listVersion_ = suspects_.version();
    list_.clear();
    for (const CrashSuspects::Quarantined &each : suspects_.quarantined(MaxQuarantinedSent, now))
        list_.push_back({each.request, each.until.count + wallOffset});
    return list_;
}

std::vector<CrashNotice> crashNotices(const std::vector<EndpointCrash> &losses)
{
    std::vector<CrashNotice> notices;
    for (size_t from = 0; from < losses.size(); from += MaxCrashesPerNotice) {
        const auto begin = losses.begin() + static_cast<std::ptrdiff_t>(from);
        const auto end
            = begin + static_cast<std::ptrdiff_t>(std::min(MaxCrashesPerNotice, losses.size() - from));
        notices.push_back({{begin, end}, {}, {}});
    }
    return notices;
}

} // namespace cranberry
