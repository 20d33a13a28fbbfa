// Handles endpoints that crash under their requests, and quarantines the requests suspected of causing it.

#include "gateway/gateway.h"

#include <algorithm>

namespace cranberry {

namespace {

/// An endpoint whose process runs replies within milliseconds. An instance that does not reply is not probed
/// again, since silence does not show that its process exited.
constexpr DurationMs ProcessProbeTimeout{500};
/// A stream that ran for this long did not crash its endpoint by starting.
constexpr DurationMs StableStreamTime{1000};
/// An endpoint that crashes by starting to write on a prompt part does so sooner.
constexpr DurationMs ProvenStreamTime{500};

std::string sharedPartsText(const CallerRequest &request)
{
    std::string out;
    for (size_t i = 0; i + 1 < request.parts.size(); ++i)
        out += (out.empty() ? "" : ",") + request.parts[i].id;
    return out;
}

} // namespace

// A request that is already a suspect is not retried before the probe's result is known: the result comes
// within two milliseconds, and the retry could crash another endpoint.
bool Gateway::recordInterruptedAttempt(Exchange &exchange, TimeMs now)
{
    const FleetEndpoint *endpoint = fleet_.find(exchange.sentTo);
    if (!endpoint || !endpoint->rest.mayCall(now))
        return false;
    InterruptedAttempt attempt = interruptedAttempt(exchange);
    if (!std::exchange(exchange.startIsEvaluated, true))
        attempt.start = {exchange.service, exchange.route->name, trialGroupOf(*endpoint)};
    attempt.retryAfterProbe
        = quarantine_.suspects().isSuspected(exchange.digest) && !isQuarantined(exchange, now);
    if (endpointQuestions_.add(exchange.sentTo, attempt, now))
        probeProcess(*endpoint, false, now);
    return attempt.retryAfterProbe;
}

// Where a response ends with its connection, the exit of the endpoint's process looks like the end of the
// response. That the process runs on does not show that the response is whole (framingOf). A process that
// another one has replaced has exited.
void Gateway::awaitEndpointState(Exchange &exchange, TimeMs now)
{
    const FleetEndpoint *endpoint = fleet_.find(exchange.sentTo);
    exchange.processCheck = ProcessCheck::Asked;
    if (!endpoint || !endpoint->rest.mayCall(now))
        return endUnframedResponse(exchange.attempt, false, now);
    InterruptedAttempt attempt = interruptedAttempt(exchange);
    attempt.ended = exchange.attempt;
    if (endpointQuestions_.add(exchange.sentTo, attempt, now))
        probeProcess(*endpoint, false, now);
}

void Gateway::probeProcess(const FleetEndpoint &endpoint, bool isRepeat, TimeMs now)
{
    fleet_.takeCall(endpoint.entry.id, now);
    actions_.emplace_back(ProbeEngine{endpoint.entry.id, endpoint.entry.address, ProcessProbeTimeout, true,
                                      relayFor(endpoint.entry.service, now), isRepeat});
}

// The sockets of a killed process are closed one by one, the listening one often last: meanwhile connections
// are still accepted, and closed with it. A process with too many connections closes new ones as well, but
// accepts the next one.
bool Gateway::repeatProbe(const EngineProbed &event, TimeMs now)
{
    const FleetEndpoint *endpoint = fleet_.find(event.endpoint);
    if (event.process != EndpointProcess::Closed || event.isRepeat || !endpoint)
        return false;
    probeProcess(*endpoint, true, now);
    return true;
}

void Gateway::endUnframedResponse(AttemptId attempt, bool isComplete, TimeMs now)
{
    Exchange *exchange = findByAttempt(attempt);
    if (!exchange)
        return;
    if (isComplete) {
        exchange->processCheck = ProcessCheck::RanOn;
        return onEnd({attempt}, now);
    }
    if (exchange->isStoppingForMove())
        return continueAtTarget(*exchange, RunEndProof::StreamClosed, now);
    const AttemptConnectionFailed failure{attempt, true};
    closeFailedAttempt(*exchange, failure, now);
    continueAfterFailure(*exchange, failure, now);
}

InterruptedAttempt Gateway::interruptedAttempt(const Exchange &exchange)
{
    InterruptedAttempt attempt;
    attempt.caller = exchange.caller;
    attempt.requestId = exchange.request->id;
    attempt.digest = exchange.digest;
    attempt.request = exchange.request;
    attempt.parts = exchange.parts;
    if (exchange.streaming)
        attempt.firstEventAt = exchange.firstEventAt;
    return attempt;
}

// Lets another daemon probe the endpoint. Returns false if there is none that can.
bool Gateway::probeThroughRelay(const EndpointId &id, TimeMs now)
{
    const FleetEndpoint *endpoint = fleet_.find(id);
    if (!endpoint)
        return false;
    const std::optional<Address> relay
        = relays_.choose(endpoint->entry.service, relayCandidates(endpoint->entry.service, now), {}, now);
    if (!relay)
        return false;
    actions_.emplace_back(ProbeEngine{id, endpoint->entry.address, ProcessProbeTimeout, true, relay});
    return true;
}

// A refused connection looks the same whether the endpoint's process exited or this daemon is partitioned. A
// daemon that took its own partition for crashes would have innocent requests quarantined by all daemons. So
// another daemon probes the endpoint, too, and where none can, the result is unknown. A daemon that is alone
// has its own connections only; members may also be missing from the list for a while.
void Gateway::onProcessProbed(const EngineProbed &event, TimeMs now)
{
    if (repeatProbe(event, now))
        return;
    EngineProbed result = event;
    if (!event.relay) {
        const bool isRefused = event.process == EndpointProcess::Exited;
        onEndpointConnected({event.endpoint, isRefused ? ConnectFailure::Refused : event.connect}, now);
        if (event.process == EndpointProcess::Exited) {
            if (probeThroughRelay(event.endpoint, now))
                return;
            const FleetEndpoint *refused = fleet_.find(event.endpoint);
            const bool isPartitioned
                = refused && paths_.state(refused->entry.service) == EndpointPaths::State::Partitioned;
            if (peers_.members().size() > 1 || isPartitioned)
                result.process = EndpointProcess::Unknown;
        }
    } else if (event.relayFailure == RelayFailure::Unavailable) {
        relays_.failed(*event.relay, now);
        if (probeThroughRelay(event.endpoint, now))
            return;
    }
    const std::optional<EndpointProbes::ProbeResult> probe = endpointQuestions_.take(result);
    if (!probe)
        return;
    // A connection that broke at an endpoint that only others reach broke with this daemon's own path.
    const FleetEndpoint *endpoint = fleet_.find(probe->incarnation);
    const bool isOwnPath = probe->process == EndpointProcess::Unknown
        || probe->process == EndpointProcess::Closed
        || (probe->process == EndpointProcess::Running && endpoint
            && paths_.isDoubtful(endpoint->entry.service));
    for (const InterruptedAttempt &attempt : probe->attempts) {
        if (!attempt.start || isOwnPath)
            continue;
        if (probe->process == EndpointProcess::Exited)
            trialCounts_.recordLost(attempt.start->service, attempt.start->trialGroup,
                                    probe->incarnation.id.value, now);
        else
            trialCounts_.recordInterrupted(attempt.start->service, attempt.start->route,
                                           attempt.start->trialGroup, probe->incarnation.id.value, now);
    }
    if (probe->process == EndpointProcess::Exited)
        onEndpointCrash(*probe, now);
    else
        counters_.add(probe->process == EndpointProcess::Running ? GatewayCount::EndpointsOutlivedBreaks
                                                                 : GatewayCount::BreaksUnexplained);
    const bool isRunning = probe->process == EndpointProcess::Running
        || (probe->process == EndpointProcess::Closed && event.isRepeat);
    for (const InterruptedAttempt &attempt : probe->attempts) {
        if (attempt.ended)
            endUnframedResponse(*attempt.ended, isRunning, now);
        const auto exchange = exchanges_.find(attempt.caller);
        if (attempt.retryAfterProbe && exchange != exchanges_.end())
            continueAfterFailure(exchange->second, {}, now);
    }
}

void Gateway::onEndpointCrash(const EndpointProbes::ProbeResult &probe, TimeMs now)
{
    counters_.add(GatewayCount::EndpointsEnded);
    const FleetEndpoint *endpoint = fleet_.find(probe.incarnation);
    const bool announced = endpoint && (endpoint->entry.leaving || endpoint->gone);
    log_.write(LogPriority::State, "endpoint_ended",
               {{"endpoint", probe.incarnation.id.value},
                {"start", probe.incarnation.start.unixMs},
                {"announced", announced},
                {"attempts", probe.attempts.size()},
                {"known_after_ms", (now - probe.askedAt).count}});
    fleet_.crashed(probe.incarnation, now);
    const SoftwareVersion version = endpoint ? endpoint->entry.version : SoftwareVersion{};
    std::vector<EndpointCrash> crashes;
    for (const InterruptedAttempt &attempt : probe.attempts) {
        const DurationMs streamed
            = attempt.firstEventAt ? probe.askedAt - *attempt.firstEventAt : DurationMs{-1};
        log_.write(LogPriority::Failure, "lost_with_endpoint",
                   {{"request", attempt.requestId},
                    {"digest", toText(attempt.digest)},
                    {"parts", sharedPartsText(*attempt.request)},
                    {"endpoint", probe.incarnation.id.value},
                    {"streamed_ms", streamed.count},
                    {"ends_before", quarantine_.suspects().crashCount(attempt.digest)}});
        crashes.push_back({attempt.digest, probe.incarnation, streamed >= StableStreamTime,
                           quarantine_.unproven(attempt.parts, version, now), version});
    }
    // A leaving endpoint exits as planned, so its requests are not suspected.
    if (announced)
        return;
    applyQuarantine(quarantine_.applyCrashes(crashes, QuarantineSource::Own, now), QuarantineSource::Own,
                    now);
    for (const CrashNotice &notice : crashNotices(crashes))
        sendToMembers(peers_.reportTargets(), notice);
}

void Gateway::onCrashNotice(const CrashNotice &notice, TimeMs now)
{
    for (const ProvenParts &proven : notice.proven)
        quarantine_.onPeerProof(proven, now);
    for (const EndpointCrash &crash : notice.crashes)
        quarantine_.answerSuspicion(crash, random_, now);
    applyQuarantine(quarantine_.applyCrashes(notice.crashes, QuarantineSource::Peer, now),
                    QuarantineSource::Peer, now);
    for (const RequestDigest request : notice.answered)
        quarantine_.onPeerAnswer(request, now);
    onQuarantine(notice.quarantined, QuarantineSource::Peer, now);
}

void Gateway::onQuarantine(const std::vector<QuarantinedRequest> &list, QuarantineSource source, TimeMs now)
{
    applyQuarantine(quarantine_.applyQuarantined(list, usage_.offset(), now), source, now);
}

const std::vector<QuarantinedRequest> &Gateway::quarantine(TimeMs now)
{
    return quarantine_.list(usage_.offset(), now);
}

void Gateway::applyQuarantine(const std::vector<RequestDigest> &requests, QuarantineSource source, TimeMs now)
{
    for (const RequestDigest request : requests) {
        counters_.add(GatewayCount::RequestsQuarantined);
        log_.write(
            LogPriority::State, "request_quarantined",
            {{"digest", toText(request)},
             {"learned_from", toText(source)},
             {"ends", quarantine_.suspects().crashCount(request) + quarantine_.parts().crashCount(request)},
             {"is_part", quarantine_.parts().isQuarantinedPart(request)},
             {"for_ms", quarantine_.suspects().timeLeft(request, now).count}});
        cancelQuarantinedAttempts(request, now);
    }
}

// Cancels attempts that are queued at endpoints or have just started there, since an endpoint drops a request
// whose connection closes. With 0.1 to 1 s between sending and starting, most open attempts are cancelled
// before they can crash an endpoint. Running streams continue where they are.
void Gateway::cancelQuarantinedAttempts(RequestDigest request, TimeMs now)
{
    std::vector<CallerId> open;
    for (const std::pair<const AttemptId, CallerId> &entry : attempts_) {
        const Exchange &exchange = exchanges_.at(entry.second);
        const bool hasPart
            = std::find(exchange.parts.begin(), exchange.parts.end(), request) != exchange.parts.end();
        if ((exchange.digest == request || hasPart) && !exchange.streaming)
            open.push_back(entry.second);
    }
    for (CallerId caller : open) {
        Exchange &exchange = exchanges_.at(caller);
        cancelAttempt(exchange);
        if (exchange.phase == ExchangePhase::Streaming)
            abortStream(exchange, now);
        else
            answer(exchange, quarantineResponse(exchange, now), now);
    }
}

bool Gateway::isQuarantined(const Exchange &exchange, TimeMs now) const
{
    return quarantineOf(exchange, now).has_value();
}

std::optional<RequestDigest> Gateway::quarantineOf(const Exchange &exchange, TimeMs now) const
{
    const CrashSuspects &suspects = quarantine_.suspects();
    if (suspects.isQuarantined(exchange.digest, now))
        return exchange.digest;
    for (const RequestDigest part : exchange.parts) {
        if (suspects.isQuarantined(part, now))
            return part;
    }
    return std::nullopt;
}

Gateway::OwnAnswer Gateway::quarantineResponse(const Exchange &exchange, TimeMs now) const
{
    return {exchange.mayHaveRun ? 502 : 503, GatewayRefusal::Quarantined,
            quarantine_.suspects().timeLeft(quarantineOf(exchange, now).value_or(exchange.digest), now)};
}

// A guilty part never lets a stream run for this long.
void Gateway::recordProof(Exchange &exchange, TimeMs now)
{
    if (exchange.parts.empty() || exchange.hasProvenParts)
        return;
    exchange.hasProvenParts = true;
    for (const RequestDigest part : exchange.parts) {
        if (quarantine_.suspects().isQuarantined(part, now))
            log(LogPriority::State, "quarantine_refuted", exchange,
                {{"digest", toText(part)}, {"ends", quarantine_.parts().crashCount(part)}});
    }
    quarantine_.onOwnProof(exchange.parts, exchange.sentVersion, now);
}

void Gateway::recordRunningProof(Exchange &exchange, TimeMs now)
{
    if (exchange.streaming && now - exchange.firstEventAt >= ProvenStreamTime)
        recordProof(exchange, now);
}

void Gateway::clearSuspicion(const Exchange &exchange, TimeMs now)
{
    if (isQuarantined(exchange, now))
        log(LogPriority::State, "quarantine_refuted", exchange,
            {{"digest", toText(exchange.digest)},
             {"ends", quarantine_.suspects().crashCount(exchange.digest)}});
    quarantine_.onOwnAnswer(exchange.digest, now);
}

// Standby daemons receive the quarantines when they query the serving daemons about the store.
void Gateway::sendCrashNotice(TimeMs now)
{
    quarantine_.setServingDaemons(peers_.servingCount(now));
    applyQuarantine(quarantine_.decide(now), QuarantineSource::Own, now);
    if (const std::optional<CrashNotice> notice = quarantine_.dueNotice(usage_.offset(), now))
        sendToMembers(peers_.reportTargets(), *notice);
}

// A daemon that starts to serve, or restarts, has missed the earlier notices.
void Gateway::notifyNewServing(TimeMs now)
{
    if (const std::optional<CrashNotice> notice = quarantine_.noticeForNewDaemon(usage_.offset(), now))
        sendToMembers(peers_.newTargets(), *notice);
    sendLimitsToNewServing(now);
}

void Gateway::sendToMembers(const std::vector<const MemberEntry *> &members, const CrashNotice &notice)
{
    for (const MemberEntry *member : members)
        actions_.emplace_back(SendToPeer{member->peerAddress, notice});
}

} // namespace cranberry
