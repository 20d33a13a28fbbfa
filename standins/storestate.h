#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace standin {

/// Status and JSON body of a reply.
struct KeyValueReply {
    int status = 200;
    boost::json::object body;
};

/// Implements the platform's key-value store: keys with revisions, leases and conditional writes. Values are
/// base64 text.
class StoreState
{
public:
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// Returns the keys that begin with `prefix`.
    std::vector<std::string> keys(const std::string &prefix) const;

    // Simulate a store that is restored from an older copy.
    void saveCopy();
    void restoreCopy(); ///< Starts the next era; revisions and lease ids are issued again.
    uint64_t era() const { return era_; }

    KeyValueReply list(const std::string &prefix, const std::string &after, int64_t nowMs);
    KeyValueReply write(const boost::json::object &body, int64_t nowMs);
    KeyValueReply grantLease(int64_t leaseMs, int64_t nowMs);
    KeyValueReply renewLease(uint64_t lease, int64_t nowMs);
    KeyValueReply revokeLease(uint64_t lease);

private:
    struct Item {
        std::string value;
        uint64_t revision = 0;
        uint64_t created = 0;
        uint64_t lease = 0;
    };
    struct Lease {
        int64_t ttlMs = 0;
        int64_t expiresAtMs = 0;
    };
    struct Content {
        std::map<std::string, Item> items;
        std::map<uint64_t, Lease> leases;
        uint64_t revision = 0;
        uint64_t nextLease = 1;
    };
    boost::json::object describe(const std::string &key, const Item &item) const;
    void expireLeases(int64_t nowMs);
    void dropLease(uint64_t lease);

    Content content_;
    Content copy_;
    uint64_t era_ = 1;
};

} // namespace standin
