#include "gateway/endpoints/endpointlist.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace cranberry {

namespace {

/// The list changes every half second at most, and daemons query more often than that, so a daemon that lost
/// several replies still finds its version.
constexpr size_t MaxSteps = 16;
/// Longest time from the start of a read to its last page: an entry may be newer than its list by this.
constexpr DurationMs MaxReadTime{2500};

// Serializes the fields whose changes daemons must receive. Other fields change without being sent.
std::string digestedText(const EndpointEntry &entry)
{
    return fmt::format("{} {} {} {} {};", entry.id.value, entry.start.unixMs, entry.readable,
                       toText(entry.address), entry.leaving);
}

uint64_t digestOfEntries(const std::vector<EndpointEntry> &entries)
{
    std::string digested;
    for (const EndpointEntry &entry : entries)
        digested += digestedText(entry);
    return std::max<uint64_t>(jsonDigestOf(digested), 1);
}

bool isBefore(const EndpointEntry &a, const EndpointEntry &b)
{
    return a.id < b.id;
}

// Both lists are sorted by id.
std::set<EndpointId> differences(const std::vector<EndpointEntry> &before,
                                 const std::vector<EndpointEntry> &after)
{
    std::set<EndpointId> out;
    auto old = before.begin();
    for (const EndpointEntry &entry : after) {
        for (; old != before.end() && old->id < entry.id; ++old)
            out.insert(old->id);
        const bool isKnown = old != before.end() && old->id == entry.id;
        if (!isKnown || digestedText(*old) != digestedText(entry))
            out.insert(entry.id);
        if (isKnown)
            ++old;
    }
    for (; old != before.end(); ++old)
        out.insert(old->id);
    return out;
}

} // namespace

void EndpointList::replace(std::vector<EndpointEntry> entries, TimeMs asOf)
{
    std::sort(entries.begin(), entries.end(), isBefore);
    const uint64_t digest = digestOfEntries(entries);
    if (digest_ == 0) {
        historyFrom_ = asOf;
    } else if (digest != digest_) {
        steps_.push_back({digest_, differences(entries_, entries), asOf});
        if (steps_.size() > MaxSteps) {
            historyFrom_ = steps_.front().asOf;
            steps_.pop_front();
        }
    }
    asOf_ = asOf;
    entries_ = std::move(entries);
    digest_ = digest;
    base_ = digest;
    parts_.clear();
}

bool EndpointList::apply(uint64_t base, const EndpointChanges &changes, TimeMs asOf)
{
    if (base != base_)
        return false;
    std::set<EndpointId> replaced(changes.gone.begin(), changes.gone.end());
    for (const EndpointEntry &entry : changes.changed)
        replaced.insert(entry.id);
    std::vector<EndpointEntry> entries = entries_;
    std::erase_if(entries, [&replaced](const EndpointEntry &entry) { return replaced.contains(entry.id); });
    entries.insert(entries.end(), changes.changed.begin(), changes.changed.end());
    replace(std::move(entries), asOf);
    return true;
}

// What changed while the parts were on their way is among the changes since the version of the first one, so
// endpoints that come and go all the time don't keep the list from being completed.
bool EndpointList::addPart(uint64_t digest, const EndpointPart &part, TimeMs asOf)
{
    if (part.after.value.empty()) {
        parts_.clear();
        partsBase_ = digest;
        partsAsOf_ = asOf;
    } else if (lastReceived() != part.after) {
        return false;
    }
    parts_.insert(parts_.end(), part.entries.begin(), part.entries.end());
    if (!part.isLast)
        return true;
    replace(std::exchange(parts_, {}), partsAsOf_);
    base_ = partsBase_;
    steps_.clear();
    historyFrom_ = asOf;
    return true;
}

EndpointId EndpointList::lastReceived() const
{
    return parts_.empty() ? EndpointId{} : parts_.back().id;
}

EndpointPart EndpointList::partAfter(const EndpointId &id, size_t count) const
{
    const auto isAfter = [](const EndpointId &each, const EndpointEntry &entry) { return each < entry.id; };
    const auto first = std::upper_bound(entries_.begin(), entries_.end(), id, isAfter);
    const auto left = static_cast<size_t>(entries_.end() - first);
    const auto end = first + static_cast<std::ptrdiff_t>(std::min(count, left));
    return {id, {first, end}, end == entries_.end()};
}

std::deque<EndpointList::Step>::const_iterator EndpointList::firstStepSince(uint64_t base,
                                                                            std::optional<TimeMs> asOf) const
{
    const auto known = std::find_if(steps_.begin(), steps_.end(),
                                    [base](const Step &step) { return step.before == base; });
    if (known != steps_.end() || !asOf || *asOf < historyFrom_ + MaxReadTime)
        return known;
    return std::find_if(steps_.begin(), steps_.end(),
                        [asOf](const Step &step) { return step.asOf + MaxReadTime >= *asOf; });
}

std::optional<EndpointChanges> EndpointList::changesSince(uint64_t base, std::optional<TimeMs> asOf) const
{
    const auto first = firstStepSince(base, asOf);
    if (base == 0 || first == steps_.end())
        return std::nullopt;
    std::set<EndpointId> ids;
    for (auto step = first; step != steps_.end(); ++step)
        ids.insert(step->ids.begin(), step->ids.end());
    EndpointChanges out;
    for (const EndpointEntry &entry : entries_) {
        if (ids.erase(entry.id) > 0)
            out.changed.push_back(entry);
    }
    out.gone.assign(ids.begin(), ids.end());
    return out;
}

} // namespace cranberry
