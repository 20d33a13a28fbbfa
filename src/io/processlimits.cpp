#include "io/processlimits.h"

#include <algorithm>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace cranberry {

namespace {

constexpr uint64_t BytesPerMb = 1U << 20;
/// Descriptors that are left for files.
constexpr uint32_t FileDescriptors = 200;
/// Blocks from this size on, in bytes, are mapped on their own. A stated value also ends the allocator's
/// habit of raising it to the largest block that was freed.
constexpr int MmapThreshold = 128 << 10;
constexpr int TrimThreshold = 1 << 20; ///< Free bytes at the end of the heap that are not given back.

uint64_t systemLimit(int resource)
{
    rlimit limit = {};
    if (::getrlimit(static_cast<__rlimit_resource>(resource), &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return UINT64_MAX;
    return limit.rlim_cur;
}

uint64_t instanceMemory()
{
    return static_cast<uint64_t>(std::max(::sysconf(_SC_PHYS_PAGES), 0L))
        * static_cast<uint64_t>(std::max(::sysconf(_SC_PAGESIZE), 0L));
}

} // namespace

ProcessLimits findProcessLimits(uint32_t memoryMb, uint32_t descriptors)
{
    ProcessLimits out;
    out.memoryBytes = memoryMb > 0
        ? memoryMb * BytesPerMb
        : std::min({instanceMemory(), systemLimit(RLIMIT_AS), systemLimit(RLIMIT_DATA)});
    const uint64_t most = systemLimit(RLIMIT_NOFILE);
    out.descriptors
        = static_cast<uint32_t>(std::min<uint64_t>(descriptors > 0 ? descriptors : UINT32_MAX, most));
    return out;
}

size_t clientBytes(const ProcessLimits &limits)
{
    return limits.memoryBytes / 2;
}

size_t replyBytes(const ProcessLimits &limits)
{
    return limits.memoryBytes / 8;
}

ConnectionLimits connectionLimits(const ProcessLimits &limits)
{
    const size_t files = std::min(FileDescriptors, limits.descriptors / 2);
    const size_t sockets = limits.descriptors - files;
    ConnectionLimits out;
    out.callers = std::max<size_t>(sockets * 5 / 16, 1);
    out.entry = std::max<size_t>(sockets / 16, 1);
    out.relay = std::max<size_t>(sockets / 8, 1);
    out.other = std::max<size_t>(sockets / 64, 1);
    return out;
}

void returnFreedMemory()
{
    ::mallopt(M_MMAP_THRESHOLD, MmapThreshold);
    ::mallopt(M_TRIM_THRESHOLD, TrimThreshold);
}

} // namespace cranberry
