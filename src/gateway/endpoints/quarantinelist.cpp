#include "gateway/endpoints/quarantinelist.h"

#include "common/fields.h"

#include <algorithm>
#include <map>

namespace cranberry {

namespace json = boost::json;

json::array quarantineRows(const std::vector<QuarantinedRequest> &list)
{
    json::array rows;
    for (const QuarantinedRequest &each : list)
        rows.push_back({toText(each.request), each.untilWallMs});
    return rows;
}

std::optional<std::vector<QuarantinedRequest>> quarantineFromRows(const json::value &rows)
{
    std::vector<QuarantinedRequest> out;
    const json::array *all = rows.if_array();
    if (!all)
        return std::nullopt;
    for (const json::value &value : *all) {
        const json::array *row = value.if_array();
        if (!row || row->size() < 2 || !(*row)[0].is_string())
            return std::nullopt;
        const std::optional<RequestDigest> request
            = requestDigestFromText(std::string((*row)[0].as_string()));
        const std::optional<int64_t> until = wholeNumber<int64_t>(&(*row)[1]);
        if (!request || !until)
            return std::nullopt;
        out.push_back({*request, *until});
    }
    return out;
}

std::string quarantineText(const std::vector<QuarantinedRequest> &list)
{
    return json::serialize(quarantineRows(list));
}

std::optional<std::vector<QuarantinedRequest>> quarantineFromText(const std::string &text)
{
    json::error_code code;
    const json::value value = json::parse(text, code);
    return code ? std::nullopt : quarantineFromRows(value);
}

std::vector<QuarantinedRequest> mergedQuarantine(const std::vector<QuarantinedRequest> &a,
                                                 const std::vector<QuarantinedRequest> &b)
{
    std::map<RequestDigest, int64_t> ends;
    for (const std::vector<QuarantinedRequest> *list : {&a, &b}) {
        for (const QuarantinedRequest &each : *list)
            ends[each.request] = std::max(ends[each.request], each.untilWallMs);
    }
    std::vector<QuarantinedRequest> out;
    out.reserve(ends.size());
    for (const std::pair<const RequestDigest, int64_t> &each : ends)
        out.push_back({each.first, each.second});
    std::stable_sort(out.begin(), out.end(), [](const QuarantinedRequest &x, const QuarantinedRequest &y) {
        return x.untilWallMs > y.untilWallMs;
    });
    out.resize(std::min(out.size(), MaxQuarantinedSent));
    return out;
}

} // namespace cranberry
