#pragma once

#include "common/types.h"

#include <cstdint>
#include <map>
#include <optional>

namespace cranberry {

/// Difference of the ids of two consecutive events, by service, as its complete streams have shown it.
///
/// A stream that is continued after its first event does not show by itself which id is the next one.
class EventSteps
{
public:
    void record(const ServiceName &service, uint64_t step);
    /// Returns nothing if no stream has shown it, or if streams of the service differ.
    std::optional<uint64_t> usual(const ServiceName &service) const;

private:
    struct Step {
        uint64_t step = 0;
        bool differs = false;
    };
    std::map<ServiceName, Step> steps_;
};

} // namespace cranberry
