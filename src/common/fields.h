#pragma once

#include "common/types.h"

#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranberry {

template <typename T>
using Result = boost::leaf::result<T>;

/// An invalid field, as a path such as services[2].endpoints[0].slots, and the reason.
struct FieldError {
    std::string path;
    std::string message;
};

std::string toText(const FieldError &error);

/// Reads the fields of one JSON object into an aggregate. Keeps the first error; finish() also reports
/// fields that were never read, so that a misspelt name is not ignored.
class FieldReader
{
public:
    FieldReader(const boost::json::value &value, std::string path);

    void required(const char *name, std::string &out);
    void required(const char *name, Address &out);
    template <typename Tag>
    void required(const char *name, Name<Tag> &out)
    {
        required(name, out.value);
    }
    void required(const char *name, uint32_t &out, uint32_t minimum, uint32_t maximum);
    void required(const char *name, double &out, double minimum, double maximum);
    void optional(const char *name, bool &out);
    void optional(const char *name, std::string &out);
    void optional(const char *name, Address &out);
    void optional(const char *name, DurationMs &out); ///< Milliseconds, from 1 to a day.
    void optional(const char *name, uint32_t &out, uint32_t minimum, uint32_t maximum);
    void optional(const char *name, int64_t &out, int64_t minimum, int64_t maximum);
    void optional(const char *name, double &out, double minimum, double maximum);

    /// Array elements with their paths; empty if the field is absent and not required.
    std::vector<std::pair<const boost::json::value *, std::string>> elements(const char *name,
                                                                             bool isRequired);

    void fail(const std::string &name, std::string message); ///< Reports a semantic error in field `name`.
    void setError(const FieldError &error); ///< Takes over an error from a nested object.
    void markKnown(const char *name) { known_.insert(name); } ///< For a field that other code reads.
    bool ok() const { return !failed_; }
    const std::string &path() const { return path_; }
    const FieldError *finish(); ///< The first error, or nullptr.
    /// The first error, ignoring unknown fields: for documents of other systems, which may gain fields at any
    /// time.
    const FieldError *error() const { return failed_ ? &error_ : nullptr; }
    /// The nested object or value itself; nullptr if it is absent.
    const boost::json::value *nested(const char *name) { return find(name, false); }

private:
    const boost::json::value *find(const char *name, bool isRequired);
    std::string pathOf(const std::string &name) const;

    const boost::json::object *object_ = nullptr;
    std::string path_;
    std::set<std::string> known_;
    FieldError error_;
    bool failed_ = false;
};

/// Returns the integer that `value` holds, or nothing if it is absent, not an integer or out of range. Uses
/// the conversion with an error code: the other one throws for a fraction, and an uncaught exception on
/// external input would terminate the process.
template <typename Number>
std::optional<Number> wholeNumber(const boost::json::value *value)
{
    boost::json::error_code conversionError;
    const Number number = value && value->is_number() ? value->to_number<Number>(conversionError) : 0;
    return !value || !value->is_number() || conversionError ? std::nullopt : std::optional<Number>(number);
}

/// Parses JSON; the error names the line.
Result<boost::json::value> parseJson(const std::string &text);

} // namespace cranberry
