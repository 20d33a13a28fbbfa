#pragma once

#include <boost/json.hpp>
#include <string>

namespace cranberry {

/// Lenient readers for responses of external systems: a field that is missing or has another type is read as
/// an empty string or 0. Text that is not JSON is read as null.
boost::json::value parseOrNull(const std::string &text);
std::string stringField(const boost::json::value &value, const char *name);
/// Also accepts numbers written as strings, as the key-value service writes them.
uint64_t numberField(const boost::json::value &value, const char *name);

} // namespace cranberry
