#include "gateway/io/clocksource.h"

#include <ctime>

namespace cranberry {

namespace {

int64_t readMs(clockid_t clock)
{
    timespec time{};
    ::clock_gettime(clock, &time);
    return static_cast<int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1'000'000;
}

} // namespace

TimeMs steadyNow()
{
    return {readMs(CLOCK_BOOTTIME)};
}

int64_t wallNowMs()
{
    return readMs(CLOCK_REALTIME);
}

} // namespace cranberry
