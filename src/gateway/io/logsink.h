#pragma once

#include "gateway/decisionlog.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace cranberry {

/// Writes decisions as JSON lines to standard output.
///
/// Lines are buffered and written without blocking. Under load some ordinary lines are dropped, and if nobody
/// reads, all further lines are. The number of dropped lines is logged.
class LogSink : public DecisionLog
{
public:
    using WallClock = std::function<int64_t()>; ///< Milliseconds since 1970.

    LogSink(std::string instance, WallClock clock);

    void write(LogPriority weight, const char *event, boost::json::object fields) override;
    /// Writes buffered lines to standard output as far as it accepts them.
    void flush();

private:
    bool admit(LogPriority weight, int64_t nowMs);
    void append(const char *event, boost::json::object &&fields, int64_t nowMs);

    std::string instance_;
    WallClock clock_;
    std::string pending_;
    int64_t second_ = 0;
    uint32_t ordinaryThisSecond_ = 0;
    uint32_t failuresThisSecond_ = 0;
    uint64_t droppedLines_ = 0;
};

} // namespace cranberry
