// Streams that callers resume: finds the version that began each of them, which alone may continue it.
//
// The daemon that forwards a stream's first event keeps its origin, and tells a few others that are chosen by
// the stream's key, unless the service has had a single version. A daemon that has to resume a stream asks
// these. Nobody continues a stream whose version is not known.

#include "gateway/gateway.h"

#include "gateway/peers/keepers.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Daemons that are asked for a stream's origin: its keepers, and some more, since views of the members
/// differ for a while after a change.
constexpr size_t DaemonsAsked = 6;
/// Replies come within milliseconds. Daemons that are silent are asked again, since datagrams may be lost.
constexpr DurationMs QueryRepeatTime{25};
constexpr DurationMs QueryTimeout{200};
/// A caller's requests for one stream come within this multiple of the route's timeout.
constexpr int64_t StreamLifeFactor = 2;
/// Streams that are told together: 20 B each.
constexpr size_t MaxStreamsTold = 500;
constexpr DurationMs UnknownOriginRetryAfter{400};

VersionsSeen merged(const VersionsSeen &a, const VersionsSeen &b)
{
    VersionsSeen out;
    out.areSeveral = a.areSeveral || b.areSeveral || (a.sole && b.sole && a.sole != b.sole);
    if (!out.areSeveral)
        out.sole = a.sole ? a.sole : b.sole;
    return out;
}

DurationMs streamLife(const Route &route)
{
    return route.timeout * StreamLifeFactor;
}

} // namespace

bool Gateway::isResumption(const Exchange &exchange) const
{
    return exchange.route->kind == RouteKind::Streaming && exchange.request->resumeAfter.has_value();
}

bool Gateway::findOrigin(Exchange &exchange, TimeMs now)
{
    if (exchange.route->kind != RouteKind::Streaming)
        return true;
    const CallerRequest &request = *exchange.request;
    if (!isResumption(exchange)) {
        exchange.stream = streamKeyOf(exchange.organisation, request.id);
        return true;
    }
    if (!request.resumes.empty())
        exchange.stream = streamKeyOf(exchange.organisation, request.resumes);
    const std::optional<StreamOrigin> known
        = exchange.stream ? origins_.find(*exchange.stream) : std::nullopt;
    if (known) {
        continueFrom(exchange, *known, GatewayCount::ResumptionsKnown, now);
        return false;
    }
    askForOrigin(exchange, now);
    return false;
}

std::vector<const MemberEntry *> Gateway::servingMembers() const
{
    std::vector<const MemberEntry *> all;
    std::vector<const MemberEntry *> serving;
    for (const MemberEntry &member : peers_.members()) {
        all.push_back(&member);
        if (member.serving)
            serving.push_back(&member);
    }
    return serving.empty() ? all : serving;
}

void Gateway::askForOrigin(Exchange &exchange, TimeMs now)
{
    exchange.enter(ExchangePhase::AwaitingOrigin, now);
    exchange.originSearch = OriginSearch{nextOriginSearch_++, {}, {}, now, now + QueryRepeatTime};
    OriginSearch &search = *exchange.originSearch;
    originSearches_[search.number] = exchange.caller;
    const StreamKey key = exchange.stream.value_or(streamKeyOf(exchange.organisation, exchange.request->id));
    for (const MemberEntry *member : keepersOf(key.value, servingMembers(), DaemonsAsked)) {
        if (member->instance != settings_.instance)
            search.silent.insert(member->peerAddress);
    }
    if (search.silent.empty())
        return endOriginSearch(exchange, now);
    sendOriginQueries(exchange);
}

void Gateway::sendOriginQueries(const Exchange &exchange)
{
    const StreamOriginQuery query{exchange.originSearch->number, exchange.stream.value_or(StreamKey{}),
                                  exchange.service};
    for (const Address &address : exchange.originSearch->silent)
        actions_.emplace_back(SendToPeer{address, query});
}

void Gateway::onStreamOriginQuery(const StreamOriginQuery &query, const Address &from, TimeMs now)
{
    StreamOriginReply reply;
    reply.number = query.number;
    reply.origin = origins_.find(query.stream);
    if (!reply.origin && configuration_) {
        const DurationMs life = configuration_->longestTimeout(query.service) * StreamLifeFactor;
        reply.versions = versions_.seenSince(query.service, now - life);
    }
    actions_.emplace_back(SendToPeer{from, reply});
}

void Gateway::onStreamOriginReply(const StreamOriginReply &reply, const Address &from, TimeMs now)
{
    const auto found = originSearches_.find(reply.number);
    if (found == originSearches_.end())
        return;
    Exchange &exchange = exchanges_.at(found->second);
    OriginSearch &search = *exchange.originSearch;
    if (reply.origin)
        return continueFrom(exchange, *reply.origin, GatewayCount::ResumptionsLearned, now);
    search.silent.erase(from);
    search.versions = merged(search.versions, reply.versions);
    const TimeMs since = now - streamLife(*exchange.route);
    const std::optional<SoftwareVersion> own = versions_.seenSince(exchange.service, since).sole;
    const bool isAgreed = own && own == search.versions.sole && versions_.isGapless(since, now);
    if (isAgreed || search.silent.empty())
        endOriginSearch(exchange, now);
}

// Nobody who was asked knows the stream. Where a service has had a single version, origins are not told. So
// the stream began at the only version that the service had in its caller's time, if none of the daemons has
// seen a second one, and one of them would have. This daemon alone could have missed it while it did not
// reach the store.
void Gateway::endOriginSearch(Exchange &exchange, TimeMs now)
{
    const TimeMs since = now - streamLife(*exchange.route);
    const OriginSearch &search = *exchange.originSearch;
    const VersionsSeen own = versions_.seenSince(exchange.service, since);
    const VersionsSeen all = merged(own, search.versions);
    const bool isConfirmed = search.versions.sole || (own.sole && versions_.isGapless(since, now));
    if (all.sole && isConfirmed)
        return continueFrom(exchange, {exchange.service, *all.sole}, GatewayCount::ResumptionsSoleVersion,
                            now);
    refuseUnknownOrigin(exchange, now);
}

void Gateway::refuseUnknownOrigin(Exchange &exchange, TimeMs now)
{
    log(LogPriority::Failure, "origin_unknown", exchange,
        {{"resumes", exchange.request->resumes},
         {"silent", exchange.originSearch ? exchange.originSearch->silent.size() : 0},
         {"after_ms", (now - exchange.arrivedAt).count}});
    answer(exchange, {503, GatewayRefusal::OriginUnknown, UnknownOriginRetryAfter}, now);
}

void Gateway::continueFrom(Exchange &exchange, const StreamOrigin &origin, GatewayCount source, TimeMs now)
{
    if (exchange.originSearch)
        originSearches_.erase(exchange.originSearch->number);
    exchange.originSearch.reset();
    const std::vector<RouteTarget> &targets = exchange.route->targets;
    const bool isAllowed = std::any_of(targets.begin(), targets.end(), [&origin](const RouteTarget &target) {
        return target.service == origin.service;
    });
    if (!isAllowed)
        return refuseUnknownOrigin(exchange, now);
    counters_.add(source);
    exchange.service = origin.service;
    exchange.streamVersion = origin.version;
    recordOrigin(exchange, now);
    log(LogPriority::Failure, "resumption", exchange,
        {{"resumes", exchange.request->resumes},
         {"version", origin.version.value},
         {"known_from", toText(source)},
         {"after_ms", (now - exchange.arrivedAt).count}});
    continueAdmission(exchange, now);
}

// Called before the first event goes to the caller, so that the others are told before the caller can come
// back.
void Gateway::recordOrigin(Exchange &exchange, TimeMs now)
{
    if (!exchange.stream)
        return;
    const StreamOrigin origin{exchange.service, *exchange.streamVersion};
    origins_.record(*exchange.stream, origin, now);
    if (!versions_.seenSince(exchange.service, now - streamLife(*exchange.route)).sole)
        tellOrigin(origin, {*exchange.stream});
}

void Gateway::tellOrigin(const StreamOrigin &origin, const std::vector<StreamKey> &streams)
{
    const std::vector<const MemberEntry *> serving = servingMembers();
    std::map<Address, StreamOriginNotice> notices;
    for (const StreamKey stream : streams) {
        for (const MemberEntry *member : keepersOf(stream.value, serving, StreamKeepers)) {
            if (member->instance != settings_.instance)
                notices.try_emplace(member->peerAddress, StreamOriginNotice{origin, {}})
                    .first->second.streams.push_back(stream);
        }
    }
    counters_.add(GatewayCount::OriginNotices, notices.size());
    for (std::pair<const Address, StreamOriginNotice> &notice : notices)
        actions_.emplace_back(SendToPeer{notice.first, std::move(notice.second)});
}

void Gateway::tellStreamsOf(const ServiceName &service)
{
    std::map<StreamOrigin, std::vector<StreamKey>> streams;
    for (const std::pair<const CallerId, Exchange> &entry : exchanges_) {
        const Exchange &exchange = entry.second;
        if (exchange.service == service && exchange.stream && exchange.streamVersion)
            streams[{service, *exchange.streamVersion}].push_back(*exchange.stream);
    }
    for (std::pair<const StreamOrigin, std::vector<StreamKey>> &each : streams) {
        each.second.resize(std::min(each.second.size(), MaxStreamsTold));
        tellOrigin(each.first, each.second);
    }
}

void Gateway::onStreamOriginNotice(const StreamOriginNotice &notice, TimeMs now)
{
    for (const StreamKey stream : notice.streams)
        origins_.record(stream, notice.origin, now);
}

void Gateway::tickResumptions(TimeMs now)
{
    origins_.tick(now);
    std::vector<CallerId> late;
    for (const std::pair<const uint64_t, CallerId> &each : originSearches_) {
        OriginSearch &search = *exchanges_.at(each.second).originSearch;
        if (now >= search.startedAt + QueryTimeout) {
            late.push_back(each.second);
        } else if (now >= search.repeatAt) {
            search.repeatAt = now + QueryRepeatTime;
            sendOriginQueries(exchanges_.at(each.second));
        }
    }
    for (const CallerId caller : late)
        endOriginSearch(exchanges_.at(caller), now);
}

} // namespace cranberry
