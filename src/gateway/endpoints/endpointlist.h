#pragma once

#include "gateway/gatewayevents.h"

#include <deque>
#include <set>

namespace cranberry {

/// The list of endpoints as this daemon knows it, with what changed lately.
///
/// A daemon that asks for what is new names the digest of its own version and is told the difference. The
/// whole list is 150 B an entry: from 400 endpoints on it fits no datagram, and with engines coming and going
/// all the time each daemon would be sent all of it at each change.
class EndpointList
{
public:
    /// Takes a list as the store has it.
    void replace(std::vector<EndpointEntry> entries);
    /// Takes what changed since version `base`. False, with nothing changed: this is another version.
    bool apply(uint64_t base, const EndpointChanges &changes);

    /// Takes a part of the version `digest`, which has `total` entries. True if that makes it whole: then it
    /// is the list. Parts must come in order; one that does not is dropped with those before it.
    bool takePart(uint64_t digest, size_t from, size_t total, const std::vector<EndpointEntry> &part);

    const std::vector<EndpointEntry> &entries() const { return entries_; } ///< By their ids.
    uint64_t digest() const { return digest_; } ///< 0: no list was taken yet.
    /// What to tell a daemon that has version `base`; nothing if that is too long ago.
    std::optional<EndpointChanges> since(uint64_t base) const;

private:
    struct Step {
        uint64_t before = 0; ///< Digest of the version before it.
        std::set<EndpointId> ids; ///< Of the entries that differ.
    };

    std::vector<EndpointEntry> entries_;
    uint64_t digest_ = 0;
    std::deque<Step> steps_;
    std::vector<EndpointEntry> parts_; ///< Of the version `partsDigest_`, so far.
    uint64_t partsDigest_ = 0;
};

} // namespace cranberry
