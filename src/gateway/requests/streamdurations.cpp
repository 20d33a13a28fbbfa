#include "gateway/requests/streamdurations.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr size_t SamplesKept = 64;
constexpr size_t SamplesNeeded = 8;
/// The load on engines changes within such a time.
constexpr DurationMs MaxSampleAge{60000};
/// Part of the samples below a predicted figure. A stream that is refused costs its caller a retry, one that
/// is cut off costs all of its work.
constexpr double PredictedQuantile = 0.8;

template <typename Value>
Value quantileOf(std::vector<Value> &values)
{
    const size_t index = static_cast<size_t>(PredictedQuantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

} // namespace

void StreamDurations::record(const ServiceName &service, const StreamSample &sample)
{
    samples_.try_emplace(service, SamplesKept).first->second.push_back(sample);
}

std::optional<StreamEstimate> StreamDurations::estimate(const ServiceName &service,
                                                        const std::vector<DurationMs> &waiting,
                                                        TimeMs now) const
{
    const auto found = samples_.find(service);
    if (found == samples_.end())
        return std::nullopt;
    std::vector<DurationMs> firstEvents;
    std::vector<double> intervals;
    std::vector<uint64_t> events;
    std::vector<double> shares;
    for (const StreamSample &sample : found->second) {
        if (now - sample.endedAt > MaxSampleAge)
            continue;
        firstEvents.push_back(sample.firstEvent);
        const double pauses = static_cast<double>(std::max<uint64_t>(sample.events, 2) - 1);
        intervals.push_back(static_cast<double>(sample.streamed.count) / pauses);
        events.push_back(sample.events);
        if (sample.statedEvents > 0)
            shares.push_back(static_cast<double>(sample.events) / static_cast<double>(sample.statedEvents));
    }
    if (events.size() < SamplesNeeded)
        return std::nullopt;
    StreamEstimate out;
    out.firstEvent = quantileOf(firstEvents);
    firstEvents.insert(firstEvents.end(), waiting.begin(), waiting.end());
    out.firstEvent = std::max(out.firstEvent, quantileOf(firstEvents)); // A short wait is not yet over.
    out.eventMs = quantileOf(intervals);
    out.events = quantileOf(events);
    if (!shares.empty())
        out.usedShare = std::min(quantileOf(shares), 1.0);
    return out;
}

} // namespace cranberry
