// What a stop leaves in the log: the requests that it cuts off, and what became of the others.

#include "gateway/gateway.h"

#include <algorithm>

namespace cranberry {

namespace {

namespace json = boost::json;

/// Lines of one exit: a reader that is slow to take them would lose the line `stopped`.
constexpr size_t MaxOpenLines = 50;

} // namespace

void Gateway::recordTakenBefore(TimeMs signalledAt)
{
    for (const std::pair<const CallerId, Exchange> &entry : exchanges_) {
        const Exchange &exchange = entry.second;
        const bool isAdmitted = exchange.phase != ExchangePhase::AwaitingStart;
        stop_.taken += isAdmitted && exchange.arrivedAt > signalledAt ? 1 : 0;
    }
}

void Gateway::recordTaken(const Exchange &exchange)
{
    if (departure_ && exchange.arrivedAt > departure_->signalledAt)
        ++stop_.taken;
}

void Gateway::recordExpectedEnd(Exchange &exchange, TimeMs now)
{
    if (!departure_ || exchange.route->kind != RouteKind::Streaming)
        return;
    const std::optional<DurationMs> rest = expectedRest(exchange, now);
    exchange.expectedEndAt = rest ? std::optional<TimeMs>(now + *rest) : std::nullopt;
}

void Gateway::recordAnswer(TimeMs now)
{
    if (departure_)
        stop_.lastAnswerAt = now;
}

void Gateway::recordRefusal(const Exchange &exchange, GatewayRefusal reason, TimeMs now)
{
    if (!departure_)
        return;
    if (reason == GatewayRefusal::Leaving)
        counters_.addEndedForExit(exchange.phase);
    if (exchange.arrivedAt > departure_->signalledAt)
        ++stop_.refused[reason];
    if (now > exchange.arrivedAt)
        recordAnswer(now);
}

json::object Gateway::sinceSignal() const
{
    json::object refused;
    for (const std::pair<const GatewayRefusal, uint64_t> &each : stop_.refused)
        refused[toText(each.first)] = each.second;
    json::object ended;
    for (size_t i = 0; i < counters_.endedForExit.size(); ++i) {
        if (counters_.endedForExit[i] > 0)
            ended[toText(static_cast<ExchangePhase>(i))] = counters_.endedForExit[i];
    }
    json::object out{
        {"taken", stop_.taken}, {"refused", std::move(refused)}, {"ended_for_exit", std::move(ended)}};
    if (departure_ && stop_.lastAnswerAt)
        out["last_answer_ms"] = (*stop_.lastAnswerAt - departure_->signalledAt).count;
    return out;
}

// Requests without a byte at their caller come first, since none is expected to be open; then the newest.
void Gateway::logOpenAtExit(TimeMs now) const
{
    std::vector<const Exchange *> open;
    for (auto entry = exchanges_.rbegin(); entry != exchanges_.rend(); ++entry)
        open.push_back(&entry->second);
    std::stable_partition(open.begin(), open.end(), [](const Exchange *exchange) {
        return exchange->phase != ExchangePhase::Streaming;
    });
    const size_t logged = std::min(open.size(), MaxOpenLines);
    for (size_t i = 0; i < logged; ++i)
        log(LogPriority::State, "open_at_exit", *open[i], openFields(*open[i], now));
    if (logged < open.size())
        log_.write(LogPriority::State, "open_at_exit_left_out", {{"count", open.size() - logged}});
}

json::object Gateway::openFields(const Exchange &exchange, TimeMs now) const
{
    json::object out{{"phase", toText(exchange.phase)},
                     {"phase_ms", (now - exchange.phaseSince).count},
                     {"after_ms", (now - exchange.arrivedAt).count},
                     {"service", exchange.service.value},
                     {"sends", exchange.sends},
                     {"attempt", exchange.attempt.value},
                     {"stream_began", exchange.streaming},
                     {"events", exchange.events}};
    if (exchange.route && exchange.route->kind == RouteKind::Streaming) {
        if (const std::optional<DurationMs> rest = expectedRest(exchange, now))
            out["expected_rest_ms"] = rest->count;
    }
    if (departure_) {
        out["arrived_after_signal_ms"] = (exchange.arrivedAt - departure_->signalledAt).count;
        if (exchange.expectedEndAt)
            out["expected_end_after_signal_ms"] = (*exchange.expectedEndAt - departure_->signalledAt).count;
    }
    return out;
}

} // namespace cranberry
