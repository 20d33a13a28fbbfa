#pragma once

#include "daemon/messages.h"

namespace cranberry {

namespace wire {
class Envelope;
}

/// A peer message with the incarnations of its sender and receiver.
struct PeerEnvelope {
    Incarnation from;
    Incarnation to; ///< 0: any incarnation at the address.
    PeerMessage message;
};

void toWire(const PeerEnvelope &envelope, wire::Envelope &out);

/// Returns nullopt if this version does not know the kind of message.
std::optional<PeerEnvelope> fromWire(const wire::Envelope &in);

std::string encodeEnvelope(const PeerEnvelope &envelope);
std::optional<PeerEnvelope> decodeEnvelope(const std::string &bytes);

} // namespace cranberry
