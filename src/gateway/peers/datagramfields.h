#pragma once

#include <boost/json.hpp>
#include <string>

namespace cranberry {

// Fields of messages between daemons. The functions throw for a wrong type or too few fields.

/// Shortens a number: with its full fraction one takes 22 bytes of text, and reports are most of the traffic
/// between daemons.
boost::json::value compact(double figure);
std::string text(const boost::json::value &value);
const boost::json::array &row(const boost::json::value &value, size_t size);

} // namespace cranberry
