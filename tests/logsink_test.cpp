#include "gateway/io/logsink.h"

#include <array>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <optional>
#include <unistd.h>

using namespace cranberry;

namespace {

/// A sink whose lines are read from a pipe, and its clock.
class SinkFixture
{
public:
    SinkFixture()
    {
        REQUIRE(::pipe(pipe_.data()) == 0);
        ::fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
        ::fcntl(pipe_[0], F_SETPIPE_SZ, 1 << 20);
        sink.emplace(
            "entry-1", [this] { return nowMs; }, pipe_[1]);
    }
    ~SinkFixture()
    {
        ::close(pipe_[0]);
        ::close(pipe_[1]);
    }

    void write(LogPriority weight, const char *event, const std::string &id)
    {
        sink->write(weight, event, {{"request", id}, {"endpoint", "i-1"}});
    }
    /// Returns what was written since the last call.
    std::string readOut()
    {
        std::string out;
        std::array<char, 4096> piece{};
        for (ssize_t size = 0; (size = ::read(pipe_[0], piece.data(), piece.size())) > 0;)
            out.append(piece.data(), static_cast<size_t>(size));
        return out;
    }

    int64_t nowMs = 1'000'000;
    std::optional<LogSink> sink;

private:
    std::array<int, 2> pipe_{};
};

size_t countOf(const std::string &text, const std::string &part)
{
    size_t count = 0;
    for (size_t at = 0; (at = text.find(part, at)) != std::string::npos; ++at)
        ++count;
    return count;
}

std::string idOf(int number)
{
    return fmt::format("request-{:06d}", number);
}

} // namespace

// Guards against a request of a busy daemon that its log does not name.
TEST_CASE_FIXTURE(SinkFixture, "each request that was sent or ended is named, in full or in brief")
{
    constexpr int Requests = 300;
    for (int i = 0; i < Requests; ++i) {
        write(LogPriority::Ordinary, "send", idOf(i));
        write(LogPriority::Ordinary, "queued", idOf(i));
        write(LogPriority::Ordinary, i % 2 == 0 ? "answered" : "stream_whole", idOf(i));
    }
    sink->flush();
    const std::string out = readOut();
    for (int i = 0; i < Requests; ++i)
        CHECK_MESSAGE(countOf(out, idOf(i)) >= 2, idOf(i));
    CHECK(countOf(out, "\"event\":\"in_brief\"") == 1);
    CHECK(countOf(out, "\"send i-1 " + idOf(Requests - 1) + "\"") == 1);
    CHECK(countOf(out, "\"stream_whole i-1 " + idOf(Requests - 1) + "\"") == 1);
    CHECK(countOf(out, "\"unnamed\":0") == 1);
    sink->flush();
    CHECK(readOut().empty());
}

// Guards against refusals that push out the last line of a request that an endpoint ran.
TEST_CASE_FIXTURE(SinkFixture, "lines of lost requests are kept beside a storm of refusals")
{
    for (int i = 0; i < 300; ++i) {
        write(LogPriority::Failure, "refused", idOf(i));
        if (i % 3 == 2)
            write(LogPriority::Lost, "stream_broken", fmt::format("lost-{}", i / 3));
    }
    sink->flush();
    const std::string out = readOut();
    CHECK(countOf(out, "\"event\":\"refused\"") == 200);
    CHECK(countOf(out, "\"event\":\"stream_broken\"") == 100);
    CHECK(countOf(out, "in_brief") == 0);
}

// Guards against lost requests without any line when many are lost at once, and against a log without bounds.
TEST_CASE_FIXTURE(SinkFixture, "more lost requests in a second are named in brief, up to a bound")
{
    for (int i = 0; i < 400; ++i)
        write(LogPriority::Lost, "caller_gone", idOf(i));
    sink->flushUrgent();
    const std::string some = readOut();
    for (int i = 0; i < 400; ++i)
        CHECK_MESSAGE(countOf(some, idOf(i)) == 1, idOf(i));
    CHECK(countOf(some, "\"event\":\"lost_in_brief\"") == 1);
    for (int i = 0; i < 20'000; ++i) {
        write(LogPriority::Lost, "caller_gone", idOf(i));
        write(LogPriority::Ordinary, "send", std::string(5000, 'x'));
        write(LogPriority::Failure, "refused", std::string(5000, 'x'));
    }
    sink->flush();
    const std::string many = readOut();
    CHECK(many.size() > (100U << 10));
    CHECK(many.size() < (240U << 10));
    CHECK(countOf(many, "\"event\":\"lost_in_brief\"") == 1);
    CHECK(countOf(many, "\"unnamed\":0") == 0);
    nowMs += 1000;
    write(LogPriority::Ordinary, "send", "next");
    sink->flush();
    CHECK(countOf(readOut(), "\"event\":\"lines_left_out\"") == 1);
}

// Guards against memory that grows while nobody reads the log.
TEST_CASE_FIXTURE(SinkFixture, "the buffer is bounded while nobody reads, with room for urgent lines left")
{
    LogSink unread(
        "entry-1", [this] { return nowMs += 10; }, -1);
    for (int i = 0; i < 100'000; ++i) {
        unread.write(LogPriority::Ordinary, "send", {{"request", std::string(400, 'x')}});
        unread.write(LogPriority::Failure, "refused", {{"request", std::string(400, 'x')}});
        unread.flush();
        unread.flushUrgent();
    }
    CHECK(unread.bufferedBytes() <= (256U << 10) + (33U << 10));
    for (int i = 0; i < 100'000; ++i) {
        unread.write(LogPriority::Lost, "stream_broken", {{"request", std::string(400, 'x')}});
        unread.flush();
    }
    CHECK(unread.bufferedBytes() >= (320U << 10));
    CHECK(unread.bufferedBytes() <= (320U << 10) + (17U << 10));
}

// Guards against a kill that takes with it what had been decided before the tick.
TEST_CASE_FIXTURE(SinkFixture,
                  "lines of state and of lost requests are written at once, with all before them")
{
    write(LogPriority::Ordinary, "send", "r1");
    write(LogPriority::Failure, "refused", "r2");
    sink->flushUrgent();
    CHECK(readOut().empty());
    write(LogPriority::Lost, "stream_broken", "r1");
    sink->flushUrgent();
    const std::string lost = readOut();
    CHECK(countOf(lost, "\n") == 3);
    CHECK(lost.find("\"send\"") < lost.find("\"stream_broken\""));
    sink->write(LogPriority::State, "store_lost", {});
    sink->flushUrgent();
    CHECK(countOf(readOut(), "store_lost") == 1);
    sink->flushUrgent();
    CHECK(readOut().empty());
}
