#pragma once

#include "common/types.h"

#include <boost/circular_buffer.hpp>
#include <map>
#include <optional>
#include <vector>

namespace cranberry {

/// Prediction of a stream's duration. Most streams end sooner.
struct StreamEstimate {
    DurationMs firstEvent; ///< From the arrival of the request to the first event.
    double eventMs = 0; ///< Interval between two events.
    uint64_t events = 0; ///< Of a stream whose request does not state their number.
    double usedShare = 1; ///< Part of the stated number of events that streams have.
};

/// A complete stream.
struct StreamSample {
    TimeMs endedAt;
    DurationMs firstEvent;
    DurationMs streamed; ///< From the first event to the last one.
    uint64_t events = 0;
    uint64_t statedEvents = 0; ///< At most so many were expected; 0: not stated.
};

/// Durations of the newest complete streams of each service.
class StreamDurations
{
public:
    void record(const ServiceName &service, const StreamSample &sample);
    /// `waiting`: how long open requests have waited for their first event so far; they count as samples of
    /// it if that makes the prediction longer. Returns nothing while too few recent streams are known.
    std::optional<StreamEstimate> estimate(const ServiceName &service, const std::vector<DurationMs> &waiting,
                                           TimeMs now) const;

private:
    std::map<ServiceName, boost::circular_buffer<StreamSample>> samples_;
};

} // namespace cranberry
