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
    uint32_t memoryMb = 0; ///< Memory that this daemon may use; 0: what the system reports.
    uint32_t maxDescriptors = 0; ///< Open descriptors that it may have; 0: the process's limit.
};

Result<Settings> parseSettings(const std::string &text);

} // namespace cranberry
