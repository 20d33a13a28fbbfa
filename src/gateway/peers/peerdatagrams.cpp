#include "gateway/peers/peerdatagrams.h"

#include "gateway/endpoints/quarantinelist.h"

#include <array>
#include <boost/json.hpp>
#include <cmath>

namespace cranberry {

namespace {

namespace json = boost::json;

/// From this value on, numbers are sent without their fraction.
constexpr double WholeFrom = 1000;

// Shortens numbers: with its full fraction one takes 22 bytes of text, and reports are most of the traffic
// between daemons.
json::value compact(double figure)
{
    if (std::abs(figure) >= WholeFrom)
        return static_cast<int64_t>(figure);
    return std::floor(figure * 100) / 100;
}

json::array rowOf(const ServiceDemand &demand)
{
    const ReadingSums &readings = demand.readings;
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
            compact(readings.tokensMs)};
}

/// Encodes rows as arrays rather than objects to save bytes: a report goes to every serving daemon several
/// times a second.
json::array rowsOf(const PeerReport &report, const char *which)
{
    json::array rows;
    const std::string_view name(which);
    if (name == "loads") {
        for (const EndpointLoad &load : report.loads)
            rows.push_back({load.life.id.value, load.life.start.unixMs, load.running, load.prefillTokens});
    } else if (name == "balances") {
        for (const OrganisationBalance &balance : report.balances) {
            if (balance.spare > 0 || !report.whole)
                rows.push_back({balance.organisation.value, compact(balance.spare)});
        }
    } else if (name == "windows") {
        for (const WindowCount &count : report.windows)
            rows.push_back({count.window, count.organisation.value, count.count});
    } else {
        for (const ServiceDemand &demand : report.demands)
            rows.push_back(rowOf(demand));
    }
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
    return {{"era", known.era}, {"orders", std::move(orders)}, {"records", std::move(records)}};
}

std::string text(const json::value &value)
{
    return std::string(value.as_string());
}

const json::array &row(const json::value &value, size_t size)
{
    const json::array &out = value.as_array();
    if (out.size() < size)
        throw boost::system::system_error(json::make_error_code(json::error::incomplete));
    return out;
}

void takeTrialRow(const json::array &fields, std::vector<TrialCount> &out)
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
    return known;
}

PeerReport decodedReport(const json::object &object)
{
    PeerReport report;
    report.incarnation.value = object.at("id").to_number<uint64_t>();
    report.instance.value = text(object.at("instance"));
    report.leaving = object.at("leaving").as_bool();
    report.ready = object.at("ready").as_bool();
    report.readsStore = object.at("readsStore").as_bool();
    report.whole = object.at("whole").as_bool();
    report.sequence = object.at("sequence").to_number<uint64_t>();
    report.wallMs = object.at("wallMs").to_number<int64_t>();
    report.coresUsed = object.at("coresUsed").to_number<double>();
    for (const json::value &value : object.at("loads").as_array()) {
        const json::array &load = row(value, 4);
        report.loads.push_back({{EndpointId{text(load[0])}, {load[1].to_number<int64_t>()}},
                                load[2].to_number<uint32_t>(),
                                load[3].to_number<uint64_t>()});
    }
    for (const json::value &value : object.at("balances").as_array()) {
        const json::array &balance = row(value, 2);
        report.balances.push_back({OrganisationName{text(balance[0])}, balance[1].to_number<double>()});
    }
    for (const json::value &value : object.at("windows").as_array()) {
        const json::array &count = row(value, 3);
        report.windows.push_back({count[0].to_number<int64_t>(), OrganisationName{text(count[1])},
                                  count[2].to_number<uint64_t>()});
    }
    for (const json::value &value : object.at("trials").as_array())
        takeTrialRow(row(value, 4), report.trials);
    for (const json::value &value : object.at("demands").as_array()) {
        const json::array &demand = row(value, 11);
        const auto figure = [&demand](size_t i) { return demand[i].to_number<double>(); };
        report.demands.push_back({ServiceName{text(demand[0])},
                                  figure(1),
                                  figure(2),
                                  figure(3),
                                  figure(4),
                                  figure(5),
                                  {figure(6), figure(7), figure(8), figure(9), figure(10)}});
    }
    return report;
}

json::object encoded(const PeerReport &report)
{
    return {{"kind", "report"},
            {"id", report.incarnation.value},
            {"instance", report.instance.value},
            {"leaving", report.leaving},
            {"ready", report.ready},
            {"readsStore", report.readsStore},
            {"whole", report.whole},
            {"sequence", report.sequence},
            {"wallMs", report.wallMs},
            {"coresUsed", report.coresUsed},
            {"loads", rowsOf(report, "loads")},
            {"balances", rowsOf(report, "balances")},
            {"windows", rowsOf(report, "windows")},
            {"demands", rowsOf(report, "demands")},
            {"trials", rowsOf(report.trials)}};
}

json::object encoded(const FreshnessQuestion &question)
{
    return {{"kind", "question"},
            {"id", question.from.value},
            {"number", question.number},
            {"era", question.era},
            {"endpointsDigest", question.endpointsDigest},
            {"sharedDigest", question.sharedDigest},
            {"configurationVersion", question.configurationVersion},
            {"entriesDigest", question.entriesDigest},
            {"quarantineDigest", question.quarantineDigest},
            {"rolloutsDigest", question.rolloutsDigest}};
}

FreshnessQuestion decodedQuestion(const json::object &object)
{
    FreshnessQuestion question;
    question.from.value = object.at("id").to_number<uint64_t>();
    question.number = object.at("number").to_number<uint64_t>();
    question.era = object.at("era").to_number<uint64_t>();
    question.endpointsDigest = object.at("endpointsDigest").to_number<uint64_t>();
    question.sharedDigest = object.at("sharedDigest").to_number<uint64_t>();
    question.configurationVersion = object.at("configurationVersion").to_number<uint64_t>();
    question.entriesDigest = object.at("entriesDigest").to_number<uint64_t>();
    question.quarantineDigest = object.at("quarantineDigest").to_number<uint64_t>();
    question.rolloutsDigest = object.at("rolloutsDigest").to_number<uint64_t>();
    return question;
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

json::object encoded(const FreshnessAnswer &answer)
{
    json::object out{{"kind", "answer"},
                     {"number", answer.number},
                     {"era", answer.era},
                     {"sharedAgeMs", answer.sharedAge.count},
                     {"sharedDigest", answer.sharedDigest},
                     {"configurationVersion", answer.configurationVersion},
                     {"endpointsAgeMs", answer.endpointsAge.count},
                     {"endpointsDigest", answer.endpointsDigest},
                     {"entriesDigest", answer.entriesDigest},
                     {"quarantineDigest", answer.quarantineDigest},
                     {"rolloutsDigest", answer.rolloutsDigest}};
    if (answer.rollouts)
        out["rollouts"] = rowsOf(*answer.rollouts);
    if (answer.hasQuarantine)
        out["quarantine"] = quarantineRows(answer.quarantine);
    if (answer.hasEntries) {
        json::array entries;
        for (const Address &address : answer.entries)
            entries.push_back(json::value(toText(address)));
        out["entries"] = std::move(entries);
    }
    if (answer.hasMembers) {
        json::array members;
        for (const MemberEntry &member : answer.members)
            members.push_back({member.instance.value, member.incarnation.value, member.failureDomain.value,
                               toText(member.callerAddress), toText(member.peerAddress), member.cores,
                               member.serving});
        out["members"] = std::move(members);
        out["listed"] = answer.listed;
        out["leader"] = {answer.leader.value, answer.leader.revision, answer.leader.lease};
    }
    if (answer.hasEndpoints) {
        out["endpoints"] = rowsOf(answer.endpoints);
        out["endpointsFrom"] = answer.endpointsFrom;
        out["endpointsTotal"] = answer.endpointsTotal;
    }
    if (answer.endpointChanges) {
        out["endpointsBase"] = answer.endpointsBase;
        out["changed"] = rowsOf(answer.endpointChanges->changed);
        json::array gone;
        for (const EndpointId &id : answer.endpointChanges->gone)
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

FreshnessAnswer decodedAnswer(const json::object &object)
{
    FreshnessAnswer answer;
    answer.number = object.at("number").to_number<uint64_t>();
    answer.era = object.at("era").to_number<uint64_t>();
    answer.sharedAge.count = object.at("sharedAgeMs").to_number<int64_t>();
    answer.sharedDigest = object.at("sharedDigest").to_number<uint64_t>();
    answer.configurationVersion = object.at("configurationVersion").to_number<uint64_t>();
    answer.endpointsAge.count = object.at("endpointsAgeMs").to_number<int64_t>();
    answer.endpointsDigest = object.at("endpointsDigest").to_number<uint64_t>();
    answer.entriesDigest = object.at("entriesDigest").to_number<uint64_t>();
    answer.quarantineDigest = object.at("quarantineDigest").to_number<uint64_t>();
    answer.rolloutsDigest = object.at("rolloutsDigest").to_number<uint64_t>();
    if (const json::value *rows = object.if_contains("rollouts"))
        answer.rollouts = decodedRollouts(*rows);
    if (const json::value *rows = object.if_contains("quarantine")) {
        std::optional<std::vector<QuarantinedRequest>> list = quarantineFromRows(*rows);
        answer.hasQuarantine = list.has_value();
        answer.quarantine = std::move(list).value_or(std::vector<QuarantinedRequest>());
    }
    if (const json::value *entries = object.if_contains("entries")) {
        answer.hasEntries = true;
        for (const json::value &value : entries->as_array())
            answer.entries.push_back(addressFromText(text(value)).value_or(Address{}));
    }
    if (const json::value *members = object.if_contains("members")) {
        answer.hasMembers = true;
        for (const json::value &value : members->as_array())
            answer.members.push_back(decodedMember(row(value, 7)));
        answer.listed = object.at("listed").to_number<size_t>();
        const json::array &leader = row(object.at("leader"), 3);
        answer.leader
            = {text(leader[0]), leader[1].to_number<uint64_t>(), leader[2].to_number<uint64_t>(), answer.era};
    }
    if (const json::value *rows = object.if_contains("endpoints")) {
        answer.hasEndpoints = true;
        answer.endpoints = decodedEndpoints(*rows);
        answer.endpointsFrom = object.at("endpointsFrom").to_number<size_t>();
        answer.endpointsTotal = object.at("endpointsTotal").to_number<size_t>();
    }
    if (const json::value *changed = object.if_contains("changed")) {
        EndpointChanges changes;
        changes.changed = decodedEndpoints(*changed);
        for (const json::value &id : object.at("gone").as_array())
            changes.gone.push_back(EndpointId{text(id)});
        answer.endpointsBase = object.at("endpointsBase").to_number<uint64_t>();
        answer.endpointChanges = std::move(changes);
    }
    return answer;
}

json::object encoded(const QuotaAsk &ask)
{
    return {{"kind", "ask"},
            {"number", ask.number},
            {"organisation", ask.organisation.value},
            {"units", ask.units}};
}

json::object encoded(const QuotaGift &gift)
{
    return {{"kind", "gift"},        {"id", gift.from.value},
            {"number", gift.number}, {"organisation", gift.organisation.value},
            {"units", gift.units},   {"deposit", gift.deposit}};
}

QuotaAsk decodedAsk(const json::object &object)
{
    return {object.at("number").to_number<uint64_t>(), OrganisationName{text(object.at("organisation"))},
            object.at("units").to_number<double>()};
}

QuotaGift decodedGift(const json::object &object)
{
    return {Incarnation{object.at("id").to_number<uint64_t>()}, object.at("number").to_number<uint64_t>(),
            OrganisationName{text(object.at("organisation"))}, object.at("units").to_number<double>(),
            object.at("deposit").as_bool()};
}

json::object encoded(const CrashNotice &notice)
{
    json::array losses;
    for (const EndpointLoss &loss : notice.losses)
        losses.push_back(
            {toText(loss.request), loss.endpoint.id.value, loss.endpoint.start.unixMs, loss.ranWell});
    json::array answered;
    for (const RequestDigest request : notice.answered)
        answered.push_back(json::value(toText(request)));
    return {{"kind", "crash"},
            {"losses", std::move(losses)},
            {"answered", std::move(answered)},
            {"quarantined", quarantineRows(notice.quarantined)}};
}

CrashNotice decodedCrash(const json::object &object)
{
    CrashNotice notice;
    for (const json::value &value : object.at("losses").as_array()) {
        const json::array &loss = row(value, 4);
        const std::optional<RequestDigest> request = requestDigestFromText(text(loss[0]));
        if (request)
            notice.losses.push_back(
                {*request, {EndpointId{text(loss[1])}, {loss[2].to_number<int64_t>()}}, loss[3].as_bool()});
    }
    for (const json::value &value : object.at("answered").as_array()) {
        if (const std::optional<RequestDigest> request = requestDigestFromText(text(value)))
            notice.answered.push_back(*request);
    }
    notice.quarantined
        = quarantineFromRows(object.at("quarantined")).value_or(std::vector<QuarantinedRequest>());
    return notice;
}

/// Value sent in a row for an endpoint that no longer has a limit.
constexpr double NoLimit = -1;

json::object encoded(const LimitNotice &notice)
{
    json::array words;
    for (const LimitWord &word : notice.words)
        words.push_back({word.endpoint.id.value, word.endpoint.start.unixMs,
                         word.limit ? word.limit->perSecond : NoLimit, word.clears, word.age.count,
                         word.standing.count});
    return {{"kind", "limits"}, {"words", std::move(words)}};
}

LimitNotice decodedLimits(const json::object &object)
{
    LimitNotice notice;
    for (const json::value &value : object.at("words").as_array()) {
        const json::array &fields = row(value, 6);
        LimitWord word;
        word.endpoint = {EndpointId{text(fields[0])}, {fields[1].to_number<int64_t>()}};
        const double perSecond = fields[2].to_number<double>();
        if (perSecond >= 0)
            word.limit = RequestRate{perSecond};
        word.clears = fields[3].to_number<uint32_t>();
        word.age.count = std::max<int64_t>(fields[4].to_number<int64_t>(), 0);
        word.standing.count = std::max<int64_t>(fields[5].to_number<int64_t>(), 0);
        notice.words.push_back(std::move(word));
    }
    return notice;
}

json::object encoded(const LimitAsk &ask)
{
    return {{"kind", "limitAsk"},
            {"endpoint", ask.endpoint.id.value},
            {"start", ask.endpoint.start.unixMs},
            {"number", ask.number},
            {"waiting", ask.waiting}};
}

EndpointLife decodedLife(const json::object &object)
{
    return {EndpointId{text(object.at("endpoint"))}, {object.at("start").to_number<int64_t>()}};
}

LimitAsk decodedLimitAsk(const json::object &object)
{
    return {decodedLife(object), object.at("number").to_number<uint64_t>(),
            object.at("waiting").to_number<uint32_t>()};
}

json::object encoded(const LimitGrant &grant)
{
    return {{"kind", "limitGrant"},
            {"endpoint", grant.endpoint.id.value},
            {"start", grant.endpoint.start.unixMs},
            {"id", grant.from.value},
            {"ask", grant.ask},
            {"number", grant.number},
            {"requests", grant.requests},
            {"waiting", grant.waiting}};
}

LimitGrant decodedLimitGrant(const json::object &object)
{
    return {decodedLife(object),
            Incarnation{object.at("id").to_number<uint64_t>()},
            object.at("ask").to_number<uint64_t>(),
            object.at("number").to_number<uint64_t>(),
            object.at("requests").to_number<uint32_t>(),
            object.at("waiting").to_number<uint32_t>()};
}

std::optional<PeerDatagram> decoded(const json::object &object)
{
    const std::string kind = text(object.at("kind"));
    if (kind == "report")
        return decodedReport(object);
    if (kind == "question")
        return decodedQuestion(object);
    if (kind == "answer")
        return decodedAnswer(object);
    if (kind == "ask")
        return decodedAsk(object);
    if (kind == "gift")
        return decodedGift(object);
    if (kind == "crash")
        return decodedCrash(object);
    if (kind == "limits")
        return decodedLimits(object);
    if (kind == "limitAsk")
        return decodedLimitAsk(object);
    if (kind == "limitGrant")
        return decodedLimitGrant(object);
    return std::nullopt;
}

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
        return decoded(value.as_object());
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace cranberry
