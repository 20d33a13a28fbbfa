#pragma once

#include "gateway/gatewayevents.h"

#include <algorithm>
#include <deque>
#include <set>

namespace cranberry {

/// The list of endpoints as this daemon knows it, with its recent changes.
///
/// A daemon that requests updates sends the digest of its own version and receives the difference. The full
/// list has 150 B per entry: from 400 endpoints on it does not fit into a datagram, and with engines coming
/// and going all the time it would be sent in full at each change.
class EndpointList
{
public:
    /// Replaces the list by one that was current in the store at or after `asOf`. Parts received so far are
    /// of no use then.
    void replace(std::vector<EndpointEntry> entries, TimeMs asOf);
    /// Applies the changes since version `base`. Returns false without any change if that is not the version
    /// returned by `base()`.
    bool apply(uint64_t base, const EndpointChanges &changes, TimeMs asOf);

    /// Adds a part of version `digest`. Returns false if it is not the next one; it is ignored then. The last
    /// part completes the list. If the version changed between the parts, the list is inconsistent until the
    /// changes since the version of the first part were applied.
    bool addPart(uint64_t digest, const EndpointPart &part, TimeMs asOf);
    EndpointId lastReceived() const; ///< Last entry of the parts so far; empty: none.
    bool isComplete() const { return parts_.empty() && base_ == digest_; }

    const std::vector<EndpointEntry> &entries() const { return entries_; } ///< Sorted by id.
    uint64_t digest() const { return digest_; } ///< 0 if there is no list yet.
    uint64_t base() const { return base_; } ///< Version to which changes can be applied.
    /// Returns up to `count` entries after `id`.
    EndpointPart partAfter(const EndpointId &id, size_t count) const;
    /// Returns the changes for a daemon whose list has version `base` and was current at or after `asOf`, or
    /// nothing if both are too old. Readers see different versions of a list that changes all the time, so
    /// a daemon that changes its reader is told what changed since a time; the digest of the result shows
    /// whether that was all.
    std::optional<EndpointChanges> changesSince(uint64_t base, std::optional<TimeMs> asOf) const;
    /// The list was current in the store at or after this time; for one whose parts are being received, the
    /// first part was.
    TimeMs asOf() const { return parts_.empty() ? asOf_ : partsAsOf_; }
    /// Records that this version is still current at or after that time.
    void confirm(TimeMs asOf) { asOf_ = std::max(asOf_, asOf); }

private:
    struct Step {
        uint64_t before = 0; ///< Digest of the version before this step.
        std::set<EndpointId> ids; ///< Ids of the entries that differ.
        TimeMs asOf; ///< Of the version after this step.
    };
    std::deque<Step>::const_iterator firstStepSince(uint64_t base, std::optional<TimeMs> asOf) const;

    std::vector<EndpointEntry> entries_;
    uint64_t digest_ = 0;
    std::deque<Step> steps_;
    TimeMs asOf_;
    TimeMs historyFrom_; ///< `steps_` has all changes that were seen after this time.
    uint64_t base_ = 0;
    std::vector<EndpointEntry> parts_; ///< Received so far.
    uint64_t partsBase_ = 0; ///< Version of the first part.
    TimeMs partsAsOf_;
};

} // namespace cranberry
