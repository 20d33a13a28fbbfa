#pragma once

#include "gateway/gatewayevents.h"

#include <boost/json.hpp>

namespace cranberry {

/// Max quarantined requests in one message: 36 B each, read by some daemons with each poll of the store.
constexpr size_t MaxQuarantinedSent = 64;

/// Converts between quarantined requests and rows of digest and end time. Parsing returns nothing if any row
/// is invalid.
boost::json::array quarantineRows(const std::vector<QuarantinedRequest> &list);
std::optional<std::vector<QuarantinedRequest>> quarantineFromRows(const boost::json::value &rows);

/// The same as text, stored under a key in the store.
std::string quarantineText(const std::vector<QuarantinedRequest> &list);
std::optional<std::vector<QuarantinedRequest>> quarantineFromText(const std::string &text);

/// Merges both lists, keeping each request once with its later end time. Beyond `MaxQuarantinedSent` those
/// with the earliest end times are dropped.
std::vector<QuarantinedRequest> mergedQuarantine(const std::vector<QuarantinedRequest> &a,
                                                 const std::vector<QuarantinedRequest> &b);

} // namespace cranberry
