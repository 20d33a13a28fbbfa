#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace standin {

/// Status and JSON body of a reply.
struct StoreAnswer {
    int status = 200;
    boost::json::object body;
};

/// The platform's key-value store: keys with revisions, leases, conditional writes. Values are base64 text.
class StoreState
{
public:
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    StoreAnswer list(const std::string &prefix, const std::string &after, int64_t nowMs);
    StoreAnswer write(const boost::json::object &body, int64_t nowMs);
    StoreAnswer grant(int64_t leaseMs, int64_t nowMs);
    StoreAnswer renew(uint64_t lease, int64_t nowMs);
    StoreAnswer end(uint64_t lease);

private:
    struct Item {
        std::string value;
        uint64_t revision = 0;
        uint64_t created = 0;
        uint64_t lease = 0;
    };
    struct Lease {
        int64_t lengthMs = 0;
        int64_t endsAtMs = 0;
    };
    boost::json::object describe(const std::string &key, const Item &item) const;
    void endLeases(int64_t nowMs);
    void dropLease(uint64_t lease);

    std::map<std::string, Item> items_;
    std::map<uint64_t, Lease> leases_;
    uint64_t revision_ = 0;
    uint64_t nextLease_ = 1;
};

} // namespace standin
