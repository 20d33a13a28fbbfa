#pragma once

#include "common/types.h"

#include <map>
#include <set>

namespace cranberry {

/// The version of an endpoint's software, as the endpoint states it. Only compared for equality.
using SoftwareVersion = Name<struct SoftwareVersionTag>;

/// An operator's order: a service's requests are to be moved to endpoints of another version.
struct RolloutOrder {
    ServiceName service;
    SoftwareVersion target;
    DurationMs duration; ///< From the order until it is to be decided, one way or the other.
    uint64_t revision = 0; ///< Of its key in the store.

    friend bool operator==(const RolloutOrder &, const RolloutOrder &) = default;
};

enum class RolloutStage : uint8_t {
    Starting, ///< The target has no endpoints yet.
    Trial, ///< A small part of the requests goes to a few endpoints of the target.
    Loading, ///< Besides, one endpoint of the target is brought to the load that one may be given.
    Moving, ///< A growing part goes to the target.
    Emptying, ///< All new requests go to the target; the other endpoints end what they have.
    Completed,
    RolledBack
};

const char *toText(RolloutStage stage);
constexpr bool isDecided(RolloutStage stage)
{
    return stage == RolloutStage::Completed || stage == RolloutStage::RolledBack;
}

/// How far a roll-out is, as the holder of the duties has written it. All daemons go by it.
struct RolloutRecord {
    ServiceName service;
    SoftwareVersion target;
    DurationMs duration;
    uint64_t order = 0; ///< Revision of the order...
    uint64_t era = 0; ///< ...in this era of the store.
    RolloutStage stage = RolloutStage::Starting;
    int64_t beganWallMs = 0; ///< True time: Unix milliseconds.
    int64_t stageWallMs = 0; ///< Since when in this stage.
    double share = 0; ///< Of the service's requests, to the target during the trial.
    uint32_t loadRequests = 0; ///< Of all daemons, to load one endpoint with.
    std::set<SoftwareVersion> barred; ///< Get no requests: rolled back, overtaken by another order, replaced.
    std::string why; ///< Of the stage, for operators.

    friend bool operator==(const RolloutRecord &, const RolloutRecord &) = default;
};

/// What operators are told of a roll-out.
struct RolloutStatus {
    ServiceName service;
    SoftwareVersion target;
    RolloutStage stage = RolloutStage::Starting;
};

/// The record is of this order, which stands in a store of era `era`. Operators write their orders again
/// after a store came back older: then the revision differs, but it is the same order.
bool isOf(const RolloutRecord &record, const RolloutOrder &order, uint64_t era);

/// Of two records of one service the one that goes further. A roll-out never goes back to an earlier stage,
/// also when the store has.
RolloutRecord furtherRecord(const RolloutRecord &a, const RolloutRecord &b);

/// A record as the text of its key in the store, and back. Nothing is returned for text that is none.
std::string recordText(const RolloutRecord &record);
std::optional<RolloutRecord> recordFromText(const ServiceName &service, const std::string &text);

/// Orders and records as one daemon knows them.
struct RolloutsKnown {
    std::vector<RolloutOrder> orders;
    std::map<ServiceName, RolloutRecord> records;
    uint64_t era = 0; ///< Of the store that the orders are from.

    friend bool operator==(const RolloutsKnown &, const RolloutsKnown &) = default;
};

/// How many requests went well or badly during a trial, as one daemon saw them since it began.
struct TrialCount {
    /// Endpoints of the target are counted in so many groups by their names, so that one bad endpoint is told
    /// from a bad version, and reports stay small.
    static constexpr uint32_t Groups = 8;
    static constexpr uint32_t Others = Groups; ///< In place of a group: endpoints of other versions.
    /// In place of a route: requests that load one endpoint. Only failures count as bad there.
    static constexpr const char *LoadRoute = "(load)";

    ServiceName service;
    SoftwareVersion target;
    std::string route;
    uint32_t group = Others;
    uint64_t answers = 0;
    uint64_t bad = 0; ///< Of these: failed, or took several times the usual time.
};

} // namespace cranberry
