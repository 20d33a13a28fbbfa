#pragma once

#include "common/types.h"

#include <map>

namespace cranberry {

/// Number of requests of each organisation whose generation started in one window.
struct UsageReport {
    int64_t window = 0;
    std::map<OrganisationName, uint64_t> counts;
};

/// How many engines a service is to have in one failure domain.
struct EngineOrder {
    ServiceName service;
    FailureDomainName failureDomain;
    uint32_t count = 0;
    bool reclaimable = false;
};

/// One call made as the leader. The receiver rejects earlier leaders by the fencing token.
struct LeaderCall {
    uint64_t id = 0;
    uint64_t fencingToken = 0;
    /// The call is aborted after this time, since this daemon may no longer be the leader.
    DurationMs timeout;
    std::optional<UsageReport> usage;
    std::optional<EngineOrder> order;
};

enum class LeaderCallOutcome : uint8_t {
    Done,
    NoneAvailable, ///< For an order: no such engines are available.
    Refused, ///< The call was not executed.
    NoReply
};

} // namespace cranberry
