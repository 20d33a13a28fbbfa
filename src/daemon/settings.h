#pragma once

#include "common/fields.h"
#include "common/types.h"

namespace cranberry {

/// One daemon's own settings, read once at start.
struct Settings {
    InstanceName instance;
    FailureDomainName failureDomain;
    Address callerAddress;
    Address adminAddress;
    Address peerAddress;
    Address platformAddress;
    std::vector<Address> peers; ///< Seeds: any few of the other daemons' peer addresses.
    DurationMs entryKeep{5000}; ///< How long a caller may keep an answer to "which entries".
    DurationMs answerKeep{30000};
    DurationMs drainLimit{120000};
    uint32_t maxBodyBytes = 4U << 20;
};

Result<Settings> parseSettings(const std::string &text);

} // namespace cranberry
