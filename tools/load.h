#pragma once

#include "caller.h"

namespace cranberry {

struct LoadOptions {
    std::string entry; ///< Caller address of any daemon, which lists the other entries.
    std::string model; ///< Service for chat jobs.
    std::string plain; ///< Service for plain calls.
    std::string organisation;
    std::string callerLog; ///< File with one line for each job, read by `check`.
    int jobs = 200;
    int perSecond = 50;
    int tokens = 60;
    int seed = 1;
    int promptBytes = 2000;
};

/// Sends a mix of chat and plain jobs and prints a summary. Returns 0 if every job got a complete answer.
int runLoad(const LoadOptions &options);

/// Options of a run that compares the latency through a daemon with that of direct calls to the endpoint.
struct CompareOptions {
    std::string entry;
    std::string endpoint;
    std::string service;
    std::string organisation;
    int requests = 2000;
    int perSecond = 500;
};

int runCompare(const CompareOptions &options);

} // namespace cranberry
