#include "gateway/peers/peerdatagrams.h"

#include "gateway/endpoints/quarantinelist.h"
#include "gateway/peers/datagramfields.h"
#include "gateway/peers/noticecodec.h"

#include <array>
#include <boost/json.hpp>
#include <map>

namespace json = boost::json;

namespace cranberry {

namespace {

json::array rowOf(const ServiceDemand &demand)
{
    const PrefillSums &readings = demand.prefillSums;
    return {demand.service.value,
            compact(demand.prefillTokensPerSecond),
            compact(demand.prefillSquaresPerSecond),
            compact(demand.requestsPerSecond),
            compact(demand.targetMsPerSecond),
            compact(demand.running),
            compact(readings.count),
            compact(readings.tokens),
            compact(readings.ms),
            compact(readings.tokensSquared),
            compact(readings.tokensMs),
            compact(demand.offeredPerSecond),
            compact(demand.ownTokensPerSecond),
            compact(demand.ownSquaresPerSecond),
            compact(demand.sharedTokensPerSecond),
            compact(demand.sharedPrefilledPerSecond),
            compact(demand.startedPerSecond),
            compact(demand.latePerSecond),
            compact(demand.waiting)};
}

/// Encodes rows as arrays rather than objects to save bytes: a report goes to every serving daemon several
/// times a second.
json::array rowsOf(const PeerReport &report, const char *which)
{
    json::array rows;
    const std::string_view name(which);
    if (name == "loads") {
        for (const EndpointLoad &load : report.loads)
            rows.push_back({load.incarnation.id.value, load.incarnation.start.unixMs, load.running,
                            load.prefillTokens, load.contextTokens});
    } else if (name == "balances") {
        for (const OrganisationBalance &balance : report.balances) {
            if (balance.spare > 0 || !report.full)
                rows.push_back({balance.organisation.value, compact(balance.spare)});
        }
    } else if (name == "windows") {
        for (const WindowCounts::value_type &window : report.windows) {
            for (const std::pair<const OrganisationName, uint64_t> &count : window.second)
                rows.push_back({window.first, count.first.value, count.second});
        }
    } else {
        for (const ServiceDemand &demand : report.demands)
            rows.push_back(rowOf(demand));
    }
    return rows;
}

json::array rowsOf(const std::vector<EngineSpeedRow> &speeds)
{
    json::array rows;
    for (const EngineSpeedRow &row : speeds)
        rows.push_back({row.engine.id.value, row.engine.start.unixMs, compact(row.sums.expectedMs),
                        compact(row.sums.observedMs), compact(row.sums.count)});
    return rows;
}

/// Groups the counts into one row per route, since the names take more bytes than the counts.
json::array rowsOf(const std::vector<TrialCount> &counts)
{
    std::map<std::array<std::string, 3>, json::array> rows;
    for (const TrialCount &count : counts) {
        json::array &row = rows[{count.service.value, count.target.value, count.route}];
        row.push_back(count.group);
        row.push_back(count.answers);
        row.push_back(count.bad);
    }
    json::array out;
    for (std::pair<const std::array<std::string, 3>, json::array> &row : rows)
        out.push_back({row.first[0], row.first[1], row.first[2], std::move(row.second)});
    return out;
}

json::object rowsOf(const RolloutsKnown &known)
{
    json::array orders;
    for (const RolloutOrder &order : known.orders)
        orders.push_back({order.service.value, order.target.value, order.duration.count, order.revision});
    json::array records;
    for (const std::pair<const ServiceName, RolloutRecord> &record : known.records)
        records.push_back({record.first.value, recordText(record.second)});
    json::object out{{"era", known.era}, {"orders", std::move(orders)}, {"records", std::move(records)}};
    if (known.versions)
        out["versions"] = versionsText(*known.versions);
    return out;
}

void decodeTrialRow(const json::array &fields, std::vector<TrialCount> &out)
{
    const json::array &counts = fields[3].as_array();
    for (size_t i = 0; i + 2 < counts.size(); i += 3) {
        TrialCount count{ServiceName{text(fields[0])},
                         SoftwareVersion{text(fields[1])},
                         text(fields[2]),
                         counts[i].to_number<uint32_t>(),
                         counts[i + 1].to_number<uint64_t>(),
                         counts[i + 2].to_number<uint64_t>()};
        out.push_back(std::move(count));
    }
}

RolloutsKnown decodedRollouts(const json::value &value)
{
    RolloutsKnown known;
    known.era = value.at("era").to_number<uint64_t>();
    for (const json::value &each : value.at("orders").as_array()) {
        const json::array &order = row(each, 4);
        known.orders.push_back({ServiceName{text(order[0])},
                                SoftwareVersion{text(order[1])},
                                {order[2].to_number<int64_t>()},
                                order[3].to_number<uint64_t>()});
    }
    for (const json::value &each : value.at("records").as_array()) {
        const ServiceName service{text(row(each, 2)[0])};
        if (const std::optional<RolloutRecord> record = recordFromText(service, text(row(each, 2)[1])))
            known.records[service] = *record;
    }
    if (const json::value *versions = value.as_object().if_contains("versions"))
        known.versions = versionsFromText(text(*versions));
    return known;
}

// A row without the offered requests is of a daemon that does not measure them: its prefilled tokens are the
// closest figure.
ServiceDemand decodedDemand(const json::value &value)
{
    constexpr size_t SizeWithoutOffered = 11;
    constexpr size_t Size = 19;
    const json::array &fields = row(value, SizeWithoutOffered);
    const auto figure = [&fields](size_t i) { return fields[i].to_number<double>(); };
    ServiceDemand demand{ServiceName{text(fields[0])},
                         figure(1),
                         figure(2),
                         figure(3),
                         figure(4),
                         figure(5),
                         {figure(6), figure(7), figure(8), figure(9), figure(10)}};
    if (fields.size() < Size) {
        demand.offeredPerSecond = demand.requestsPerSecond;
        demand.ownTokensPerSecond = demand.prefillTokensPerSecond;
        demand.ownSquaresPerSecond = demand.prefillSquaresPerSecond;
        return demand;
    }
    demand.offeredPerSecond = figure(11);
    demand.ownTokensPerSecond = figure(12);
    demand.ownSquaresPerSecond = figure(13);
    demand.sharedTokensPerSecond = figure(14);
    demand.sharedPrefilledPerSecond = figure(15);
    demand.startedPerSecond = figure(16);
    demand.latePerSecond = figure(17);
    demand.waiting = figure(18);
    return demand;
}

std::vector<EngineSpeedRow> decodedSpeeds(const json::value &rows)
{
    std::vector<EngineSpeedRow> out;
    for (const json::value &value : rows.as_array()) {
        const json::array &fields = row(value, 5);
        out.push_back(
            {{EndpointId{text(fields[0])}, {fields[1].to_number<int64_t>()}},
             {fields[2].to_number<double>(), fields[3].to_number<double>(), fields[4].to_number<double>()}});
    }
    return out;
}

json::object encodedCounts(const std::map<ServiceName, uint32_t> &counts)
{
    json::object out;
    for (const std::pair<const ServiceName, uint32_t> &each : counts)
        out[each.first.value] = each.second;
    return out;
}

std::map<ServiceName, uint32_t> decodedCounts(const json::value &value)
{
    std::map<ServiceName, uint32_t> out;
    for (const json::key_value_pair &each : value.as_object())
        out[ServiceName{std::string(each.key())}] = each.value().to_number<uint32_t>();
    return out;
}

PeerReport decodedReport(const json::object &object)
{
    PeerReport report;
    report.incarnation.value = object.at("id").to_number<uint64_t>();
    report.instance.value = text(object.at("instance"));
    report.leaving = object.at("leaving").as_bool();
    report.ready = object.at("ready").as_bool();
    report.readsStore = object.at("readsStore").as_bool();
    report.full = object.at("whole").as_bool();
    report.sequence = object.at("sequence").to_number<uint64_t>();
    report.wallMs = object.at("wallMs").to_number<int64_t>();
    report.coresUsed = object.at("coresUsed").to_number<double>();
    for (const json::value &value : object.at("loads").as_array()) {
        const json::array &load = row(value, 4);
        report.loads.push_back({{EndpointId{text(load[0])}, {load[1].to_number<int64_t>()}},
                                load[2].to_number<uint32_t>(),
                                load[3].to_number<uint64_t>(),
                                load.size() > 4 ? load[4].to_number<uint64_t>() : 0});
    }
    for (const json::value &value : object.at("balances").as_array()) {
        const json::array &balance = row(value, 2);
        report.balances.push_back({OrganisationName{text(balance[0])}, balance[1].to_number<double>()});
    }
    for (const json::value &value : object.at("windows").as_array()) {
        const json::array &count = row(value, 3);
        report.windows[count[0].to_number<int64_t>()][OrganisationName{text(count[1])}]
            = count[2].to_number<uint64_t>();
    }
    for (const json::value &value : object.at("trials").as_array())
        decodeTrialRow(row(value, 4), report.trials);
    for (const json::value &value : object.at("demands").as_array())
        report.demands.push_back(decodedDemand(value));
    if (const json::value *rows = object.if_contains("speeds"))
        report.speeds = decodedSpeeds(*rows);
    if (const json::value *unreached = object.if_contains("unreached")) {
        for (const json::value &service : unreached->as_array())
            report.unreached.push_back(ServiceName{text(service)});
    }
    if (const json::value *brittle = object.if_contains("brittle"))
        report.brittle = decodedCounts(*brittle);
    if (const json::value *requests = object.if_contains("requests"))
        report.requests = decodedCounts(*requests);
    return report;
}

json::object encoded(const PeerReport &report)
{
    json::object out{{"kind", "report"},
                     {"id", report.incarnation.value},
                     {"instance", report.instance.value},
                     {"leaving", report.leaving},
                     {"ready", report.ready},
                     {"readsStore", report.readsStore},
                     {"whole", report.full},
                     {"sequence", report.sequence},
                     {"wallMs", report.wallMs},
                     {"coresUsed", report.coresUsed},
                     {"loads", rowsOf(report, "loads")},
                     {"balances", rowsOf(report, "balances")},
                     {"windows", rowsOf(report, "windows")},
                     {"demands", rowsOf(report, "demands")},
                     {"trials", rowsOf(report.trials)}};
    if (!report.speeds.empty())
        out["speeds"] = rowsOf(report.speeds);
    if (!report.unreached.empty()) {
        json::array unreached;
        for (const ServiceName &service : report.unreached)
            unreached.push_back(json::value(service.value));
        out["unreached"] = std::move(unreached);
    }
    if (!report.brittle.empty())
        out["brittle"] = encodedCounts(report.brittle);
    if (!report.requests.empty())
        out["requests"] = encodedCounts(report.requests);
    return out;
}

json::object encoded(const FreshnessQuery &query)
{
    return {{"kind", "question"},
            {"id", query.from.value},
            {"number", query.number},
            {"era", query.era},
            {"endpointsDigest", query.endpointsDigest},
            {"endpointsAfter", query.endpointsAfter.value},
            {"endpointsAgeMs", query.endpointsAge ? query.endpointsAge->count : -1},
            {"sharedDigest", query.sharedDigest},
            {"configurationVersion", query.configurationVersion},
            {"entriesDigest", query.entriesDigest},
            {"quarantineDigest", query.quarantineDigest},
            {"rolloutsDigest", query.rolloutsDigest},
            {"readersRevision", query.readersRevision}};
}

FreshnessQuery decodedFreshnessQuery(const json::object &object)
{
    FreshnessQuery query;
    query.from.value = object.at("id").to_number<uint64_t>();
    query.number = object.at("number").to_number<uint64_t>();
    query.era = object.at("era").to_number<uint64_t>();
    query.endpointsDigest = object.at("endpointsDigest").to_number<uint64_t>();
    query.endpointsAfter.value = text(object.at("endpointsAfter"));
    const int64_t ageMs = object.at("endpointsAgeMs").to_number<int64_t>();
    if (ageMs >= 0)
        query.endpointsAge = DurationMs{ageMs};
    query.sharedDigest = object.at("sharedDigest").to_number<uint64_t>();
    query.configurationVersion = object.at("configurationVersion").to_number<uint64_t>();
    query.entriesDigest = object.at("entriesDigest").to_number<uint64_t>();
    query.quarantineDigest = object.at("quarantineDigest").to_number<uint64_t>();
    query.rolloutsDigest = object.at("rolloutsDigest").to_number<uint64_t>();
    query.readersRevision = object.at("readersRevision").to_number<uint64_t>();
    return query;
}

json::array rowsOf(const std::vector<Address> &addresses)
{
    json::array rows;
    for (const Address &address : addresses)
        rows.push_back(json::value(toText(address)));
    return rows;
}

json::array rowsOf(const std::vector<EndpointEntry> &entries)
{
    json::array rows;
    for (const EndpointEntry &entry : entries) {
        rows.push_back({entry.id.value, entry.service.value, toText(entry.address), entry.failureDomain.value,
                        entry.slots, entry.leaving, entry.reclaimable,
                        entry.leavesAfter ? entry.leavesAfter->count : -1, entry.start.unixMs, entry.readable,
                        entry.version.value});
    }
    return rows;
}

json::object encoded(const FreshnessReply &reply)
{
    json::object out{{"kind", "answer"},
                     {"number", reply.number},
                     {"era", reply.era},
                     {"sharedAgeMs", reply.sharedAge.count},
                     {"sharedDigest", reply.sharedDigest},
                     {"configurationVersion", reply.configurationVersion},
                     {"endpointsAgeMs", reply.endpointsAge.count},
                     {"endpointsDigest", reply.endpointsDigest},
                     {"entriesDigest", reply.entriesDigest},
                     {"quarantineDigest", reply.quarantineDigest},
                     {"rolloutsDigest", reply.rolloutsDigest}};
    if (reply.rollouts)
        out["rollouts"] = rowsOf(*reply.rollouts);
    if (reply.hasQuarantine)
        out["quarantine"] = quarantineRows(reply.quarantine);
    if (reply.hasEntries)
        out["entries"] = rowsOf(reply.entries);
    if (reply.readers) {
        out["readers"] = rowsOf(reply.readers->addresses);
        out["readersRevision"] = reply.readers->revision;
        out["isRedirect"] = reply.isRedirect;
    }
    if (reply.hasMembers) {
        json::array members;
        for (const MemberEntry &member : reply.members)
            members.push_back({member.instance.value, member.incarnation.value, member.failureDomain.value,
                               toText(member.callerAddress), toText(member.peerAddress), member.cores,
                               member.serving});
        out["members"] = std::move(members);
        out["listed"] = reply.listed;
        out["leader"] = {reply.leader.value, reply.leader.revision, reply.leader.lease};
    }
    if (reply.endpointsPart) {
        out["endpoints"] = rowsOf(reply.endpointsPart->entries);
        out["endpointsAfter"] = reply.endpointsPart->after.value;
        out["endpointsEnd"] = reply.endpointsPart->isLast;
    }
    if (reply.endpointChanges) {
        out["endpointsBase"] = reply.endpointsBase;
        out["changed"] = rowsOf(reply.endpointChanges->changed);
        json::array gone;
        for (const EndpointId &id : reply.endpointChanges->gone)
            gone.push_back(json::value(id.value));
        out["gone"] = std::move(gone);
    }
    return out;
}

EndpointEntry decodedEndpoint(const json::array &fields)
{
    EndpointEntry entry;
    entry.id.value = text(fields[0]);
    entry.service.value = text(fields[1]);
    entry.address = addressFromText(text(fields[2])).value_or(Address{});
    entry.failureDomain.value = text(fields[3]);
    entry.slots = fields[4].to_number<uint32_t>();
    entry.leaving = fields[5].as_bool();
    entry.reclaimable = fields[6].as_bool();
    if (fields[7].to_number<int64_t>() >= 0)
        entry.leavesAfter = DurationMs{fields[7].to_number<int64_t>()};
    entry.start.unixMs = fields[8].to_number<int64_t>();
    entry.readable = fields[9].as_bool();
    entry.version.value = text(fields[10]);
    return entry;
}

std::vector<EndpointEntry> decodedEndpoints(const json::value &rows)
{
    std::vector<EndpointEntry> out;
    for (const json::value &value : rows.as_array())
        out.push_back(decodedEndpoint(row(value, 11)));
    return out;
}

std::vector<Address> decodedAddresses(const json::value &rows)
{
    std::vector<Address> out;
    for (const json::value &value : rows.as_array())
        out.push_back(addressFromText(text(value)).value_or(Address{}));
    return out;
}

MemberEntry decodedMember(const json::array &fields)
{
    MemberEntry member;
    member.instance.value = text(fields[0]);
    member.incarnation.value = fields[1].to_number<uint64_t>();
    member.failureDomain.value = text(fields[2]);
    member.callerAddress = addressFromText(text(fields[3])).value_or(Address{});
    member.peerAddress = addressFromText(text(fields[4])).value_or(Address{});
    member.cores = fields[5].to_number<double>();
    member.serving = fields[6].as_bool();
    return member;
}

FreshnessReply decodedFreshnessReply(const json::object &object)
{
    FreshnessReply reply;
    reply.number = object.at("number").to_number<uint64_t>();
    reply.era = object.at("era").to_number<uint64_t>();
    reply.sharedAge.count = object.at("sharedAgeMs").to_number<int64_t>();
    reply.sharedDigest = object.at("sharedDigest").to_number<uint64_t>();
    reply.configurationVersion = object.at("configurationVersion").to_number<uint64_t>();
    reply.endpointsAge.count = object.at("endpointsAgeMs").to_number<int64_t>();
    reply.endpointsDigest = object.at("endpointsDigest").to_number<uint64_t>();
    reply.entriesDigest = object.at("entriesDigest").to_number<uint64_t>();
    reply.quarantineDigest = object.at("quarantineDigest").to_number<uint64_t>();
    reply.rolloutsDigest = object.at("rolloutsDigest").to_number<uint64_t>();
    if (const json::value *rows = object.if_contains("rollouts"))
        reply.rollouts = decodedRollouts(*rows);
    if (const json::value *rows = object.if_contains("quarantine")) {
        std::optional<std::vector<QuarantinedRequest>> list = quarantineFromRows(*rows);
        reply.hasQuarantine = list.has_value();
        reply.quarantine = std::move(list).value_or(std::vector<QuarantinedRequest>());
    }
    if (const json::value *entries = object.if_contains("entries")) {
        reply.hasEntries = true;
        reply.entries = decodedAddresses(*entries);
    }
    if (const json::value *readers = object.if_contains("readers")) {
        reply.readers
            = NamedReaders{decodedAddresses(*readers), object.at("readersRevision").to_number<uint64_t>()};
        reply.isRedirect = object.at("isRedirect").as_bool();
    }
    if (const json::value *members = object.if_contains("members")) {
        reply.hasMembers = true;
        for (const json::value &value : members->as_array())
            reply.members.push_back(decodedMember(row(value, 7)));
        reply.listed = object.at("listed").to_number<size_t>();
        const json::array &leader = row(object.at("leader"), 3);
        reply.leader
            = {text(leader[0]), leader[1].to_number<uint64_t>(), leader[2].to_number<uint64_t>(), reply.era};
    }
    if (const json::value *rows = object.if_contains("endpoints")) {
        EndpointPart part;
        part.entries = decodedEndpoints(*rows);
        part.after.value = text(object.at("endpointsAfter"));
        part.isLast = object.at("endpointsEnd").as_bool();
        reply.endpointsPart = std::move(part);
    }
    if (const json::value *changed = object.if_contains("changed")) {
        EndpointChanges changes;
        changes.changed = decodedEndpoints(*changed);
        for (const json::value &id : object.at("gone").as_array())
            changes.gone.push_back(EndpointId{text(id)});
        reply.endpointsBase = object.at("endpointsBase").to_number<uint64_t>();
        reply.endpointChanges = std::move(changes);
    }
    return reply;
}

using Decoder = PeerDatagram (*)(const json::object &);

template <auto decode>
PeerDatagram decodedAs(const json::object &object)
{
    return decode(object);
}

const std::map<std::string, Decoder> decoders = {
    {"report", decodedAs<decodedReport>},
    {"question", decodedAs<decodedFreshnessQuery>},
    {"answer", decodedAs<decodedFreshnessReply>},
    {"ask", decodedAs<decodedQuotaRequest>},
    {"gift", decodedAs<decodedQuotaTransfer>},
    {"crash", decodedAs<decodedCrashNotice>},
    {"limits", decodedAs<decodedLimitNotice>},
    {"limitAsk", decodedAs<decodedLimitShareRequest>},
    {"limitGrant", decodedAs<decodedLimitShareGrant>},
    {"origins", decodedAs<decodedOriginNotice>},
    {"originAsk", decodedAs<decodedOriginQuery>},
    {"originAnswer", decodedAs<decodedOriginReply>},
    {"usage", decodedAs<decodedUsageNotice>},
};

} // namespace

std::string encodeDatagram(const PeerDatagram &datagram)
{
    return json::serialize(std::visit([](const auto &each) { return encoded(each); }, datagram));
}

// The JSON library throws for a missing or wrong field. The exception is caught here and the datagram is
// treated as invalid.
std::optional<PeerDatagram> decodeDatagram(std::string_view text)
{
    json::error_code code;
    const json::value value = json::parse(text, code);
    if (code || !value.is_object())
        return std::nullopt;
    try {
        const auto decoder = decoders.find(cranberry::text(value.at("kind")));
        return decoder == decoders.end() ? std::nullopt
                                         : std::optional<PeerDatagram>(decoder->second(value.as_object()));
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace cranberry
