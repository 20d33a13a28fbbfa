// Endpoints that end under their requests: told apart from connections that break, and noted with the
// requests that were there.

#include "gateway/gateway.h"

#include <utility>

namespace cranberry {

namespace {

/// An endpoint whose process runs answers within milliseconds; one whose instance is silent is not asked
/// again, since silence is no sign that it ended.
constexpr DurationMs ProcessProbeTimeout{500};

} // namespace

// All attempts at an endpoint that ends break within milliseconds of each other: it is asked once for all of
// them, on a new connection. A connection alone, and an endpoint that drops a request of its own fault, look
// the same until then.
void Gateway::noteBroken(const Exchange &exchange, TimeMs now)
{
    const FleetEndpoint *endpoint = fleet_.find(exchange.at);
    if (!endpoint)
        return;
    const auto [question, isNew] = endpointQuestions_.try_emplace(exchange.at, Question{now, {}});
    BrokenAttempt broken{exchange.request->id, exchange.digest, std::nullopt};
    if (exchange.streaming)
        broken.firstEventAt = exchange.firstEventAt;
    question->second.broken.push_back(std::move(broken));
    if (isNew)
        actions_.emplace_back(
            ProbeEngine{exchange.at.id, endpoint->entry.address, ProcessProbeTimeout, true});
}

void Gateway::onProcessKnown(const EngineProbed &event, TimeMs now)
{
    const auto found = endpointQuestions_.lower_bound({event.endpoint, {}});
    if (found == endpointQuestions_.end() || found->first.id != event.endpoint)
        return;
    const EndpointLife life = found->first;
    const Question question = std::move(found->second);
    endpointQuestions_.erase(found);
    // Another process at that address means that the one before it ended.
    const bool startedAgain = event.answered && event.start > life.start;
    if (event.process != EndpointProcess::Ended && !startedAgain) {
        counters_.add(event.process == EndpointProcess::Runs ? GatewayCount::EndpointsOutlivedBreaks
                                                             : GatewayCount::BreaksUnexplained);
        return;
    }
    counters_.add(GatewayCount::EndpointsEnded);
    const FleetEndpoint *endpoint = fleet_.find(life);
    log_.write(LogWeight::State, "endpoint_ended",
               {{"endpoint", life.id.value},
                {"start", life.start.unixMs},
                {"leaving", endpoint && endpoint->entry.leaving},
                {"attempts", question.broken.size()},
                {"known_after_ms", (now - question.askedAt).count}});
    for (const BrokenAttempt &broken : question.broken) {
        log_.write(
            LogWeight::Failure, "lost_with_endpoint",
            {{"request", broken.requestId},
             {"digest", toText(broken.digest)},
             {"endpoint", life.id.value},
             {"streamed_ms", broken.firstEventAt ? (question.askedAt - *broken.firstEventAt).count : -1}});
    }
}

} // namespace cranberry
