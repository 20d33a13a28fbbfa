#pragma once

#include "gateway/gatewayevents.h"

namespace cranberry {

/// What the store holds, by who writes it.
enum class StoreSpace : uint8_t {
    Shared, ///< The configuration, and what the daemons agree on.
    Endpoints,
    Archive ///< What daemons keep for their successors; not read regularly.
};

enum class StoreVerb : uint8_t { List, Write, GrantLease, RenewLease, EndLease };

struct StoreCondition { ///< Revision 0: the key does not exist.
    StoreSpace space = StoreSpace::Shared;
    std::string key;
    uint64_t revision = 0;
};

struct StorePut {
    StoreSpace space = StoreSpace::Shared;
    std::string key;
    std::string value;
    uint64_t lease = 0; ///< 0: the key stays until it is deleted.
};

struct StoreKey {
    StoreSpace space = StoreSpace::Shared;
    std::string key;
};

/// One call to the store. A call without reply may still be carried out, even seconds later.
struct StoreCall {
    uint64_t id = 0;
    StoreVerb verb = StoreVerb::List;
    StoreSpace space = StoreSpace::Shared; ///< List.
    std::string after; ///< List: where the page before ended, as its reply said.
    std::vector<StoreCondition> conditions;
    std::vector<StorePut> puts;
    std::vector<StoreKey> deletes;
    std::optional<RolloutStatus> rolloutStatus; ///< Written beside the puts.
    uint64_t lease = 0;
    DurationMs leaseTime; ///< GrantLease.
    DurationMs timeout{2000};
};

enum class StoreOutcome : uint8_t {
    Done,
    NotFound, ///< The lease has ended.
    Conflict, ///< A condition does not hold; `items` has the present state.
    Refused, ///< Nothing was done.
    NoReply ///< Perhaps done, perhaps done later.
};

/// An item as it lies in the store, decoded by kind.
struct StoreItem {
    StoreSpace space = StoreSpace::Shared;
    std::string key; ///< Without what marks the space.
    std::string value; ///< Of keys that daemons write.
    uint64_t revision = 0;
    uint64_t lease = 0;
    bool isConfiguration = false;
    ServingConfigurationPtr configuration; ///< With isConfiguration.
    std::optional<RolloutOrder> rollout;
    std::optional<EndpointEntry> endpoint;
};

struct StoreReply {
    uint64_t id = 0;
    StoreOutcome outcome = StoreOutcome::NoReply;
    /// Rises by one each time the store comes back from an older copy of itself: what was written since the
    /// copy is gone, and revisions are given out again. Nothing: not stated.
    std::optional<uint64_t> era;
    std::vector<StoreItem> items;
    std::string nextPage; ///< Not empty: there is more behind this key.
    uint64_t revision = 0; ///< Of a write.
    uint64_t lease = 0;
    DurationMs leaseTime;
};

} // namespace cranberry
