#pragma once

#include "gateway/gatewayevents.h"

namespace cranberry {

/// A report as one datagram's text, and back. Nothing is returned for text that is no report.
std::string encodeReport(const PeerReport &report);
std::optional<PeerReport> decodeReport(std::string_view text);

} // namespace cranberry
