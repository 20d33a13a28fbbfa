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
    void settle() { put(StoreSpace::Shared, SettledEraKey, eraText(era_)); }
    std::optional<std::string> valueOf(StoreSpace space, const std::string &key) const;
    size_t keyCount(StoreSpace space) const;

    /// Takes a call of `client`; its reply comes out of `replies` after the delay, unless a fault eats it.
    void submit(size_t client, const StoreCall &call, TimeMs now);
    /// Carries out what is due. Calls without a reply end as such at their time-out.
    std::vector<std::pair<size_t, StoreReply>> replies(TimeMs now);

    StoreFaults faults;
    std::vector<size_t> refusedClients; ///< Get no answer, while others are served.

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
    StoreItem itemOf(const Key &key) const;
    void endLeases(TimeMs now);

    Random random_;
    Content content_;
    Content copy_;
    uint64_t era_ = 1;
    std::deque<Pending> pending_;
    double listsSentAt_ = 0; ///< In milliseconds: the last list that was asked for will have left.
    TimeMs lastNow_;
};

} // namespace cranberry
