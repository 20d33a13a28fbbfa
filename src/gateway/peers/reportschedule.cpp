#include "gateway/peers/reportschedule.h"

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

ReportSchedule::Due wholeTo(const std::vector<const MemberEntry *> &members)
{
    ReportSchedule::Due out{{}, true};
    for (const MemberEntry *member : members)
        out.to.push_back(member->peerAddress);
    return out;
}

} // namespace

// Reports are not acknowledged: if one is lost, the next one replaces it. Each tick serves a few targets in
// turn, because sending to all at once would overflow the queue of a slow link and the receivers' sockets. A
// standby daemon with nothing to report sends nothing.
ReportSchedule::Due ReportSchedule::due(const PeerTable &peers, bool hasNews, TimeMs now)
{
    const std::vector<const MemberEntry *> &targets = peers.reportTargets();
    const DurationMs since = now - std::exchange(countedAt_, now);
    if (targets.empty() || !hasNews)
        return {};
    const DurationMs pace = peers.reportPace();
    turns_ += static_cast<double>(targets.size()) * static_cast<double>(since.count)
        / static_cast<double>(pace.count);
    const size_t count = std::min(static_cast<size_t>(turns_), targets.size());
    turns_ = std::min(turns_ - static_cast<double>(count), 1.0);
    const uint64_t roundsPerWhole
        = static_cast<uint64_t>(std::max<int64_t>(1, peers.wholeReportPace().count / pace.count));
    Due out;
    for (size_t i = 0; i < count; ++i) {
        if (++next_ >= targets.size()) {
            next_ = 0;
            ++round_;
        }
        out.to.push_back(targets[next_]->peerAddress);
        out.whole = out.whole || round_ % roundsPerWhole == 0;
    }
    return out;
}

// After a start, the scheduled time would be too late: callers would be sent to one daemon only, and requests
// refused for a limit of which other daemons have units to spare. So all targets get a report as soon as this
// daemon accepts requests, and new targets get one at once.
ReportSchedule::Due ReportSchedule::afterNews(const PeerTable &peers, bool ready, bool hasNews,
                                              bool membersRead)
{
    const bool isFirst = ready && !wasReady_;
    wasReady_ = ready;
    if (isFirst)
        return toAll(peers);
    if (!ready || !membersRead || !hasNews)
        return {};
    return wholeTo(peers.newTargets());
}

ReportSchedule::Due ReportSchedule::toAll(const PeerTable &peers)
{
    return wholeTo(peers.reportTargets());
}

} // namespace cranberry
