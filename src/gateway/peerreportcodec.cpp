#include "gateway/peerreportcodec.h"

#include <boost/json.hpp>

namespace cranberry {

namespace {

namespace json = boost::json;

/// Rows are arrays, not objects: a report goes to every daemon several times a second.
json::array rowsOf(const PeerReport &report, const char *which)
{
    json::array rows;
    const std::string_view name(which);
    if (name == "loads") {
        for (const EndpointLoad &load : report.loads)
            rows.push_back({load.id.value, load.running, load.prefillTokens});
    } else if (name == "uses") {
        for (const OrganisationUse &use : report.uses)
            rows.push_back({use.organisation.value, use.units, use.left});
    } else if (name == "windows") {
        for (const WindowCount &count : report.windows)
            rows.push_back({count.window, count.organisation.value, count.count});
    } else {
        for (const ServiceDemand &demand : report.demands)
            rows.push_back({demand.service.value, demand.prefillTokensPerSecond, demand.running});
    }
    return rows;
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

PeerReport decoded(const json::object &object)
{
    PeerReport report;
    report.incarnation.value = object.at("id").to_number<uint64_t>();
    report.instance.value = text(object.at("instance"));
    report.leaving = object.at("leaving").as_bool();
    report.ready = object.at("ready").as_bool();
    report.sequence = object.at("sequence").to_number<uint64_t>();
    report.heard = object.at("heard").to_number<uint32_t>();
    report.wallMs = object.at("wallMs").to_number<int64_t>();
    for (const json::value &value : object.at("loads").as_array()) {
        const json::array &load = row(value, 3);
        report.loads.push_back(
            {EndpointId{text(load[0])}, load[1].to_number<uint32_t>(), load[2].to_number<uint64_t>()});
    }
    for (const json::value &value : object.at("uses").as_array()) {
        const json::array &use = row(value, 3);
        report.uses.push_back(
            {OrganisationName{text(use[0])}, use[1].to_number<double>(), use[2].to_number<double>()});
    }
    for (const json::value &value : object.at("windows").as_array()) {
        const json::array &count = row(value, 3);
        report.windows.push_back({count[0].to_number<int64_t>(), OrganisationName{text(count[1])},
                                  count[2].to_number<uint64_t>()});
    }
    for (const json::value &value : object.at("demands").as_array()) {
        const json::array &demand = row(value, 3);
        report.demands.push_back(
            {ServiceName{text(demand[0])}, demand[1].to_number<double>(), demand[2].to_number<double>()});
    }
    return report;
}

} // namespace

std::string encodeReport(const PeerReport &report)
{
    return json::serialize(json::object{{"id", report.incarnation.value},
                                        {"instance", report.instance.value},
                                        {"leaving", report.leaving},
                                        {"ready", report.ready},
                                        {"sequence", report.sequence},
                                        {"heard", report.heard},
                                        {"wallMs", report.wallMs},
                                        {"loads", rowsOf(report, "loads")},
                                        {"uses", rowsOf(report, "uses")},
                                        {"windows", rowsOf(report, "windows")},
                                        {"demands", rowsOf(report, "demands")}});
}

// The JSON library reports a missing or wrong field by exception; it ends here and becomes "no report".
std::optional<PeerReport> decodeReport(std::string_view text)
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
