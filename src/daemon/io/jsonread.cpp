#include "daemon/io/jsonread.h"

#include "common/fields.h"

namespace json = boost::json;

namespace cranberry {

namespace {

const json::value *findField(const json::value &value, const char *name)
{
    const json::object *object = value.if_object();
    return object ? object->if_contains(name) : nullptr;
}

} // namespace

json::value parseOrNull(const std::string &text)
{
    json::error_code code;
    json::value value = json::parse(text, code);
    return code ? json::value() : value;
}

std::string stringField(const json::value &value, const char *name)
{
    const json::value *field = findField(value, name);
    return field && field->is_string() ? std::string(field->as_string()) : std::string();
}

uint64_t numberField(const json::value &value, const char *name)
{
    const json::value *field = findField(value, name);
    if (field && field->is_string())
        return std::strtoull(field->as_string().c_str(), nullptr, 10);
    return wholeNumber<uint64_t>(field).value_or(0);
}

} // namespace cranberry
