#pragma once

#include "gateway/gatewayevents.h"

namespace cranberry {

using PeerDatagram = std::variant<PeerReport, FreshnessQuestion, FreshnessAnswer, QuotaAsk, QuotaGift,
                                  CrashNotice, LimitNotice, LimitAsk, LimitGrant>;

/// What daemons tell each other, as one datagram's text, and back. Nothing is returned for any other text.
std::string encodeDatagram(const PeerDatagram &datagram);
std::optional<PeerDatagram> decodeDatagram(std::string_view text);

} // namespace cranberry
