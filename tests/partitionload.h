#pragma once

#include "gateway/gateway.h"
#include "gatewayfixture.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace cranberry {

/// How the connections of a partitioned daemon to endpoints fail.
enum class CutKind : uint8_t {
    Refused, ///< Open connections are reset, new ones refused.
    Hanging, ///< Nothing arrives any more, new connections time out.
    AnswersLost, ///< One way only: requests on open connections arrive and run. New connections time out.
    OldLiveOn ///< Open connections work on, new ones are refused.
};

/// Some daemons lose all their endpoints for a time.
struct Cut {
    std::set<size_t> daemons;
    CutKind kind = CutKind::Refused;
    DurationMs from{5000};
    DurationMs until{17000};
    std::set<std::string> services = {}; ///< Empty: all.
};

/// Plain endpoints that crash when they have to reject too many requests in a second.
struct BrittleEndpoints {
    uint32_t maxRejections = 10; ///< In a second. Stated in all answers.
    uint32_t slots = 6;
    DurationMs from{3000}; ///< Before, they have room for all.
    DurationMs downtime{3000};
};

/// Daemons, engines and plain endpoints in virtual time, with the connections between them.
struct PartitionPlan {
    size_t daemons = 6;
    size_t standby = 0; ///< Of these, the last ones do not serve: no reports, no callers.
    size_t engines = 9;
    size_t plainEndpoints = 4;
    std::vector<Cut> cuts;
    double perSecond = 7; ///< Requests that arrive at each daemon.
    DurationMs length{20000};
    DurationMs reportInterval{200};
    std::map<size_t, DurationMs> killed; ///< Daemons that are gone from this time on.
    std::map<size_t, DurationMs> stopped; ///< Daemons that are told to stop at this time.
    std::map<size_t, std::pair<DurationMs, DurationMs>> frozen; ///< Daemons that do nothing between these.
    std::map<size_t, DurationMs>
        endpointsDead; ///< Endpoints (engines first) whose process ends at this time.
    std::map<size_t, std::pair<DurationMs, DurationMs>> endpointsSilent; ///< Frozen between these times.
    std::optional<std::pair<DurationMs, DurationMs>> storeAway; ///< No daemon hears from the store.
    uint64_t lostConnects = 0; ///< Of a hundred new connections to sound endpoints, so many time out.
    std::optional<BrittleEndpoints> brittle;
    bool relaysAccept = true; ///< False: no daemon carries requests of others.
    bool withKeys = false; ///< The requests have an organisation's key and count as its usage.
    bool onlyPlain = false; ///< All requests are for plain endpoints.
    bool callersFollowEntries
        = false; ///< Callers leave daemons that report a partition, once their answer expires.
    uint64_t seed = 1;
};

struct TryCount {
    uint64_t asked = 0;
    uint64_t served = 0;
    double share() const { return asked == 0 ? 1 : static_cast<double>(served) / static_cast<double>(asked); }
};

struct PartitionResult {
    /// First tries that were sent from 3 s after the begin of a cut to its end, at the daemons that were cut
    /// off and at the others.
    TryCount cutOff;
    TryCount others;
    std::map<int64_t, TryCount> cutOffBySecond; ///< By the second of the day in which they were sent.
    std::map<int64_t, TryCount> othersBySecond;
    uint64_t ranTwice = 0; ///< Requests that must not be repeated and ran twice.
    uint64_t ranThoughRefused = 0; ///< Of those, answered with "not run".
    uint64_t unanswered = 0;
    uint64_t served = 0; ///< In the whole time.
    uint64_t begun = 0; ///< Requests that an endpoint began to run.
    uint64_t countedAsUsage = 0; ///< In all daemons' counts.
    uint64_t quarantined = 0; ///< Log lines of all daemons.
    uint64_t endpointsTakenForDead = 0;
    uint64_t partitions = 0;
    uint64_t regained = 0;
    uint64_t ejections = 0;
    uint64_t pathProbes = 0;
    uint64_t attempts = 0; ///< At endpoints.
    uint64_t connections = 0; ///< To endpoints, established.
    std::map<int64_t, uint64_t> connectionsBySecond;
    std::map<size_t, uint64_t> relayedBy; ///< Attempts that each daemon carried for others.
    std::map<int64_t, uint64_t> relayedBySecond;
    uint64_t rejections = 0; ///< By brittle endpoints, for lack of room.
    uint64_t mostRejections = 0; ///< By one of them in a second.
    uint64_t falls = 0; ///< Brittle endpoints that crashed.
    TryCount whileBrittle;
    std::set<size_t> reportedPartition; ///< Daemons that wrote `endpoints_unreached`.

    std::string text() const;
};

PartitionResult playPartition(const PartitionPlan &plan);

} // namespace cranberry
