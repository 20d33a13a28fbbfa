#pragma once

#include "gateway/gatewayevents.h"

#include <boost/json.hpp>

namespace cranberry {

/// Requests in quarantine told at once: 36 B each, read by some daemons with each look at the store.
constexpr size_t MostQuarantinedTold = 64;

/// Rows of digest and end, and back. Nothing is returned for a row that is none.
boost::json::array quarantineRows(const std::vector<QuarantinedRequest> &list);
std::optional<std::vector<QuarantinedRequest>> quarantineFromRows(const boost::json::value &rows);

/// The same as the text of a key in the store.
std::string quarantineText(const std::vector<QuarantinedRequest> &list);
std::optional<std::vector<QuarantinedRequest>> quarantineFromText(const std::string &text);

/// Both lists, each request once with its later end. Those that end first are left out beyond
/// `MostQuarantinedTold`.
std::vector<QuarantinedRequest> mergedQuarantine(const std::vector<QuarantinedRequest> &a,
                                                 const std::vector<QuarantinedRequest> &b);

} // namespace cranberry
