#include "gateway/endpoints/quarantine.h"

#include "gateway/endpoints/quarantinelist.h"

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

/// Rows of 60 B in one datagram.
constexpr size_t MostLossesTold = 256;
/// Crashes of the requests with most crashes. Kept small, since each serving daemon sends them to a new
/// daemon.
constexpr size_t MostLossesToldNewcomers = 64;
/// Number of times a quarantine is sent again. On links that lose half of all datagrams one in eight daemons
/// misses it, and reads it from the store.
constexpr uint32_t Retellings = 3;
constexpr DurationMs RetellPause{300};

} // namespace

const char *toText(VerdictSource source)
{
    switch (source) {
    case VerdictSource::Own:
        return "own";
    case VerdictSource::Peer:
        return "peer";
    case VerdictSource::Store:
        return "store";
    }
    return "";
}

std::vector<RequestDigest> Quarantine::takeLosses(const std::vector<EndpointLoss> &losses,
                                                  VerdictSource source, TimeMs now)
{
    std::vector<RequestDigest> fresh;
    for (const EndpointLoss &loss : losses) {
        if (!suspects_.endedUnder(loss, now))
            continue;
        fresh.push_back(loss.request);
        if (source == VerdictSource::Own && retellings_.size() < MostQuarantinedTold)
            retellings_.push_back({loss.request, now + RetellPause, Retellings});
    }
    return fresh;
}

std::vector<RequestDigest> Quarantine::takeList(const std::vector<QuarantinedRequest> &list,
                                                int64_t wallOffset, TimeMs now)
{
    std::vector<RequestDigest> fresh;
    for (const QuarantinedRequest &each : list) {
        if (suspects_.quarantine(each.request, {each.untilWallMs - wallOffset}, now))
            fresh.push_back(each.request);
    }
    return fresh;
}

void Quarantine::answered(RequestDigest request, TimeMs now)
{
    if (suspects_.answered(request, now))
        answered_.push_back(request);
}

// Answers are batched per tick: an engine that crashed without fault of a request had up to 64 requests, and
// most are answered soon. Quarantines are sent again, since peers reach the same result from the same crashes
// only if no datagram is lost.
std::optional<CrashNotice> Quarantine::due(int64_t wallOffset, TimeMs now)
{
    CrashNotice notice;
    notice.answered = std::exchange(answered_, {});
    for (Retelling &each : retellings_) {
        if (now < each.at)
            continue;
        --each.left;
        each.at = now + RetellPause;
        const DurationMs left = suspects_.timeLeft(each.request, now);
        if (left.count > 0)
            notice.quarantined.push_back({each.request, (now + left).count + wallOffset});
    }
    std::erase_if(retellings_, [](const Retelling &each) { return each.left == 0; });
    if (notice.answered.empty() && notice.quarantined.empty())
        return std::nullopt;
    return notice;
}

// Without the earlier crashes a new daemon would start its count at zero, and each request that crashes
// endpoints would crash two more there.
std::optional<CrashNotice> Quarantine::forNewcomer(int64_t wallOffset, TimeMs now)
{
    CrashNotice notice{suspects_.losses(MostLossesToldNewcomers), {}, list(wallOffset, now)};
    if (notice.losses.empty() && notice.quarantined.empty())
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
    for (const CrashSuspects::Quarantined &each : suspects_.quarantined(MostQuarantinedTold, now))
        list_.push_back({each.request, each.until.count + wallOffset});
    return list_;
}

std::vector<CrashNotice> noticesOf(const std::vector<EndpointLoss> &losses)
{
    std::vector<CrashNotice> notices;
    for (size_t from = 0; from < losses.size(); from += MostLossesTold) {
        const auto begin = losses.begin() + static_cast<std::ptrdiff_t>(from);
        const auto end = begin + static_cast<std::ptrdiff_t>(std::min(MostLossesTold, losses.size() - from));
        notices.push_back({{begin, end}, {}, {}});
    }
    return notices;
}

} // namespace cranberry
