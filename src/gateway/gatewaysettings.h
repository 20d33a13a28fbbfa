#pragma once

#include "common/fields.h"
#include "common/types.h"

namespace cranberry {

/// Settings of the gateway daemon, read once at start.
struct GatewayDaemonSettings {
    InstanceName instance;
    FailureDomainName failureDomain;
    Address callerAddress; ///< Listens for callers' requests.
    Address readinessAddress; ///< GET /ready.
    Address entryAddress; ///< Listens for callers' queries for the addresses to connect to.
    Address peerAddress; ///< Receives datagrams of the other daemons.
    Address storeAddress;
    Address leaderCallAddress; ///< Address of the receiver of usage reports and orders.
    uint32_t metricsPort = 0; ///< 0: metrics are disabled.

    bool firstStart = false; ///< The whole system starts for the first time.
    DurationMs revokeBound{5000}; ///< A removed key is rejected everywhere after this time.
    DurationMs configurationBound{2000}; ///< A configuration is in force everywhere after this time.
    DurationMs leaseTime{3000}; ///< Duration of the leader's lease.
    DurationMs stopGrace{8000}; ///< Time from SIGTERM to SIGKILL.
    DurationMs usageWindow{5000};
    DurationMs usageDue{10000}; ///< The usage report of a window is due this long after its end.
    /// How long callers may cache the entry answer. Some cache it three times as long, and the last of them
    /// must have left a stopping daemon well before its grace time ends.
    DurationMs entryListTtl{1000};
    uint32_t memoryMb = 0; ///< Memory that this daemon may use; 0: what the system reports.
    uint32_t maxDescriptors = 0; ///< Open descriptors that it may have; 0: the process's limit.
    double cores = 1; ///< CPU cores of the instance that this daemon may use.
    DurationMs drainTime{2000}; ///< Minimum time for which a leaving endpoint continues to serve.
    double repeatRatio = 0.2; ///< Retries per request of a service, over all daemons.
    double repeatSlack = 10; ///< Retries allowed beyond the ratio, over all daemons.
    DurationMs repeatWindow{10000};
    double quotaOver = 0; ///< Tolerated excess over an organisation's limit, as a fraction of it.
    double exposeShare = 0.1; ///< Maximum fraction of a service's requests that a faulty version may get.
    double exposeSlack = 50; ///< Requests allowed beyond this fraction.
    double quotaSlack = 0; ///< Tolerated excess beyond this fraction, in the unit of the limit.
};

Result<GatewayDaemonSettings> parseGatewaySettings(const std::string &text);

} // namespace cranberry
