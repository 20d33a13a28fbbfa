#include "trace.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <set>

namespace cranberry {

namespace {

namespace json = boost::json;

/// Context events this long before a request's first line may explain its course.
constexpr int64_t ContextBeforeMs = 3000;
constexpr int64_t ContextAfterMs = 500;
/// Start and stop of a daemon are context for longer: a stop takes as long as its grace, and a request that
/// it cuts off may have had its last line before.
constexpr int64_t LifeContextMs = 30000;

struct LogLine {
    int64_t timeMs = 0;
    std::string instance;
    std::string event;
    std::string request;
    std::string endpoint;
    std::string digest; ///< The same for all attempts of one request.
    std::string service;
    bool isInBrief = false; ///< One of several requests of a line.
    std::string otherFields; ///< All other fields, formatted for output.
};

std::string textAt(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

/// Bytes of a request's id that a line in brief has at most.
constexpr size_t BriefIdBytes = 64;

// One line for each request that a line names in brief: texts of event, endpoint and request.
void addNamedInBrief(const json::object &object, const LogLine &brief, std::vector<LogLine> &out)
{
    const json::value *requests = object.if_contains("requests");
    if (!requests || !requests->is_array())
        return;
    for (const json::value &each : requests->as_array()) {
        if (!each.is_string())
            continue;
        const std::string text(each.as_string());
        const size_t first = text.find(' ');
        const size_t second = first == std::string::npos ? first : text.find(' ', first + 1);
        if (second == std::string::npos)
            continue;
        LogLine line;
        line.timeMs = brief.timeMs;
        line.instance = brief.instance;
        line.event = text.substr(0, first);
        line.endpoint = text.substr(first + 1, second - first - 1);
        line.request = text.substr(second + 1);
        line.isInBrief = true;
        line.otherFields = fmt::format(" endpoint=\"{}\" in_brief=true", line.endpoint);
        out.push_back(std::move(line));
    }
}

bool isOf(const LogLine &line, const std::string &request)
{
    return line.request == request || (line.isInBrief && line.request == request.substr(0, BriefIdBytes));
}

void readLine(const std::string &text, std::vector<LogLine> &all)
{
    const size_t brace = text.find('{');
    if (brace == std::string::npos)
        return;
    json::error_code code;
    const json::value value = json::parse(std::string_view(text).substr(brace), code);
    const json::object *object = code ? nullptr : value.if_object();
    const json::value *time = object ? object->if_contains("time_ms") : nullptr;
    if (!time || !time->is_number())
        return;
    LogLine out;
    out.timeMs = time->to_number<int64_t>();
    out.instance = textAt(*object, "instance");
    out.event = textAt(*object, "event");
    out.request = textAt(*object, "request");
    out.endpoint = textAt(*object, "endpoint");
    out.digest = textAt(*object, "digest");
    out.service = textAt(*object, "service");
    if (out.event == "in_brief" || out.event == "lost_in_brief")
        return addNamedInBrief(*object, out, all);
    for (const json::key_value_pair &field : *object) {
        const std::string name(field.key());
        if (name != "time_ms" && name != "instance" && name != "event" && name != "request")
            out.otherFields += fmt::format(" {}={}", name, json::serialize(field.value()));
    }
    all.push_back(std::move(out));
}

bool isOfDaemonsLife(const std::string &event)
{
    return event == "started" || event == "stopping" || event == "stopped";
}

// Parses the log lines and sorts them by time.
std::vector<LogLine> readLines(const std::vector<std::string> &lines)
{
    std::vector<LogLine> all;
    for (const std::string &text : lines)
        readLine(text, all);
    std::stable_sort(all.begin(), all.end(),
                     [](const LogLine &a, const LogLine &b) { return a.timeMs < b.timeMs; });
    return all;
}

} // namespace

std::vector<std::string> traceRollouts(const std::string &service, const std::vector<std::string> &lines)
{
    std::vector<std::string> out;
    int64_t first = 0;
    for (const LogLine &line : readLines(lines)) {
        const bool isRolloutEvent = line.event == "rollout_stage" || line.event == "version_suspected"
            || line.event == "rollout_refused";
        if (!isRolloutEvent || line.service != service)
            continue;
        first = first == 0 ? line.timeMs : first;
        out.push_back(fmt::format("{:+6d} ms {} {}{}", line.timeMs - first, line.instance, line.event,
                                  line.otherFields));
    }
    return out;
}

std::vector<std::string> traceRequest(const std::string &request, const std::vector<std::string> &lines)
{
    const std::vector<LogLine> all = readLines(lines);

    std::set<std::string> instances;
    std::set<std::string> endpoints;
    std::string digest;
    int64_t first = 0;
    int64_t last = 0;
    for (const LogLine &line : all) {
        if (!isOf(line, request))
            continue;
        first = first == 0 ? line.timeMs : first;
        last = line.timeMs;
        instances.insert(line.instance);
        if (!line.endpoint.empty())
            endpoints.insert(line.endpoint);
        if (!line.digest.empty())
            digest = line.digest;
    }

    std::vector<std::string> out;
    for (const LogLine &line : all) {
        const bool isOwnEvent = isOf(line, request);
        const bool isOtherAttempt = !isOwnEvent && !digest.empty() && line.digest == digest;
        const bool isOfLife = isOfDaemonsLife(line.event);
        const int64_t before = isOfLife ? LifeContextMs : ContextBeforeMs;
        const int64_t after = isOfLife ? LifeContextMs : ContextAfterMs;
        const bool isInWindow = line.timeMs >= first - before && line.timeMs <= last + after;
        const bool isContext = line.request.empty() && line.digest.empty() && isInWindow
            && instances.contains(line.instance)
            && (line.endpoint.empty() || endpoints.contains(line.endpoint));
        if (first == 0 || (!isOwnEvent && !isOtherAttempt && !isContext))
            continue;
        const char *marker = isOwnEvent ? "*" : isOtherAttempt ? "=" : " ";
        out.push_back(fmt::format("{:+6d} ms {} {} {}{}", line.timeMs - first, marker, line.instance,
                                  line.event, line.otherFields));
    }
    return out;
}

} // namespace cranberry
