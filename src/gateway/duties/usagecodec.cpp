#include "gateway/duties/usagecodec.h"

#include "common/fields.h"

namespace cranberry {

namespace {

namespace json = boost::json;

const json::array *arrayOf(const json::value *value)
{
    return value ? value->if_array() : nullptr;
}

bool readCounts(const json::value &pairs, const std::vector<OrganisationName> &names,
                std::map<OrganisationName, uint64_t> &out)
{
    const json::array *array = pairs.if_array();
    if (!array || array->size() % 2 != 0)
        return false;
    for (size_t i = 0; i < array->size(); i += 2) {
        const std::optional<size_t> name = wholeNumber<size_t>(&(*array)[i]);
        const std::optional<uint64_t> count = wholeNumber<uint64_t>(&(*array)[i + 1]);
        if (!name || *name >= names.size() || !count)
            return false;
        out[names[*name]] = *count;
    }
    return true;
}

bool readRow(const json::value &value, const std::vector<OrganisationName> &names, UsageCounts &out)
{
    const json::array *row = value.if_array();
    if (!row || row->size() != 3)
        return false;
    const std::optional<uint64_t> daemon = wholeNumber<uint64_t>(row->data());
    const std::optional<int64_t> window = wholeNumber<int64_t>(&(*row)[1]);
    return daemon && window && readCounts((*row)[2], names, out[{*daemon}][*window]);
}

} // namespace

json::object usageObject(const UsageCounts &counts)
{
    std::map<OrganisationName, size_t> indexes;
    json::array names;
    json::array rows;
    for (const std::pair<const Incarnation, WindowCounts> &daemon : counts) {
        for (const WindowCounts::value_type &window : daemon.second) {
            json::array pairs;
            for (const std::pair<const OrganisationName, uint64_t> &count : window.second) {
                const size_t next = indexes.size();
                const size_t index = indexes.try_emplace(count.first, next).first->second;
                if (index == next)
                    names.emplace_back(count.first.value);
                pairs.emplace_back(index);
                pairs.emplace_back(count.second);
            }
            rows.push_back(json::array{daemon.first.value, window.first, std::move(pairs)});
        }
    }
    return {{"organisations", std::move(names)}, {"rows", std::move(rows)}};
}

std::optional<UsageCounts> usageFromObject(const json::object &object)
{
    const json::array *organisations = arrayOf(object.if_contains("organisations"));
    const json::array *rows = arrayOf(object.if_contains("rows"));
    if (!organisations || !rows)
        return std::nullopt;
    std::vector<OrganisationName> names;
    for (const json::value &name : *organisations) {
        if (!name.is_string())
            return std::nullopt;
        names.push_back({std::string(name.as_string())});
    }
    UsageCounts out;
    for (const json::value &row : *rows) {
        if (!readRow(row, names, out))
            return std::nullopt;
    }
    return out;
}

} // namespace cranberry
