#pragma once

#include <boost/json.hpp>
#include <string>

namespace cranberry {

/// For answers of systems outside, which are read leniently: a field that is missing or of another type is
/// empty or 0.
boost::json::value parsedOrNull(const std::string &text);
std::string textAt(const boost::json::value &value, const char *name);
/// Also reads numbers written as strings, as the key-value service does.
uint64_t numberAt(const boost::json::value &value, const char *name);

} // namespace cranberry
