#include "gateway/peers/noticecodec.h"

#include "gateway/duties/usagecodec.h"

#include "gateway/endpoints/quarantinelist.h"
#include "gateway/peers/datagramfields.h"

namespace json = boost::json;

namespace cranberry {

namespace {

json::array rowOf(const std::vector<RequestDigest> &digests)
{
    json::array row;
    for (const RequestDigest digest : digests)
        row.push_back(json::value(toText(digest)));
    return row;
}

std::vector<RequestDigest> decodedDigests(const json::value &row)
{
    std::vector<RequestDigest> out;
    for (const json::value &value : row.as_array()) {
        if (const std::optional<RequestDigest> digest = requestDigestFromText(text(value)))
            out.push_back(*digest);
    }
    return out;
}

EndpointIncarnation decodedIncarnation(const json::object &object)
{
    return {EndpointId{text(object.at("endpoint"))}, {object.at("start").to_number<int64_t>()}};
}

StreamOrigin decodedOrigin(const json::object &object)
{
    return {ServiceName{text(object.at("service"))}, SoftwareVersion{text(object.at("version"))}};
}

} // namespace

boost::json::object encoded(const QuotaRequest &request)
{
    return {{"kind", "ask"},
            {"number", request.number},
            {"organisation", request.organisation.value},
            {"units", request.units}};
}

boost::json::object encoded(const QuotaTransfer &transfer)
{
    return {{"kind", "gift"},
            {"id", transfer.from.value},
            {"number", transfer.number},
            {"organisation", transfer.organisation.value},
            {"units", transfer.units},
            {"deposit", transfer.deposit}};
}

QuotaRequest decodedQuotaRequest(const boost::json::object &object)
{
    return {object.at("number").to_number<uint64_t>(), OrganisationName{text(object.at("organisation"))},
            object.at("units").to_number<double>()};
}

QuotaTransfer decodedQuotaTransfer(const boost::json::object &object)
{
    return {Incarnation{object.at("id").to_number<uint64_t>()}, object.at("number").to_number<uint64_t>(),
            OrganisationName{text(object.at("organisation"))}, object.at("units").to_number<double>(),
            object.at("deposit").as_bool()};
}

boost::json::object encoded(const CrashNotice &notice)
{
    json::array crashes;
    for (const EndpointCrash &crash : notice.crashes)
        crashes.push_back({toText(crash.request), crash.endpoint.id.value, crash.endpoint.start.unixMs,
                           crash.hadStreamed, rowOf(crash.parts), crash.version.value});
    json::array proven;
    for (const ProvenParts &each : notice.proven)
        proven.push_back({each.version.value, rowOf(each.parts)});
    return {{"kind", "crash"},
            {"losses", std::move(crashes)},
            {"answered", rowOf(notice.answered)},
            {"quarantined", quarantineRows(notice.quarantined)},
            {"proven", std::move(proven)}};
}

CrashNotice decodedCrashNotice(const boost::json::object &object)
{
    constexpr size_t SizeWithParts = 6;
    CrashNotice notice;
    for (const json::value &value : object.at("losses").as_array()) {
        const json::array &loss = row(value, 4);
        const std::optional<RequestDigest> request = requestDigestFromText(text(loss[0]));
        if (!request)
            continue;
        EndpointCrash crash{
            *request, {EndpointId{text(loss[1])}, {loss[2].to_number<int64_t>()}}, loss[3].as_bool()};
        if (loss.size() >= SizeWithParts) {
            crash.parts = decodedDigests(loss[4]);
            crash.version.value = text(loss[5]);
        }
        notice.crashes.push_back(std::move(crash));
    }
    notice.answered = decodedDigests(object.at("answered"));
    notice.quarantined
        = quarantineFromRows(object.at("quarantined")).value_or(std::vector<QuarantinedRequest>());
    if (const json::value *proven = object.if_contains("proven")) {
        for (const json::value &value : proven->as_array()) {
            const json::array &each = row(value, 2);
            notice.proven.push_back({SoftwareVersion{text(each[0])}, decodedDigests(each[1])});
        }
    }
    return notice;
}

/// Value sent in a row for an endpoint that no longer has a limit.
constexpr double NoLimit = -1;

boost::json::object encoded(const LimitNotice &notice)
{
    json::array updates;
    for (const LimitUpdate &update : notice.updates)
        updates.push_back({update.endpoint.id.value, update.endpoint.start.unixMs,
                           update.limit ? update.limit->perSecond : NoLimit, update.responsesWithoutLimit,
                           update.age.count, update.knownFor.count});
    return {{"kind", "limits"}, {"words", std::move(updates)}};
}

LimitNotice decodedLimitNotice(const boost::json::object &object)
{
    LimitNotice notice;
    for (const json::value &value : object.at("words").as_array()) {
        const json::array &fields = row(value, 6);
        LimitUpdate update;
        update.endpoint = {EndpointId{text(fields[0])}, {fields[1].to_number<int64_t>()}};
        const double perSecond = fields[2].to_number<double>();
        if (perSecond >= 0)
            update.limit = RequestRate{perSecond};
        update.responsesWithoutLimit = fields[3].to_number<uint32_t>();
        update.age.count = std::max<int64_t>(fields[4].to_number<int64_t>(), 0);
        update.knownFor.count = std::max<int64_t>(fields[5].to_number<int64_t>(), 0);
        notice.updates.push_back(std::move(update));
    }
    return notice;
}

boost::json::object encoded(const LimitShareRequest &request)
{
    return {{"kind", "limitAsk"},
            {"endpoint", request.endpoint.id.value},
            {"start", request.endpoint.start.unixMs},
            {"number", request.number},
            {"waiting", request.waiting}};
}

LimitShareRequest decodedLimitShareRequest(const boost::json::object &object)
{
    return {decodedIncarnation(object), object.at("number").to_number<uint64_t>(),
            object.at("waiting").to_number<uint32_t>()};
}

boost::json::object encoded(const LimitShareGrant &grant)
{
    return {{"kind", "limitGrant"},
            {"endpoint", grant.endpoint.id.value},
            {"start", grant.endpoint.start.unixMs},
            {"id", grant.from.value},
            {"ask", grant.requestNumber},
            {"number", grant.number},
            {"requests", grant.requests},
            {"waiting", grant.waiting}};
}

LimitShareGrant decodedLimitShareGrant(const boost::json::object &object)
{
    return {decodedIncarnation(object),
            Incarnation{object.at("id").to_number<uint64_t>()},
            object.at("ask").to_number<uint64_t>(),
            object.at("number").to_number<uint64_t>(),
            object.at("requests").to_number<uint32_t>(),
            object.at("waiting").to_number<uint32_t>()};
}

boost::json::object encoded(const StreamOriginNotice &notice)
{
    json::array streams;
    for (const StreamKey stream : notice.streams)
        streams.push_back(json::value(stream.value));
    return {{"kind", "origins"},
            {"service", notice.origin.service.value},
            {"version", notice.origin.version.value},
            {"streams", std::move(streams)}};
}

StreamOriginNotice decodedOriginNotice(const boost::json::object &object)
{
    StreamOriginNotice notice{decodedOrigin(object), {}};
    for (const json::value &stream : object.at("streams").as_array())
        notice.streams.push_back({stream.to_number<uint64_t>()});
    return notice;
}

boost::json::object encoded(const StreamOriginQuery &query)
{
    return {{"kind", "originAsk"},
            {"number", query.number},
            {"stream", query.stream.value},
            {"service", query.service.value}};
}

StreamOriginQuery decodedOriginQuery(const boost::json::object &object)
{
    return {object.at("number").to_number<uint64_t>(),
            {object.at("stream").to_number<uint64_t>()},
            ServiceName{text(object.at("service"))}};
}

boost::json::object encoded(const StreamOriginReply &reply)
{
    json::object out{{"kind", "originAnswer"}, {"number", reply.number}};
    if (reply.origin) {
        out["service"] = reply.origin->service.value;
        out["version"] = reply.origin->version.value;
    }
    if (reply.versions.areSeveral)
        out["several"] = true;
    if (reply.versions.sole)
        out["sole"] = reply.versions.sole->value;
    return out;
}

StreamOriginReply decodedOriginReply(const boost::json::object &object)
{
    StreamOriginReply reply;
    reply.number = object.at("number").to_number<uint64_t>();
    if (object.contains("version"))
        reply.origin = decodedOrigin(object);
    reply.versions.areSeveral = object.contains("several");
    if (const json::value *sole = object.if_contains("sole"))
        reply.versions.sole = SoftwareVersion{text(*sole)};
    return reply;
}

json::object encoded(const UsageNotice &notice)
{
    json::object out = usageObject(notice.counts);
    out["kind"] = "usage";
    return out;
}

UsageNotice decodedUsageNotice(const json::object &object)
{
    std::optional<UsageCounts> counts = usageFromObject(object);
    if (!counts)
        throw boost::system::system_error(json::make_error_code(json::error::incomplete));
    return {std::move(*counts)};
}

} // namespace cranberry
