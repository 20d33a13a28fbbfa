#pragma once

#include "daemon/peercodec.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace cranberry {

/// Sends and receives peer messages over gRPC, with one unary call per message. Failed calls are not retried
/// here; the core retries.
class PeerLink
{
public:
    using Receiver = std::function<void(PeerInbound)>;

    /// Listens on `address` and calls `receiver` on the io_context's thread. Returns null if listening fails.
    static std::unique_ptr<PeerLink> open(boost::asio::io_context &io, const Address &address,
                                          Incarnation self, Receiver receiver);
    ~PeerLink();

    void send(const SendPeer &message);
    uint64_t bytesSent() const;

    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

private:
    struct State;
    explicit PeerLink(std::shared_ptr<State> state) : state_(std::move(state)) { }
    std::shared_ptr<State> state_;
};

} // namespace cranberry
