#pragma once

#include <compare>
#include <cstdint>

namespace cranberry {

/// A span of time in milliseconds.
struct DurationMs {
    int64_t count = 0;

    friend constexpr std::strong_ordering operator<=>(DurationMs, DurationMs) = default;
    friend constexpr DurationMs operator+(DurationMs a, DurationMs b) { return {a.count + b.count}; }
    friend constexpr DurationMs operator-(DurationMs a, DurationMs b) { return {a.count - b.count}; }
    friend constexpr DurationMs operator*(DurationMs a, int64_t factor) { return {a.count * factor}; }
    friend constexpr DurationMs operator/(DurationMs a, int64_t divisor) { return {a.count / divisor}; }
};

/// A point on one process's monotonic clock, in milliseconds. It has no meaning in another process, so
/// messages between processes carry a DurationMs instead.
struct TimeMs {
    int64_t count = 0;

    friend constexpr std::strong_ordering operator<=>(TimeMs, TimeMs) = default;
    friend constexpr TimeMs operator+(TimeMs t, DurationMs d) { return {t.count + d.count}; }
    friend constexpr TimeMs operator-(TimeMs t, DurationMs d) { return {t.count - d.count}; }
    friend constexpr DurationMs operator-(TimeMs a, TimeMs b) { return {a.count - b.count}; }
};

} // namespace cranberry
