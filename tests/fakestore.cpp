#include "fakestore.h"

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

constexpr uint64_t MostLateMs = 6000;
constexpr uint64_t CallBytes = 300;
constexpr uint64_t ItemBytes = 380; ///< A member's or an endpoint's entry in a list.

} // namespace

void FakeStore::put(StoreSpace space, const std::string &key, const std::string &value)
{
    content_.items[{space, key}] = {value, ++content_.revision, 0};
}

void FakeStore::remove(StoreSpace space, const std::string &key)
{
    content_.items.erase({space, key});
    ++content_.revision;
}

std::optional<std::string> FakeStore::valueOf(StoreSpace space, const std::string &key) const
{
    const auto found = content_.items.find({space, key});
    return found == content_.items.end() ? std::nullopt : std::optional<std::string>(found->second.value);
}

void FakeStore::saveCopy()
{
    copy_ = content_;
}

void FakeStore::comeBackFromCopy()
{
    content_ = copy_;
    ++era_;
}

size_t FakeStore::keyCount(StoreSpace space) const
{
    return static_cast<size_t>(std::count_if(
        content_.items.begin(), content_.items.end(),
        [space](const std::pair<const Key, Item> &entry) { return entry.first.first == space; }));
}

void FakeStore::submit(size_t client, const StoreCall &call, TimeMs now)
{
    Pending pending{now + faults.delay, client, call, true, true, now + call.timeout, false};
    if (call.verb == StoreVerb::List && faults.listsPerSecond > 0) {
        const double asked = static_cast<double>(pending.at.count);
        listsSentAt_ = std::max(listsSentAt_, asked) + 1000.0 / static_cast<double>(faults.listsPerSecond);
        pending.at.count = static_cast<int64_t>(listsSentAt_);
    }
    const bool refused
        = std::find(refusedClients.begin(), refusedClients.end(), client) != refusedClients.end();
    if (faults.down || refused || random_.below(100) < faults.losePercent) {
        pending.execute = pending.answer = false;
    } else if (random_.below(100) < faults.latePercent) {
        pending.at = now + DurationMs{static_cast<int64_t>(random_.below(MostLateMs))};
        pending.answer = false;
    } else if (random_.below(100) < faults.loseReplyPercent
               || std::find(deafClients.begin(), deafClients.end(), client) != deafClients.end()) {
        pending.answer = false;
    }
    pending_.push_back(std::move(pending));
}

bool FakeStore::isOverRate(const StoreCall &call, TimeMs now)
{
    const bool writes = call.verb == StoreVerb::Write || call.verb == StoreVerb::GrantLease;
    const uint64_t limit = writes ? faults.writesPerSecond : faults.readsPerSecond;
    Rate &rate = writes ? writes_ : reads_;
    if (rate.second != now.count / 1000)
        rate = {now.count / 1000, 0};
    if (limit == 0 || ++rate.calls <= limit)
        return false;
    ++refusedCalls_;
    return true;
}

TimeMs FakeStore::sentAt(const StoreReply &reply, TimeMs now)
{
    uint64_t bytes = CallBytes;
    for (const StoreItem &item : reply.items)
        bytes += item.isConfiguration ? faults.configurationBytes : ItemBytes;
    bytesSent_ += bytes;
    if (faults.linkBytesPerMs == 0)
        return now;
    const double size = static_cast<double>(bytes);
    linkFreeAt_ = std::max(linkFreeAt_, static_cast<double>(now.count))
        + size / static_cast<double>(faults.linkBytesPerMs);
    const double atClient
        = faults.clientBytesPerMs == 0 ? 0 : size / static_cast<double>(faults.clientBytesPerMs);
    return {static_cast<int64_t>(linkFreeAt_ + atClient)};
}

std::vector<std::pair<size_t, StoreReply>> FakeStore::replies(TimeMs now)
{
    std::vector<std::pair<size_t, StoreReply>> out;
    if (faults.down && !faults.leasesLapseWhileDown) {
        for (std::pair<const uint64_t, Lease> &lease : content_.leases)
            lease.second.endsAt = lease.second.endsAt + (now - lastNow_);
    }
    lastNow_ = now;
    endLeases(now);
    std::deque<Pending> still;
    for (Pending &pending : std::exchange(pending_, {})) {
        if (pending.execute && pending.at <= now && !faults.down) {
            const bool isOver = !pending.isSending && isOverRate(pending.call, now);
            StoreReply reply = isOver ? StoreReply{} : execute(pending.call, now);
            if (isOver)
                reply.outcome = StoreOutcome::Refused;
            // A list is carried out once more when it has left: keeping all that are on their way takes too
            // much memory.
            if (pending.call.verb == StoreVerb::List && !pending.isSending && !isOver) {
                pending.isSending = true;
                pending.at = sentAt(reply, now);
            }
            pending.execute = pending.at > now;
            reply.id = pending.call.id;
            reply.era = era_;
            if (!pending.execute && pending.answer && now < pending.givenUpAt) {
                out.emplace_back(pending.client, std::move(reply));
                continue;
            }
        }
        if (now >= pending.givenUpAt && pending.givenUpAt.count != 0) {
            StoreReply none;
            none.id = pending.call.id;
            out.emplace_back(pending.client, none);
            pending.givenUpAt = {};
        }
        if (pending.execute || pending.givenUpAt.count != 0)
            still.push_back(std::move(pending));
    }
    pending_ = std::move(still);
    return out;
}

void FakeStore::endLeases(TimeMs now)
{
    for (auto lease = content_.leases.begin(); lease != content_.leases.end();) {
        if (lease->second.endsAt > now) {
            ++lease;
            continue;
        }
        const uint64_t id = lease->first;
        if (std::erase_if(content_.items,
                          [id](const std::pair<const Key, Item> &entry) { return entry.second.lease == id; }))
            ++content_.revision;
        lease = content_.leases.erase(lease);
    }
}

StoreReply FakeStore::execute(const StoreCall &call, TimeMs now)
{
    StoreReply reply;
    reply.outcome = StoreOutcome::Done;
    switch (call.verb) {
    case StoreVerb::List:
        return list(call);
    case StoreVerb::Write:
        return write(call);
    case StoreVerb::GrantLease:
        reply.lease = content_.nextLease++;
        reply.leaseTime = call.leaseTime;
        content_.leases[reply.lease] = {call.leaseTime, now + call.leaseTime};
        return reply;
    case StoreVerb::RenewLease: {
        const auto found = content_.leases.find(call.lease);
        if (found == content_.leases.end()) {
            reply.outcome = StoreOutcome::NotFound;
            return reply;
        }
        found->second.endsAt = now + found->second.time;
        reply.leaseTime = found->second.time;
        return reply;
    }
    case StoreVerb::EndLease: {
        const auto found = content_.leases.find(call.lease);
        if (found != content_.leases.end())
            found->second.endsAt = now;
        endLeases(now);
        return reply;
    }
    }
    return reply;
}

StoreItem FakeStore::itemOf(const Key &key) const
{
    StoreItem out;
    out.space = key.first;
    out.key = key.second;
    const auto found = content_.items.find(key);
    if (found != content_.items.end()) {
        out.value = found->second.value;
        out.revision = found->second.revision;
        out.lease = found->second.lease;
    }
    const auto endpoint = content_.endpoints.find(key.second);
    if (key.first == StoreSpace::Endpoints && endpoint != content_.endpoints.end())
        out.endpoint = endpoint->second;
    return out;
}

void FakeStore::putEndpoint(const EndpointEntry &entry)
{
    content_.endpoints[entry.id.value] = entry;
    put(StoreSpace::Endpoints, entry.id.value, "");
}

StoreReply FakeStore::list(const StoreCall &call) const
{
    StoreReply reply;
    reply.outcome = StoreOutcome::Done;
    const bool isShared = call.space == StoreSpace::Shared;
    const bool hasConfiguration = isShared || call.space == StoreSpace::Configuration;
    if (hasConfiguration && call.after.empty() && content_.configuration) {
        StoreItem item;
        item.isConfiguration = true;
        item.configuration = content_.configuration;
        reply.items.push_back(std::move(item));
    }
    // The next page of the shared space begins among the members: there are few keys before them.
    const bool isFirstPage = call.after.empty();
    const StoreSpace first
        = isShared ? (isFirstPage ? StoreSpace::Control : StoreSpace::Members) : call.space;
    const StoreSpace last = isShared ? StoreSpace::Members : call.space;
    const auto start = isFirstPage ? content_.items.lower_bound({first, ""})
                                   : content_.items.upper_bound({first, call.after});
    for (auto entry = start; entry != content_.items.end() && entry->first.first <= last; ++entry) {
        if (!entry->first.second.starts_with(call.prefix))
            continue;
        if (reply.items.size() >= faults.pageItems) {
            reply.nextPage = reply.items.back().key;
            break;
        }
        reply.items.push_back(itemOf(entry->first));
    }
    return reply;
}

StoreReply FakeStore::write(const StoreCall &call)
{
    StoreReply reply;
    bool holds = true;
    for (const StoreCondition &condition : call.conditions) {
        const StoreItem item = itemOf({condition.space, condition.key});
        reply.items.push_back(item);
        holds = holds && item.revision == condition.revision;
    }
    if (!holds) {
        reply.outcome = StoreOutcome::Conflict;
        return reply;
    }
    for (const StorePut &put : call.puts) {
        if (put.lease != 0 && !content_.leases.contains(put.lease)) {
            reply.outcome = StoreOutcome::NotFound;
            return reply;
        }
    }
    ++content_.revision;
    for (const StorePut &put : call.puts)
        content_.items[{put.space, put.key}] = {put.value, content_.revision, put.lease};
    for (const StoreKey &key : call.deletes)
        content_.items.erase({key.space, key.key});
    reply.items.clear();
    reply.outcome = StoreOutcome::Done;
    reply.revision = content_.revision;
    return reply;
}

} // namespace cranberry
