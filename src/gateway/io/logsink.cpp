#include "gateway/io/logsink.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <fmt/format.h>
#include <poll.h>
#include <string_view>
#include <utility>

namespace cranberry {

namespace {

/// Max ordinary lines per second; further ones are dropped. This is enough to trace about 15 requests in
/// full.
constexpr uint32_t OrdinaryPerSecond = 60;
/// Max failure and refusal lines per second, so that logging during a storm of refusals does not take CPU
/// time from requests.
constexpr uint32_t FailuresPerSecond = 200;
/// Max lines of lost requests per second, in full; refusals and failures don't take from them.
constexpr uint32_t LostPerSecond = 100;
/// Bytes per second of the texts that name requests in brief.
constexpr size_t OrdinaryBriefBytes = 32U << 10;
constexpr size_t LostBriefBytes = 16U << 10;
/// Of a request's id, or an endpoint's name, in such a text.
constexpr size_t BriefIdBytes = 64;
/// What a text of a JSON array has around it.
constexpr size_t BriefTextOverhead = 3;
/// Buffered bytes beyond which lines are dropped: the reader is gone or far behind.
constexpr size_t MaxPendingLogBytes = 256U << 10;
/// Further bytes that only lines of state and of lost requests use.
constexpr size_t UrgentLogBytes = 64U << 10;
/// Bytes of a text in a line about a request. Clients choose some of them, such as request ids.
constexpr size_t MaxTextBytes = 512;
constexpr int64_t MsPerSecond = 1000;

bool concernsRequest(LogPriority weight)
{
    return weight != LogPriority::State;
}

bool isUrgent(LogPriority weight)
{
    return weight == LogPriority::State || weight == LogPriority::Lost;
}

// Lines without which nobody knows that this daemon had the request, or how it ended.
bool isNamedInBrief(std::string_view event)
{
    constexpr std::array<std::string_view, 3> Events{"send", "answered", "stream_whole"};
    return std::find(Events.begin(), Events.end(), event) != Events.end();
}

std::string_view clippedText(const boost::json::object &fields, const char *name)
{
    const boost::json::value *value = fields.if_contains(name);
    const boost::json::string *text = value ? value->if_string() : nullptr;
    return text ? std::string_view(*text).substr(0, BriefIdBytes) : std::string_view();
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

LogSink::LogSink(std::string instance, WallClock clock, int output)
    : instance_(std::move(instance)), clock_(std::move(clock)),
      output_(output), ordinaryBrief_{"in_brief", OrdinaryBriefBytes, {}}, lostBrief_{"lost_in_brief",
                                                                                      LostBriefBytes,
                                                                                      {}}
{ }

void LogSink::beginSecond(int64_t nowMs)
{
    if (nowMs / MsPerSecond == second_)
        return;
    second_ = nowMs / MsPerSecond;
    ordinaryThisSecond_ = 0;
    failuresThisSecond_ = 0;
    lostThisSecond_ = 0;
    ordinaryBrief_.bytesThisSecond = 0;
    lostBrief_.bytesThisSecond = 0;
    if (droppedLines_ > 0 && hasRoomFor(LogPriority::Failure)) {
        const uint64_t count = std::exchange(droppedLines_, 0);
        append("lines_left_out", {{"count", count}}, nowMs);
    }
}

bool LogSink::hasRoomFor(LogPriority weight) const
{
    return pending_.size() < MaxPendingLogBytes + (isUrgent(weight) ? UrgentLogBytes : 0);
}

bool LogSink::admit(LogPriority weight)
{
    if (!hasRoomFor(weight))
        return false;
    switch (weight) {
    case LogPriority::Ordinary:
        return ++ordinaryThisSecond_ <= OrdinaryPerSecond;
    case LogPriority::Failure:
        return ++failuresThisSecond_ <= FailuresPerSecond;
    case LogPriority::Lost:
        return ++lostThisSecond_ <= LostPerSecond;
    case LogPriority::State:
        break;
    }
    return true;
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
    beginSecond(nowMs);
    hasUrgent_ = hasUrgent_ || isUrgent(weight);
    if (!admit(weight)) {
        ++droppedLines_;
        return nameInBrief(weight, event, fields);
    }
    if (concernsRequest(weight))
        clipTexts(fields);
    append(event, std::move(fields), nowMs);
}

// What is kept until the next flush is bounded: nothing is added while the buffer is full.
void LogSink::nameInBrief(LogPriority weight, const char *event, const boost::json::object &fields)
{
    const bool isLost = weight == LogPriority::Lost;
    if (!isLost && (weight != LogPriority::Ordinary || !isNamedInBrief(event)))
        return;
    Brief &brief = briefOf(weight);
    const std::string_view endpoint = clippedText(fields, "endpoint");
    const std::string text
        = fmt::format("{} {} {}", event, endpoint.empty() ? "-" : endpoint, clippedText(fields, "request"));
    const size_t bytes = text.size() + BriefTextOverhead;
    if (!hasRoomFor(weight) || brief.bytesThisSecond + bytes > brief.maxBytesPerSecond) {
        ++brief.unnamed;
        return;
    }
    brief.bytesThisSecond += bytes;
    brief.requests.emplace_back(text);
}

void LogSink::appendBrief(LogPriority weight)
{
    Brief &brief = briefOf(weight);
    if ((brief.requests.empty() && brief.unnamed == 0) || !hasRoomFor(weight))
        return;
    append(brief.event,
           {{"requests", std::exchange(brief.requests, {})}, {"unnamed", std::exchange(brief.unnamed, 0)}},
           clock_());
}

void LogSink::flush()
{
    appendBrief(LogPriority::Lost);
    appendBrief(LogPriority::Ordinary);
    writeOut();
    hasUrgent_ = !pending_.empty();
}

void LogSink::flushUrgent()
{
    if (!hasUrgent_)
        return;
    appendBrief(LogPriority::Lost);
    writeOut();
    hasUrgent_ = !pending_.empty();
}

// Writes only while the pipe accepts data. A pipe that polls as writable takes at least PIPE_BUF bytes
// without blocking, so it is written in chunks of that size.
void LogSink::writeOut()
{
    constexpr size_t Piece = 4096;
    size_t done = 0;
    while (done < pending_.size()) {
        pollfd state{output_, POLLOUT, 0};
        if (::poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0)
            break;
        const size_t size = std::min(Piece, pending_.size() - done);
        const ssize_t written = ::write(output_, pending_.data() + done, size);
        if (written <= 0)
            break;
        done += static_cast<size_t>(written);
    }
    pending_.erase(0, done);
}

} // namespace cranberry
