#pragma once

#include "gateway/peers/peertable.h"

namespace cranberry {

/// Decides when this daemon sends its load report to which peers.
///
/// It uses no sockets and no clock: the caller sends a report to each address that is returned.
class ReportSchedule
{
public:
    struct Due {
        std::vector<Address> to;
        bool isFull = false; ///< The report is full, not limited to the parts that are urgent.
    };

    /// Returns the reports that are due at this tick. Without `mustReport` there are none.
    Due due(const PeerTable &peers, bool mustReport, TimeMs now);
    /// Returns the reports that must be sent at once after an update from the store or a peer. `membersRead`:
    /// the update had a member list.
    Due afterUpdates(const PeerTable &peers, bool ready, bool mustReport, bool membersRead);
    /// Returns a full report to all targets, for use before this daemon exits.
    static Due toAll(const PeerTable &peers);

private:
    TimeMs countedAt_;
    double pendingReports_ = 0; ///< Reports that are due, with the fraction carried over between ticks.
    size_t next_ = 0;
    uint64_t round_ = 0;
    bool wasReady_ = false;
};

} // namespace cranberry
