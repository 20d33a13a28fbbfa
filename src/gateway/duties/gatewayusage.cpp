// Usage counts of this daemon and of those for which it is a keeper.

#include "gateway/gateway.h"

#include "gateway/peers/keepers.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Daemons besides the leader that keep a daemon's counts; a kill of most of them leaves one.
constexpr size_t UsageKeepers = 8;
/// Counts that are younger are lost with the daemon that made them.
constexpr DurationMs NoticeInterval{50};
constexpr DurationMs NoticeIntervalOfLargeFleet{100};
/// What is handed over is sent a second time after this time, since datagrams may be lost.
constexpr DurationMs SecondHandOver{250};
/// Windows before the present one that a daemon that starts gets; older ones are reported, or with the
/// leader.
constexpr int64_t WindowsHandedOver = 2;

} // namespace

void Gateway::countUsage(Exchange &exchange, TimeMs at)
{
    if (exchange.countedForUsage || exchange.organisation.value.empty())
        return;
    exchange.countedForUsage = true;
    usage_.count(exchange.organisation, at);
}

void Gateway::onUsageNotice(const UsageNotice &notice, TimeMs now)
{
    usage_.merge(notice.counts, UsageLedger::Source::Keeping, now);
}

void Gateway::tickUsage(TimeMs now)
{
    if (now >= nextUsageNoticeAt_)
        sendUsage(now);
    const auto due = std::partition(usageHandOvers_.begin(), usageHandOvers_.end(),
                                    [now](const UsageHandOver &each) { return each.at > now; });
    for (auto each = due; each != usageHandOvers_.end(); ++each)
        sendHandOver(*each);
    usageHandOvers_.erase(due, usageHandOvers_.end());
}

void Gateway::sendUsage(TimeMs now)
{
    const UsageCounts changed = usage_.takeChanged();
    if (changed.empty())
        return;
    const std::vector<const MemberEntry *> &targets = peers_.reportTargets();
    nextUsageNoticeAt_ = now + (targets.size() > UsageKeepers ? NoticeIntervalOfLargeFleet : NoticeInterval);
    std::vector<const MemberEntry *> to = keepersOf(settings_.incarnation.value, targets, UsageKeepers);
    const MemberEntry *leader = peers_.otherLeader();
    if (leader && std::find(to.begin(), to.end(), leader) == to.end())
        to.push_back(leader);
    for (const MemberEntry *keeper : to)
        actions_.emplace_back(SendToPeer{keeper->peerAddress, UsageNotice{changed}});
}

// What killed daemons have counted is left with their keepers, which may be killed next. So daemons that
// start get it, and a new leader, which has to report it.
void Gateway::sendHandOver(const UsageHandOver &order)
{
    UsageCounts counts = usage_.keptSince(order.since);
    const WindowCounts &own = usage_.own();
    if (own.lower_bound(order.since) != own.end())
        counts[settings_.incarnation] = WindowCounts(own.lower_bound(order.since), own.end());
    if (!counts.empty())
        actions_.emplace_back(SendToPeer{order.to, UsageNotice{std::move(counts)}});
}

void Gateway::handOverUsage(const Address &to, int64_t since, TimeMs now)
{
    const UsageHandOver order{to, since, now + SecondHandOver};
    sendHandOver(order);
    // With more daemons there are more that hand over.
    if (peers_.reportTargets().size() <= UsageKeepers)
        usageHandOvers_.push_back(order);
}

void Gateway::handOverUsageToNew(const MemberEntry &added, Incarnation incarnation, TimeMs now)
{
    // Keeps the set from growing with each restart. Who is new is told at most once more.
    if (usageHandedTo_.size() > 2 * peers_.members().size())
        usageHandedTo_.clear();
    if (!peers_.selfEntry() || !usageHandedTo_.insert(incarnation).second)
        return;
    std::vector<const MemberEntry *> others = peers_.reportTargets();
    std::erase(others, &added);
    others.push_back(peers_.selfEntry());
    const std::vector<const MemberEntry *> keepers = keepersOf(incarnation.value, others, UsageKeepers);
    if (std::find(keepers.begin(), keepers.end(), peers_.selfEntry()) != keepers.end())
        handOverUsage(added.peerAddress, usage_.windowAt(now) - WindowsHandedOver, now);
}

// A daemon that starts reports at once, and is known by that sooner than by the list of members.
void Gateway::onFirstReport(const PeerReport &report, TimeMs now)
{
    for (const MemberEntry *member : peers_.reportTargets()) {
        if (member->instance == report.instance)
            return handOverUsageToNew(*member, report.incarnation, now);
    }
}

void Gateway::onLeader(const InstanceName &holder, TimeMs now)
{
    const bool isNew = holder != peers_.leader();
    peers_.setLeader(holder);
    const MemberEntry *leader = peers_.otherLeader();
    if (isNew && leader)
        handOverUsage(leader->peerAddress, usage_.oldestOpen(now), now);
}

} // namespace cranberry
