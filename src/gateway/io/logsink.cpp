#include "gateway/io/logsink.h"

#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace cranberry {

namespace {

/// Max ordinary lines per second; further ones are dropped. This is enough to trace about 15 requests in
/// full.
constexpr uint32_t OrdinaryPerSecond = 60;
/// Max failure and refusal lines per second, so that logging during a storm of refusals does not take CPU
/// time from requests.
constexpr uint32_t FailuresPerSecond = 200;
/// Buffered bytes beyond which lines are dropped: the reader is gone or far behind.
constexpr size_t MaxPendingLogBytes = 256U << 10;
/// Bytes of a text in a line about a request. Clients choose some of them, such as request ids.
constexpr size_t MaxTextBytes = 512;
constexpr int64_t MsPerSecond = 1000;

bool concernsRequest(LogPriority weight)
{
    return weight != LogPriority::State;
}

void clipTexts(boost::json::object &fields)
{
    for (boost::json::key_value_pair &field : fields) {
        boost::json::string *text = field.value().if_string();
        if (text && text->size() > MaxTextBytes)
            text->resize(MaxTextBytes);
    }
}

} // namespace

LogSink::LogSink(std::string instance, WallClock clock)
    : instance_(std::move(instance)), clock_(std::move(clock))
{ }

bool LogSink::admit(LogPriority weight, int64_t nowMs)
{
    if (nowMs / MsPerSecond != second_) {
        second_ = nowMs / MsPerSecond;
        ordinaryThisSecond_ = 0;
        failuresThisSecond_ = 0;
        if (droppedLines_ > 0 && pending_.size() < MaxPendingLogBytes) {
            const uint64_t count = std::exchange(droppedLines_, 0);
            append("lines_left_out", {{"count", count}}, nowMs);
        }
    }
    if (pending_.size() >= MaxPendingLogBytes)
        return false;
    if (weight == LogPriority::State)
        return true;
    if (weight == LogPriority::Ordinary)
        return ++ordinaryThisSecond_ <= OrdinaryPerSecond;
    return ++failuresThisSecond_ <= FailuresPerSecond;
}

void LogSink::append(const char *event, boost::json::object &&fields, int64_t nowMs)
{
    boost::json::object line{{"time_ms", nowMs}, {"instance", instance_}, {"event", event}};
    for (boost::json::key_value_pair &field : fields)
        line.emplace(field.key(), std::move(field.value()));
    pending_ += boost::json::serialize(line);
    pending_ += '\n';
}

void LogSink::write(LogPriority weight, const char *event, boost::json::object fields)
{
    const int64_t nowMs = clock_();
    if (!admit(weight, nowMs)) {
        ++droppedLines_;
        return;
    }
    if (concernsRequest(weight))
        clipTexts(fields);
    append(event, std::move(fields), nowMs);
}

// Writes only while the pipe accepts data. A pipe that polls as writable takes at least PIPE_BUF bytes
// without blocking, so it is written in chunks of that size.
void LogSink::flush()
{
    constexpr size_t Piece = 4096;
    size_t done = 0;
    while (done < pending_.size()) {
        pollfd state{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0)
            break;
        const size_t size = std::min(Piece, pending_.size() - done);
        const ssize_t written = ::write(STDOUT_FILENO, pending_.data() + done, size);
        if (written <= 0)
            break;
        done += static_cast<size_t>(written);
    }
    pending_.erase(0, done);
}

} // namespace cranberry
