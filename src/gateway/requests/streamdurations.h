#pragma once

#include "common/types.h"

#include <boost/circular_buffer.hpp>
#include <map>
#include <optional>

namespace cranberry {

/// Prediction of a stream's duration. It is long rather than short: almost all streams end sooner.
struct StreamEstimate {
    DurationMs firstEvent; ///< From the arrival of the request to the first event.
    double eventMs = 0; ///< Interval between two events.
    uint64_t mostEvents = 0;

    DurationMs firstEventAnd(uint64_t events) const;
};

/// Durations of the newest complete streams of each service.
class StreamDurations
{
public:
    void record(const ServiceName &service, DurationMs firstEvent, DurationMs streamed, uint64_t events,
                TimeMs now);
    /// Returns nothing while too few recent streams are known.
    std::optional<StreamEstimate> estimate(const ServiceName &service, TimeMs now) const;

private:
    struct Sample {
        TimeMs endedAt;
        DurationMs firstEvent;
        double eventMs = 0;
        uint64_t events = 0;
    };
    std::map<ServiceName, boost::circular_buffer<Sample>> samples_;
};

} // namespace cranberry
