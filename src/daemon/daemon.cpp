#include "daemon/daemon.h"

namespace cranberry {

namespace {

// A message for an earlier incarnation of this daemon is answered with NotHere and dropped: the register and
// the grants of that incarnation are lost, and acting on its behalf would violate at-most-once.
void onPeer(World &world, const PeerInbound &event)
{
    if (event.to && event.to != world.self()) {
        world.counters.add(Counter::MisdirectedMessages);
        sendTo(world, event.from, NotHere{event.to});
        return;
    }
    struct Handler {
        World &world;
        Incarnation from;

        void operator()(const Gossip &m) const { onGossip(world, from, m); }
        void operator()(const ConfigurationHave &m) const { onConfigurationHave(world, from, m); }
        void operator()(const ConfigurationPush &m) const
        {
            onConfiguration(world, m.revision, m.text);
            sendTo(world, from, ConfigurationHave{world.revision});
        }
        void operator()(const OnceQuery &m) const { onOnceQuery(world, from, m); }
        void operator()(const OnceReply &m) const { onOnceReply(world, m); }
        void operator()(const RequestCopy &m) const { onRequestCopy(world, from, m); }
        void operator()(const CopyAck &m) const { onCopyAck(world, from, m); }
        void operator()(const WitnessDrop &m) const { world.witnessRecords.erase(m.request); }
        void operator()(const Fetch &m) const { onFetch(world, from, m); }
        void operator()(const FetchReply &m) const { onFetchReply(world, from, m); }
        void operator()(const RegisterTransfer &m) const { onRegisterTransfer(world, from, m); }
        void operator()(const RegisterTransferAck &) const { onRegisterTransferAck(world, from); }
        void operator()(const NotHere &m) const { onNotHere(world, m); }
    };
    std::visit(Handler{world, event.from}, event.message);
}

constexpr DurationMs PauseThreshold{
    1000}; ///< A longer gap between steps counts as a process pause; ticks come every 20 ms.
constexpr DurationMs DispatchPause{300};

void onTick(World &world)
{
    tickGossip(world);
    tickRequests(world);
    tickWitness(world);
    tickDrain(world);
}

struct EventHandler {
    World &world;

    void operator()(const Tick &) const { onTick(world); }
    void operator()(const CallerSubmit &e) const { onCallerSubmit(world, e); }
    void operator()(const CallerResume &e) const { onCallerResume(world, e); }
    void operator()(const CallerDisconnected &e) const { onCallerDisconnected(world, e); }
    void operator()(const CallerEntriesRequest &e) const { onCallerEntriesRequest(world, e); }
    void operator()(const EndpointData &e) const { onEndpointData(world, e); }
    void operator()(const EndpointEnd &e) const { onEndpointEnd(world, e); }
    void operator()(const EndpointFailed &e) const { onEndpointFailed(world, e); }
    void operator()(const PeerInbound &e) const { onPeer(world, e); }
    void operator()(const ConfigurationReceived &e) const
    {
        world.platformRead = true;
        onConfiguration(world, e.revision, e.text);
    }
    void operator()(const PlatformUnreachable &) const { }
    void operator()(const LeavingNotice &e) const
    {
        addMark(world, {MarkKind::EndpointLeaving, e.instance, {}, {}}, e.notice);
    }
    void operator()(const DrainRequested &e) const { startDrain(world, e.notice); }
    void operator()(const PlatformOnceReply &e) const { onPlatformOnceReply(world, e); }
};

} // namespace

void sendTo(World &world, Incarnation to, PeerMessage message)
{
    const Member *member = world.members.find(to);
    if (member)
        world.actions.push_back(SendPeer{to, member->info.peerAddress, std::move(message)});
}

std::vector<Action> Daemon::step(TimeMs now, const Event &event)
{
    // After a process pause, the daemon does not know yet which endpoints received a notice to leave
    // meanwhile, and would dispatch its queue to them. It detects the pause as a gap between steps, probes
    // its peers at once, and starts no attempt until their replies can have arrived.
    if (world_.now.count != 0 && now - world_.now > PauseThreshold) {
        world_.dispatchPausedUntil = now + DispatchPause;
        world_.nextGossipAt = now;
    }
    world_.now = now;
    std::visit(EventHandler{world_}, event);
    return std::exchange(world_.actions, {});
}

} // namespace cranberry
