#pragma once

#include "fakestore.h"
#include "gatewayfixture.h"

#include <string>
#include <vector>

namespace cranberry {

/// Engines that crash together.
struct EngineLoss {
    DurationMs at{8000};
    size_t first = 0;
    size_t count = 3;
};

/// Daemons that are killed together and start again, without what they knew.
struct DaemonKill {
    DurationMs at{8000};
    size_t percent = 60;
    DurationMs downtime{0};
};

/// Engines reset the connections of their streams at the first event.
struct EngineResets {
    DurationMs from{300};
    DurationMs until{9300};
    uint64_t percent = 100; ///< Of the streams.
};

/// Daemons, engines of several software versions, and callers that resume broken streams at any daemon, in
/// virtual time.
struct VersionPlan {
    size_t daemons = 6;
    std::vector<std::string> versions{"v1", "v1.1"}; ///< Of the engines in turn.
    size_t engines = 12;
    uint32_t slots = 64; ///< Of each engine.
    double perSecond = 10; ///< Streams that begin at each daemon.
    DurationMs length{20000};
    std::vector<EngineLoss> losses;
    std::vector<DaemonKill> kills;
    std::optional<EngineResets> resets;
    size_t serving = 0; ///< Daemons that get callers; 0: all.
    /// No daemon hears from the store between these times.
    std::optional<std::pair<DurationMs, DurationMs>> storeAway;
    GatewayRetryLimits retryLimits{0.2, 52, {10000}};
    DurationMs lead{0}; ///< Time for which the daemons have run before the day begins.
    StoreFaults storeFaults;
    uint64_t lostDatagrams = 0; ///< Of a hundred between daemons, besides reports.
    /// From this time on no daemon hears another one.
    std::optional<DurationMs> daemonsApartFrom;
    /// An engine that crashed comes back under the same name, `rebornAs` if set, before the list says so.
    bool keepsId = false;
    std::string rebornAs;
    bool storesVersions = true; ///< Daemons that start know which versions were listed before.
    uint64_t seed = 1;
};

struct VersionResult {
    uint64_t begun = 0; ///< New streams that got a first event.
    uint64_t asked = 0; ///< New streams.
    uint64_t takenUp = 0; ///< Requests of callers that resume a stream.
    uint64_t wentOn = 0; ///< Of these, those that got an event.
    uint64_t mixed = 0; ///< Streams that hold events of two versions.
    uint64_t whole = 0;
    double noticesPerSecond = 0; ///< Of each daemon.
    double bytesPerSecond = 0; ///< Of each daemon, with queries and replies.
    std::map<std::string, uint64_t> refusedResumptions; ///< By reason.
    /// Arrivals at engines beyond the first of each request, by time; the most in a window, relative to what
    /// the requests in it, in the window before or in the one half a window before allow.
    std::vector<TimeMs> retriedAt;
    double retriesOfAllowed = 0;
    uint64_t storeCalls = 0; ///< That draw retries.
    uint64_t broken = 0; ///< Streams that their daemons broke off, or refused after they had been sent.
    double shareWentOn() const { return share(wentOn, takenUp); }
    double shareBegun() const { return share(begun, asked); }
    static double share(uint64_t part, uint64_t all)
    {
        return all == 0 ? 1 : static_cast<double>(part) / static_cast<double>(all);
    }
    std::string text() const;
};

VersionResult playVersions(const VersionPlan &plan);

} // namespace cranberry
