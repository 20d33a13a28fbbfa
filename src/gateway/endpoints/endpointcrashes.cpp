// Handles endpoints that crash under their requests, and quarantines the requests suspected of causing it.

#include "gateway/gateway.h"

namespace cranberry {

namespace {

/// An endpoint whose process runs replies within milliseconds. An instance that does not reply is not probed
/// again, since silence does not show that its process exited.
constexpr DurationMs ProcessProbeTimeout{500};
/// A stream that ran for this long did not crash its endpoint by starting; such crashes were seen 35 to 110
/// ms after the start.
constexpr DurationMs SoundRunTime{1000};

} // namespace

// A request that is already a suspect is not retried before the probe's result is known: the result comes
// within two milliseconds, and the retry could crash another endpoint.
bool Gateway::noteBroken(const Exchange &exchange, TimeMs now)
{
    const FleetEndpoint *endpoint = fleet_.find(exchange.at);
    if (!endpoint)
        return false;
    BrokenAttempt broken{exchange.caller, exchange.request->id, exchange.digest, std::nullopt, false};
    if (exchange.streaming)
        broken.firstEventAt = exchange.firstEventAt;
    broken.waits = quarantine_.suspects().isSuspected(exchange.digest) && !isQuarantined(exchange, now);
    if (endpointQuestions_.add(exchange.at, broken, now))
        actions_.emplace_back(
            ProbeEngine{exchange.at.id, endpoint->entry.address, ProcessProbeTimeout, true});
    return broken.waits;
}

void Gateway::onProcessKnown(const EngineProbed &event, TimeMs now)
{
    const std::optional<EndpointQuestions::Answered> question = endpointQuestions_.take(event);
    if (!question)
        return;
    if (question->process == EndpointProcess::Ended)
        noteEnd(*question, now);
    else
        counters_.add(question->process == EndpointProcess::Runs ? GatewayCount::EndpointsOutlivedBreaks
                                                                 : GatewayCount::BreaksUnexplained);
    for (const BrokenAttempt &broken : question->broken) {
        const auto exchange = exchanges_.find(broken.caller);
        if (broken.waits && exchange != exchanges_.end())
            goOnAfterBreak(exchange->second, true, now);
    }
}

void Gateway::noteEnd(const EndpointQuestions::Answered &question, TimeMs now)
{
    counters_.add(GatewayCount::EndpointsEnded);
    const FleetEndpoint *endpoint = fleet_.find(question.life);
    const bool announced = endpoint && (endpoint->entry.leaving || endpoint->gone);
    log_.write(LogWeight::State, "endpoint_ended",
               {{"endpoint", question.life.id.value},
                {"start", question.life.start.unixMs},
                {"announced", announced},
                {"attempts", question.broken.size()},
                {"known_after_ms", (now - question.askedAt).count}});
    fleet_.ended(question.life, now);
    std::vector<EndpointLoss> losses;
    for (const BrokenAttempt &broken : question.broken) {
        const DurationMs streamed
            = broken.firstEventAt ? question.askedAt - *broken.firstEventAt : DurationMs{-1};
        log_.write(LogWeight::Failure, "lost_with_endpoint",
                   {{"request", broken.requestId},
                    {"digest", toText(broken.digest)},
                    {"endpoint", question.life.id.value},
                    {"streamed_ms", streamed.count},
                    {"ends_before", quarantine_.suspects().endsUnder(broken.digest)}});
        losses.push_back({broken.digest, question.life, streamed >= SoundRunTime});
    }
    // A leaving endpoint exits as planned, so its requests are not suspected.
    if (announced)
        return;
    noteQuarantined(quarantine_.takeLosses(losses, VerdictSource::Own, now), VerdictSource::Own, now);
    for (const CrashNotice &notice : noticesOf(losses))
        tell(peers_.reportTargets(), notice);
}

void Gateway::onCrashNotice(const CrashNotice &notice, TimeMs now)
{
    noteQuarantined(quarantine_.takeLosses(notice.losses, VerdictSource::Peer, now), VerdictSource::Peer,
                    now);
    for (const RequestDigest request : notice.answered)
        quarantine_.answeredElsewhere(request, now);
    onQuarantine(notice.quarantined, VerdictSource::Peer, now);
}

void Gateway::onQuarantine(const std::vector<QuarantinedRequest> &list, VerdictSource source, TimeMs now)
{
    noteQuarantined(quarantine_.takeList(list, usage_.offset(), now), source, now);
}

const std::vector<QuarantinedRequest> &Gateway::quarantine(TimeMs now)
{
    return quarantine_.list(usage_.offset(), now);
}

void Gateway::noteQuarantined(const std::vector<RequestDigest> &requests, VerdictSource source, TimeMs now)
{
    for (const RequestDigest request : requests) {
        counters_.add(GatewayCount::RequestsQuarantined);
        log_.write(LogWeight::State, "request_quarantined",
                   {{"digest", toText(request)},
                    {"learned_from", toText(source)},
                    {"ends", quarantine_.suspects().endsUnder(request)},
                    {"for_ms", quarantine_.suspects().timeLeft(request, now).count}});
        endQuarantinedAttempts(request, now);
    }
}

// Cancels attempts that are queued at endpoints or have just started there, since an endpoint drops a request
// whose connection closes. With 0.1 to 1 s between sending and starting, most open attempts are cancelled
// before they can crash an endpoint. Running streams continue where they are.
void Gateway::endQuarantinedAttempts(RequestDigest request, TimeMs now)
{
    std::vector<CallerId> open;
    for (const std::pair<const AttemptId, CallerId> &entry : attempts_) {
        const Exchange &exchange = exchanges_.at(entry.second);
        if (exchange.digest == request && !exchange.streaming)
            open.push_back(entry.second);
    }
    for (CallerId caller : open) {
        Exchange &exchange = exchanges_.at(caller);
        cancelAttempt(exchange);
        if (exchange.phase == ExchangePhase::Streaming)
            streamBroke(exchange, now);
        else
            answer(exchange, quarantineAnswer(exchange, now), now);
    }
}

bool Gateway::isQuarantined(const Exchange &exchange, TimeMs now) const
{
    return quarantine_.suspects().isQuarantined(exchange.digest, now);
}

Gateway::OwnAnswer Gateway::quarantineAnswer(const Exchange &exchange, TimeMs now) const
{
    return {exchange.mayHaveRun ? 502 : 503, GatewayRefusal::Quarantined,
            quarantine_.suspects().timeLeft(exchange.digest, now)};
}

void Gateway::noteAnswered(const Exchange &exchange, TimeMs now)
{
    if (isQuarantined(exchange, now))
        log(LogWeight::State, "quarantine_refuted", exchange,
            {{"digest", toText(exchange.digest)},
             {"ends", quarantine_.suspects().endsUnder(exchange.digest)}});
    quarantine_.answered(exchange.digest, now);
}

// Standby daemons receive the quarantines when they query the serving daemons about the store.
void Gateway::tellOfSuspects(TimeMs now)
{
    if (const std::optional<CrashNotice> notice = quarantine_.due(usage_.offset(), now))
        tell(peers_.reportTargets(), *notice);
}

// A daemon that starts to serve, or restarts, has missed the earlier notices.
void Gateway::tellNewServing(TimeMs now)
{
    if (const std::optional<CrashNotice> notice = quarantine_.forNewcomer(usage_.offset(), now))
        tell(peers_.newTargets(), *notice);
    tellNewServingOfLimits(now);
}

void Gateway::tell(const std::vector<const MemberEntry *> &members, const CrashNotice &notice)
{
    for (const MemberEntry *member : members)
        actions_.emplace_back(TellPeer{member->peerAddress, notice});
}

} // namespace cranberry
