#pragma once

#include <fmt/format.h>
#include <string>

namespace cranberry {

/// Writes one line of key=value fields to standard error. Only state changes are logged; everything else is
/// counted in metrics.
void logLine(const std::string &event, const std::string &fields);

template <typename... Args>
void logChange(const char *event, fmt::format_string<Args...> format, Args &&...args)
{
    logLine(event, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace cranberry
