#pragma once

#include "common/types.h"

#include <map>
#include <set>

namespace cranberry {

/// Requests that began to run, by window and organisation.
using WindowCounts = std::map<int64_t, std::map<OrganisationName, uint64_t>>;
/// The same by daemon. The counts of an incarnation only grow.
using UsageCounts = std::map<Incarnation, WindowCounts>;

/// Counts of the requests that began to run, of this daemon and of all others that it has heard of, by
/// organisation and window of wall-clock time.
///
/// A grow-only counter: each incarnation has counts of its own, and of two copies the higher one holds. So
/// counts may be told in any order, more than once and by anyone, and outlive the daemon that made them.
///
/// The wall clock of an instance may jump. Windows follow the median of all daemons' clocks instead, as an
/// offset to the steady clock.
class UsageLedger
{
public:
    UsageLedger(Incarnation self, DurationMs window) : self_(self), window_(window) { }

    /// Sets wall-clock time minus the steady clock, in milliseconds.
    void setOffset(int64_t offset) { offset_ = offset; }
    int64_t offset() const { return offset_; }
    int64_t windowAt(TimeMs time) const { return (time.count + offset_) / window_.count; }
    TimeMs endOf(int64_t window) const { return {(window + 1) * window_.count - offset_}; }
    /// Oldest window whose report may still be due.
    int64_t oldestOpen(TimeMs now) const { return windowAt(now) - OpenWindows; }

    /// Counts a request of this daemon.
    void count(const OrganisationName &organisation, TimeMs beganAt);
    /// Who told the counts of others: a daemon in its report, which goes to all, or anyone to this daemon as
    /// a keeper, which has to hand them on.
    enum class Source : uint8_t { Report, Keeping };
    void merge(const UsageCounts &counts, Source source, TimeMs now);

    /// Sums over all daemons, including those that are gone.
    std::map<OrganisationName, uint64_t> sums(int64_t window) const;
    UsageCounts since(int64_t window) const;
    /// Counts of other daemons for which this one is a keeper.
    UsageCounts keptSince(int64_t window) const;
    const WindowCounts &own() const;
    /// Own counts that changed since the last call.
    UsageCounts takeChanged();
    /// Grows with each change of any count.
    uint64_t version() const { return version_; }

private:
    static constexpr int64_t OpenWindows = 3;

    void forgetBefore(int64_t window);

    Incarnation self_;
    DurationMs window_;
    int64_t offset_ = 0;
    UsageCounts counts_;
    std::set<Incarnation> kept_;
    WindowCounts changed_; ///< Own counts to be told.
    int64_t oldest_ = 0; ///< Counts before this window are forgotten.
    uint64_t version_ = 0;
};

} // namespace cranberry
