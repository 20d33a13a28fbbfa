#include "storestate.h"

namespace json = boost::json;

namespace standin {

namespace {

constexpr size_t PageItems = 500;

} // namespace

void StoreState::put(const std::string &key, const std::string &value)
{
    Item &item = items_[key];
    item.value = value;
    item.revision = ++revision_;
    if (item.created == 0)
        item.created = revision_;
}

void StoreState::remove(const std::string &key)
{
    if (items_.erase(key) > 0)
        ++revision_;
}

json::object StoreState::describe(const std::string &key, const Item &item) const
{
    return {{"Key", key},
            {"Value", item.value},
            {"Revision", item.revision},
            {"Created", item.created},
            {"Lease", item.lease}};
}

StoreAnswer StoreState::list(const std::string &prefix, const std::string &after, int64_t nowMs)
{
    endLeases(nowMs);
    json::array items;
    bool truncated = false;
    for (auto item = items_.lower_bound(prefix); item != items_.end() && item->first.starts_with(prefix);
         ++item) {
        if (item->first <= after)
            continue;
        truncated = items.size() == PageItems;
        if (truncated)
            break;
        items.push_back(describe(item->first, item->second));
    }
    return {200, {{"Items", std::move(items)}, {"Truncated", truncated}, {"CurrentRev", revision_}}};
}

StoreAnswer StoreState::write(const json::object &body, int64_t nowMs)
{
    endLeases(nowMs);
    json::array present;
    bool holds = true;
    for (const json::value &condition : body.at("Precondition").as_array()) {
        const std::string key(condition.at("Key").as_string());
        const auto found = items_.find(key);
        const uint64_t revision = found == items_.end() ? 0 : found->second.revision;
        holds = holds && revision == condition.at("Revision").to_number<uint64_t>();
        present.push_back(describe(key, found == items_.end() ? Item{} : found->second));
    }
    if (!holds)
        return {412, {{"Items", std::move(present)}}};
    for (const json::value &entry : body.at("Puts").as_array()) {
        const uint64_t lease = entry.at("Lease").to_number<uint64_t>();
        if (lease != 0 && !leases_.contains(lease))
            return {404, {}};
    }
    ++revision_;
    for (const json::value &entry : body.at("Puts").as_array()) {
        Item &item = items_[std::string(entry.at("Key").as_string())];
        item.value = std::string(entry.at("Value").as_string());
        item.revision = revision_;
        item.created = item.created == 0 ? revision_ : item.created;
        item.lease = entry.at("Lease").to_number<uint64_t>();
    }
    for (const json::value &key : body.at("Deletes").as_array())
        items_.erase(std::string(key.as_string()));
    return {200, {{"Revision", revision_}}};
}

StoreAnswer StoreState::grant(int64_t leaseMs, int64_t nowMs)
{
    const uint64_t lease = nextLease_++;
    leases_[lease] = {leaseMs, nowMs + leaseMs};
    return {200, {{"Lease", lease}, {"TtlMs", leaseMs}}};
}

StoreAnswer StoreState::renew(uint64_t lease, int64_t nowMs)
{
    endLeases(nowMs);
    const auto found = leases_.find(lease);
    if (found == leases_.end())
        return {404, {}};
    found->second.endsAtMs = nowMs + found->second.lengthMs;
    return {200, {{"TtlMs", found->second.lengthMs}}};
}

StoreAnswer StoreState::end(uint64_t lease)
{
    dropLease(lease);
    return {200, {}};
}

void StoreState::endLeases(int64_t nowMs)
{
    std::map<uint64_t, Lease> leases = leases_;
    for (const std::pair<const uint64_t, Lease> &lease : leases) {
        if (lease.second.endsAtMs <= nowMs)
            dropLease(lease.first);
    }
}

void StoreState::dropLease(uint64_t lease)
{
    leases_.erase(lease);
    if (std::erase_if(items_, [lease](const std::pair<const std::string, Item> &entry) {
            return entry.second.lease == lease;
        }))
        ++revision_;
}

} // namespace standin
