#include "daemon/io/logging.h"

#include <chrono>
#include <cstdio>

namespace cranberry {

void logLine(const std::string &event, const std::string &fields)
{
    const std::chrono::system_clock::duration now = std::chrono::system_clock::now().time_since_epoch();
    const int64_t ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    fmt::print(stderr, "time={}.{:03} event={} {}\n", ms / 1000, ms % 1000, event, fields);
}

} // namespace cranberry
