#include "gateway/io/clocksource.h"

#include <atomic>
#include <ctime>

namespace cranberry {

namespace {

std::atomic<int64_t> newestSteadyMs{0};

int64_t readMs(clockid_t clock)
{
    timespec time{};
    ::clock_gettime(clock, &time);
    return static_cast<int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1'000'000;
}

} // namespace

TimeMs steadyNow()
{
    const int64_t now = readMs(CLOCK_BOOTTIME);
    newestSteadyMs.store(now, std::memory_order_relaxed);
    return {now};
}

TimeMs newestSteadyTime()
{
    return {newestSteadyMs.load(std::memory_order_relaxed)};
}

int64_t wallNowMs()
{
    return readMs(CLOCK_REALTIME);
}

} // namespace cranberry
