#include "gateway/limits/quotacheckpoint.h"

#include "common/fields.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace cranberry {

namespace {

namespace json = boost::json;

/// After this time the balances of an organisation within its limit are full again in any case.
constexpr int64_t MaxAgeMs = 10000;
/// Daemons that were killed together start at most this long after one another.
constexpr int64_t MarkValidMs = 2000;
/// Tolerated difference between the instances' clocks.
constexpr int64_t ClockToleranceMs = 300;

constexpr std::array<const char *, 9> FaultNames = {
    "none", "unreadable", "other era", "old", "used", "superseded", "not listed", "not proven", "no reply"};

/// Decodes a document; any missing or invalid field makes it unreadable.
class CheckpointDecoder
{
public:
    template <typename Number>
    Number number(const json::value *value)
    {
        const std::optional<Number> out = wholeNumber<Number>(value);
        isValid = isValid && out;
        return out.value_or(0);
    }
    std::string text(const json::value *value)
    {
        const bool isText = value && value->is_string();
        isValid = isValid && isText;
        return isText ? std::string(value->as_string()) : std::string();
    }
    const json::array &array(const json::value *value)
    {
        static const json::array none;
        const bool isArray = value && value->is_array();
        isValid = isValid && isArray;
        return isArray ? value->as_array() : none;
    }
    const json::array &row(const json::value &value, size_t fields)
    {
        static const json::array blank(4);
        const json::array &out = array(&value);
        isValid = isValid && out.size() == fields;
        return out.size() == fields ? out : blank;
    }

    bool isValid = true;
};

std::optional<json::object> objectFromText(const std::string &text)
{
    json::error_code code;
    const json::value value = json::parse(text, code);
    return !code && value.is_object() ? std::optional<json::object>(value.as_object()) : std::nullopt;
}

int64_t rounded(double units)
{
    return static_cast<int64_t>(std::floor(units));
}

json::object levelsObject(const QuotaCheckpoint &checkpoint)
{
    json::array daemons;
    for (const DaemonIdentity &daemon : checkpoint.daemons)
        daemons.push_back(json::array{daemon.instance.value, daemon.incarnation.value});
    json::array levels;
    for (const std::pair<const OrganisationName, QuotaLevel> &level : checkpoint.levels) {
        levels.push_back(json::array{level.first.value, rounded(level.second.units),
                                     rounded(std::ceil(level.second.usedPerSecond))});
    }
    return {{"era", checkpoint.era},
            {"wall", checkpoint.wallMs},
            {"sharers", checkpoint.sharers},
            {"daemons", std::move(daemons)},
            {"levels", std::move(levels)}};
}

} // namespace

std::optional<std::string> checkpointText(const QuotaCheckpoint &checkpoint)
{
    std::string text = json::serialize(levelsObject(checkpoint));
    return text.size() <= MaxCheckpointBytes ? std::optional<std::string>(std::move(text)) : std::nullopt;
}

std::optional<QuotaCheckpoint> checkpointFromText(const std::string &text)
{
    const std::optional<json::object> object = objectFromText(text);
    if (!object)
        return std::nullopt;
    CheckpointDecoder decoder;
    QuotaCheckpoint out;
    out.era = decoder.number<uint64_t>(object->if_contains("era"));
    out.wallMs = decoder.number<int64_t>(object->if_contains("wall"));
    out.sharers = decoder.number<size_t>(object->if_contains("sharers"));
    for (const json::value &value : decoder.array(object->if_contains("daemons"))) {
        const json::array &row = decoder.row(value, 2);
        out.daemons.push_back({{decoder.text(&row[0])}, {decoder.number<uint64_t>(&row[1])}});
    }
    for (const json::value &value : decoder.array(object->if_contains("levels"))) {
        const json::array &row = decoder.row(value, 3);
        const double units = static_cast<double>(decoder.number<int64_t>(&row[1]));
        const double used = static_cast<double>(decoder.number<int64_t>(&row[2]));
        out.levels[{decoder.text(&row[0])}] = {units, used};
    }
    const bool isPlausible = out.sharers >= std::max<size_t>(out.daemons.size(), 1);
    return decoder.isValid && isPlausible ? std::optional<QuotaCheckpoint>(std::move(out)) : std::nullopt;
}

std::string markText(const CheckpointMark &mark)
{
    return json::serialize(
        json::object{{"era", mark.era}, {"checkpoint", mark.checkpointWallMs}, {"used", mark.usedWallMs}});
}

std::optional<CheckpointMark> markFromText(const std::string &text)
{
    const std::optional<json::object> object = objectFromText(text);
    if (!object)
        return std::nullopt;
    CheckpointDecoder decoder;
    CheckpointMark out;
    out.era = decoder.number<uint64_t>(object->if_contains("era"));
    out.checkpointWallMs = decoder.number<int64_t>(object->if_contains("checkpoint"));
    out.usedWallMs = decoder.number<int64_t>(object->if_contains("used"));
    return decoder.isValid ? std::optional<CheckpointMark>(out) : std::nullopt;
}

const char *toText(CheckpointFault fault)
{
    return FaultNames[static_cast<size_t>(fault)];
}

// A daemon that started after the mark may be the next incarnation of one that has used the checkpoint. A
// call that is executed late may write an older checkpoint again, so a mark also excludes all that were
// written before it.
CheckpointFault checkUse(const QuotaCheckpoint &checkpoint, const std::optional<CheckpointMark> &mark,
                         const StartingDaemon &daemon)
{
    if (checkpoint.era != daemon.era)
        return CheckpointFault::OtherEra;
    const int64_t age = daemon.wallMs - checkpoint.wallMs;
    if (age > MaxAgeMs || age < -ClockToleranceMs)
        return CheckpointFault::Old;
    const bool isListed = std::any_of(
        checkpoint.daemons.begin(), checkpoint.daemons.end(), [&daemon](const DaemonIdentity &each) {
            return each.instance == daemon.self.instance && each.incarnation != daemon.self.incarnation;
        });
    if (!isListed)
        return CheckpointFault::NotListed;
    // A mark of the future was written before a clock jumped back.
    if (!mark || mark->era != daemon.era || mark->usedWallMs > daemon.wallMs + MaxAgeMs
        || checkpoint.wallMs > mark->usedWallMs)
        return CheckpointFault::None;
    const bool isSameRestart = mark->checkpointWallMs == checkpoint.wallMs
        && daemon.startedWallMs <= mark->usedWallMs + ClockToleranceMs
        && daemon.wallMs <= mark->usedWallMs + MarkValidMs;
    return isSameRestart ? CheckpointFault::None : CheckpointFault::Used;
}

bool wereKilled(const QuotaCheckpoint &checkpoint, const StartingDaemon &daemon)
{
    size_t replaced = 1; // This daemon.
    for (const DaemonIdentity &listed : checkpoint.daemons) {
        bool isReplaced = false;
        for (const DaemonIdentity &heard : daemon.heard) {
            if (heard == listed)
                return false;
            isReplaced = isReplaced || heard.instance == listed.instance;
        }
        replaced += isReplaced ? 1 : 0;
    }
    return replaced * 2 > checkpoint.daemons.size();
}

// Each listed daemon takes the same part, so the order of their starts and the number that serves now don't
// matter. The use since the checkpoint is assumed to have gone on as before until now.
double inheritedUnits(const QuotaCheckpoint &checkpoint, const QuotaLevel &level, const Quotas::Limit &limit,
                      DurationMs age)
{
    const double daemons = static_cast<double>(std::max<size_t>(checkpoint.daemons.size(), 1));
    const double refill = limit.unitsPerSecond * daemons / static_cast<double>(checkpoint.sharers);
    const double seconds = std::max(static_cast<double>(age.count), 0.0) / 1000.0;
    const double units = level.units + (refill - level.usedPerSecond) * seconds;
    return std::clamp(units, 0.0, limit.startUnits) / daemons;
}

} // namespace cranberry
