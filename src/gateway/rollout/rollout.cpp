#include "gateway/rollout/rollout.h"

#include "common/fields.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cranberry {

namespace {

namespace json = boost::json;

constexpr std::array StageNames
    = {"starting", "trial", "loading", "moving", "emptying", "completed", "rolled_back"};

bool isSameOrder(const RolloutRecord &a, const RolloutRecord &b)
{
    return a.target == b.target && (a.era != b.era || a.order == b.order);
}

std::pair<uint64_t, uint64_t> ageOf(const RolloutRecord &record)
{
    return {record.era, record.order};
}

} // namespace

const char *toText(RolloutStage stage)
{
    return StageNames[static_cast<size_t>(stage)];
}

bool belongsTo(const RolloutRecord &record, const RolloutOrder &order, uint64_t era)
{
    if (record.target != order.target)
        return false;
    return record.era < era || record.order == order.revision;
}

RolloutRecord mergeRecords(const RolloutRecord &a, const RolloutRecord &b)
{
    const bool sameOrder = isSameOrder(a, b);
    const bool takeA
        = sameOrder ? a.stage > b.stage || (a.stage == b.stage && ageOf(a) >= ageOf(b)) : ageOf(a) > ageOf(b);
    RolloutRecord out = takeA ? a : b;
    const RolloutRecord &other = takeA ? b : a;
    if (sameOrder && ageOf(other) > ageOf(out)) {
        out.era = other.era;
        out.order = other.order;
    }
    out.barred.insert(other.barred.begin(), other.barred.end());
    if (!isDecided(out.stage))
        out.barred.erase(out.target);
    return out;
}

std::string recordText(const RolloutRecord &record)
{
    json::array barred;
    for (const SoftwareVersion &version : record.barred)
        barred.push_back(json::value(version.value));
    return json::serialize(json::object{{"target", record.target.value},
                                        {"durationMs", record.duration.count},
                                        {"order", record.order},
                                        {"era", record.era},
                                        {"stage", toText(record.stage)},
                                        {"beganWallMs", record.beganWallMs},
                                        {"stageWallMs", record.stageWallMs},
                                        {"share", record.share},
                                        {"loadRequests", record.loadRequests},
                                        {"barred", std::move(barred)},
                                        {"why", record.why}});
}

std::optional<RolloutRecord> recordFromText(const ServiceName &service, const std::string &text)
{
    json::error_code code;
    const json::value value = json::parse(text, code);
    const json::object *object = code ? nullptr : value.if_object();
    if (!object)
        return std::nullopt;
    const auto textAt = [object](const char *name) {
        const json::value *field = object->if_contains(name);
        return field && field->is_string() ? std::string(field->as_string()) : std::string();
    };
    const auto numberAt
        = [object](const char *name) { return wholeNumber<int64_t>(object->if_contains(name)).value_or(-1); };
    RolloutRecord record;
    record.service = service;
    record.target.value = textAt("target");
    record.duration.count = numberAt("durationMs");
    record.order = static_cast<uint64_t>(numberAt("order"));
    record.era = static_cast<uint64_t>(numberAt("era"));
    record.beganWallMs = numberAt("beganWallMs");
    record.stageWallMs = numberAt("stageWallMs");
    record.why = textAt("why");
    const std::optional<uint32_t> loadRequests = wholeNumber<uint32_t>(object->if_contains("loadRequests"));
    const auto stage = std::find(StageNames.begin(), StageNames.end(), textAt("stage"));
    const json::value *share = object->if_contains("share");
    const json::value *barred = object->if_contains("barred");
    const bool isComplete = !record.target.value.empty() && record.duration.count > 0
        && numberAt("order") >= 0 && numberAt("era") >= 0 && record.beganWallMs >= 0
        && record.stageWallMs >= 0 && stage != StageNames.end() && loadRequests && share && share->is_number()
        && barred && barred->is_array();
    if (!isComplete)
        return std::nullopt;
    record.stage = static_cast<RolloutStage>(stage - StageNames.begin());
    record.share = share->to_number<double>();
    record.loadRequests = *loadRequests;
    for (const json::value &version : barred->as_array()) {
        if (version.is_string())
            record.barred.insert(SoftwareVersion{std::string(version.as_string())});
    }
    return record;
}

std::string versionsText(const VersionRecord &record)
{
    json::array rows;
    for (const std::pair<const ServiceName, std::map<SoftwareVersion, int64_t>> &service :
         record.lastWallMs) {
        for (const std::pair<const SoftwareVersion, int64_t> &version : service.second)
            rows.push_back(json::array{service.first.value, version.first.value, version.second});
    }
    return json::serialize(json::object{{"sinceWallMs", record.sinceWallMs}, {"versions", std::move(rows)}});
}

std::optional<VersionRecord> versionsFromText(const std::string &text)
{
    json::error_code code;
    const json::value value = json::parse(text, code);
    const json::object *object = code ? nullptr : value.if_object();
    const json::value *rows = object ? object->if_contains("versions") : nullptr;
    const std::optional<int64_t> since
        = object ? wholeNumber<int64_t>(object->if_contains("sinceWallMs")) : std::nullopt;
    if (!rows || !rows->is_array() || !since)
        return std::nullopt;
    VersionRecord out;
    out.sinceWallMs = *since;
    for (const json::value &each : rows->as_array()) {
        const json::array *row = each.if_array();
        if (!row || row->size() != 3 || !(*row)[0].is_string() || !(*row)[1].is_string())
            return std::nullopt;
        const std::optional<int64_t> last = wholeNumber<int64_t>(&(*row)[2]);
        if (!last)
            return std::nullopt;
        out.lastWallMs[{std::string((*row)[0].as_string())}][{std::string((*row)[1].as_string())}] = *last;
    }
    return out;
}

} // namespace cranberry
