#include "common/fields.h"

#include <algorithm>
#include <fmt/format.h>

namespace json = boost::json;

namespace cranberry {

namespace {

constexpr int64_t DayMs = 86'400'000;

} // namespace

std::string toText(const FieldError &error)
{
    return error.path.empty() ? error.message : fmt::format("{}: {}", error.path, error.message);
}

FieldReader::FieldReader(const json::value &value, std::string path)
    : object_(value.if_object()), path_(std::move(path))
{
    if (!object_) {
        failed_ = true;
        error_ = {path_, "must be an object"};
    }
}

std::string FieldReader::pathOf(const std::string &name) const
{
    return path_.empty() ? name : path_ + "." + name;
}

void FieldReader::fail(const std::string &name, std::string message)
{
    if (failed_)
        return;
    failed_ = true;
    error_ = {pathOf(name), std::move(message)};
}

void FieldReader::setError(const FieldError &error)
{
    if (failed_)
        return;
    failed_ = true;
    error_ = error;
}

const json::value *FieldReader::find(const char *name, bool isRequired)
{
    known_.insert(name);
    if (failed_)
        return nullptr;
    const json::value *value = object_->if_contains(name);
    if (!value && isRequired)
        fail(name, "is missing");
    return value;
}

void FieldReader::required(const char *name, std::string &out)
{
    if (!find(name, true))
        return;
    optional(name, out);
    if (!failed_ && out.empty())
        fail(name, "must not be empty");
}

void FieldReader::required(const char *name, Address &out)
{
    if (find(name, true))
        optional(name, out);
}

void FieldReader::required(const char *name, uint32_t &out, uint32_t minimum, uint32_t maximum)
{
    if (find(name, true))
        optional(name, out, minimum, maximum);
}

void FieldReader::required(const char *name, double &out, double minimum, double maximum)
{
    if (find(name, true))
        optional(name, out, minimum, maximum);
}

void FieldReader::optional(const char *name, bool &out)
{
    const json::value *value = find(name, false);
    if (!value)
        return;
    if (!value->is_bool())
        return fail(name, "must be true or false");
    out = value->as_bool();
}

void FieldReader::optional(const char *name, std::string &out)
{
    const json::value *value = find(name, false);
    if (!value)
        return;
    if (!value->is_string())
        return fail(name, "must be a string");
    out = std::string(value->as_string());
}

void FieldReader::optional(const char *name, Address &out)
{
    std::string text;
    optional(name, text);
    if (failed_ || text.empty())
        return;
    const std::optional<Address> address = addressFromText(text);
    if (!address)
        return fail(name, "must be IP:PORT");
    out = *address;
}

void FieldReader::optional(const char *name, DurationMs &out)
{
    double count = static_cast<double>(out.count);
    optional(name, count, 1, DayMs);
    out.count = static_cast<int64_t>(count);
}

void FieldReader::optional(const char *name, uint32_t &out, uint32_t minimum, uint32_t maximum)
{
    double count = out;
    optional(name, count, minimum, maximum);
    if (!failed_ && count != static_cast<double>(static_cast<uint32_t>(count)))
        return fail(name, "must be a whole number");
    out = static_cast<uint32_t>(count);
}

void FieldReader::optional(const char *name, int64_t &out, int64_t minimum, int64_t maximum)
{
    const json::value *value = find(name, false);
    if (!value)
        return;
    const std::optional<int64_t> number = wholeNumber<int64_t>(value);
    if (!number)
        return fail(name, "must be a whole number");
    if (*number < minimum || *number > maximum)
        return fail(name, fmt::format("must be from {} to {}", minimum, maximum));
    out = *number;
}

void FieldReader::optional(const char *name, double &out, double minimum, double maximum)
{
    const json::value *value = find(name, false);
    if (!value)
        return;
    if (!value->is_number())
        return fail(name, "must be a number");
    const double number = value->to_number<double>();
    if (number < minimum || number > maximum)
        return fail(name, fmt::format("must be from {} to {}", minimum, maximum));
    out = number;
}

std::vector<std::pair<const json::value *, std::string>> FieldReader::elements(const char *name,
                                                                               bool isRequired)
{
    std::vector<std::pair<const json::value *, std::string>> out;
    const json::value *value = find(name, isRequired);
    if (!value)
        return out;
    if (!value->is_array()) {
        fail(name, "must be an array");
        return out;
    }
    const json::array &array = value->as_array();
    for (size_t i = 0; i < array.size(); ++i)
        out.emplace_back(&array[i], fmt::format("{}[{}]", pathOf(name), i));
    return out;
}

const FieldError *FieldReader::finish()
{
    if (failed_)
        return &error_;
    for (const json::key_value_pair &field : *object_) {
        if (!known_.contains(std::string(field.key()))) {
            fail(std::string(field.key()), "is not a known field");
            break;
        }
    }
    return failed_ ? &error_ : nullptr;
}

Result<json::value> parseJson(const std::string &text)
{
    json::error_code code;
    json::stream_parser parser;
    size_t used = parser.write_some(text, code);
    if (!code && parser.done() && text.find_first_not_of(" \t\r\n", used) != std::string::npos)
        code = json::error::extra_data;
    if (!code)
        parser.finish(code);
    if (code) {
        used = std::min(used, text.size());
        const int64_t line = 1 + std::count(text.begin(), text.begin() + static_cast<int64_t>(used), '\n');
        return boost::leaf::new_error(FieldError{"", fmt::format("line {}: {}", line, code.message())});
    }
    return parser.release();
}

} // namespace cranberry
