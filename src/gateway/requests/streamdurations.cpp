#include "gateway/requests/streamdurations.h"

#include <algorithm>

namespace cranberry {

namespace {

/// The longest of so many is exceeded by few others.
constexpr size_t SamplesKept = 64;
constexpr size_t SamplesNeeded = 8;
/// The load on engines changes within such a time.
constexpr DurationMs MaxSampleAge{60000};

} // namespace

DurationMs StreamEstimate::firstEventAnd(uint64_t events) const
{
    return firstEvent + DurationMs{static_cast<int64_t>(eventMs * static_cast<double>(events))};
}

void StreamDurations::record(const ServiceName &service, DurationMs firstEvent, DurationMs streamed,
                             uint64_t events, TimeMs now)
{
    const double intervals = static_cast<double>(std::max<uint64_t>(events, 2) - 1);
    samples_.try_emplace(service, SamplesKept)
        .first->second.push_back({now, firstEvent, static_cast<double>(streamed.count) / intervals, events});
}

std::optional<StreamEstimate> StreamDurations::estimate(const ServiceName &service, TimeMs now) const
{
    const auto found = samples_.find(service);
    if (found == samples_.end())
        return std::nullopt;
    StreamEstimate out;
    size_t recent = 0;
    for (const Sample &sample : found->second) {
        if (now - sample.endedAt > MaxSampleAge)
            continue;
        ++recent;
        out.firstEvent = std::max(out.firstEvent, sample.firstEvent);
        out.eventMs = std::max(out.eventMs, sample.eventMs);
        out.mostEvents = std::max(out.mostEvents, sample.events);
    }
    return recent < SamplesNeeded ? std::nullopt : std::optional<StreamEstimate>(out);
}

} // namespace cranberry
