#pragma once

#include "common/types.h"

#include <map>

namespace cranberry {

/// Requests of each organisation that began to run in one window.
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

/// One call in the name of a duty's holder. Its receiver keeps out older holders by the fencing token.
struct DutyCall {
    uint64_t id = 0;
    uint64_t fencingToken = 0;
    DurationMs timeout; ///< The call is aborted then: this daemon may not hold the duty any longer.
    std::optional<UsageReport> usage;
    std::optional<EngineOrder> order;
};

enum class DutyOutcome : uint8_t {
    Done,
    NoneAvailable, ///< Of an order: there are no such engines now.
    Refused, ///< Nothing was done.
    NoReply
};

} // namespace cranberry
