#pragma once

#include "gateway/gatewayevents.h"

namespace cranberry {

/// Parts of the store, by who writes them.
enum class StoreSpace : uint8_t {
    Shared, ///< Lists the next three as one, the members last. No key is written to it.
    Configuration, ///< The configuration and the orders of roll-outs.
    Control, ///< A few keys of the daemons, such as the leader's.
    Members,
    Endpoints,
    Archive ///< Records that daemons keep for their successors; not read regularly.
};

enum class StoreVerb : uint8_t { List, Write, GrantLease, RenewLease, EndLease };

/// A write's precondition: the key has this revision. Revision 0: the key does not exist.
struct StoreCondition {
    StoreSpace space = StoreSpace::Control;
    std::string key;
    uint64_t revision = 0;
};

struct StorePut {
    StoreSpace space = StoreSpace::Control;
    std::string key;
    std::string value;
    uint64_t lease = 0; ///< 0: the key stays until it is deleted.
};

struct StoreKey {
    StoreSpace space = StoreSpace::Control;
    std::string key;
};

/// One call to the store. A call that got no reply may still be executed, even seconds later.
struct StoreCall {
    uint64_t id = 0;
    StoreVerb verb = StoreVerb::List;
    StoreSpace space = StoreSpace::Shared; ///< For List.
    std::string prefix; ///< For List: only keys that begin with this; empty: all keys of the space.
    std::string after; ///< For List: the last key of the previous page, as its reply gave it.
    std::vector<StoreCondition> conditions;
    std::vector<StorePut> puts;
    std::vector<StoreKey> deletes;
    std::optional<RolloutStatus> rolloutStatus; ///< Written together with the puts.
    uint64_t lease = 0;
    DurationMs leaseTime; ///< For GrantLease.
    DurationMs timeout{2000};
};

enum class StoreOutcome : uint8_t {
    Done,
    NotFound, ///< The lease has expired or was ended.
    Conflict, ///< A condition does not hold; `items` has the current state.
    Refused, ///< The call was not executed.
    NoReply ///< The call may have been executed, or may be executed later.
};

/// An item of the store, decoded by its kind.
struct StoreItem {
    StoreSpace space = StoreSpace::Control;
    std::string key; ///< Without the prefix of the space.
    std::string value; ///< Only for keys that daemons write.
    uint64_t revision = 0;
    uint64_t lease = 0;
    bool isConfiguration = false;
    ServingConfigurationPtr configuration; ///< Set if isConfiguration and the value is valid.
    std::optional<RolloutOrder> rollout;
    std::optional<EndpointEntry> endpoint;
};

struct StoreReply {
    uint64_t id = 0;
    StoreOutcome outcome = StoreOutcome::NoReply;
    /// Incremented each time the store is restored from an older copy of itself: writes since the copy are
    /// lost, and revisions are assigned again. Empty: the reply did not state it.
    std::optional<uint64_t> era;
    std::vector<StoreItem> items;
    std::string nextPage; ///< If not empty, there are more items after this key.
    uint64_t revision = 0; ///< Revision of a write.
    uint64_t lease = 0;
    DurationMs leaseTime;
};

} // namespace cranberry
