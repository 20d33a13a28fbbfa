#include "gateway/peers/reportschedule.h"

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

ReportSchedule::Due fullReportTo(const std::vector<const MemberEntry *> &members)
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
ReportSchedule::Due ReportSchedule::due(const PeerTable &peers, bool mustReport, TimeMs now)
{
    const std::vector<const MemberEntry *> &targets = peers.reportTargets();
    const DurationMs elapsed = now - std::exchange(countedAt_, now);
    if (targets.empty() || !mustReport)
        return {};
    const DurationMs interval = peers.reportInterval();
    pendingReports_ += static_cast<double>(targets.size()) * static_cast<double>(elapsed.count)
        / static_cast<double>(interval.count);
    const size_t count = std::min(static_cast<size_t>(pendingReports_), targets.size());
    pendingReports_ = std::min(pendingReports_ - static_cast<double>(count), 1.0);
    const uint64_t roundsPerFullReport
        = static_cast<uint64_t>(std::max<int64_t>(1, peers.fullReportInterval().count / interval.count));
    Due out;
    for (size_t i = 0; i < count; ++i) {
        if (++next_ >= targets.size()) {
            next_ = 0;
            ++round_;
        }
        out.to.push_back(targets[next_]->peerAddress);
        out.isFull = out.isFull || round_ % roundsPerFullReport == 0;
    }
    return out;
}

// After a start, the scheduled time would be too late: callers would be sent to one daemon only, and requests
// refused for a limit of which other daemons have units to spare. So all targets get a report as soon as this
// daemon accepts requests, and new targets get one at once.
ReportSchedule::Due ReportSchedule::afterUpdates(const PeerTable &peers, bool ready, bool mustReport,
                                                 bool membersRead)
{
    const bool isFirst = ready && !wasReady_;
    wasReady_ = ready;
    if (isFirst)
        return toAll(peers);
    if (!ready || !membersRead || !mustReport)
        return {};
    return fullReportTo(peers.newTargets());
}

ReportSchedule::Due ReportSchedule::toAll(const PeerTable &peers)
{
    return fullReportTo(peers.reportTargets());
}

} // namespace cranberry
