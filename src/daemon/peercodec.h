#pragma once

#include "daemon/messages.h"

namespace cranberry {

namespace wire {
class Envelope;
}

/// A peer message with the lives it goes between.
struct PeerEnvelope {
    Incarnation from;
    Incarnation to; ///< 0: whoever lives at the address.
    PeerMessage message;
};

void toWire(const PeerEnvelope &envelope, wire::Envelope &out);

/// Nothing if it is a message of a kind that this version does not know.
std::optional<PeerEnvelope> fromWire(const wire::Envelope &in);

std::string encodeEnvelope(const PeerEnvelope &envelope);
std::optional<PeerEnvelope> decodeEnvelope(const std::string &bytes);

} // namespace cranberry
