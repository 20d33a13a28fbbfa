#include "safeguards.h"
#include "world.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr DurationMs GossipInterval{200};
constexpr size_t MarksPerGossip = 32;
constexpr uint64_t RoundsUntilFullMarks = 15;
constexpr DurationMs MarkedEndpointNotice{1500}; ///< Assumed notice where the mark came from a peer.
constexpr size_t ConfirmingDomains = 2;

void sendGossip(World &world, Incarnation to, const Address &address, const std::vector<Mark> &marks)
{
    Gossip gossip;
    gossip.members = world.members.sample(world.random);
    gossip.marks = marks;
    gossip.markDigest = world.marks.digest();
    gossip.wantsMarks = world.marksUnequal > RoundsUntilFullMarks;
    world.counters.add(Counter::GossipSent);
    world.out.push_back(SendPeer{to, address, std::move(gossip)});
}

} // namespace

void tickGossip(World &world)
{
    if (world.now < world.gossipAt)
        return;
    world.gossipAt = world.now + GossipInterval;
    world.members.tick(world.now);
    const std::vector<Mark> hot = world.marks.takeHot(MarksPerGossip);
    for (const std::pair<Incarnation, Address> &target : world.members.targets(world.random))
        sendGossip(world, target.first, target.second, hot);
}

void onGossip(World &world, Incarnation from, const Gossip &gossip)
{
    world.members.merge(gossip.members, world.now, world.counters);
    for (const Mark &mark : gossip.marks)
        addMark(world, mark, MarkedEndpointNotice);

    // Marks travel a bounded number of times, so a daemon can miss one for good. The digests tell, and after
    // a few rounds the whole set is asked for.
    if (gossip.markDigest == world.marks.digest())
        world.marksUnequal = 0;
    else
        ++world.marksUnequal;
    const Member *sender = world.members.find(from);
    if (gossip.wantsMarks && sender)
        sendGossip(world, from, sender->info.peerAddress, world.marks.all());

    if (sender && sender->info.revision > world.revision)
        sendTo(world, from, ConfigurationHave{world.revision});
}

void addMark(World &world, const Mark &mark, DurationMs notice)
{
    if (!world.marks.add(mark))
        return;
    if (mark.kind == MarkKind::EndpointLeaving)
        moveOffEndpoint(world, mark.instance, notice);
}

// Failure: a daemon that was cut off comes back and spreads what it last saw; or two reads of the service
// overtake each other. Symptom: an accepted change disappears for some. Taking only higher revisions is
// enough, because the service numbers them in the order in which they were accepted.
void onConfiguration(World &world, Revision revision, const std::string &text)
{
    if (revision == world.revision)
        return;
    if (revision < world.revision && isOn(Safeguard::RevisionOnlyGrows)) {
        world.counters.add(Counter::StaleConfiguration);
        return;
    }
    ConfigurationPtr parsed;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(Configuration configuration, parseConfiguration(text));
            parsed = std::make_shared<const Configuration>(std::move(configuration));
            return {};
        },
        [] {});
    if (!parsed)
        return;
    world.configuration = parsed;
    world.configurationText = text;
    world.revision = revision;
    world.members.setRevision(revision);
    world.endpoints.configure(*parsed);
    world.counters.add(Counter::ConfigurationsSeen);
    world.out.push_back(ConfigurationInForce{revision});

    // Told to a few at once rather than at the next round: they confirm, and pass it on themselves.
    for (const std::pair<Incarnation, Address> &target : world.members.targets(world.random)) {
        if (target.first)
            sendTo(world, target.first, ConfigurationPush{revision, text});
    }
}

void onConfigurationHave(World &world, Incarnation from, const ConfigurationHave &have)
{
    const Member *member = world.members.find(from);
    if (member && have.revision > member->info.revision) {
        MemberInfo info = member->info;
        info.revision = have.revision;
        info.heartbeat += 1;
        world.members.merge({info}, world.now, world.counters);
    }
    if (world.revision > have.revision)
        sendTo(world, from, ConfigurationPush{world.revision, world.configurationText});
    else if (have.revision > world.revision)
        sendTo(world, from, ConfigurationHave{world.revision});
}

// The failure domains asked for are counted from the configuration and not from the members alive: a daemon
// that is cut off knows nobody, and would otherwise confirm to itself.
bool isConfirmed(const World &world, Revision revision)
{
    if (!isOn(Safeguard::ConfirmBeforeAccepted))
        return true;
    if (!world.configuration)
        return false;
    const size_t others = std::max<size_t>(world.configuration->failureDomains.size(), 1) - 1;
    const size_t needed = std::min(ConfirmingDomains, others);
    return world.revision >= revision && world.members.domainsWithRevision(revision) >= needed;
}

} // namespace cranberry
