#pragma once

#include "gateway/decisionlog.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace cranberry {

/// Writes decisions as JSON lines to standard output.
///
/// Lines are gathered and written without blocking. Under load ordinary lines are thinned out, and if nobody
/// reads, lines are dropped; both are counted in a line of their own.
class LogSink : public DecisionLog
{
public:
    using WallClock = std::function<int64_t()>; ///< Milliseconds since 1970.

    LogSink(std::string instance, WallClock clock);

    void write(LogWeight weight, const char *event, boost::json::object fields) override;
    /// Hands the gathered lines to standard output, as far as it takes them.
    void flush();

private:
    bool admit(LogWeight weight, int64_t nowMs);
    void append(const char *event, boost::json::object &&fields, int64_t nowMs);

    std::string instance_;
    WallClock clock_;
    std::string pending_;
    int64_t second_ = 0;
    uint32_t ordinaryThisSecond_ = 0;
    uint32_t failuresThisSecond_ = 0;
    uint64_t leftOut_ = 0;
};

} // namespace cranberry
