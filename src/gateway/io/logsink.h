#pragma once

#include "gateway/decisionlog.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unistd.h>

namespace cranberry {

/// Writes decisions as JSON lines to standard output.
///
/// Lines are buffered and written without blocking. Under load some lines about requests are dropped, and if
/// nobody reads, all further lines are. The number of dropped lines is logged. Requests whose lines of being
/// sent, of their end or of their loss were dropped for their number are named in brief.
class LogSink : public DecisionLog
{
public:
    using WallClock = std::function<int64_t()>; ///< Milliseconds since 1970.

    LogSink(std::string instance, WallClock clock, int output = STDOUT_FILENO);

    void write(LogPriority weight, const char *event, boost::json::object fields) override;
    /// Writes what is buffered, as far as the output accepts it.
    void flush();
    /// The same if a line of State or Lost is buffered: a process that is killed loses the others alone.
    void flushUrgent();
    size_t bufferedBytes() const { return pending_.size(); }

private:
    /// Requests whose lines were left out.
    struct Brief {
        const char *event;
        size_t maxBytesPerSecond;
        boost::json::array requests; ///< Texts of event, endpoint and request.
        size_t bytesThisSecond = 0;
        uint64_t unnamed = 0; ///< For which there was no room.
    };

    void beginSecond(int64_t nowMs);
    bool hasRoomFor(LogPriority weight) const;
    bool admit(LogPriority weight);
    void append(const char *event, boost::json::object &&fields, int64_t nowMs);
    void nameInBrief(LogPriority weight, const char *event, const boost::json::object &fields);
    void appendBrief(LogPriority weight);
    Brief &briefOf(LogPriority weight) { return weight == LogPriority::Lost ? lostBrief_ : ordinaryBrief_; }
    void writeOut();

    std::string instance_;
    WallClock clock_;
    int output_;
    std::string pending_;
    bool hasUrgent_ = false;
    Brief ordinaryBrief_;
    Brief lostBrief_;
    int64_t second_ = 0;
    uint32_t ordinaryThisSecond_ = 0;
    uint32_t failuresThisSecond_ = 0;
    uint32_t lostThisSecond_ = 0;
    uint64_t droppedLines_ = 0;
};

} // namespace cranberry
