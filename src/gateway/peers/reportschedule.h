#pragma once

#include "gateway/peers/peertable.h"

namespace cranberry {

/// When this daemon tells which others of its load.
///
/// No sockets, no clock: the caller sends a report to each address that is returned.
class ReportSchedule
{
public:
    struct Due {
        std::vector<Address> to;
        bool whole = false; ///< The report has all parts, not only those that matter at once.
    };

    /// This tick's turns. `hasNews`: the others wait for this daemon's reports.
    Due due(const PeerTable &peers, bool hasNews, TimeMs now);
    /// After the store or another daemon was heard: those who must not wait for their turn. `membersRead`:
    /// the list of members was among it.
    Due afterNews(const PeerTable &peers, bool ready, bool hasNews, bool membersRead);
    /// All at once, before this daemon ends.
    static Due toAll(const PeerTable &peers);

private:
    TimeMs countedAt_;
    double turns_ = 0; ///< Reports that are due by now.
    size_t next_ = 0;
    uint64_t round_ = 0;
    bool wasReady_ = false;
};

} // namespace cranberry
