#include "daemon/safeguards.h"
#include "daemon/world.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr DurationMs GossipInterval{200};
constexpr size_t MarksPerGossip = 32;
constexpr uint64_t MismatchesUntilFullMarks = 15;
constexpr DurationMs AssumedMarkNotice{1500}; ///< Assumed if a peer's mark carries no notice.
constexpr size_t ConfirmingDomains = 2;
constexpr size_t WatchersPerDomain = 2;
constexpr size_t PushesPerChange = 3;
constexpr uint64_t FullMemberListRounds
    = 10; ///< Rounds after the start in which the full member list is requested.

Gossip makeGossip(World &world)
{
    Gossip gossip;
    gossip.sender = world.members.self();
    gossip.members = world.members.update(world.random);
    gossip.suspicions = world.members.takeSuspicions();
    gossip.marks = world.marks.takePending(MarksPerGossip, world.now);
    gossip.markDigest = world.marks.digest();
    gossip.wantsMarks = world.markDigestMismatches > MismatchesUntilFullMarks;
    gossip.wantsMembers = world.gossipRounds < FullMemberListRounds;
    return gossip;
}

} // namespace

void tickGossip(World &world)
{
    if (world.now < world.nextGossipAt)
        return;
    world.nextGossipAt = world.now + GossipInterval;
    world.members.tick(world.now);
    for (const std::pair<Incarnation, Address> &target :
         world.members.probeTargets(world.random, world.now)) {
        world.counters.add(Counter::GossipSent);
        world.actions.push_back(SendPeer{target.first, target.second, makeGossip(world)});
    }
    ++world.gossipRounds;
}

void onGossip(World &world, Incarnation from, const Gossip &gossip)
{
    // Step 1. The sender is known to be alive; the other entries are second-hand and only merged.
    world.members.recordContact(gossip.sender, world.now, world.counters);
    for (const MemberInfo &info : gossip.members)
        world.members.merge(info, world.now, world.counters);
    for (const Suspicion &suspicion : gossip.suspicions)
        world.members.suspect(suspicion, world.now);
    for (const MarkUpdate &news : gossip.marks)
        addMark(world, news.mark, news.notice.count > 0 ? news.notice : AssumedMarkNotice);

    // Step 2. Each mark is sent a bounded number of times, so a daemon can miss one permanently. The digests
    // reveal the difference, and after several mismatches the full set is requested.
    if (gossip.markDigest == world.marks.digest())
        world.markDigestMismatches = 0;
    else
        ++world.markDigestMismatches;

    // Step 3. Replies to a probe, with the full sets if they were requested.
    if (gossip.sender.revision > world.revision)
        sendTo(world, from, ConfigurationHave{world.revision});
    if (gossip.isReply)
        return;
    Gossip reply = makeGossip(world);
    reply.isReply = true;
    if (gossip.wantsMarks)
        reply.marks = world.marks.all(world.now);
    if (gossip.wantsMembers)
        reply.members = world.members.aliveInfos();
    world.counters.add(Counter::GossipSent);
    sendTo(world, from, std::move(reply));
}

// A daemon may learn of its own instance's notice from a mark, because only a few daemons of each failure
// domain poll the cloud.
void addMark(World &world, const Mark &mark, DurationMs notice)
{
    if (!world.marks.add(mark, world.now + notice) || mark.kind != MarkKind::EndpointLeaving)
        return;
    if (mark.instance == world.members.self().instance)
        startDrain(world, notice);
    else
        moveOffEndpoint(world, mark.instance, notice);
}

const Member *pickRemoteMember(World &world, Incarnation except)
{
    std::vector<const Member *> others;
    std::vector<const Member *> sameDomain;
    for (const Member *member : world.members.alive()) {
        const bool leaving
            = world.marks.isLeaving(member->info.incarnation) || world.marks.isLeaving(member->info.instance);
        if (leaving || member->info.incarnation == except)
            continue;
        const bool same = member->info.failureDomain == world.members.self().failureDomain;
        (same ? sameDomain : others).push_back(member);
    }
    const std::vector<const Member *> &pool = others.empty() ? sameDomain : others;
    return pool.empty() ? nullptr : pool[world.random.below(pool.size())];
}

bool isWatcher(const World &world)
{
    return world.members.isAmongLowestOfDomain(WatchersPerDomain);
}

// Older revisions are ignored. Otherwise an accepted change could disappear from some daemons when a daemon
// returns from a partition and pushes its old configuration, or when two reads of the service are reordered.
// Comparing revisions is sufficient, because the service numbers them in the order of acceptance.
void onConfiguration(World &world, Revision revision, const std::string &text)
{
    if (revision == world.revision)
        return;
    if (revision < world.revision && isOn(Safeguard::MonotonicRevision)) {
        world.counters.add(Counter::StaleConfiguration);
        return;
    }
    const bool isNewer = revision > world.revision;
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
    world.actions.push_back(ConfigurationInForce{revision});

    // Pushed to a few members at once instead of at the next round: they confirm it and push it further.
    if (!isNewer)
        return;
    for (const Member *member : world.members.randomAlive(PushesPerChange, world.random))
        sendTo(world, member->info.incarnation, ConfigurationPush{revision, text});
}

void onConfigurationHave(World &world, Incarnation from, const ConfigurationHave &have)
{
    world.members.recordRevision(from, have.revision);
    if (world.revision > have.revision)
        sendTo(world, from, ConfigurationPush{world.revision, world.configurationText});
    else if (have.revision > world.revision)
        sendTo(world, from, ConfigurationHave{world.revision});
}

// The number of required failure domains is taken from the configuration and not from the live members:
// otherwise a partitioned daemon, which knows no live peer, would confirm the revision by itself.
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
