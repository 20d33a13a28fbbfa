#pragma once

#include "gateway/gatewayevents.h"
#include "gateway/limits/quotas.h"

#include <map>

namespace cranberry {

/// Maximum size of a checkpoint in the store.
constexpr size_t MaxCheckpointBytes = 64000;

/// One organisation's units as of a checkpoint.
struct QuotaLevel {
    double units = 0; ///< Lower bound of what the listed daemons held together.
    double usedPerSecond = 0; ///< Highest recent rate of use.

    friend bool operator==(const QuotaLevel &, const QuotaLevel &) = default;
};

/// What the serving daemons hold in memory only, as stored by the leader for daemons that start after all of
/// them were killed.
struct QuotaCheckpoint {
    uint64_t era = 0; ///< Era of the store when it was written.
    int64_t wallMs = 0; ///< Wall-clock time in Unix milliseconds.
    size_t sharers = 1; ///< Daemons that shared the limits.
    std::vector<DaemonIdentity> daemons; ///< Those whose balances are counted; never more than `sharers`.
    std::map<OrganisationName, QuotaLevel> levels;

    friend bool operator==(const QuotaCheckpoint &, const QuotaCheckpoint &) = default;
};

/// Returns nothing if the text would be too large.
std::optional<std::string> checkpointText(const QuotaCheckpoint &checkpoint);
/// Returns nothing if any field is missing or invalid.
std::optional<QuotaCheckpoint> checkpointFromText(const std::string &text);

/// States that daemons have started from a checkpoint. Until a newer one is written, only those that started
/// at the same time may use it.
struct CheckpointMark {
    uint64_t era = 0;
    int64_t checkpointWallMs = 0; ///< Time of the checkpoint that was used.
    int64_t usedWallMs = 0; ///< When it was used first.
};
std::string markText(const CheckpointMark &mark);
std::optional<CheckpointMark> markFromText(const std::string &text);

/// Why a starting daemon does not use a checkpoint.
enum class CheckpointFault : uint8_t {
    None,
    Unreadable,
    OtherEra,
    Old, ///< Or written at a time that is not reached yet.
    Used, ///< An earlier restart used it.
    Superseded, ///< Another one was written after it was read.
    NotListed, ///< This instance held no balance, or this daemon is listed itself.
    Unproven, ///< It is not known in time that more than half of the daemons were killed, and none lives.
    NoReply
};
const char *toText(CheckpointFault fault);

/// A daemon that starts, as far as it matters for the use of a checkpoint.
struct StartingDaemon {
    DaemonIdentity self;
    uint64_t era = 0;
    int64_t startedWallMs = 0;
    int64_t wallMs = 0; ///< Wall-clock time now.
    std::vector<DaemonIdentity> heard; ///< Other daemons that have reported to it recently.
};

/// Whether this daemon may use the checkpoint at all, given the newest mark.
CheckpointFault checkUse(const QuotaCheckpoint &checkpoint, const std::optional<CheckpointMark> &mark,
                         const StartingDaemon &daemon);
/// More than half of the listed daemons were replaced by later incarnations, and none of them is heard.
bool wereKilled(const QuotaCheckpoint &checkpoint, const StartingDaemon &daemon);

/// Returns the units that a listed daemon may start with.
double inheritedUnits(const QuotaCheckpoint &checkpoint, const QuotaLevel &level, const Quotas::Limit &limit,
                      DurationMs age);

} // namespace cranberry
