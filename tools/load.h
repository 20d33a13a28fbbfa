#pragma once

#include "caller.h"

namespace cranberry {

struct LoadOptions {
    std::string entry; ///< Any daemon's caller address: the others are asked for.
    std::string model; ///< Service for chat work.
    std::string plain; ///< Service for plain calls.
    std::string organisation;
    std::string callerLog; ///< One line for each job, for `check`.
    int jobs = 200;
    int perSecond = 50;
    int tokens = 60;
    int seed = 1;
    int promptBytes = 2000;
};

/// Sends mixed work and prints a summary; 0 if every job was answered whole.
int runLoad(const LoadOptions &options);

/// Latency through a daemon beside that of the endpoint called directly, in one run.
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
