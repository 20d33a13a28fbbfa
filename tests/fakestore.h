#pragma once

#include "common/random.h"
#include "gateway/store/storecalls.h"
#include "gateway/store/storeera.h"

#include <deque>
#include <map>

namespace cranberry {

/// What the store does wrong, by chance or by order.
struct StoreFaults {
    bool down = false; ///< No call is carried out, none is answered.
    bool leasesLapseWhileDown = false; ///< Else they stand still.
    uint64_t loseReplyPercent = 0; ///< Carried out, not answered.
    uint64_t latePercent = 0; ///< Carried out seconds later, not answered.
    uint64_t losePercent = 0; ///< Neither.
    DurationMs delay{4};
    /// Lists leave the store one after the other, this many a second; 0: no bound. One that its client gave
    /// up takes its time all the same.
    uint64_t listsPerSecond = 0;
    /// Bytes that leave the store's link in a millisecond, and those that enter a client's; 0: no bound.
    /// Replies wait for each other, and one that its client gave up takes its time all the same.
    uint64_t linkBytesPerMs = 0;
    uint64_t clientBytesPerMs = 0;
    /// Calls beyond these are refused; 0: no bound.
    uint64_t readsPerSecond = 0;
    uint64_t writesPerSecond = 0;
    /// A list is cut into pages of this many items.
    size_t pageItems = 500;
    size_t configurationBytes = 0; ///< The configuration's part of a page.
};

/// The platform's store in virtual time: keys with revisions, leases, conditional writes.
class FakeStore
{
public:
    explicit FakeStore(uint64_t seed) : random_(seed) { }

    void put(StoreSpace space, const std::string &key, const std::string &value);
    void putConfiguration(const ServingConfigurationPtr &configuration)
    {
        content_.configuration = configuration;
    }
    /// An endpoint's entry as it writes it; it stays until it is removed.
    void putEndpoint(const EndpointEntry &entry);
    void remove(StoreSpace space, const std::string &key);
    /// Keeps a copy of all there is; the store comes back from it, and states the next era.
    void saveCopy();
    void comeBackFromCopy();
    /// The daemons have run before, and their records of the present era are whole.
    void settle() { put(StoreSpace::Control, SettledEraKey, eraText(era_)); }
    std::optional<std::string> valueOf(StoreSpace space, const std::string &key) const;
    uint64_t revisionOf(StoreSpace space, const std::string &key) const
    {
        return itemOf({space, key}).revision;
    }
    uint64_t era() const { return era_; }
    uint64_t refusedCalls() const { return refusedCalls_; } ///< For the rates of calls.
    uint64_t bytesSent() const { return bytesSent_; }
    size_t keyCount(StoreSpace space) const;

    /// Takes a call of `client`; its reply comes out of `replies` after the delay, unless a fault eats it.
    void submit(size_t client, const StoreCall &call, TimeMs now);
    /// Carries out what is due. Calls without a reply end as such at their time-out.
    std::vector<std::pair<size_t, StoreReply>> replies(TimeMs now);

    StoreFaults faults;
    std::vector<size_t> refusedClients; ///< Get no answer, while others are served.
    std::vector<size_t> deafClients; ///< Their calls are carried out, and not answered.

private:
    struct Item {
        std::string value;
        uint64_t revision = 0;
        uint64_t lease = 0;
    };
    struct Lease {
        DurationMs time;
        TimeMs endsAt;
    };
    struct Pending {
        TimeMs at;
        size_t client = 0;
        StoreCall call;
        bool execute = true;
        bool answer = true;
        TimeMs givenUpAt; ///< The client hears "no reply" then.
        bool isSending = false; ///< Executed, and on its way.
    };
    using Key = std::pair<StoreSpace, std::string>;
    struct Content {
        std::map<Key, Item> items;
        std::map<uint64_t, Lease> leases;
        std::map<std::string, EndpointEntry> endpoints; ///< By their ids, as their keys.
        ServingConfigurationPtr configuration;
        uint64_t revision = 0;
        uint64_t nextLease = 1;
    };

    StoreReply execute(const StoreCall &call, TimeMs now);
    StoreReply write(const StoreCall &call);
    StoreReply list(const StoreCall &call) const;
    bool isOverRate(const StoreCall &call, TimeMs now);
    /// Time at which a reply of that size has reached its client.
    TimeMs sentAt(const StoreReply &reply, TimeMs now);
    StoreItem itemOf(const Key &key) const;
    void endLeases(TimeMs now);

    Random random_;
    Content content_;
    Content copy_;
    uint64_t era_ = 1;
    std::deque<Pending> pending_;
    /// Calls of the present second, against the bounds of the rates.
    struct Rate {
        int64_t second = 0;
        uint64_t calls = 0;
    };
    Rate reads_;
    Rate writes_;
    uint64_t refusedCalls_ = 0;
    uint64_t bytesSent_ = 0;
    double linkFreeAt_ = 0; ///< In milliseconds: all replies before have left.
    double listsSentAt_ = 0; ///< In milliseconds: the last list that was asked for will have left.
    TimeMs lastNow_;
};

} // namespace cranberry
