#include "storestate.h"

namespace json = boost::json;

namespace standin {

namespace {

constexpr size_t PageItems = 500;
constexpr size_t PageBytes = 1U << 20; ///< A page has at least one item, whatever its size.

} // namespace

void StoreState::put(const std::string &key, const std::string &value)
{
    Item &item = content_.items[key];
    item.value = value;
    item.revision = ++content_.revision;
    if (item.created == 0)
        item.created = content_.revision;
}

void StoreState::remove(const std::string &key)
{
    if (content_.items.erase(key) > 0)
        ++content_.revision;
}

std::vector<std::string> StoreState::keys(const std::string &prefix) const
{
    std::vector<std::string> out;
    for (auto item = content_.items.lower_bound(prefix);
         item != content_.items.end() && item->first.starts_with(prefix); ++item)
        out.push_back(item->first);
    return out;
}

void StoreState::saveCopy()
{
    copy_ = content_;
}

void StoreState::restoreCopy()
{
    content_ = copy_;
    ++era_;
}

json::object StoreState::describe(const std::string &key, const Item &item) const
{
    return {{"Key", key},
            {"Value", item.value},
            {"Revision", item.revision},
            {"Created", item.created},
            {"Lease", item.lease}};
}

KeyValueReply StoreState::list(const std::string &prefix, const std::string &after, int64_t nowMs)
{
    expireLeases(nowMs);
    json::array items;
    size_t bytes = 0;
    bool truncated = false;
    for (auto item = content_.items.lower_bound(prefix);
         item != content_.items.end() && item->first.starts_with(prefix); ++item) {
        if (item->first <= after)
            continue;
        bytes += item->first.size() + item->second.value.size();
        truncated = items.size() == PageItems || (bytes > PageBytes && !items.empty());
        if (truncated)
            break;
        items.push_back(describe(item->first, item->second));
    }
    return {200, {{"Items", std::move(items)}, {"Truncated", truncated}, {"CurrentRev", content_.revision}}};
}

KeyValueReply StoreState::write(const json::object &body, int64_t nowMs)
{
    expireLeases(nowMs);
    json::array currentItems;
    bool preconditionsHold = true;
    for (const json::value &condition : body.at("Precondition").as_array()) {
        const std::string key(condition.at("Key").as_string());
        const auto found = content_.items.find(key);
        const uint64_t revision = found == content_.items.end() ? 0 : found->second.revision;
        preconditionsHold = preconditionsHold && revision == condition.at("Revision").to_number<uint64_t>();
        currentItems.push_back(describe(key, found == content_.items.end() ? Item{} : found->second));
    }
    if (!preconditionsHold)
        return {412, {{"Items", std::move(currentItems)}}};
    for (const json::value &entry : body.at("Puts").as_array()) {
        const uint64_t lease = entry.at("Lease").to_number<uint64_t>();
        if (lease != 0 && !content_.leases.contains(lease))
            return {404, {}};
    }
    ++content_.revision;
    for (const json::value &entry : body.at("Puts").as_array()) {
        Item &item = content_.items[std::string(entry.at("Key").as_string())];
        item.value = std::string(entry.at("Value").as_string());
        item.revision = content_.revision;
        item.created = item.created == 0 ? content_.revision : item.created;
        item.lease = entry.at("Lease").to_number<uint64_t>();
    }
    for (const json::value &key : body.at("Deletes").as_array())
        content_.items.erase(std::string(key.as_string()));
    return {200, {{"Revision", content_.revision}}};
}

KeyValueReply StoreState::grantLease(int64_t leaseMs, int64_t nowMs)
{
    const uint64_t lease = content_.nextLease++;
    content_.leases[lease] = {leaseMs, nowMs + leaseMs};
    return {200, {{"Lease", lease}, {"TtlMs", leaseMs}}};
}

KeyValueReply StoreState::renewLease(uint64_t lease, int64_t nowMs)
{
    expireLeases(nowMs);
    const auto found = content_.leases.find(lease);
    if (found == content_.leases.end())
        return {404, {}};
    found->second.expiresAtMs = nowMs + found->second.ttlMs;
    return {200, {{"TtlMs", found->second.ttlMs}}};
}

KeyValueReply StoreState::revokeLease(uint64_t lease)
{
    dropLease(lease);
    return {200, {}};
}

void StoreState::expireLeases(int64_t nowMs)
{
    std::map<uint64_t, Lease> leases = content_.leases;
    for (const std::pair<const uint64_t, Lease> &lease : leases) {
        if (lease.second.expiresAtMs <= nowMs)
            dropLease(lease.first);
    }
}

void StoreState::dropLease(uint64_t lease)
{
    content_.leases.erase(lease);
    if (std::erase_if(content_.items, [lease](const std::pair<const std::string, Item> &entry) {
            return entry.second.lease == lease;
        }))
        ++content_.revision;
}

} // namespace standin
