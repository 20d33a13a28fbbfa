#pragma once

#include "common/fields.h"
#include "common/types.h"

namespace cranberry {

/// Settings of the gateway daemon, read once at start.
struct GatewayDaemonSettings {
    InstanceName instance;
    FailureDomainName failureDomain;
    Address callerAddress; ///< Callers' requests.
    Address readinessAddress; ///< GET /ready.
    Address entryAddress; ///< "Which addresses shall I use?"
    Address peerAddress; ///< Datagrams from the other daemons.
    Address storeAddress;
    Address dutyAddress; ///< Receiver of usage reports and orders.
    uint32_t metricsPort = 0; ///< 0: no metrics are served.

    bool firstStart = false; ///< The whole system starts for the first time.
    DurationMs revokeBound{5000}; ///< A removed key is dead everywhere after this.
    DurationMs configurationBound{2000}; ///< A configuration is in force everywhere after this.
    DurationMs leaseTime{3000}; ///< Of a duty's holder.
    DurationMs stopGrace{8000}; ///< From SIGTERM to SIGKILL.
    DurationMs usageWindow{5000};
    DurationMs usageDue{10000}; ///< A window's report is due this long after its end.
    /// How long callers may keep the entry answer. Some keep it three times as long, and a stopping daemon
    /// must see the last of them well before its grace ends.
    DurationMs entryKeep{1000};
    double cores = 1; ///< Of the instance, as far as this daemon may use them.
    DurationMs drainTime{2000}; ///< A leaving endpoint serves on for so long at least.
    double repeatRatio = 0.2; ///< Repeats for each request of a service, over all daemons.
    double repeatSlack = 10;
    DurationMs repeatWindow{10000};
    double quotaOver = 0; ///< Tolerated above an organisation's limit, as a share of it.
    double exposeShare = 0.1; ///< Of a service's requests, to a version that turns out bad, at most.
    double exposeSlack = 50; ///< Requests besides.
    double quotaSlack = 0; ///< Tolerated besides, in the limit's unit.
};

Result<GatewayDaemonSettings> parseGatewaySettings(const std::string &text);

} // namespace cranberry
