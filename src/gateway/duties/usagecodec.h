#pragma once

#include "gateway/duties/usageledger.h"

#include <boost/json.hpp>
#include <optional>

namespace cranberry {

/// Usage counts as JSON, for daemons and for the store: the organisations' names once, then a row for each
/// daemon and window, [incarnation, window, [index, count, index, count, ...]].
boost::json::object usageObject(const UsageCounts &counts);
/// Returns nothing if any field is missing or invalid.
std::optional<UsageCounts> usageFromObject(const boost::json::object &object);

} // namespace cranberry
