#include "daemon/io/peerlink.h"

#include "peers.grpc.pb.h"

#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>
#include <map>
#include <mutex>

namespace cranberry {

namespace {

constexpr std::chrono::milliseconds CallDeadline{1000};
constexpr uint32_t FailuresUntilNewChannel = 2;

struct Channel {
    std::unique_ptr<wire::Peers::Stub> stub;
    uint32_t failures = 0;
};

std::shared_ptr<Channel> makeChannel(const Address &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    std::shared_ptr<Channel> channel = std::make_shared<Channel>();
    channel->stub = wire::Peers::NewStub(
        grpc::CreateCustomChannel(toText(address), grpc::InsecureChannelCredentials(), arguments));
    return channel;
}

/// A call in flight. The completion callback deletes it.
struct Call {
    grpc::ClientContext context;
    wire::Envelope request;
    wire::Delivered reply;
    std::shared_ptr<Channel> channel;
};

} // namespace

struct PeerLink::State : std::enable_shared_from_this<PeerLink::State> {
    State(boost::asio::io_context &io, Incarnation self, Receiver receiver)
        : io(io), self(self), receiver(std::move(receiver)), service(*this)
    { }

    struct Service : wire::Peers::CallbackService {
        explicit Service(State &state) : state(state) { }
        grpc::ServerUnaryReactor *Deliver(grpc::CallbackServerContext *context, const wire::Envelope *request,
                                          wire::Delivered *reply) override;
        State &state;
    };

    std::shared_ptr<Channel> channelTo(const Address &address);
    void recordCallResult(const Address &address, const std::shared_ptr<Channel> &channel, bool ok);

    boost::asio::io_context &io;
    Incarnation self;
    Receiver receiver;
    Service service;
    std::unique_ptr<grpc::Server> server;
    std::mutex mutex; ///< Guards `channels`, because gRPC runs completion callbacks on its own threads.
    std::map<Address, std::shared_ptr<Channel>> channels;
    std::atomic<uint64_t> bytesSent{0};
};

grpc::ServerUnaryReactor *PeerLink::State::Service::Deliver(grpc::CallbackServerContext *context,
                                                            const wire::Envelope *request, wire::Delivered *)
{
    grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
    std::optional<PeerEnvelope> envelope = fromWire(*request);
    if (envelope) {
        boost::asio::post(state.io,
                          [state = state.shared_from_this(), envelope = std::move(*envelope)]() mutable {
                              state->receiver({envelope.from, envelope.to, std::move(envelope.message)});
                          });
    }
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

std::shared_ptr<Channel> PeerLink::State::channelTo(const Address &address)
{
    const std::lock_guard<std::mutex> lock(mutex);
    std::shared_ptr<Channel> &channel = channels[address];
    if (!channel)
        channel = makeChannel(address);
    return channel;
}

// Drops the channel after two consecutive failed calls, so that the next call opens a new connection. Guards
// against network paths that lose the state of a connection: that connection then never responds again, while
// new connections work.
void PeerLink::State::recordCallResult(const Address &address, const std::shared_ptr<Channel> &channel,
                                       bool ok)
{
    const std::lock_guard<std::mutex> lock(mutex);
    channel->failures = ok ? 0 : channel->failures + 1;
    auto found = channels.find(address);
    if (channel->failures >= FailuresUntilNewChannel && found != channels.end() && found->second == channel)
        channels.erase(found);
}

std::unique_ptr<PeerLink> PeerLink::open(boost::asio::io_context &io, const Address &address,
                                         Incarnation self, Receiver receiver)
{
    std::shared_ptr<State> state = std::make_shared<State>(io, self, std::move(receiver));
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(toText(address), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&state->service);
    state->server = builder.BuildAndStart();
    if (!state->server || port == 0)
        return nullptr;
    return std::unique_ptr<PeerLink>(new PeerLink(state));
}

PeerLink::~PeerLink()
{
    state_->server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(200));
    state_->server->Wait();
}

void PeerLink::send(const SendPeer &message)
{
    Call *call = new Call;
    call->channel = state_->channelTo(message.address);
    toWire({state_->self, message.to, message.message}, call->request);
    call->context.set_deadline(std::chrono::system_clock::now() + CallDeadline);
    state_->bytesSent += call->request.ByteSizeLong();
    std::weak_ptr<State> weak = state_;
    const Address address = message.address;
    call->channel->stub->async()->Deliver(
        &call->context, &call->request, &call->reply, [call, weak, address](const grpc::Status &status) {
            if (std::shared_ptr<State> state = weak.lock())
                state->recordCallResult(address, call->channel, status.ok());
            delete call;
        });
}

uint64_t PeerLink::bytesSent() const
{
    return state_->bytesSent;
}

} // namespace cranberry
