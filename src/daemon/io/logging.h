#pragma once

#include <fmt/format.h>
#include <string>

namespace cranberry {

/// One key=value line to standard error. For changes of state only; everything else is a counter.
void logLine(const std::string &event, const std::string &fields);

template <typename... Args>
void logChange(const char *event, fmt::format_string<Args...> format, Args &&...args)
{
    logLine(event, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace cranberry
