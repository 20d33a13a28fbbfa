#pragma once

#include "common/fields.h"
#include "common/types.h"

namespace cranberry {

/// Settings of one daemon, read once at startup.
struct Settings {
    InstanceName instance;
    FailureDomainName failureDomain;
    Address callerAddress;
    Address adminAddress;
    Address peerAddress;
    Address platformAddress;
    std::vector<Address> peers; ///< Seed list: peer addresses of some of the other daemons.
    DurationMs entryListTtl{5000}; ///< How long a caller may cache the list of entry daemons.
    DurationMs answerRetention{30000};
    DurationMs drainLimit{120000};
    uint32_t maxBodyBytes = 4U << 20;
};

Result<Settings> parseSettings(const std::string &text);

} // namespace cranberry
