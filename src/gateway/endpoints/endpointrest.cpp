#include "gateway/endpoints/endpointrest.h"

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

/// With so many requests open at a time the endpoint is used like any other.
constexpr uint32_t MaxAtOnce = 64;

} // namespace

void EndpointRest::begin(DurationMs duration, DurationMs jitter, TimeMs now)
{
    if (duration.count <= 0)
        return;
    if (!isResting(now))
        isCallTaken_ = false;
    endsAt_ = std::max(endsAt_, now + std::min(duration, MaxDuration) + jitter);
    atOnce_ = 1;
}

void EndpointRest::accepted(TimeMs now)
{
    if (isResting(now) || atOnce_ == 0)
        return;
    atOnce_ *= 2;
    if (atOnce_ > MaxAtOnce)
        atOnce_ = 0;
}

bool EndpointRest::takeCall(TimeMs now)
{
    return !isResting(now) || !std::exchange(isCallTaken_, true);
}

} // namespace cranberry
