#pragma once

#include "gateway/gatewayevents.h"

namespace cranberry {

using PeerDatagram = std::variant<PeerReport, FreshnessQuery, FreshnessReply, QuotaRequest, QuotaTransfer,
                                  CrashNotice, LimitNotice, LimitShareRequest, LimitShareGrant,
                                  StreamOriginNotice, StreamOriginQuery, StreamOriginReply, UsageNotice>;

/// Encodes a message between daemons as the text of one datagram, and decodes it. Decoding returns nothing
/// for text that is not a valid message.
std::string encodeDatagram(const PeerDatagram &datagram);
std::optional<PeerDatagram> decodeDatagram(std::string_view text);

} // namespace cranberry
