#pragma once

#include "common/types.h"

#include <map>
#include <set>

namespace cranberry {

/// The version of an endpoint's software as the endpoint reports it. Versions are only compared for equality.
using SoftwareVersion = Name<struct SoftwareVersionTag>;

/// An operator's order to move the requests of a service to endpoints of another version.
struct RolloutOrder {
    ServiceName service;
    SoftwareVersion target;
    DurationMs duration; ///< Time from the order to its completion or rollback.
    uint64_t revision = 0; ///< Revision of the order's key in the store.

    friend bool operator==(const RolloutOrder &, const RolloutOrder &) = default;
};

enum class RolloutStage : uint8_t {
    Starting, ///< The target has no endpoints yet.
    Trial, ///< A small share of the requests goes to a few endpoints of the target.
    Loading, ///< In addition, one endpoint of the target is loaded to its planned capacity.
    Moving, ///< A growing share of the requests goes to the target.
    Emptying, ///< All new requests go to the target; the other endpoints finish their running requests.
    Completed,
    RolledBack
};

const char *toText(RolloutStage stage);
constexpr bool isDecided(RolloutStage stage)
{
    return stage == RolloutStage::Completed || stage == RolloutStage::RolledBack;
}

/// State of a roll-out as the leader has stored it. All daemons follow this record.
struct RolloutRecord {
    ServiceName service;
    SoftwareVersion target;
    DurationMs duration;
    uint64_t order = 0; ///< Revision of the order in era `era`.
    uint64_t era = 0; ///< Era of the store that `order` belongs to.
    RolloutStage stage = RolloutStage::Starting;
    int64_t beganWallMs = 0; ///< Estimated true time, Unix milliseconds.
    int64_t stageWallMs = 0; ///< When the stage began.
    double share = 0; ///< Share of the service's requests that goes to the target during the trial.
    uint32_t loadRequests = 0; ///< Requests of all daemons together that load one endpoint.
    /// Versions that get no requests: rolled back, superseded by another order, or replaced.
    std::set<SoftwareVersion> barred;
    std::string why; ///< Reason for the stage, shown to operators.

    friend bool operator==(const RolloutRecord &, const RolloutRecord &) = default;
};

/// Status of a roll-out for operators.
struct RolloutStatus {
    ServiceName service;
    SoftwareVersion target;
    RolloutStage stage = RolloutStage::Starting;
};

/// Returns whether the record belongs to this order, which is stored in era `era`. Operators write their
/// orders again after the store was restored from an older copy: the order then has another revision but is
/// the same one.
bool belongsTo(const RolloutRecord &record, const RolloutOrder &order, uint64_t era);

/// Merges two records of one service and returns the one at the later stage. A roll-out never goes back to an
/// earlier stage, even if the store was restored from an older copy.
RolloutRecord mergeRecords(const RolloutRecord &a, const RolloutRecord &b);

/// Encode a record as the value of its key in the store, and decode it. Decoding returns nothing for invalid
/// text.
std::string recordText(const RolloutRecord &record);
std::optional<RolloutRecord> recordFromText(const ServiceName &service, const std::string &text);

/// Versions that the services had, for daemons that start.
struct VersionRecord {
    /// All versions that were listed since then are included; Unix milliseconds, 0: since ever.
    int64_t sinceWallMs = 0;
    /// When each version of a service was listed last; 0: it still is.
    std::map<ServiceName, std::map<SoftwareVersion, int64_t>> lastWallMs;

    friend bool operator==(const VersionRecord &, const VersionRecord &) = default;
};

/// Encode the versions as the value of a key in the store, and decode them. Decoding returns nothing for
/// invalid text.
std::string versionsText(const VersionRecord &record);
std::optional<VersionRecord> versionsFromText(const std::string &text);

/// Orders and records that one daemon knows.
struct RolloutsKnown {
    std::vector<RolloutOrder> orders;
    std::map<ServiceName, RolloutRecord> records;
    uint64_t era = 0; ///< Era of the store that the orders were read from.
    std::optional<VersionRecord> versions = std::nullopt; ///< Empty: not stored yet.

    friend bool operator==(const RolloutsKnown &, const RolloutsKnown &) = default;
};

/// Number of good and bad outcomes during a trial, as counted by one daemon since the trial began.
struct TrialCount {
    /// Endpoints of the target are counted in this number of groups, by a hash of their names. This
    /// distinguishes one bad endpoint from a bad version and keeps reports small.
    static constexpr uint32_t Groups = 8;
    static constexpr uint32_t Others = Groups; ///< Group number for endpoints of all other versions.
    /// Route name for requests that load one endpoint. Only failures count as bad there.
    static constexpr const char *LoadRoute = "(load)";
    /// Route name for requests that were lost with the process of their endpoint, whatever their route.
    static constexpr const char *LostRoute = "(lost)";

    ServiceName service;
    SoftwareVersion target;
    std::string route;
    uint32_t group = Others;
    uint64_t answers = 0;
    uint64_t bad = 0; ///< Those that failed or took several times the usual time.
};

} // namespace cranberry
