// Endpoints that end under their requests: told apart from connections that break, and noted with the
// requests that were there.

#include "gateway/gateway.h"
#include "gateway/quarantinelist.h"

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

/// An endpoint whose process runs answers within milliseconds; one whose instance is silent is not asked
/// again, since silence is no sign that it ended.
constexpr DurationMs ProcessProbeTimeout{500};
/// A stream that brought events for so long did not end its endpoint by beginning: seen were 35 to 110 ms.
constexpr DurationMs SoundRunTime{1000};
/// Rows of 60 B in one datagram.
constexpr size_t MostLossesTold = 256;
/// A verdict is told again so often: of links that lose half of all datagrams one in eight daemons misses it,
/// and those have it from the store.
constexpr uint32_t Retellings = 3;
constexpr DurationMs RetellPause{300};

const char *toText(VerdictSource source)
{
    switch (source) {
    case VerdictSource::Own:
        return "own";
    case VerdictSource::Peer:
        return "peer";
    case VerdictSource::Store:
        return "store";
    }
    return "";
}

} // namespace

// All attempts at an endpoint that ends break within milliseconds of each other: it is asked once for all of
// them, on a new connection. A connection alone, and an endpoint that drops a request of its own fault, look
// the same until then.
//
// A request under which an endpoint ended before is not sent on at once: the answer comes within two
// milliseconds, and the next endpoint may be the one too many.
bool Gateway::noteBroken(const Exchange &exchange, TimeMs now)
{
    const FleetEndpoint *endpoint = fleet_.find(exchange.at);
    if (!endpoint)
        return false;
    const auto [question, isNew] = endpointQuestions_.try_emplace(exchange.at, Question{now, {}});
    BrokenAttempt broken{exchange.caller, exchange.request->id, exchange.digest, std::nullopt, false};
    if (exchange.streaming)
        broken.firstEventAt = exchange.firstEventAt;
    broken.waits = suspects_.isSuspected(exchange.digest) && !isQuarantined(exchange, now);
    if (isNew)
        actions_.emplace_back(
            ProbeEngine{exchange.at.id, endpoint->entry.address, ProcessProbeTimeout, true});
    question->second.broken.push_back(broken);
    return broken.waits;
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
    if (event.process == EndpointProcess::Ended || startedAgain)
        noteEnd(life, question, now);
    else
        counters_.add(event.process == EndpointProcess::Runs ? GatewayCount::EndpointsOutlivedBreaks
                                                             : GatewayCount::BreaksUnexplained);
    for (const BrokenAttempt &broken : question.broken) {
        const auto exchange = exchanges_.find(broken.caller);
        if (broken.waits && exchange != exchanges_.end())
            goOnAfterBreak(exchange->second, true, now);
    }
}

void Gateway::noteEnd(const EndpointLife &life, const Question &question, TimeMs now)
{
    counters_.add(GatewayCount::EndpointsEnded);
    const FleetEndpoint *endpoint = fleet_.find(life);
    const bool announced = endpoint && (endpoint->entry.leaving || endpoint->gone);
    log_.write(LogWeight::State, "endpoint_ended",
               {{"endpoint", life.id.value},
                {"start", life.start.unixMs},
                {"announced", announced},
                {"attempts", question.broken.size()},
                {"known_after_ms", (now - question.askedAt).count}});
    fleet_.ended(life, now);
    std::vector<EndpointLoss> losses;
    for (const BrokenAttempt &broken : question.broken) {
        const DurationMs streamed
            = broken.firstEventAt ? question.askedAt - *broken.firstEventAt : DurationMs{-1};
        log_.write(LogWeight::Failure, "lost_with_endpoint",
                   {{"request", broken.requestId},
                    {"digest", toText(broken.digest)},
                    {"endpoint", life.id.value},
                    {"streamed_ms", streamed.count},
                    {"ends_before", suspects_.endsUnder(broken.digest)}});
        losses.push_back({broken.digest, life, streamed >= SoundRunTime});
    }
    // One that leaves ends because it was to end.
    if (announced)
        return;
    suspect(losses, VerdictSource::Own, now);
    for (size_t from = 0; from < losses.size(); from += MostLossesTold) {
        const auto begin = losses.begin() + static_cast<std::ptrdiff_t>(from);
        const auto end = begin + static_cast<std::ptrdiff_t>(std::min(MostLossesTold, losses.size() - from));
        tellServing({{begin, end}, {}, {}});
    }
}

void Gateway::onCrashNotice(const CrashNotice &notice, TimeMs now)
{
    suspect(notice.losses, VerdictSource::Peer, now);
    for (const RequestDigest request : notice.answered)
        suspects_.answered(request, now);
    onQuarantine(notice.quarantined, VerdictSource::Peer, now);
}

void Gateway::suspect(const std::vector<EndpointLoss> &losses, VerdictSource source, TimeMs now)
{
    for (const EndpointLoss &loss : losses) {
        if (suspects_.endedUnder(loss, now) == CrashSuspects::Verdict::Quarantined)
            noteQuarantined(loss.request, source, now);
    }
}

void Gateway::noteQuarantined(RequestDigest request, VerdictSource source, TimeMs now)
{
    counters_.add(GatewayCount::RequestsQuarantined);
    log_.write(LogWeight::State, "request_quarantined",
               {{"digest", toText(request)},
                {"learned_from", toText(source)},
                {"ends", suspects_.endsUnder(request)},
                {"for_ms", suspects_.timeLeft(request, now).count}});
    if (source == VerdictSource::Own && retellings_.size() < MostQuarantinedTold)
        retellings_.push_back({request, now + RetellPause, Retellings});
    endQuarantinedAttempts(request, now);
}

// What waits at endpoints or has just begun there is taken back: an endpoint drops a request whose connection
// closes, and with 0.1 to 1 s from sending to begin most of those under way at the verdict end nothing more.
// Streams that run go on where they are.
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
        actions_.emplace_back(CancelSent{exchange.attempt});
        detach(exchange);
        exchange.mayHaveRun = true;
        if (exchange.phase == ExchangePhase::Streaming)
            streamBroke(exchange, now);
        else
            answer(exchange, quarantineAnswer(exchange, now), now);
    }
}

bool Gateway::isQuarantined(const Exchange &exchange, TimeMs now) const
{
    return suspects_.isQuarantined(exchange.digest, now);
}

Gateway::OwnAnswer Gateway::quarantineAnswer(const Exchange &exchange, TimeMs now) const
{
    return {exchange.mayHaveRun ? 502 : 503, GatewayRefusal::Quarantined,
            suspects_.timeLeft(exchange.digest, now)};
}

void Gateway::noteAnswered(const Exchange &exchange, TimeMs now)
{
    if (!suspects_.isSuspected(exchange.digest))
        return;
    const size_t ends = suspects_.endsUnder(exchange.digest);
    if (suspects_.isQuarantined(exchange.digest, now))
        log(LogWeight::State, "quarantine_refuted", exchange,
            {{"digest", toText(exchange.digest)}, {"ends", ends}});
    suspects_.answered(exchange.digest, now);
    clearedSuspects_.push_back(exchange.digest);
}

// Once a tick: an engine that ended by itself had up to 64 requests, and most are answered soon.
void Gateway::tellAnswered()
{
    if (!clearedSuspects_.empty())
        tellServing({{}, std::exchange(clearedSuspects_, {}), {}});
}

// The others count the same ends and come to the same verdict, unless datagrams are lost.
void Gateway::tellQuarantined(TimeMs now)
{
    CrashNotice notice;
    for (Retelling &each : retellings_) {
        if (now < each.at)
            continue;
        --each.left;
        each.at = now + RetellPause;
        const DurationMs left = suspects_.timeLeft(each.request, now);
        if (left.count > 0)
            notice.quarantined.push_back({each.request, (now + left).count + usage_.offset()});
    }
    std::erase_if(retellings_, [](const Retelling &each) { return each.left == 0; });
    if (!notice.quarantined.empty())
        tellServing(notice);
}

// Those that stand by learn of what is in quarantine when they ask about the store.
void Gateway::tellServing(const CrashNotice &notice)
{
    for (const MemberEntry *member : peers_.reportTargets())
        actions_.emplace_back(TellPeer{member->peerAddress, notice});
}

// A daemon that begins to serve, or starts again, has missed what was told. Without the ends so far it would
// count anew, and each request that ends endpoints would end two more there.
void Gateway::tellNewServing(TimeMs now)
{
    const CrashNotice notice{suspects_.losses(MostLossesTold), {}, quarantine(now)};
    if (notice.losses.empty() && notice.quarantined.empty())
        return;
    for (const MemberEntry *member : peers_.newTargets())
        actions_.emplace_back(TellPeer{member->peerAddress, notice});
}

// ---- Lists of the store and of other daemons ----

void Gateway::onQuarantine(const std::vector<QuarantinedRequest> &list, VerdictSource source, TimeMs now)
{
    for (const QuarantinedRequest &each : list) {
        if (suspects_.quarantine(each.request, {each.untilWallMs - usage_.offset()}, now))
            noteQuarantined(each.request, source, now);
    }
}

// Worked out when the verdicts change: the offset to true time moves a little at each tick.
const std::vector<QuarantinedRequest> &Gateway::quarantine(TimeMs now)
{
    if (quarantineVersion_ == suspects_.version())
        return quarantine_;
    quarantineVersion_ = suspects_.version();
    quarantine_.clear();
    for (const CrashSuspects::Quarantined &each : suspects_.quarantined(MostQuarantinedTold, now))
        quarantine_.push_back({each.request, each.until.count + usage_.offset()});
    return quarantine_;
}

} // namespace cranberry
